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
 * A full list of endpoints, or the changes to one, as received from discovery.
 *
 * @param full      whether the entries are the whole list, not only changes to it
 * @param addresses network address of each endpoint, by endpoint id
 */
public record EndpointList(long version, boolean full, List<Entry> entries, Map<String, InetSocketAddress> addresses) {

    private static final int MAX_DETAIL_CHARS = 200; // a parser's message may quote the whole input

    /**
     * Parses one JSON text in strict mode.
     *
     * @throws IllegalArgumentException if the text is not valid JSON or not a list of endpoints
     */
    public static EndpointList read(String text, List<String> kinds, Zones zones) {
        JsonReader reader = new JsonReader(new StringReader(text));
        reader.setStrictness(Strictness.STRICT);
        JsonObject object;
        try {
            object = JsonParser.parseReader(reader).getAsJsonObject();
            if (reader.peek() != JsonToken.END_DOCUMENT) {
                throw new IllegalArgumentException("not a list: unexpected content after the JSON object");
            }
        } catch (JsonParseException | IllegalStateException | IOException e) {
            throw invalid("not a list: ", e);
        }
        return read(object, kinds, zones);
    }

    /** Reads a list; kinds and zones are given by name and mapped to the numbers that the settings use. */
    public static EndpointList read(JsonObject object, List<String> kinds, Zones zones) {
        try {
            List<Entry> entries = new ArrayList<>();
            Map<String, InetSocketAddress> addresses = new HashMap<>();
            for (JsonElement element : member(object, "servers").getAsJsonArray()) {
                JsonObject server = element.getAsJsonObject();
                String id = member(server, "id").getAsString();
                Listing state = listing(member(server, "state").getAsString());
                if (state != Listing.LEFT || server.has("addr")) {
                    addresses.put(id, HostPort.parse(member(server, "addr").getAsString()));
                }
                int kind = server.has("kind") ? kinds.indexOf(server.get("kind").getAsString()) : 0;
                entries.add(new Entry(
                        id,
                        member(server, "cell").getAsInt(),
                        kind < 0 ? Math.max(0, kinds.size() - 1) : kind,
                        server.has("zone") ? zones.number(server.get("zone").getAsString()) : 0,
                        server.has("weight") ? weight(server.get("weight").getAsDouble()) : 1,
                        state));
            }
            boolean full = !object.has("full") || object.get("full").getAsBoolean();
            return new EndpointList(member(object, "version").getAsLong(), full, entries, addresses);
        } catch (IllegalArgumentException | IllegalStateException | UnsupportedOperationException e) {
            throw invalid("not a list of endpoints: ", e);
        }
    }

    private static IllegalArgumentException invalid(String prefix, Exception cause) {
        String detail = String.valueOf(cause.getMessage());
        return new IllegalArgumentException(prefix
                + (detail.length() <= MAX_DETAIL_CHARS ? detail : detail.substring(0, MAX_DETAIL_CHARS) + "...")
                        .replaceAll("\\s+", " "));
    }

    /** Rejects a weight that is out of range: it would block all calls or disable rate limiting. */
    private static double weight(double value) {
        if (!(value >= 0 && value < Integer.MAX_VALUE)) {
            throw new IllegalArgumentException("weight out of range: " + value);
        }
        return value;
    }

    private static Listing listing(String state) {
        return switch (state) {
            case "up" -> Listing.ACTIVE;
            case "draining" -> Listing.LEAVING;
            case "removed" -> Listing.LEFT;
            default -> throw new IllegalArgumentException("unknown state " + state);
        };
    }

    private static JsonElement member(JsonObject object, String name) {
        JsonElement value = object.get(name);
        if (value == null || value.isJsonNull()) {
            throw new IllegalArgumentException("missing " + name);
        }
        return value;
    }
}
