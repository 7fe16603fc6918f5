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

/** Processes of a fleet in virtual time, over a network as bad as it is told to be. The sum is checked throughout. */
final class World {
    static final double RATIO = 0.5;
    private static final double LOOK_MS = 7; // ends of terms are no events, so one looks in between too

    /** One running process. */
    final class Process implements Outbox {
        final String name;
        final long incarnation;
        final Budgets budgets;
        final List<String> reports = new ArrayList<>();
        double rate = 1;
        double pausedUntil = Double.NEGATIVE_INFINITY;
        boolean dead;
        private double clockSetAt = time;
        private double clockThen = random.nextInt(1_000_000);

        Process(String name, long incarnation) {
            this.name = name;
            this.incarnation = incarnation;
            Setup own = new Setup(
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
            budgets = new Budgets(rules.apply(own), incarnation, new Random(random.nextLong()), this, clock(), RATIO);
            at(time, this::wake);
        }

        double clock() {
            return clockThen + (time - clockSetAt) * rate;
        }

        void turn(double newRate) {
            clockThen = clock();
            clockSetAt = time;
            rate = newRate;
        }

        private void wake() {
            if (dead) {
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

        private void take(Process from, Note note) {
            if (time < pausedUntil) {
                at(pausedUntil, () -> take(from, note));
            } else if (!dead) {
                budgets.heard(clock(), from.name, from.incarnation, note);
            }
        }

        int part(String budget) {
            return budgets.part(clock(), budget).parts();
        }

        @Override
        public void send(String to, Note note) {
            sent++;
            for (int copies = random.nextDouble() < doubled ? 2 : 1; copies > 0; copies--) {
                if (random.nextDouble() >= lost && !cut.contains(name + ">" + to)) {
                    double share = note instanceof Note.StandingBack ? lateBack : late;
                    double delay = random.nextDouble() < share
                            ? random.nextDouble() * latestMs
                            : 0.5 + random.nextDouble() * usualMs;
                    at(time + delay, () -> List.copyOf(running).forEach(p -> {
                        if (p.name.equals(to)) {
                            p.take(this, note);
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
    final Set<String> cut = new LinkedHashSet<>(); // "a>b": nothing of a reaches b
    final Map<String, int[]> needs = new LinkedHashMap<>(); // by budget: of each member
    double time;
    double lost;
    double doubled;
    double late;
    double lateBack;
    double latestMs = 1;
    double usualMs = 20;
    long sent;
    String broken; // what was found first
    private final Function<Setup, Rules> rules;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Double.compare(a.at, b.at) : Long.compare(a.order, b.order));
    private long order;
    private long incarnations;

    World(int relays, int voters, double quietMs, double drift, long seed, Function<Setup, Rules> rules) {
        List<String> members = IntStream.range(0, relays).mapToObj(i -> "r" + i).toList();
        this.setup = new Setup(
                "f", "r0", "z", members, members.subList(0, voters), quietMs / 5, quietMs, quietMs / 10, drift, 0.5);
        this.random = new Random(seed);
        this.rules = rules;
        members.forEach(this::start);
        look();
    }

    /** A process starts; others under its name go on. */
    Process start(String name) {
        Process p = new Process(name, ++incarnations);
        running.add(p);
        return p;
    }

    void kill(Process p) {
        p.dead = true;
        running.remove(p);
    }

    Process of(String name) {
        return running.stream().filter(p -> p.name.equals(name)).findFirst().orElseThrow();
    }

    void at(double when, Runnable what) {
        events.add(new Event(when, order++, what));
    }

    private void look() {
        at(time + LOOK_MS, this::look);
    }

    /** Tells each process what it needs, and whom it hears, every so often until the end. */
    void tellEvery(double ms, Function<Process, Set<String>> hears) {
        for (Process p : List.copyOf(running)) {
            needs.forEach((b, parts) ->
                    p.budgets.need(p.clock(), b, parts[setup.members().indexOf(p.name)]));
            p.budgets.alive(hears.apply(p));
        }
        at(time + ms, () -> tellEvery(ms, hears));
    }

    /** Plays on; the sum is checked after every event. */
    void play(double ms) {
        double end = time + ms;
        while (broken == null && !events.isEmpty() && events.peek().at <= end) {
            Event e = events.poll();
            time = e.at;
            e.what.run();
            check();
        }
        time = Math.max(time, end);
    }

    private void check() {
        for (String budget : needs.keySet()) {
            int sum = running.stream().mapToInt(p -> p.part(budget)).sum();
            // The stated exception: of processes under one name each may use what is sure. And a dead one may
            // return at any moment and use it.
            sum += (setup.members().size() - running.size()) * setup.sure();
            if (sum > Setup.WHOLE && broken == null) {
                broken = budget + " sums up to " + sum + " at " + time;
            }
        }
    }

    /** Share of the calls needed that is sent now, of those that one relay that sees all would send. */
    double served(String budget) {
        int[] need = needs.get(budget);
        double sent = running.stream()
                .mapToDouble(p -> Math.min(p.part(budget), need[setup.members().indexOf(p.name)]))
                .sum();
        return sent / Math.min(Setup.WHOLE, IntStream.of(need).sum());
    }
}
