package firstair.simhost;

import firstair.settings.Fields;
import java.util.LinkedHashMap;
import java.util.Map;

/** One line of the simulator's protocol: a word that names the message, and its fields. */
final class Line extends Fields {
    private final long number;
    private final String word;
    private final Map<String, String> fields = new LinkedHashMap<>();

    /** Parses a line; {@code number} is its line number in the input, counted from 1. */
    Line(long number, String text) {
        this.number = number;
        int wordEnd = text.indexOf('\t');
        word = wordEnd < 0 ? text : text.substring(0, wordEnd);
        int fieldStart = wordEnd < 0 ? text.length() + 1 : wordEnd + 1;
        while (fieldStart <= text.length()) {
            int fieldEnd = text.indexOf('\t', fieldStart);
            if (fieldEnd < 0) {
                fieldEnd = text.length();
            }
            int equalsAt = text.indexOf('=', fieldStart);
            if (equalsAt <= fieldStart || equalsAt >= fieldEnd) {
                throw new WireException(
                        "line " + number + " (" + word + "): not name=value: " + text.substring(fieldStart, fieldEnd));
            }
            fields.put(text.substring(fieldStart, equalsAt), text.substring(equalsAt + 1, fieldEnd));
            fieldStart = fieldEnd + 1;
        }
    }

    String word() {
        return word;
    }

    @Override
    protected String value(String name) {
        return fields.get(name);
    }

    @Override
    public WireException invalid(String name, String problem) {
        return new WireException("line " + number + " (" + word + "): field " + name + ": " + problem);
    }

    WireException invalid(String problem) {
        return new WireException("line " + number + ": " + problem);
    }
}
