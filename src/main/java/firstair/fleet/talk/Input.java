package firstair.fleet.talk;

import firstair.fleet.fault.Fault;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Bytes from somebody else on their way to an {@link Envelope}. Every length that they tell is checked against what is
 * left of them before anything is set aside for it.
 */
final class Input {
    /** Longest name, bytes. */
    static final int MOST_NAME = 128;
    /** Longest list. */
    static final int MOST_ITEMS = 10_000;

    private final int size;
    private final MessageUnpacker from;

    Input(byte[] bytes) {
        size = bytes.length;
        from = MessagePack.newDefaultUnpacker(bytes);
    }

    /** What is thrown where these bytes cannot be read on. */
    Fault bad(String why) {
        return new Fault.Unreadable(why + " at byte " + from.getTotalReadBytes() + " of " + size);
    }

    /** How many bytes have not been read. */
    long left() {
        return size - from.getTotalReadBytes();
    }

    long whole() throws IOException {
        return from.unpackLong();
    }

    int small() throws IOException {
        return from.unpackInt();
    }

    boolean flag() throws IOException {
        return from.unpackBoolean();
    }

    /** A number that may have been written without a fraction. */
    double number() throws IOException {
        return switch (from.getNextFormat().getValueType()) {
            case INTEGER -> from.unpackLong();
            case FLOAT -> from.unpackDouble();
            default -> throw bad("no number");
        };
    }

    String name() throws IOException {
        int length = from.unpackRawStringHeader();
        if (length < 1 || length > MOST_NAME || length > left()) {
            throw bad("a name of " + length + " bytes");
        }
        try {
            return StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(from.readPayload(length)))
                    .toString();
        } catch (CharacterCodingException e) {
            throw bad("a name that is no text");
        }
    }

    byte[] bytes() throws IOException {
        int length = from.unpackBinaryHeader();
        if (length > left()) {
            throw bad(length + " bytes told");
        }
        return from.readPayload(length);
    }

    /** Length of a list; each item takes a byte or more. */
    int items() throws IOException {
        int count = from.unpackArrayHeader();
        if (count > MOST_ITEMS || count > left()) {
            throw bad("a list of " + count);
        }
        return count;
    }

    /** Number of fields; each takes two bytes or more. */
    int fields() throws IOException {
        int count = from.unpackMapHeader();
        if (count > left() / 2) {
            throw bad(count + " fields");
        }
        return count;
    }

    /** Passes over one value of any kind, however deep it goes. */
    void skip() throws IOException {
        long open = 1;
        while (open > 0) {
            if (open > left()) {
                throw bad("something unknown that goes on");
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
