package firstair.fleet.booking;

import firstair.fleet.Setup;
import firstair.fleet.fault.Fault;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToIntFunction;

/**
 * The rates that a relay may use for bookings and for ordinary traffic, according to the newest {@link SealedBookings}
 * that it has received. Wall clocks are off by at most {@code skewMs}; around the start and the end of a booking a
 * relay uses the booking only when it is certainly active, and keeps ordinary traffic off its capacity whenever it may
 * be active. Without a set that covers the current time it sends nothing on bookings, and keeps ordinary traffic off
 * all bookable capacity.
 *
 * <p>The limits hold for the whole fleet because each relay applies its own share of each total, and because later
 * grants and releases only concern times that no relay's set covers.
 */
public final class RelayBookings {
    private static final int MAX_DESTINATIONS = 10_000;
    private static final int USAGE_WINDOW_S = 5; // how long the usage of a booking is remembered
    private static final double BORROWING_HEADROOM = 2; // multiple of the peak usage of a booking that is not borrowed
    private static final double MS_PER_SECOND = 1000;

    /** Calls requested on one booking to one destination, counted for each of the last seconds. */
    private static final class UsageWindow {
        private final long[] seconds = new long[USAGE_WINDOW_S];
        private final double[] calls = new double[USAGE_WINDOW_S];

        void add(double nowMs, double more) {
            long second = secondOf(nowMs);
            int i = Math.floorMod(second, USAGE_WINDOW_S);
            if (seconds[i] != second) {
                seconds[i] = second;
                calls[i] = 0;
            }
            calls[i] += more;
        }

        double max(double nowMs) {
            long oldest = secondOf(nowMs) - USAGE_WINDOW_S;
            double peak = 0;
            for (int i = 0; i < USAGE_WINDOW_S; i++) {
                if (seconds[i] > oldest) {
                    peak = Math.max(peak, calls[i]);
                }
            }
            return peak;
        }

        private static long secondOf(double nowMs) {
            return (long) Math.floor(nowMs / MS_PER_SECOND);
        }
    }

    private final double skewMs;
    private SealedBookings sealed; // null until the first set is received
    private final Map<String, SealedBookings.Entry> entriesById = new LinkedHashMap<>();
    private final Map<Integer, List<SealedBookings.Entry>> entriesByDestination = new TreeMap<>();
    private final Map<Integer, Double> bookableLimits = new TreeMap<>(); // bookable calls per second, by destination
    private final Map<String, Map<Integer, UsageWindow>> usageByBooking = new LinkedHashMap<>(); // by booking id

    /**
     * Creates an instance without a set of bookings.
     *
     * @param skewMs maximum error of wall clocks
     */
    public RelayBookings(double skewMs) {
        this.skewMs = skewMs;
    }

    /** Accepts an agreed set unless it is older than the current one. Returns whether it was accepted. */
    public boolean acceptVersion(SealedBookings set) {
        if (sealed != null && set.version() <= sealed.version()) {
            return false;
        }
        sealed = set;
        entriesById.clear();
        entriesByDestination.clear();
        for (SealedBookings.Entry entry : set.entries()) {
            entriesById.put(entry.id(), entry);
            for (int destination : entry.reserved().keySet()) {
                entriesByDestination
                        .computeIfAbsent(destination, k -> new ArrayList<>())
                        .add(entry);
            }
        }
        usageByBooking.keySet().retainAll(entriesById.keySet());
        return true;
    }

    /**
     * Sets a destination's limit as this relay knows it. Where it is lower than the limit in the ledger, the bookings
     * there are reduced locally in proportion to their rates.
     *
     * @param limit         calls per second
     * @param bookableShare share of the limit that can be booked, 0 to 1
     */
    public void limit(int destination, double limit, double bookableShare) {
        if (bookableLimits.size() < MAX_DESTINATIONS || bookableLimits.containsKey(destination)) {
            bookableLimits.put(destination, limit * bookableShare);
        }
    }

    /** Version of the current set, -1 if there is none. */
    public long version() {
        return sealed == null ? -1 : sealed.version();
    }

    /** The team that owns a booking, null if the set does not contain it. */
    public String team(String bookingId) {
        SealedBookings.Entry entry = entriesById.get(bookingId);
        return entry == null ? null : entry.team();
    }

    /** Fleet-wide calls per second of a booking at a destination, 0 if the set does not contain it. */
    public double fleetRate(String bookingId, int destination) {
        SealedBookings.Entry entry = entriesById.get(bookingId);
        return entry == null ? 0 : fleetRate(entry.rates().getOrDefault(destination, 0L));
    }

    /** Whether the set covers the current time, allowing for clock error in either direction. */
    public boolean covers(long wallMs) {
        return sealed != null && wallMs - skewMs >= sealed.fromMs() && wallMs + skewMs <= sealed.throughMs();
    }

