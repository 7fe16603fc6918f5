package firstair.config;

/**
 * Definition of one setting.
 *
 * @param path            its table and name, separated by a dot
 * @param kind            type of its values
 * @param defaultText     default value, written as in a file
 * @param min             minimum, in the unit of the kind; for a text its length, for a list the number of its elements
 * @param max             maximum, counted likewise
 * @param appliedAtReload whether a reload applies a new value; otherwise it applies at the next start
 * @param description     what it controls, a sentence without the full stop
 */
public record Setting(
        String path,
        Kind kind,
        String defaultText,
        double min,
        double max,
        boolean appliedAtReload,
        String description) {
    /**
     * Checks the default value.
     *
     * @throws IllegalArgumentException if it is not within the limits
     */
    public Setting {
        double value = kind.parse(defaultText);
        if (!(value >= min && value <= max)) {
            throw new IllegalArgumentException(path + ": default value " + defaultText + " is not allowed");
        }
    }

    /** Describes the allowed values, for error messages and the reference page. */
    public String allowed() {
        return switch (kind) {
            case FLAG -> kind.description();
            case TEXT, NAMES ->
                kind.description() + ", " + (long) max + (kind == Kind.TEXT ? " letters" : "") + " at most";
            default -> kind.description() + " from " + kind.format(min) + " to " + kind.format(max);
        };
    }

    /** The default value. */
    public Values.Value defaultValue() {
        return value(defaultText, "", "");
    }

    /** Parses a text; the value's number is NaN if the text does not denote a value of this kind. */
    Values.Value value(String text, String origin, String overriddenOrigin) {
        String normalized =
                kind == Kind.TEXT ? text.strip() : kind == Kind.NAMES ? String.join(",", Kind.names(text)) : "";
        return new Values.Value(kind.parse(text), normalized, origin, overriddenOrigin);
    }

    /** Formats a value as in a file: a number with its unit, a text in quotes. */
    public String format(Values.Value value) {
        return kind.isText()
                ? '"' + value.text().replace("\\", "\\\\").replace("\"", "\\\"") + '"'
                : kind.format(value.value());
    }
}
