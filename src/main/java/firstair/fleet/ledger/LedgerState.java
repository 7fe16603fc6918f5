package firstair.fleet.ledger;

import firstair.fleet.fault.Fault;
import io.microraft.RaftEndpoint;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.log.SnapshotEntry;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The persistent Raft state of a voter: fleet and voter names, the term, the vote in it, the log entries, the newest
 * snapshot. It is stored as a sequence of encoded changes, which a {@link LedgerStore} stores and {@link #of} replays.
 * Every
 * prefix of the changes is a state that this voter has had, so a sequence whose last changes were cut off is valid.
 */
public final class LedgerState {
    /** Encoded by ordinal: the order is part of the stored format. */
    private enum Type {
        CREATED,
        TERM,
        ENTRY,
        TRUNCATE_FROM,
        TRUNCATE_UNTIL,
        SNAPSHOT_CHUNK,
        SNAPSHOT_DELETED
    }

    private String fleet;
    private String self;
    private List<String> voters;
    private int term;
    private String votedFor;
    private final TreeMap<Long, LogEntry> entries = new TreeMap<>();
    private final TreeMap<Long, TreeMap<Integer, SnapshotChunk>> snapshots = new TreeMap<>();

    private LedgerState() {}

    /** The initial state of a voter that starts for the first time. */
    public static LedgerState initial(String fleet, String self, List<String> voters) {
        LedgerState memory = new LedgerState();
        memory.fleet = fleet;
        memory.self = self;
        memory.voters = List.copyOf(voters);
        return memory;
    }

    /**
     * Replays stored changes.
     *
     * @throws Fault.Unreadable if they don't yield the state of a voter
     */
    public static LedgerState of(Iterable<byte[]> changes) {
        LedgerState memory = new LedgerState();
        changes.forEach(memory::apply);
        if (memory.fleet == null) {
            throw new Fault.Unreadable("nobody's ledger");
        }
        memory.restoredState();
        return memory;
    }

    /** Name of the fleet that the ledger belongs to. */
    public String fleet() {
        return fleet;
    }

    /** Name of the voter that the state belongs to. */
    public String self() {
        return self;
    }

    /** Names of all voters. */
    public List<String> voters() {
        return voters;
    }

    /** The newest term that the voter has seen. */
    public int term() {
        return term;
    }

    /** The candidate that got its vote in this term; null if none. */
    public String votedFor() {
        return votedFor;
    }

    /** Index of the last entry, or of the newest complete snapshot if that is higher; 0 if there is neither. */
    public long last() {
        return Math.max(entries.isEmpty() ? 0 : entries.lastKey(), newestSnapshot() < 0 ? 0 : newestSnapshot());
    }

    private void apply(byte[] change) {
        MessagePackFormat.Reader in = new MessagePackFormat.Reader(change);
        int typeNumber = in.nonNegativeInt();
        if (typeNumber >= Type.values().length || (fleet == null) != (typeNumber == Type.CREATED.ordinal())) {
            throw new Fault.Unreadable("a change of type " + typeNumber);
        }
        switch (Type.values()[typeNumber]) {
            case CREATED -> {
                fleet = in.text();
                self = in.text();
                voters = List.copyOf(in.texts());
            }
            case TERM -> {
                term = in.nonNegativeInt();
                votedFor = in.textOrNull();
            }
            case ENTRY -> {
                LogEntry entry = RaftCodec.entry(in);
                entries.put(entry.getIndex(), entry);
            }
            case TRUNCATE_FROM -> entries.tailMap(in.nonNegativeLong(), true).clear();
            case TRUNCATE_UNTIL -> entries.headMap(in.nonNegativeLong(), true).clear();
            case SNAPSHOT_CHUNK -> {
                SnapshotChunk chunk = RaftCodec.chunk(in);
                snapshots
                        .computeIfAbsent(chunk.getIndex(), i -> new TreeMap<>())
                        .put(chunk.getSnapshotChunkIndex(), chunk);
                snapshots.headMap(newestSnapshot(), false).clear(); // superseded by the newest complete one
            }
            case SNAPSHOT_DELETED -> snapshots.remove(in.nonNegativeLong());
            default -> throw new Fault.Unreadable("a change of type " + typeNumber);
        }
        in.expectEnd();
    }

    /** Index of the newest snapshot of which all chunks are there, or -1. */
    private long newestSnapshot() {
        for (Map.Entry<Long, TreeMap<Integer, SnapshotChunk>> s :
                snapshots.descendingMap().entrySet()) {
            if (s.getValue().size() == s.getValue().firstEntry().getValue().getSnapshotChunkCount()) {
                return s.getKey();
            }
        }
        return -1;
    }

    /** The shortest sequence of changes that yields the current state. */
    public List<byte[]> changes() {
        List<byte[]> all = new ArrayList<>();
        all.add(change(Type.CREATED).text(fleet).text(self).texts(voters).toBytes());
        all.add(change(Type.TERM).number(term).text(votedFor).toBytes());
        snapshots.values().forEach(s -> s.values()
                .forEach(c ->
                        all.add(RaftCodec.chunk(change(Type.SNAPSHOT_CHUNK), c).toBytes())));
        entries.values()
                .forEach(e -> all.add(RaftCodec.entry(change(Type.ENTRY), e).toBytes()));
        return all;
    }

    private static MessagePackFormat.Writer change(Type type) {
        return new MessagePackFormat.Writer().number(type.ordinal());
    }

    /** The state for the engine to start from. */
    RestoredRaftState restoredState() {
        long snapshotIndex = newestSnapshot();
        SnapshotEntry snapshot = null;
        if (snapshotIndex >= 0) {
            List<SnapshotChunk> chunks =
                    List.copyOf(snapshots.get(snapshotIndex).values());
            snapshot = RaftCodec.MODEL
                    .createSnapshotEntryBuilder()
                    .setIndex(snapshotIndex)
                    .setTerm(chunks.get(0).getTerm())
                    .setSnapshotChunks(chunks)
                    .setGroupMembersView(chunks.get(0).getGroupMembersView())
                    .build();
        }
        List<LogEntry> entriesAfter = new ArrayList<>(
                entries.tailMap(Math.max(0, snapshotIndex), false).values());
        long next = Math.max(0, snapshotIndex) + 1;
        for (LogEntry entry : entriesAfter) {
            if (entry.getIndex() != next) {
                throw new Fault.Unreadable("entry " + next + " is missing");
            }
            next++;
        }
        RaftEndpointPersistentState own = RaftCodec.MODEL
                .createRaftEndpointPersistentStateBuilder()
                .setLocalEndpoint(new Voter(self))
                .setVoting(true)
                .build();
        RaftTermPersistentState vote = RaftCodec.MODEL
                .createRaftTermPersistentStateBuilder()
                .setTerm(term)
                .setVotedFor(votedFor == null ? null : new Voter(votedFor))
                .build();
        return new RestoredRaftState(own, RaftCodec.members(0, voters, voters), vote, snapshot, entriesAfter);
    }

    /** A store for the engine, which applies each change here and passes it to the keeper. */
    RaftStore store(LedgerStore keeper) {
        return new Store(keeper);
    }

    private final class Store implements RaftStore {
        private final LedgerStore keeper;

        private Store(LedgerStore keeper) {
            this.keeper = keeper;
        }

        private void append(MessagePackFormat.Writer change) throws IOException {
            byte[] bytes = change.toBytes();
            apply(bytes);
            keeper.append(bytes);
        }

        @Override
        public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState state) throws IOException {
            if (!state.isVoting() || !Voter.nameOf(state.getLocalEndpoint()).equals(self)) {
                throw new IOException("the engine takes itself for another voter");
            }
        }

        @Override
        public void persistAndFlushInitialGroupMembers(RaftGroupMembersView members) throws IOException {
            List<String> names = new ArrayList<>();
            for (RaftEndpoint e : members.getVotingMembers()) {
                names.add(Voter.nameOf(e));
            }
            if (!names.containsAll(voters) || names.size() != voters.size()) {
                throw new IOException("the engine takes others for voters");
            }
        }

        @Override
        public void persistAndFlushTerm(RaftTermPersistentState state) throws IOException {
            append(change(Type.TERM).number(state.getTerm()).text(Voter.nameOf(state.getVotedFor())));
            keeper.force();
        }

        @Override
        public void persistLogEntries(List<LogEntry> all) throws IOException {
            for (LogEntry e : all) {
                append(RaftCodec.entry(change(Type.ENTRY), e));
            }
        }

        @Override
        public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
            append(RaftCodec.chunk(change(Type.SNAPSHOT_CHUNK), chunk));
        }

        @Override
        public void truncateLogEntriesFrom(long index) throws IOException {
            append(change(Type.TRUNCATE_FROM).number(index));
        }

        @Override
        public void truncateLogEntriesUntil(long index) throws IOException {
            append(change(Type.TRUNCATE_UNTIL).number(index));
        }

        @Override
        public void deleteSnapshotChunks(long index, int count) throws IOException {
            append(change(Type.SNAPSHOT_DELETED).number(index));
        }

        @Override
        public void flush() throws IOException {
            keeper.force();
        }
    }
}