    /**
     * Calls per second that this relay may send on a booking now; 0 if the booking is not certainly active or the set
     * does not cover the current time. Throws {@link Fault.UnknownBooking} if the set covers the current time and does
     * not contain the booking, and {@link Fault.NotYours} for a booking of another team.
     *
     * @param parts this relay's share of the booking, millionths
     */
    public double rate(long wallMs, String bookingId, String team, int destination, int parts) {
        SealedBookings.Entry entry = entriesById.get(bookingId);
        if (entry == null) {
            if (covers(wallMs)) {
                throw new Fault.UnknownBooking(bookingId);
            }
            return 0;
        }
        if (!entry.team().equals(team)) {
            throw new Fault.NotYours(bookingId, team);
        }
        if (!covers(wallMs) || !isCertainlyActive(entry, wallMs)) {
            return 0;
        }
        return share(parts) * fleetRate(entry.rates().getOrDefault(destination, 0L)) * cutFactor(wallMs, destination);
    }

    /**
     * Calls per second that ordinary traffic of the whole fleet may use now, of which a relay takes its share. Never
     * less than the part that cannot be booked. Also sets the {@link #limit}.
     *
     * @param limit         limit of the destination as this relay knows it, calls per second
     * @param bookableShare share of the limit that can be booked, 0 to 1
     */
    public double ordinaryRate(long wallMs, int destination, double limit, double bookableShare) {
        limit(destination, limit, bookableShare);
        double bookableLimit = limit * bookableShare;
        if (!covers(wallMs)) {
            return limit - bookableLimit;
        }
        return limit - Math.min(bookableLimit, reservedRate(wallMs, destination));
    }

    /**
     * Counts calls requested on a booking, whether or not they could be sent. Borrowed capacity is returned at once:
     * the next query of {@link #borrowableRate} is reduced by {@value #BORROWING_HEADROOM} times the calls of the
     * busiest of
     * the last {@value #USAGE_WINDOW_S} seconds.
     *
     * @param nowMs on the relay's own clock
     */
    public void recordCalls(double nowMs, String bookingId, int destination, double calls) {
        SealedBookings.Entry entry = entriesById.get(bookingId);
        if (entry != null && entry.reserved().containsKey(destination) && calls > 0) {
            usageByBooking
                    .computeIfAbsent(bookingId, k -> new TreeMap<>())
                    .computeIfAbsent(destination, k -> new UsageWindow())
                    .add(nowMs, calls);
        }
    }

    /**
     * Calls per second that ordinary traffic of this relay may send now in addition to {@link #ordinaryRate}: the
     * unused
     * part of its own shares of the bookings there. A relay borrows only from its own shares, so it does not have to
     * ask other relays.
     *
     * @param nowMs on the relay's own clock
     * @param parts this relay's share of each booking, millionths
     */
    public double borrowableRate(double nowMs, long wallMs, int destination, ToIntFunction<String> parts) {
        if (!covers(wallMs)) {
            return 0;
        }
        double sum = 0;
        double cutFactor = cutFactor(wallMs, destination);
        for (SealedBookings.Entry entry : entriesByDestination.getOrDefault(destination, List.of())) {
            if (isCertainlyActive(entry, wallMs)) {
                long rate = wallMs + skewMs <= entry.reservedUntilMs()
                        ? entry.reserved().get(destination)
                        : entry.rates().getOrDefault(destination, 0L);
                UsageWindow usage =
                        usageByBooking.getOrDefault(entry.id(), Map.of()).get(destination);
                double withheld = usage == null ? 0 : BORROWING_HEADROOM * usage.max(nowMs);
                sum += Math.max(0, share(parts.applyAsInt(entry.id())) * fleetRate(rate) * cutFactor - withheld);
            }
        }
        return sum;
    }

    /** Factor applied to all bookings at a destination while its limit is lower here than in the ledger. */
    private double cutFactor(long wallMs, int destination) {
        double bookable = bookableLimits.getOrDefault(destination, Double.POSITIVE_INFINITY);
        double reserved = reservedRate(wallMs, destination);
        return reserved <= bookable ? 1 : bookable / reserved;
    }

    /** Fleet-wide calls per second that bookings may be using now. */
    private double reservedRate(long wallMs, int destination) {
        long sum = 0;
        for (SealedBookings.Entry entry : entriesByDestination.getOrDefault(destination, List.of())) {
            if (wallMs >= entry.startMs() - skewMs && wallMs <= entry.endMs() + skewMs) {
                long rate = entry.rates().getOrDefault(destination, 0L);
                sum += wallMs <= entry.reservedUntilMs() + skewMs
                        ? Math.max(rate, entry.reserved().get(destination))
                        : rate;
            }
        }
        return fleetRate(sum);
    }

    private boolean isCertainlyActive(SealedBookings.Entry entry, long wallMs) {
        return wallMs - skewMs >= entry.startMs() && wallMs + skewMs <= entry.endMs();
    }

    private static double share(int parts) {
        return (double) Math.max(0, Math.min(parts, Setup.WHOLE)) / Setup.WHOLE;
    }

    private static double fleetRate(long thousandths) {
        return (double) thousandths / Rates.PARTS_PER_CALL;
    }
}
