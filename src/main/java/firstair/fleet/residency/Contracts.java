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
 * What this relay knows of the contracts that the fleet has agreed, and the zones in which it may send now. Versions
 * are counted by the ledger from 1; version 0 is the relay's settings file. Times are milliseconds on the relay's own
 * clock.
 *
 * <p><b>Bound: a term after a tightening was agreed, no relay on any side of any cut sends outside it.</b> A relay goes
 * by a version's zones only while it holds a confirmation: somebody who can know (a leader with its majority) said that
 * this version was the newest. That was true at a moment after the relay had sent its question, so no later version was
 * agreed before the question was sent. The confirmation holds for {@code term * (1 - drift)} of the relay's own clock
 * from that sending, which is a term of true time at most: it is over a term after the next version was agreed,
 * whatever the relay has heard or not heard by then. Without one a relay uses only zones that every version it knows
 * names in {@code always}, and {@link Contract#follows} lets no later version take those away. The file is the
 * operators' part of the same promise: a zone stands in {@code always} of a file only while every agreed version allows
 * it.
 *
 * <p><b>Widening waits.</b> The zones are those common to all versions that any relay may still be acting by. When a
 * relay knows that a version was agreed, all earlier ones are over everywhere a term later, by the same reckoning; so
 * it drops them {@code term * (1 + drift)} of its own clock after it heard, or when it is told that the whole fleet has
 * the version ({@link #settled}). Versions in between that it has never seen may have been tighter than all it knows:
 * until they are over it uses {@code always} alone. So a zone that was removed and added again, or a contract that was
 * replaced twice unheard, widens nothing early. A tenant that one of these versions does not name may be sent nowhere.
 *
 * <p>An answer holds for the event in which it was asked for; a process that may have been stopped asks again.
 */
public final class Contracts {
    private static final int MOST = 64; // versions held; in a storm of changes those between count as never seen

    private record Version(Map<String, Contract> all, double heardAt) {}

    private record Confirmation(long version, double sentAt) {}

    private final double liveMs;
    private final double settleMs;
    private final boolean required;
    private final Outbox out;
    private final TreeMap<Long, Version> known = new TreeMap<>();
    private final TreeMap<Long, Version> rumoured = new TreeMap<>(); // said by somebody who may be wrong
    private final Map<String, Contract> before = new TreeMap<>(); // what held before one that is not yet in force
    private long floor; // nobody acts by an earlier version
    private Confirmation confirmed;
    private Confirmation early; // of a version whose contracts are still on their way
    private double quietFrom; // the last confirmation, or the start, was then
    private boolean told;
    private double epoch; // ms since 1970 at zero of our own clock
    private long dropped;

    /**
     * A relay that starts.
     *
     * @param epochMs  ms since 1970 at {@code now}
     * @param termMs   the term of contracts, the same everywhere
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
        this.liveMs = termMs * (1 - setup.drift());
        this.settleMs = termMs * (1 + setup.drift());
        this.required = required;
        this.out = out;
        this.epoch = epochMs - now;
        this.quietFrom = now;
        known.put(0L, new Version(copy(file), now));
    }

    /** The wall clock was read, or set. */
    public void wall(double now, double epochMs) {
        if (Double.isFinite(epochMs)) {
            epoch = epochMs - now;
        }
    }

    /**
     * A version was heard of. Its order and number of times do not matter.
     *
     * @param all  its contracts, by tenant
     * @param sure whether the ledger has agreed on it for certain; else it only tightens, until a later confirmation
     */
    public void agreed(double now, long version, Map<String, Contract> all, boolean sure) {
        settle(now);
        if (version < 1 || all == null) {
            dropped++;
            return;
        }
        if (version < known.firstKey() || known.containsKey(version)) {
            return;
        }
        if (!sure) {
            if (rumoured.size() < MOST) { // those heard first stay: to forget one would widen
                rumoured.putIfAbsent(version, new Version(copy(all), now));
            }
            return;
        }
        known.put(version, new Version(copy(all), now));
        rumoured.remove(version);
        if (known.size() > MOST) {
            known.remove(known.higherKey(known.firstKey()));
        }
        if (early != null && known.containsKey(early.version)) {
            Confirmation waiting = early;
            early = null;
            confirmed(now, waiting.sentAt, waiting.version);
        }
        settle(now);
    }

    /**
     * Somebody who can know has said that a version is the newest.
     *
     * @param sentAt when we sent the question; nothing else counts, however late the answer is
     */
    public void confirmed(double now, double sentAt, long version) {
        settle(now);
        if (version < 0 || !(sentAt <= now)) {
            dropped++;
            return;
        }
        if (version > known.lastKey()) { // it is of use once its contracts have come; the one before runs on
            if (early == null || version > early.version || version == early.version && sentAt > early.sentAt) {
                early = new Confirmation(version, sentAt);
            }
            return;
        }
        if (version == 0 || !known.containsKey(version)) {
            return; // a file is never agreed on
        }
        if (confirmed == null || version >= confirmed.version && sentAt > confirmed.sentAt) {
            confirmed = new Confirmation(version, sentAt);
            rumoured.values().removeIf(v -> v.heardAt <= sentAt); // agreed on and known, or not agreed on until then
            quietFrom = Math.max(quietFrom, sentAt);
            told &= !live(now);
        }
    }

    /** It is certain that no relay acts by a version before this one: the whole fleet has it, or the ledger says so. */
    public void settled(double now, long version) {
        floor = Math.max(floor, version);
        settle(now);
    }

    /** Time has passed. Reports once if the contracts have become old. */
    public void timer(double now) {
        settle(now);
    }

    /** Whether any contracts are in force; else nobody needs a tenant and nothing is imposed. */
    public boolean inForce() {
        return required || acting().stream().anyMatch(all -> !all.isEmpty());
    }

    /** The newest agreed version whose contracts are here, 0 for the file; this relay acts by no earlier one. */
    public long version() {
        return known.lastKey();
    }

    /** Whether the zones are those of the contracts; else they are only what is certain to be allowed. */
    public boolean firm(double now) {
        settle(now);
        return live(now) && whole();
    }

    /** Whether the newest contracts name the tenant. */
    public boolean names(String tenant) {
        return tenant != null && newest().containsKey(tenant);
    }

    /** Zones by the newest contract alone, which is not enough to send there; empty for an unknown tenant. */
    public Set<String> newest(String tenant, String messageClass) {
        Contract c = tenant == null ? null : newest().get(tenant);
        return c == null ? Set.of() : c.zones(messageClass);
    }

    /** The zones in which a tenant's messages of a class may be stored and sent now, sorted; empty means nowhere. */
    public Set<String> zones(double now, String tenant, String messageClass) {
        boolean firm = firm(now);
        if (tenant == null) {
            return Set.of();
        }
        List<Contract> all = new ArrayList<>();
        acting().forEach(version -> all.add(version.get(tenant)));
        if (all.get(0) != null && !due(now, all.get(0))) {
            all.add(before.get(tenant));
        }
        Set<String> left = null;
        for (Contract c : all) {
            Set<String> allowed = c == null ? Set.of() : firm ? c.zones(messageClass) : c.always();
            if (left == null) {
                left = new TreeSet<>(allowed);
            } else {
                left.retainAll(allowed);
            }
        }
        return Collections.unmodifiableSet(left);
    }

    /** Calls a second that a tenant has over all relays, the strictest of what is known; 0 if there is no quota. */
    public double quota(String tenant) {
        return acting().stream()
                .map(all -> all.get(tenant))
                .filter(c -> c != null && c.callsPerS() > 0)
                .mapToDouble(Contract::callsPerS)
                .min()
                .orElse(0);
    }

    /** How much of what was told could not be used. */
    public long dropped() {
        return dropped;
    }

    private Map<String, Contract> newest() {
        return known.lastEntry().getValue().all;
    }

    private List<Map<String, Contract>> acting() {
        List<Map<String, Contract>> all = new ArrayList<>();
        known.values().forEach(v -> all.add(v.all));
        rumoured.values().forEach(v -> all.add(v.all));
        return all;
    }

    /** Whether the contracts of each version are here that somebody may act by. */
    private boolean whole() {
        return known.firstKey() == floor && known.lastKey() - floor + 1 == known.size();
    }

    /** No version after the confirmed one is older than its sending, so it speaks for the later ones known too. */
    private boolean live(double now) {
        return confirmed != null && confirmed.sentAt + liveMs > now;
    }

    private boolean due(double now, Contract c) {
        return c.from() <= now + epoch;
    }

    private void settle(double now) {
        for (Map.Entry<Long, Version> each : known.descendingMap().entrySet()) {
            if (each.getKey() > floor && each.getValue().heardAt + settleMs <= now) {
                floor = each.getKey();
                break;
            }
        }
        long base = known.floorKey(floor); // if the floor's own contracts are missing, the last before bind on
        if (known.firstKey() < base) {
            Map<Long, Version> over = known.headMap(base);
            for (Version v : over.values()) {
                v.all.values().stream().filter(c -> due(now, c)).forEach(c -> before.put(c.tenant(), c));
                before.keySet().retainAll(v.all.keySet()); // an end of a contract is an end of what was before
            }
            over.clear();
            before.keySet().retainAll(known.get(base).all.keySet());
        }
        if (!told && quietFrom + liveMs <= now && !live(now) && inForce()) {
            told = true;
            out.report(new Fault.ContractsOld(version()).line());
        }
    }

    private static Map<String, Contract> copy(Map<String, Contract> all) {
        return Collections.unmodifiableMap(new LinkedHashMap<>(all));
    }
}
