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
 * Voters and two members that are none, in one thread and virtual time over a seeded network. What the voters promise
 * is checked at each thing that happens; the first broken promise ends the run with its seed.
 */
final class Voters {
    static final int KIND = 7;

    private record Event(double at, long order, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event o) {
            return at != o.at ? Double.compare(at, o.at) : Long.compare(order, o.order);
        }
    }

    /** A machine that notes what it runs; it tells the fleet, which compares. */
    private final class Notes implements Agreement {
        private final List<String> seen = new ArrayList<>();

        @Override
        public byte[] apply(long index, byte[] operation) {
            String id = new String(operation);
            agreed(seen.size(), id);
            seen.add(id);
            return id.getBytes();
        }

        @Override
        public byte[] snapshot() {
            return String.join(",", seen).getBytes();
        }

        @Override
        public void restore(byte[] state) {
            seen.clear();
            seen.addAll(list(state));
            check(seen.size() <= truth.size() && seen.equals(truth.subList(0, seen.size())), "a snapshot of others");
        }
    }

    static List<String> list(byte[] state) {
        return state.length == 0 ? List.of() : Arrays.asList(new String(state).split(","));
    }

    /** One process; a restart makes a new one. */
    final class Process implements Outbox {
        final Setup setup;
        private final long incarnation;
        MemoryKeeper keeper;
        Ledger ledger; // of voters
        Proposer proposer; // of others
        Follower follower;
        private double pausedUntil;
        private double timerAt = Double.POSITIVE_INFINITY;
        private boolean over;

        private Process(String name, long incarnation, LedgerMemory memory) {
            this.setup = setup(name);
            this.incarnation = incarnation;
            Random own = new Random(random.nextLong());
            if (memory != null) {
                keeper = new MemoryKeeper(memory);
                ledger = new Ledger(
                        setup,
                        incarnation,
                        memory,
                        keeping.apply(keeper),
                        new Agreements(new TreeMap<>(Map.of(KIND, new Notes()))),
                        this,
                        own,
                        this::confirmed);
            } else {
                proposer = new Proposer(setup, incarnation, this, own);
                follower = new Follower(setup, this, own, this::confirmed, 1000, 700);
            }
        }

        private void confirmed(long version, byte[] state, boolean sure, double askedAt) {
            List<String> held =
                    state.length == 0 ? List.of() : list(Agreements.parts(state).get(KIND));
            check(held.size() <= truth.size() && held.equals(truth.subList(0, held.size())), "told what was not");
            if (sure) {
                sures++;
                Set<String> holds = new HashSet<>(held);
                for (Map.Entry<String, Double> t : told.entrySet()) {
                    if (t.getValue() < askedAt && !holds.contains(t.getKey())) {
                        check(false, setup.self() + " is sure, asked at " + askedAt + ", and lacks " + t.getKey());
                    }
                }
            }
        }

        @Override
        public void send(String to, Note note) {
            if (!over) {
                sent++;
                post(setup.self(), to, note);
            }
        }

        @Override
        public void report(String text) {
            reports.add(text);
        }

        private void hear(String from, Note note) {
            if (over) {
                return;
            }
            if (pausedUntil > now) {
                later(pausedUntil - now, () -> hear(from, note));
                return;
            }
            try {
                if (ledger != null) {
                    ledger.heard(now, from, note);
                } else if (note instanceof Note.Proposed m) {
                    proposer.heard(now, from, m);
                } else if (note instanceof Note.Agreed m) {
                    follower.heard(now, from, m);
                }
            } catch (Fault e) {
                throw new AssertionError("seed " + seed + ": " + e.line());
            }
            arm();
        }

        private void tick() {
            if (over) {
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
            arm();
        }

        private void arm() {
            double at = ledger != null ? ledger.wakeAt() : Math.min(proposer.wakeAt(), follower.wakeAt());
            at = Math.max(Math.max(at, pausedUntil), now + 0.1);
            if (at < timerAt) {
                timerAt = at;
                final double mine = at;
                later(at - now, () -> {
                    if (timerAt == mine) {
                        tick();
                    }
                });
            }
            leading();
        }

        private void leading() {
            if (ledger != null && ledger.leads()) {
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
    final Map<String, LedgerMemory> folders = new LinkedHashMap<>();
    final Set<String> cut = new HashSet<>(); // "a>b"
    final List<String> truth = new ArrayList<>(); // what has been agreed, in order
    final Map<String, Double> told = new LinkedHashMap<>(); // acknowledged, and when
    final List<String> refused = new ArrayList<>();
    final List<String> reports = new ArrayList<>();
    private final Set<String> once = new LinkedHashSet<>();
    private final Map<Integer, String> leaders = new TreeMap<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    Function<Keeper, Keeper> keeping = k -> k;
    double loss;
    double doubled;
    double slowMs = 20;
    String padding = "";
    double now;
    int sures;
    long sent;
    private long order;
    private long proposals;
    private long incarnations;

    Voters(long seed, int count) {
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
        voters.forEach(v -> folders.put(v, LedgerMemory.founded("fleet", v, voters)));
        members.forEach(this::start);
    }

    void start(String name) {
        Process p = new Process(name, ++incarnations, voters.contains(name) ? folders.get(name) : null);
        running.put(name, p);
        if (p.ledger != null) {
            p.ledger.start(now);
        }
        p.tick();
    }

    /** Ends a process at once; its folder keeps what was forced and perhaps more. */
    void kill(String name) {
        Process p = running.remove(name);
        p.over = true;
        if (p.keeper != null) {
            folders.put(name, p.keeper.killed(random));
        }
    }

    void pause(String name, double ms) {
        running.get(name).pausedUntil = now + ms;
    }

    String propose(String at) {
        String id = at + (++proposals) + padding;
        byte[] operation = Agreements.operation(KIND, id.getBytes());
        Process p = running.get(at);
        if (p.pausedUntil > now) {
            return id;
        }
        Consumer<Outcome> done = o -> {
            if (o instanceof Outcome.Agreed a) {
                check(new String(a.result()).equals(id), "another's result");
                check(truth.contains(id), id + " told but not agreed");
                told.put(id, now);
            } else {
                refused.add(id);
            }
        };
        if (p.ledger != null) {
            p.ledger.propose(now, operation, done);
        } else {
            p.proposer.propose(now, operation, done);
        }
        p.arm();
        return id;
    }

    String leader() {
        return running.values().stream()
                .filter(p -> p.ledger != null && p.ledger.leads())
                .map(p -> p.setup.self())
                .findFirst()
                .orElse(null);
    }

    void cutOff(String name, boolean in, boolean out) {
        for (String other : members) {
            if (!other.equals(name)) {
                if (in) {
                    cut.add(other + ">" + name);
                }
                if (out) {
                    cut.add(name + ">" + other);
                }
            }
        }
    }

    void later(double ms, Runnable task) {
        events.add(new Event(now + ms, order++, task));
    }

    void post(String from, String to, Note note) {
        if (cut.contains(from + ">" + to) || random.nextDouble() < loss) {
            return;
        }
        for (int n = random.nextDouble() < doubled ? 2 : 1; n > 0; n--) {
            double ms = 1 + random.nextDouble() * slowMs;
            if (random.nextInt(50) == 0) {
                ms *= 40; // overtaken by all that follows
            }
            later(ms, () -> {
                Process p = running.get(to);
                if (p != null) {
                    p.hear(from, note);
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

    private void agreed(int position, String id) {
        if (position < truth.size()) {
            check(
                    truth.get(position).equals(id),
                    "two histories at " + position + ": " + truth.get(position) + ", " + id);
        } else {
            check(once.add(id), id + " counted twice");
            truth.add(id);
        }
    }

    void check(boolean holds, String what) {
        if (!holds) {
            throw new AssertionError("seed " + seed + " at " + now + " ms: " + what);
        }
    }
}
