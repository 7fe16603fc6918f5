package firstair.relay.net;

import java.util.Arrays;
import java.util.function.LongPredicate;

/** Makes frames of the bytes of one connection: four bytes of length, highest first, then as many bytes. */
final class Intake {
    private static final int HEAD = 4;
    private static final int FIRST = 4096; // a length alone costs no more memory than this

    private final int most;
    private final LongPredicate room;
    private final Inbox inbox;
    private int head;
    private int length;
    private int filled;
    private byte[] frame = new byte[0];

    /** @param room whether so many bytes more may be held, which it then counts; negative ones are given back */
    Intake(int most, LongPredicate room, Inbox inbox) {
        this.most = most;
        this.room = room;
        this.inbox = inbox;
    }

    /** Takes bytes as they come; false if they are no frames or too much is held, and the connection must end. */
    boolean feed(byte[] in) {
        int at = 0;
        while (at < in.length) {
            if (head < HEAD) {
                length = length << Byte.SIZE | in[at++] & 0xFF;
                if (++head == HEAD && (length <= 0 || length > most)) {
                    return false;
                }
                continue;
            }
            int take = Math.min(length - filled, in.length - at);
            if (!grown(filled + take)) {
                return false;
            }
            System.arraycopy(in, at, frame, filled, take);
            at += take;
            filled += take;
            if (filled == length) {
                byte[] whole = frame.length == length ? frame : Arrays.copyOf(frame, length);
                end();
                inbox.bytes(whole);
            }
        }
        return true;
    }

    private boolean grown(int to) {
        if (to <= frame.length) {
            return true;
        }
        int size = Math.min(length, Math.max(to, Math.max(FIRST, 2 * frame.length)));
        if (!room.test(size - frame.length)) {
            return false;
        }
        frame = Arrays.copyOf(frame, size);
        return true;
    }

    /** Gives back what is held. */
    void end() {
        boolean given = room.test(-frame.length);
        assert given : "what is given back is always taken";
        frame = new byte[0];
        head = 0;
        length = 0;
        filled = 0;
    }
}
