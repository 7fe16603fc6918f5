package firstair.fleet.booking;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.Strictness;
import firstair.fleet.fault.Fault;
import java.math.BigDecimal;
import java.time.DateTimeException;
import java.time.OffsetDateTime;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Function;

/** Reads the fields of a JSON object strictly; raises {@link Fault.BadRequest} that names the field by its path. */
final class Fields {
    private static final Gson STRICT =
            new GsonBuilder().setStrictness(Strictness.STRICT).create();
    private static final int MOST_LIST = 200_000;
    private static final int MOST_DIGITS = 30;
    private static final int SHARE_DIGITS = 6;

    private final String path;
    private final JsonObject object;
    private final Set<String> known = new HashSet<>();

    private Fields(String path, JsonObject object) {
        this.path = path;
        this.object = object;
    }

    /** The fields of a text that is one object. */
    static Fields of(String text) {
        JsonElement all;
        try {
            all = STRICT.fromJson(text, JsonElement.class);
        } catch (JsonParseException e) {
            throw new Fault.BadRequest("body", "is not JSON");
        }
        if (all == null || !all.isJsonObject()) {
            throw new Fault.BadRequest("body", "has to be a JSON object");
        }
        return new Fields("", all.getAsJsonObject());
    }

    /** Whether there is such a field. */
    boolean has(String name) {
        known.add(name);
        return object.has(name);
    }

    /** Every field has been asked for. */
    void done() {
        for (String name : object.keySet()) {
            if (!known.contains(name)) {
                throw new Fault.BadRequest(path + shortened(name), "is no field here");
            }
        }
    }

    /** A text. */
    String text(String name) {
        JsonElement e = get(name);
        if (!e.isJsonPrimitive() || !e.getAsJsonPrimitive().isString()) {
            throw wrong(name, "has to be a text");
        }
        return e.getAsString();
    }

    /** A text read further; whatever cannot be read is the field's fault. */
    <T> T parsed(String name, String what, Function<String, T> reader) {
        return parsed(name, text(name), what, reader);
    }

    /** Several texts read further. */
    <T> List<T> parsedList(String name, String what, Function<String, T> reader) {
        List<T> all = new ArrayList<>();
        for (JsonElement e : array(name)) {
            if (!e.isJsonPrimitive() || !e.getAsJsonPrimitive().isString()) {
                throw wrong(name, "has to hold texts");
            }
            all.add(parsed(name, e.getAsString(), what, reader));
        }
        return all;
    }

    private <T> T parsed(String name, String text, String what, Function<String, T> reader) {
        try {
            return reader.apply(text);
        } catch (DateTimeException | IllegalArgumentException | ArithmeticException e) {
            throw wrong(name, "has to be " + what);
        }
    }

    /** A time with its offset, such as 2026-12-31T18:00:00Z, as epoch ms. */
    long time(String name) {
        return parsed(name, "a time such as 2026-12-31T18:00:00Z", t -> OffsetDateTime.parse(t)
                .toInstant()
                .toEpochMilli());
    }

    /** Yes or no; no if it is not there. */
    boolean flag(String name) {
        if (!has(name)) {
            return false;
        }
        JsonElement e = get(name);
        if (!e.isJsonPrimitive() || !e.getAsJsonPrimitive().isBoolean()) {
            throw wrong(name, "has to be true or false");
        }
        return e.getAsBoolean();
    }

    /** A whole number. */
    long whole(String name) {
        return whole(path + name, get(name));
    }

    /** A whole number that fits an int. */
    int number(String name) {
        long value = whole(name);
        if (value != (int) value) {
            throw wrong(name, "is too large");
        }
        return (int) value;
    }

    /** Calls, in thousandths. */
    long calls(String name) {
        return calls(path + name, get(name));
    }

    /** A share, in millionths. */
    long millionths(String name) {
        return exact(path + name, get(name), SHARE_DIGITS);
    }

    /** Calls by destination, in thousandths. */
    SortedMap<Integer, Long> callsEach(String name) {
        return each(name, true);
    }

    /** Whole numbers by number. */
    SortedMap<Integer, Long> numbers(String name) {
        return each(name, false);
    }

    private SortedMap<Integer, Long> each(String name, boolean calls) {
        JsonElement all = get(name);
        if (!all.isJsonObject()) {
            throw wrong(name, "has to be an object");
        }
        SortedMap<Integer, Long> map = new TreeMap<>();
        for (Map.Entry<String, JsonElement> e : all.getAsJsonObject().entrySet()) {
            String field = path + name + "." + shortened(e.getKey());
            int key;
            try {
                key = Integer.parseInt(e.getKey());
            } catch (NumberFormatException x) {
                throw new Fault.BadRequest(field, "is no number");
            }
            map.put(key, calls ? calls(field, e.getValue()) : whole(field, e.getValue()));
        }
        return Rates.copy(map);
    }

    /** Several objects. */
    List<Fields> list(String name) {
        List<Fields> all = new ArrayList<>();
        for (JsonElement e : array(name)) {
            if (!e.isJsonObject()) {
                throw wrong(name, "has to hold objects");
            }
            all.add(new Fields(path + name + "[" + all.size() + "].", e.getAsJsonObject()));
        }
        return all;
    }

    /** An object in it. */
    Fields inner(String name) {
        JsonElement e = get(name);
        if (!e.isJsonObject()) {
            throw wrong(name, "has to be an object");
        }
        return new Fields(path + name + ".", e.getAsJsonObject());
    }

    private Iterable<JsonElement> array(String name) {
        JsonElement e = get(name);
        if (!e.isJsonArray() || e.getAsJsonArray().size() > MOST_LIST) {
            throw wrong(name, "has to be a list");
        }
        return e.getAsJsonArray();
    }

    private JsonElement get(String name) {
        if (!has(name)) {
            throw wrong(name, "is missing");
        }
        return object.get(name);
    }

    private static BigDecimal decimal(String field, JsonElement e) {
        try {
            if (e.isJsonPrimitive()
                    && e.getAsJsonPrimitive().isNumber()
                    && e.getAsString().length() <= MOST_DIGITS) {
                BigDecimal value = e.getAsBigDecimal();
                if (Math.abs((long) value.scale()) <= MOST_DIGITS) { // no text of a million digits
                    return value;
                }
            }
        } catch (NumberFormatException x) {
            throw new Fault.BadRequest(field, "is no number");
        }
        throw new Fault.BadRequest(field, "has to be a number");
    }

    private static long whole(String field, JsonElement e) {
        return exact(field, e, 0);
    }

    private static long calls(String field, JsonElement e) {
        return exact(field, e, Rates.DIGITS);
    }

    private static long exact(String field, JsonElement e, int digits) {
        try {
            return decimal(field, e).movePointRight(digits).longValueExact();
        } catch (ArithmeticException x) {
            throw new Fault.BadRequest(
                    field,
                    digits == 0
                            ? "has to be a whole number"
                            : "has to be a number with " + digits + " decimals at most");
        }
    }

    private Fault wrong(String name, String why) {
        return new Fault.BadRequest(path + name, why);
    }

    private static String shortened(String name) {
        return name.length() > Operation.MOST_NAME ? name.substring(0, Operation.MOST_NAME) : name;
    }
}
