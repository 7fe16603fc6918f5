package firstair.cli;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import firstair.relay.ConfigException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Migrates a configuration that leaves properties of its deployment implicit to one that states them. Fields that the
 * file sets keep their values; missing ones get the default that a relay uses today. Does no I/O.
 */
final class Migration {
    /** Settings of the new form that cannot be derived from an old file, each with the reason. */
    private static final String[][] NOT_DERIVABLE = {
        {"accounts", "shares and quotas of accounts are the operator's to add; a relay needs none to serve"},
        {"overShareWorth", "goes with the accounts"},
        {"familyInfo.refusedPrice", "the platform sets it; a relay does not read it"}
    };

    private static final Set<String> TOP_LEVEL_FIELDS =
            Set.of("name", "listen", "discovery", "seed", "limits", "known", "settings");
    private static final Set<String> SETTINGS_FIELDS = Set.of(
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
    private final List<String> notCarriedOver = new ArrayList<>();

    /** The operator's options for the new deployment; null keeps the file's value, or sets the default. */
    record TargetOptions(String reports, String weights, Double drainGraceMs) {}

    /**
     * Migrates a copy of the old configuration.
     *
     * @throws ConfigException if a field that the migration reads is not an object
     */
    Migration(JsonObject old, TargetOptions options) {
        root = old.deepCopy();
        JsonObject settings = root.getAsJsonObject("settings");
        JsonObject report = childObject(settings, "loadReport");
        set(report, "settings.loadReport.", "how", options.reports(), "answers");
        if (!report.has("names")) {
            JsonArray names = new JsonArray();
            if (!report.get("how").getAsString().equals("none")) {
                names.add("x0");
                names.add("x1");
            }
            report.add("names", names);
            changes.add("settings.loadReport.names = " + names);
        }
        set(settings, "settings.", "weightKind", options.weights(), "none");
        JsonElement classes = settings.get("classes");
        for (int i = 0;
                classes != null
                        && classes.isJsonArray()
                        && i < classes.getAsJsonArray().size();
                i++) {
            set(
                    asObject("classes." + i, classes.getAsJsonArray().get(i)),
                    "settings.classes." + i + ".",
                    "semantics",
                    null,
                    "retryable");
        }
        if (options.drainGraceMs() != null) {
            JsonObject safety = childObject(settings, "safety");
            JsonElement previous = safety.get("drainGrace");
            if (previous == null || previous.getAsDouble() != options.drainGraceMs()) {
                safety.addProperty("drainGrace", options.drainGraceMs());
                changes.add("settings.safety.drainGrace = " + options.drainGraceMs());
            }
        }
        if (report.get("how").getAsString().equals("none")
                && settings.get("weightKind").getAsString().equals("none")) {
            notCarriedOver.add("settings.weightKind: neither reports nor weights tell a limit; refusals alone will");
        }
        for (String[] setting : NOT_DERIVABLE) {
            if (!has(settings, setting[0])) {
                notCarriedOver.add("settings." + setting[0] + ": " + setting[1]);
            }
        }
        reportUnknownFields(root, "", TOP_LEVEL_FIELDS);
        reportUnknownFields(settings, "settings.", SETTINGS_FIELDS);
    }

    /** The configuration in the new form. */
    JsonObject migrated() {
        return root;
    }

    /** Fields that were added or changed, a line each. */
    List<String> changes() {
        return changes;
    }

    /** Settings that could not be derived and fields that are not known, a line each. */
    List<String> notCarriedOver() {
        return notCarriedOver;
    }

    private void set(JsonObject parent, String path, String name, String option, String defaultValue) {
        JsonElement previous = parent.get(name);
        String value = option != null ? option : previous != null ? previous.getAsString() : defaultValue;
        if (previous == null || !previous.getAsString().equals(value)) {
            parent.addProperty(name, value);
            changes.add(path + name + " = " + value);
        }
    }

    private static JsonObject childObject(JsonObject parent, String name) {
        if (!parent.has(name)) {
            parent.add(name, new JsonObject());
        }
        return asObject(name, parent.get(name));
    }

    private static JsonObject asObject(String path, JsonElement element) {
        if (!element.isJsonObject()) {
            throw new ConfigException("settings." + path, "not an object");
        }
        return element.getAsJsonObject();
    }

    private static boolean has(JsonObject parent, String path) {
        int dot = path.indexOf('.');
        return dot < 0
                ? parent.has(path)
                : parent.has(path.substring(0, dot))
                        && parent.getAsJsonObject(path.substring(0, dot)).has(path.substring(dot + 1));
    }

    private void reportUnknownFields(JsonObject object, String path, Set<String> known) {
        object.keySet().stream()
                .filter(field -> !known.contains(field))
                .forEach(field -> notCarriedOver.add(path + field + ": not known here; kept as it is"));
    }
}
