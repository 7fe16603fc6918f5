package firstair.settings;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Rejects settings that can be parsed but that no relay can work with. Nothing else is rejected: missing settings, or
 * values that make little sense together, are accepted, since a relay that does not start serves nobody. Used by the
 * relay only; the simulator generates its own settings.
 */
public final class SettingsValidator {
    private static final List<String> NON_NEGATIVE = List.of(
            "quantum",
            "limits.connectTimeout",
            "limits.connIdle",
            "limits.maxRetryAfter",
            "safety.answerSlack",
            "safety.askEvery",
            "safety.drainGrace",
            "safety.startCapacity",
            "safety.warmAfter",
            "safety.fallMultiple",
            "safety.overloadFor",
            "safety.settleAfterDoubt");
    private static final List<String> NON_NEGATIVE_PER_CLASS =
            List.of("aim", "aimStretch", "deadline", "repeatWindow", "importance", "lateValue");
    private static final List<String> SEMANTICS = List.of("retryable", "dedup", "fragile");
    private static final List<String> GROUPS = List.of("", "all", "zone", "cell"); // "cell" means a single destination

    private SettingsValidator() {}

    /** Throws the exception of {@link Fields#invalid} for the first contradiction found. */
    public static void validate(Fields fields) {
        NON_NEGATIVE.forEach(name -> requireNonNegative(fields, name));
        Set<String> names = new HashSet<>();
        long count = fields.whole("classes.count", 0);
        for (int i = 0; i < count; i++) {
            String prefix = "classes." + i + ".";
            String name = fields.text(prefix + "name", String.valueOf(i));
            if (!names.add(name)) {
                throw fields.invalid(prefix + "name", "duplicate name: " + name);
            }
            NON_NEGATIVE_PER_CLASS.forEach(field -> requireNonNegative(fields, prefix + field));
            if (fields.has(prefix + "deadline") && fields.number(prefix + "deadline") == 0) {
                throw fields.invalid(prefix + "deadline", "must be greater than 0: 0");
            }
            // Falling back to a default here could run a message twice that must not run twice.
            String semantics = fields.text(prefix + "semantics", "retryable");
            if (!SEMANTICS.contains(semantics)) {
                throw fields.invalid(prefix + "semantics", "neither retryable nor dedup nor fragile: " + semantics);
            }
            if (semantics.equals("dedup")) {
                if (!GROUPS.contains(fields.text(prefix + "group", "all"))) {
                    throw fields.invalid(
                            prefix + "group", "neither all nor zone nor cell: " + fields.text(prefix + "group"));
                }
                if (!(fields.number(prefix + "repeatWindow", 0) > 0)) {
                    throw fields.invalid(prefix + "repeatWindow", "dedup requires a repeat window greater than 0");
                }
            }
        }
    }

    private static void requireNonNegative(Fields fields, String name) {
        if (fields.has(name) && fields.number(name) < 0) {
            throw fields.invalid(name, "must not be negative: " + fields.text(name));
        }
    }
}
