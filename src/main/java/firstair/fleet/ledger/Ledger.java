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
 * One voter: a node of a Raft group (MicroRaft), driven from outside. The owner passes received notes to {@link
 * #receive}
 * and calls {@link #timer} at {@link #wakeAt}; the engine runs inside of these calls, on the caller's thread, and
 * starts no thread of its own. Times are milliseconds on the relay's monotonic clock; the wall clock isn't used, so it
 * may jump. The same calls with the same {@code Random} give the same notes.
 *
 * <p>The engine's timing has a granularity of one second, and it waits a whole second before it sends again to a voter
 * whose answer was lost. Its clock runs {@value #CLOCK_SPEEDUP} times faster than ours, so that both take a quarter.
 * Jitter is added to its delays here, because its own is too small to keep candidates apart.
 *
 * <p>Three measures cover cases that the engine doesn't handle safely:
 * <ul>
 * <li>After it has become leader again, it takes late responses to requests of its earlier term for responses of the
 * current term, and may then count an entry as replicated on a voter that has truncated it since. Responses of an
 * earlier term are dropped here.
 * <li>Queries that arrive while another one is in flight join it, so that they would count responses to requests sent
 * before they arrived. Only one query is in flight at a time here; later ones wait for the next.
 * <li>It goes on after its store has failed, with entries in memory that are not on disk. Here it sends nothing more
 * once its store has failed: this voter stops and reports why.
 * </ul>
 *
 * <p>Reads use {@link QueryPolicy#LINEARIZABLE}: a majority has answered requests that were sent after the query
 * arrived. {@link QueryPolicy#LEADER_LEASE} would save that round trip, but its lease counts from the arrival of
 * responses and not from the sending of the requests, and it needs clocks of equal rate and a process that is never
 * suspended; neither is given here.
 */
public final class Ledger {
    private static final int CLOCK_SPEEDUP = 4; // of the engine's clock against ours
    private static final int HEARTBEAT_S = 1; // on the engine's clock
    private static final double MIN_LEADER_TIMEOUT_MS = 2000; // without a heartbeat, before an election starts
    private static final double LEADER_TIMEOUT_DELAYS = 10; // but at least so many times the maximum network delay
    private static final double MIN_ELECTION_TIMEOUT_MS = 500;
    private static final double ELECTION_TIMEOUT_DELAYS = 4; // at least so many times the maximum network delay
    private static final double MAX_JITTER = 0.25; // share by which a delay is lengthened at most
    private static final int MAX_ENTRIES_PER_APPEND = 8; // of up to 64 KiB: at most half a MiB in one note
    private static final int MAX_PENDING_ENTRIES = 256;
    private static final int SNAPSHOT_INTERVAL_ENTRIES = 1000;
    private static final int CHUNK_BYTES = 16_384;
    private static final double POLL_INTERVAL_MS = 1000;
    private static final double POLL_TIMEOUT_MS = 700;
    private static final double RETRY_AFTER_MS = 300; // until the proposer tries the next voter
    private static final byte[] NO_OPERATION = new byte[0]; // first entry of a new leader's term
    private static final Object READ_BARRIER = new Object(); // a query that reads nothing

    private record ScheduledTask(double at, long sequence, Runnable task) implements Comparable<ScheduledTask> {
        @Override
        public int compareTo(ScheduledTask other) {
            int byTime = Double.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    private final Setup setup;
    private final LedgerStateMachines stateMachines;
    private final Random random;
    private final Outbox outbox;
    private final Proposer proposer;
    private final Follower follower;
    private final RaftNode node;
    private final Deque<Runnable> queue = new ArrayDeque<>();
    private final PriorityQueue<ScheduledTask> scheduled = new PriorityQueue<>();
    private final Map<String, Note.StateRequest> pendingReads = new LinkedHashMap<>(); // by sender, the newest of each
    private boolean reading; // a query is in flight
    private boolean running;
    private boolean runningTasks;
    private long nextSequence;
    private double now;
    private long dropped;
    private Fault fault;

    /**
     * Creates a voter that is not started yet.
     *
     * @param incarnation   of this process, higher than that of all earlier ones with this name
     * @param memory        the stored state of this voter, or {@link LedgerState#initial} at its very first start
     * @param keeper        stores changes to it
     * @param stateMachines in their initial state
     * @param random        for delays and nonces
     * @param listener      receives the committed state, as from the {@link Follower} of a relay that is not a voter
     * @throws Fault.BadSetup if the stored state belongs to another voter, fleet or set of voters
     */
    public Ledger(
            Setup setup,
            long incarnation,
            LedgerState memory,
            LedgerStore keeper,
            LedgerStateMachines stateMachines,
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
        this.stateMachines = stateMachines;
        this.random = random;
        Outbox out = new Outbox() {
            @Override
            public void send(String to, Note note) {
                if (to.equals(setup.self())) {
                    queue.add(() -> handleOwn(note));
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
        this.follower = new Follower(setup, out, random, listener, POLL_INTERVAL_MS, POLL_TIMEOUT_MS);
        double electionTimeout = Math.max(MIN_ELECTION_TIMEOUT_MS, ELECTION_TIMEOUT_DELAYS * setup.delayMs());
        double leaderTimeout = Math.max(MIN_LEADER_TIMEOUT_MS, LEADER_TIMEOUT_DELAYS * setup.delayMs());
        RaftConfig config = RaftConfig.newBuilder()
                .setLeaderHeartbeatPeriodSecs(HEARTBEAT_S)
                .setLeaderHeartbeatTimeoutSecs((long) Math.ceil(leaderTimeout * CLOCK_SPEEDUP / 1000))
                .setLeaderElectionTimeoutMillis((long) (electionTimeout * CLOCK_SPEEDUP))
                .setAppendEntriesRequestBatchSize(MAX_ENTRIES_PER_APPEND)
                .setMaxPendingLogEntryCount(MAX_PENDING_ENTRIES)
                .setCommitCountToTakeSnapshot(SNAPSHOT_INTERVAL_ENTRIES)
                .setTransferSnapshotsFromFollowersEnabled(false)
                .build();
        this.node = RaftNode.newBuilder()
                .setGroupId(setup.fleet())
                .setRestoredState(memory.restoredState())
                .setConfig(config)
                .setExecutor(new TaskQueue())
                .setTransport(new EngineTransport())
                .setStateMachine(new EngineStateMachine())
                .setStore(new FailStopStore(memory.store(keeper)))
                .setModelFactory(RaftCodec.MODEL)
                .setRandom(random)
                .setClock(new EngineClock())
                .build();
    }

    // ---- events ----

    /** Starts the voter; to be called once. */
    public void start(double at) {
        running = true;
        runEvent(at, node::start);
    }

    /**
     * Receives a note.
     *
     * @throws Fault if the note is rejected; nothing has changed then
     */
    public void receive(double at, String from, Note note) {
        if (note instanceof Note.Proposed m) {
            runEvent(at, () -> proposer.receive(now, from, m));
        } else if (note instanceof Note.StateChunk m) {
            runEvent(at, () -> follower.receive(now, from, m));
        } else if (!setup.members().contains(from)) {
            throw new Fault.Stranger(from);
        } else if (note instanceof Note.ConsensusMessage m) {
            RaftMessage message = decode(from, m.bytes());
            runEvent(at, () -> handleRaftMessage(message));
        } else if (note instanceof Note.Propose m) {
            Proposal proposal = Proposal.decode(m.operation());
            if (!setup.members().contains(proposal.proposer())) {
                throw new Fault.Stranger(proposal.proposer());
            }
            runEvent(at, () -> handleProposal(from, m, proposal));
        } else if (note instanceof Note.StateRequest m) {
            runEvent(at, () -> handleRead(from, m));
        } else {
            dropped++;
        }
    }

    /** Runs the tasks that are due. */
    public void timer(double at) {
        runEvent(at, () -> {});
    }

    /** When {@link #timer} has to be called next if no note arrives before; infinite if never. */
    public double wakeAt() {
        double engine = scheduled.isEmpty()
                ? Double.POSITIVE_INFINITY
                : scheduled.peek().at();
        return Math.min(engine, Math.min(proposer.wakeAt(), follower.wakeAt()));
    }

    /**
     * Proposes an operation, whichever voter is the leader.
     *
     * @param operation its kind in the first byte, as {@link LedgerStateMachines#operation} writes it
     * @param callback  called once with the outcome; with {@link Outcome.NotNow} after 8 s at the latest
     * @throws Fault.TooLarge if the operation is too long
     */
    public void propose(double at, byte[] operation, Consumer<Outcome> callback) {
        runEvent(at, () -> proposer.propose(now, operation, callback));
    }

    /**
     * Transfers leadership, if this voter is the leader, to the voter heard from most recently. That takes a round trip
     * or two: at a regular shutdown, wait until {@link #isLeader} returns false, but not for long, since the others
     * also
     * elect a new leader without a transfer.
     */
    public void transferLeadership(double at) {
        runEvent(at, () -> {
            if (isLeader()) {
                node.getReport().thenAccept(r -> transferLeadership(r.getResult()));
            }
        });
    }

    private void transferLeadership(RaftNodeReport report) {
        RaftEndpoint best = null;
        long bestAt = Long.MIN_VALUE;
        for (String name : setup.voters()) { // for a deterministic order, which the report doesn't have
            Long heartbeatAt = report.getHeartbeatTimestamps().get(new Voter(name));
            if (heartbeatAt != null && !name.equals(setup.self()) && heartbeatAt > bestAt) {
                best = new Voter(name);
                bestAt = heartbeatAt;
            }
        }
        if (best != null) {
            node.transferLeadership(best);
        }
    }

    /** Stops the voter; its stored state remains. */
    public void stop(double at) {
        runEvent(at, () -> {
            running = false;
            node.terminate();
        });
    }

    // ---- state ----

    /** Log index of the last operation that was applied here; 0 before the first. */
    public long version() {
        return stateMachines.version();
    }

    /** Whether this voter is the leader as far as it knows. */
    public boolean isLeader() {
        return running
                && fault == null
                && new Voter(setup.self()).equals(node.getTerm().getLeaderEndpoint());
    }

    /** The newest term that this voter has seen. */
    public int term() {
        return node.getTerm().getTerm();
    }

    /**
     * Why this voter no longer participates, or null while it does. It still proposes and follows like a relay that is
     * not a voter. The owner may open the stored state again and start a new ledger from it.
     */
    public Fault fault() {
        return fault;
    }

    /** Number of notes dropped so far. */
    public long dropped() {
        return dropped;
    }

    // ---- internals ----

    private void runEvent(double at, Runnable event) {
        now = Math.max(now, at);
        event.run();
        proposer.timer(now);
        follower.timer(now);
        while (!scheduled.isEmpty() && scheduled.peek().at() <= now) {
            queue.add(scheduled.poll().task());
        }
        runQueuedTasks();
    }

    private void runQueuedTasks() {
        if (runningTasks) {
            return; // called by a callback from inside of a task: the running loop below gets to it
        }
        runningTasks = true;
        try {
            for (Runnable task = queue.poll(); task != null; task = queue.poll()) {
                task.run();
            }
        } finally {
            runningTasks = false;
        }
    }

    private void handleOwn(Note note) {
        if (note instanceof Note.Proposed m) {
            proposer.receive(now, setup.self(), m);
        } else if (note instanceof Note.StateChunk m) {
            follower.receive(now, setup.self(), m);
        } else if (note instanceof Note.Propose m) {
            handleProposal(setup.self(), m, Proposal.decode(m.operation()));
        } else if (note instanceof Note.StateRequest m) {
            handleRead(setup.self(), m);
        }
    }

    private RaftMessage decode(String from, byte[] bytes) {
        RaftMessage message = RaftCodec.decode(bytes);
        if (!message.getGroupId().equals(setup.fleet())) {
            throw new Fault.OtherFleet((String) message.getGroupId());
        }
        if (!setup.voters().contains(from) || !new Voter(from).equals(message.getSender())) {
            throw new Fault.Stranger(Voter.nameOf(message.getSender()));
        }
        return message;
    }

    private void handleRaftMessage(RaftMessage message) {
        boolean response = message instanceof AppendEntriesSuccessResponse
                || message instanceof AppendEntriesFailureResponse
                || message instanceof InstallSnapshotResponse
                || message instanceof VoteResponse
                || message instanceof PreVoteResponse;
        if (!running
                || fault != null
                || response && message.getTerm() < node.getTerm().getTerm()) {
            dropped++;
        } else {
            node.handle(message);
        }
    }

    private void handleProposal(String from, Note.Propose note, Proposal proposal) {
        RaftEndpoint leader = node.getTerm().getLeaderEndpoint();
        if (!running || fault != null) {
            replyNotNow(proposal, note.nonce());
        } else if (isLeader()) {
            if (!stateMachines.supports(proposal.kind())) {
                // Once committed, it would stop every voter of this version.
                outbox.send(
                        proposal.proposer(),
                        new Note.Proposed(
                                note.nonce(),
                                true,
                                Outcome.encodeRefused(new Fault.UnknownEntry(Integer.toString(proposal.kind()))),
                                0));
                return;
            }
            node.<byte[]>replicate(note.operation()).whenComplete((committed, failure) -> {
                if (failure == null && committed.getResult() != null) {
                    outbox.send(proposal.proposer(), new Note.Proposed(note.nonce(), true, committed.getResult(), 0));
                } else {
                    replyNotNow(proposal, note.nonce());
                }
            });
        } else if (leader != null && from.equals(proposal.proposer())) {
            outbox.send(Voter.nameOf(leader), note); // forwarded once; the leader answers the proposer directly
        } else {
            replyNotNow(proposal, note.nonce());
        }
    }

    private void replyNotNow(Proposal proposal, long nonce) {
        outbox.send(proposal.proposer(), new Note.Proposed(nonce, false, new byte[0], RETRY_AFTER_MS));
    }

    private void handleRead(String from, Note.StateRequest request) {
        if (!running || fault != null) {
            dropped++; // the state may be stale; without an answer the sender tries another voter
        } else if (!isLeader()) {
            sendState(from, request, false);
        } else {
            pendingReads.put(from, request);
            startRead();
        }
    }

    private void startRead() {
        if (reading || pendingReads.isEmpty()) {
            return;
        }
        reading = true;
        Map<String, Note.StateRequest> batch = new LinkedHashMap<>(pendingReads);
        pendingReads.clear();
        node.query(READ_BARRIER, QueryPolicy.LINEARIZABLE, Optional.empty(), Optional.empty())
                .whenComplete((done, failure) -> {
                    reading = false;
                    batch.forEach((from, request) -> sendState(from, request, failure == null));
                    queue.add(this::startRead);
                });
    }

    private void sendState(String to, Note.StateRequest request, boolean linearizable) {
        if (fault != null) {
            return;
        }
        if (request.version() >= version()) {
            outbox.send(to, new Note.StateChunk(request.nonce(), version(), linearizable, 0, 0, new byte[0]));
            return;
        }
        List<byte[]> chunks = chunks(stateMachines.state());
        for (int i = 0; i < chunks.size(); i++) {
            outbox.send(
                    to, new Note.StateChunk(request.nonce(), version(), linearizable, i, chunks.size(), chunks.get(i)));
        }
    }

    private static List<byte[]> chunks(byte[] all) {
        List<byte[]> chunks = new ArrayList<>();
        for (int at = 0; at == 0 || at < all.length; at += CHUNK_BYTES) {
            chunks.add(Arrays.copyOfRange(all, at, Math.min(all.length, at + CHUNK_BYTES)));
        }
        return chunks;
    }

    /** Stops participating: the engine sends nothing from now on. */
    private void fail(Fault why) {
        if (fault == null) {
            fault = why;
            outbox.report(why.line());
            pendingReads.clear();
            node.terminate();
        }
    }

    /** Runs the engine's tasks in order on the caller's thread. */
    private final class TaskQueue implements RaftNodeExecutor {
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
                double ms = unit.toMicros(delay) / 1000.0 / CLOCK_SPEEDUP * (1 + MAX_JITTER * random.nextDouble());
                scheduled.add(new ScheduledTask(now + ms, nextSequence++, task));
            }
        }
    }

    /** The relay's monotonic clock as the engine reads it, faster by {@link #CLOCK_SPEEDUP}. */
    private final class EngineClock extends Clock {
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
            return (long) (now * CLOCK_SPEEDUP);
        }
    }

    private final class EngineTransport implements Transport {
        @Override
        public void send(RaftEndpoint to, RaftMessage message) {
            if (fault == null) {
                outbox.send(Voter.nameOf(to), new Note.ConsensusMessage(RaftCodec.encode(message)));
            }
        }

        @Override
        public boolean isReachable(RaftEndpoint endpoint) {
            return true; // unknown; a missing answer shows it
        }
    }

    private final class EngineStateMachine implements StateMachine {
        @Override
        public Object runOperation(long index, Object operation) {
            if (operation == READ_BARRIER || ((byte[]) operation).length == 0 || fault != null) {
                return null;
            }
            try {
                return stateMachines.apply(index, (byte[]) operation);
            } catch (Fault e) {
                fail(e);
                throw e;
            }
        }

        @Override
        public void takeSnapshot(long index, Consumer<Object> consumer) {
            if (fault != null) {
                throw fault; // the snapshot would claim to contain an operation that could not be applied
            }
            chunks(stateMachines.snapshot()).forEach(consumer);
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
                byte[] bytes = (byte[]) chunk;
                System.arraycopy(bytes, 0, all, at, bytes.length);
                at += bytes.length;
            }
            try {
                stateMachines.restore(all);
            } catch (Fault e) {
                fail(e);
                throw e;
            }
        }

        @Override
        public Object getNewTermOperation() {
            return NO_OPERATION; // entries of earlier terms are committed only together with one of the current term
        }
    }

    private interface StoreCall {
        void run() throws IOException;
    }

    /** Passes calls to a store; the first failure stops the voter. */
    private final class FailStopStore implements RaftStore {
        private final RaftStore store;

        private FailStopStore(RaftStore store) {
            this.store = store;
        }

        private void call(StoreCall call) throws IOException {
            if (fault != null) {
                throw new IOException(fault.getMessage());
            }
            try {
                call.run();
            } catch (IOException e) {
                fail(new Fault.LedgerUnwritten(e.getMessage()));
                throw e;
            }
        }

        @Override
        public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState state) throws IOException {
            call(() -> store.persistAndFlushLocalEndpoint(state));
        }

        @Override
        public void persistAndFlushInitialGroupMembers(RaftGroupMembersView members) throws IOException {
            call(() -> store.persistAndFlushInitialGroupMembers(members));
        }

        @Override
        public void persistAndFlushTerm(RaftTermPersistentState state) throws IOException {
            call(() -> store.persistAndFlushTerm(state));
        }

        @Override
        public void persistLogEntries(List<LogEntry> entries) throws IOException {
            call(() -> store.persistLogEntries(entries));
        }

        @Override
        public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
            call(() -> store.persistSnapshotChunk(chunk));
        }

        @Override
        public void truncateLogEntriesFrom(long index) throws IOException {
            call(() -> store.truncateLogEntriesFrom(index));
        }

        @Override
        public void truncateLogEntriesUntil(long index) throws IOException {
            call(() -> store.truncateLogEntriesUntil(index));
        }

        @Override
        public void deleteSnapshotChunks(long index, int count) throws IOException {
            call(() -> store.deleteSnapshotChunks(index, count));
        }

        @Override
        public void flush() throws IOException {
            call(store::flush);
        }
    }
}
