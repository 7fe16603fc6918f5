package firstair.relay;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import firstair.settings.Fields;
import java.util.HashMap;
import java.util.Map;

/**
 * A JSON object as paths and values, as the settings are named everywhere: {@code a.b}; a list of plain values
 * joined by commas; a list of objects as {@code list.count} and {@code list.0.name}.
 */
final class Json extends Fields {
    private static final double EXACT = 1L << 53; // whole numbers up to here have a double of their own
    private final Map<String, String> values = new HashMap<>();
    private final String prefix;

    Json(String prefix, JsonObject object) {
        this.prefix = prefix;
        object.entrySet().forEach(e -> put(e.getKey(), e.getValue()));
    }

    private void put(String path, JsonElement e) {
        if (e.isJsonObject()) {
            e.getAsJsonObject().entrySet().forEach(x -> put(path + "." + x.getKey(), x.getValue()));
        } else if (e.isJsonArray()) {
            array(path, e.getAsJsonArray());
        } else if (!e.isJsonNull()) {
            values.put(path, text(e));
        }
    }

    private void array(String path, JsonArray list) {
        StringBuilder plain = new StringBuilder();
        for (int i = 0; i < list.size(); i++) {
            JsonElement one = list.get(i);
            if (one.isJsonPrimitive()) {
                plain.append(i > 0 ? "," : "").append(text(one));
            } else {
                put(path + "." + i, one);
            }
        }
        values.put(path, plain.toString());
        values.put(path + ".count", String.valueOf(list.size()));
    }

    /** A whole number is told in digits alone, whether it was written as 20, 20.0 or 2e1: to JSON these are one. */
    private static String text(JsonElement e) {
        String text = e.getAsString();
        if (e.getAsJsonPrimitive().isNumber() && !text.matches("-?\\d+")) {
            double d = e.getAsDouble();
            return Math.rint(d) == d && Math.abs(d) < EXACT ? String.valueOf((long) d) : text;
        }
        return text;
    }

    @Override
    protected String value(String name) {
        return values.get(name);
    }

    @Override
    public RuntimeException invalid(String name, String what) {
        return new ConfigException(prefix + name, what);
    }
}
