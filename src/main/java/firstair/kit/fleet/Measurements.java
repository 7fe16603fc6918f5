package firstair.kit.fleet;

import firstair.fleet.Setup;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.DoublePredicate;

/** Measures the benefit and cost of sharing limits in virtual time: calls served, traffic, reuse of lost parts. */
public final class Measurements {
    private static final List<Integer> DESTINATIONS = List.of(1, 2, 3);
    private static final double LIMIT = 600; // calls a second at each destination
    private static final double LOAD = 0.9; // demand as a share of the limit
    private static final double MAX_WAIT_MS = 1000;
    private static final double WARM_UP_MS = 30_000;
    private static final double MEASURED_MS = 60_000;
    private static final double SHIFT_INTERVAL_MS = 30_000; // how long the same relays have most of the calls
    private static final double SECOND = 1000;
    private static final double TOLERANCE = 0.001; // the part of each relay is rounded to millionths

    private final FleetDefaults.LogicFactory logicFactory;
    private final SimulatedFleet.Wire wire;
    private final long seed;

    /** @param logicFactory decision logic of relays that share limits */
    public Measurements(FleetDefaults.LogicFactory logicFactory, SimulatedFleet.Wire wire, long seed) {
        this.logicFactory = logicFactory;
        this.wire = wire;
        this.seed = seed;
    }

    private SimulatedFleet fleet(Setup setup, FleetDefaults.LogicFactory factory) {
        return new SimulatedFleet(
                        setup, FleetDefaults::zone, seed, wire, process -> factory.apply(process, DESTINATIONS))
                .addInvariant(Invariants.sumOfParts());
    }

    /**
     * A skewed demand: of n relays the k-th gets calls in proportion to 1/k.
     *
     * @param calls  calls a second of all relays together
     * @param moving whether the order of relays shifts every {@code SHIFT_INTERVAL_MS}
     */
    private static Demand.ArrivalRate skewed(List<String> members, double calls, boolean moving) {
        int relays = members.size();
        double total = 0;
        for (int rank = 1; rank <= relays; rank++) {
            total += 1.0 / rank;
        }
        Map<String, Integer> ranks = new TreeMap<>();
        members.forEach(m -> ranks.put(m, ranks.size()));
        double sum = total;
        return (relay, destination, time) -> {
            int shift = (moving ? ((int) (time / SHIFT_INTERVAL_MS)) * 7 : 0) + destination * 3;
            int rank = Math.floorMod(ranks.get(relay) - shift, relays) + 1;
            return calls / rank / sum;
        };
    }

    private Demand demand(SimulatedFleet fleet, Demand.ArrivalRate arrivalRate, Demand.CallListener listener) {
        Map<Integer, Double> limits = new TreeMap<>();
        DESTINATIONS.forEach(destination -> limits.put(destination, LIMIT));
        return new Demand(fleet, limits, arrivalRate, MAX_WAIT_MS, listener);
    }

    /**
     * Share of calls served in time under a skewed demand.
     *
     * @param cutAway share of relays that are cut off from the others, 0 to 1
     * @param sharing whether relays share limits; they use equal parts otherwise
     */
    double servedShare(int relays, double cutAway, boolean moving, boolean sharing) {
        Setup setup = FleetDefaults.setup(relays);
        SimulatedFleet fleet = fleet(setup, sharing ? logicFactory : EqualPartsLogic::new);
        Invariants.CallRates rates = new Invariants.CallRates(d -> LIMIT);
        fleet.addInvariant(rates);
        Demand demand = demand(fleet, skewed(setup.members(), LOAD * LIMIT, moving), rates);
        fleet.startAll();
        fleet.run(WARM_UP_MS);
        if (cutAway > 0) {
            int cutOff = (int) Math.round(relays * cutAway);
            List<String> rest = setup.members().subList(0, relays - cutOff);
            fleet.net().partition(rest, setup.members().subList(relays - cutOff, relays));
        }
        demand.resetCounts();
        fleet.run(MEASURED_MS);
        return demand.servedShare();
    }

    /** Share of calls served in time when one relay has all calls and the whole limit. */
    double singleRelay() {
        Setup setup = FleetDefaults.setup(1);
        SimulatedFleet fleet = fleet(setup, EqualPartsLogic::new);
        Demand demand = demand(fleet, (relay, destination, time) -> LOAD * LIMIT, (process, destination, time) -> {});
        fleet.startAll();
        fleet.run(WARM_UP_MS);
        demand.resetCounts();
        fleet.run(MEASURED_MS);
        return demand.servedShare();
    }

    /** Cost of the communication between relays, per relay; {@code largest} is the largest message in bytes. */
    record Cost(
            int relays,
            double bytesASecond,
            double messagesASecond,
            double eventsASecond,
            int largest,
            double decisionsASecond) {}

