package firstair.fleet.residency;

import firstair.fleet.Setup;
import firstair.fleet.fault.Fault;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Decides whether a tenant's message may be stored on this relay, and where it may be sent. Times are milliseconds on
 * the relay's own clock. This class sees no content, key or id of a message; budgets carry the tenant's name, and only
 * that name is disclosed to other relays.
 */
public final class Residency {
    private static final double MAX_WAIT_MS = 60_000; // reported to clients whose tenant has no share of its quota here

    /** Token bucket for this relay's share of a tenant's quota. */
    private static final class QuotaBucket {
        private double tokens; // calls that may be admitted now
        private double refilledAt; // time of the last refill
        private int leasedParts; // share until leaseUntil, millionths
        private double leaseUntil = Double.NEGATIVE_INFINITY;
        private int guaranteedParts; // share after the lease, millionths

        private QuotaBucket(double refilledAt, int guaranteedParts) {
            this.refilledAt = refilledAt;
            this.guaranteedParts = guaranteedParts;
        }

        private int parts(double now) {
            return now < leaseUntil ? leasedParts : guaranteedParts;
        }

        private void refill(double now, double quota, double burstMs) {
            // an expired lease earns nothing after its end
            double leaseEnd = Math.min(Math.max(refilledAt, leaseUntil), now);
            addTokens(leaseEnd - refilledAt, quota * leasedParts / Setup.WHOLE, burstMs);
            addTokens(now - leaseEnd, quota * guaranteedParts / Setup.WHOLE, burstMs);
            refilledAt = Math.max(refilledAt, now);
        }

        private void addTokens(double ms, double rate, double burstMs) {
            if (ms > 0) {
                tokens = Math.min(tokens + rate * ms / 1000, Math.max(1, rate * burstMs / 1000));
            }
        }
    }

    private final Setup setup;
    private final Contracts contracts;
    private final double burstMs;
    private final Map<String, QuotaBucket> buckets = new TreeMap<>();
    private double newBucketsFrom; // new buckets are filled from this time on

    /**
     * Creates the state of a relay that starts.
     *
     * @param burstMs burst size: the time for which unused quota accumulates
     */
    public Residency(Setup setup, Contracts contracts, double now, double burstMs) {
        this.setup = setup;
        this.contracts = contracts;
        this.burstMs = burstMs;
        this.newBucketsFrom = now;
    }

    /** Name of the budget that distributes a tenant's quota. */
    public static String budget(String tenant) {
        return "t:" + tenant;
    }

    /** Whether any contracts are in force. */
    public boolean inForce() {
        return contracts.inForce();
    }

    /**
     * Admits a message before any of it is stored, and counts it against the tenant's quota.
     *
     * @param tenant null if the client named none
     * @return the zones in which it may be sent now; empty if no contracts are in force
     * @throws Fault.MissingTenant   if contracts are in force and the client named no tenant
     * @throws Fault.UnknownTenant   if the tenant has no contract
     * @throws Fault.OutsideContract if this relay may not store the message
     * @throws Fault.TenantQuota     if the tenant is over its quota, with the time to wait
     */
    public Optional<Set<String>> admit(double now, String tenant, String messageClass) {
        if (!contracts.inForce()) {
            return Optional.empty();
        }
        if (tenant == null || tenant.isBlank()) {
            throw new Fault.MissingTenant();
        }
        if (!contracts.hasContract(tenant)) {
            throw new Fault.UnknownTenant(tenant);
        }
        Set<String> zones = contracts.zones(now, tenant, messageClass);
        if (!zones.contains(setup.zone())) {
            throw new Fault.OutsideContract(
                    tenant,
                    setup.zone(),
                    zones.isEmpty() ? "no zone yet: the contract waits to be confirmed" : String.join(", ", zones));
        }
        takeFromQuota(now, tenant);
        return Optional.of(zones);
    }

    /**
     * The zones in which a stored message may be sent now; an empty set means nowhere. Absent if nothing is restricted:
     * no contracts are in force, or the message was admitted without a tenant before they were.
     */
    public Optional<Set<String>> zones(double now, String tenant, String messageClass) {
        return tenant == null || !contracts.inForce()
                ? Optional.empty()
                : Optional.of(contracts.zones(now, tenant, messageClass));
    }

    /**
     * Decides about a stored message; only to be called if {@link #zones} is present.
     *
     * @param available zones that have an available endpoint
     * @throws Fault.NoZoneLeft if the message must be given up at once
     */
    public HeldMessagePolicy.Decision decideHeld(
            double now,
            String tenant,
            String messageClass,
            HeldMessagePolicy.HeldMessage message,
            Set<String> available) {
        HeldMessagePolicy.Decision decision = HeldMessagePolicy.decide(
                message, contracts.newest(tenant, messageClass), contracts.zones(now, tenant, messageClass), available);
        if (decision.action() == HeldMessagePolicy.Action.GIVE_UP) {
            throw new Fault.NoZoneLeft(tenant);
        }
        return decision;
    }

    /**
     * Sets this relay's share of a tenant's quota.
     *
     * @param parts share until {@code until}, millionths
     * @param until end of the lease of {@code parts}
     * @param sure  guaranteed share after that, millionths
     */
    public void setQuotaShare(double now, String tenant, int parts, double until, int sure) {
        if (contracts.hasContract(tenant)) {
            QuotaBucket bucket = bucket(now, tenant);
            bucket.refill(now, contracts.quota(tenant), burstMs);
            bucket.leasedParts = Math.max(0, Math.min(Setup.WHOLE, parts));
            bucket.leaseUntil = until;
            bucket.guaranteedParts = Math.max(0, Math.min(Setup.WHOLE, sure));
        }
    }

    private void takeFromQuota(double now, String tenant) {
        double quota = contracts.quota(tenant);
        if (quota == 0) {
            return;
        }
        QuotaBucket bucket = bucket(now, tenant);
        bucket.refill(now, quota, burstMs);
        if (bucket.tokens < 1) {
            double rate = quota * bucket.parts(now) / Setup.WHOLE;
            throw new Fault.TenantQuota(tenant, Math.min(MAX_WAIT_MS, (1 - bucket.tokens) * 1000 / rate));
        }
        bucket.tokens -= 1;
    }

    /** Finds or creates a bucket. Drops buckets of tenants without a contract; a tenant that returns starts empty. */
    private QuotaBucket bucket(double now, String tenant) {
        if (!buckets.containsKey(tenant) && buckets.keySet().removeIf(name -> !contracts.hasContract(name))) {
            newBucketsFrom = now;
        }
        return buckets.computeIfAbsent(tenant, name -> new QuotaBucket(newBucketsFrom, setup.guaranteedParts()));
    }
}
