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
 * The state agreed by the relays. Checks that all relays with the same version have the same state, that no relay
 * returns to an older version, that bookings only make valid transitions, and that no capacity is granted twice.
 */
public final class AgreedState implements Invariant {
    private static final int MAX_VERSIONS = 4096;
    private static final long FAR_MS = 1L << 40; // later than the end of any booking

    /** A version of the contracts; {@code knownAt} is the virtual time at which the first relay knew it, ms. */
    record ContractVersion(long number, double knownAt) {}

    private final Map<Long, byte[]> versions = new LinkedHashMap<>();
    private final Map<Long, Long> lastVersions = new LinkedHashMap<>(); // last version of each process, by incarnation
    private final List<ContractVersion> contracts = new ArrayList<>();
    private long newest;
    private Map<String, Booking> bookings = new TreeMap<>();

    @Override
    public String name() {
        return "what is agreed";
    }

    /** All versions of the contracts agreed so far, oldest first. */
    List<ContractVersion> contracts() {
        return contracts;
    }

    /** Bookings in the newest state that any relay has, by id. */
    Map<String, Booking> bookings() {
        return bookings;
    }

    /** Version of the newest state that any relay has. */
    long newest() {
        return newest;
    }

    @Override
    public String check(SimulatedFleet fleet) {
        if (fleet.lastProcess() == null || !(fleet.lastProcess().logic() instanceof RealRelayLogic logic)) {
            return null;
        }
        long version = logic.fleet().agreedVersion();
        long previous = lastVersions.getOrDefault(logic.process().incarnation(), 0L);
        if (version == previous) {
            return null;
        }
        lastVersions.put(logic.process().incarnation(), version);
        if (version < previous) {
            return logic.process() + " went back from version " + previous + " to " + version;
        }
        byte[] state = logic.fleet().agreedState();
        byte[] knownState = versions.putIfAbsent(version, state);
        if (versions.size() > MAX_VERSIONS) {
            versions.remove(versions.keySet().iterator().next());
        }
        if (knownState != null) {
            return Arrays.equals(knownState, state) ? null : logic.process() + " holds another version " + version;
        }
        return version > newest ? applyVersion(fleet, version, state) : null;
    }

    private String applyVersion(SimulatedFleet fleet, long version, byte[] state) {
        newest = version;
        Map<Integer, byte[]> parts = LedgerStateMachines.parts(state);
        for (AgreedContracts.Version contractVersion : AgreedContracts.read(parts.get(LedgerStateMachines.CONTRACTS))) {
            if (contracts.isEmpty()
                    || contractVersion.number()
                            > contracts.get(contracts.size() - 1).number()) {
                contracts.add(new ContractVersion(contractVersion.number(), fleet.now()));
            }
        }
        Bookings current = Bookings.restore(parts.get(LedgerStateMachines.BOOKINGS));
        Map<String, Booking> updated = new TreeMap<>();
        current.all().forEach(booking -> updated.put(booking.id(), booking));
        for (Booking booking : updated.values()) {
            Booking earlier = bookings.get(booking.id());
            if (earlier != null && earlier.state() != booking.state() && !canReach(earlier.state(), booking.state())) {
                return "booking " + booking.id() + " went from " + earlier.state() + " to " + booking.state();
            }
            boolean sealed = earlier != null && earlier.state() == State.SEALED;
            if (sealed
                    && (booking.startMs() != earlier.startMs()
                            || booking.endMs() < earlier.endMs()
                                    && !booking.state().isFinal())) {
                return "sealed booking " + booking.id() + " was moved";
            }
        }
        bookings = updated;
        return checkGranted(current);
    }

    /** Whether one or more transitions lead between two states: relays may skip versions. */
    private static boolean canReach(State from, State to) {
        for (State next : State.values()) {
            if (from.canBecome(next) && (next == to || canReach(next, to))) {
                return true;
            }
        }
        return false;
    }

    private static String checkGranted(Bookings current) {
        TreeSet<Integer> destinations = new TreeSet<>();
        current.all().forEach(booking -> destinations.addAll(booking.rates().keySet()));
        for (int destination : destinations) {
            long capacity = current.availableRate(destination, current.time() + FAR_MS, current.time() + FAR_MS + 1);
            for (Booking candidate : current.all()) {
                long timeMs = Math.max(candidate.startMs(), current.time());
                long sum = 0;
                for (Booking booking : current.all()) {
                    if (booking.holdsCapacity() && booking.startMs() <= timeMs && timeMs < booking.bookedToMs()) {
                        sum += booking.rates().getOrDefault(destination, 0L);
                    }
                }
                if (sum > capacity) {
                    return sum + " thousandths booked at destination " + destination + " of " + capacity;
                }
            }
        }
        return null;
    }
}
