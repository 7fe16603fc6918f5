package firstair.kit.fleet;

import firstair.fleet.Setup;
import firstair.fleet.Sharing;
import firstair.fleet.booking.Booking;
import firstair.fleet.booking.Operation;
import firstair.fleet.booking.Rules;
import firstair.fleet.fault.Fault;
import firstair.fleet.ledger.Outcome;
import firstair.fleet.residency.Contract;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Teams and operators of a history, drawn from its seed: bookings asked for, confirmed, run, ended and moved, limits
 * that change, settings files with other contracts that relays take up when they begin.
 */
final class Clients {
    /** The one tenant. */
    static final String TENANT = "acme";
    /** Term of contracts, ms. */
    static final double TERM_MS = 6000;
    /** Clocks on walls are off by so much at most, ms. */
    static final double SKEW_MS = 1000;
    /** Share of a limit that can be booked. */
    static final double BOOKABLE = 0.5;

    private static final double MEAN_MS = 900;
    private static final double FOUNDED_MS = 20_000; // after the beginning: a leader is there
    private static final double BEGUN_MS = 10_000; // after that
    private static final List<String> ZONES = List.of("za", "zb", "zc");
    private static final List<String> TEAMS = List.of("north", "south");
    private static final Rules RULES = new Rules(4000, 4000, 60_000, 700_000_000L, 8000, 10_000, 30_000, 50);

    private final PlayedFleet fleet;
    private final Demand demand;
    private final Batches batches;
    private final Agreed agreed;
    private final Random random;
    private final int destination;
    private final double limit;
    private final TreeMap<Long, Map<String, Contract>> files = new TreeMap<>();
    private final Map<String, Integer> outcomes = new LinkedHashMap<>();
    private int asked;

    Clients(PlayedFleet fleet, Demand demand, Batches batches, Agreed agreed, int destination) {
        this.fleet = fleet;
        this.demand = demand;
        this.batches = batches;
        this.agreed = agreed;
        this.random = new Random(fleet.seed() ^ 0xC11E17L);
        this.destination = destination;
        this.limit = demand.limit(destination);
        files.put(1L, contracts());
    }

    /** What the settings of a process that begins now have: the newest contracts, where {@code tenants} have any. */
    Sharing settings(boolean tenants) {
        long newest = files.lastKey();
        return tenants
                ? new Sharing(0, files.get(newest), newest, true, TERM_MS, false, 0, SKEW_MS)
                : new Sharing(0, Map.of(), 0, false, TERM_MS, true, BOOKABLE, SKEW_MS);
    }

    /** Contracts of the file of a version. */
    Map<String, Contract> file(long version) {
        return files.get(version);
    }

    /** How often each outcome came. */
    Map<String, Integer> outcomes() {
        return outcomes;
    }

    private Map<String, Contract> contracts() {
        Set<String> zones = new TreeSet<>(List.of(ZONES.get(0))); // always promises it
        ZONES.stream().filter(z -> random.nextBoolean()).forEach(zones::add);
        return Map.of(TENANT, new Contract(TENANT, zones, Map.of(), Set.of(ZONES.get(0)), 0, 0));
    }

    // ---- contracts ----

    /** From now on versions of the contracts follow each other, and one process after the other takes them up. */
    void release() {
        fleet.in(pause() * 2, "release", () -> {
            long newest = files.lastKey();
            long inForce = agreed.contracts().isEmpty()
                    ? 0
                    : agreed.contracts().get(agreed.contracts().size() - 1).number();
            if (inForce == newest) {
                files.put(newest + 1, contracts());
            }
            String name = fleet.members().get(random.nextInt(fleet.members().size()));
            if (fleet.running(name).size() == 1) {
                fleet.kill(name);
                fleet.start(name);
            }
            release();
        });
    }

    private double pause() {
        return -Math.log(1 - random.nextDouble()) * MEAN_MS;
    }

    // ---- bookings ----

    /** From now on teams book. */
    void book() {
        fleet.in(FOUNDED_MS, "founds", this::found);
        fleet.in(FOUNDED_MS + BEGUN_MS, "begins", () -> {
            fleet.goOn(Rules.defaults().sealBeforeMs()); // until then relays were told by the usual rules
            next();
        });
    }

    private void found() {
        List<Operation> all = new ArrayList<>();
        all.add(new Operation.SetRules(RULES));
        all.add(new Operation.SetDestination(
                destination, thousandths(limit), (int) (BOOKABLE * Setup.WHOLE), List.of()));
        TEAMS.forEach(t -> all.add(new Operation.SetTeam(t, thousandths(1e9), "UTC")));
        ask(all);
    }

    private static long thousandths(double calls) {
        return (long) (calls * 1000);
    }

    private void next() {
        List<Booking> all = new ArrayList<>(agreed.bookings().values());
        Booking one = all.isEmpty() ? null : all.get(random.nextInt(all.size()));
        String team = one == null ? TEAMS.get(0) : one.team();
        switch (random.nextInt(one == null ? 4 : 12)) {
            case 0, 1, 2 -> put();
            case 3 -> found(); // the first one may have found no majority
            case 4, 5, 6 -> ask(List.of(new Operation.Confirm(one.id(), team)));
            case 7, 8 -> ask(List.of(new Operation.ShowUp(one.id(), team)));
            case 9 -> ask(List.of(new Operation.End(one.id(), team, "done")));
            case 10 -> ask(List.of(new Operation.Move(one.id(), one.startMs() + 2000, one.endMs() + 2000, "later")));
            default -> limits();
        }
        fleet.in(pause(), "books", this::next);
    }

    private void put() {
        String id = "b" + ++asked;
        long start = (long) (Fleets.EPOCH_MS + fleet.wall()) + RULES.leadMs() + 500 + random.nextInt(10_000);
        double calls = limit * BOOKABLE * (0.1 + 0.9 * random.nextDouble());
        String team = TEAMS.get(random.nextInt(TEAMS.size()));
        List<Operation> all = new ArrayList<>(List.of(Operation.Put.of(
                id,
                team,
                random.nextInt(3),
                Map.of(destination, thousandths(calls)),
                start,
                start + 5000 + random.nextInt(30_000),
                random.nextBoolean())));
        if (random.nextInt(4) > 0) {
            all.add(new Operation.Confirm(id, team));
        }
        ask(all);
        batches.run(id, destination);
    }

    private void limits() {
        double calls = limit * (0.5 + 0.5 * random.nextDouble());
        demand.limit(destination, calls);
        ask(List.of(new Operation.Limit(destination, thousandths(calls))));
    }

    /** At any relay that runs. */
    private void ask(List<Operation> operations) {
        List<Life> running = fleet.running();
        if (running.isEmpty() || !(running.get(random.nextInt(running.size())).played() instanceof FleetPlayed at)) {
            return;
        }
        fleet.act(at.life(), "asks", () -> {
            try {
                at.fleet().book(at.life().now(), operations, this::came);
            } catch (Fault.NotNow | Fault.TooLarge no) {
                outcomes.merge(no.code(), 1, Integer::sum);
            }
        });
    }

    private void came(Outcome outcome) {
        String word = outcome instanceof Outcome.Committed
                ? "agreed"
                : outcome instanceof Outcome.Refused r ? r.code() : "not now";
        outcomes.merge(word, 1, Integer::sum);
    }
}
