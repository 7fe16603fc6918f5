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
 * Random actions of a history's teams and operators, drawn from its seed: bookings are requested, confirmed, run, ended
 * and moved, limits change, and relays restart with settings files that have other contracts.
 */
final class RandomClients {
    /** The only tenant. */
    static final String TENANT = "acme";
    /** Term of contracts, ms. */
    static final double TERM_MS = 6000;
    /** Largest error of wall clocks that relays assume, ms. */
    static final double SKEW_MS = 1000;
    /** Share of a limit that can be booked. */
    static final double BOOKABLE = 0.5;

    private static final double MEAN_INTERVAL_MS = 900;
    private static final double SETUP_AT_MS = 20_000; // a leader is elected by then
    private static final double SETUP_MS = 10_000; // from the setup to the first booking
    private static final List<String> ZONES = List.of("za", "zb", "zc");
    private static final List<String> TEAMS = List.of("north", "south");
    private static final Rules RULES = new Rules(4000, 4000, 60_000, 700_000_000L, 8000, 10_000, 30_000, 50);

    private final SimulatedFleet fleet;
    private final Demand demand;
    private final BatchRuns batches;
    private final AgreedState agreed;
    private final Random random;
    private final int destination;
    private final double limit;
    private final TreeMap<Long, Map<String, Contract>> contractsByVersion = new TreeMap<>();
    private final Map<String, Integer> outcomes = new LinkedHashMap<>();
    private int bookingCount;

    RandomClients(SimulatedFleet fleet, Demand demand, BatchRuns batches, AgreedState agreed, int destination) {
        this.fleet = fleet;
        this.demand = demand;
        this.batches = batches;
        this.agreed = agreed;
        this.random = new Random(fleet.seed() ^ 0xC11E17L);
        this.destination = destination;
        this.limit = demand.limit(destination);
        contractsByVersion.put(1L, randomContracts());
    }

    /** Settings of a process that starts now: with the newest contracts, or else with bookings. */
    Sharing settings(boolean withContracts) {
        long newest = contractsByVersion.lastKey();
        return withContracts
                ? new Sharing(0, contractsByVersion.get(newest), newest, true, TERM_MS, false, 0, SKEW_MS)
                : new Sharing(0, Map.of(), 0, false, TERM_MS, true, BOOKABLE, SKEW_MS);
    }

    /** Contracts in the settings file of a version. */
    Map<String, Contract> contractsOf(long version) {
        return contractsByVersion.get(version);
    }

    /** Number of requests by their outcome. */
    Map<String, Integer> outcomes() {
        return outcomes;
    }

    private Map<String, Contract> randomContracts() {
        Set<String> zones = new TreeSet<>(List.of(ZONES.get(0))); // the contract always allows this zone
        ZONES.stream().filter(z -> random.nextBoolean()).forEach(zones::add);
        return Map.of(TENANT, new Contract(TENANT, zones, Map.of(), Set.of(ZONES.get(0)), 0, 0));
    }

    // ---- contracts ----

    /** Starts to release new versions of the contracts, which processes load one by one as they restart. */
    void releaseContracts() {
        fleet.scheduleAfter(randomInterval() * 2, "release", () -> {
            long newest = contractsByVersion.lastKey();
            long inForce = agreed.contracts().isEmpty()
                    ? 0
                    : agreed.contracts().get(agreed.contracts().size() - 1).number();
            if (inForce == newest) {
                contractsByVersion.put(newest + 1, randomContracts());
            }
            String name = fleet.members().get(random.nextInt(fleet.members().size()));
            if (fleet.running(name).size() == 1) {
                fleet.kill(name);
                fleet.start(name);
            }
            releaseContracts();
        });
    }

    private double randomInterval() {
        return -Math.log(1 - random.nextDouble()) * MEAN_INTERVAL_MS;
    }

    // ---- bookings ----

    /** Sets up teams and destinations, and starts random bookings. */
    void startBookings() {
        fleet.scheduleAfter(SETUP_AT_MS, "founds", this::setUpBookings);
        fleet.scheduleAfter(SETUP_AT_MS + SETUP_MS, "begins", () -> {
            fleet.advanceWallTime(Rules.defaults().sealBeforeMs()); // until then the default rules applied
            nextRequest();
        });
    }

    private void setUpBookings() {
        List<Operation> all = new ArrayList<>();
        all.add(new Operation.SetRules(RULES));
        all.add(new Operation.SetDestination(
                destination, thousandths(limit), (int) (BOOKABLE * Setup.WHOLE), List.of()));
        TEAMS.forEach(t -> all.add(new Operation.SetTeam(t, thousandths(1e9), "UTC")));
        submit(all);
    }

    private static long thousandths(double calls) {
        return (long) (calls * 1000);
    }

    private void nextRequest() {
        List<Booking> all = new ArrayList<>(agreed.bookings().values());
        Booking booking = all.isEmpty() ? null : all.get(random.nextInt(all.size()));
        String team = booking == null ? TEAMS.get(0) : booking.team();
        switch (random.nextInt(booking == null ? 4 : 12)) {
            case 0, 1, 2 -> requestBooking();
            case 3 -> setUpBookings(); // the first request may not have reached a majority
            case 4, 5, 6 -> submit(List.of(new Operation.Confirm(booking.id(), team)));
            case 7, 8 -> submit(List.of(new Operation.ShowUp(booking.id(), team)));
            case 9 -> submit(List.of(new Operation.End(booking.id(), team, "done")));
            case 10 ->
                submit(List.of(
                        new Operation.Move(booking.id(), booking.startMs() + 2000, booking.endMs() + 2000, "later")));
            default -> changeLimit();
        }
        fleet.scheduleAfter(randomInterval(), "books", this::nextRequest);
    }

    private void requestBooking() {
        String id = "b" + ++bookingCount;
        long start = (long) (FleetDefaults.EPOCH_MS + fleet.wallTime()) + RULES.leadMs() + 500 + random.nextInt(10_000);
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
        submit(all);
        batches.run(id, destination);
    }

    private void changeLimit() {
        double calls = limit * (0.5 + 0.5 * random.nextDouble());
        demand.limit(destination, calls);
        submit(List.of(new Operation.Limit(destination, thousandths(calls))));
    }

    /** Sends operations to a random running relay. */
    private void submit(List<Operation> operations) {
        List<SimulatedProcess> running = fleet.running();
        if (running.isEmpty()
                || !(running.get(random.nextInt(running.size())).logic() instanceof RealRelayLogic logic)) {
            return;
        }
        fleet.runNow(logic.process(), "asks", () -> {
            try {
                logic.fleet().book(logic.process().now(), operations, this::recordOutcome);
            } catch (Fault.NotNow | Fault.TooLarge notAccepted) {
                outcomes.merge(notAccepted.code(), 1, Integer::sum);
            }
        });
    }

    private void recordOutcome(Outcome outcome) {
        String name = outcome instanceof Outcome.Committed
                ? "agreed"
                : outcome instanceof Outcome.Refused r ? r.code() : "not now";
        outcomes.merge(name, 1, Integer::sum);
    }
}
