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
 * Reads a relay's settings from their paths and values, whichever host they reach. Keys that are not known are
 * passed over. A key that is absent stands for "nothing imposed": 0, false or empty; group size 1; kinds that
 * share one limit and carry one message a call; classes that are safe to repeat.
 */
public final class Facts {
    private Facts() {}

    /** Reads all settings; a value that cannot be read ends in the exception of {@link Fields#bad}. */
    public static Settings read(Fields s) {
        return new Settings(
                Math.max(1, count(s, "groupSize", 1)),
                count(s, "slotNo", 0),
                count(s, "az", 0),
                s.text("discovery", "push").equals("ask"),
                choice(s, "weightKind", "none", "nominal", Weight.NOMINAL, "rough", Weight.ROUGH, Weight.NONE),
                limitsTold(s),
                choice(s, "familyInfo.late", "linear", "halving", LateCurve.HALVING, "", null, LateCurve.LINEAR),
                classes(s),
                kinds(s),
                limits(s),
                rules(s));
    }

    /** Without the keys answers are taken to tell limits. Reports in probes alone tell nothing: nobody probes. */
    private static boolean limitsTold(Fields s) {
        String how = s.text("loadReport.how", "answers");
        if (!List.of("answers", "probe", "none").contains(how)) {
            throw s.bad("loadReport.how", "neither answers nor probe nor none: " + how);
        }
        return how.equals("answers")
                && List.of(s.text("loadReport.names", "x1").split(",")).contains("x1");
    }

    private static List<MessageClass> classes(Fields s) {
        List<MessageClass> all = new ArrayList<>();
        long count = s.whole("classes.count", 0);
        for (int i = 0; i < count; i++) {
            String p = "classes." + i + ".";
            all.add(new MessageClass(
                    s.text(p + "name", String.valueOf(i)),
                    choice(
                            s,
                            p + "semantics",
                            "retryable",
                            "dedup",
                            Effect.KEYED,
                            "fragile",
                            Effect.UNSAFE,
                            Effect.SAFE),
                    choice(s, p + "group", "all", "zone", Scope.ZONE, "", null, Scope.ALL),
                    s.flag(p + "sequential", false),
                    s.flag(p + "streaming", false),
                    s.number(p + "aim", 0),
                    s.number(p + "aimStretch", 0),
                    s.number(p + "deadline", 0),
                    s.number(p + "repeatWindow", 0),
                    s.number(p + "importance", 1),
                    s.number(p + "lateValue", 0)));
        }
        return all;
    }

    private static List<Kind> kinds(Fields s) {
        String[] apart = s.text("familyInfo.kindApart", "").split(",");
        String[] bundle = s.text("familyInfo.bundleMax", "").split(",");
        List<Kind> all = new ArrayList<>();
        for (int i = 0; i < Math.max(apart.length, bundle.length); i++) {
            long most = 1;
            if (i < bundle.length && !bundle[i].isEmpty()) {
                try {
                    most = Long.parseLong(bundle[i]);
                } catch (NumberFormatException e) {
                    throw s.bad("familyInfo.bundleMax", "not a whole number: " + bundle[i]);
                }
            }
            boolean routes = i < apart.length && (apart[i].equals("true") || apart[i].equals("1"));
            all.add(new Kind(routes, Math.max(1, within(most))));
        }
        return all;
    }

    private static Limits limits(Fields s) {
        return new Limits(
                count(s, "familyInfo.maxCalls", 0),
                count(s, "limits.maxOpen", 0),
                count(s, "limits.maxAttempts", 0),
                s.flag("limits.cancelling", false),
                s.flag("limits.probes", false),
                s.flag("limits.peers", false),
                s.flag("limits.retryAfter", false),
                s.number("limits.maxRetryAfter", 0),
                s.flag("limits.mayDuplicate", false),
                count(s, "limits.multiplex", 1),
                s.number("limits.connectTimeout", 0),
                s.number("limits.connIdle", 0));
    }

    private static Rules rules(Fields s) {
        return new Rules(
                s.number("safety.answerSlack", 0),
                s.number("safety.askEvery", 0),
                s.number("safety.drainGrace", 0),
                s.number("safety.startCapacity", 0),
                s.number("safety.warmAfter", 0),
                s.number("safety.fallMultiple", 0),
                s.number("safety.overloadFor", 0),
                s.number("safety.settleAfterDoubt", 0));
    }

    private static int count(Fields s, String name, int absent) {
        return within(s.whole(name, absent));
    }

    /** What counts more than can be counted imposes nothing; cut to its lower bits it would impose anything. */
    private static int within(long whole) {
        return (int) Math.max(Integer.MIN_VALUE, Math.min(Integer.MAX_VALUE, whole));
    }

    private static <T> T choice(Fields s, String name, String absent, String a, T forA, String b, T forB, T other) {
        String v = s.text(name, absent);
        return v.equals(a) ? forA : v.equals(b) ? forB : other;
    }
}
