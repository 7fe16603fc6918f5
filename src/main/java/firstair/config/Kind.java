package firstair.config;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What a value is, how it is written, and the unit that the program counts it in. */
public enum Kind {
    /** Milliseconds; written with a unit. */
    DURATION(
            "a duration such as \"250ms\", \"1.5s\", \"2m\" or \"1h\"",
            "(\\d{1,9}(?:\\.\\d{1,6})?)\\s?(ms|s|m|h)",
            new String[] {"ms", "s", "m", "h"},
            new double[] {1, 1000, 60_000, 3_600_000}),
    /** Bytes; written with a unit. */
    SIZE(
            "a size such as \"64KiB\", \"4MiB\" or \"3MB\"",
            "(\\d{1,12})\\s?(B|KiB|MiB|GiB|KB|MB|GB)",
            new String[] {"B", "KiB", "MiB", "GiB", "KB", "MB", "GB"},
            new double[] {1, 1024, 1 << 20, 1 << 30, 1e3, 1e6, 1e9}),
    /** A whole number. */
    COUNT("a whole number", "(\\d{1,12})()", new String[] {""}, new double[] {1}),
    /** A part of a whole, from 0 to 1; written in per cent. */
    SHARE("a share such as \"25%\"", "(\\d{1,3}(?:\\.\\d{1,6})?)\\s?(%)", new String[] {"%"}, new double[] {0.01}),
    /** 0 or 1; written true or false. */
    FLAG("true or false", "(true|false)()", new String[] {""}, new double[] {1}),
    /** A text of one line, kept as it is; what is counted are its letters. */
    TEXT("a text", "([^\\p{Cc}\\u2028\\u2029]*)()", new String[] {""}, new double[] {1}),
    /** Texts in a list or with commas between them, kept with commas; what is counted is how many they are. */
    NAMES("a list of texts", "([^\\p{Cc}\\u2028\\u2029]*)()", new String[] {""}, new double[] {1});

    private final String form;
    private final Pattern pattern;
    private final String[] units;
    private final double[] factors;

    Kind(String form, String pattern, String[] units, double[] factors) {
        this.form = form;
        this.pattern = Pattern.compile(pattern);
        this.units = units;
        this.factors = factors;
    }

    /** How it is written, for people. */
    public String form() {
        return form;
    }

    /** Whether values are texts and no numbers. */
    public boolean isText() {
        return this == TEXT || this == NAMES;
    }

    /** The texts of a {@link #NAMES} value; one of them is empty if nothing stands beside a comma. */
    public static List<String> names(String text) {
        return text.isBlank()
                ? List.of()
                : Arrays.stream(text.split(",", -1)).map(String::strip).toList();
    }

    /**
     * The value that a text stands for, in the unit that the program counts in; NaN if the text is none. Of a kind
     * whose values are texts it is the count that is limited.
     */
    public double read(String text) {
        Matcher m = pattern.matcher(text.strip());
        if (!m.matches()) {
            return Double.NaN;
        }
        if (this == FLAG) {
            return m.group(1).equals("true") ? 1 : 0;
        }
        if (this == TEXT) {
            return m.group(1).length();
        }
        if (this == NAMES) {
            List<String> names = names(m.group(1));
            return names.contains("") ? Double.NaN : names.size();
        }
        for (int i = 0; i < units.length; i++) {
            if (units[i].equals(m.group(2))) {
                return Double.parseDouble(m.group(1)) * factors[i];
            }
        }
        return Double.NaN;
    }

    /** A number as people write it, in the largest unit that leaves it whole, or else in the smallest. */
    public String write(double value) {
        if (this == FLAG) {
            return value == 0 ? "false" : "true";
        }
        int best = 0;
        for (int i = 0; i < units.length; i++) {
            boolean decimal = this == SIZE && i > 3; // binary units go before decimal ones of the same size
            if (value != 0 && value % factors[i] == 0 && factors[i] > factors[best] && !(decimal && best > 0)) {
                best = i;
            }
        }
        double n = value / factors[best];
        String number = n == Math.rint(n)
                ? String.valueOf((long) n)
                : String.format(Locale.ROOT, "%.6f", n).replaceAll("\\.?0+$", "");
        return number + units[best];
    }
}
