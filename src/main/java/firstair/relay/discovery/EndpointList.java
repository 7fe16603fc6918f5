package firstair.relay.discovery;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import com.google.gson.Strictness;
import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import firstair.control.Controller.Entry;
import firstair.control.Controller.Listing;
import firstair.relay.HostPort;
import java.io.IOException;
import java.io.StringReader;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A list, or changes of one, as discovery tells it.
 *
 * @param addresses where this relay reaches each endpoint, by its id
 */
public record EndpointList(long version, boolean full, List<Entry> entries, Map<String, InetSocketAddress> addresses) {

    private static final int MOST_CHARS = 200; // of what is told of a fault: it may quote all that was read

    /** Reads one JSON text, and by the letter: what is no JSON is told as an {@link IllegalArgumentException}. */
    public static EndpointList read(String text, List<String> kinds, Zones zones) {
        JsonReader reader = new JsonReader(new StringReader(text));
        reader.setStrictness(Strictness.STRICT);
        JsonObject object;
        try {
            object = JsonParser.parseReader(reader).getAsJsonObject();
            if (reader.peek() != JsonToken.END_DOCUMENT) {
                throw new IllegalArgumentException("not a list: something follows it");
            }
        } catch (JsonParseException | IllegalStateException | IOException e) {
            throw bad("not a list: ", e);
        }
        return read(object, kinds, zones);
    }

    /** Reads a list; kinds and zones are told by name and numbered as the settings number them. */
    public static EndpointList read(JsonObject object, List<String> kinds, Zones zones) {
        try {
            List<Entry> entries = new ArrayList<>();
            Map<String, InetSocketAddress> addresses = new HashMap<>();
            for (JsonElement e : member(object, "servers").getAsJsonArray()) {
                JsonObject o = e.getAsJsonObject();
                String id = member(o, "id").getAsString();
                Listing state = listing(member(o, "state").getAsString());
                if (state != Listing.LEFT || o.has("addr")) {
                    addresses.put(id, HostPort.parse(member(o, "addr").getAsString()));
                }
                int kind = o.has("kind") ? kinds.indexOf(o.get("kind").getAsString()) : 0;
                entries.add(new Entry(
                        id,
                        member(o, "cell").getAsInt(),
                        kind < 0 ? Math.max(0, kinds.size() - 1) : kind,
                        o.has("zone") ? zones.number(o.get("zone").getAsString()) : 0,
                        o.has("weight") ? weight(o.get("weight").getAsDouble()) : 1,
                        state));
            }
            boolean full = !object.has("full") || object.get("full").getAsBoolean();
            return new EndpointList(member(object, "version").getAsLong(), full, entries, addresses);
        } catch (IllegalArgumentException | IllegalStateException | UnsupportedOperationException e) {
            throw bad("not a list of endpoints: ", e);
        }
    }

    private static IllegalArgumentException bad(String what, Exception e) {
        String why = String.valueOf(e.getMessage());
        return new IllegalArgumentException(what
                + (why.length() <= MOST_CHARS ? why : why.substring(0, MOST_CHARS) + "...").replaceAll("\\s+", " "));
    }

    /** A weight that no endpoint can have would stop all calls, or pace none. */
    private static double weight(double told) {
        if (!(told >= 0 && told < Integer.MAX_VALUE)) {
            throw new IllegalArgumentException("weight " + told);
        }
        return told;
    }

    private static Listing listing(String state) {
        return switch (state) {
            case "up" -> Listing.ACTIVE;
            case "draining" -> Listing.LEAVING;
            case "removed" -> Listing.LEFT;
            default -> throw new IllegalArgumentException("unknown state " + state);
        };
    }

    private static JsonElement member(JsonObject o, String name) {
        JsonElement e = o.get(name);
        if (e == null || e.isJsonNull()) {
            throw new IllegalArgumentException("no " + name);
        }
        return e;
    }
}
