package firstair.fleet.booking;

import firstair.fleet.fault.Fault;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** Test data: destinations 1 to 3 with a limit of 100 calls per second, half of it bookable; teams a, b and c. */
final class BookingFixtures {
    static final long MINUTE = 60_000;
    static final long HOUR = 60 * MINUTE;
    static final long DAY = 24 * HOUR;
    static final long NOW = Instant.parse("2026-03-02T00:00:00Z").toEpochMilli();
    static final long QUOTA = 10_000_000_000L;

    private BookingFixtures() {}

    static Bookings bookings() {
        return withSetup(new Bookings(Rules.defaults()));
    }

    static Bookings withSetup(Bookings bookings) {
        for (int d = 1; d <= 3; d++) {
            bookings.apply(NOW, new Operation.SetDestination(d, 100_000, 500_000, List.of()));
        }
        for (String team : List.of("a", "b", "c")) {
            bookings.apply(NOW, new Operation.SetTeam(team, QUOTA, "Europe/Berlin"));
        }
        return bookings;
    }

    /** A request for a rate in calls per second at destination 1; times are hours after {@link #NOW}. */
    static Operation.Put put(String id, String team, int rank, long calls, double fromHour, double toHour) {
        return put(id, team, rank, Map.of(1, calls * 1000), fromHour, toHour);
    }

    static Operation.Put put(String id, String team, int rank, Map<Integer, Long> rates, double from, double to) {
        return Operation.Put.of(id, team, rank, rates, at(from), at(to), true);
    }

    static Operation.Put withoutWaiting(Operation.Put p) {
        return new Operation.Put(p.id(), p.team(), p.rank(), p.rates(), p.startMs(), p.endMs(), false);
    }

    static long at(double hour) {
        return NOW + (long) (hour * HOUR);
    }

    /** Makes a booking that is running and whose run has begun. */
    static void startRunning(Bookings bookings, String id, String team, long calls, double from, double until) {
        bookings.apply(bookings.time(), put(id, team, 5, calls, from, until)).orThrow();
        bookings.apply(bookings.time(), new Operation.Confirm(id, team)).orThrow();
        bookings.apply(at(from), new Operation.ShowUp(id, team)).orThrow();
    }

    static String changesOf(Result r) {
        return r.changes().stream()
                .map(c -> c.id() + " " + (c.from() == null ? "" : c.from().label() + ">") + c.to().label())
                .collect(Collectors.joining(", "));
    }

    static Class<? extends Fault> faultOf(Result r) {
        return r.fault() == null ? null : r.fault().getClass();
    }
}
