package firstair.kit.fleet;

/**
 * What goes wrong on the way of one relay to one other.
 *
 * @param loss         share of datagrams that are lost; a piece of a connection comes late instead, as if sent again
 * @param doubled      share of datagrams that come twice
 * @param leastDelayMs everything is under way for so long at least
 * @param mostDelayMs  and for so long at most; datagrams may pass each other, the pieces of a connection don't
 * @param cut          no datagram arrives, and connections stand still
 */
public record Trouble(double loss, double doubled, double leastDelayMs, double mostDelayMs, boolean cut) {
    /** All is well. */
    public static final Trouble NONE = new Trouble(0, 0, 0, 0, false);
    /** Nothing arrives. */
    public static final Trouble CUT = new Trouble(0, 0, 0, 0, true);

    /** Shares lie between 0 and 1, delays are in order. */
    public Trouble {
        if (!(loss >= 0
                && loss <= 1
                && doubled >= 0
                && doubled <= 1
                && leastDelayMs >= 0
                && mostDelayMs >= leastDelayMs)) {
            throw new IllegalArgumentException(
                    "no such trouble: " + loss + ", " + doubled + ", " + leastDelayMs + ", " + mostDelayMs);
        }
    }

    /** Every datagram is under way for a time between the two. */
    public static Trouble delay(double leastMs, double mostMs) {
        return new Trouble(0, 0, leastMs, mostMs, false);
    }

    /** A share of datagrams is lost. */
    public static Trouble loss(double share) {
        return new Trouble(share, 0, 0, 0, false);
    }
}
