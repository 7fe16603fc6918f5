package firstair.fleet;

import firstair.fleet.residency.Contract;
import java.util.Map;

/**
 * What a fleet shares in addition to limits.
 *
 * @param retryRatio     retries that a first attempt earns, such as 0.2; 0 leaves retries unlimited
 * @param contracts       contracts of the settings file by tenant, empty if it has none
 * @param contractVersion version of those contracts: 1 for the first, one more with each change
 * @param tenants         whether messages need a tenant even while no contract is known here
 * @param contractTermMs  after this time without confirmation of its contracts a relay applies the strictest it knows
 * @param bookings        whether teams may book capacity
 * @param bookable        fraction of a destination's limit that can be booked
 * @param skewMs          largest error of a wall clock
 */
public record Sharing(
        double retryRatio,
        Map<String, Contract> contracts,
        long contractVersion,
        boolean tenants,
        double contractTermMs,
        boolean bookings,
        double bookable,
        double skewMs) {
    /** Shares limits only. */
    public static final Sharing LIMITS = new Sharing(0, Map.of(), 0, false, 10_000, false, 0, 0);

    /** Whether anything requires agreement among the voters. */
    public boolean needsAgreement() {
        return tenants || bookings;
    }
}
