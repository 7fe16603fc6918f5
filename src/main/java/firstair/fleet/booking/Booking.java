package firstair.fleet.booking;

import java.util.Map;
import java.util.SortedMap;

/**
 * Current state of a booking. Rates are thousandths of a call per second; times are epoch ms.
 *
 * @param request      as submitted by its team
 * @param number       sequence number; later requests have higher ones
 * @param rates        booked rate by destination; lower than requested once a limit was lowered
 * @param startMs      start
 * @param endMs        end (exclusive)
 * @param bookedToMs   until when its capacity is reserved: its end, or shortly after it ended early
 * @param uncutRates   rates before a cut, reserved until {@code uncutUntilMs}
 * @param uncutUntilMs until when relays may still use the rates before the cut
 * @param state        current state
 * @param sinceMs      when it entered that state
 * @param cause        why it entered that state
 * @param confirmByMs  while held: until when it can be confirmed
 * @param runStarted   whether its run has begun
 * @param charged      thousandths of a call charged to its team's quota, by month (year x 12 + month - 1)
 */
public record Booking(
        Operation.Put request,
        long number,
        SortedMap<Integer, Long> rates,
        long startMs,
        long endMs,
        long bookedToMs,
        SortedMap<Integer, Long> uncutRates,
        long uncutUntilMs,
        State state,
        long sinceMs,
        String cause,
        long confirmByMs,
        boolean runStarted,
        SortedMap<Integer, Long> charged) {

    /** A new booking for a request. */
    static Booking of(Operation.Put put, long number, long nowMs) {
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
                nowMs,
                "requested",
                0,
                false,
                Rates.copy(Map.of()));
    }

    /** Name of the booking. */
    public String id() {
        return request.id();
    }

    /** The team that owns the booking. */
    public String team() {
        return request.team();
    }

    /** Whether capacity is reserved for it, now or from its start. */
    public boolean holdsCapacity() {
        return switch (state) {
            case HELD, CONFIRMED, SEALED, RUNNING -> true;
            case ENDED, RELEASED -> bookedToMs > startMs;
            case REQUESTED, LAPSED, REFUSED -> false;
        };
    }

    Booking withState(State newState, long nowMs, String newCause) {
        return new Booking(
                request,
                number,
                rates,
                startMs,
                endMs,
                bookedToMs,
                uncutRates,
                uncutUntilMs,
                newState,
                nowMs,
                newCause,
                confirmByMs,
                runStarted,
                charged);
    }

    Booking withSpan(long newStartMs, long newEndMs, long newBookedToMs) {
        return new Booking(
                request,
                number,
                rates,
                newStartMs,
                newEndMs,
                newBookedToMs,
                uncutRates,
                uncutUntilMs,
                state,
                sinceMs,
                cause,
                confirmByMs,
                runStarted,
                charged);
    }

    Booking withCut(SortedMap<Integer, Long> newRates, SortedMap<Integer, Long> oldRates, long oldRatesUntilMs) {
        return new Booking(
                request,
                number,
                newRates,
                startMs,
                endMs,
                bookedToMs,
                oldRates,
                oldRatesUntilMs,
                state,
                sinceMs,
                cause,
                confirmByMs,
                runStarted,
                charged);
    }

    Booking withConfirmBy(long newConfirmByMs) {
        return new Booking(
                request,
                number,
                rates,
                startMs,
                endMs,
                bookedToMs,
                uncutRates,
                uncutUntilMs,
                state,
                sinceMs,
                cause,
                newConfirmByMs,
                runStarted,
                charged);
    }

    Booking withRunStarted() {
        return new Booking(
                request,
                number,
                rates,
                startMs,
                endMs,
                bookedToMs,
                uncutRates,
                uncutUntilMs,
                state,
                sinceMs,
                cause,
                confirmByMs,
                true,
                charged);
    }

    Booking withCharged(SortedMap<Integer, Long> newCharged) {
        return new Booking(
                request,
                number,
                rates,
                startMs,
                endMs,
                bookedToMs,
                uncutRates,
                uncutUntilMs,
                state,
                sinceMs,
                cause,
                confirmByMs,
                runStarted,
                newCharged);
    }
}
