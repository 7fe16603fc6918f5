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
 * What one relay may send on bookings and beside them, by the newest {@link Sealed} that it has. Wall clocks are at
 * most {@code skewMs} off; around starts and ends a relay uses a booking only when its time has surely come, and leaves
 * it alone whenever it may have. Without a set that covers now it sends nothing on bookings and leaves all that can be
 * booked alone.
 *
 * <p>Sums over the fleet hold because each relay multiplies with its own parts of a whole, and because what is granted
 * or given back later concerns only times that the set of no relay covers.
 */
public final class Booked {
    private static final int MOST_DESTINATIONS = 10_000;
    private static final int SECONDS = 5; // a booking's use is remembered for so long
    private static final double HEADROOM = 2; // so many times its use is not borrowed
    private static final double SECOND_MS = 1000;

    /** Calls that wanted to go on one booking to one destination, in each of the last seconds. */
    private static final class Use {
        private final long[] seconds = new long[SECONDS];
        private final double[] calls = new double[SECONDS];

        void add(double nowMs, double more) {
            long second = second(nowMs);
            int i = Math.floorMod(second, SECONDS);
            if (seconds[i] != second) {
                seconds[i] = second;
                calls[i] = 0;
            }
            calls[i] += more;
        }

        double most(double nowMs) {
            long oldest = second(nowMs) - SECONDS;
            double most = 0;
            for (int i = 0; i < SECONDS; i++) {
                if (seconds[i] > oldest) {
                    most = Math.max(most, calls[i]);
                }
            }
            return most;
        }

        private static long second(double nowMs) {
            return (long) Math.floor(nowMs / SECOND_MS);
        }
    }

    private final double skewMs;
    private Sealed sealed; // null until told
    private final Map<String, Sealed.Entry> entries = new LinkedHashMap<>();
    private final Map<Integer, List<Sealed.Entry>> at = new TreeMap<>();
    private final Map<Integer, Double> bookable = new TreeMap<>(); // calls a second, by limits told
    private final Map<String, Map<Integer, Use>> uses = new LinkedHashMap<>(); // of those in the set

    /**
     * One that was told nothing.
     *
     * @param skewMs wall clocks are off by so much at most
     */
    public Booked(double skewMs) {
        this.skewMs = skewMs;
    }

    /** A set that was agreed; an older one than the newest changes nothing. Returns whether it is used. */
    public boolean agreed(Sealed set) {
        if (sealed != null && set.version() <= sealed.version()) {
            return false;
        }
        sealed = set;
        entries.clear();
        at.clear();
        for (Sealed.Entry e : set.entries()) {
            entries.put(e.id(), e);
            for (int d : e.leave().keySet()) {
                at.computeIfAbsent(d, k -> new ArrayList<>()).add(e);
            }
        }
        uses.keySet().retainAll(entries.keySet());
        return true;
    }

    /**
     * A destination's limit as this relay knows it. Where it is lower than the ledger knows yet, bookings there are cut
     * here in proportion to their rates.
     *
     * @param limit         calls a second
     * @param bookableShare what part of it can be booked, 0 to 1
     */
    public void limit(int destination, double limit, double bookableShare) {
        if (bookable.size() < MOST_DESTINATIONS || bookable.containsKey(destination)) {
            bookable.put(destination, limit * bookableShare);
        }
    }

    /** The version of the set in use, -1 if there is none. */
    public long version() {
        return sealed == null ? -1 : sealed.version();
    }

    /** Whose a booking is, null if the set does not name it. */
    public String team(String bookingId) {
        Sealed.Entry e = entries.get(bookingId);
        return e == null ? null : e.team();
    }

    /** Calls a second that a booking has at a destination over the whole fleet, 0 if the set does not name it. */
    public double calls(String bookingId, int destination) {
        Sealed.Entry e = entries.get(bookingId);
        return e == null ? 0 : calls(e.rates().getOrDefault(destination, 0L));
    }

    /** Whether the set covers now, whichever way the clock is off. */
    public boolean covers(long wallMs) {
        return sealed != null && wallMs - skewMs >= sealed.fromMs() && wallMs + skewMs <= sealed.throughMs();
    }

