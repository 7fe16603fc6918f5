package firstair.fleet.residency;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Simulates relays with drifting clocks while contracts change in true time. No relay may send outside its contract one
 * term after a restriction, and no relay may use an extension while another one still uses an earlier version.
 */
class BoundTest {
    private static final double TERM_MS = ContractsTest.TERM_MS;
    private static final double DRIFT = ContractsTest.SETUP.drift();
    private static final List<String> TENANTS = List.of("t0", "t1", "t2");
    private static final String[] ZONES = {"a", "b", "c", "d"};

    /** Defects that the checks must detect. */
    private enum Defect {
        NONE,
        COUNTS_FROM_RECEPTION,
        EXTENDS_AT_ONCE,
        REMOVES_ALWAYS
    }

    private record Event(double at, int order, Runnable run) {}

    private static final class Simulation {
        private final Random random;
        private final Defect defect;
        private final List<Map<String, Contract>> versions = new ArrayList<>();
        private final List<Double> agreedAt = new ArrayList<>();
        private final PriorityQueue<Event> events = new PriorityQueue<>(
                (a, b) -> a.at != b.at ? Double.compare(a.at, b.at) : Integer.compare(a.order, b.order));
        private final Relay[] relays;
        private double time;
        private int order;
        private String violation = "";
        private int allowedCount;

        /** A relay; its clock has its own rate and its own origin. */
        private final class Relay {
            private final double rate = 1 + (random.nextInt(3) - 1) * DRIFT;
            private double startedAt;
            private double partitionedUntil;
            private boolean repliesLost;
            private Contracts contracts;

            private double now() {
                return 5e6 + (time - startedAt) * rate;
            }

            /** Starts without state, with an old file. */
            private void start() {
                startedAt = time;
                contracts = new Contracts(
                        ContractsTest.SETUP,
                        now(),
                        time,
                        TERM_MS,
                        versions.get(0),
                        true,
                        ContractsTest.reportingTo(new ArrayList<>()));
            }

            private void query() {
                if (random.nextInt(40) == 0) {
                    start();
                }
                if (time > partitionedUntil && random.nextInt(12) == 0) {
                    partitionedUntil = time + random.nextDouble() * 4 * TERM_MS;
                    repliesLost = random.nextBoolean();
                }
                Contracts process = contracts;
                double sentAt = now();
                boolean partitioned = time < partitionedUntil;
                if (!partitioned || repliesLost) {
                    schedule(random.nextDouble() * 300, () -> reply(process, sentAt, partitioned));
                }
                schedule(20 + random.nextDouble() * 150, this::query);
            }

            private void reply(Contracts process, double sentAt, boolean lost) {
                int newest = versions.size() - 1;
                if (!lost) {
                    for (int v = Math.max(1, random.nextBoolean() ? newest - 3 : newest); v <= newest; v++) {
                        int version = v;
                        schedule(
                                random.nextDouble() * 300,
                                () -> process.acceptVersion(now(), version, versions.get(version), true));
                    }
                    schedule(random.nextDouble() * 900, () -> {
                        if (process == contracts) {
                            process.confirmed(now(), defect == Defect.COUNTS_FROM_RECEPTION ? now() : sentAt, newest);
                        }
                        if (defect == Defect.EXTENDS_AT_ONCE) {
                            process.settled(now(), newest);
                        }
                    });
                }
            }
        }

        Simulation(long seed, Defect defect) {
            random = new Random(seed);
            this.defect = defect;
            versions.add(next(Map.of()));
            agreedAt.add(Double.NEGATIVE_INFINITY);
            relays = new Relay[3 + random.nextInt(7)];
            for (int i = 0; i < relays.length; i++) {
                relays[i] = new Relay();
                relays[i].start();
                schedule(random.nextDouble() * 100, relays[i]::query);
            }
            schedule(100, this::change);
        }

        private void schedule(double ms, Runnable run) {
            events.add(new Event(time + ms, order++, run));
        }

