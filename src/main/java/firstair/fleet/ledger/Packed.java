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

/** Values one behind the other in MessagePack. Reading any bytes ends in values or in {@link Fault.Unreadable}. */
final class Packed {

    /** Writes values. */
    static final class Writer {
        private final MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();

        private interface Step {
            void run() throws IOException;
        }

        private Writer step(Step step) {
            try {
                step.run();
                return this;
            } catch (IOException e) {
                throw new UncheckedIOException(e); // a buffer in memory raises none
            }
        }

        Writer number(long value) {
            return step(() -> packer.packLong(value));
        }

        Writer flag(boolean value) {
            return step(() -> packer.packBoolean(value));
        }

        /** A text, or null. */
        Writer text(String value) {
            return step(() -> {
                if (value == null) {
                    packer.packNil();
                } else {
                    packer.packString(value);
                }
            });
        }

        Writer bytes(byte[] value) {
            return step(() -> packer.packBinaryHeader(value.length).writePayload(value));
        }

        Writer texts(Collection<String> values) {
            number(values.size());
            values.forEach(this::text);
            return this;
        }

        byte[] done() {
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

        private interface Step<T> {
            T run() throws IOException;
        }

        private <T> T step(Step<T> step) {
            try {
                return step.run();
            } catch (IOException | MessagePackException e) {
                throw new Fault.Unreadable("byte " + unpacker.getTotalReadBytes());
            }
        }

        long number() {
            return step(unpacker::unpackLong);
        }

        /** A number that is not negative. */
        long count() {
            long value = number();
            if (value < 0) {
                throw new Fault.Unreadable("a count below zero");
            }
            return value;
        }

        /** How many values follow; each takes a byte at least, so no more than there are bytes. */
        int size() {
            long value = count();
            if (value > length) {
                throw new Fault.Unreadable("more values than bytes");
            }
            return (int) value;
        }

        int whole() {
            long value = count();
            if (value > Integer.MAX_VALUE) {
                throw new Fault.Unreadable("a number too high");
            }
            return (int) value;
        }

        boolean flag() {
            return step(unpacker::unpackBoolean);
        }

        /** A text that is there. */
        String text() {
            String value = textOrNull();
            if (value == null) {
                throw new Fault.Unreadable("a text is missing");
            }
            return value;
        }

        String textOrNull() {
            return step(() -> unpacker.tryUnpackNil() ? null : unpacker.unpackString());
        }

        byte[] bytes() {
            return step(() -> {
                int size = unpacker.unpackBinaryHeader();
                if (size < 0 || size > length) { // told before any room is made for it
                    throw new Fault.Unreadable("more bytes told than there are");
                }
                return unpacker.readPayload(size);
            });
        }

        List<String> texts() {
            List<String> values = new ArrayList<>();
            for (int n = size(); n > 0; n--) {
                values.add(text());
            }
            return values;
        }

        /** Nothing may follow. */
        void end() {
            if (step(unpacker::hasNext)) {
                throw new Fault.Unreadable("bytes behind its end");
            }
        }
    }

    private Packed() {}
}
