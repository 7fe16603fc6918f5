package firstair.kit.fleet;

import firstair.control.Controller.BookedCapacity;
import firstair.fleet.booking.Booking;
import firstair.fleet.fault.Fault;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Batch runs that draw on bookings: at each relay as many calls as a booking's lane there lets through. In no second
 * more go out on a booking than is booked, and what lay in buckets.
 */
public final class Batches implements PlayedFleet.Watcher, Invariant {
    private static final double LOOK_MS = 50;
    private static final double SECOND = 1000;
    /** Of its rate a lane lets through what comes in so long at once, s. */
    static final double BURST_S = 0.4;

    private static final String CLASS = "keyed";

    private final PlayedFleet fleet;
    private final Agreed agreed;
    private final Demand demand;
    private final Demand.Sent watch;
    private final Map<String, Integer> runs = new LinkedHashMap<>(); // booking to destination
    private final Map<String, Deque<Double>> last = new TreeMap<>(); // moments of the last second, by booking
    private final Map<String, Long> sent = new TreeMap<>(); // by booking and relay
    private final Map<String, Long> most = new HashMap<>();
    private String wrong;

    /**
     * Runs for a fleet whose processes begin later.
     *
     * @param demand knows the limits
     * @param watch  hears of each call sent, beside all others to its destination
     */
    Batches(PlayedFleet fleet, Agreed agreed, Demand demand, Demand.Sent watch) {
        this.fleet = fleet;
        this.agreed = agreed;
        this.demand = demand;
        this.watch = watch;
        fleet.watched(this);
        fleet.holds(this);
    }

    /** From now on all relays have calls to a destination that name a booking. */
    void run(String booking, int destination) {
        runs.put(booking, destination);
    }

    /** Calls that went out on a booking at a relay. */
    long sent(String booking, String relay) {
        return sent.getOrDefault(booking + " " + relay, 0L);
    }

    /** Calls that went out on a booking. */
    long sent(String booking) {
        return fleet.members().stream().mapToLong(m -> sent(booking, m)).sum();
    }

    /** Calls that went out on any booking. */
    long sent() {
        return sent.values().stream().mapToLong(n -> n).sum();
    }

    @Override
    public String name() {
        return "calls on bookings";
    }

    @Override
    public String check(PlayedFleet played) {
        return wrong;
    }

    @Override
    public void begun(Life life) {
        if (life.played() instanceof FleetPlayed played) {
            fleet.later(life, fleet.now() + LOOK_MS, "batches", () -> look(played));
        }
    }

    private void look(FleetPlayed played) {
        Life life = played.life();
        played.refresh(life.now());
        runs.forEach((booking, destination) -> {
            try {
                BookedCapacity lane = played.fleet()
                        .admit(life.now(), null, CLASS, destination, booking)
                        .lane();
                for (; lane.nextCallAt(life.now()) <= life.now(); lane.callSent(life.now())) {
                    goes(played, booking, destination);
                }
            } catch (Fault.UnknownBooking notThere) {
                life.report(notThere.line()); // whoever hands a message in is told so
            }
        });
        fleet.later(life, fleet.now() + LOOK_MS, "batches", () -> look(played));
    }

    private void goes(FleetPlayed played, String id, int destination) {
        Life life = played.life();
        played.sent(life.now(), destination, demand.limit(destination));
        watch.sent(life, destination, fleet.now());
        sent.merge(id + " " + life.name(), 1L, Long::sum);
        Booking b = agreed.bookings().get(id);
        if (b == null) {
            wrong = life + " sends on booking " + id + ", which nobody has agreed on";
            return;
        }
        // a limit that is lowered cuts what relays have not heard of yet
        long rate = most.merge(id, b.request().rates().getOrDefault(destination, 0L), Math::max);
        Deque<Double> times = last.computeIfAbsent(id, k -> new ArrayDeque<>());
        times.add(fleet.now());
        while (times.peek() <= fleet.now() - SECOND) {
            times.remove();
        }
        double calls = rate / SECOND;
        if (times.size()
                > calls * (1 + life.setup().drift() + BURST_S) + fleet.running().size()) {
            wrong = times.size() + " calls in a second on booking " + id + " of " + calls;
        }
    }
}
