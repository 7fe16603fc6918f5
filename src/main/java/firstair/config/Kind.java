package firstair.config;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Type of a setting's values: its syntax, and the unit of the parsed number. */
public enum Kind {
    /** A duration, in milliseconds; written with a unit. */
    DURATION(
            "a duration such as \"250ms\", \"1.5s\", \"2m\" or \"1h\"",
            "(\\d{1,9}(?:\\.\\d{1,6})?)\\s?(ms|s|m|h)",
            new String[] {"ms", "s", "m", "h"},
            new double[] {1, 1000, 60_000, 3_600_000}),
    /** A size, in bytes; written with a unit. */
    SIZE(
            "a size such as \"64KiB\", \"4MiB\" or \"3MB\"",
            "(\\d{1,12})\\s?(B|KiB|MiB|GiB|KB|MB|GB)",
            new String[] {"B", "KiB", "MiB", "GiB", "KB", "MB", "GB"},
            new double[] {1, 1024, 1 << 20, 1 << 30, 1e3, 1e6, 1e9}),
    /** A whole number. */
    COUNT("a whole number", "(\\d{1,12})()", new String[] {""}, new double[] {1}),
    /** A fraction; written as a percentage. */
    SHARE("a share such as \"25%\"", "(\\d{1,3}(?:\\.\\d{1,6})?)\\s?(%)", new String[] {"%"}, new double[] {0.01}),
    /** A switch, 0 or 1; written true or false. */
    FLAG("true or false", "(true|false)()", new String[] {""}, new double[] {1}),
    /** A text of one line; its number is the length in characters. */
    TEXT("a text", "([^\\p{Cc}\\u2028\\u2029]*)()", new String[] {""}, new double[] {1}),
    /** A list of texts, or texts separated by commas, stored with commas; its number is how many there are. */
    NAMES("a list of texts", "([^\\p{Cc}\\u2028\\u2029]*)()", new String[] {""}, new double[] {1});

    private final String description;
    private final Pattern pattern;
    private final String[] units;
    private final double[] factors;

    Kind(String description, String pattern, String[] units, double[] factors) {
        this.description = description;
        this.pattern = Pattern.compile(pattern);
        this.units = units;
        this.factors = factors;
    }

    /** Describes the syntax, for error messages and the reference page. */
    public String description() {
        return description;
    }

    /** Whether values are texts rather than numbers. */
    public boolean isText() {
        return this == TEXT || this == NAMES;
    }

    /** Splits a {@link #NAMES} value; an element is empty if there is nothing before or after a comma. */
    public static List<String> names(String text) {
        return text.isBlank()
                ? List.of()
                : Arrays.stream(text.split(",", -1)).map(String::strip).toList();
    }

    /**
     * Parses a value into its unit; NaN if the text does not match the syntax. For a kind whose values are texts, the
     * result is the length or count that the limits apply to.
     */
    public double parse(String text) {
        Matcher matcher = pattern.matcher(text.strip());
        if (!matcher.matches()) {
            return Double.NaN;
        }
        if (this == FLAG) {
            return matcher.group(1).equals("true") ? 1 : 0;
        }
        if (this == TEXT) {
            return matcher.group(1).length();
        }
        if (this == NAMES) {
            List<String> names = names(matcher.group(1));
            return names.contains("") ? Double.NaN : names.size();
        }
        for (int i = 0; i < units.length; i++) {
            if (units[i].equals(matcher.group(2))) {
                return Double.parseDouble(matcher.group(1)) * factors[i];
            }
        }
        return Double.NaN;
    }

    /** Formats a number in the largest unit in which it is whole, or else in the smallest. */
    public String format(double value) {
        if (this == FLAG) {
            return value == 0 ? "false" : "true";
        }
        int unit = 0;
        for (int i = 0; i < units.length; i++) {
            boolean decimal = this == SIZE && i > 3; // a binary unit takes precedence over a decimal one
            if (value != 0 && value % factors[i] == 0 && factors[i] > factors[unit] && !(decimal && unit > 0)) {
                unit = i;
            }
        }
        double amount = value / factors[unit];
        String number = amount == Math.rint(amount)
                ? String.valueOf((long) amount)
                : String.format(Locale.ROOT, "%.6f", amount).replaceAll("\\.?0+$", "");
        return number + units[unit];
    }
}
