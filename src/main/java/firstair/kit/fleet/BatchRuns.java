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
 * Batch runs that use bookings: each relay sends as many calls as the booked capacity there allows. Checks that no more
 * calls are sent on a booking in any second than are booked, plus what token buckets had saved up.
 */
public final class BatchRuns implements SimulatedFleet.ProcessListener, Invariant {
    private static final double POLL_MS = 50;
    private static final double SECOND = 1000;
    /** Largest burst of calls on a booking at one relay, as seconds of its booked rate. */
    static final double BURST_S = 0.4;

    private static final String CLASS = "keyed";

    private final SimulatedFleet fleet;
    private final AgreedState agreed;
    private final Demand demand;
    private final Demand.CallListener callListener;
    private final Map<String, Integer> runs = new LinkedHashMap<>(); // booking to destination
    private final Map<String, Deque<Double>> lastSecond = new TreeMap<>(); // times of calls, by booking
    private final Map<String, Long> sent = new TreeMap<>(); // by booking and relay
    private final Map<String, Long> highestRates = new HashMap<>(); // highest rate ever agreed, by booking
    private String violation;

    /**
     * Creates batch runs for a fleet that hasn't been started yet.
     *
     * @param demand       provides the limits
     * @param callListener is notified of each call sent; it sees the other calls to the destination too
     */
    BatchRuns(SimulatedFleet fleet, AgreedState agreed, Demand demand, Demand.CallListener callListener) {
        this.fleet = fleet;
        this.agreed = agreed;
        this.demand = demand;
        this.callListener = callListener;
        fleet.addListener(this);
        fleet.addInvariant(this);
    }

    /** Starts calls to a destination that name a booking, at all relays. */
    void run(String booking, int destination) {
        runs.put(booking, destination);
    }

    /** Number of calls sent on a booking by a relay. */
    long sent(String booking, String relay) {
        return sent.getOrDefault(booking + " " + relay, 0L);
    }

    /** Number of calls sent on a booking. */
    long sent(String booking) {
        return fleet.members().stream().mapToLong(m -> sent(booking, m)).sum();
    }

    /** Number of calls sent on all bookings. */
    long sent() {
        return sent.values().stream().mapToLong(n -> n).sum();
    }

    @Override
    public String name() {
        return "calls on bookings";
    }

    @Override
    public String check(SimulatedFleet checkedFleet) {
        return violation;
    }

    @Override
    public void processStarted(SimulatedProcess process) {
        if (process.logic() instanceof RealRelayLogic logic) {
            fleet.schedule(process, fleet.now() + POLL_MS, "batches", () -> poll(logic));
        }
    }

    private void poll(RealRelayLogic logic) {
        SimulatedProcess process = logic.process();
        logic.refresh(process.now());
        runs.forEach((booking, destination) -> {
            try {
                BookedCapacity bookedCapacity = logic.fleet()
                        .admit(process.now(), null, CLASS, destination, booking)
                        .lane();
                for (;
                        bookedCapacity.nextCallAt(process.now()) <= process.now();
                        bookedCapacity.callSent(process.now())) {
                    recordCall(logic, booking, destination);
                }
            } catch (Fault.UnknownBooking unknownBooking) {
                process.report(unknownBooking.line()); // a client would get it as the answer to its message
            }
        });
        fleet.schedule(process, fleet.now() + POLL_MS, "batches", () -> poll(logic));
    }

    private void recordCall(RealRelayLogic logic, String booking, int destination) {
        SimulatedProcess process = logic.process();
        logic.callSent(process.now(), destination, demand.limit(destination));
        callListener.sent(process, destination, fleet.now());
        sent.merge(booking + " " + process.name(), 1L, Long::sum);
        Booking agreedBooking = agreed.bookings().get(booking);
        if (agreedBooking == null) {
            violation = process + " sends on booking " + booking + ", which nobody has agreed on";
            return;
        }
        // a lowered limit reduces bookings, and relays may not know the reduced rate yet: the highest one counts
        long rate =
                highestRates.merge(booking, agreedBooking.request().rates().getOrDefault(destination, 0L), Math::max);
        Deque<Double> times = lastSecond.computeIfAbsent(booking, k -> new ArrayDeque<>());
        times.add(fleet.now());
        while (times.peek() <= fleet.now() - SECOND) {
            times.remove();
        }
        double calls = rate / SECOND;
        if (times.size()
                > calls * (1 + process.setup().drift() + BURST_S)
                        + fleet.running().size()) {
            violation = times.size() + " calls in a second on booking " + booking + " of " + calls;
        }
    }
}
