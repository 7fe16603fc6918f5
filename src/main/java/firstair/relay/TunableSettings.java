package firstair.relay;

import firstair.config.Kind;
import firstair.config.ParsedSettings;
import firstair.config.Schema;
import firstair.config.Setting;
import firstair.config.Values;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The local settings of an installation, as opposed to the platform's: from a TOML file that {@code FIRSTAIR_SETTINGS}
 * names, from environment variables for single values ({@code FIRSTAIR_PLATFORM_ANSWER}), and from flags. Flags
 * override variables, and variables override the file. Without any of them the limits are those of the deployment,
 * and no code for settings is loaded.
 */
public final class TunableSettings {
    /** Environment variable that names the file. */
    public static final String FILE_VARIABLE = "FIRSTAIR_SETTINGS";
    /** Prefix of the environment variables that set single values. */
    public static final String VARIABLE_PREFIX = "FIRSTAIR_";
    /** Prefix of the keys by which flags are passed along with the variables; the path of the item follows. */
    public static final String FLAG_PREFIX = "--";

    private static final double SECOND_MS = 1000;
    private static final double MINUTE_MS = 60 * SECOND_MS;
    private static final double KIB = 1024;

    private TunableSettings() {}

    /** Describes all items, with their units, defaults and bounds. */
    public static Schema schema() {
        return new Schema()
                .table("clients", "Connections of clients")
                .item(
                        "idle",
                        Kind.DURATION,
                        "2s",
                        100,
                        10 * MINUTE_MS,
                        false,
                        "a connection without a request is closed")
                .item(
                        "request",
                        Kind.DURATION,
                        "2s",
                        100,
                        MINUTE_MS,
                        false,
                        "a whole request must have come, from connecting or from its first byte")
                .item(
                        "first",
                        Kind.DURATION,
                        "200ms",
                        0,
                        MINUTE_MS,
                        false,
                        "a client that has just connected is waited for, whatever else wants its place")
                .item(
                        "crowded",
                        Kind.DURATION,
                        "500ms",
                        50,
                        MINUTE_MS,
                        false,
                        "in a crowd, a client that has sent nothing is turned away")
                .item(
                        "linger",
                        Kind.DURATION,
                        "500ms",
                        0,
                        MINUTE_MS,
                        false,
                        "a refused client may go on sending before its connection is cut")
                .item("linger_bytes", Kind.SIZE, "256KiB", 0, 1 << 30, false, "it may send so much before that")
                .table("endpoints", "Calls to partners' endpoints")
                .item(
                        "halt",
                        Kind.DURATION,
                        "50ms",
                        1,
                        10 * SECOND_MS,
                        false,
                        "the other side may take so long to end a call that was given up")
                .item("answer", Kind.DURATION, "200ms", 10, MINUTE_MS, false, "an answer that has begun must be whole")
                .item(
                        "rest",
                        Kind.DURATION,
                        "20ms",
                        0,
                        10 * SECOND_MS,
                        false,
                        "a connection that carried an answer is left alone before the next call")
                .item(
                        "empty",
                        Kind.DURATION,
                        "30s",
                        1 * SECOND_MS,
                        60 * MINUTE_MS,
                        false,
                        "a destination without endpoints is still taken for one")
                .table("list", "The list of endpoints")
                .item(
                        "answer",
                        Kind.DURATION,
                        "3s",
                        100,
                        MINUTE_MS,
                        false,
                        "discovery must have begun an answer; after a third of it another call goes beside it")
                .item(
                        "silence",
                        Kind.DURATION,
                        "2.25s",
                        100,
                        10 * MINUTE_MS,
                        false,
                        "a watch that says nothing is dead")
                .item(
                        "line",
                        Kind.SIZE,
                        "4MiB",
                        64 * KIB,
                        1 << 30,
                        false,
                        "one object that discovery sends at most; unless it is set, no more than a 32nd of the heap")
                .table("platform", "Notices to the platform")
                .item("answer", Kind.DURATION, "1s", 50, MINUTE_MS, true, "a post without an answer is given up")
                .item(
                        "least",
                        Kind.DURATION,
                        "60ms",
                        1,
                        10 * SECOND_MS,
                        true,
                        "least time until what an unanswered post carries goes a second time as well")
                .item("most", Kind.DURATION, "250ms", 1, 10 * SECOND_MS, true, "longest such time")
                .item(
                        "pause",
                        Kind.DURATION,
                        "25ms",
                        1,
                        10 * SECOND_MS,
                        true,
                        "first pause after the place has failed; it doubles")
                .item(
                        "urgent_pause",
                        Kind.DURATION,
                        "75ms",
                        1,
                        10 * SECOND_MS,
                        true,
                        "longest such pause while any notice can still be in time")
                .item("most_pause", Kind.DURATION, "1s", 1, 10 * MINUTE_MS, true, "longest such pause otherwise")
                .item("posts", Kind.COUNT, "8", 2, 256, true, "posts that may be out")
                .table("messages", "Messages that are held")
                .item(
                        "overdue",
                        Kind.DURATION,
                        "150ms",
                        60,
                        MINUTE_MS,
                        true,
                        "after its time, a message without an end is given up as lost by a fault of ours")
                .table("start", "Starts and new configurations")
                .item(
                        "open",
                        Kind.DURATION,
                        "300ms",
                        0,
                        MINUTE_MS,
                        false,
                        "clients wait at most for the list that is pushed to a start")
                .item(
                        "reload",
                        Kind.DURATION,
                        "1s",
                        0,
                        MINUTE_MS,
                        true,
                        "a file that cannot be used is read again after a SIGHUP")
                .table("drain", "The end after SIGTERM")
                .item("accept", Kind.DURATION, "450ms", 0, 10 * MINUTE_MS, false, "connections are still accepted")
                .item("calls", Kind.DURATION, "2.3s", 0, 60 * MINUTE_MS, false, "calls are made for what is held")
                .item("end", Kind.DURATION, "3s", 0, 60 * MINUTE_MS, false, "the process ends at the latest")
                .table("fleet", "What relays tell each other; off unless the platform allows it too (`limits.peers`)")
                .item("name", Kind.TEXT, "", 0, 64, false, "name of the fleet, the same at all relays; empty is off")
                .item(
                        "self",
                        Kind.TEXT,
                        "",
                        0,
                        64,
                        false,
                        "our name among the peers; empty is the relay's name in its configuration")
                .item(
                        "listen",
                        Kind.TEXT,
                        "",
                        0,
                        260,
                        false,
                        "where relays reach us as host:port, by UDP and TCP; empty is our address among the peers")
                .item(
                        "peers",
                        Kind.NAMES,
                        "",
                        0,
                        1500,
                        false,
                        "all relays as name=host:port, ours too, in the same order everywhere")
                .item("voters", Kind.NAMES, "", 0, 5, false, "3 or 5 of them, who decide by majority")
                .item("hello", Kind.DURATION, "500ms", 20, MINUTE_MS, false, "pause between hellos")
                .item(
                        "quiet",
                        Kind.DURATION,
                        "3s",
                        100,
                        10 * MINUTE_MS,
                        false,
                        "a relay that has heard no majority of the voters for so long uses its cut part only")
                .item("delay", Kind.DURATION, "1s", 1, MINUTE_MS, false, "longest time that a note is under way")
                .item("drift", Kind.SHARE, "1%", 0, 0.1, false, "clocks run faster or slower by so much at most")
                .item(
                        "cut",
                        Kind.SHARE,
                        "50%",
                        0,
                        1,
                        false,
                        "what a relay may use of its even part where it hears nobody")
                .item(
                        "contract_term",
                        Kind.DURATION,
                        "10s",
                        1 * SECOND_MS,
                        60 * MINUTE_MS,
                        false,
                        "a relay that could not confirm its contracts for so long keeps to the strictest it knows")
                .item(
                        "contracts",
                        Kind.TEXT,
                        "",
                        0,
                        1024,
                        false,
                        "a file in TOML with the contracts of tenants; empty is none")
                .item(
                        "repeats",
                        Kind.SHARE,
                        "0%",
                        0,
                        1,
                        false,
                        "repeats over all relays for each first try to a destination; 0% leaves them unbounded")
                .item("bookings", Kind.FLAG, "false", 0, 1, false, "teams may book capacity")
                .item(
                        "calendars",
                        Kind.TEXT,
                        "",
                        0,
                        1024,
                        false,
                        "a file in TOML with the calendars that requests for bookings may repeat by; empty is none")
                .item(
                        "bookable",
                        Kind.SHARE,
                        "30%",
                        0,
                        0.9,
                        false,
                        "part of a destination's limit that ordinary traffic leaves to bookings")
                .item(
                        "skew",
                        Kind.DURATION,
                        "1s",
                        0,
                        MINUTE_MS,
                        false,
                        "wall clocks of relays are off by so much at most")
                .item(
                        "first",
                        Kind.FLAG,
                        "false",
                        0,
                        1,
                        false,
                        "true at the very first start of the voters only: their ledger begins empty");
    }

