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
 * What a voter must not forget: whose ledger it is, the term, the vote in it, the entries, the newest snapshot. It is
 * a sequence of changes as bytes; a {@link Keeper} keeps them, {@link #of} takes them back. Every prefix of the
 * changes is a memory that this voter has had, so one whose last changes were cut off is whole.
 */
public final class LedgerMemory {
    private enum Type {
        FOUNDED,
        TERM,
        ENTRY,
        CUT_FROM,
        CUT_UNTIL,
        CHUNK,
        CHUNKS_GONE
    }

    private String fleet;
    private String self;
    private List<String> voters;
    private int term;
    private String votedFor;
    private final TreeMap<Long, LogEntry> entries = new TreeMap<>();
    private final TreeMap<Long, TreeMap<Integer, SnapshotChunk>> snapshots = new TreeMap<>();

    private LedgerMemory() {}

    /** The memory of a voter that starts for the first time. */
    public static LedgerMemory founded(String fleet, String self, List<String> voters) {
        LedgerMemory memory = new LedgerMemory();
        memory.fleet = fleet;
        memory.self = self;
        memory.voters = List.copyOf(voters);
        return memory;
    }

    /**
     * Takes back what was kept.
     *
     * @throws Fault.Unreadable if these are not the changes of a memory
     */
    public static LedgerMemory of(Iterable<byte[]> changes) {
        LedgerMemory memory = new LedgerMemory();
        changes.forEach(memory::take);
        if (memory.fleet == null) {
            throw new Fault.Unreadable("nobody's ledger");
        }
        memory.restored();
        return memory;
    }

    /** Name of the fleet whose ledger it is. */
    public String fleet() {
        return fleet;
    }

    /** Name of the voter whose memory it is. */
    public String self() {
        return self;
    }

    /** All voters. */
    public List<String> voters() {
        return voters;
    }

    /** The newest term that it has seen. */
    public int term() {
        return term;
    }

    /** Whom it has given its vote in this term; null if nobody. */
    public String votedFor() {
        return votedFor;
    }

    /** Index of the last entry, or of the newest snapshot if that reaches farther; 0 if there is neither. */
    public long last() {
        return Math.max(entries.isEmpty() ? 0 : entries.lastKey(), snapshot() < 0 ? 0 : snapshot());
    }

    /** Takes one change. */
    private void take(byte[] change) {
        Packed.Reader in = new Packed.Reader(change);
        int number = in.whole();
        if (number >= Type.values().length || (fleet == null) != (number == Type.FOUNDED.ordinal())) {
            throw new Fault.Unreadable("a change of type " + number);
        }
        switch (Type.values()[number]) {
            case FOUNDED -> {
                fleet = in.text();
                self = in.text();
                voters = List.copyOf(in.texts());
            }
            case TERM -> {
                term = in.whole();
                votedFor = in.textOrNull();
            }
            case ENTRY -> {
                LogEntry entry = EngineForm.entry(in);
                entries.put(entry.getIndex(), entry);
            }
            case CUT_FROM -> entries.tailMap(in.count(), true).clear();
            case CUT_UNTIL -> entries.headMap(in.count(), true).clear();
            case CHUNK -> {
                SnapshotChunk chunk = EngineForm.chunk(in);
                snapshots
                        .computeIfAbsent(chunk.getIndex(), i -> new TreeMap<>())
                        .put(chunk.getSnapshotChunkIndex(), chunk);
                snapshots.headMap(snapshot(), false).clear(); // those before the newest whole one
            }
            case CHUNKS_GONE -> snapshots.remove(in.count());
            default -> throw new Fault.Unreadable("a change of type " + number);
        }
        in.end();
    }

    /** Index of the newest snapshot of which all pieces are there, or -1. */
    private long snapshot() {
        for (Map.Entry<Long, TreeMap<Integer, SnapshotChunk>> s :
                snapshots.descendingMap().entrySet()) {
            if (s.getValue().size() == s.getValue().firstEntry().getValue().getSnapshotChunkCount()) {
                return s.getKey();
            }
        }
        return -1;
    }

    /** All that is held, as few changes as tell it. */
    public List<byte[]> changes() {
        List<byte[]> all = new ArrayList<>();
        all.add(change(Type.FOUNDED).text(fleet).text(self).texts(voters).done());
        all.add(change(Type.TERM).number(term).text(votedFor).done());
        snapshots.values().forEach(s -> s.values()
                .forEach(c -> all.add(EngineForm.chunk(change(Type.CHUNK), c).done())));
        entries.values()
                .forEach(e -> all.add(EngineForm.entry(change(Type.ENTRY), e).done()));
        return all;
    }

    private static Packed.Writer change(Type type) {
        return new Packed.Writer().number(type.ordinal());
    }

    /** What the engine starts from. */
    RestoredRaftState restored() {
        long whole = snapshot();
        SnapshotEntry snapshot = null;
        if (whole >= 0) {
            List<SnapshotChunk> chunks = List.copyOf(snapshots.get(whole).values());
            snapshot = EngineForm.MODEL
                    .createSnapshotEntryBuilder()
                    .setIndex(whole)
                    .setTerm(chunks.get(0).getTerm())
                    .setSnapshotChunks(chunks)
                    .setGroupMembersView(chunks.get(0).getGroupMembersView())
                    .build();
        }
        List<LogEntry> behind =
                new ArrayList<>(entries.tailMap(Math.max(0, whole), false).values());
        long next = Math.max(0, whole) + 1;
        for (LogEntry e : behind) {
            if (e.getIndex() != next) {
                throw new Fault.Unreadable("entry " + next + " is missing");
            }
            next++;
        }
        RaftEndpointPersistentState own = EngineForm.MODEL
                .createRaftEndpointPersistentStateBuilder()
                .setLocalEndpoint(new Voter(self))
                .setVoting(true)
                .build();
        RaftTermPersistentState vote = EngineForm.MODEL
                .createRaftTermPersistentStateBuilder()
                .setTerm(term)
                .setVotedFor(votedFor == null ? null : new Voter(votedFor))
                .build();
        return new RestoredRaftState(own, EngineForm.members(0, voters, voters), vote, snapshot, behind);
    }

    /** What the engine writes to: each change is taken here and handed to the keeper. */
    RaftStore store(Keeper keeper) {
        return new Store(keeper);
    }

    private final class Store implements RaftStore {
        private final Keeper keeper;

        private Store(Keeper keeper) {
            this.keeper = keeper;
        }

        private void keep(Packed.Writer change) throws IOException {
            byte[] bytes = change.done();
            take(bytes);
            keeper.keep(bytes);
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
            keep(change(Type.TERM).number(state.getTerm()).text(Voter.nameOf(state.getVotedFor())));
            keeper.force();
        }

        @Override
        public void persistLogEntries(List<LogEntry> all) throws IOException {
            for (LogEntry e : all) {
                keep(EngineForm.entry(change(Type.ENTRY), e));
            }
        }

        @Override
        public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
            keep(EngineForm.chunk(change(Type.CHUNK), chunk));
        }

        @Override
        public void truncateLogEntriesFrom(long index) throws IOException {
            keep(change(Type.CUT_FROM).number(index));
        }

        @Override
        public void truncateLogEntriesUntil(long index) throws IOException {
            keep(change(Type.CUT_UNTIL).number(index));
        }

        @Override
        public void deleteSnapshotChunks(long index, int count) throws IOException {
            keep(change(Type.CHUNKS_GONE).number(index));
        }

        @Override
        public void flush() throws IOException {
            keeper.force();
        }
    }
}
