package firstair.fleet.residency;

import firstair.control.Controller.Effect;
import firstair.control.Controller.Scope;
import java.util.Collections;
import java.util.Set;
import java.util.TreeSet;

/** What becomes of a held message when the zones of its contract are not what they were. */
public final class Parting {
    private Parting() {}

    /** What to do with it. */
    public enum Way {
        /** It may be tried in the zones told. */
        GO,
        /** No zone it may be tried in has an endpoint now; it is tried nowhere else and ends when its time is over. */
        WAIT,
        /** It can never be tried again, which is said at once ({@link firstair.fleet.fault.Fault.NoZoneLeft}). */
        GIVE_UP
    }

    /**
     * What becomes of a message.
     *
     * @param zones where it may be tried now, empty unless {@code way} is GO
     */
    public record Answer(Way way, Set<String> zones) {}

    /**
     * A message that is held.
     *
     * @param effect    what a repeat does
     * @param scope     where its key is known, for one with a key
     * @param inDoubt   whether a try of it may have run
     * @param doubtZone zone of that try, null if it is not known
     */
    public record Held(Effect effect, Scope scope, boolean inDoubt, String doubtZone) {}

    /**
     * Decides. One in doubt is repeated only where its key's scope and the contract both allow it. Where it is this
     * relay's caution alone that leaves out its zone, and not the contract, the message waits: the zone may come back.
     *
     * @param contract zones of the newest contract
     * @param allowed  zones in which this relay may send now, never more than {@code contract}
     * @param open     zones that have an endpoint to be tried now
     */
    public static Answer decide(Held m, Set<String> contract, Set<String> allowed, Set<String> open) {
        if (!m.inDoubt) {
            return among(allowed, open);
        }
        return switch (m.effect) {
            case UNSAFE -> new Answer(Way.GIVE_UP, Set.of());
            case SAFE -> repeated(contract, allowed, open);
            case KEYED ->
                m.scope == Scope.ALL
                        ? repeated(contract, allowed, open)
                        : m.doubtZone == null || !contract.contains(m.doubtZone)
                                ? new Answer(Way.GIVE_UP, Set.of())
                                : among(allowed.contains(m.doubtZone) ? Set.of(m.doubtZone) : Set.of(), open);
        };
    }

    private static Answer repeated(Set<String> contract, Set<String> allowed, Set<String> open) {
        return contract.isEmpty() ? new Answer(Way.GIVE_UP, Set.of()) : among(allowed, open);
    }

    private static Answer among(Set<String> allowed, Set<String> open) {
        Set<String> both = new TreeSet<>(allowed);
        both.retainAll(open);
        return both.isEmpty() ? new Answer(Way.WAIT, Set.of()) : new Answer(Way.GO, Collections.unmodifiableSet(both));
    }
}
