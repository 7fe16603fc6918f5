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

/** Strict reader of the fields of a JSON object; throws {@link Fault.BadRequest} that names the path of the field. */
final class JsonFields {
    private static final Gson STRICT =
            new GsonBuilder().setStrictness(Strictness.STRICT).create();
    private static final int MAX_LIST_SIZE = 200_000;
    private static final int MAX_DIGITS = 30;
    private static final int SHARE_DECIMALS = 6;

    private final String path;
    private final JsonObject object;
    private final Set<String> readNames = new HashSet<>();

    private JsonFields(String path, JsonObject object) {
        this.path = path;
        this.object = object;
    }

    /** Parses a text that must be a single JSON object. */
    static JsonFields parse(String text) {
        JsonElement all;
        try {
            all = STRICT.fromJson(text, JsonElement.class);
        } catch (JsonParseException e) {
            throw new Fault.BadRequest("body", "is not JSON");
        }
        if (all == null || !all.isJsonObject()) {
            throw new Fault.BadRequest("body", "has to be a JSON object");
        }
        return new JsonFields("", all.getAsJsonObject());
    }

    /** Whether the object has the field. */
    boolean has(String name) {
        readNames.add(name);
        return object.has(name);
    }

    /** Rejects fields that were not read. */
    void rejectUnread() {
        for (String name : object.keySet()) {
            if (!readNames.contains(name)) {
                throw new Fault.BadRequest(path + truncated(name), "is no field here");
            }
        }
    }

    /** A string. */
    String string(String name) {
        JsonElement e = get(name);
        if (!e.isJsonPrimitive() || !e.getAsJsonPrimitive().isString()) {
            throw invalid(name, "has to be a text");
        }
        return e.getAsString();
    }

    /** A string converted by a parser; a parse error is reported for the field. */
    <T> T parsed(String name, String expected, Function<String, T> reader) {
        return parsed(name, string(name), expected, reader);
    }

    /** An array of strings, each converted by a parser. */
    <T> List<T> parsedList(String name, String expected, Function<String, T> reader) {
        List<T> all = new ArrayList<>();
        for (JsonElement e : array(name)) {
            if (!e.isJsonPrimitive() || !e.getAsJsonPrimitive().isString()) {
                throw invalid(name, "has to hold texts");
            }
            all.add(parsed(name, e.getAsString(), expected, reader));
        }
        return all;
    }

    private <T> T parsed(String name, String text, String expected, Function<String, T> reader) {
        try {
            return reader.apply(text);
        } catch (DateTimeException | IllegalArgumentException | ArithmeticException e) {
            throw invalid(name, "has to be " + expected);
        }
    }

    /** A timestamp with offset, such as 2026-12-31T18:00:00Z, as epoch ms. */
    long epochMs(String name) {
        return parsed(name, "a time such as 2026-12-31T18:00:00Z", t -> OffsetDateTime.parse(t)
                .toInstant()
                .toEpochMilli());
    }

    /** A boolean; false if the field is absent. */
    boolean optionalBoolean(String name) {
        if (!has(name)) {
            return false;
        }
        JsonElement e = get(name);
        if (!e.isJsonPrimitive() || !e.getAsJsonPrimitive().isBoolean()) {
            throw invalid(name, "has to be true or false");
        }
        return e.getAsBoolean();
    }

    /** A whole number. */
    long longValue(String name) {
        return longValue(path + name, get(name));
    }

    /** A whole number in the range of an int. */
    int intValue(String name) {
        long value = longValue(name);
        if (value != (int) value) {
            throw invalid(name, "is too large");
        }
        return (int) value;
    }

    /** A number of calls, in thousandths. */
    long thousandths(String name) {
        return thousandths(path + name, get(name));
    }

    /** A share, in millionths. */
    long millionths(String name) {
        return scaled(path + name, get(name), SHARE_DECIMALS);
    }

    /** Numbers of calls keyed by destination, in thousandths. */
    SortedMap<Integer, Long> thousandthsByNumber(String name) {
        return byNumber(name, true);
    }

    /** Whole numbers keyed by number. */
    SortedMap<Integer, Long> longsByNumber(String name) {
        return byNumber(name, false);
    }

    private SortedMap<Integer, Long> byNumber(String name, boolean asThousandths) {
        JsonElement all = get(name);
        if (!all.isJsonObject()) {
            throw invalid(name, "has to be an object");
        }
        SortedMap<Integer, Long> map = new TreeMap<>();
        for (Map.Entry<String, JsonElement> e : all.getAsJsonObject().entrySet()) {
            String field = path + name + "." + truncated(e.getKey());
            int key;
            try {
                key = Integer.parseInt(e.getKey());
            } catch (NumberFormatException x) {
                throw new Fault.BadRequest(field, "is no number");
            }
            map.put(key, asThousandths ? thousandths(field, e.getValue()) : longValue(field, e.getValue()));
        }
        return Rates.copy(map);
    }

    /** An array of objects. */
    List<JsonFields> objects(String name) {
        List<JsonFields> all = new ArrayList<>();
        for (JsonElement e : array(name)) {
            if (!e.isJsonObject()) {
                throw invalid(name, "has to hold objects");
            }
            all.add(new JsonFields(path + name + "[" + all.size() + "].", e.getAsJsonObject()));
        }
        return all;
    }

    /** A nested object. */
    JsonFields object(String name) {
        JsonElement e = get(name);
        if (!e.isJsonObject()) {
            throw invalid(name, "has to be an object");
        }
        return new JsonFields(path + name + ".", e.getAsJsonObject());
    }

    private Iterable<JsonElement> array(String name) {
        JsonElement e = get(name);
        if (!e.isJsonArray() || e.getAsJsonArray().size() > MAX_LIST_SIZE) {
            throw invalid(name, "has to be a list");
        }
        return e.getAsJsonArray();
    }

    private JsonElement get(String name) {
        if (!has(name)) {
            throw invalid(name, "is missing");
        }
        return object.get(name);
    }

    private static BigDecimal decimal(String field, JsonElement e) {
        try {
            if (e.isJsonPrimitive()
                    && e.getAsJsonPrimitive().isNumber()
                    && e.getAsString().length() <= MAX_DIGITS) {
                BigDecimal value = e.getAsBigDecimal();
                if (Math.abs((long) value.scale()) <= MAX_DIGITS) { // bounds the expanded digits
                    return value;
                }
            }
        } catch (NumberFormatException x) {
            throw new Fault.BadRequest(field, "is no number");
        }
        throw new Fault.BadRequest(field, "has to be a number");
    }

    private static long longValue(String field, JsonElement e) {
        return scaled(field, e, 0);
    }

    private static long thousandths(String field, JsonElement e) {
        return scaled(field, e, Rates.DECIMALS);
    }

    private static long scaled(String field, JsonElement e, int decimals) {
        try {
            return decimal(field, e).movePointRight(decimals).longValueExact();
        } catch (ArithmeticException x) {
            throw new Fault.BadRequest(
                    field,
                    decimals == 0
                            ? "has to be a whole number"
                            : "has to be a number with " + decimals + " decimals at most");
        }
    }

    private Fault invalid(String name, String why) {
        return new Fault.BadRequest(path + name, why);
    }

    private static String truncated(String name) {
        return name.length() > Operation.MAX_NAME_LENGTH ? name.substring(0, Operation.MAX_NAME_LENGTH) : name;
    }
}
