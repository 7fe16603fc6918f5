package firstair.fleet.booking;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.time.Instant;
import java.util.List;
import java.util.Map;

/** Helpers that build JSON values. */
final class Json {
    private Json() {}

    /** Object with whole numbers keyed by number. */
    static JsonObject numbers(Map<Integer, Long> map) {
        JsonObject object = new JsonObject();
        map.forEach((k, v) -> object.addProperty(k.toString(), v));
        return object;
    }

    /** Rates in calls per second, keyed by destination. */
    static JsonObject calls(Map<Integer, Long> rates) {
        JsonObject object = new JsonObject();
        rates.forEach((k, v) -> object.addProperty(k.toString(), Rates.toCalls(v)));
        return object;
    }

    /** Array of strings. */
    static JsonArray strings(List<String> strings) {
        JsonArray array = new JsonArray();
        strings.forEach(array::add);
        return array;
    }

    /** Timestamp such as 2026-12-31T18:00:00Z. */
    static String timestamp(long ms) {
        return Instant.ofEpochMilli(ms).toString();
    }
}
