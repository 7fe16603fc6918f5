package firstair.fleet.talk;

import java.io.IOException;
import java.util.List;
import java.util.function.Function;
import org.msgpack.core.MessagePacker;

/**
 * Encodes a record as a map from the index of each field to its value. Unknown fields are skipped; within a version new
 * fields are added after the others and none is removed.
 *
 * @param <T> the record
 */
final class RecordCodec<T> {
    private final Function<T, List<Object>> toValues;
    private final Function<Object[], T> fromValues;
    private final FieldCodec<?>[] fields;

    /**
     * Creates a codec from the record's accessors and field codecs.
     *
     * @param take returns the values of a record in the order of {@code fields}
     * @param make creates a record from them
     */
    RecordCodec(Function<T, List<Object>> take, Function<Object[], T> make, FieldCodec<?>... fields) {
        this.toValues = take;
        this.fromValues = make;
        this.fields = fields;
    }

    void write(T record, MessagePacker to) throws IOException {
        List<Object> values = toValues.apply(record);
        to.packMapHeader(fields.length);
        for (int i = 0; i < fields.length; i++) {
            to.packInt(i);
            write(fields[i], values.get(i), to);
        }
    }

    @SuppressWarnings("unchecked") // NoteCodecs gives values and fields in the same order
    private static <V> void write(FieldCodec<V> field, Object value, MessagePacker to) throws IOException {
        field.write((V) value, to);
    }

    /** The record, or null if it has an enum value that only later versions define. */
    T read(Input from) throws IOException {
        int count = from.readMapSize();
        Object[] values = new Object[fields.length];
        boolean[] seen = new boolean[fields.length];
        boolean known = true;
        for (int i = 0; i < count; i++) {
            long place = from.readLong();
            if (place < 0 || place >= fields.length) {
                from.skip();
                continue;
            }
            int at = (int) place;
            if (seen[at]) {
                throw from.unreadable("field " + at + " twice");
            }
            seen[at] = true;
            values[at] = fields[at].read(from);
            known &= values[at] != null;
        }
        for (int i = 0; i < fields.length; i++) {
            if (!seen[i]) {
                throw from.unreadable("no field " + i);
            }
        }
        return known ? fromValues.apply(values) : null;
    }
}
