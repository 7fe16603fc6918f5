package firstair.fleet.booking;

/**
 * Something that happened to a booking.
 *
 * @param from  its state before, null if it is new
 * @param to    its state now; the same as {@code from} if it was moved, extended, cut or begun
 * @param atMs  the ledger's time, epoch ms
 * @param cause for people
 */
public record Change(String id, State from, State to, long atMs, String cause) {}
