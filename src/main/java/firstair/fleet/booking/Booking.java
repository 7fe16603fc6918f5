package firstair.fleet.booking;

import java.util.Map;
import java.util.SortedMap;

/**
 * A booking as it stands. Rates are thousandths of a call a second; times are epoch ms.
 *
 * @param request    as its team put it
 * @param number     bookings that came later have higher ones
 * @param rates      what is booked at each destination now: less than requested once a limit was lowered
 * @param startMs    from when on
 * @param endMs      until when
 * @param bookedToMs until when its capacity is nobody else's; its end, or a little after it ended early
 * @param before     rates before they were cut, which others leave alone until {@code beforeToMs}
 * @param beforeToMs see {@code before}
 * @param state      how it stands
 * @param sinceMs    since when
 * @param cause      why
 * @param holdToMs   while held: until when it can be confirmed
 * @param shown      whether its run has begun
 * @param charged    thousandths of a call counted against its team's quota, by month (year x 12 + month - 1)
 */
public record Booking(
        Operation.Put request,
        long number,
        SortedMap<Integer, Long> rates,
        long startMs,
        long endMs,
        long bookedToMs,
        SortedMap<Integer, Long> before,
        long beforeToMs,
        State state,
        long sinceMs,
        String cause,
        long holdToMs,
        boolean shown,
        SortedMap<Integer, Long> charged) {

    /** As it was put, at once. */
    static Booking of(Operation.Put put, long number, long atMs) {
        return new Booking(
                put,
                number,
                put.rates(),
                put.startMs(),
                put.endMs(),
                put.endMs(),
                Rates.copy(Map.of()),
                0,
                State.REQUESTED,
                atMs,
                "requested",
                0,
                false,
                Rates.copy(Map.of()));
    }

    /** Its name. */
    public String id() {
        return request.id();
    }

    /** Whose it is. */
    public String team() {
        return request.team();
    }

    /** Whether its capacity is nobody else's, now or from its start on. */
    public boolean holds() {
        return switch (state) {
            case HELD, CONFIRMED, SEALED, RUNNING -> true;
            case ENDED, RELEASED -> bookedToMs > startMs;
            case REQUESTED, LAPSED, REFUSED -> false;
        };
    }

    Booking become(State to, long atMs, String why) {
        return new Booking(
                request,
                number,
                rates,
                startMs,
                endMs,
                bookedToMs,
                before,
                beforeToMs,
                to,
                atMs,
                why,
                holdToMs,
                shown,
                charged);
    }

    Booking spanning(long fromMs, long toMs, long bookedTo) {
        return new Booking(
                request,
                number,
                rates,
                fromMs,
                toMs,
                bookedTo,
                before,
                beforeToMs,
                state,
                sinceMs,
                cause,
                holdToMs,
                shown,
                charged);
    }

    Booking cut(SortedMap<Integer, Long> to, SortedMap<Integer, Long> left, long leftToMs) {
        return new Booking(
                request,
                number,
                to,
                startMs,
                endMs,
                bookedToMs,
                left,
                leftToMs,
                state,
                sinceMs,
                cause,
                holdToMs,
                shown,
                charged);
    }

    Booking heldTo(long ms) {
        return new Booking(
                request,
                number,
                rates,
                startMs,
                endMs,
                bookedToMs,
                before,
                beforeToMs,
                state,
                sinceMs,
                cause,
                ms,
                shown,
                charged);
    }

    Booking begun() {
        return new Booking(
                request,
                number,
                rates,
                startMs,
                endMs,
                bookedToMs,
                before,
                beforeToMs,
                state,
                sinceMs,
                cause,
                holdToMs,
                true,
                charged);
    }

    Booking charging(SortedMap<Integer, Long> months) {
        return new Booking(
                request,
                number,
                rates,
                startMs,
                endMs,
                bookedToMs,
                before,
                beforeToMs,
                state,
                sinceMs,
                cause,
                holdToMs,
                shown,
                months);
    }
}
