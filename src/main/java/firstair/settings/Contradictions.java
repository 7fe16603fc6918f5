package firstair.settings;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * What no relay can serve by, though each value can be read. Only that: a deployment that tells less than others, or
 * figures that make little sense beside each other, is served all the same, since a relay that does not start serves
 * nobody. Of the relay alone; the simulator's settings come from its own hand.
 */
public final class Contradictions {
    private static final List<String> TIMES = List.of(
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
    private static final List<String> OF_CLASSES =
            List.of("aim", "aimStretch", "deadline", "repeatWindow", "importance", "lateValue");
    private static final List<String> EFFECTS = List.of("retryable", "dedup", "fragile");
    private static final List<String> GROUPS = List.of("", "all", "zone", "cell"); // a cell is a destination here

    private Contradictions() {}

    /** Ends in the exception of {@link Fields#bad} at the first one. */
    public static void refuse(Fields s) {
        TIMES.forEach(name -> notNegative(s, name));
        Set<String> names = new HashSet<>();
        long count = s.whole("classes.count", 0);
        for (int i = 0; i < count; i++) {
            String p = "classes." + i + ".";
            String name = s.text(p + "name", String.valueOf(i));
            if (!names.add(name)) {
                throw s.bad(p + "name", "named twice: " + name);
            }
            OF_CLASSES.forEach(field -> notNegative(s, p + field));
            if (s.has(p + "deadline") && s.number(p + "deadline") == 0) {
                throw s.bad(p + "deadline", "no time to deliver in: 0");
            }
            // Read as another effect, what must not run twice would run twice.
            String effect = s.text(p + "semantics", "retryable");
            if (!EFFECTS.contains(effect)) {
                throw s.bad(p + "semantics", "neither retryable nor dedup nor fragile: " + effect);
            }
            if (effect.equals("dedup")) {
                if (!GROUPS.contains(s.text(p + "group", "all"))) {
                    throw s.bad(p + "group", "neither all nor zone nor cell: " + s.text(p + "group"));
                }
                if (!(s.number(p + "repeatWindow", 0) > 0)) {
                    throw s.bad(p + "repeatWindow", "dedup needs a time for which repeats are dropped");
                }
            }
        }
    }

    private static void notNegative(Fields s, String name) {
        if (s.has(name) && s.number(name) < 0) {
            throw s.bad(name, "less than 0: " + s.text(name));
        }
    }
}
