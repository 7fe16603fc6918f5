package firstair.fleet.residency;

import firstair.control.Controller.Effect;
import firstair.control.Controller.Scope;
import java.util.Collections;
import java.util.Set;
import java.util.TreeSet;

/** Decides what happens to a stored message after the zones of its contract have changed. */
public final class HeldMessagePolicy {
    private HeldMessagePolicy() {}

    /** What to do with the message. */
    public enum Action {
        /** Attempt it in the zones of the decision. */
        GO,
        /** No allowed zone has an available endpoint; the message waits until its deadline at most. */
        WAIT,
        /** It can never be attempted again; reported at once ({@link firstair.fleet.fault.Fault.NoZoneLeft}). */
        GIVE_UP
    }

    /**
     * Decision for a message.
     *
     * @param zones zones in which it may be attempted now, empty unless {@code action} is GO
     */
    public record Decision(Action action, Set<String> zones) {}

    /**
     * A stored message that has not been completed.
     *
     * @param effect    effect of repeating it
     * @param scope     where its key is known, for a keyed message
     * @param inDoubt   whether an attempt of it may have run
     * @param doubtZone zone of that attempt, null if unknown
     */
    public record HeldMessage(Effect effect, Scope scope, boolean inDoubt, String doubtZone) {}

    /**
     * Decides about a message. A message in doubt is repeated only where both the scope of its key and the contract
     * allow it. If the contract allows its zone but this relay may not use it yet, the message waits, because the zone
     * may become allowed again.
     *
     * @param contract  zones of the newest contract
     * @param allowed   zones in which this relay may send now, a subset of {@code contract}
     * @param available zones that have an available endpoint
     */
    public static Decision decide(
            HeldMessage message, Set<String> contract, Set<String> allowed, Set<String> available) {
        if (!message.inDoubt) {
            return sendWithin(allowed, available);
        }
        return switch (message.effect) {
            case UNSAFE -> new Decision(Action.GIVE_UP, Set.of());
            case SAFE -> retry(contract, allowed, available);
            case KEYED ->
                message.scope == Scope.ALL
                        ? retry(contract, allowed, available)
                        : message.doubtZone == null || !contract.contains(message.doubtZone)
                                ? new Decision(Action.GIVE_UP, Set.of())
                                : sendWithin(
                                        allowed.contains(message.doubtZone) ? Set.of(message.doubtZone) : Set.of(),
                                        available);
        };
    }

    private static Decision retry(Set<String> contract, Set<String> allowed, Set<String> available) {
        return contract.isEmpty() ? new Decision(Action.GIVE_UP, Set.of()) : sendWithin(allowed, available);
    }

    private static Decision sendWithin(Set<String> allowed, Set<String> available) {
        Set<String> zones = new TreeSet<>(allowed);
        zones.retainAll(available);
        return zones.isEmpty()
                ? new Decision(Action.WAIT, Set.of())
                : new Decision(Action.GO, Collections.unmodifiableSet(zones));
    }
}
