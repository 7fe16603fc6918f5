package firstair.relay;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import firstair.settings.Fields;
import java.util.HashMap;
import java.util.Map;

/**
 * A JSON object flattened to paths and values, with the names that settings have elsewhere: {@code a.b}. A list of
 * primitive values is one value, joined by commas; a list of objects becomes {@code list.count}, {@code list.0.name}
 * and so on.
 */
final class FlattenedJson extends Fields {
    private static final double MAX_EXACT_INTEGER = 1L << 53; // a double represents every integer up to here exactly
    private final Map<String, String> values = new HashMap<>();
    private final String prefix;

    FlattenedJson(String prefix, JsonObject object) {
        this.prefix = prefix;
        object.entrySet().forEach(e -> flatten(e.getKey(), e.getValue()));
    }

    private void flatten(String path, JsonElement element) {
        if (element.isJsonObject()) {
            element.getAsJsonObject()
                    .entrySet()
                    .forEach(member -> flatten(path + "." + member.getKey(), member.getValue()));
        } else if (element.isJsonArray()) {
            flattenArray(path, element.getAsJsonArray());
        } else if (!element.isJsonNull()) {
            values.put(path, text(element));
        }
    }

    private void flattenArray(String path, JsonArray list) {
        StringBuilder joined = new StringBuilder();
        for (int i = 0; i < list.size(); i++) {
            JsonElement element = list.get(i);
            if (element.isJsonPrimitive()) {
                joined.append(i > 0 ? "," : "").append(text(element));
            } else {
                flatten(path + "." + i, element);
            }
        }
        values.put(path, joined.toString());
        values.put(path + ".count", String.valueOf(list.size()));
    }

    /** Integers are written as digits only, because 20, 20.0 and 2e1 are the same number in JSON. */
    private static String text(JsonElement element) {
        String text = element.getAsString();
        if (element.getAsJsonPrimitive().isNumber() && !text.matches("-?\\d+")) {
            double number = element.getAsDouble();
            return Math.rint(number) == number && Math.abs(number) < MAX_EXACT_INTEGER
                    ? String.valueOf((long) number)
                    : text;
        }
        return text;
    }

    @Override
    protected String value(String name) {
        return values.get(name);
    }

    @Override
    public RuntimeException invalid(String name, String problem) {
        return new ConfigException(prefix + name, problem);
    }
}