        /** Random contracts that keep the guarantees of all earlier versions. */
        private Map<String, Contract> next(Map<String, Contract> last) {
            Map<String, Contract> all = new LinkedHashMap<>();
            for (String tenant : TENANTS) {
                Set<String> guaranteed = new TreeSet<>();
                if (defect != Defect.REMOVES_ALWAYS) {
                    versions.stream()
                            .filter(v -> v.containsKey(tenant))
                            .forEach(v -> guaranteed.addAll(v.get(tenant).always()));
                }
                Set<String> zones = randomZones(guaranteed);
                Set<String> always = new TreeSet<>(guaranteed);
                if (random.nextInt(6) == 0 || versions.isEmpty()) {
                    always.add(zones.iterator().next());
                }
                if (!guaranteed.isEmpty() || random.nextInt(4) > 0) {
                    Set<String> pay = randomZones(always);
                    all.put(tenant, new Contract(tenant, zones, Map.of("pay", pay), always, 0, 0));
                }
            }
            if (defect != Defect.REMOVES_ALWAYS) {
                Contract.checkKeepsGuarantees(versions, all);
            }
            return random.nextInt(3) == 0 && !last.isEmpty() ? last : all;
        }

        private Set<String> randomZones(Set<String> required) {
            Set<String> zones = new TreeSet<>(required);
            while (zones.isEmpty() || random.nextInt(3) > 0) {
                zones.add(ZONES[random.nextInt(ZONES.length)]);
            }
            return zones;
        }

        private void change() {
            versions.add(next(versions.get(versions.size() - 1)));
            agreedAt.add(time);
            schedule(random.nextInt(3) == 0 ? 50 : random.nextDouble() * 3 * TERM_MS, this::change);
        }

        private Set<String> zones(int version, String tenant, String messageClass) {
            Contract c = versions.get(version).get(tenant);
            return c == null ? Set.of() : c.zones(messageClass);
        }

        /** Runs the simulation and returns the first violation, checked after every event; empty if there is none. */
        String run() {
            while (time < 30 * TERM_MS && violation.isEmpty()) {
                Event e = events.remove();
                time = e.at;
                e.run.run();
                int oldestAllowed = 0; // the newest that is a term old: no relay may use an earlier one
                while (oldestAllowed + 1 < versions.size() && agreedAt.get(oldestAllowed + 1) + TERM_MS <= time) {
                    oldestAllowed++;
                }
                int oldestInUse = Integer.MAX_VALUE; // version that any relay uses
                for (Relay relay : relays) {
                    oldestInUse = Math.min(oldestInUse, Math.max(oldestAllowed, (int) relay.contracts.version()));
                }
                for (Relay relay : relays) {
                    for (String tenant : TENANTS) {
                        check(relay, tenant, "pay", oldestAllowed, oldestInUse);
                        check(relay, tenant, "other", oldestAllowed, oldestInUse);
                    }
                }
            }
            return violation;
        }

        private void check(Relay relay, String tenant, String messageClass, int oldestAllowed, int oldestInUse) {
            for (String zone : relay.contracts.zones(relay.now(), tenant, messageClass)) {
                allowedCount++;
                IntPredicate allows = v -> zones(v, tenant, messageClass).contains(zone);
                if (IntStream.range(oldestAllowed, versions.size()).noneMatch(allows)) {
                    violation = "outside: " + tenant + " in " + zone + " at " + time;
                }
                if (!IntStream.rangeClosed(oldestInUse, (int) relay.contracts.version())
                        .allMatch(allows)) {
                    violation = "extended early: " + tenant + " to " + zone + " at " + time;
                }
            }
        }
    }

    @Test
    void noRelaySendsOutsideATermAfterARestrictionNorExtendsTooEarly() {
        long allowedCount = 0;
        for (long seed = 0; seed < 40; seed++) {
            Simulation simulation = new Simulation(seed, Defect.NONE);
            assertThat(simulation.run()).as("seed %d", seed).isEmpty();
            allowedCount += simulation.allowedCount;
        }
        assertThat(allowedCount).isGreaterThan(100_000); // the guarantee is not kept by sending nothing
    }

    @Test
    void theChecksDetectInjectedDefects() {
        for (Defect defect : EnumSet.complementOf(EnumSet.of(Defect.NONE))) {
            int detected = 0;
            for (long seed = 0; seed < 12; seed++) {
                detected += new Simulation(seed, defect).run().isEmpty() ? 0 : 1;
            }
            assertThat(detected).as("%s", defect).isGreaterThan(4);
        }
    }
}
