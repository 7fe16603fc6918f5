package firstair.relay.net;

import java.util.Arrays;
import java.util.function.LongPredicate;

/** Decodes the frames of one connection: a length of four bytes, big-endian, and then as many bytes. */
final class FrameDecoder {
    private static final int LENGTH_BYTES = 4;
    private static final int INITIAL_BUFFER_BYTES = 4096; // announcing a long frame reserves no more than this

    private final int maxFrameBytes;
    private final LongPredicate reserve;
    private final PeerDataListener inbox;
    private int lengthBytesRead;
    private int length;
    private int filled;
    private byte[] frame = new byte[0];

    /**
     * @param reserve reserves memory of that many bytes and returns whether the limit allows it; a negative number
     *     releases memory
     */
    FrameDecoder(int maxFrameBytes, LongPredicate reserve, PeerDataListener inbox) {
        this.maxFrameBytes = maxFrameBytes;
        this.reserve = reserve;
        this.inbox = inbox;
    }

    /** Decodes the next bytes; false if the length is invalid or no memory may be reserved: the connection must end. */
    boolean feed(byte[] input) {
        int position = 0;
        while (position < input.length) {
            if (lengthBytesRead < LENGTH_BYTES) {
                length = length << Byte.SIZE | input[position++] & 0xFF;
                if (++lengthBytesRead == LENGTH_BYTES && (length <= 0 || length > maxFrameBytes)) {
                    return false;
                }
                continue;
            }
            int count = Math.min(length - filled, input.length - position);
            if (!ensureCapacity(filled + count)) {
                return false;
            }
            System.arraycopy(input, position, frame, filled, count);
            position += count;
            filled += count;
            if (filled == length) {
                byte[] complete = frame.length == length ? frame : Arrays.copyOf(frame, length);
                reset();
                inbox.received(complete);
            }
        }
        return true;
    }

    private boolean ensureCapacity(int capacity) {
        if (capacity <= frame.length) {
            return true;
        }
        int size = Math.min(length, Math.max(capacity, Math.max(INITIAL_BUFFER_BYTES, 2 * frame.length)));
        if (!reserve.test(size - frame.length)) {
            return false;
        }
        frame = Arrays.copyOf(frame, size);
        return true;
    }

    /** Releases the reserved memory and drops a partly received frame. */
    void reset() {
        boolean released = reserve.test(-frame.length);
        assert released : "a release is never refused";
        frame = new byte[0];
        lengthBytesRead = 0;
        length = 0;
        filled = 0;
    }
}
