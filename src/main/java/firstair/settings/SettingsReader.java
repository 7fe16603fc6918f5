package firstair.settings;

import firstair.control.Controller.Effect;
import firstair.control.Controller.Kind;
import firstair.control.Controller.LateCurve;
import firstair.control.Controller.Limits;
import firstair.control.Controller.MessageClass;
import firstair.control.Controller.Rules;
import firstair.control.Controller.Scope;
import firstair.control.Controller.Settings;
import firstair.control.Controller.Weight;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads a relay's settings from paths and values, both for the relay and for the simulator's adapter. Unknown keys are
 * ignored. An absent key means that nothing is restricted: 0, false or empty; group size 1; kinds whose endpoints share
 * one limit and that carry one message per call; classes that are safe to repeat.
 */
public final class SettingsReader {
    private SettingsReader() {}

    /** Reads all settings; throws the exception of {@link Fields#invalid} for a value that cannot be parsed. */
    public static Settings read(Fields fields) {
        return new Settings(
                Math.max(1, count(fields, "groupSize", 1)),
                count(fields, "slotNo", 0),
                count(fields, "az", 0),
                fields.text("discovery", "push").equals("ask"),
                choice(fields, "weightKind", "none", "nominal", Weight.NOMINAL, "rough", Weight.ESTIMATED, Weight.NONE),
                responsesReportLimits(fields),
                choice(fields, "familyInfo.late", "linear", "halving", LateCurve.HALVING, "", null, LateCurve.LINEAR),
                classes(fields),
                kinds(fields),
                limits(fields),
                rules(fields));
    }

    /**
     * Whether responses report limits, which is the default. Reports that come only in answers to probes do not count,
     * since the relay sends no probes.
     */
    private static boolean responsesReportLimits(Fields fields) {
        String source = fields.text("loadReport.how", "answers");
        if (!List.of("answers", "probe", "none").contains(source)) {
            throw fields.invalid("loadReport.how", "neither answers nor probe nor none: " + source);
        }
        return source.equals("answers")
                && List.of(fields.text("loadReport.names", "x1").split(",")).contains("x1");
    }

    private static List<MessageClass> classes(Fields fields) {
        List<MessageClass> all = new ArrayList<>();
        long count = fields.whole("classes.count", 0);
        for (int i = 0; i < count; i++) {
            String prefix = "classes." + i + ".";
            all.add(new MessageClass(
                    fields.text(prefix + "name", String.valueOf(i)),
                    choice(
                            fields,
                            prefix + "semantics",
                            "retryable",
                            "dedup",
                            Effect.KEYED,
                            "fragile",
                            Effect.UNSAFE,
                            Effect.SAFE),
                    choice(fields, prefix + "group", "all", "zone", Scope.ZONE, "", null, Scope.ALL),
                    fields.flag(prefix + "sequential", false),
                    fields.flag(prefix + "streaming", false),
                    fields.number(prefix + "aim", 0),
                    fields.number(prefix + "aimStretch", 0),
                    fields.number(prefix + "deadline", 0),
                    fields.number(prefix + "repeatWindow", 0),
                    fields.number(prefix + "importance", 1),
                    fields.number(prefix + "lateValue", 0)));
        }
        return all;
    }

    private static List<Kind> kinds(Fields fields) {
        String[] apartFlags = fields.text("familyInfo.kindApart", "").split(",");
        String[] bundleSizes = fields.text("familyInfo.bundleMax", "").split(",");
        List<Kind> all = new ArrayList<>();
        for (int i = 0; i < Math.max(apartFlags.length, bundleSizes.length); i++) {
            long bundleMax = 1;
            if (i < bundleSizes.length && !bundleSizes[i].isEmpty()) {
                try {
                    bundleMax = Long.parseLong(bundleSizes[i]);
                } catch (NumberFormatException e) {
                    throw fields.invalid("familyInfo.bundleMax", "not a whole number: " + bundleSizes[i]);
                }
            }
            boolean routesApart = i < apartFlags.length && (apartFlags[i].equals("true") || apartFlags[i].equals("1"));
            all.add(new Kind(routesApart, Math.max(1, clampToInt(bundleMax))));
        }
        return all;
    }

    private static Limits limits(Fields fields) {
        return new Limits(
                count(fields, "familyInfo.maxCalls", 0),
                count(fields, "limits.maxOpen", 0),
                count(fields, "limits.maxAttempts", 0),
                fields.flag("limits.cancelling", false),
                fields.flag("limits.probes", false),
                fields.flag("limits.peers", false),
                fields.flag("limits.retryAfter", false),
                fields.number("limits.maxRetryAfter", 0),
                fields.flag("limits.mayDuplicate", false),
                count(fields, "limits.multiplex", 1),
                fields.number("limits.connectTimeout", 0),
                fields.number("limits.connIdle", 0));
    }

    private static Rules rules(Fields fields) {
        return new Rules(
                fields.number("safety.answerSlack", 0),
                fields.number("safety.askEvery", 0),
                fields.number("safety.drainGrace", 0),
                fields.number("safety.startCapacity", 0),
                fields.number("safety.warmAfter", 0),
                fields.number("safety.fallMultiple", 0),
                fields.number("safety.overloadFor", 0),
                fields.number("safety.settleAfterDoubt", 0));
    }

    private static int count(Fields fields, String name, int absent) {
        return clampToInt(fields.whole(name, absent));
    }

    /** Clamps to the int range: a value too large restricts nothing, but its lower 32 bits could mean any limit. */
    private static int clampToInt(long value) {
        return (int) Math.max(Integer.MIN_VALUE, Math.min(Integer.MAX_VALUE, value));
    }

    /** Maps the value of a setting to a result: two values to one of their own each, any other to the fallback. */
    private static <T> T choice(
            Fields fields, String name, String absent, String valueA, T resultA, String valueB, T resultB, T fallback) {
        String value = fields.text(name, absent);
        return value.equals(valueA) ? resultA : value.equals(valueB) ? resultB : fallback;
    }
}