    /**
     * Calls a second that this relay may send now on a booking; 0 if its time has not surely come or the set does not
     * cover now. Raises {@link Fault.UnknownBooking} if the set covers now and does not name it, and
     * {@link Fault.NotYours}.
     *
     * @param parts its part of the booking, millionths
     */
    public double rate(long wallMs, String bookingId, String team, int destination, int parts) {
        Sealed.Entry e = entries.get(bookingId);
        if (e == null) {
            if (covers(wallMs)) {
                throw new Fault.UnknownBooking(bookingId);
            }
            return 0;
        }
        if (!e.team().equals(team)) {
            throw new Fault.NotYours(bookingId, team);
        }
        if (!covers(wallMs) || !surely(e, wallMs)) {
            return 0;
        }
        return share(parts) * calls(e.rates().getOrDefault(destination, 0L)) * fitting(wallMs, destination);
    }

    /**
     * Calls a second that ordinary traffic of the whole fleet may use now; a relay takes its part of it. Never less
     * than what cannot be booked. It tells the {@link #limit} as well.
     *
     * @param limit         of the destination as this relay knows it, calls a second
     * @param bookableShare what part of it can be booked, 0 to 1
     */
    public double ordinary(long wallMs, int destination, double limit, double bookableShare) {
        limit(destination, limit, bookableShare);
        double canBeBooked = limit * bookableShare;
        if (!covers(wallMs)) {
            return limit - canBeBooked;
        }
        return limit - Math.min(canBeBooked, left(wallMs, destination));
    }

    /**
     * Calls wanted to go on a booking, whether they could or not. What others borrow of it is back at once: from the
     * next question on it is less by {@value #HEADROOM} times as many calls a second as came in the fullest of the
     * last {@value #SECONDS} seconds.
     *
     * @param nowMs on the relay's own clock
     */
    public void used(double nowMs, String bookingId, int destination, double calls) {
        Sealed.Entry e = entries.get(bookingId);
        if (e != null && e.leave().containsKey(destination) && calls > 0) {
            uses.computeIfAbsent(bookingId, k -> new TreeMap<>())
                    .computeIfAbsent(destination, k -> new Use())
                    .add(nowMs, calls);
        }
    }

    /**
     * Calls a second that ordinary traffic of this relay may send now beside {@link #ordinary}: what its own parts of
     * the bookings there are worth and their teams do not use. Its own alone, so that no relay has to ask another.
     *
     * @param nowMs on the relay's own clock
     * @param parts its part of each booking, millionths
     */
    public double borrowed(double nowMs, long wallMs, int destination, ToIntFunction<String> parts) {
        if (!covers(wallMs)) {
            return 0;
        }
        double sum = 0;
        double fitting = fitting(wallMs, destination);
        for (Sealed.Entry e : at.getOrDefault(destination, List.of())) {
            if (surely(e, wallMs)) {
                long rate = wallMs + skewMs <= e.leaveToMs()
                        ? e.leave().get(destination)
                        : e.rates().getOrDefault(destination, 0L);
                Use use = uses.getOrDefault(e.id(), Map.of()).get(destination);
                double kept = use == null ? 0 : HEADROOM * use.most(nowMs);
                sum += Math.max(0, share(parts.applyAsInt(e.id())) * calls(rate) * fitting - kept);
            }
        }
        return sum;
    }

    /** By how much all bookings at a destination are cut here, because its limit is lower than the ledger knows yet. */
    private double fitting(long wallMs, int destination) {
        double most = bookable.getOrDefault(destination, Double.POSITIVE_INFINITY);
        double left = left(wallMs, destination);
        return left <= most ? 1 : most / left;
    }

    /** What may be in use by bookings now, calls a second over the whole fleet. */
    private double left(long wallMs, int destination) {
        long sum = 0;
        for (Sealed.Entry e : at.getOrDefault(destination, List.of())) {
            if (wallMs >= e.startMs() - skewMs && wallMs <= e.endMs() + skewMs) {
                long rate = e.rates().getOrDefault(destination, 0L);
                sum += wallMs <= e.leaveToMs() + skewMs
                        ? Math.max(rate, e.leave().get(destination))
                        : rate;
            }
        }
        return calls(sum);
    }

    private boolean surely(Sealed.Entry e, long wallMs) {
        return wallMs - skewMs >= e.startMs() && wallMs + skewMs <= e.endMs();
    }

    private static double share(int parts) {
        return (double) Math.max(0, Math.min(parts, Setup.WHOLE)) / Setup.WHOLE;
    }

    private static double calls(long thousandths) {
        return (double) thousandths / Rates.PARTS;
    }
}
