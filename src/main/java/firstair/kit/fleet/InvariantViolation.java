package firstair.kit.fleet;

import java.util.List;

/** Thrown when an invariant does not hold. */
public final class InvariantViolation extends RuntimeException {
    private static final long serialVersionUID = 1L;
    private final String invariant;
    private final long seed;
    private final double at;

    /**
     * @param description what is wrong
     * @param seed        seed of the history
     * @param at          virtual time, ms
     * @param lastEvents  the last events before it, oldest first
     */
    InvariantViolation(String invariant, String description, long seed, double at, List<String> lastEvents) {
        super(invariant + " broken: " + description + " (seed " + seed + ", at " + at + " ms)\n"
                + String.join("\n", lastEvents));
        this.invariant = invariant;
        this.seed = seed;
        this.at = at;
    }

    /** Name of the violated invariant. */
    public String invariant() {
        return invariant;
    }

    /** Seed of the history. */
    public long seed() {
        return seed;
    }

    /** Virtual time, ms. */
    public double at() {
        return at;
    }
}
