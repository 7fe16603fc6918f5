package firstair.kit.fleet;

import firstair.fleet.Terms;
import firstair.fleet.fault.Fault;
import firstair.fleet.residency.Contract;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongFunction;

/**
 * Messages of tenants: every relay continuously accepts and holds some, and sends each to every zone that it may go to.
 * Checks that one term after contracts were agreed, no message is stored in or sent to a zone that neither they nor any
 * later ones allow.
 */
public final class TenantMessages implements SimulatedFleet.ProcessListener, Invariant {
    private static final double POLL_MS = 100;
    private static final String CLASS = "keyed";

    private final SimulatedFleet fleet;
    private final AgreedState agreed;
    private final List<String> tenants;
    private final int destination;
    private final double termMs;
    private final LongFunction<Map<String, Contract>> contractsByVersion;
    private final Map<SimulatedProcess, Map<String, Set<String>>> heldZonesByProcess =
            new HashMap<>(); // never iterated: no fixed order
    private final Map<String, Set<String>> lastSent = new TreeMap<>(); // zones of the last poll, by relay and tenant
    private final Map<String, Long> accepted = new TreeMap<>();
    private final List<String> violations = new ArrayList<>();

    /**
     * Creates tenants for a fleet that hasn't been started yet.
     *
     * @param termMs             term of contracts
     * @param contractsByVersion contracts in the settings file of a version
     */
    TenantMessages(
            SimulatedFleet fleet,
            AgreedState agreed,
            List<String> tenants,
            int destination,
            double termMs,
            LongFunction<Map<String, Contract>> contractsByVersion) {
        this.fleet = fleet;
        this.agreed = agreed;
        this.tenants = tenants;
        this.destination = destination;
        this.termMs = termMs;
        this.contractsByVersion = contractsByVersion;
        fleet.addListener(this);
        fleet.addInvariant(this);
    }

    @Override
    public String name() {
        return "zones of tenants";
    }

    @Override
    public String check(SimulatedFleet checkedFleet) {
        return violations.isEmpty() ? null : violations.get(0);
    }

    /** Zones to which a relay sent a tenant's messages at its last poll; empty if none. */
    Set<String> sent(String relay, String tenant) {
        return lastSent.getOrDefault(relay + " " + tenant, Set.of());
    }

    /** Number of a tenant's messages that were accepted by any relay. */
    long accepted(String tenant) {
        return accepted.getOrDefault(tenant, 0L);
    }

    @Override
    public void processStarted(SimulatedProcess process) {
        if (process.logic() instanceof RealRelayLogic logic) {
            heldZonesByProcess.put(process, new HashMap<>());
            fleet.schedule(process, fleet.now() + POLL_MS, "tenants", () -> poll(logic));
        }
    }

    private void poll(RealRelayLogic logic) {
        SimulatedProcess process = logic.process();
        logic.refresh(process.now());
        boolean zonesChanged = logic.takeZonesChanged();
        Map<String, Set<String>> heldZones = heldZonesByProcess.get(process);
        for (String tenant : tenants) {
            Set<String> zones = new HashSet<>();
            try {
                Terms terms = logic.fleet().admit(process.now(), tenant, CLASS, destination, null);
                recordSent(process, tenant, terms.zones(), zones);
                checkStorage(process, tenant);
                accepted.merge(tenant, 1L, Long::sum);
                heldZones.putIfAbsent(tenant, terms.zones());
            } catch (Fault refused) {
                process.report(refused.line());
            }
            if (heldZones.containsKey(tenant)) {
                if (zonesChanged) {
                    heldZones.put(
                            tenant,
                            logic.fleet()
                                    .terms(process.now(), tenant, CLASS, destination, null)
                                    .zones());
                }
                recordSent(process, tenant, heldZones.get(tenant), zones);
            }
            lastSent.put(process.name() + " " + tenant, zones);
        }
        fleet.schedule(process, fleet.now() + POLL_MS, "tenants", () -> poll(logic));
    }

    private void recordSent(SimulatedProcess process, String tenant, Set<String> zones, Set<String> sent) {
        for (String zone : zones) {
            sent.add(zone);
            if (!allowed(tenant, zone)) {
                violations.add(process + " sends messages of " + tenant + " to " + zone);
            }
        }
    }

    private void checkStorage(SimulatedProcess process, String tenant) {
        if (!allowed(tenant, process.setup().zone())) {
            violations.add(process + " stores messages of " + tenant);
        }
    }

    /** Whether the contracts in force, or any later ones, allow a tenant's messages in a zone. */
    private boolean allowed(String tenant, String zone) {
        List<AgreedState.ContractVersion> all = agreed.contracts();
        for (int i = all.size() - 1; i >= 0; i--) {
            AgreedState.ContractVersion version = all.get(i);
            Contract contract = contractsByVersion.apply(version.number()).get(tenant);
            if (contract != null && contract.zones(CLASS).contains(zone)) {
                return true;
            }
            if (version.knownAt() + termMs <= fleet.now()) {
                return false; // the term of all earlier versions is over
            }
        }
        return true; // the versions in the settings files may still be in force
    }
}
