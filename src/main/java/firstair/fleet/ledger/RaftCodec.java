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

/** Encodes and decodes messages, log entries and snapshot chunks of the Raft engine. Operations are byte arrays. */
final class RaftCodec {
    static final RaftModelFactory MODEL = new DefaultRaftModelFactory();

    /** Encoded by ordinal: the order is part of the wire format. */
    private enum Type {
        APPEND,
        APPEND_SUCCESS,
        APPEND_FAILURE,
        INSTALL_SNAPSHOT,
        INSTALL_SNAPSHOT_RESPONSE,
        PRE_VOTE,
        PRE_VOTE_RESPONSE,
        VOTE,
        VOTE_RESPONSE,
        TRIGGER_ELECTION
    }

    private RaftCodec() {}

    static byte[] encode(RaftMessage message) {
        MessagePackFormat.Writer out = new MessagePackFormat.Writer();
        if (message instanceof AppendEntriesRequest m) {
            header(out, Type.APPEND, m)
                    .number(m.getPreviousLogTerm())
                    .number(m.getPreviousLogIndex())
                    .number(m.getCommitIndex())
                    .number(m.getQuerySequenceNumber())
                    .number(m.getFlowControlSequenceNumber())
                    .number(m.getLogEntries().size());
            m.getLogEntries().forEach(e -> entry(out, e));
        } else if (message instanceof AppendEntriesSuccessResponse m) {
            header(out, Type.APPEND_SUCCESS, m)
                    .number(m.getLastLogIndex())
                    .number(m.getQuerySequenceNumber())
                    .number(m.getFlowControlSequenceNumber());
        } else if (message instanceof AppendEntriesFailureResponse m) {
            header(out, Type.APPEND_FAILURE, m)
                    .number(m.getExpectedNextIndex())
                    .number(m.getQuerySequenceNumber())
                    .number(m.getFlowControlSequenceNumber());
        } else if (message instanceof InstallSnapshotRequest m) {
            header(out, Type.INSTALL_SNAPSHOT, m)
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
            header(out, Type.INSTALL_SNAPSHOT_RESPONSE, m)
                    .number(m.getSnapshotIndex())
                    .number(m.getRequestedSnapshotChunkIndex())
                    .number(m.getQuerySequenceNumber())
                    .number(m.getFlowControlSequenceNumber());
        } else if (message instanceof PreVoteRequest m) {
            header(out, Type.PRE_VOTE, m).number(m.getLastLogTerm()).number(m.getLastLogIndex());
        } else if (message instanceof PreVoteResponse m) {
            header(out, Type.PRE_VOTE_RESPONSE, m).flag(m.isGranted());
        } else if (message instanceof VoteRequest m) {
            header(out, Type.VOTE, m)
                    .number(m.getLastLogTerm())
                    .number(m.getLastLogIndex())
                    .flag(m.isSticky());
        } else if (message instanceof VoteResponse m) {
            header(out, Type.VOTE_RESPONSE, m).flag(m.isGranted());
        } else if (message instanceof TriggerLeaderElectionRequest m) {
            header(out, Type.TRIGGER_ELECTION, m).number(m.getLastLogTerm()).number(m.getLastLogIndex());
        } else {
            throw new IllegalArgumentException(message.getClass().getName());
        }
        return out.toBytes();
    }

    private static MessagePackFormat.Writer header(MessagePackFormat.Writer out, Type type, RaftMessage message) {
        return out.number(type.ordinal())
                .text((String) message.getGroupId())
                .text(Voter.nameOf(message.getSender()))
                .number(message.getTerm());
    }

    /**
     * Decodes a message.
     *
     * @throws Fault.Unreadable if the bytes are not a message that an engine would send
     */
    static RaftMessage decode(byte[] bytes) {
        MessagePackFormat.Reader in = new MessagePackFormat.Reader(bytes);
        int typeNumber = in.nonNegativeInt();
        if (typeNumber >= Type.values().length) {
            throw new Fault.Unreadable("a message of type " + typeNumber);
        }
        RaftMessage message =
                decode(in, Type.values()[typeNumber], in.text(), new Voter(in.text()), in.nonNegativeInt());
        in.expectEnd();
        return message;
    }

