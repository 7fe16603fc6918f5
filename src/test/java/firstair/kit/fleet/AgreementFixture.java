package firstair.kit.fleet;

import firstair.fleet.Setup;
import firstair.fleet.Sharing;
import firstair.fleet.booking.Calendar;
import firstair.fleet.booking.Operation;
import firstair.fleet.booking.Operations;
import firstair.fleet.booking.Rules;
import firstair.fleet.fault.Fault;
import firstair.fleet.ledger.Outcome;
import firstair.fleet.residency.Contract;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Fixture of scenarios of contracts and bookings: a fleet, its demand, and all invariants. */
class AgreementFixture {
    static final int DESTINATION = 1;
    static final double LIMIT = 200; // calls a second, at first
    static final double BOOKABLE = 0.5;
    static final double TERM_MS = 5000; // of contracts
    static final double ELECTED_MS = 15_000;
    static final String TENANT = "acme";
    private static final double SKEW_MS = 600; // wall clocks of a simulated fleet start up to 500 ms off
    private static final Rules RULES =
            new Rules(10_000, 10_000, 7_200_000, 700_000_000L, 60_000, 60_000, 3_600_000, 100);

    final double epochMs;
    final Setup setup;
    final SimulatedFleet fleet;
    final Demand demand;
    final AgreedState agreed = new AgreedState();
    final BatchRuns batches;
    final TenantMessages tenants;
    final Map<String, Double> demandPerS = new TreeMap<>(); // ordinary calls a second, by relay
    final Map<String, Outcome> outcomes = new LinkedHashMap<>(); // outcomes of requests, by their key
    private final Map<Long, Map<String, Contract>> contractsByVersion = new TreeMap<>();
    private final Map<String, Long> fileVersions = new TreeMap<>(); // settings version of a relay's next start
    private final boolean withBookings;
    private final FleetDefaults.LedgerLogicFactory logicFactory;

    AgreementFixture(
            int relays,
            long seed,
            boolean withBookings,
            double epochMs,
            FleetDefaults.LedgerLogicFactory logicFactory) {
        this.logicFactory = logicFactory;
        this.epochMs = epochMs;
        this.withBookings = withBookings;
        setup = FleetDefaults.setup(relays);
        Map<Integer, Double> limits = new TreeMap<>(Map.of(DESTINATION, LIMIT));
        Invariants.CallRates rates = new Invariants.CallRates(
                d -> limit(), BatchRuns.BURST_S * BOOKABLE + Demand.BURST_S + setup.drift(), 2);
        fleet = new SimulatedFleet(setup, FleetDefaults::zone, seed, FleetDefaults.wire(), this::createLogic)
                .addInvariant(Invariants.sumOfParts())
                .addInvariant(rates)
                .addInvariant(agreed);
        demand = new Demand(
                fleet, limits, (relay, destination, time) -> demandPerS.getOrDefault(relay, 0.0), 1000, rates);
        batches = new BatchRuns(fleet, agreed, demand, rates);
        tenants = withBookings
                ? null
                : new TenantMessages(fleet, agreed, List.of(TENANT), DESTINATION, TERM_MS, contractsByVersion::get);
    }

    double limit() {
        return demand.limit(DESTINATION);
    }

    private RelayLogic createLogic(SimulatedProcess process) {
        long version = fileVersions.getOrDefault(process.name(), 0L);
        Sharing sharing = new Sharing(
                0,
                contractsByVersion.getOrDefault(version, Map.of()),
                version,
                !withBookings,
                TERM_MS,
                withBookings,
                BOOKABLE,
                SKEW_MS);
        return logicFactory.made(process, sharing, List.of(DESTINATION));
    }

    // ---- contracts ----

    /** Adds a version of the settings file. */
    void addContracts(long version, Set<String> zones, Set<String> always, double callsPerS) {
        contractsByVersion.put(version, Map.of(TENANT, new Contract(TENANT, zones, Map.of(), always, callsPerS, 0)));
    }

    void setFile(String name, long version) {
        fileVersions.put(name, version);
    }

    long inForce() {
        List<AgreedState.ContractVersion> all = agreed.contracts();
        return all.isEmpty() ? 0 : all.get(all.size() - 1).number();
    }

    // ---- bookings ----

    /** The true wall-clock time, ms since 1970. */
    long wallTime() {
        return (long) (epochMs + fleet.wallTime());
    }

    /** Submits operations to a relay and records their outcome under a key. */
    void submit(String relay, String key, List<Operation> operations) {
        RealRelayLogic logic = (RealRelayLogic) fleet.process(relay).logic();
        fleet.runNow(logic.process(), "books", () -> {
            try {
                logic.fleet().book(logic.process().now(), operations, outcome -> outcomes.put(key, outcome));
            } catch (Fault.NotNow rejected) {
                outcomes.put(key, new Outcome.NotNow(rejected));
            }
        });
    }

    /** Waits for a leader, sets rules, destinations and teams, and waits until the default rules no longer apply. */
    void setUpBookings(String... teams) {
        fleet.run(ELECTED_MS);
        List<Operation> all = new ArrayList<>();
        all.add(new Operation.SetRules(RULES));
        all.add(new Operation.SetDestination(
                DESTINATION, (long) (LIMIT * 1000), (int) (BOOKABLE * Setup.WHOLE), List.of()));
        for (String team : teams) {
            all.add(new Operation.SetTeam(team, 1_000_000_000_000L, "Europe/Berlin"));
        }
        submit("r1", "setup", all);
        fleet.run(5000);
        fleet.advanceWallTime(Rules.defaults().sealBeforeMs()); // until then relays assumed that nothing is booked
        fleet.run(ELECTED_MS);
    }

    /** Requests a booking that starts in {@code startInS} seconds, and confirms it at once. */
    void requestBooking(String relay, String id, String team, double calls, double startInS, double durationS) {
        long start = wallTime() + (long) (startInS * 1000);
        submit(
                relay,
                id,
                List.of(
                        Operation.Put.of(
                                id,
                                team,
                                0,
                                Map.of(DESTINATION, (long) (calls * 1000)),
                                start,
                                start + (long) (durationS * 1000),
                                false),
                        new Operation.Confirm(id, team)));
    }

    /** Submits operations in the form in which clients send them. */
    void submitJson(String relay, String key, String json, Map<String, Calendar> calendars) {
        submit(relay, key, Operations.readAll(json.getBytes(StandardCharsets.UTF_8), calendars, wallTime()));
    }
}
