package firstair.fleet.member;

import firstair.fleet.Outbox;
import firstair.fleet.Setup;
import firstair.fleet.fault.Fault;
import firstair.fleet.talk.Codec;
import firstair.fleet.talk.Envelope;
import firstair.fleet.talk.EnvelopeFilter;
import firstair.fleet.talk.Note;
import firstair.fleet.talk.Note.Status;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

/** Members in virtual time on a network that loses, duplicates, reorders and cuts; all notes pass through the codec. */
final class SimulatedNetwork {
    static final double HELLO = 1000;

    /** Creates the membership of a process. */
    interface MembershipFactory {
        Membership of(Setup setup, long incarnation, Random random, Outbox out);
    }

    private record Event(double at, long order, Runnable what) {}

    /** One process of a member. */
    final class Process implements Outbox {
        final String name;
        final long incarnation;
        final Membership members;
        final EnvelopeFilter gate;
        private final Map<String, Status> before = new HashMap<>();
        boolean up = true;
        double pausedUntil;
        long bytes;
        int sent;

        private Process(String name, long incarnation) {
            this.name = name;
            this.incarnation = incarnation;
            Setup s = new Setup("f", name, "z", names, names.subList(0, 3), HELLO, 8 * HELLO, 200, 0.01, 0.5);
            members = making.of(s, incarnation, new Random(random.nextLong()), this);
            gate = new EnvelopeFilter(s, incarnation);
        }

        @Override
        public void send(String to, Note note) {
            Envelope e =
                    new Envelope("f", Envelope.VERSION, name, incarnation, to, members.incarnation(to), List.of(note));
            byte[] written = codec.write(e);
            bytes += written.length;
            sent++;
            sentTo.merge(to, 1, Integer::sum);
            for (int copies = random.nextDouble() < duplicationRate ? 2 : 1; copies > 0; copies--) {
                if (random.nextDouble() >= lossRate && !cutLinks.contains(name + ">" + to)) {
                    at(now + 1 + random.nextDouble() * 150, () -> arrive(to, written));
                }
            }
        }

        @Override
        public void report(String text) {
            reports.add(name + ": " + text);
        }

        private void receive(byte[] bytes) {
            if (!up) {
                return;
            } else if (pausedUntil > now) {
                at(pausedUntil, () -> receive(bytes));
                return;
            }
            try {
                Envelope e = codec.read(bytes);
                for (Note n : gate.accept(e)) {
                    members.receive(now, e.from(), e.incarnation(), n);
                }
            } catch (Fault.NameTaken f) {
                members.nameTaken();
            } catch (Fault f) {
                dropped++;
            }
            check(this);
        }

        private void timer() {
            if (!up) {
                return;
            } else if (pausedUntil > now) {
                at(pausedUntil, this::timer);
                return;
            }
            double next = members.timer(now);
            if (next < Double.POSITIVE_INFINITY) {
                at(Math.max(now, next), this::timer);
            }
            check(this);
        }
    }

    final List<String> names;
    final List<Process> processes = new ArrayList<>();
    final List<String> violations = new ArrayList<>();
    final List<String> reports = new ArrayList<>();
    final Map<String, Integer> sentTo = new HashMap<>();
    final Set<String> cutLinks = new HashSet<>();
    final Random random;
    double lossRate;
    double duplicationRate;
    double now;
    int dropped;
    boolean checked = true;
    private final MembershipFactory making;
    private final Codec codec = new Codec();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::at).thenComparingLong(Event::order));
    private final Map<String, Double> healthySince = new HashMap<>();
    private long order;
    private long incarnations = 1000;

    SimulatedNetwork(int members, long seed, MembershipFactory making) {
        this.making = making;
        random = new Random(seed);
        names = IntStream.range(0, members).mapToObj(i -> "relay-" + i).toList();
        names.forEach(this::begin);
        updateHealthySince();
    }

    Process start(String name) {
        Process p = begin(name);
        updateHealthySince();
        return p;
    }

    private Process begin(String name) {
        Process p = new Process(name, ++incarnations);
        processes.add(p);
        at(now + random.nextDouble() * HELLO, p::timer);
        return p;
    }

    /** The newest process of a name. */
    Process of(String name) {
        return processes.stream()
                .filter(p -> p.name.equals(name))
                .reduce((a, b) -> b)
                .orElseThrow();
    }

    void kill(String name) {
        of(name).up = false;
        updateHealthySince();
    }

    void pause(String name, double ms) {
        of(name).pausedUntil = now + ms;
        updateHealthySince();
        at(now + ms, this::updateHealthySince);
    }

    void cut(String from, String to) {
        cutLinks.add(from + ">" + to);
        updateHealthySince();
    }

    /** Partitions the network: no note passes between these and the rest. */
    void split(List<String> some) {
        for (String a : some) {
            names.stream()
                    .filter(b -> !some.contains(b))
                    .forEach(b -> cutLinks.addAll(List.of(a + ">" + b, b + ">" + a)));
        }
        updateHealthySince();
    }

    void heal() {
        cutLinks.clear();
        updateHealthySince();
    }

    void at(double when, Runnable what) {
        events.add(new Event(when, order++, what));
    }

    void run(double ms) {
        double end = now + ms;
        while (!events.isEmpty() && events.peek().at <= end) {
            Event e = events.poll();
            now = Math.max(now, e.at);
            e.what.run();
        }
        now = end;
    }

    private void arrive(String to, byte[] bytes) {
        List.copyOf(processes).stream().filter(p -> p.name.equals(to)).forEach(p -> p.receive(bytes));
    }

    /** Marks as healthy from now on who runs and has links both ways to a majority, itself included. */
    private void updateHealthySince() {
        for (String m : names) {
            long reached = names.stream()
                    .filter(x -> running(x) && !cutLinks.contains(m + ">" + x) && !cutLinks.contains(x + ">" + m))
                    .count();
            if (running(m) && reached > names.size() / 2) {
                healthySince.putIfAbsent(m, now);
            } else {
                healthySince.remove(m);
            }
        }
    }

    private boolean running(String name) {
        return processes.stream().anyMatch(p -> p.name.equals(name) && p.up && p.pausedUntil <= now);
    }

    /** How long a member has been healthy without interruption, ms. */
    private double healthyMs(String name) {
        Double since = healthySince.get(name);
        return since == null ? 0 : now - since;
    }

    /** No member that was healthy for as long as a suspicion lasts is declared gone or, by healthy ones, held so. */
    private void check(Process at) {
        if (!checked) {
            return;
        }
        double bound = at.members.suspicionMs() + 10 * HELLO; // an earlier rumour needs some hellos to spread
        for (String m : names) {
            Status held = at.members.status(m);
            Status old = at.before.put(m, held);
            if (held != Status.GONE || m.equals(at.name)) {
                continue;
            }
            if (old != null && old != Status.GONE && healthyMs(m) > bound) {
                violations.add(at.name + " declared " + m + " gone at " + now);
            } else if (Math.min(healthyMs(m), healthyMs(at.name)) > bound + 3 * names.size() * HELLO) {
                violations.add(at.name + " still holds " + m + " gone at " + now);
            }
        }
    }

    /** Whether all newest processes know each other's newest incarnation, with a status no worse than given. */
    boolean agreed(Status worst) {
        return names.stream().allMatch(a -> names.stream()
                .allMatch(b -> of(a).members.status(b).compareTo(worst) <= 0
                        && of(a).members.incarnation(b) == of(b).incarnation));
    }
}
