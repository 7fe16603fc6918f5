package firstair.relay;

import firstair.config.Item;
import firstair.config.Kind;
import firstair.config.Read;
import firstair.config.Schema;
import firstair.config.Values;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The settings that are ours and not the platform's: a file in TOML that {@code FIRSTAIR_SETTINGS} names, a variable
 * for each value ({@code FIRSTAIR_PLATFORM_ANSWER}), and flags before both. Where none is given, nothing of this is
 * loaded and the limits stand as the deployment has them.
 */
public final class TunableSettings {
    /** The variable that names the file. */
    public static final String FILE = "FIRSTAIR_SETTINGS";
    /** How the variables begin that set a value each. */
    public static final String PREFIX = "FIRSTAIR_";
    /** How a flag stands among the variables: this and the path. */
    public static final String FLAG = "--";

    private static final double S = 1000;
    private static final double MIN = 60 * S;
    private static final double KIB = 1024;

    private TunableSettings() {}

    /** What can be set. */
    public static Schema schema() {
        return new Schema()
                .table("clients", "Connections of clients")
                .item("idle", Kind.DURATION, "2s", 100, 10 * MIN, false, "a connection without a request is closed")
                .item(
                        "request",
                        Kind.DURATION,
                        "2s",
                        100,
                        MIN,
                        false,
                        "a whole request must have come, from connecting or from its first byte")
                .item(
                        "first",
                        Kind.DURATION,
                        "200ms",
                        0,
                        MIN,
                        false,
                        "a client that has just connected is waited for, whatever else wants its place")
                .item(
                        "crowded",
                        Kind.DURATION,
                        "500ms",
                        50,
                        MIN,
                        false,
                        "in a crowd, a client that has sent nothing is turned away")
                .item(
                        "linger",
                        Kind.DURATION,
                        "500ms",
                        0,
                        MIN,
                        false,
                        "a refused client may go on sending before its connection is cut")
                .item("linger_bytes", Kind.SIZE, "256KiB", 0, 1 << 30, false, "it may send so much before that")
                .table("endpoints", "Calls to partners' endpoints")
                .item(
                        "halt",
                        Kind.DURATION,
                        "50ms",
                        1,
                        10 * S,
                        false,
                        "the other side may take so long to end a call that was given up")
                .item("answer", Kind.DURATION, "200ms", 10, MIN, false, "an answer that has begun must be whole")
                .item(
                        "rest",
                        Kind.DURATION,
                        "20ms",
                        0,
                        10 * S,
                        false,
                        "a connection that carried an answer is left alone before the next call")
                .item(
                        "empty",
                        Kind.DURATION,
                        "30s",
                        1 * S,
                        60 * MIN,
                        false,
                        "a destination without endpoints is still taken for one")
                .table("list", "The list of endpoints")
                .item(
                        "answer",
                        Kind.DURATION,
                        "3s",
                        100,
                        MIN,
                        false,
                        "discovery must have begun an answer; after a third of it another call goes beside it")
                .item("silence", Kind.DURATION, "2.25s", 100, 10 * MIN, false, "a watch that says nothing is dead")
                .item(
                        "line",
                        Kind.SIZE,
                        "4MiB",
                        64 * KIB,
                        1 << 30,
                        false,
                        "one object that discovery sends at most; unless it is set, no more than a 32nd of the heap")
                .table("platform", "Notices to the platform")
                .item("answer", Kind.DURATION, "1s", 50, MIN, true, "a post without an answer is given up")
                .item(
                        "least",
                        Kind.DURATION,
                        "60ms",
                        1,
                        10 * S,
                        true,
                        "least time until what an unanswered post carries goes a second time as well")
                .item("most", Kind.DURATION, "250ms", 1, 10 * S, true, "longest such time")
                .item(
                        "pause",
                        Kind.DURATION,
                        "25ms",
                        1,
                        10 * S,
                        true,
                        "first pause after the place has failed; it doubles")
                .item(
                        "urgent_pause",
                        Kind.DURATION,
                        "75ms",
                        1,
                        10 * S,
                        true,
                        "longest such pause while any notice can still be in time")
                .item("most_pause", Kind.DURATION, "1s", 1, 10 * MIN, true, "longest such pause otherwise")
                .item("posts", Kind.COUNT, "8", 2, 256, true, "posts that may be out")
                .table("messages", "Messages that are held")
                .item(
                        "overdue",
                        Kind.DURATION,
                        "150ms",
                        60,
                        MIN,
                        true,
                        "after its time, a message without an end is given up as lost by a fault of ours")
                .table("start", "Starts and new configurations")
                .item(
                        "open",
                        Kind.DURATION,
                        "300ms",
                        0,
                        MIN,
                        false,
                        "clients wait at most for the list that is pushed to a start")
                .item(
                        "reload",
                        Kind.DURATION,
                        "1s",
                        0,
                        MIN,
                        true,
                        "a file that cannot be used is read again after a SIGHUP")
                .table("drain", "The end after SIGTERM")
                .item("accept", Kind.DURATION, "450ms", 0, 10 * MIN, false, "connections are still accepted")
                .item("calls", Kind.DURATION, "2.3s", 0, 60 * MIN, false, "calls are made for what is held")
                .item("end", Kind.DURATION, "3s", 0, 60 * MIN, false, "the process ends at the latest")
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
                .item("hello", Kind.DURATION, "500ms", 20, MIN, false, "pause between hellos")
                .item(
                        "quiet",
                        Kind.DURATION,
                        "3s",
                        100,
                        10 * MIN,
                        false,
                        "a relay that has heard no majority of the voters for so long uses its cut part only")
                .item("delay", Kind.DURATION, "1s", 1, MIN, false, "longest time that a note is under way")
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
                        1 * S,
                        60 * MIN,
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
                .item("skew", Kind.DURATION, "1s", 0, MIN, false, "wall clocks of relays are off by so much at most")
                .item(
                        "first",
                        Kind.FLAG,
                        "false",
                        0,
                        1,
                        false,
                        "true at the very first start of the voters only: their ledger begins empty");
    }

