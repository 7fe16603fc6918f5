package firstair.fleet.budget;

import firstair.fleet.Outbox;
import firstair.fleet.Setup;
import firstair.fleet.talk.Note;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.IntStream;

/**
 * Processes of a fleet in virtual time, over a network with configurable faults. After every event the sum of all
 * allocations is checked.
 */
final class FleetSimulation {
    static final double RATIO = 0.5;
    private static final double CHECK_MS = 7; // terms expire without an event, so the sum is checked in between too

    /** One running process. */
    final class Process implements Outbox {
        final String name;
        final long incarnation;
        final Budgets budgets;
        final List<String> reports = new ArrayList<>();
        double rate = 1;
        double pausedUntil = Double.NEGATIVE_INFINITY;
        boolean killed;
        private double clockSetAt = time;
        private double clockAtSet = random.nextInt(1_000_000);

        Process(String name, long incarnation) {
            this.name = name;
            this.incarnation = incarnation;
            Setup ownSetup = new Setup(
                    setup.fleet(),
                    name,
                    setup.zone(),
                    setup.members(),
                    setup.voters(),
                    setup.helloMs(),
                    setup.quietMs(),
                    setup.delayMs(),
                    setup.drift(),
                    setup.cut());
            budgets = new Budgets(
                    rules.apply(ownSetup), incarnation, new Random(random.nextLong()), this, clock(), RATIO);
            at(time, this::wake);
        }

        double clock() {
            return clockAtSet + (time - clockSetAt) * rate;
        }

        void setRate(double newRate) {
            clockAtSet = clock();
            clockSetAt = time;
            rate = newRate;
        }

        private void wake() {
            if (killed) {
                return;
            }
            if (time < pausedUntil) {
                at(pausedUntil, this::wake);
                return;
            }
            double next = budgets.timer(clock());
            if (next < Double.POSITIVE_INFINITY) {
                at(time + Math.max(0.1, (next - clock()) / rate), this::wake);
            }
        }

        private void receive(Process from, Note note) {
            if (time < pausedUntil) {
                at(pausedUntil, () -> receive(from, note));
            } else if (!killed) {
                budgets.onNote(clock(), from.name, from.incarnation, note);
            }
        }

        int parts(String budget) {
            return budgets.allocation(clock(), budget).parts();
        }

        @Override
        public void send(String to, Note note) {
            sent++;
            for (int copies = random.nextDouble() < duplicated ? 2 : 1; copies > 0; copies--) {
                if (random.nextDouble() >= lost && !blocked.contains(name + ">" + to)) {
                    double share = note instanceof Note.LeaseRelease ? delayedReleases : delayed;
                    double delay = random.nextDouble() < share
                            ? random.nextDouble() * maxDelayMs
                            : 0.5 + random.nextDouble() * usualDelayMs;
                    at(time + delay, () -> List.copyOf(running).forEach(p -> {
                        if (p.name.equals(to)) {
                            p.receive(this, note);
                        }
                    }));
                }
            }
        }

        @Override
        public void report(String text) {
            reports.add(text);
        }
    }

    private record Event(double at, long order, Runnable what) {}

    final Setup setup;
    final Random random;
    final List<Process> running = new ArrayList<>();
    final Set<String> blocked = new LinkedHashSet<>(); // "a>b": nothing that a sends reaches b
    final Map<String, int[]> needs = new LinkedHashMap<>(); // by budget: parts needed by each member
    double time;
    double lost;
    double duplicated;
    double delayed;
    double delayedReleases;
    double maxDelayMs = 1;
    double usualDelayMs = 20;
    long sent;
    String violation; // the first violation found, null if none
    private final Function<Setup, LeaseRules> rules;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Double.compare(a.at, b.at) : Long.compare(a.order, b.order));
    private long order;
    private long incarnations;

    FleetSimulation(
            int relays, int voters, double quietMs, double drift, long seed, Function<Setup, LeaseRules> rules) {
        List<String> members = IntStream.range(0, relays).mapToObj(i -> "r" + i).toList();
        this.setup = new Setup(
                "f", "r0", "z", members, members.subList(0, voters), quietMs / 5, quietMs, quietMs / 10, drift, 0.5);
        this.random = new Random(seed);
        this.rules = rules;
        members.forEach(this::start);
        scheduleCheck();
    }

    /** Starts a process; others under its name keep running. */
    Process start(String name) {
        Process p = new Process(name, ++incarnations);
        running.add(p);
        return p;
    }

    void kill(Process p) {
        p.killed = true;
        running.remove(p);
    }

    Process process(String name) {
        return running.stream().filter(p -> p.name.equals(name)).findFirst().orElseThrow();
    }

    void at(double when, Runnable what) {
        events.add(new Event(when, order++, what));
    }

    private void scheduleCheck() {
        at(time + CHECK_MS, this::scheduleCheck);
    }

    /** Reports to each process, periodically until the end, what it needs and which members are alive. */
    void reportEvery(double ms, Function<Process, Set<String>> alive) {
        for (Process p : List.copyOf(running)) {
            needs.forEach((b, parts) ->
                    p.budgets.need(p.clock(), b, parts[setup.members().indexOf(p.name)]));
            p.budgets.alive(alive.apply(p));
        }
        at(time + ms, () -> reportEvery(ms, alive));
    }

    /** Runs for a while; the sum is checked after every event. */
    void run(double ms) {
        double end = time + ms;
        while (violation == null && !events.isEmpty() && events.peek().at <= end) {
            Event e = events.poll();
            time = e.at;
            e.what.run();
            check();
        }
        time = Math.max(time, end);
    }

    private void check() {
        for (String budget : needs.keySet()) {
            int sum = running.stream().mapToInt(p -> p.parts(budget)).sum();
            // The stated exception: each of several processes under one name may use its guaranteed parts. And a
            // stopped one may return at any moment and use them.
            sum += (setup.members().size() - running.size()) * setup.guaranteedParts();
            if (sum > Setup.WHOLE && violation == null) {
                violation = budget + " adds up to " + sum + " at " + time;
            }
        }
    }

    /** The fraction sent now of the calls that a single relay with all the demand would send. */
    double served(String budget) {
        int[] need = needs.get(budget);
        double sent = running.stream()
                .mapToDouble(p -> Math.min(p.parts(budget), need[setup.members().indexOf(p.name)]))
                .sum();
        return sent / Math.min(Setup.WHOLE, IntStream.of(need).sum());
    }
}
