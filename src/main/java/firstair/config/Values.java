package firstair.config;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Values that were set, by path; items that keep their default are absent. */
public final class Values {
    /** No value is set. */
    public static final Values NONE = new Values(Map.of());

    /**
     * A value of one item.
     *
     * @param value            the number, in the unit of its kind; for a text its length, for a list its size
     * @param text             the text, or the elements of a list separated by commas; empty for a number
     * @param origin           where it was set
     * @param overriddenOrigin where a value that this one overrides was set, or empty
     */
    public record Value(double value, String text, String origin, String overriddenOrigin) {}

    private final Map<String, Value> set;

    private Values(Map<String, Value> set) {
        this.set = set;
    }

    /** The values of a map. */
    public static Values of(Map<String, Value> set) {
        return set.isEmpty() ? NONE : new Values(new LinkedHashMap<>(set));
    }

    /** Merges two sets of values; where both set a path, the value of {@code overriding} applies. */
    public Values overriddenBy(Values overriding) {
        Map<String, Value> merged = new LinkedHashMap<>(set);
        overriding.set.forEach((path, value) -> {
            Value overridden = set.get(path);
            merged.put(
                    path,
                    overridden == null
                            ? value
                            : new Value(value.value(), value.text(), value.origin(), overridden.origin()));
        });
        return of(merged);
    }

    /** Whether no value is set. */
    public boolean isEmpty() {
        return set.isEmpty();
    }

    /** Returns the value of a path, or null if it was not set. */
    public Value value(String path) {
        return set.get(path);
    }

    /** Returns the number of a path in the unit of its kind, or the default if it was not set. */
    public double number(String path, double defaultValue) {
        Value value = set.get(path);
        return value == null ? defaultValue : value.value();
    }

    /** Returns the switch of a path, or the default if it was not set. */
    public boolean flag(String path, boolean defaultValue) {
        Value value = set.get(path);
        return value == null ? defaultValue : value.value() != 0;
    }

    /** Returns the text of a path, or the default if it was not set. */
    public String text(String path, String defaultValue) {
        Value value = set.get(path);
        return value == null ? defaultValue : value.text();
    }

    /** Returns the elements of a list; an empty list if it was not set. */
    public List<String> names(String path) {
        return Kind.names(text(path, ""));
    }

    /** Returns the number of a path without its fraction, or the default if it was not set. */
    public int integer(String path, int defaultValue) {
        Value value = set.get(path);
        return value == null ? defaultValue : (int) value.value();
    }
}
