package firstair.config;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Values that were set, by their paths; what nobody set is not here. */
public final class Values {
    /** No value is set. */
    public static final Values NONE = new Values(Map.of());

    /**
     * A value, in its kind's unit.
     *
     * @param value    the number; of a text its letters, of a list of texts how many they are
     * @param text     the text, or the texts with commas between them; empty for what is a number
     * @param origin   where it was set
     * @param overrode where it was set as well and did not count, empty if nowhere
     */
    public record Value(double value, String text, String origin, String overrode) {}

    private final Map<String, Value> set;

    private Values(Map<String, Value> set) {
        this.set = set;
    }

    /** The values of a map. */
    public static Values of(Map<String, Value> set) {
        return set.isEmpty() ? NONE : new Values(new LinkedHashMap<>(set));
    }

    /** These values, and where both set one, those of {@code first}. */
    public Values under(Values first) {
        Map<String, Value> all = new LinkedHashMap<>(set);
        first.set.forEach((path, v) -> {
            Value lost = set.get(path);
            all.put(path, lost == null ? v : new Value(v.value(), v.text(), v.origin(), lost.origin()));
        });
        return of(all);
    }

    /** Whether nothing is set. */
    public boolean isEmpty() {
        return set.isEmpty();
    }

    /** A value, or null where nobody set it. */
    public Value value(String path) {
        return set.get(path);
    }

    /** A number: what was set, or else {@code otherwise}. */
    public double number(String path, double otherwise) {
        Value v = set.get(path);
        return v == null ? otherwise : v.value();
    }

    /** Whether something is on: what was set, or else {@code otherwise}. */
    public boolean flag(String path, boolean otherwise) {
        Value v = set.get(path);
        return v == null ? otherwise : v.value() != 0;
    }

    /** A text: what was set, or else {@code otherwise}. */
    public String text(String path, String otherwise) {
        Value v = set.get(path);
        return v == null ? otherwise : v.text();
    }

    /** Texts of a list: what was set, or else none. */
    public List<String> names(String path) {
        return Kind.names(text(path, ""));
    }

    /** A whole number: what was set, or else {@code otherwise}. */
    public int whole(String path, int otherwise) {
        Value v = set.get(path);
        return v == null ? otherwise : (int) v.value();
    }
}
