package firstair.fleet;

import java.util.List;

/**
 * The configuration of a fleet, identical at all relays except for {@code self} and {@code zone}.
 *
 * @param fleet   name of the fleet
 * @param self    our name, one of {@code members}
 * @param zone    our zone
 * @param members names of all relays, in the same order everywhere
 * @param voters  3 or 5 of the members, which agree on contracts and bookings and grant leases
 * @param helloMs pause between hellos
 * @param quietMs term of a lease: a relay that has not reached a majority of the voters for so long uses only its
 *                guaranteed parts
 * @param delayMs longest time that a note may be in transit and still count
 * @param drift   largest relative error of a clock's rate
 * @param cut     fraction of its equal share that is guaranteed to a relay, also while it is isolated
 */
public record Setup(
        String fleet,
        String self,
        String zone,
        List<String> members,
        List<String> voters,
        double helloMs,
        double quietMs,
        double delayMs,
        double drift,
        double cut) {
    /** The parts of a whole budget; parts are integers, so that sums are exact. */
    public static final int WHOLE = 1_000_000;

    /** The number of voters that form a majority. */
    public int majority() {
        return voters.size() / 2 + 1;
    }

    /** The equal share of one relay in a budget, in parts. */
    public int equalParts() {
        return WHOLE / members.size();
    }

    /** The parts of a budget that a relay may always use, whatever notes arrive. */
    public int guaranteedParts() {
        return (int) (equalParts() * cut);
    }
}
