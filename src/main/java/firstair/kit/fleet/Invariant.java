package firstair.kit.fleet;

/** A condition on a whole fleet that is checked after every event. */
public interface Invariant {
    /** Short name for reports. */
    String name();

    /** Describes the current violation, null if there is none; called after every event. */
    String check(SimulatedFleet fleet);
}
