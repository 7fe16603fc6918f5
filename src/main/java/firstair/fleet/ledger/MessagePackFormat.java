package firstair.fleet.ledger;

import firstair.fleet.fault.Fault;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** A sequence of values in MessagePack. Reading arbitrary bytes yields values or throws {@link Fault.Unreadable}. */
final class MessagePackFormat {

    /** Writes values. */
    static final class Writer {
        private final MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();

        private interface Write {
            void run() throws IOException;
        }

        private Writer unchecked(Write write) {
            try {
                write.run();
                return this;
            } catch (IOException e) {
                throw new UncheckedIOException(e); // a buffer in memory throws none
            }
        }

        Writer number(long value) {
            return unchecked(() -> packer.packLong(value));
        }

        Writer flag(boolean value) {
            return unchecked(() -> packer.packBoolean(value));
        }

        /** Writes a text, or null. */
        Writer text(String value) {
            return unchecked(() -> {
                if (value == null) {
                    packer.packNil();
                } else {
                    packer.packString(value);
                }
            });
        }

        Writer bytes(byte[] value) {
            return unchecked(() -> packer.packBinaryHeader(value.length).writePayload(value));
        }

        Writer texts(Collection<String> values) {
            number(values.size());
            values.forEach(this::text);
            return this;
        }

        byte[] toBytes() {
            return packer.toByteArray();
        }
    }

    /** Reads values. */
    static final class Reader {
        private final MessageUnpacker unpacker;
        private final int length;

        Reader(byte[] bytes) {
            unpacker = MessagePack.newDefaultUnpacker(bytes);
            length = bytes.length;
        }

        private interface Read<T> {
            T run() throws IOException;
        }

        private <T> T checked(Read<T> read) {
            try {
                return read.run();
            } catch (IOException | MessagePackException e) {
                throw new Fault.Unreadable("byte " + unpacker.getTotalReadBytes());
            }
        }

        long number() {
            return checked(unpacker::unpackLong);
        }

        long nonNegativeLong() {
            long value = number();
            if (value < 0) {
                throw new Fault.Unreadable("a count below zero");
            }
            return value;
        }

        /** Reads how many values follow; each takes at least a byte, so it cannot exceed the length of the input. */
        int listSize() {
            long value = nonNegativeLong();
            if (value > length) {
                throw new Fault.Unreadable("more values than bytes");
            }
            return (int) value;
        }

        int nonNegativeInt() {
            long value = nonNegativeLong();
            if (value > Integer.MAX_VALUE) {
                throw new Fault.Unreadable("a number too high");
            }
            return (int) value;
        }

        boolean flag() {
            return checked(unpacker::unpackBoolean);
        }

        /** Reads a text; null is an error. */
        String text() {
            String value = textOrNull();
            if (value == null) {
                throw new Fault.Unreadable("a text is missing");
            }
            return value;
        }

        String textOrNull() {
            return checked(() -> unpacker.tryUnpackNil() ? null : unpacker.unpackString());
        }

        byte[] bytes() {
            return checked(() -> {
                int size = unpacker.unpackBinaryHeader();
                if (size < 0 || size > length) { // checked before memory is allocated for it
                    throw new Fault.Unreadable("more bytes told than there are");
                }
                return unpacker.readPayload(size);
            });
        }

        List<String> texts() {
            List<String> values = new ArrayList<>();
            for (int n = listSize(); n > 0; n--) {
                values.add(text());
            }
            return values;
        }

        /** Checks that the input has been read to its end. */
        void expectEnd() {
            if (checked(unpacker::hasNext)) {
                throw new Fault.Unreadable("bytes behind its end");
            }
        }
    }

    private MessagePackFormat() {}
}
