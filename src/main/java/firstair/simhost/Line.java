package firstair.simhost;

import java.util.LinkedHashMap;
import java.util.Map;

/** One line of the wire: its word and its fields. */
final class Line {
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
                throw new WireException("line " + number + " (" + word + "): not name=value: "
                        + text.substring(at, stop));
            }
            fields.put(text.substring(at, eq), text.substring(eq + 1, stop));
            at = stop + 1;
        }
    }

    String word() {
        return word;
    }

    Map<String, String> fields() {
        return fields;
    }

    /** What is wrong with this line, in one sentence. */
    WireException bad(String name, String what) {
        return new WireException("line " + number + " (" + word + "): field " + name + ": " + what);
    }

    WireException bad(String what) {
        return new WireException("line " + number + ": " + what);
    }

    boolean has(String name) {
        return fields.containsKey(name);
    }

    String text(String name) {
        String v = fields.get(name);
        if (v == null) {
            throw bad(name, "missing");
        }
        return v;
    }

    String text(String name, String absent) {
        return fields.getOrDefault(name, absent);
    }

    double number(String name) {
        String v = text(name);
        double d;
        try {
            d = Double.parseDouble(v);
        } catch (NumberFormatException e) {
            throw bad(name, "not a number: " + v);
        }
        if (!Double.isFinite(d)) {
            throw bad(name, "not a finite number: " + v);
        }
        return d;
    }

    double number(String name, double absent) {
        return has(name) ? number(name) : absent;
    }

    long whole(String name) {
        String v = text(name);
        try {
            return Long.parseLong(v);
        } catch (NumberFormatException e) {
            throw bad(name, "not a whole number: " + v);
        }
    }

    long whole(String name, long absent) {
        return has(name) ? whole(name) : absent;
    }

    int index(String name) {
        long v = whole(name);
        if (v < 0 || v > Integer.MAX_VALUE) {
            throw bad(name, "out of range: " + v);
        }
        return (int) v;
    }

    boolean flag(String name, boolean absent) {
        String v = fields.get(name);
        if (v == null) {
            return absent;
        }
        return switch (v) {
            case "1", "true" -> true;
            case "0", "false" -> false;
            default -> throw bad(name, "not a bool: " + v);
        };
    }
}
