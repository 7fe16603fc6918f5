package firstair.fleet.residency;

import firstair.fleet.Outbox;
import firstair.fleet.Setup;
import firstair.fleet.fault.Fault;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The contracts that the fleet has agreed on, as this relay knows them, and the zones in which it may send now. The
 * ledger numbers versions from 1; version 0 is the relay's settings file. Times are milliseconds on the relay's own
 * clock.
 *
 * <p><b>Guarantee: one term after a restriction was agreed, no relay in any network partition sends outside it.</b> A
 * relay uses the zones of a version only while it holds a confirmation: a leader with a majority stated that this
 * version was the newest. That was true at some time after the relay sent its query, so no later version was agreed
 * before the query was sent. The confirmation is valid for {@code term * (1 - drift)} of the relay's own clock from the
 * sending, which is at most one term of true time: it has expired one term after the next version was agreed, whatever
 * the relay has received by then. Without a confirmation a relay uses only zones that every version it knows names in
 * {@code always}, and {@link Contract#checkKeepsGuarantees} lets no later version remove those. Operators keep the same
 * guarantee
 * for the file: it names a zone in {@code always} only while every agreed version allows that zone.
 *
 * <p><b>Extensions are delayed.</b> The allowed zones are those common to all versions that any relay may still use.
 * One term after a version was agreed, all earlier ones have expired on every relay, for the same reason. A relay
 * therefore discards them {@code term * (1 + drift)} of its own clock after it received the version, or when it learns
 * that the whole fleet has the version ({@link #settled}). Intermediate versions that it never received may have been
 * more restrictive than all it knows: until they have expired it uses {@code always} alone. So a zone that was removed
 * and added again, or a contract that was replaced twice without this relay receiving it, extends nothing too early.
 * Messages of a tenant that one of these versions does not name may be sent nowhere.
 *
 * <p>A result is valid only for the event in which it was obtained; a process that may have been suspended queries
 * again.
 */
public final class Contracts {
    private static final int MAX_VERSIONS = 64; // further versions in between count as never received

    private record Version(Map<String, Contract> contracts, double receivedAt) {}

    private record Confirmation(long version, double sentAt) {}

    private final double confirmationMs;
    private final double supersedeMs;
    private final boolean required;
    private final Outbox out;
    private final TreeMap<Long, Version> agreedVersions = new TreeMap<>();
    private final TreeMap<Long, Version> provisionalVersions = new TreeMap<>(); // from a sender that may be wrong
    private final Map<String, Contract> previous = new TreeMap<>(); // in effect before one that is not yet in effect
    private long oldestInUse; // no relay uses an earlier version
    private Confirmation confirmed;
    private Confirmation pendingConfirmation; // of a version whose contracts have not been received yet
    private double unconfirmedFrom; // time of the last confirmation, or of the start
    private boolean staleReported;
    private double epochOffsetMs; // epoch ms at zero of the relay's own clock
    private long dropped;

    /**
     * Creates the state of a relay that starts.
     *
     * @param epochMs  wall clock at {@code now}, epoch ms
     * @param termMs   term of contracts, the same on all relays
     * @param file     contracts of the settings file, by tenant
     * @param required whether messages need a tenant even while no contract is known here
     */
    public Contracts(
            Setup setup,
            double now,
            double epochMs,
            double termMs,
            Map<String, Contract> file,
            boolean required,
            Outbox out) {
        this.confirmationMs = termMs * (1 - setup.drift());
        this.supersedeMs = termMs * (1 + setup.drift());
        this.required = required;
        this.out = out;
        this.epochOffsetMs = epochMs - now;
        this.unconfirmedFrom = now;
        agreedVersions.put(0L, new Version(copy(file), now));
    }

    /** Updates the wall clock after it was read or set. */
    public void setWallClock(double now, double epochMs) {
        if (Double.isFinite(epochMs)) {
            epochOffsetMs = epochMs - now;
        }
    }

    /**
     * Receives a version. Order and repetition do not matter.
     *
     * @param all     its contracts, by tenant
     * @param certain whether the ledger has certainly agreed on it; otherwise it only restricts, until a later
     *                confirmation
     */
    public void acceptVersion(double now, long version, Map<String, Contract> all, boolean certain) {
        discardSuperseded(now);
        if (version < 1 || all == null) {
            dropped++;
            return;
        }
        if (version < agreedVersions.firstKey() || agreedVersions.containsKey(version)) {
            return;
        }
        if (!certain) {
            if (provisionalVersions.size() < MAX_VERSIONS) { // the first ones stay: dropping one could extend the zones
                provisionalVersions.putIfAbsent(version, new Version(copy(all), now));
            }
            return;
        }
        agreedVersions.put(version, new Version(copy(all), now));
        provisionalVersions.remove(version);
        if (agreedVersions.size() > MAX_VERSIONS) {
            agreedVersions.remove(agreedVersions.higherKey(agreedVersions.firstKey()));
        }
        if (pendingConfirmation != null && agreedVersions.containsKey(pendingConfirmation.version)) {
            Confirmation confirmation = pendingConfirmation;
            pendingConfirmation = null;
            confirmed(now, confirmation.sentAt, confirmation.version);
        }
        discardSuperseded(now);
    }

    /**
     * Receives the confirmation of a leader with a majority that a version is the newest.
     *
     * @param sentAt when this relay sent the query; the time of the reply does not matter
     */
    public void confirmed(double now, double sentAt, long version) {
        discardSuperseded(now);
        if (version < 0 || !(sentAt <= now)) {
            dropped++;
            return;
        }
        if (version > agreedVersions.lastKey()) {
            // takes effect once its contracts are received; until then the current confirmation stays valid
            if (pendingConfirmation == null
                    || version > pendingConfirmation.version
                    || version == pendingConfirmation.version && sentAt > pendingConfirmation.sentAt) {
                pendingConfirmation = new Confirmation(version, sentAt);
            }
            return;
        }
        if (version == 0 || !agreedVersions.containsKey(version)) {
            return; // a settings file is never agreed on
        }
        if (confirmed == null || version >= confirmed.version && sentAt > confirmed.sentAt) {
            confirmed = new Confirmation(version, sentAt);
            // at sentAt they were either agreed, and have been received, or not agreed
            provisionalVersions.values().removeIf(v -> v.receivedAt <= sentAt);
            unconfirmedFrom = Math.max(unconfirmedFrom, sentAt);
            staleReported &= !isConfirmed(now);
        }
    }

    /** No relay uses an earlier version any more: the whole fleet has this one, or the ledger says so. */
    public void settled(double now, long version) {
        oldestInUse = Math.max(oldestInUse, version);
        discardSuperseded(now);
    }

    /** Handles the passing of time. Reports once when the contracts have been unconfirmed for too long. */
    public void timer(double now) {
        discardSuperseded(now);
    }

    /** Whether any contracts are in force; otherwise messages need no tenant and nothing is restricted. */
    public boolean inForce() {
        return required || versionsInUse().stream().anyMatch(all -> !all.isEmpty());
    }

    /** The newest agreed version received, 0 for the file; this relay uses no earlier one. */
    public long version() {
        return agreedVersions.lastKey();
    }

    /** Whether the zones are those of the contracts; otherwise only those that are certainly allowed. */
    public boolean zonesConfirmed(double now) {
        discardSuperseded(now);
        return isConfirmed(now) && hasAllVersionsInUse();
    }

    /** Whether the newest version has a contract of the tenant. */
    public boolean hasContract(String tenant) {
        return tenant != null && newest().containsKey(tenant);
    }

    /** Zones of the newest contract alone, which is not sufficient for sending; empty for an unknown tenant. */
    public Set<String> newest(String tenant, String messageClass) {
        Contract contract = tenant == null ? null : newest().get(tenant);
        return contract == null ? Set.of() : contract.zones(messageClass);
    }

    /** Zones in which a tenant's messages of a class may be stored and sent now, sorted; empty means nowhere. */
    public Set<String> zones(double now, String tenant, String messageClass) {
        boolean zonesConfirmed = zonesConfirmed(now);
        if (tenant == null) {
            return Set.of();
        }
        List<Contract> all = new ArrayList<>();
        versionsInUse().forEach(version -> all.add(version.get(tenant)));
        if (all.get(0) != null && !inEffect(now, all.get(0))) {
            all.add(previous.get(tenant));
        }
        Set<String> common = null;
        for (Contract contract : all) {
            Set<String> allowed =
                    contract == null ? Set.of() : zonesConfirmed ? contract.zones(messageClass) : contract.always();
            if (common == null) {
                common = new TreeSet<>(allowed);
            } else {
                common.retainAll(allowed);
            }
        }
        return Collections.unmodifiableSet(common);
    }

    /** Fleet-wide quota of a tenant in calls per second, the lowest of the versions in use; 0 if there is none. */
    public double quota(String tenant) {
        return versionsInUse().stream()
                .map(all -> all.get(tenant))
                .filter(contract -> contract != null && contract.callsPerS() > 0)
                .mapToDouble(Contract::callsPerS)
                .min()
                .orElse(0);
    }

    /** Number of received versions and confirmations that were invalid. */
    public long dropped() {
        return dropped;
    }

    private Map<String, Contract> newest() {
        return agreedVersions.lastEntry().getValue().contracts;
    }

    private List<Map<String, Contract>> versionsInUse() {
        List<Map<String, Contract>> all = new ArrayList<>();
        agreedVersions.values().forEach(v -> all.add(v.contracts));
        provisionalVersions.values().forEach(v -> all.add(v.contracts));
        return all;
    }

    /** Whether the contracts of all versions that any relay may use have been received. */
    private boolean hasAllVersionsInUse() {
        return agreedVersions.firstKey() == oldestInUse
                && agreedVersions.lastKey() - oldestInUse + 1 == agreedVersions.size();
    }

    /** Versions after the confirmed one were agreed after the query was sent, so the confirmation covers them too. */
    private boolean isConfirmed(double now) {
        return confirmed != null && confirmed.sentAt + confirmationMs > now;
    }

    private boolean inEffect(double now, Contract contract) {
        return contract.from() <= now + epochOffsetMs;
    }

    private void discardSuperseded(double now) {
        for (Map.Entry<Long, Version> entry : agreedVersions.descendingMap().entrySet()) {
            if (entry.getKey() > oldestInUse && entry.getValue().receivedAt + supersedeMs <= now) {
                oldestInUse = entry.getKey();
                break;
            }
        }
        // if that version is missing, the last one before it stays binding
        long oldestKept = agreedVersions.floorKey(oldestInUse);
        if (agreedVersions.firstKey() < oldestKept) {
            Map<Long, Version> superseded = agreedVersions.headMap(oldestKept);
            for (Version v : superseded.values()) {
                v.contracts.values().stream()
                        .filter(contract -> inEffect(now, contract))
                        .forEach(contract -> previous.put(contract.tenant(), contract));
                previous.keySet().retainAll(v.contracts.keySet()); // a contract that ends also ends its predecessor
            }
            superseded.clear();
            previous.keySet().retainAll(agreedVersions.get(oldestKept).contracts.keySet());
        }
        if (!staleReported && unconfirmedFrom + confirmationMs <= now && !isConfirmed(now) && inForce()) {
            staleReported = true;
            out.report(new Fault.ContractsOld(version()).line());
        }
    }

    private static Map<String, Contract> copy(Map<String, Contract> all) {
        return Collections.unmodifiableMap(new LinkedHashMap<>(all));
    }
}
