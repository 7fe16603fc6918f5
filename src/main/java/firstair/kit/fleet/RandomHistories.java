package firstair.kit.fleet;

import firstair.fleet.Setup;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/**
 * Random histories of fleets under faults, each drawn from its seed. Invariants are checked after every event, and the
 * fleet has to recover after the last fault.
 */
public final class RandomHistories {
    private static final List<Integer> DESTINATIONS = List.of(1, 2);
    private static final int BUCKETS = 12; // one for ordinary calls, the others for bookings that run at the same time
    private static final int[] SIZES = {3, 4, 5, 7, 9, 12, 20};
    private static final double LIMIT = 200; // calls a second at each destination
    private static final double MEAN_INTERVAL_MS = 1500; // from one fault to the next
    private static final double FAULTS_MS = 90_000;
    private static final double RECOVERY_MS = 40_000; // after the last fault
    private static final double MAX_PAUSE_MS = 15_000;

    private static final double DAY_MS = 86_400_000;

    /** What the relays of a history share; seeds alternate between the kinds. */
    enum Kind {
        /** Limits only. */
        LIMITS,
        /** Limits and contracts of tenants. */
        CONTRACTS,
        /** Limits and bookings. */
        BOOKINGS;

        /** The kind of a seed's history. */
        static Kind of(long seed) {
            return values()[Math.floorMod(seed, values().length)];
        }
    }

    /**
     * Summary of a history.
     *
     * @param servedShare share of calls sent in time, 0 to 1
     * @param agreed      newest version of the agreed state
     * @param onBookings  calls sent on bookings
     * @param faults      number of faults by kind
     * @param outcomes    number of requests for bookings by outcome
     */
    public record History(
            long seed,
            String kind,
            int relays,
            long events,
            long digest,
            double servedShare,
            long agreed,
            long onBookings,
            Map<String, Integer> faults,
            Map<String, Integer> outcomes) {}

    private final FleetDefaults.LogicFactory limitsLogic;
    private final FleetDefaults.LedgerLogicFactory ledgerLogic;
    private final SimulatedFleet.Wire wire;

    /**
     * Creates histories of fleets with the given decision logic.
     *
     * @param limitsLogic decision logic of relays that share limits only
     * @param ledgerLogic decision logic of relays that also agree on contracts or bookings
     */
    public RandomHistories(
            FleetDefaults.LogicFactory limitsLogic,
            FleetDefaults.LedgerLogicFactory ledgerLogic,
            SimulatedFleet.Wire wire) {
        this.limitsLogic = limitsLogic;
        this.ledgerLogic = ledgerLogic;
        this.wire = wire;
    }

    /**
     * Simulates one history.
     *
     * @throws InvariantViolation if an invariant does not hold, or the fleet hasn't recovered some time after the last
     *     fault
     */
    public History run(long seed) {
        return new Run(seed, Kind.of(seed)).run();
    }

    private final class Run {
        private final Kind kind;
        private final Random random;
        private final Setup setup;
        private final SimulatedFleet fleet;
        private final Demand demand;
        private final AgreedState agreed = new AgreedState();
        private final BatchRuns batches;
        private final RandomClients clients;

        Run(long seed, Kind kind) {
            this.kind = kind;
            random = new Random(seed);
            setup = FleetDefaults.setup(SIZES[random.nextInt(SIZES.length)]);
            fleet = new SimulatedFleet(setup, FleetDefaults::zone, seed, wire, this::createLogic);
            Invariants.CallRates rates = kind == Kind.BOOKINGS
                    ? new Invariants.CallRates(
                            this::limit,
                            BatchRuns.BURST_S * RandomClients.BOOKABLE + Demand.BURST_S + setup.drift(),
                            BUCKETS)
                    : new Invariants.CallRates(this::limit);
            fleet.addInvariant(Invariants.sumOfParts()).addInvariant(rates).addInvariant(agreed);
            Map<Integer, Double> destinationLimits = new TreeMap<>();
            DESTINATIONS.forEach(destination -> destinationLimits.put(destination, LIMIT));
            demand = new Demand(fleet, destinationLimits, arrivalRate(), 1000, rates);
            batches = new BatchRuns(fleet, agreed, demand, rates);
            clients = new RandomClients(fleet, demand, batches, agreed, DESTINATIONS.get(0));
            if (kind == Kind.CONTRACTS) {
                new TenantMessages(
                        fleet,
                        agreed,
                        List.of(RandomClients.TENANT),
                        DESTINATIONS.get(0),
                        RandomClients.TERM_MS,
                        clients::contractsOf);
            }
        }

        private double limit(int destination) {
            return demand.limit(destination);
        }

        private RelayLogic createLogic(SimulatedProcess process) {
            return kind == Kind.LIMITS
                    ? limitsLogic.apply(process, DESTINATIONS)
                    : ledgerLogic.made(process, clients.settings(kind == Kind.CONTRACTS), DESTINATIONS);
        }

        private Demand.ArrivalRate arrivalRate() {
            Map<String, Double> weights = new TreeMap<>();
            setup.members().forEach(m -> weights.put(m, -Math.log(1 - random.nextDouble())));
            double sum = weights.values().stream().mapToDouble(w -> w).sum();
            return (relay, destination, time) -> LIMIT * weights.get(relay) / sum;
        }

        History run() {
            fleet.startAll();
            if (kind == Kind.CONTRACTS) {
                clients.releaseContracts();
            } else if (kind == Kind.BOOKINGS) {
                clients.startBookings();
            }
            int maxLostFolders = kind == Kind.LIMITS
                    ? setup.members().size()
                    : setup.voters().size() - setup.majority();
            RandomFaults faults = new RandomFaults(
                    fleet,
                    kind == Kind.LIMITS ? MEAN_INTERVAL_MS : 2 * MEAN_INTERVAL_MS,
                    FAULTS_MS,
                    MAX_PAUSE_MS,
                    kind == Kind.BOOKINGS ? RandomClients.SKEW_MS / 2 : DAY_MS,
                    maxLostFolders);
            fleet.run(FAULTS_MS + RECOVERY_MS);
            if (kind == Kind.LIMITS) {
                fleet.addInvariant(new Invariants.Recovered());
                fleet.scheduleAfter(0, "peace", () -> {});
                fleet.run(0);
            }
            return new History(
                    fleet.seed(),
                    kind.name(),
                    setup.members().size(),
                    fleet.events(),
                    fleet.digest(),
                    demand.servedShare(),
                    agreed.newest(),
                    batches.sent(),
                    faults.counts(),
                    clients.outcomes());
        }
    }
}