    /** Whether an environment sets any item or names a file. */
    public static boolean anySet(Map<String, String> env) {
        return env.keySet().stream().anyMatch(name -> name.startsWith(VARIABLE_PREFIX) || name.startsWith(FLAG_PREFIX));
    }

    /**
     * Reads all sources.
     *
     * @throws ConfigException if the file cannot be read, or with the errors of all sources, a line each
     */
    public static Values read(Map<String, String> env) {
        if (!anySet(env)) {
            return Values.NONE;
        }
        Schema schema = schema();
        List<ParsedSettings> sources =
                List.of(file(env.get(FILE_VARIABLE), schema), variables(env, schema), flags(env, schema));
        List<String> errors = sources.stream()
                .flatMap(source -> source.errors().stream())
                .map(Object::toString)
                .toList();
        if (!errors.isEmpty()) {
            throw new ConfigException(errors);
        }
        Values all = Values.NONE;
        for (ParsedSettings source : sources) {
            all = all.overriddenBy(source.values());
        }
        return all;
    }

    /** Describes the changed items, a line each, and says which of them take effect at the next start only. */
    static List<String> changes(Values before, Values after) {
        return schema().items().stream()
                .filter(item -> !isEqual(valueOf(before, item), valueOf(after, item)))
                .map(item -> "settings: "
                        + item.path() + " is " + item.format(valueOf(after, item)) + ", was "
                        + item.format(valueOf(before, item))
                        + (item.appliedAtReload() ? "" : "; waits for the next start"))
                .toList();
    }

