package firstair.fleet.booking;

import firstair.fleet.fault.Fault;

/**
 * What holds for all bookings, ms; agreed like the bookings themselves, so that all voters have the same.
 *
 * @param sealBeforeMs so long before its start a booking is sealed; also how long what ends early stays booked
 * @param leadMs       so long before its start a booking has to be asked for, {@code sealBeforeMs} at least
 * @param longestMs    longest span of a booking
 * @param aheadMs      how far ahead a booking may start
 * @param holdMs       so long an offer waits for its team
 * @param showUpMs     so long after its start a booking waits for its run
 * @param forgetMs     so long a booking that is over can still be asked for
 * @param most         bookings kept at a time
 */
public record Rules(
        long sealBeforeMs,
        long leadMs,
        long longestMs,
        long aheadMs,
        long holdMs,
        long showUpMs,
        long forgetMs,
        int most) {
    /** Longest span that the rules may allow: 31 days. */
    static final long MOST_SPAN_MS = 31L * 86_400_000;
    /** Furthest that the rules may allow to book ahead: two years. */
    static final long MOST_AHEAD_MS = 731L * 86_400_000;

    private static final long MOST_FORGET_MS = 100L * 86_400_000;
    private static final int MOST_BOOKINGS = 100_000;

    /** Checks them; raises {@link Fault.BadSetup}. */
    public Rules {
        check("seal_before", sealBeforeMs, 1000, 86_400_000);
        check("lead", leadMs, sealBeforeMs, MOST_AHEAD_MS);
        check("longest", longestMs, 1000, MOST_SPAN_MS);
        check("ahead", aheadMs, leadMs, MOST_AHEAD_MS);
        check("hold", holdMs, 1000, MOST_SPAN_MS);
        check("show_up", showUpMs, 1000, MOST_SPAN_MS);
        check("forget", forgetMs, 1000, MOST_FORGET_MS);
        check("most", most, 1, MOST_BOOKINGS);
    }

    /**
     * Sealed 15 min before the start, asked for an hour ahead, a day long, two years ahead, a day to confirm, 15 min to
     * show up, forgotten after 30 days, ten thousand at a time.
     */
    public static Rules usual() {
        return new Rules(900_000, 3_600_000, 86_400_000, MOST_AHEAD_MS, 86_400_000, 900_000, 30L * 86_400_000, 10_000);
    }

    private static void check(String field, long value, long least, long most) {
        if (value < least || value > most) {
            throw new Fault.BadSetup("fleet.bookings." + field, "has to be from " + least + " to " + most);
        }
    }
}
