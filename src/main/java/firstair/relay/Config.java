package firstair.relay;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import firstair.config.Values;
import firstair.control.Controller;
import firstair.relay.discovery.EndpointList;
import firstair.relay.discovery.Zones;
import firstair.settings.SettingsReader;
import firstair.settings.SettingsValidator;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The configuration of a relay, read when it starts.
 *
 * @param name           name of the relay
 * @param listen         address that clients connect to
 * @param discovery      address of discovery, and of the platform that takes notices
 * @param state          the folder for persistent state
 * @param seed           seed of all random decisions
 * @param limits         sizes, counts and times of the relay itself
 * @param settings       the platform's settings
 * @param knownEndpoints the list of endpoints as last known, or null
 * @param kinds          names of the kinds of destination, in the order of their numbers
 * @param zones          numbers of the zones
 * @param localSettings  local settings of the installation, as far as they are set
 */
public record Config(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        Path state,
        long seed,
        Limits limits,
        Controller.Settings settings,
        EndpointList knownEndpoints,
        List<String> kinds,
        Zones zones,
        Values localSettings) {

    private static final int HEX_RADIX = 16;

    /**
     * Reads the file that {@code ROUTER_CONFIG} names; other variables of the environment supply missing fields.
     *
     * @throws ConfigException if the file cannot be read or is invalid
     */
    public static Config read(Map<String, String> env) {
        return parse(text(env), env);
    }

    /**
     * Returns the content of the file that {@code ROUTER_CONFIG} names.
     *
     * @throws ConfigException if the variable is not set or the file cannot be read
     */
    public static String text(Map<String, String> env) {
        String file = env.get("ROUTER_CONFIG");
        if (file == null || file.isEmpty()) {
            throw new ConfigException("ROUTER_CONFIG", "missing from the environment");
        }
        try {
            return Files.readString(Path.of(file));
        } catch (IOException | InvalidPathException e) {
            throw new ConfigException("ROUTER_CONFIG", "cannot be read: " + e);
        }
    }

    /**
     * Parses a configuration; variables of the environment supply missing fields.
     *
     * @throws ConfigException if the text is not valid JSON, or a field is missing or invalid
     */
    public static Config parse(String text, Map<String, String> env) {
        JsonObject root;
        try {
            JsonElement parsed = JsonParser.parseString(text);
            if (!parsed.isJsonObject()) {
                throw new ConfigException("ROUTER_CONFIG", "not a JSON object");
            }
            root = parsed.getAsJsonObject();
        } catch (JsonParseException e) {
            throw new ConfigException(
                    "ROUTER_CONFIG", "not JSON: " + e.getMessage().replaceAll("\\s+", " "));
        }
        FlattenedJson fields = new FlattenedJson("", root);
        FlattenedJson settingsFields = new FlattenedJson("settings.", object(root, "settings"));
        Controller.Settings settings = SettingsReader.read(settingsFields);
        SettingsValidator.validate(settingsFields);
        if (settings.classes().isEmpty()) {
            throw new ConfigException("settings.classes", "no class of message");
        }
        String state = env.get("ROUTER_STATE");
        if (state == null || state.isEmpty()) {
            throw new ConfigException("ROUTER_STATE", "missing from the environment");
        }
        List<String> kinds = orderedNames(object(root, "settings"), "shapes");
        Zones zones = new Zones(orderedNames(object(root, "settings"), "azs"));
        return new Config(
                fields.text("name", env.getOrDefault("ROUTER_NAME", "relay")),
                address("listen", fields.text("listen", env.get("ROUTER_LISTEN"))),
                address("discovery", fields.text("discovery", env.get("ROUTER_DISCOVERY"))),
                Path.of(state),
                seed(fields),
                Limits.of(
                        (int) fields.whole("limits.sockets", 0),
                        (int) fields.whole("limits.disk_mb", 0),
                        Runtime.getRuntime().maxMemory(),
                        settingsFields.number("quantum", 0),
                        settings.limits().connectTimeoutMs(),
                        settings.limits().connectionIdleMs()),
                settings,
                knownList(root, kinds, zones),
                kinds,
                zones,
                Values.NONE);
    }

    /** Returns a copy with these local settings. */
    public Config withLocalSettings(Values localSettings) {
        return new Config(
                name, listen, discovery, state, seed, limits, settings, knownEndpoints, kinds, zones, localSettings);
    }

    private static JsonObject object(JsonObject root, String name) {
        if (!root.has(name)) {
            throw new ConfigException(name, "missing");
        }
        if (!root.get(name).isJsonObject()) {
            throw new ConfigException(name, "not an object");
        }
        return root.getAsJsonObject(name);
    }

    private static EndpointList knownList(JsonObject root, List<String> kinds, Zones zones) {
        if (!root.has("known") || root.get("known").isJsonNull()) {
            return null;
        }
        try {
            return EndpointList.read(object(root, "known"), kinds, zones);
        } catch (IllegalArgumentException e) {
            throw new ConfigException("known", e.getMessage());
        }
    }

    private static long seed(FlattenedJson fields) {
        String text = fields.text("seed", "0");
        try {
            return Long.parseUnsignedLong(text, HEX_RADIX);
        } catch (NumberFormatException e) {
            throw fields.invalid("seed", "not a hexadecimal number of 64 bits: " + text);
        }
    }

    /** Reads names in the order of their numbers, from a JSON array or from a string separated by commas. */
    private static List<String> orderedNames(JsonObject settings, String field) {
        JsonElement value = settings.get(field);
        List<String> names = new ArrayList<>();
        if (value != null && value.isJsonArray()) {
            value.getAsJsonArray()
                    .forEach(element -> names.add(element.isJsonPrimitive() ? element.getAsString() : ""));
        } else if (value != null && value.isJsonPrimitive()) {
            for (String name : value.getAsString().split(",")) {
                if (!name.isEmpty()) {
                    names.add(name);
                }
            }
        }
        return names;
    }

    private static InetSocketAddress address(String field, String text) {
        if (text == null) {
            throw new ConfigException(field, "missing");
        }
        try {
            return HostPort.parse(text);
        } catch (IllegalArgumentException e) {
            throw new ConfigException(field, e.getMessage());
        }
    }
}
