package firstair.fleet;

import firstair.fleet.booking.Bookings;
import firstair.fleet.booking.Operation;
import firstair.fleet.booking.Operations;
import firstair.fleet.booking.Result;
import firstair.fleet.booking.Rules;
import firstair.fleet.fault.Fault;
import firstair.fleet.ledger.Agreement;
import firstair.fleet.ledger.Agreements;
import java.nio.ByteBuffer;
import java.util.Arrays;

/** The bookings as the voters agree on them: each operation with the moment at which it was proposed. */
public final class AgreedBookings implements Agreement {
    private static final byte[] NOTHING = new byte[0];

    private Bookings bookings = new Bookings(Rules.usual());

    /** An operation for the ledger. */
    static byte[] operation(long atMs, Operation operation) {
        byte[] text = Operations.write(operation);
        return Agreements.operation(
                Agreements.BOOKINGS,
                ByteBuffer.allocate(Long.BYTES + text.length)
                        .putLong(atMs)
                        .put(text)
                        .array());
    }

    /** @throws Fault as the rules of bookings have it; what time alone brings has happened all the same */
    @Override
    public byte[] apply(long index, byte[] operation) {
        if (operation.length < Long.BYTES) {
            throw new Fault.Unreadable("an operation on bookings without its time");
        }
        long atMs = ByteBuffer.wrap(operation).getLong();
        Operation asked = Operations.read(Arrays.copyOfRange(operation, Long.BYTES, operation.length));
        Result result = bookings.apply(atMs, asked).orThrow();
        return result.booking() == null ? NOTHING : Operations.show(result.booking());
    }

    /** The bookings as they are; not to be changed. */
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
