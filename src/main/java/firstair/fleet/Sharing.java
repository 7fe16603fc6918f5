package firstair.fleet;

import firstair.fleet.residency.Contract;
import java.util.Map;

/**
 * What a fleet shares beside limits.
 *
 * @param repeatsEach     repeats that a first try earns, such as 0.2; 0 leaves repeats unbounded
 * @param contracts       contracts of the settings file by tenant, empty if it has none
 * @param contractVersion version of those contracts: 1 for the first, then one more with each change
 * @param tenants         whether messages need a tenant even while no contract is known here
 * @param contractTermMs  a relay that could not confirm its contracts for so long keeps to the strictest that it knows
 * @param bookings        whether teams may book capacity
 * @param bookable        share of a destination's limit that can be booked
 * @param skewMs          wall clocks are off by so much at most
 */
public record Sharing(
        double repeatsEach,
        Map<String, Contract> contracts,
        long contractVersion,
        boolean tenants,
        double contractTermMs,
        boolean bookings,
        double bookable,
        double skewMs) {
    /** Limits only. */
    public static final Sharing LIMITS = new Sharing(0, Map.of(), 0, false, 10_000, false, 0, 0);

    /** Whether anything has to be agreed on. */
    public boolean agrees() {
        return tenants || bookings;
    }
}
