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
 * What a relay is told at its start.
 *
 * @param state   the folder that lasts
 * @param known   the list of endpoints as last held, or null
 * @param kinds   names of the kinds of destination, in the order of their numbers
 * @param zones   numbers of the zones
 * @param own     settings that are ours, as far as anybody set them
 */
public record Config(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        Path state,
        long seed,
        Limits limits,
        Controller.Settings settings,
        EndpointList known,
        List<String> kinds,
        Zones zones,
        Values own) {

    private static final int HEX = 16;

    /** Reads the file that {@code ROUTER_CONFIG} names; other variables stand in for what it lacks. */
    public static Config read(Map<String, String> env) {
        return parse(text(env), env);
    }

    /** The text of the file that {@code ROUTER_CONFIG} names. */
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

    /** Reads a configuration from its text; variables stand in for what it lacks. */
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
        Json top = new Json("", root);
        Json site = new Json("settings.", object(root, "settings"));
        Controller.Settings settings = SettingsReader.read(site);
        SettingsValidator.validate(site);
        if (settings.classes().isEmpty()) {
            throw new ConfigException("settings.classes", "no class of message");
        }
        String state = env.get("ROUTER_STATE");
        if (state == null || state.isEmpty()) {
            throw new ConfigException("ROUTER_STATE", "missing from the environment");
        }
        List<String> kinds = names(object(root, "settings"), "shapes");
        Zones zones = new Zones(names(object(root, "settings"), "azs"));
        return new Config(
                top.text("name", env.getOrDefault("ROUTER_NAME", "relay")),
                address("listen", top.text("listen", env.get("ROUTER_LISTEN"))),
                address("discovery", top.text("discovery", env.get("ROUTER_DISCOVERY"))),
                Path.of(state),
                seed(top),
                Limits.of(
                        (int) top.whole("limits.sockets", 0),
                        (int) top.whole("limits.disk_mb", 0),
                        Runtime.getRuntime().maxMemory(),
                        site.number("quantum", 0),
                        settings.limits().connectTimeoutMs(),
                        settings.limits().connectionIdleMs()),
                settings,
                known(root, kinds, zones),
                kinds,
                zones,
                Values.NONE);
    }

    /** The same with settings of ours. */
    public Config with(Values settingsOfOurs) {
        return new Config(name, listen, discovery, state, seed, limits, settings, known, kinds, zones, settingsOfOurs);
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

    private static EndpointList known(JsonObject root, List<String> kinds, Zones zones) {
        if (!root.has("known") || root.get("known").isJsonNull()) {
            return null;
        }
        try {
            return EndpointList.read(object(root, "known"), kinds, zones);
        } catch (IllegalArgumentException e) {
            throw new ConfigException("known", e.getMessage());
        }
    }

    private static long seed(Json top) {
        String text = top.text("seed", "0");
        try {
            return Long.parseUnsignedLong(text, HEX);
        } catch (NumberFormatException e) {
            throw top.invalid("seed", "not a hexadecimal number of 64 bits: " + text);
        }
    }

    /** Names in the order of their numbers: of a list as they are, or of a text with commas between. */
    private static List<String> names(JsonObject settings, String field) {
        JsonElement told = settings.get(field);
        List<String> all = new ArrayList<>();
        if (told != null && told.isJsonArray()) {
            told.getAsJsonArray().forEach(one -> all.add(one.isJsonPrimitive() ? one.getAsString() : ""));
        } else if (told != null && told.isJsonPrimitive()) {
            for (String one : told.getAsString().split(",")) {
                if (!one.isEmpty()) {
                    all.add(one);
                }
            }
        }
        return all;
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
