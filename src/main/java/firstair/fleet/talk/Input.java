package firstair.fleet.talk;

import firstair.fleet.fault.Fault;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Reads the untrusted bytes of an {@link Envelope}. Every declared length is checked against the remaining bytes before
 * memory is allocated for it.
 */
final class Input {
    /** Longest name, bytes. */
    static final int MAX_NAME_BYTES = 128;
    /** Longest list, items. */
    static final int MAX_LIST_ITEMS = 10_000;

    private final int size;
    private final MessageUnpacker from;

    Input(byte[] bytes) {
        size = bytes.length;
        from = MessagePack.newDefaultUnpacker(bytes);
    }

    /** The fault to throw where these bytes cannot be decoded. */
    Fault unreadable(String why) {
        return new Fault.Unreadable(why + " at byte " + from.getTotalReadBytes() + " of " + size);
    }

    /** Number of unread bytes. */
    long remaining() {
        return size - from.getTotalReadBytes();
    }

    long readLong() throws IOException {
        return from.unpackLong();
    }

    int readInt() throws IOException {
        return from.unpackInt();
    }

    boolean readBoolean() throws IOException {
        return from.unpackBoolean();
    }

    /** A number that may have been written without a fraction. */
    double readDouble() throws IOException {
        return switch (from.getNextFormat().getValueType()) {
            case INTEGER -> from.unpackLong();
            case FLOAT -> from.unpackDouble();
            default -> throw unreadable("no number");
        };
    }

    String readName() throws IOException {
        int length = from.unpackRawStringHeader();
        if (length < 1 || length > MAX_NAME_BYTES || length > remaining()) {
            throw unreadable("a name of " + length + " bytes");
        }
        try {
            return StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(from.readPayload(length)))
                    .toString();
        } catch (CharacterCodingException e) {
            throw unreadable("a name that is no text");
        }
    }

    byte[] readBytes() throws IOException {
        int length = from.unpackBinaryHeader();
        if (length > remaining()) {
            throw unreadable(length + " bytes told");
        }
        return from.readPayload(length);
    }

    /** Length of a list; each item takes a byte or more. */
    int readListSize() throws IOException {
        int count = from.unpackArrayHeader();
        if (count > MAX_LIST_ITEMS || count > remaining()) {
            throw unreadable("a list of " + count);
        }
        return count;
    }

    /** Number of fields; each takes two bytes or more. */
    int readMapSize() throws IOException {
        int count = from.unpackMapHeader();
        if (count > remaining() / 2) {
            throw unreadable(count + " fields");
        }
        return count;
    }

    /** Skips one value of any type and nesting depth, without recursion. */
    void skip() throws IOException {
        long open = 1;
        while (open > 0) {
            if (open > remaining()) {
                throw unreadable("something unknown that goes on");
            }
            open--;
            switch (from.getNextFormat().getValueType()) {
                case ARRAY -> open += from.unpackArrayHeader();
                case MAP -> open += 2L * from.unpackMapHeader();
                default -> from.skipValue();
            }
        }
    }
}
