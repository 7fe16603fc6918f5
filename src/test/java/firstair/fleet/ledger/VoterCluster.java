package firstair.fleet.ledger;

import firstair.fleet.Outbox;
import firstair.fleet.Setup;
import firstair.fleet.fault.Fault;
import firstair.fleet.talk.Note;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Simulates voters and two members that are not voters, in one thread and virtual time over a seeded network. The
 * invariants are checked at each event; the first violation fails the run with its seed.
 */
final class VoterCluster {
    static final int KIND = 7;

    private record Event(double at, long order, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event o) {
            return at != o.at ? Double.compare(at, o.at) : Long.compare(order, o.order);
        }
    }

    /** Records the operations it applies and compares them with those that other voters applied. */
    private final class RecordingStateMachine implements ReplicatedStateMachine {
        private final List<String> applied = new ArrayList<>();

        @Override
        public byte[] apply(long index, byte[] operation) {
            String id = new String(operation);
            checkCommitted(applied.size(), id);
            applied.add(id);
            return id.getBytes();
        }

        @Override
        public byte[] snapshot() {
            return String.join(",", applied).getBytes();
        }

        @Override
        public void restore(byte[] state) {
            applied.clear();
            applied.addAll(list(state));
            check(
                    applied.size() <= committed.size() && applied.equals(committed.subList(0, applied.size())),
                    "a snapshot with a different history");
        }
    }

    static List<String> list(byte[] state) {
        return state.length == 0 ? List.of() : Arrays.asList(new String(state).split(","));
    }

    /** One process of a member; each restart creates a new one. */
    final class Process implements Outbox {
        final Setup setup;
        private final long incarnation;
        InMemoryLedgerStore keeper;
        Ledger ledger; // only at voters
        Proposer proposer; // only at other members
        Follower follower;
        private double pausedUntil;
        private double timerAt = Double.POSITIVE_INFINITY;
        private boolean stopped;

        private Process(String name, long incarnation, LedgerState memory) {
            this.setup = setup(name);
            this.incarnation = incarnation;
            Random own = new Random(random.nextLong());
            if (memory != null) {
                keeper = new InMemoryLedgerStore(memory);
                ledger = new Ledger(
                        setup,
                        incarnation,
                        memory,
                        keeperWrapper.apply(keeper),
                        new LedgerStateMachines(new TreeMap<>(Map.of(KIND, new RecordingStateMachine()))),
                        this,
                        own,
                        this::update);
            } else {
                proposer = new Proposer(setup, incarnation, this, own);
                follower = new Follower(setup, this, own, this::update, 1000, 700);
            }
        }

        private void update(long version, byte[] state, boolean linearizable, double requestedAt) {
            List<String> held = state.length == 0
                    ? List.of()
                    : list(LedgerStateMachines.parts(state).get(KIND));
            check(
                    held.size() <= committed.size() && held.equals(committed.subList(0, held.size())),
                    "a state that was never committed");
            if (linearizable) {
                linearizableReads++;
                Set<String> contained = new HashSet<>(held);
                for (Map.Entry<String, Double> t : acknowledged.entrySet()) {
                    if (t.getValue() < requestedAt && !contained.contains(t.getKey())) {
                        check(
                                false,
                                setup.self() + ": linearizable read requested at " + requestedAt + " lacks "
                                        + t.getKey());
                    }
                }
            }
        }

        @Override
        public void send(String to, Note note) {
            if (!stopped) {
                sent++;
                transmit(setup.self(), to, note);
            }
        }

        @Override
        public void report(String text) {
            reports.add(text);
        }

        private void receive(String from, Note note) {
            if (stopped) {
                return;
            }
            if (pausedUntil > now) {
                later(pausedUntil - now, () -> receive(from, note));
                return;
            }
            try {
                if (ledger != null) {
                    ledger.receive(now, from, note);
                } else if (note instanceof Note.Proposed m) {
                    proposer.receive(now, from, m);
                } else if (note instanceof Note.StateChunk m) {
                    follower.receive(now, from, m);
                }
            } catch (Fault e) {
                throw new AssertionError("seed " + seed + ": " + e.line());
            }
            scheduleTimer();
        }

        private void runTimer() {
            if (stopped) {
                return;
            }
            timerAt = Double.POSITIVE_INFINITY;
            if (pausedUntil <= now) {
                if (ledger != null) {
                    ledger.timer(now);
                } else {
                    proposer.timer(now);
                    follower.timer(now);
                }
            }
            scheduleTimer();
        }

        private void scheduleTimer() {
            double at = ledger != null ? ledger.wakeAt() : Math.min(proposer.wakeAt(), follower.wakeAt());
            at = Math.max(Math.max(at, pausedUntil), now + 0.1);
            if (at < timerAt) {
                timerAt = at;
                final double scheduledAt = at;
                later(at - now, () -> {
                    if (timerAt == scheduledAt) {
                        runTimer();
                    }
                });
            }
            checkLeader();
        }

        private void checkLeader() {
            if (ledger != null && ledger.isLeader()) {
                String before = leaders.putIfAbsent(ledger.term(), setup.self());
                check(before == null || before.equals(setup.self()), "two leaders in term " + ledger.term());
            }
        }
    }

    final long seed;
    final Random random;
    final List<String> voters;
    final List<String> members = new ArrayList<>();
    final Map<String, Process> running = new LinkedHashMap<>();
    final Map<String, LedgerState> storage = new LinkedHashMap<>();
    final Set<String> blockedLinks = new HashSet<>(); // "a>b" for notes from a to b
    final List<String> committed = new ArrayList<>(); // ids of all committed operations, in order
    final Map<String, Double> acknowledged = new LinkedHashMap<>(); // ids and when their outcome was received
    final List<String> refused = new ArrayList<>();
    final List<String> reports = new ArrayList<>();
    private final Set<String> committedIds = new LinkedHashSet<>();
    private final Map<Integer, String> leaders = new TreeMap<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    Function<LedgerStore, LedgerStore> keeperWrapper = k -> k;
    double lossRate;
    double duplicationRate;
    double maxDelayMs = 20;
    String padding = "";
    double now;
    int linearizableReads;
    long sent;
    private long order;
    private long proposals;
    private long incarnations;

    VoterCluster(long seed, int count) {
        this.seed = seed;
        this.random = new Random(seed);
        this.voters = List.of("a", "b", "c", "d", "e").subList(0, count);
        members.addAll(voters);
        members.addAll(List.of("x", "y"));
    }

    Setup setup(String self) {
        return new Setup("fleet", self, "z", members, voters, 500, 3000, 100, 0.01, 0.5);
    }

    void start() {
        voters.forEach(v -> storage.put(v, LedgerState.initial("fleet", v, voters)));
        members.forEach(this::start);
    }

    void start(String name) {
        Process p = new Process(name, ++incarnations, voters.contains(name) ? storage.get(name) : null);
        running.put(name, p);
        if (p.ledger != null) {
            p.ledger.start(now);
        }
        p.runTimer();
    }

    /** Kills a process; its storage keeps all forced changes and a random number of the others. */
    void kill(String name) {
        Process p = running.remove(name);
        p.stopped = true;
        if (p.keeper != null) {
            storage.put(name, p.keeper.afterKill(random));
        }
    }

    void pause(String name, double ms) {
        running.get(name).pausedUntil = now + ms;
    }

    String propose(String member) {
        String id = member + (++proposals) + padding;
        byte[] operation = LedgerStateMachines.operation(KIND, id.getBytes());
        Process p = running.get(member);
        if (p.pausedUntil > now) {
            return id;
        }
        Consumer<Outcome> done = o -> {
            if (o instanceof Outcome.Committed a) {
                check(new String(a.result()).equals(id), "the result of another operation");
                check(committed.contains(id), id + " acknowledged but not committed");
                acknowledged.put(id, now);
            } else {
                refused.add(id);
            }
        };
        if (p.ledger != null) {
            p.ledger.propose(now, operation, done);
        } else {
            p.proposer.propose(now, operation, done);
        }
        p.scheduleTimer();
        return id;
    }

    String leader() {
        return running.values().stream()
                .filter(p -> p.ledger != null && p.ledger.isLeader())
                .map(p -> p.setup.self())
                .findFirst()
                .orElse(null);
    }

    void cutOff(String name, boolean inbound, boolean outbound) {
        for (String other : members) {
            if (!other.equals(name)) {
                if (inbound) {
                    blockedLinks.add(other + ">" + name);
                }
                if (outbound) {
                    blockedLinks.add(name + ">" + other);
                }
            }
        }
    }

    void later(double ms, Runnable task) {
        events.add(new Event(now + ms, order++, task));
    }

    void transmit(String from, String to, Note note) {
        if (blockedLinks.contains(from + ">" + to) || random.nextDouble() < lossRate) {
            return;
        }
        for (int n = random.nextDouble() < duplicationRate ? 2 : 1; n > 0; n--) {
            double ms = 1 + random.nextDouble() * maxDelayMs;
            if (random.nextInt(50) == 0) {
                ms *= 40; // so that later notes overtake it
            }
            later(ms, () -> {
                Process p = running.get(to);
                if (p != null) {
                    p.receive(from, note);
                }
            });
        }
    }

    void run(double ms) {
        double until = now + ms;
        while (!events.isEmpty() && events.peek().at() <= until) {
            Event e = events.poll();
            now = Math.max(now, e.at());
            e.task().run();
        }
        now = until;
    }

    private void checkCommitted(int position, String id) {
        if (position < committed.size()) {
            check(
                    committed.get(position).equals(id),
                    "two histories at position " + position + ": " + committed.get(position) + ", " + id);
        } else {
            check(committedIds.add(id), id + " applied twice");
            committed.add(id);
        }
    }

    void check(boolean holds, String what) {
        if (!holds) {
            throw new AssertionError("seed " + seed + " at " + now + " ms: " + what);
        }
    }
}
