package firstair.kit.fleet;

import firstair.fleet.Setup;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.DoublePredicate;

/** What sharing brings and costs, in virtual time: service, traffic, use of lost parts, decisions a second. */
public final class Measures {
    private static final List<Integer> DESTINATIONS = List.of(1, 2, 3);
    private static final double LIMIT = 600; // calls a second at each destination
    private static final double LOAD = 0.9; // share of the limit that is asked for
    private static final double PATIENCE_MS = 1000;
    private static final double SETTLED_MS = 30_000;
    private static final double MEASURED_MS = 60_000;
    private static final double MOVES_MS = 30_000; // so long the same relays have most of the calls
    private static final double SECOND = 1000;
    private static final double NEAR = 0.001; // parts are whole millionths for each relay

    private final Fleets.Maker shared;
    private final PlayedFleet.Wire wire;
    private final long seed;

    /** @param shared decisions of relays that share */
    public Measures(Fleets.Maker shared, PlayedFleet.Wire wire, long seed) {
        this.shared = shared;
        this.wire = wire;
        this.seed = seed;
    }

    private PlayedFleet fleet(Setup setup, Fleets.Maker maker) {
        return new PlayedFleet(setup, Fleets::zone, seed, wire, l -> maker.apply(l, DESTINATIONS))
                .holds(Invariants.sums());
    }

    /** Calls of which relay k of n has the share 1/k, over all k; {@code moving} on to other relays now and then. */
    private static Demand.Coming skewed(List<String> members, double calls, boolean moving) {
        int n = members.size();
        double all = 0;
        for (int k = 1; k <= n; k++) {
            all += 1.0 / k;
        }
        Map<String, Integer> places = new TreeMap<>();
        members.forEach(m -> places.put(m, places.size()));
        double sum = all;
        return (name, destination, time) -> {
            int moved = (moving ? ((int) (time / MOVES_MS)) * 7 : 0) + destination * 3;
            int place = Math.floorMod(places.get(name) - moved, n) + 1;
            return calls / place / sum;
        };
    }

    private Demand demand(PlayedFleet fleet, Demand.Coming coming, Demand.Sent sent) {
        Map<Integer, Double> limits = new TreeMap<>();
        DESTINATIONS.forEach(d -> limits.put(d, LIMIT));
        return new Demand(fleet, limits, coming, PATIENCE_MS, sent);
    }

    /** Share of calls served in time, at a demand that few relays have most of. */
    double service(int relays, double cutAway, boolean moving, boolean sharing) {
        Setup setup = Fleets.setup(relays);
        PlayedFleet fleet = fleet(setup, sharing ? shared : EvenParts::new);
        Invariants.Rates rates = new Invariants.Rates(d -> LIMIT);
        fleet.holds(rates);
        Demand demand = demand(fleet, skewed(setup.members(), LOAD * LIMIT, moving), rates);
        fleet.startAll();
        fleet.run(SETTLED_MS);
        if (cutAway > 0) {
            int away = (int) Math.round(relays * cutAway);
            List<String> rest = setup.members().subList(0, relays - away);
            fleet.net().part(rest, setup.members().subList(relays - away, relays));
        }
        demand.recount();
        fleet.run(MEASURED_MS);
        return demand.service();
    }

    /** The same calls at one relay that has the whole limit. */
    double one() {
        Setup alone = Fleets.setup(1);
        PlayedFleet fleet = fleet(alone, EvenParts::new);
        Demand demand = demand(fleet, (name, d, time) -> LOAD * LIMIT, (life, d, time) -> {});
        fleet.startAll();
        fleet.run(SETTLED_MS);
        demand.recount();
        fleet.run(MEASURED_MS);
        return demand.service();
    }

    /** What talk costs at a relay. */
    record Cost(
            int relays,
            double bytesASecond,
            double messagesASecond,
            double eventsASecond,
            int largest,
            double decisionsASecond) {}