    private static RaftMessage decode(MessagePackFormat.Reader in, Type type, String group, Voter sender, int term) {
        return switch (type) {
            case APPEND -> {
                var m = MODEL.createAppendEntriesRequestBuilder()
                        .setGroupId(group)
                        .setSender(sender)
                        .setTerm(term)
                        .setPreviousLogTerm(in.nonNegativeInt())
                        .setPreviousLogIndex(in.nonNegativeLong());
                m.setCommitIndex(in.nonNegativeLong())
                        .setQuerySequenceNumber(in.nonNegativeLong())
                        .setFlowControlSequenceNumber(in.nonNegativeLong());
                yield m.setLogEntries(entries(in)).build();
            }
            case APPEND_SUCCESS ->
                MODEL.createAppendEntriesSuccessResponseBuilder()
                        .setGroupId(group)
                        .setSender(sender)
                        .setTerm(term)
                        .setLastLogIndex(in.nonNegativeLong())
                        .setQuerySequenceNumber(in.nonNegativeLong())
                        .setFlowControlSequenceNumber(in.nonNegativeLong())
                        .build();
            case APPEND_FAILURE ->
                MODEL.createAppendEntriesFailureResponseBuilder()
                        .setGroupId(group)
                        .setSender(sender)
                        .setTerm(term)
                        .setExpectedNextIndex(in.nonNegativeLong())
                        .setQuerySequenceNumber(in.nonNegativeLong())
                        .setFlowControlSequenceNumber(in.nonNegativeLong())
                        .build();
            case INSTALL_SNAPSHOT -> {
                var m = MODEL.createInstallSnapshotRequestBuilder()
                        .setGroupId(group)
                        .setSender(sender)
                        .setTerm(term)
                        .setSenderLeader(in.flag())
                        .setSnapshotTerm(in.nonNegativeInt())
                        .setSnapshotIndex(in.nonNegativeLong());
                m.setTotalSnapshotChunkCount(in.nonNegativeInt())
                        .setSnapshottedMembers(voters(in.texts()))
                        .setQuerySequenceNumber(in.nonNegativeLong())
                        .setFlowControlSequenceNumber(in.nonNegativeLong());
                m.setGroupMembersView(in.flag() ? members(in) : null);
                yield m.setSnapshotChunk(in.flag() ? chunk(in) : null).build();
            }
            case INSTALL_SNAPSHOT_RESPONSE ->
                MODEL.createInstallSnapshotResponseBuilder()
                        .setGroupId(group)
                        .setSender(sender)
                        .setTerm(term)
                        .setSnapshotIndex(in.nonNegativeLong())
                        .setRequestedSnapshotChunkIndex(in.nonNegativeInt())
                        .setQuerySequenceNumber(in.nonNegativeLong())
                        .setFlowControlSequenceNumber(in.nonNegativeLong())
                        .build();
            case PRE_VOTE ->
                MODEL.createPreVoteRequestBuilder()
                        .setGroupId(group)
                        .setSender(sender)
                        .setTerm(term)
                        .setLastLogTerm(in.nonNegativeInt())
                        .setLastLogIndex(in.nonNegativeLong())
                        .build();
            case PRE_VOTE_RESPONSE ->
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
                        .setLastLogTerm(in.nonNegativeInt())
                        .setLastLogIndex(in.nonNegativeLong())
                        .setSticky(in.flag())
                        .build();
            case VOTE_RESPONSE ->
                MODEL.createVoteResponseBuilder()
                        .setGroupId(group)
                        .setSender(sender)
                        .setTerm(term)
                        .setGranted(in.flag())
                        .build();
            case TRIGGER_ELECTION ->
                MODEL.createTriggerLeaderElectionRequestBuilder()
                        .setGroupId(group)
                        .setSender(sender)
                        .setTerm(term)
                        .setLastLogTerm(in.nonNegativeInt())
                        .setLastLogIndex(in.nonNegativeLong())
                        .build();
        };
    }

    private static List<LogEntry> entries(MessagePackFormat.Reader in) {
        List<LogEntry> entries = new ArrayList<>();
        for (int n = in.listSize(); n > 0; n--) {
            LogEntry entry = entry(in);
            if (!entries.isEmpty()
                    && entry.getIndex() != entries.get(entries.size() - 1).getIndex() + 1) {
                throw new Fault.Unreadable("entries with a gap");
            }
            entries.add(entry);
        }
        return entries;
    }

    static MessagePackFormat.Writer entry(MessagePackFormat.Writer out, LogEntry entry) {
        return out.number(entry.getIndex()).number(entry.getTerm()).bytes((byte[]) entry.getOperation());
    }

    static LogEntry entry(MessagePackFormat.Reader in) {
        return MODEL.createLogEntryBuilder()
                .setIndex(in.nonNegativeLong())
                .setTerm(in.nonNegativeInt())
                .setOperation(in.bytes())
                .build();
    }

    static MessagePackFormat.Writer chunk(MessagePackFormat.Writer out, SnapshotChunk chunk) {
        out.number(chunk.getIndex())
                .number(chunk.getTerm())
                .number(chunk.getSnapshotChunkIndex())
                .number(chunk.getSnapshotChunkCount())
                .bytes((byte[]) chunk.getOperation());
        return members(out, chunk.getGroupMembersView());
    }

    static SnapshotChunk chunk(MessagePackFormat.Reader in) {
        SnapshotChunk chunk = MODEL.createSnapshotChunkBuilder()
                .setIndex(in.nonNegativeLong())
                .setTerm(in.nonNegativeInt())
                .setSnapshotChunkIndex(in.nonNegativeInt())
                .setSnapshotChunkCount(in.nonNegativeInt())
                .setOperation(in.bytes())
                .setGroupMembersView(members(in))
                .build();
        if (chunk.getSnapshotChunkIndex() >= chunk.getSnapshotChunkCount()) {
            throw new Fault.Unreadable("a piece behind the last of its snapshot");
        }
        return chunk;
    }

    private static MessagePackFormat.Writer members(MessagePackFormat.Writer out, RaftGroupMembersView view) {
        return out.number(view.getLogIndex()).texts(names(view.getMembers())).texts(names(view.getVotingMembers()));
    }

    private static RaftGroupMembersView members(MessagePackFormat.Reader in) {
        return members(in.nonNegativeLong(), in.texts(), in.texts());
    }

    static RaftGroupMembersView members(long index, List<String> members, List<String> voting) {
        return MODEL.createRaftGroupMembersViewBuilder()
                .setLogIndex(index)
                .setMembers(voters(members))
                .setVotingMembers(voters(voting))
                .build();
    }

    private static Set<RaftEndpoint> voters(List<String> names) {
        Set<RaftEndpoint> voters = new LinkedHashSet<>(); // the engine iterates over it, which must be deterministic
        names.forEach(n -> voters.add(new Voter(n)));
        return voters;
    }

    static List<String> names(Collection<RaftEndpoint> voters) {
        return voters.stream().map(Voter::nameOf).toList();
    }
}
