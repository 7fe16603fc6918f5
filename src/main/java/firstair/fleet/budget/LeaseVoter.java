package firstair.fleet.budget;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The lease grants of one voter: for each member's lease, the process that holds it. {@link LeaseRules} says why that
 * is enough. Grants are kept in memory only; a voter that starts grants nothing until whatever it may have granted
 * before has expired.
 */
final class LeaseVoter {
    private record Grant(String holder, long incarnation, long newestRequest, double until) {
        boolean isHeldBy(String name, long process) {
            return holder.equals(name) && incarnation == process;
        }
    }

    private final LeaseRules rules;
    private final double grantsFrom;
    private final Map<String, Grant> grants = new LinkedHashMap<>(); // by member
    private final Map<String, Double> ownRequestAt = new LinkedHashMap<>(); // last request of its own lease, by member

    LeaseVoter(LeaseRules rules, double now) {
        this.rules = rules;
        this.grantsFrom = now + rules.startupSilenceMs();
    }

    /** A process requests the lease of a member; both are members. Returns whether it is granted from now on. */
    boolean request(double now, String from, long incarnation, long nonce, String member) {
        boolean own = from.equals(member);
        if (own) {
            ownRequestAt.put(member, now);
        }
        Grant before = grants.get(member);
        boolean bound = before != null && now < before.until;
        if (now < grantsFrom || bound && !before.isHeldBy(from, incarnation)) {
            return false;
        }
        Double ownAt = ownRequestAt.get(member);
        if (!own && ownAt != null && now - ownAt < rules.grantMs()) {
            return false; // the member itself is back, so the other holder's grant is left to expire
        }
        long newestRequest = bound ? Math.max(before.newestRequest, nonce) : nonce;
        grants.put(member, new Grant(from, incarnation, newestRequest, now + rules.grantMs()));
        return true;
    }

    /** A process uses nothing more of what its requests up to this nonce were granted. */
    void release(String from, long incarnation, long nonce, String member) {
        Grant before = grants.get(member);
        if (before != null && before.isHeldBy(from, incarnation) && rules.endsGrant(nonce, before.newestRequest)) {
            grants.remove(member);
        }
    }
}