    private static Values.Value valueOf(Values values, Setting item) {
        Values.Value value = values.value(item.path());
        return value == null ? item.defaultValue() : value;
    }

    private static boolean isEqual(Values.Value a, Values.Value b) {
        return a.value() == b.value() && a.text().equals(b.text());
    }

    private static ParsedSettings file(String name, Schema schema) {
        if (name == null || name.isEmpty()) {
            return new ParsedSettings(Values.NONE, List.of());
        }
        try {
            return ParsedSettings.fromToml(name, Files.readAllBytes(Path.of(name)), schema);
        } catch (IOException | InvalidPathException e) {
            throw new ConfigException(FILE_VARIABLE, "cannot be read: " + e);
        }
    }

    private static ParsedSettings variables(Map<String, String> env, Schema schema) {
        Map<String, String> paths = new LinkedHashMap<>();
        for (Setting item : schema.items()) {
            paths.put(ParsedSettings.environmentVariable(VARIABLE_PREFIX, item.path()), item.path());
        }
        Map<String, String> texts = new LinkedHashMap<>();
        Map<String, String> origins = new LinkedHashMap<>();
        env.forEach((name, text) -> {
            if (name.startsWith(VARIABLE_PREFIX) && !name.equals(FILE_VARIABLE)) {
                String path = paths.getOrDefault(name, name);
                texts.put(path, text);
                origins.put(path, "variable " + name);
            }
        });
        return ParsedSettings.fromTexts(texts, origins, schema);
    }

    private static ParsedSettings flags(Map<String, String> env, Schema schema) {
        Map<String, String> texts = new LinkedHashMap<>();
        Map<String, String> origins = new LinkedHashMap<>();
        env.forEach((name, text) -> {
            if (name.startsWith(FLAG_PREFIX)) {
                texts.put(name.substring(FLAG_PREFIX.length()), text);
                origins.put(name.substring(FLAG_PREFIX.length()), "flag --set");
            }
        });
        return ParsedSettings.fromTexts(texts, origins, schema);
    }
}