    /** Simulates a fleet with a skewed demand and measures its communication and the speed of the simulation. */
    Cost cost(int relays) {
        Setup setup = FleetDefaults.setup(relays);
        SimulatedFleet fleet = fleet(setup, logicFactory);
        demand(fleet, skewed(setup.members(), LOAD * LIMIT, true), (process, destination, time) -> {});
        fleet.startAll();
        fleet.run(WARM_UP_MS);
        long bytes = bytes(fleet);
        long messages = messages(fleet);
        long events =
                fleet.running().stream().mapToLong(SimulatedProcess::events).sum();
        long startNs = System.nanoTime();
        fleet.run(WARM_UP_MS);
        double elapsedS = (System.nanoTime() - startNs) / 1e9;
        double relaySeconds = relays * WARM_UP_MS / SECOND;
        double handledEvents =
                fleet.running().stream().mapToLong(SimulatedProcess::events).sum() - events;
        int largest = setup.members().stream()
                .mapToInt(m -> fleet.net().traffic(m).largest())
                .max()
                .orElse(0);
        return new Cost(
                relays,
                (bytes(fleet) - bytes) / relaySeconds,
                (messages(fleet) - messages) / relaySeconds,
                handledEvents / relaySeconds,
                largest,
                handledEvents / elapsedS);
    }

    private static long bytes(SimulatedFleet fleet) {
        return fleet.members().stream()
                .mapToLong(m -> fleet.net().traffic(m).sentBytes())
                .sum();
    }

    private static long messages(SimulatedFleet fleet) {
        return fleet.members().stream()
                .mapToLong(m -> fleet.net().traffic(m).sent())
                .sum();
    }

    /** Time until others use the parts of a killed relay, ms; infinity if they never do. */
    double msUntilPartsReused(int relays) {
        Setup setup = FleetDefaults.setup(relays);
        SimulatedFleet fleet = fleet(setup, logicFactory);
        demand(fleet, (relay, destination, time) -> 2 * LIMIT / relays, (process, destination, time) -> {});
        fleet.startAll();
        fleet.run(WARM_UP_MS);
        fleet.kill(setup.members().get(relays - 1));
        double expected = 1 - (double) setup.guaranteedParts() / Setup.WHOLE - TOLERANCE;
        return msUntil(fleet, ms -> fleet.parts(DESTINATIONS.get(0)) >= expected);
    }

    /** Time until a restarted relay has its equal part again, ms; infinity if it never has. */
    double msUntilOwnPartReturns(int relays) {
        Setup setup = FleetDefaults.setup(relays);
        SimulatedFleet fleet = fleet(setup, logicFactory);
        demand(fleet, (relay, destination, time) -> 2 * LIMIT / relays, (process, destination, time) -> {});
        fleet.startAll();
        fleet.run(WARM_UP_MS);
        String last = setup.members().get(relays - 1);
        fleet.kill(last);
        fleet.run(WARM_UP_MS);
        fleet.start(last);
        return msUntil(
                fleet,
                ms -> fleet.process(last).part(DESTINATIONS.get(0)) >= (double) setup.equalParts() / Setup.WHOLE);
    }

    private static double msUntil(SimulatedFleet fleet, DoublePredicate condition) {
        for (double ms = 0; ms <= MEASURED_MS; ms += 10) {
            if (condition.test(ms)) {
                return ms;
            }
            fleet.run(10);
        }
        return Double.POSITIVE_INFINITY;
    }

    /** All results as lines of Markdown tables. */
    public List<String> table() {
        List<String> lines = new ArrayList<>();
        double singleRelay = singleRelay();
        lines.add("| calls served in time | shared | even parts | one relay that sees all |");
        lines.add("|---|---|---|---|");
        for (int relays : List.of(5, 60)) {
            for (double cutOff : List.of(0.0, 0.2, 0.4)) {
                for (boolean moving : List.of(false, true)) {
                    String label =
                            relays + " relays, " + (cutOff == 0 ? "uncut" : Math.round(cutOff * 100) + "% cut away")
                                    + (moving ? ", moving every " + Math.round(SHIFT_INTERVAL_MS / SECOND) + " s" : "");
                    lines.add(String.format(
                            Locale.ROOT,
                            "| %s | %.3f | %.3f | %.3f |",
                            label,
                            servedShare(relays, cutOff, moving, true),
                            servedShare(relays, cutOff, moving, false),
                            singleRelay));
                }
            }
        }
        lines.add("");
        lines.add("| relays | bytes sent a second | messages sent a second | events a second | largest message, bytes"
                + " | decisions a second played |");
        lines.add("|---|---|---|---|---|---|");
        for (int relays : List.of(5, 60, 300)) {
            Cost cost = cost(relays);
            lines.add(String.format(
                    Locale.ROOT,
                    "| %d | %.0f | %.1f | %.1f | %d | %.0f |",
                    relays,
                    cost.bytesASecond(),
                    cost.messagesASecond(),
                    cost.eventsASecond(),
                    cost.largest(),
                    cost.decisionsASecond()));
        }
        lines.add("");
        lines.add("| relays | parts of a killed relay used by others after, ms | its own again after its return, ms |");
        lines.add("|---|---|---|");
        for (int relays : List.of(5, 60)) {
            lines.add(String.format(
                    Locale.ROOT,
                    "| %d | %.0f | %.0f |",
                    relays,
                    msUntilPartsReused(relays),
                    msUntilOwnPartReturns(relays)));
        }
        return lines;
    }
}
