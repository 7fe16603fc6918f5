package firstair.fleet.talk;

import firstair.fleet.fault.Fault;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessagePacker;

/**
 * Encodes and decodes one type of value. Both directions check the same bounds, so whatever is written can be read.
 *
 * @param <T> the type of value
 */
interface FieldCodec<T> {
    /** Longest time span, ms: a day. */
    double MAX_SPAN_MS = 24 * 3600 * 1000.0;

    void write(T value, MessagePacker to) throws IOException;

    /** The value, or null for one that only later versions define. */
    T read(Input from) throws IOException;

    /** Any integer. */
    FieldCodec<Long> SIGNED = integer(Long.MIN_VALUE);

    /** An integer that is not negative. */
    FieldCodec<Long> NON_NEGATIVE = integer(0);

    /** An integer that is not negative and fits into an int. */
    FieldCodec<Integer> COUNT = new FieldCodec<>() {
        @Override
        public void write(Integer value, MessagePacker to) throws IOException {
            to.packInt(within(value));
        }

        @Override
        public Integer read(Input from) throws IOException {
            return within(from.readInt());
        }

        private int within(int value) {
            if (value < 0) {
                throw new Fault.Unreadable("count " + value);
            }
            return value;
        }
    };

    /** A time span in ms, a day at most. */
    FieldCodec<Double> SPAN = number(MAX_SPAN_MS);

    /** A fraction from 0 to 1. */
    FieldCodec<Double> SHARE = number(1);

    /** A boolean. */
    FieldCodec<Boolean> FLAG = new FieldCodec<>() {
        @Override
        public void write(Boolean value, MessagePacker to) throws IOException {
            to.packBoolean(value);
        }

        @Override
        public Boolean read(Input from) throws IOException {
            return from.readBoolean();
        }
    };

    /** A non-empty name in UTF-8. */
    FieldCodec<String> NAME = new FieldCodec<>() {
        @Override
        public void write(String value, MessagePacker to) throws IOException {
            byte[] text = value.getBytes(StandardCharsets.UTF_8);
            if (text.length < 1 || text.length > Input.MAX_NAME_BYTES) {
                throw new Fault.Unreadable("a name of " + text.length + " bytes");
            }
            to.packRawStringHeader(text.length).writePayload(text);
        }

        @Override
        public String read(Input from) throws IOException {
            return from.readName();
        }
    };

    /** Opaque bytes, interpreted by other components. */
    FieldCodec<byte[]> BYTES = new FieldCodec<>() {
        @Override
        public void write(byte[] value, MessagePacker to) throws IOException {
            to.packBinaryHeader(value.length).writePayload(value);
        }

        @Override
        public byte[] read(Input from) throws IOException {
            return from.readBytes();
        }
    };

    private static FieldCodec<Long> integer(long least) {
        return new FieldCodec<>() {
            @Override
            public void write(Long value, MessagePacker to) throws IOException {
                to.packLong(within(value));
            }

            @Override
            public Long read(Input from) throws IOException {
                return within(from.readLong());
            }

            private long within(long value) {
                if (value < least) {
                    throw new Fault.Unreadable("number " + value);
                }
                return value;
            }
        };
    }

    private static FieldCodec<Double> number(double most) {
        return new FieldCodec<>() {
            @Override
            public void write(Double value, MessagePacker to) throws IOException {
                double v = within(value);
                if (v == (long) v) {
                    to.packLong((long) v); // most spans have no fraction and take a third of the bytes this way
                } else {
                    to.packDouble(v);
                }
            }

            @Override
            public Double read(Input from) throws IOException {
                return within(from.readDouble());
            }

            private double within(double value) {
                if (!(value >= 0 && value <= most)) { // rejects NaN too
                    throw new Fault.Unreadable("number " + value + " where 0 to " + most + " may stand");
                }
                return value;
            }
        };
    }

    /** An enum constant, written as its ordinal: new constants are added after the others. */
    static <E extends Enum<E>> FieldCodec<E> enumeration(Class<E> of) {
        E[] words = of.getEnumConstants();
        return new FieldCodec<>() {
            @Override
            public void write(E value, MessagePacker to) throws IOException {
                to.packInt(value.ordinal());
            }

            @Override
            public E read(Input from) throws IOException {
                int place = COUNT.read(from);
                return place < words.length ? words[place] : null;
            }
        };
    }

    /** A list of records; those with an enum value that only later versions define are left out. */
    static <T> FieldCodec<List<T>> list(RecordCodec<T> form) {
        return new FieldCodec<>() {
            @Override
            public void write(List<T> value, MessagePacker to) throws IOException {
                if (value.size() > Input.MAX_LIST_ITEMS) {
                    throw new Fault.Unreadable("a list of " + value.size());
                }
                to.packArrayHeader(value.size());
                for (T item : value) {
                    form.write(item, to);
                }
            }

            @Override
            public List<T> read(Input from) throws IOException {
                int count = from.readListSize();
                List<T> all = new ArrayList<>();
                for (int i = 0; i < count; i++) {
                    T item = form.read(from);
                    if (item != null) {
                        all.add(item);
                    }
                }
                return List.copyOf(all);
            }
        };
    }
}
