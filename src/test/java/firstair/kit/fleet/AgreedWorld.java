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

/** What a story of contracts and bookings plays in. */
class AgreedWorld {
    static final int DESTINATION = 1;
    static final double LIMIT = 200; // calls a second, at first
    static final double BOOKABLE = 0.5;
    static final double TERM_MS = 5000; // of contracts
    static final double ELECTED_MS = 15_000;
    static final String TENANT = "acme";
    private static final double SKEW_MS = 600; // clocks of a played fleet begin up to 500 ms off
    private static final Rules RULES =
            new Rules(10_000, 10_000, 7_200_000, 700_000_000L, 60_000, 60_000, 3_600_000, 100);

    final double epochMs;
    final Setup setup;
    final PlayedFleet fleet;
    final Demand demand;
    final Agreed agreed = new Agreed();
    final Batches batches;
    final Tenants tenants;
    final Map<String, Double> wanted = new TreeMap<>(); // calls a second beside bookings, by relay
    final Map<String, Outcome> outcomes = new LinkedHashMap<>(); // of what was asked for, by a word for it
    private final Map<Long, Map<String, Contract>> files = new TreeMap<>(); // contracts by version
    private final Map<String, Long> file = new TreeMap<>(); // version that a relay starts with
    private final boolean bookings;
    private final Fleets.Agreeing decisions;

    AgreedWorld(int relays, long seed, boolean bookings, double epochMs, Fleets.Agreeing decisions) {
        this.decisions = decisions;
        this.epochMs = epochMs;
        this.bookings = bookings;
        setup = Fleets.setup(relays);
        Map<Integer, Double> limits = new TreeMap<>(Map.of(DESTINATION, LIMIT));
        Invariants.Rates rates =
                new Invariants.Rates(d -> limit(), Batches.BURST_S * BOOKABLE + Demand.BURST_S + setup.drift(), 2);
        fleet = new PlayedFleet(setup, Fleets::zone, seed, Fleets.wire(), this::play)
                .holds(Invariants.sums())
                .holds(rates)
                .holds(agreed);
        demand = new Demand(fleet, limits, (name, d, time) -> wanted.getOrDefault(name, 0.0), 1000, rates);
        batches = new Batches(fleet, agreed, demand, rates);
        tenants = bookings ? null : new Tenants(fleet, agreed, List.of(TENANT), DESTINATION, TERM_MS, files::get);
    }

    double limit() {
        return demand.limit(DESTINATION);
    }

    private Played play(Life life) {
        long version = file.getOrDefault(life.name(), 0L);
        Sharing sharing = new Sharing(
                0, files.getOrDefault(version, Map.of()), version, !bookings, TERM_MS, bookings, BOOKABLE, SKEW_MS);
        return decisions.made(life, sharing, List.of(DESTINATION));
    }

    // ---- contracts ----

    /** A settings file. */
    void contracts(long version, Set<String> zones, Set<String> always, double callsPerS) {
        files.put(version, Map.of(TENANT, new Contract(TENANT, zones, Map.of(), always, callsPerS, 0)));
    }

    void hasFile(String name, long version) {
        file.put(name, version);
    }

    long inForce() {
        List<Agreed.Contracts> all = agreed.contracts();
        return all.isEmpty() ? 0 : all.get(all.size() - 1).number();
    }

    // ---- bookings ----

    /** The wall as it is in truth, epoch ms. */
    long wall() {
        return (long) (epochMs + fleet.wall());
    }

    /** Asks a relay for something, and keeps what came of it. */
    void ask(String relay, String word, List<Operation> operations) {
        FleetPlayed played = (FleetPlayed) fleet.life(relay).played();
        fleet.act(played.life(), "books", () -> {
            try {
                played.fleet().book(played.life().now(), operations, o -> outcomes.put(word, o));
            } catch (Fault.NotNow notNow) {
                outcomes.put(word, new Outcome.NotNow(notNow));
            }
        });
    }

    /** Waits for a leader, tells what teams and destinations there are, and lets the usual rules run out. */
    void found(String... teams) {
        fleet.run(ELECTED_MS);
        List<Operation> all = new ArrayList<>();
        all.add(new Operation.SetRules(RULES));
        all.add(new Operation.SetDestination(
                DESTINATION, (long) (LIMIT * 1000), (int) (BOOKABLE * Setup.WHOLE), List.of()));
        for (String team : teams) {
            all.add(new Operation.SetTeam(team, 1_000_000_000_000L, "Europe/Berlin"));
        }
        ask("r1", "founded", all);
        fleet.run(5000);
        fleet.goOn(Rules.defaults().sealBeforeMs()); // until then relays were told that nothing is booked
        fleet.run(ELECTED_MS);
    }

    /** Asks for a booking that starts in a while, and confirms it at once. */
    void book(String relay, String id, String team, double calls, double inS, double forS) {
        long start = wall() + (long) (inS * 1000);
        ask(
                relay,
                id,
                List.of(
                        Operation.Put.of(
                                id,
                                team,
                                0,
                                Map.of(DESTINATION, (long) (calls * 1000)),
                                start,
                                start + (long) (forS * 1000),
                                false),
                        new Operation.Confirm(id, team)));
    }

    /** Operations as a client writes them. */
    void bookJson(String relay, String word, String json, Map<String, Calendar> calendars) {
        ask(relay, word, Operations.readAll(json.getBytes(StandardCharsets.UTF_8), calendars, wall()));
    }
}
