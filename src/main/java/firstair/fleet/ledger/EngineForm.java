package firstair.fleet.ledger;

import firstair.fleet.fault.Fault;
import io.microraft.RaftEndpoint;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.message.AppendEntriesFailureResponse;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.AppendEntriesSuccessResponse;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.InstallSnapshotResponse;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.PreVoteResponse;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.TriggerLeaderElectionRequest;
import io.microraft.model.message.VoteRequest;
import io.microraft.model.message.VoteResponse;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** The engine's messages, entries and pieces of snapshots as bytes and back. Operations are bytes throughout. */
final class EngineForm {
    static final RaftModelFactory MODEL = new DefaultRaftModelFactory();

    private enum Type {
        APPEND,
        APPENDED,
        NOT_APPENDED,
        INSTALL,
        INSTALLED,
        PRE_VOTE,
        PRE_VOTED,
        VOTE,
        VOTED,
        TAKE_THE_LEAD
    }

    private EngineForm() {}

    static byte[] bytes(RaftMessage message) {
        Packed.Writer out = new Packed.Writer();
        if (message instanceof AppendEntriesRequest m) {
            head(out, Type.APPEND, m)
                    .number(m.getPreviousLogTerm())
                    .number(m.getPreviousLogIndex())
                    .number(m.getCommitIndex())
                    .number(m.getQuerySequenceNumber())
                    .number(m.getFlowControlSequenceNumber())
                    .number(m.getLogEntries().size());
            m.getLogEntries().forEach(e -> entry(out, e));
        } else if (message instanceof AppendEntriesSuccessResponse m) {
            head(out, Type.APPENDED, m)
                    .number(m.getLastLogIndex())
                    .number(m.getQuerySequenceNumber())
                    .number(m.getFlowControlSequenceNumber());
        } else if (message instanceof AppendEntriesFailureResponse m) {
            head(out, Type.NOT_APPENDED, m)
                    .number(m.getExpectedNextIndex())
                    .number(m.getQuerySequenceNumber())
                    .number(m.getFlowControlSequenceNumber());
        } else if (message instanceof InstallSnapshotRequest m) {
            head(out, Type.INSTALL, m)
                    .flag(m.isSenderLeader())
                    .number(m.getSnapshotTerm())
                    .number(m.getSnapshotIndex())
                    .number(m.getTotalSnapshotChunkCount())
                    .texts(names(m.getSnapshottedMembers()))
                    .number(m.getQuerySequenceNumber())
                    .number(m.getFlowControlSequenceNumber());
            out.flag(m.getGroupMembersView() != null);
            if (m.getGroupMembersView() != null) {
                members(out, m.getGroupMembersView());
            }
            out.flag(m.getSnapshotChunk() != null);
            if (m.getSnapshotChunk() != null) {
                chunk(out, m.getSnapshotChunk());
            }
        } else if (message instanceof InstallSnapshotResponse m) {
            head(out, Type.INSTALLED, m)
                    .number(m.getSnapshotIndex())
                    .number(m.getRequestedSnapshotChunkIndex())
                    .number(m.getQuerySequenceNumber())
                    .number(m.getFlowControlSequenceNumber());
        } else if (message instanceof PreVoteRequest m) {
            head(out, Type.PRE_VOTE, m).number(m.getLastLogTerm()).number(m.getLastLogIndex());
        } else if (message instanceof PreVoteResponse m) {
            head(out, Type.PRE_VOTED, m).flag(m.isGranted());
        } else if (message instanceof VoteRequest m) {
            head(out, Type.VOTE, m)
                    .number(m.getLastLogTerm())
                    .number(m.getLastLogIndex())
                    .flag(m.isSticky());
        } else if (message instanceof VoteResponse m) {
            head(out, Type.VOTED, m).flag(m.isGranted());
        } else if (message instanceof TriggerLeaderElectionRequest m) {
            head(out, Type.TAKE_THE_LEAD, m).number(m.getLastLogTerm()).number(m.getLastLogIndex());
        } else {
            throw new IllegalArgumentException(message.getClass().getName());
        }
        return out.done();
    }

    private static Packed.Writer head(Packed.Writer out, Type type, RaftMessage message) {
        return out.number(type.ordinal())
                .text((String) message.getGroupId())
                .text(Voter.nameOf(message.getSender()))
                .number(message.getTerm());
    }

    /**
     * Reads a message.
     *
     * @throws Fault.Unreadable if it is none, or none that an engine would send
     */
    static RaftMessage message(byte[] bytes) {
        Packed.Reader in = new Packed.Reader(bytes);
        int number = in.whole();
        if (number >= Type.values().length) {
            throw new Fault.Unreadable("a message of type " + number);
        }
        RaftMessage message = message(in, Type.values()[number], in.text(), new Voter(in.text()), in.whole());
        in.end();
        return message;
    }