    /** Whether an environment sets any of it. */
    public static boolean given(Map<String, String> env) {
        return env.keySet().stream().anyMatch(k -> k.startsWith(PREFIX) || k.startsWith(FLAG));
    }

    /** Reads all sources; every fault of all of them ends in one exception. */
    public static Values read(Map<String, String> env) {
        if (!given(env)) {
            return Values.NONE;
        }
        Schema schema = schema();
        List<Read> sources = List.of(file(env.get(FILE), schema), variables(env, schema), flags(env, schema));
        List<String> faults = sources.stream()
                .flatMap(r -> r.faults().stream())
                .map(Object::toString)
                .toList();
        if (!faults.isEmpty()) {
            throw new ConfigException(faults);
        }
        Values all = Values.NONE;
        for (Read r : sources) {
            all = all.under(r.values());
        }
        return all;
    }

    /** What changes with other values, a line each: from what to what, and whether a running relay takes it over. */
    static List<String> changes(Values before, Values after) {
        return schema().items().stream()
                .filter(i -> !same(in(before, i), in(after, i)))
                .map(i -> "settings: "
                        + i.path() + " is " + i.write(in(after, i)) + ", was " + i.write(in(before, i))
                        + (i.atReload() ? "" : "; waits for the next start"))
                .toList();
    }

    private static Values.Value in(Values values, Item i) {
        Values.Value set = values.value(i.path());
        return set == null ? i.usually() : set;
    }

    private static boolean same(Values.Value a, Values.Value b) {
        return a.value() == b.value() && a.text().equals(b.text());
    }

    private static Read file(String name, Schema schema) {
        if (name == null || name.isEmpty()) {
            return new Read(Values.NONE, List.of());
        }
        try {
            return Read.toml(name, Files.readAllBytes(Path.of(name)), schema);
        } catch (IOException | InvalidPathException e) {
            throw new ConfigException(FILE, "cannot be read: " + e);
        }
    }

    private static Read variables(Map<String, String> env, Schema schema) {
        Map<String, String> paths = new LinkedHashMap<>();
        for (Item i : schema.items()) {
            paths.put(Read.variable(PREFIX, i.path()), i.path());
        }
        Map<String, String> texts = new LinkedHashMap<>();
        Map<String, String> origins = new LinkedHashMap<>();
        env.forEach((name, text) -> {
            if (name.startsWith(PREFIX) && !name.equals(FILE)) {
                String path = paths.getOrDefault(name, name);
                texts.put(path, text);
                origins.put(path, "variable " + name);
            }
        });
        return Read.texts(texts, origins, schema);
    }

    private static Read flags(Map<String, String> env, Schema schema) {
        Map<String, String> texts = new LinkedHashMap<>();
        Map<String, String> origins = new LinkedHashMap<>();
        env.forEach((name, text) -> {
            if (name.startsWith(FLAG)) {
                texts.put(name.substring(FLAG.length()), text);
                origins.put(name.substring(FLAG.length()), "flag --set");
            }
        });
        return Read.texts(texts, origins, schema);
    }
}
