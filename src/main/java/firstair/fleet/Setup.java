package firstair.fleet;

import java.util.List;

/**
 * What a relay is told of its fleet; all relays are told the same but for {@code self} and {@code zone}.
 *
 * @param fleet   name of the fleet
 * @param self    our name, one of {@code members}
 * @param zone    our zone
 * @param members names of all relays, in the same order everywhere
 * @param voters  3 or 5 of them, who agree on contracts and bookings and grant standings
 * @param helloMs pause between hellos
 * @param quietMs a relay that has heard no majority of the voters for so long uses its cut part only
 * @param delayMs longest time that a note may be under way and still count
 * @param drift   clocks run faster or slower by this share at most
 * @param cut     share of its even part that a relay uses where it hears nobody
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
    /** A whole budget in parts; parts are whole numbers, so that sums are exact. */
    public static final int WHOLE = 1_000_000;

    /** How many voters are a majority. */
    public int majority() {
        return voters.size() / 2 + 1;
    }

    /** The even part of a budget, parts. */
    public int even() {
        return WHOLE / members.size();
    }

    /** What a relay may use of a budget whatever it hears, parts. */
    public int sure() {
        return (int) (even() * cut);
    }
}
