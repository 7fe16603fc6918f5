package firstair.simhost;

import firstair.settings.Fields;
import java.util.LinkedHashMap;
import java.util.Map;

/** One line of the wire: its word and its fields. */
final class Line extends Fields {
    private final long number;
    private final String word;
    private final Map<String, String> fields = new LinkedHashMap<>();

    /** Splits a line; {@code number} is its place in the input, counted from 1. */
    Line(long number, String text) {
        this.number = number;
        int end = text.indexOf('\t');
        word = end < 0 ? text : text.substring(0, end);
        int at = end < 0 ? text.length() + 1 : end + 1;
        while (at <= text.length()) {
            int stop = text.indexOf('\t', at);
            if (stop < 0) {
                stop = text.length();
            }
            int eq = text.indexOf('=', at);
            if (eq <= at || eq >= stop) {
                throw new WireException(
                        "line " + number + " (" + word + "): not name=value: " + text.substring(at, stop));
            }
            fields.put(text.substring(at, eq), text.substring(eq + 1, stop));
            at = stop + 1;
        }
    }

    String word() {
        return word;
    }

    @Override
    protected String value(String name) {
        return fields.get(name);
    }

    /** What is wrong with this line, in one sentence. */
    @Override
    public WireException bad(String name, String what) {
        return new WireException("line " + number + " (" + word + "): field " + name + ": " + what);
    }

    WireException bad(String what) {
        return new WireException("line " + number + ": " + what);
    }
}