    private static RaftMessage message(Packed.Reader in, Type type, String group, Voter sender, int term) {
        return switch (type) {
            case APPEND -> {
                var m = MODEL.createAppendEntriesRequestBuilder()
                        .setGroupId(group)
                        .setSender(sender)
                        .setTerm(term)
                        .setPreviousLogTerm(in.whole())
                        .setPreviousLogIndex(in.count());
                m.setCommitIndex(in.count())
                        .setQuerySequenceNumber(in.count())
                        .setFlowControlSequenceNumber(in.count());
                yield m.setLogEntries(entries(in)).build();
            }
            case APPENDED ->
                MODEL.createAppendEntriesSuccessResponseBuilder()
                        .setGroupId(group)
                        .setSender(sender)
                        .setTerm(term)
                        .setLastLogIndex(in.count())
                        .setQuerySequenceNumber(in.count())
                        .setFlowControlSequenceNumber(in.count())
                        .build();
            case NOT_APPENDED ->
                MODEL.createAppendEntriesFailureResponseBuilder()
                        .setGroupId(group)
                        .setSender(sender)
                        .setTerm(term)
                        .setExpectedNextIndex(in.count())
                        .setQuerySequenceNumber(in.count())
                        .setFlowControlSequenceNumber(in.count())
                        .build();
            case INSTALL -> {
                var m = MODEL.createInstallSnapshotRequestBuilder()
                        .setGroupId(group)
                        .setSender(sender)
                        .setTerm(term)
                        .setSenderLeader(in.flag())
                        .setSnapshotTerm(in.whole())
                        .setSnapshotIndex(in.count());
                m.setTotalSnapshotChunkCount(in.whole())
                        .setSnapshottedMembers(voters(in.texts()))
                        .setQuerySequenceNumber(in.count())
                        .setFlowControlSequenceNumber(in.count());
                m.setGroupMembersView(in.flag() ? members(in) : null);
                yield m.setSnapshotChunk(in.flag() ? chunk(in) : null).build();
            }
            case INSTALLED ->
                MODEL.createInstallSnapshotResponseBuilder()
                        .setGroupId(group)
                        .setSender(sender)
                        .setTerm(term)
                        .setSnapshotIndex(in.count())
                        .setRequestedSnapshotChunkIndex(in.whole())
                        .setQuerySequenceNumber(in.count())
                        .setFlowControlSequenceNumber(in.count())
                        .build();
            case PRE_VOTE ->
                MODEL.createPreVoteRequestBuilder()
                        .setGroupId(group)
                        .setSender(sender)
                        .setTerm(term)
                        .setLastLogTerm(in.whole())
                        .setLastLogIndex(in.count())
                        .build();
            case PRE_VOTED ->
                MODEL.createPreVoteResponseBuilder()
                        .setGroupId(group)
                        .setSender(sender)
                        .setTerm(term)
                        .setGranted(in.flag())
                        .build();
            case VOTE ->
                MODEL.createVoteRequestBuilder()
                        .setGroupId(group)
                        .setSender(sender)
                        .setTerm(term)
                        .setLastLogTerm(in.whole())
                        .setLastLogIndex(in.count())
                        .setSticky(in.flag())
                        .build();
            case VOTED ->
                MODEL.createVoteResponseBuilder()
                        .setGroupId(group)
                        .setSender(sender)
                        .setTerm(term)
                        .setGranted(in.flag())
                        .build();
            case TAKE_THE_LEAD ->
                MODEL.createTriggerLeaderElectionRequestBuilder()
                        .setGroupId(group)
                        .setSender(sender)
                        .setTerm(term)
                        .setLastLogTerm(in.whole())
                        .setLastLogIndex(in.count())
                        .build();
        };
    }

    private static List<LogEntry> entries(Packed.Reader in) {
        List<LogEntry> entries = new ArrayList<>();
        for (int n = in.size(); n > 0; n--) {
            LogEntry entry = entry(in);
            if (!entries.isEmpty()
                    && entry.getIndex() != entries.get(entries.size() - 1).getIndex() + 1) {
                throw new Fault.Unreadable("entries with a gap");
            }
            entries.add(entry);
        }
        return entries;
    }

    static Packed.Writer entry(Packed.Writer out, LogEntry entry) {
        return out.number(entry.getIndex()).number(entry.getTerm()).bytes((byte[]) entry.getOperation());
    }

    static LogEntry entry(Packed.Reader in) {
        return MODEL.createLogEntryBuilder()
                .setIndex(in.count())
                .setTerm(in.whole())
                .setOperation(in.bytes())
                .build();
    }

    static Packed.Writer chunk(Packed.Writer out, SnapshotChunk chunk) {
        out.number(chunk.getIndex())
                .number(chunk.getTerm())
                .number(chunk.getSnapshotChunkIndex())
                .number(chunk.getSnapshotChunkCount())
                .bytes((byte[]) chunk.getOperation());
        return members(out, chunk.getGroupMembersView());
    }

    static SnapshotChunk chunk(Packed.Reader in) {
        SnapshotChunk chunk = MODEL.createSnapshotChunkBuilder()
                .setIndex(in.count())
                .setTerm(in.whole())
                .setSnapshotChunkIndex(in.whole())
                .setSnapshotChunkCount(in.whole())
                .setOperation(in.bytes())
                .setGroupMembersView(members(in))
                .build();
        if (chunk.getSnapshotChunkIndex() >= chunk.getSnapshotChunkCount()) {
            throw new Fault.Unreadable("a piece behind the last of its snapshot");
        }
        return chunk;
    }

    private static Packed.Writer members(Packed.Writer out, RaftGroupMembersView view) {
        return out.number(view.getLogIndex()).texts(names(view.getMembers())).texts(names(view.getVotingMembers()));
    }

    private static RaftGroupMembersView members(Packed.Reader in) {
        return members(in.count(), in.texts(), in.texts());
    }

    static RaftGroupMembersView members(long index, List<String> members, List<String> voting) {
        return MODEL.createRaftGroupMembersViewBuilder()
                .setLogIndex(index)
                .setMembers(voters(members))
                .setVotingMembers(voters(voting))
                .build();
    }

    private static Set<RaftEndpoint> voters(List<String> names) {
        Set<RaftEndpoint> voters = new LinkedHashSet<>(); // the engine walks it: in the same order each time
        names.forEach(n -> voters.add(new Voter(n)));
        return voters;
    }

    static List<String> names(Collection<RaftEndpoint> voters) {
        return voters.stream().map(Voter::nameOf).toList();
    }
}
