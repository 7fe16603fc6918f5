package firstair.kit.fleet;

import firstair.fleet.booking.Booking;
import firstair.fleet.booking.Bookings;
import firstair.fleet.booking.State;
import firstair.fleet.ledger.AgreedContracts;
import firstair.fleet.ledger.LedgerStateMachines;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * What relays hold to be agreed: all that ever hold a version hold the same, nobody goes back, each booking goes only
 * where its state may go, and no capacity is granted twice.
 */
public final class Agreed implements Invariant {
    private static final int KEPT = 4096;
    private static final long FAR_MS = 1L << 40; // beyond all that is booked

    /** Contracts that were agreed together. */
    record Contracts(long number, double knownAt) {}

    private final Map<Long, byte[]> versions = new LinkedHashMap<>();
    private final Map<Long, Long> held = new LinkedHashMap<>(); // by incarnation
    private final List<Contracts> contracts = new ArrayList<>();
    private long newest;
    private Map<String, Booking> bookings = new TreeMap<>();

    @Override
    public String name() {
        return "what is agreed";
    }

    /** All contracts agreed so far, with when the first relay knew. */
    List<Contracts> contracts() {
        return contracts;
    }

    /** Bookings of the newest version that any relay holds. */
    Map<String, Booking> bookings() {
        return bookings;
    }

    /** Version of the newest state that any relay holds. */
    long newest() {
        return newest;
    }

    @Override
    public String check(PlayedFleet fleet) {
        if (fleet.touched() == null || !(fleet.touched().played() instanceof FleetPlayed played)) {
            return null;
        }
        long version = played.fleet().agreedVersion();
        long before = held.getOrDefault(played.life().incarnation(), 0L);
        if (version == before) {
            return null;
        }
        held.put(played.life().incarnation(), version);
        if (version < before) {
            return played.life() + " went back from version " + before + " to " + version;
        }
        byte[] state = played.fleet().agreedState();
        byte[] known = versions.putIfAbsent(version, state);
        if (versions.size() > KEPT) {
            versions.remove(versions.keySet().iterator().next());
        }
        if (known != null) {
            return Arrays.equals(known, state) ? null : played.life() + " holds another version " + version;
        }
        return version > newest ? follow(fleet, version, state) : null;
    }

    private String follow(PlayedFleet fleet, long version, byte[] state) {
        newest = version;
        Map<Integer, byte[]> parts = LedgerStateMachines.parts(state);
        for (AgreedContracts.Version v : AgreedContracts.read(parts.get(LedgerStateMachines.CONTRACTS))) {
            if (contracts.isEmpty()
                    || v.number() > contracts.get(contracts.size() - 1).number()) {
                contracts.add(new Contracts(v.number(), fleet.now()));
            }
        }
        Bookings now = Bookings.restore(parts.get(LedgerStateMachines.BOOKINGS));
        Map<String, Booking> after = new TreeMap<>();
        now.all().forEach(b -> after.put(b.id(), b));
        for (Booking b : after.values()) {
            Booking was = bookings.get(b.id());
            if (was != null && was.state() != b.state() && !reaches(was.state(), b.state())) {
                return "booking " + b.id() + " went from " + was.state() + " to " + b.state();
            }
            boolean sealed = was != null && was.state() == State.SEALED;
            if (sealed
                    && (b.startMs() != was.startMs()
                            || b.endMs() < was.endMs() && !b.state().isFinal())) {
                return "sealed booking " + b.id() + " was moved";
            }
        }
        bookings = after;
        return granted(now);
    }

    /** Several operations may lie between two versions that relays hold. */
    private static boolean reaches(State from, State to) {
        for (State next : State.values()) {
            if (from.canBecome(next) && (next == to || reaches(next, to))) {
                return true;
            }
        }
        return false;
    }

    private static String granted(Bookings now) {
        TreeSet<Integer> destinations = new TreeSet<>();
        now.all().forEach(b -> destinations.addAll(b.rates().keySet()));
        for (int d : destinations) {
            long capacity = now.availableRate(d, now.time() + FAR_MS, now.time() + FAR_MS + 1);
            for (Booking edge : now.all()) {
                long at = Math.max(edge.startMs(), now.time());
                long sum = 0;
                for (Booking b : now.all()) {
                    if (b.holdsCapacity() && b.startMs() <= at && at < b.bookedToMs()) {
                        sum += b.rates().getOrDefault(d, 0L);
                    }
                }
                if (sum > capacity) {
                    return sum + " thousandths booked at destination " + d + " of " + capacity;
                }
            }
        }
        return null;
    }
}
