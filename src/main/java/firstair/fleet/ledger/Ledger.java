package firstair.fleet.ledger;

import firstair.fleet.Outbox;
import firstair.fleet.Setup;
import firstair.fleet.fault.Fault;
import firstair.fleet.talk.Note;
import io.microraft.QueryPolicy;
import io.microraft.RaftConfig;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.executor.RaftNodeExecutor;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.message.AppendEntriesFailureResponse;
import io.microraft.model.message.AppendEntriesSuccessResponse;
import io.microraft.model.message.InstallSnapshotResponse;
import io.microraft.model.message.PreVoteResponse;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.VoteResponse;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import io.microraft.report.RaftNodeReport;
import io.microraft.statemachine.StateMachine;
import io.microraft.transport.Transport;
import java.io.IOException;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * One voter: an engine for agreement by majority (MicroRaft), driven from outside. Whoever owns it hands in what is
 * heard and calls {@link #timer} at {@link #wakeAt}; the engine runs inside of these calls, on the caller's thread,
 * and starts none of its own. Times are milliseconds of the relay's own advancing clock; the wall clock plays no
 * part, so that it may jump. The same calls with the same {@code Random} give the same notes.
 *
 * <p>The engine counts in whole seconds and takes a whole one to ask a voter again whose answer was lost. Its clock
 * runs {@value #SPEED} times faster than ours, so that both take a quarter; the pauses that it waits vary here, for
 * its own variation is too small to keep candidates apart.
 *
 * <p>Three things keep the engine safe where its own care ends:
 * <ul>
 * <li>It takes late answers to what it sent in an earlier term of its own as leader for answers of this term, and may
 * then count an entry as held by a voter that has cut it off since. Answers of an earlier term are dropped here.
 * <li>It lets questions that come while others are out join them, and would then count answers to notes that were
 * sent before the question came. Only one question is out at a time here; what comes meanwhile waits for the next.
 * <li>It goes on after its store has failed, with entries in memory that are not on disk. Here nothing more leaves
 * it once its store has failed: this voter stops and says why.
 * </ul>
 *
 * <p>Questions are put as {@link QueryPolicy#LINEARIZABLE}: a majority has answered notes sent after the question
 * came. {@link QueryPolicy#LEADER_LEASE} would save that round trip, but counts from when answers came in and not
 * from when what they answer was sent, and needs clocks that run alike and a process that is never stopped; neither
 * is given here.
 */
public final class Ledger {
    private static final int SPEED = 4; // the engine's clock runs so many times faster
    private static final int HEARTBEAT_S = 1; // of the engine's
    private static final double LEAST_TIMEOUT_MS = 2000; // without a leader, then there is an election
    private static final double TIMEOUT_DELAYS = 10; // but never sooner than after so many longest delays
    private static final double LEAST_ELECTION_MS = 500;
    private static final double ELECTION_DELAYS = 4;
    private static final double JITTER = 0.25; // pauses are longer by this share at most
    private static final int ENTRIES_EACH = 8; // of up to 64 KiB: half a MiB in one note at most
    private static final int MOST_PENDING = 256;
    private static final int SNAPSHOT_EVERY = 1000; // entries
    private static final int PIECE_BYTES = 16_384;
    private static final double ASK_MS = 1000;
    private static final double ASK_PATIENCE_MS = 700;
    private static final double AGAIN_MS = 300; // a proposer may ask the next voter
    private static final byte[] NO_OPERATION = new byte[0]; // what a new leader begins its term with
    private static final Object QUESTION = new Object();

    private record Later(double at, long order, Runnable task) implements Comparable<Later> {
        @Override
        public int compareTo(Later other) {
            int byTime = Double.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private final Setup setup;
    private final Agreements machines;
    private final Random random;
    private final Outbox outbox;
    private final Proposer proposer;
    private final Follower follower;
    private final RaftNode node;
    private final Deque<Runnable> queue = new ArrayDeque<>();
    private final PriorityQueue<Later> later = new PriorityQueue<>();
    private final Map<String, Note.AgreedAsk> waiting = new LinkedHashMap<>(); // by asker, the newest of each
    private boolean asking;
    private boolean running;
    private boolean draining;
    private long order;
    private double now;
    private long dropped;
    private Fault fault;

    /**
     * A voter that has not started.
     *
     * @param incarnation of this process, higher than of all before it under our name
     * @param memory      what this voter remembers, or {@link LedgerMemory#founded} at the very first start
     * @param keeper      keeps its changes
     * @param machines    what is agreed on, empty
     * @param random      for pauses between elections
     * @param listener    is told what is agreed, as {@link Follower} tells it on members that are no voters
     * @throws Fault.BadSetup if the memory is of another voter, fleet or set of voters
     */
    public Ledger(
            Setup setup,
            long incarnation,
            LedgerMemory memory,
            Keeper keeper,
            Agreements machines,
            Outbox outbox,
            Random random,
            Follower.Listener listener) {
        if (!memory.fleet().equals(setup.fleet()) || !memory.self().equals(setup.self())) {
            throw new Fault.BadSetup(
                    "fleet.name", "the ledger here is that of " + memory.self() + " in fleet " + memory.fleet());
        }
        if (!List.copyOf(memory.voters()).containsAll(setup.voters())
                || memory.voters().size() != setup.voters().size()) {
            throw new Fault.BadSetup(
                    "fleet.voters",
                    "the ledger here is of " + memory.voters() + ", and voters cannot be changed under it");
        }
        this.setup = setup;
        this.machines = machines;
        this.random = random;
        Outbox out = new Outbox() {
            @Override
            public void send(String to, Note note) {
                if (to.equals(setup.self())) {
                    queue.add(() -> own(note));
                } else {
                    outbox.send(to, note);
                }
            }

            @Override
            public void report(String text) {
                outbox.report(text);
            }
        };
        this.outbox = out;
        this.proposer = new Proposer(setup, incarnation, out, random);
        this.follower = new Follower(setup, out, random, listener, ASK_MS, ASK_PATIENCE_MS);
        double election = Math.max(LEAST_ELECTION_MS, ELECTION_DELAYS * setup.delayMs());
        double timeout = Math.max(LEAST_TIMEOUT_MS, TIMEOUT_DELAYS * setup.delayMs());
        RaftConfig config = RaftConfig.newBuilder()
                .setLeaderHeartbeatPeriodSecs(HEARTBEAT_S)
                .setLeaderHeartbeatTimeoutSecs((long) Math.ceil(timeout * SPEED / 1000))
                .setLeaderElectionTimeoutMillis((long) (election * SPEED))
                .setAppendEntriesRequestBatchSize(ENTRIES_EACH)
                .setMaxPendingLogEntryCount(MOST_PENDING)
                .setCommitCountToTakeSnapshot(SNAPSHOT_EVERY)
                .setTransferSnapshotsFromFollowersEnabled(false)
                .build();
        this.node = RaftNode.newBuilder()
                .setGroupId(setup.fleet())
                .setRestoredState(memory.restored())
                .setConfig(config)
                .setExecutor(new Queue())
                .setTransport(new Wire())
                .setStateMachine(new Machine())
                .setStore(new Watched(memory.store(keeper)))
                .setModelFactory(EngineForm.MODEL)
                .setRandom(random)
                .setClock(new Ticks())
                .build();
    }

    // ---- what happens to it ----

    /** Starts; once. */
    public void start(double at) {
        running = true;
        enter(at, node::start);
    }

    /**
     * Something was heard.
     *
     * @throws Fault if it cannot be used; it has changed nothing then
     */
    public void heard(double at, String from, Note note) {
        if (note instanceof Note.Proposed m) {
            enter(at, () -> proposer.heard(now, from, m));
        } else if (note instanceof Note.Agreed m) {
            enter(at, () -> follower.heard(now, from, m));
        } else if (!setup.members().contains(from)) {
            throw new Fault.Stranger(from);
        } else if (note instanceof Note.Engine m) {
            RaftMessage message = message(from, m.bytes());
            enter(at, () -> engine(message));
        } else if (note instanceof Note.Propose m) {
            Proposal proposal = Proposal.read(m.operation());
            if (!setup.members().contains(proposal.by())) {
                throw new Fault.Stranger(proposal.by());
            }
            enter(at, () -> proposed(from, m, proposal));
        } else if (note instanceof Note.AgreedAsk m) {
            enter(at, () -> asked(from, m));
        } else {
            dropped++;
        }
    }

    /** Does what is due. */
    public void timer(double at) {
        enter(at, () -> {});
    }

    /** When {@link #timer} has something to do, if nothing is heard until then; infinite if never. */
    public double wakeAt() {
        double engine =
                later.isEmpty() ? Double.POSITIVE_INFINITY : later.peek().at();
        return Math.min(engine, Math.min(proposer.wakeAt(), follower.wakeAt()));
    }

    /**
     * Has an operation agreed, wherever the leader is.
     *
     * @param operation its kind in the first byte, as {@link Agreements#operation} writes it
     * @param done      is told once what came of it, {@link Outcome.NotNow} at the latest after 8 s
     * @throws Fault.TooLarge if it is longer than operations may be
     */
    public void propose(double at, byte[] operation, Consumer<Outcome> done) {
        enter(at, () -> proposer.propose(now, operation, done));
    }

    /**
     * Hands the lead to the voter that was heard last, if it is ours. It takes a round trip or two: whoever ends in
     * order waits until {@link #leads} says no, but not for long, for the others find a new leader without it too.
     */
    public void leave(double at) {
        enter(at, () -> {
            if (leads()) {
                node.getReport().thenAccept(r -> hand(r.getResult()));
            }
        });
    }

    private void hand(RaftNodeReport report) {
        RaftEndpoint best = null;
        long bestAt = Long.MIN_VALUE;
        for (String name : setup.voters()) { // in one order: the report's is the engine's own
            Long heardAt = report.getHeartbeatTimestamps().get(new Voter(name));
            if (heardAt != null && !name.equals(setup.self()) && heardAt > bestAt) {
                best = new Voter(name);
                bestAt = heardAt;
            }
        }
        if (best != null) {
            node.transferLeadership(best);
        }
    }

    /** Ends; what it remembers stays with its keeper. */
    public void stop(double at) {
        enter(at, () -> {
            running = false;
            node.terminate();
        });
    }

    // ---- what it knows ----

    /** Index of the last operation that was applied here; 0 before the first. */
    public long version() {
        return machines.version();
    }

    /** Whether this voter leads as far as it knows. */
    public boolean leads() {
        return running
                && fault == null
                && new Voter(setup.self()).equals(node.getTerm().getLeaderEndpoint());
    }

    /** The newest term that it has seen. */
    public int term() {
        return node.getTerm().getTerm();
    }

    /**
     * Why this voter takes part no more, or null while it does. It goes on proposing and following as a member that
     * is no voter. Whoever owns it may open what it remembers anew, and start another ledger from that.
     */
    public Fault fault() {
        return fault;
    }

    /** Notes that were of no use here, so far. */
    public long dropped() {
        return dropped;
    }

    // ---- inside ----

    private void enter(double at, Runnable event) {
        now = Math.max(now, at);
        event.run();
        proposer.timer(now);
        follower.timer(now);
        while (!later.isEmpty() && later.peek().at() <= now) {
            queue.add(later.poll().task());
        }
        drain();
    }

    private void drain() {
        if (draining) {
            return; // called from inside of a task by whoever was told something: the loop below gets there
        }
        draining = true;
        try {
            for (Runnable task = queue.poll(); task != null; task = queue.poll()) {
                task.run();
            }
        } finally {
            draining = false;
        }
    }

    private void own(Note note) {
        if (note instanceof Note.Proposed m) {
            proposer.heard(now, setup.self(), m);
        } else if (note instanceof Note.Agreed m) {
            follower.heard(now, setup.self(), m);
        } else if (note instanceof Note.Propose m) {
            proposed(setup.self(), m, Proposal.read(m.operation()));
        } else if (note instanceof Note.AgreedAsk m) {
            asked(setup.self(), m);
        }
    }

    private RaftMessage message(String from, byte[] bytes) {
        RaftMessage message = EngineForm.message(bytes);
        if (!message.getGroupId().equals(setup.fleet())) {
            throw new Fault.OtherFleet((String) message.getGroupId());
        }
        if (!setup.voters().contains(from) || !new Voter(from).equals(message.getSender())) {
            throw new Fault.Stranger(Voter.nameOf(message.getSender()));
        }
        return message;
    }

    private void engine(RaftMessage message) {
        boolean answer = message instanceof AppendEntriesSuccessResponse
                || message instanceof AppendEntriesFailureResponse
                || message instanceof InstallSnapshotResponse
                || message instanceof VoteResponse
                || message instanceof PreVoteResponse;
        if (!running
                || fault != null
                || answer && message.getTerm() < node.getTerm().getTerm()) {
            dropped++;
        } else {
            node.handle(message);
        }
    }

    private void proposed(String from, Note.Propose note, Proposal proposal) {
        RaftEndpoint leader = node.getTerm().getLeaderEndpoint();
        if (!running || fault != null) {
            notNow(proposal, note.nonce());
        } else if (leads()) {
            if (!machines.knows(proposal.kind())) {
                // Agreed on, it would stop every voter of this version.
                outbox.send(
                        proposal.by(),
                        new Note.Proposed(
                                note.nonce(),
                                true,
                                Outcome.refused(new Fault.UnknownEntry(Integer.toString(proposal.kind()))),
                                0));
                return;
            }
            node.<byte[]>replicate(note.operation()).whenComplete((agreed, failure) -> {
                if (failure == null && agreed.getResult() != null) {
                    outbox.send(proposal.by(), new Note.Proposed(note.nonce(), true, agreed.getResult(), 0));
                } else {
                    notNow(proposal, note.nonce());
                }
            });
        } else if (leader != null && from.equals(proposal.by())) {
            outbox.send(Voter.nameOf(leader), note); // once: it answers the proposer itself
        } else {
            notNow(proposal, note.nonce());
        }
    }

    private void notNow(Proposal proposal, long nonce) {
        outbox.send(proposal.by(), new Note.Proposed(nonce, false, new byte[0], AGAIN_MS));
    }

    private void asked(String from, Note.AgreedAsk ask) {
        if (!running || fault != null) {
            dropped++; // it may have missed something: silence sends the asker elsewhere
        } else if (!leads()) {
            answer(from, ask, false);
        } else {
            waiting.put(from, ask);
            question();
        }
    }

    private void question() {
        if (asking || waiting.isEmpty()) {
            return;
        }
        asking = true;
        Map<String, Note.AgreedAsk> answered = new LinkedHashMap<>(waiting);
        waiting.clear();
        node.query(QUESTION, QueryPolicy.LINEARIZABLE, Optional.empty(), Optional.empty())
                .whenComplete((done, failure) -> {
                    asking = false;
                    answered.forEach((from, ask) -> answer(from, ask, failure == null));
                    queue.add(this::question);
                });
    }

    private void answer(String from, Note.AgreedAsk ask, boolean sure) {
        if (fault != null) {
            return;
        }
        if (ask.version() >= version()) {
            outbox.send(from, new Note.Agreed(ask.nonce(), version(), sure, 0, 0, new byte[0]));
            return;
        }
        List<byte[]> pieces = pieces(machines.state());
        for (int i = 0; i < pieces.size(); i++) {
            outbox.send(from, new Note.Agreed(ask.nonce(), version(), sure, i, pieces.size(), pieces.get(i)));
        }
    }

    private static List<byte[]> pieces(byte[] all) {
        List<byte[]> pieces = new ArrayList<>();
        for (int at = 0; at == 0 || at < all.length; at += PIECE_BYTES) {
            pieces.add(Arrays.copyOfRange(all, at, Math.min(all.length, at + PIECE_BYTES)));
        }
        return pieces;
    }

    /** Takes part no more: nothing leaves the engine from now on. */
    private void halt(Fault why) {
        if (fault == null) {
            fault = why;
            outbox.report(why.line());
            waiting.clear();
            node.terminate();
        }
    }

    /** The engine's tasks, run in order on the thread that calls us. */
    private final class Queue implements RaftNodeExecutor {
        @Override
        public void execute(Runnable task) {
            queue.add(task);
        }

        @Override
        public void submit(Runnable task) {
            queue.add(task);
        }

        @Override
        public void schedule(Runnable task, long delay, TimeUnit unit) {
            if (running && fault == null) {
                double ms = unit.toMicros(delay) / 1000.0 / SPEED * (1 + JITTER * random.nextDouble());
                later.add(new Later(now + ms, order++, task));
            }
        }
    }

    /** The relay's own clock as the engine reads it, faster by {@link #SPEED}. */
    private final class Ticks extends Clock {
        @Override
        public ZoneId getZone() {
            return ZoneOffset.UTC;
        }

        @Override
        public Clock withZone(ZoneId zone) {
            return this;
        }

        @Override
        public Instant instant() {
            return Instant.ofEpochMilli(millis());
        }

        @Override
        public long millis() {
            return (long) (now * SPEED);
        }
    }

    private final class Wire implements Transport {
        @Override
        public void send(RaftEndpoint to, RaftMessage message) {
            if (fault == null) {
                outbox.send(Voter.nameOf(to), new Note.Engine(EngineForm.bytes(message)));
            }
        }

        @Override
        public boolean isReachable(RaftEndpoint endpoint) {
            return true; // nobody knows; silence shows it
        }
    }

    private final class Machine implements StateMachine {
        @Override
        public Object runOperation(long index, Object operation) {
            if (operation == QUESTION || ((byte[]) operation).length == 0 || fault != null) {
                return null;
            }
            try {
                return machines.apply(index, (byte[]) operation);
            } catch (Fault e) {
                halt(e);
                throw e;
            }
        }

        @Override
        public void takeSnapshot(long index, Consumer<Object> chunks) {
            if (fault != null) {
                throw fault; // it would pass for one that holds what could not be applied
            }
            pieces(machines.snapshot()).forEach(chunks);
        }

        @Override
        public void installSnapshot(long index, List<Object> chunks) {
            int length = 0;
            for (Object chunk : chunks) {
                length += ((byte[]) chunk).length;
            }
            byte[] all = new byte[length];
            int at = 0;
            for (Object chunk : chunks) {
                byte[] piece = (byte[]) chunk;
                System.arraycopy(piece, 0, all, at, piece.length);
                at += piece.length;
            }
            try {
                machines.restore(all);
            } catch (Fault e) {
                halt(e);
                throw e;
            }
        }

        @Override
        public Object getNewTermOperation() {
            return NO_OPERATION; // entries of terms before are agreed only behind one of the leader's own
        }
    }

    private interface Step {
        void run() throws IOException;
    }

    /** The store; its first failure is the voter's end. */
    private final class Watched implements RaftStore {
        private final RaftStore store;

        private Watched(RaftStore store) {
            this.store = store;
        }

        private void step(Step step) throws IOException {
            if (fault != null) {
                throw new IOException(fault.getMessage());
            }
            try {
                step.run();
            } catch (IOException e) {
                halt(new Fault.LedgerUnwritten(e.getMessage()));
                throw e;
            }
        }

        @Override
        public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState state) throws IOException {
            step(() -> store.persistAndFlushLocalEndpoint(state));
        }

        @Override
        public void persistAndFlushInitialGroupMembers(RaftGroupMembersView members) throws IOException {
            step(() -> store.persistAndFlushInitialGroupMembers(members));
        }

        @Override
        public void persistAndFlushTerm(RaftTermPersistentState state) throws IOException {
            step(() -> store.persistAndFlushTerm(state));
        }

        @Override
        public void persistLogEntries(List<LogEntry> entries) throws IOException {
            step(() -> store.persistLogEntries(entries));
        }

        @Override
        public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
            step(() -> store.persistSnapshotChunk(chunk));
        }

        @Override
        public void truncateLogEntriesFrom(long index) throws IOException {
            step(() -> store.truncateLogEntriesFrom(index));
        }

        @Override
        public void truncateLogEntriesUntil(long index) throws IOException {
            step(() -> store.truncateLogEntriesUntil(index));
        }

        @Override
        public void deleteSnapshotChunks(long index, int count) throws IOException {
            step(() -> store.deleteSnapshotChunks(index, count));
        }

        @Override
        public void flush() throws IOException {
            step(store::flush);
        }
    }
}
