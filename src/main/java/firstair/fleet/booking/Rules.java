package firstair.fleet.booking;

import firstair.fleet.fault.Fault;

/**
 * Rules for all bookings; durations in ms. The ledger agrees on them like on the bookings, so all voters apply the
 * same rules.
 *
 * @param sealBeforeMs how long before its start a booking is sealed; also how long the capacity of a booking that ends
 *                     early stays booked
 * @param leadMs       how long before its start a booking must be requested, at least {@code sealBeforeMs}
 * @param longestMs    maximum duration of a booking
 * @param aheadMs      how far ahead a booking may start
 * @param holdMs       how long a team has to confirm an offered booking
 * @param showUpMs     how long after its start a booking is kept if its run has not begun
 * @param forgetMs     how long a finished booking can still be queried
 * @param maxBookings  maximum number of bookings stored at a time
 */
public record Rules(
        long sealBeforeMs,
        long leadMs,
        long longestMs,
        long aheadMs,
        long holdMs,
        long showUpMs,
        long forgetMs,
        int maxBookings) {
    /** Upper bound of {@code longestMs}: 31 days. */
    static final long MAX_SPAN_MS = 31L * 86_400_000;
    /** Upper bound of {@code aheadMs}: two years. */
    static final long MAX_AHEAD_MS = 731L * 86_400_000;

    private static final long MAX_FORGET_MS = 100L * 86_400_000;
    private static final int MAX_BOOKINGS = 100_000;

    /** Validates the rules; throws {@link Fault.BadSetup}. */
    public Rules {
        check("seal_before", sealBeforeMs, 1000, 86_400_000);
        check("lead", leadMs, sealBeforeMs, MAX_AHEAD_MS);
        check("longest", longestMs, 1000, MAX_SPAN_MS);
        check("ahead", aheadMs, leadMs, MAX_AHEAD_MS);
        check("hold", holdMs, 1000, MAX_SPAN_MS);
        check("show_up", showUpMs, 1000, MAX_SPAN_MS);
        check("forget", forgetMs, 1000, MAX_FORGET_MS);
        check("most", maxBookings, 1, MAX_BOOKINGS);
    }

    /**
     * Default rules: sealed 15 min before the start, requested 1 h ahead at the latest and two years ahead at the
     * earliest, at most a day long, a day to confirm, 15 min to begin the run, forgotten after 30 days, at most 10,000
     * bookings.
     */
    public static Rules defaults() {
        return new Rules(900_000, 3_600_000, 86_400_000, MAX_AHEAD_MS, 86_400_000, 900_000, 30L * 86_400_000, 10_000);
    }

    private static void check(String field, long value, long min, long max) {
        if (value < min || value > max) {
            throw new Fault.BadSetup("fleet.bookings." + field, "has to be from " + min + " to " + max);
        }
    }
}
