package firstair.kit.fleet;

/**
 * Faults of the link from one relay to another.
 *
 * @param loss       share of datagrams that are lost; data of a connection is delayed instead, as if retransmitted
 * @param duplicated share of datagrams that are delivered twice
 * @param minDelayMs shortest delay
 * @param maxDelayMs longest delay; delays can reorder datagrams, but not the data of a connection
 * @param cut        whether datagrams are lost and connections stall
 */
public record LinkFaults(double loss, double duplicated, double minDelayMs, double maxDelayMs, boolean cut) {
    /** No faults. */
    public static final LinkFaults NONE = new LinkFaults(0, 0, 0, 0, false);
    /** All datagrams are lost and all connections stall. */
    public static final LinkFaults CUT = new LinkFaults(0, 0, 0, 0, true);

    /** Checks that shares lie between 0 and 1 and that delays are in order. */
    public LinkFaults {
        if (!(loss >= 0
                && loss <= 1
                && duplicated >= 0
                && duplicated <= 1
                && minDelayMs >= 0
                && maxDelayMs >= minDelayMs)) {
            throw new IllegalArgumentException(
                    "invalid faults of a link: " + loss + ", " + duplicated + ", " + minDelayMs + ", " + maxDelayMs);
        }
    }

    /** Delays everything by a random time between the two, ms. */
    public static LinkFaults delay(double minMs, double maxMs) {
        return new LinkFaults(0, 0, minMs, maxMs, false);
    }

    /** Loses a share of the datagrams, 0 to 1. */
    public static LinkFaults loss(double share) {
        return new LinkFaults(share, 0, 0, 0, false);
    }
}
