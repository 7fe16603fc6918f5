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
 * Messages of tenants, handed in and held at every relay all the time, each sent to every zone where it may go. From a
 * term after contracts were agreed on, none is stored or sent where these and all later ones allow it nowhere.
 */
public final class Tenants implements PlayedFleet.Watcher, Invariant {
    private static final double LOOK_MS = 100;
    private static final String CLASS = "keyed";

    private final PlayedFleet fleet;
    private final Agreed agreed;
    private final List<String> tenants;
    private final int destination;
    private final double termMs;
    private final LongFunction<Map<String, Contract>> files;
    private final Map<Life, Map<String, Set<String>>> holding = new HashMap<>(); // asked by key only
    private final Map<String, Set<String>> lastSent = new TreeMap<>(); // by relay: zones of its last look
    private final Map<String, Long> taken = new TreeMap<>();
    private final List<String> wrong = new ArrayList<>();

    /**
     * Messages for a fleet whose processes begin later.
     *
     * @param termMs term of contracts
     * @param files  contracts of a version, as the settings file of that version has them
     */
    Tenants(
            PlayedFleet fleet,
            Agreed agreed,
            List<String> tenants,
            int destination,
            double termMs,
            LongFunction<Map<String, Contract>> files) {
        this.fleet = fleet;
        this.agreed = agreed;
        this.tenants = tenants;
        this.destination = destination;
        this.termMs = termMs;
        this.files = files;
        fleet.watched(this);
        fleet.holds(this);
    }

    @Override
    public String name() {
        return "zones of tenants";
    }

    @Override
    public String check(PlayedFleet played) {
        return wrong.isEmpty() ? null : wrong.get(0);
    }

    /** Zones in which a relay sent a tenant's messages when it last looked; empty if none. */
    Set<String> sent(String relay, String tenant) {
        return lastSent.getOrDefault(relay + " " + tenant, Set.of());
    }

    /** Messages of a tenant that were taken, anywhere. */
    long taken(String tenant) {
        return taken.getOrDefault(tenant, 0L);
    }

    @Override
    public void begun(Life life) {
        if (life.played() instanceof FleetPlayed played) {
            holding.put(life, new HashMap<>());
            fleet.later(life, fleet.now() + LOOK_MS, "tenants", () -> look(played));
        }
    }

    private void look(FleetPlayed played) {
        Life life = played.life();
        played.refresh(life.now());
        boolean confined = played.confined();
        Map<String, Set<String>> held = holding.get(life);
        for (String tenant : tenants) {
            Set<String> zones = new HashSet<>();
            try {
                Terms terms = played.fleet().admit(life.now(), tenant, CLASS, destination, null);
                goes(life, tenant, terms.zones(), zones);
                stays(life, tenant);
                taken.merge(tenant, 1L, Long::sum);
                held.putIfAbsent(tenant, terms.zones());
            } catch (Fault refused) {
                life.report(refused.line());
            }
            if (held.containsKey(tenant)) {
                if (confined) {
                    held.put(
                            tenant,
                            played.fleet()
                                    .terms(life.now(), tenant, CLASS, destination, null)
                                    .zones());
                }
                goes(life, tenant, held.get(tenant), zones);
            }
            lastSent.put(life.name() + " " + tenant, zones);
        }
        fleet.later(life, fleet.now() + LOOK_MS, "tenants", () -> look(played));
    }

    private void goes(Life life, String tenant, Set<String> zones, Set<String> sent) {
        for (String zone : zones) {
            sent.add(zone);
            if (!allowed(tenant, zone)) {
                wrong.add(life + " sends messages of " + tenant + " to " + zone);
            }
        }
    }

    private void stays(Life life, String tenant) {
        if (!allowed(tenant, life.setup().zone())) {
            wrong.add(life + " stores messages of " + tenant);
        }
    }

    /** Whether the contracts that bind now, or any later ones, allow a tenant's messages there. */
    private boolean allowed(String tenant, String zone) {
        List<Agreed.Contracts> all = agreed.contracts();
        for (int i = all.size() - 1; i >= 0; i--) {
            Agreed.Contracts version = all.get(i);
            Contract c = files.apply(version.number()).get(tenant);
            if (c != null && c.zones(CLASS).contains(zone)) {
                return true;
            }
            if (version.knownAt() + termMs <= fleet.now()) {
                return false; // all before it are over
            }
        }
        return true; // the settings files are the operators' own
    }
}
