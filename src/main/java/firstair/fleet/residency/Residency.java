package firstair.fleet.residency;

import firstair.fleet.Setup;
import firstair.fleet.fault.Fault;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Whether a tenant's message may be kept here, and where it may be sent. Times are milliseconds on the relay's own
 * clock. Nothing here knows a message's content, key or id; budgets bear the tenant's name, which is all that others
 * are told.
 */
public final class Residency {
    private static final double LONGEST_WAIT_MS = 60_000; // told to clients whose tenant has no part here at all

    /** What is left of a tenant's quota here. */
    private static final class Purse {
        private double calls; // that may be taken now
        private double at; // reckoned up to then
        private int parts; // until the next moment
        private double until = Double.NEGATIVE_INFINITY;
        private int sure; // afterwards

        private Purse(double at, int sure) {
            this.at = at;
            this.sure = sure;
        }

        private int parts(double now) {
            return now < until ? parts : sure;
        }

        private void reckon(double now, double quota, double burstMs) {
            double middle = Math.min(Math.max(at, until), now); // a lease that ended earns nothing after its end
            earn(middle - at, quota * parts / Setup.WHOLE, burstMs);
            earn(now - middle, quota * sure / Setup.WHOLE, burstMs);
            at = Math.max(at, now);
        }

        private void earn(double ms, double rate, double burstMs) {
            if (ms > 0) {
                calls = Math.min(calls + rate * ms / 1000, Math.max(1, rate * burstMs / 1000));
            }
        }
    }

    private final Setup setup;
    private final Contracts contracts;
    private final double burstMs;
    private final Map<String, Purse> purses = new TreeMap<>();
    private double emptyFrom; // purses that are new have earned since then

    /**
     * A relay that starts.
     *
     * @param burstMs how much time's worth of a quota may be used at once
     */
    public Residency(Setup setup, Contracts contracts, double now, double burstMs) {
        this.setup = setup;
        this.contracts = contracts;
        this.burstMs = burstMs;
        this.emptyFrom = now;
    }

    /** Name of the budget that shares out a tenant's quota. */
    public static String budget(String tenant) {
        return "t:" + tenant;
    }

    /** Whether any contracts are in force. */
    public boolean inForce() {
        return contracts.inForce();
    }

    /**
     * Takes a message on, before anything of it is stored, and counts it against the tenant's quota.
     *
     * @param tenant null if the client named none
     * @return the zones in which it may be sent now; nothing where no contracts are in force
     * @throws Fault.MissingTenant   where contracts are in force and none is named
     * @throws Fault.UnknownTenant   where no contract names it
     * @throws Fault.OutsideContract where this relay may not store it
     * @throws Fault.TenantQuota     over quota, with a wait
     */
    public Optional<Set<String>> admit(double now, String tenant, String messageClass) {
        if (!contracts.inForce()) {
            return Optional.empty();
        }
        if (tenant == null || tenant.isBlank()) {
            throw new Fault.MissingTenant();
        }
        if (!contracts.names(tenant)) {
            throw new Fault.UnknownTenant(tenant);
        }
        Set<String> zones = contracts.zones(now, tenant, messageClass);
        if (!zones.contains(setup.zone())) {
            throw new Fault.OutsideContract(
                    tenant,
                    setup.zone(),
                    zones.isEmpty() ? "no zone yet: the contract waits to be confirmed" : String.join(", ", zones));
        }
        take(now, tenant);
        return Optional.of(zones);
    }

    /**
     * The zones in which a held message may be sent now; empty set: nowhere. Nothing where none are imposed: no
     * contracts are in force, or the message was taken on without a tenant before they were.
     */
    public Optional<Set<String>> zones(double now, String tenant, String messageClass) {
        return tenant == null || !contracts.inForce()
                ? Optional.empty()
                : Optional.of(contracts.zones(now, tenant, messageClass));
    }

    /**
     * What becomes of a held message; only where {@link #zones} gives some.
     *
     * @param open zones that have an endpoint to be tried now
     * @throws Fault.NoZoneLeft if it is to be given up at once
     */
    public Parting.Answer held(double now, String tenant, String messageClass, Parting.Held m, Set<String> open) {
        Parting.Answer answer = Parting.decide(
                m, contracts.newest(tenant, messageClass), contracts.zones(now, tenant, messageClass), open);
        if (answer.way() == Parting.Way.GIVE_UP) {
            throw new Fault.NoZoneLeft(tenant);
        }
        return answer;
    }

    /**
     * Our part of a tenant's quota.
     *
     * @param parts millionths, until {@code until}
     * @param sure  millionths afterwards, until told otherwise
     */
    public void part(double now, String tenant, int parts, double until, int sure) {
        if (contracts.names(tenant)) {
            Purse p = purse(now, tenant);
            p.reckon(now, contracts.quota(tenant), burstMs);
            p.parts = Math.max(0, Math.min(Setup.WHOLE, parts));
            p.until = until;
            p.sure = Math.max(0, Math.min(Setup.WHOLE, sure));
        }
    }

    private void take(double now, String tenant) {
        double quota = contracts.quota(tenant);
        if (quota == 0) {
            return;
        }
        Purse p = purse(now, tenant);
        p.reckon(now, quota, burstMs);
        if (p.calls < 1) {
            double rate = quota * p.parts(now) / Setup.WHOLE;
            throw new Fault.TenantQuota(tenant, Math.min(LONGEST_WAIT_MS, (1 - p.calls) * 1000 / rate));
        }
        p.calls -= 1;
    }

    /** Purses of tenants that have no contract any more are dropped; one that comes back starts empty. */
    private Purse purse(double now, String tenant) {
        if (!purses.containsKey(tenant) && purses.keySet().removeIf(name -> !contracts.names(name))) {
            emptyFrom = now;
        }
        return purses.computeIfAbsent(tenant, name -> new Purse(emptyFrom, setup.sure()));
    }
}