    /** Plays a fleet with a skewed demand and tells what each relay sent, had to do, and how fast it was played. */
    Cost cost(int relays) {
        Setup setup = Fleets.setup(relays);
        PlayedFleet fleet = fleet(setup, shared);
        demand(fleet, skewed(setup.members(), LOAD * LIMIT, true), (life, d, time) -> {});
        fleet.startAll();
        fleet.run(SETTLED_MS);
        long bytes = bytes(fleet);
        long messages = messages(fleet);
        long events = fleet.running().stream().mapToLong(Life::events).sum();
        long began = System.nanoTime();
        fleet.run(SETTLED_MS);
        double took = (System.nanoTime() - began) / 1e9;
        double spans = relays * SETTLED_MS / SECOND;
        double done = fleet.running().stream().mapToLong(Life::events).sum() - events;
        int largest = setup.members().stream()
                .mapToInt(m -> fleet.net().traffic(m).largest())
                .max()
                .orElse(0);
        return new Cost(
                relays,
                (bytes(fleet) - bytes) / spans,
                (messages(fleet) - messages) / spans,
                done / spans,
                largest,
                done / took);
    }

    private static long bytes(PlayedFleet fleet) {
        return fleet.members().stream()
                .mapToLong(m -> fleet.net().traffic(m).sentBytes())
                .sum();
    }

    private static long messages(PlayedFleet fleet) {
        return fleet.members().stream()
                .mapToLong(m -> fleet.net().traffic(m).sent())
                .sum();
    }

    /** After so many ms the parts that a killed relay had are used by others; infinity if they never are. */
    double usedByOthers(int relays) {
        Setup setup = Fleets.setup(relays);
        PlayedFleet fleet = fleet(setup, shared);
        demand(fleet, (name, d, time) -> 2 * LIMIT / relays, (life, d, time) -> {});
        fleet.startAll();
        fleet.run(SETTLED_MS);
        fleet.kill(setup.members().get(relays - 1));
        double all = 1 - (double) setup.guaranteedParts() / Setup.WHOLE - NEAR;
        return until(fleet, ms -> fleet.parts(DESTINATIONS.get(0)) >= all);
    }

    /** After so many ms a relay that returns has its even part again. */
    double ownAgain(int relays) {
        Setup setup = Fleets.setup(relays);
        PlayedFleet fleet = fleet(setup, shared);
        demand(fleet, (name, d, time) -> 2 * LIMIT / relays, (life, d, time) -> {});
        fleet.startAll();
        fleet.run(SETTLED_MS);
        String last = setup.members().get(relays - 1);
        fleet.kill(last);
        fleet.run(SETTLED_MS);
        fleet.start(last);
        return until(
                fleet, ms -> fleet.life(last).part(DESTINATIONS.get(0)) >= (double) setup.equalParts() / Setup.WHOLE);
    }

    private static double until(PlayedFleet fleet, DoublePredicate met) {
        for (double ms = 0; ms <= MEASURED_MS; ms += 10) {
            if (met.test(ms)) {
                return ms;
            }
            fleet.run(10);
        }
        return Double.POSITIVE_INFINITY;
    }

    /** All of it, as lines of a table in Markdown. */
    public List<String> table() {
        List<String> lines = new ArrayList<>();
        double one = one();
        lines.add("| calls served in time | shared | even parts | one relay that sees all |");
        lines.add("|---|---|---|---|");
        for (int relays : List.of(5, 60)) {
            for (double away : List.of(0.0, 0.2, 0.4)) {
                for (boolean moving : List.of(false, true)) {
                    String what = relays + " relays, " + (away == 0 ? "uncut" : Math.round(away * 100) + "% cut away")
                            + (moving ? ", moving every " + Math.round(MOVES_MS / SECOND) + " s" : "");
                    lines.add(String.format(
                            Locale.ROOT,
                            "| %s | %.3f | %.3f | %.3f |",
                            what,
                            service(relays, away, moving, true),
                            service(relays, away, moving, false),
                            one));
                }
            }
        }
        lines.add("");
        lines.add("| relays | bytes sent a second | messages sent a second | events a second | largest message, bytes"
                + " | decisions a second played |");
        lines.add("|---|---|---|---|---|---|");
        for (int relays : List.of(5, 60, 300)) {
            Cost c = cost(relays);
            lines.add(String.format(
                    Locale.ROOT,
                    "| %d | %.0f | %.1f | %.1f | %d | %.0f |",
                    relays,
                    c.bytesASecond(),
                    c.messagesASecond(),
                    c.eventsASecond(),
                    c.largest(),
                    c.decisionsASecond()));
        }
        lines.add("");
        lines.add("| relays | parts of a killed relay used by others after, ms | its own again after its return, ms |");
        lines.add("|---|---|---|");
        for (int relays : List.of(5, 60)) {
            lines.add(
                    String.format(Locale.ROOT, "| %d | %.0f | %.0f |", relays, usedByOthers(relays), ownAgain(relays)));
        }
        return lines;
    }
}
