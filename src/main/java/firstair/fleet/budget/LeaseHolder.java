package firstair.fleet.budget;

import firstair.fleet.Outbox;
import firstair.fleet.Setup;
import firstair.fleet.talk.Note.LeaseAnswer;
import firstair.fleet.talk.Note.LeaseRelease;
import firstair.fleet.talk.Note.LeaseRequest;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * The leases that this process holds or requests: always its own, and those of silent members that it uses meanwhile
 * ("reclaimed"). All voters receive the same request; how long a lease is held follows from what they granted, see
 * {@link LeaseRules}.
 */
final class LeaseHolder {
    private static final int MAX_REQUESTS = 64; // remembered; answers to older ones would hardly extend a lease
    private static final double REQUESTS_PER_TERM = 5;
    private static final double JITTER = 0.1;
    private static final double RECLAIM_TERMS = 2; // after which a reclaim without success is abandoned

    private record Request(String member, double sentAt) {}

    private static final class Lease {
        final String member;
        final double giveUpAt;
        final Map<String, Double> grants = new LinkedHashMap<>(); // by voter: start of the term of its newest grant
        final Set<String> refusedBy = new LinkedHashSet<>(); // voters that refused the newest request
        long newestRequest;
        double requestAt = Double.NEGATIVE_INFINITY;
        double until = Double.NEGATIVE_INFINITY;
        boolean releasing; // no longer used, released once nothing of it is lent

        Lease(String member, double giveUpAt) {
            this.member = member;
            this.giveUpAt = giveUpAt;
        }
    }

    private final LeaseRules rules;
    private final Setup setup;
    private final long incarnation;
    private final Nonces nonces;
    private final Random random;
    private final Outbox out;
    private final LeaseVoter voter; // our own grants, null where we are no voter
    private final Map<Long, Request> requests = new LinkedHashMap<>();
    private final Map<String, Lease> leases = new LinkedHashMap<>();

    LeaseHolder(LeaseRules rules, long incarnation, Nonces nonces, Random random, Outbox out, LeaseVoter voter) {
        this.rules = rules;
        this.setup = rules.setup();
        this.incarnation = incarnation;
        this.nonces = nonces;
        this.random = random;
        this.out = out;
        this.voter = voter;
        leases.put(setup.self(), new Lease(setup.self(), Double.POSITIVE_INFINITY));
    }

    /** Until when a member's lease may be used here; negative infinity if it may not. */
    double until(String member) {
        Lease lease = leases.get(member);
        return lease == null || lease.releasing ? Double.NEGATIVE_INFINITY : lease.until;
    }

    /** Whether our own lease is held. */
    boolean holdsOwn(double now) {
        return now < until(setup.self());
    }

    /** The members whose leases may be used now, ourselves first. */
    List<String> held(double now) {
        return leases.keySet().stream().filter(member -> now < until(member)).toList();
    }

    /** Other members whose lease is or was requested and has not been released yet. */
    List<String> reclaimed() {
        return leases.keySet().stream()
                .filter(member -> !member.equals(setup.self()))
                .toList();
    }

    /** Requests the lease of a silent member too, from the next timer on. */
    void reclaim(double now, String member) {
        leases.putIfAbsent(member, new Lease(member, now + RECLAIM_TERMS * setup.quietMs()));
    }

    /** Stops using a lease; {@link #release} follows once nothing of it is lent. */
    void end(String member) {
        Lease lease = leases.get(member);
        if (lease != null) {
            lease.releasing = true;
        }
    }

    /** The leases to release as soon as nothing of them is lent. */
    List<String> releasing() {
        return leases.values().stream()
                .filter(lease -> lease.releasing)
                .map(lease -> lease.member)
                .toList();
    }

    /** Tells the voters that a lease is no longer used. Answers that are still in flight are not counted. */
    void release(String member) {
        Lease lease = leases.remove(member);
        requests.values().removeIf(request -> request.member.equals(member));
        if (lease == null || lease.requestAt == Double.NEGATIVE_INFINITY) {
            return; // never requested
        }
        for (String v : setup.voters()) {
            if (!v.equals(setup.self())) {
                out.send(v, new LeaseRelease(lease.newestRequest, member));
            } else if (voter != null) {
                voter.release(v, incarnation, lease.newestRequest, member);
            }
        }
    }

    /** Sends the requests that are due. Returns when to be called next. */
    double timer(double now) {
        double next = Double.POSITIVE_INFINITY;
        for (Lease lease : List.copyOf(leases.values())) {
            if (lease.releasing) {
                continue;
            }
            if (now >= lease.giveUpAt && now >= lease.until) {
                lease.releasing = true;
                continue;
            }
            if (now >= lease.requestAt) {
                lease.requestAt =
                        now + setup.quietMs() / REQUESTS_PER_TERM * (1 - JITTER + 2 * JITTER * random.nextDouble());
                sendRequest(now, lease);
            }
            next = Math.min(next, lease.requestAt);
        }
        return next;
    }

    private void sendRequest(double now, Lease lease) {
        long nonce = nonces.next();
        lease.newestRequest = nonce;
        lease.refusedBy.clear();
        requests.put(nonce, new Request(lease.member, now));
        if (requests.size() > MAX_REQUESTS) {
            requests.remove(requests.keySet().iterator().next());
        }
        for (String v : setup.voters()) {
            if (!v.equals(setup.self())) {
                out.send(v, new LeaseRequest(nonce, lease.member));
            } else if (voter != null) {
                onAnswer(
                        now,
                        v,
                        new LeaseAnswer(nonce, lease.member, voter.request(now, v, incarnation, nonce, lease.member)));
            }
        }
    }

    /** A voter has answered. Returns whether the answer belongs to a request that still counts. */
    boolean onAnswer(double now, String from, LeaseAnswer answer) {
        Request request = requests.get(answer.nonce());
        if (request == null
                || !request.member.equals(answer.of())
                || !setup.voters().contains(from)) {
            return false;
        }
        Lease lease = leases.get(request.member);
        boolean own = lease.member.equals(setup.self());
        if (answer.granted()) {
            lease.grants.merge(from, rules.termStart(request.sentAt, now), Math::max);
            List<Double> newestFirst = new ArrayList<>(lease.grants.values());
            newestFirst.sort(Comparator.reverseOrder());
            int needed = rules.grantsNeeded(own);
            if (newestFirst.size() >= needed) {
                lease.until = newestFirst.get(needed - 1) + rules.leaseMs();
            }
        } else if (!own && answer.nonce() == lease.newestRequest) {
            lease.refusedBy.add(from);
            // No majority can grant this request any more: the member is back, or another process holds its lease.
            lease.releasing |= lease.refusedBy.size() > setup.voters().size() - setup.majority();
        }
        return true;
    }
}
