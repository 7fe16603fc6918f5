package firstair.cli;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import firstair.relay.ConfigException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Turns a configuration that leaves the shape of its deployment to be taken for granted into one that says it. What
 * the file says stays as it is; what it leaves out is written as a relay reads it today. No I/O.
 */
final class Migration {
    /** What a relay of the new shape goes by and no old file can hold; the reason stands beside each. */
    private static final String[][] NOT_HELD = {
        {"accounts", "shares and quotas of accounts are the operator's to add; a relay needs none to serve"},
        {"overShareWorth", "goes with the accounts"},
        {"familyInfo.refusedPrice", "the platform sets it; a relay does not read it"}
    };

    private static final Set<String> TOP = Set.of("name", "listen", "discovery", "seed", "limits", "known", "settings");
    private static final Set<String> SETTINGS = Set.of(
            "groupSize",
            "classes",
            "clients",
            "discovery",
            "kindOfService",
            "familyInfo",
            "scoringMix",
            "shapes",
            "limits",
            "slotNo",
            "overShareWorth",
            "prices",
            "loadReport",
            "safety",
            "accounts",
            "quantum",
            "tier",
            "tiers",
            "weightKind",
            "worthBy",
            "az",
            "azs");

    private final JsonObject root;
    private final List<String> changes = new ArrayList<>();
    private final List<String> open = new ArrayList<>();

    /** What the operator says of the new deployment; null leaves the file's own, or today's usual, value. */
    record Shape(String reports, String weights, Double drainGraceMs) {}

    /** Reads an old configuration; it is not changed itself. */
    Migration(JsonObject old, Shape shape) {
        root = old.deepCopy();
        JsonObject settings = root.getAsJsonObject("settings");
        JsonObject report = child(settings, "loadReport");
        put(report, "settings.loadReport.", "how", shape.reports(), "answers");
        if (!report.has("names")) {
            JsonArray names = new JsonArray();
            if (!report.get("how").getAsString().equals("none")) {
                names.add("x0");
                names.add("x1");
            }
            report.add("names", names);
            changes.add("settings.loadReport.names = " + names);
        }
        put(settings, "settings.", "weightKind", shape.weights(), "none");
        JsonElement classes = settings.get("classes");
        for (int i = 0;
                classes != null
                        && classes.isJsonArray()
                        && i < classes.getAsJsonArray().size();
                i++) {
            put(
                    object("classes." + i, classes.getAsJsonArray().get(i)),
                    "settings.classes." + i + ".",
                    "semantics",
                    null,
                    "retryable");
        }
        if (shape.drainGraceMs() != null) {
            JsonObject safety = child(settings, "safety");
            JsonElement before = safety.get("drainGrace");
            if (before == null || before.getAsDouble() != shape.drainGraceMs()) {
                safety.addProperty("drainGrace", shape.drainGraceMs());
                changes.add("settings.safety.drainGrace = " + shape.drainGraceMs());
            }
        }
        if (report.get("how").getAsString().equals("none")
                && settings.get("weightKind").getAsString().equals("none")) {
            open.add("settings.weightKind: neither reports nor weights tell a limit; refusals alone will");
        }
        for (String[] one : NOT_HELD) {
            if (!has(settings, one[0])) {
                open.add("settings." + one[0] + ": " + one[1]);
            }
        }
        unknown(root, "", TOP);
        unknown(settings, "settings.", SETTINGS);
    }

    /** The configuration for the new shape. */
    JsonObject migrated() {
        return root;
    }

    /** What was written that the old file left out or had otherwise, a line each. */
    List<String> changes() {
        return changes;
    }

    /** What could not be carried over or is not known, a line each. */
    List<String> open() {
        return open;
    }

    private void put(JsonObject at, String path, String name, String told, String usual) {
        JsonElement before = at.get(name);
        String value = told != null ? told : before != null ? before.getAsString() : usual;
        if (before == null || !before.getAsString().equals(value)) {
            at.addProperty(name, value);
            changes.add(path + name + " = " + value);
        }
    }

    private static JsonObject child(JsonObject at, String name) {
        if (!at.has(name)) {
            at.add(name, new JsonObject());
        }
        return object(name, at.get(name));
    }

    private static JsonObject object(String path, JsonElement e) {
        if (!e.isJsonObject()) {
            throw new ConfigException("settings." + path, "not an object");
        }
        return e.getAsJsonObject();
    }

    private static boolean has(JsonObject at, String path) {
        int dot = path.indexOf('.');
        return dot < 0
                ? at.has(path)
                : at.has(path.substring(0, dot))
                        && at.getAsJsonObject(path.substring(0, dot)).has(path.substring(dot + 1));
    }

    private void unknown(JsonObject at, String path, Set<String> known) {
        at.keySet().stream()
                .filter(k -> !known.contains(k))
                .forEach(k -> open.add(path + k + ": not known here; kept as it is"));
    }
}
