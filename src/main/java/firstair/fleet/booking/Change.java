package firstair.fleet.booking;

/**
 * An event of a booking.
 *
 * @param from  previous state, null for a new booking
 * @param to    new state; equal to {@code from} if the booking was moved, extended or cut, or its run began
 * @param atMs  ledger time, epoch ms
 * @param cause human-readable reason
 */
public record Change(String id, State from, State to, long atMs, String cause) {}
