package firstair.fleet;

import firstair.fleet.booking.Bookings;
import firstair.fleet.booking.Operation;
import firstair.fleet.booking.Operations;
import firstair.fleet.booking.Result;
import firstair.fleet.booking.Rules;
import firstair.fleet.fault.Fault;
import firstair.fleet.ledger.LedgerStateMachines;
import firstair.fleet.ledger.ReplicatedStateMachine;
import java.nio.ByteBuffer;
import java.util.Arrays;

/** The ledger's state machine for bookings: each operation carries the time at which it was proposed. */
public final class AgreedBookings implements ReplicatedStateMachine {
    private static final byte[] EMPTY = new byte[0];

    private Bookings bookings = new Bookings(Rules.defaults());

    /** Encodes an operation for the ledger. */
    static byte[] operation(long atMs, Operation operation) {
        byte[] text = Operations.write(operation);
        return LedgerStateMachines.operation(
                LedgerStateMachines.BOOKINGS,
                ByteBuffer.allocate(Long.BYTES + text.length)
                        .putLong(atMs)
                        .put(text)
                        .array());
    }

    /** @throws Fault if a rule of bookings is broken; changes that are due by time alone are made even then */
    @Override
    public byte[] apply(long index, byte[] operation) {
        if (operation.length < Long.BYTES) {
            throw new Fault.Unreadable("an operation on bookings without its time");
        }
        long atMs = ByteBuffer.wrap(operation).getLong();
        Operation parsed = Operations.read(Arrays.copyOfRange(operation, Long.BYTES, operation.length));
        Result result = bookings.apply(atMs, parsed).orThrow();
        return result.booking() == null ? EMPTY : Operations.writeBooking(result.booking());
    }

    /** The current bookings; callers must not change them. */
    Bookings bookings() {
        return bookings;
    }

    @Override
    public byte[] snapshot() {
        return bookings.snapshot();
    }

    @Override
    public void restore(byte[] state) {
        bookings = Bookings.restore(state);
    }
}
