package firstair.fleet.booking;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.time.Instant;
import java.util.List;
import java.util.Map;

/** Parts of what is written. */
final class Json {
    private Json() {}

    /** Whole numbers by number. */
    static JsonObject numbers(Map<Integer, Long> map) {
        JsonObject o = new JsonObject();
        map.forEach((k, v) -> o.addProperty(k.toString(), v));
        return o;
    }

    /** Rates in calls a second by destination. */
    static JsonObject calls(Map<Integer, Long> rates) {
        JsonObject o = new JsonObject();
        rates.forEach((k, v) -> o.addProperty(k.toString(), Rates.calls(v)));
        return o;
    }

    /** Texts. */
    static JsonArray texts(List<String> texts) {
        JsonArray a = new JsonArray();
        texts.forEach(a::add);
        return a;
    }

    /** A time, such as 2026-12-31T18:00:00Z. */
    static String time(long ms) {
        return Instant.ofEpochMilli(ms).toString();
    }
}
