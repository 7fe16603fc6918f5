package firstair.fleet.budget;

import firstair.fleet.Outbox;
import firstair.fleet.talk.Note.LoanRequest;
import firstair.fleet.talk.Note.RetryTransfer;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A retry budget for each destination: first attempts earn retries in a fixed ratio. Earning and spending are local and
 * need no notes; retries are transferred between relays for good, and the giver deducts them before it sends. So over
 * the whole fleet there are never more retries than first attempts times the ratio, whatever is lost, duplicated or
 * late. A transfer ({@link RetryTransfer}) answers a request and carries its nonce, and counts once and only at the
 * process that
 * requested it: one that arrived again after a restart would otherwise be counted a second time.
 */
final class RetryBudgets {
    /** Budget names with this prefix mean retries of the destination that follows. */
    static final String PREFIX = "r:";

    private static final long UNITS_PER_RETRY = 1_000_000; // balances are kept in millionths of a retry
    private static final int MAX_DESTINATIONS = 4096;
    private static final int MAX_REQUESTS = 256;
    private static final int MAX_SHORT_DESTINATIONS = 64; // for which requests are sent in a round
    private static final int MEMBERS_PER_REQUEST = 2;
    private static final int RETRIES_PER_REQUEST = 4;
    private static final int MAX_RETRIES = 100; // balance of one destination
    private static final long RESERVE_UNITS = UNITS_PER_RETRY; // not given away

    private record LastRequest(long incarnation, long nonce) {}

    private final long earnedUnits;
    private final Nonces nonces;
    private final Outbox out;
    private final Map<String, Long> balances = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MAX_DESTINATIONS; // the retries of the least recently used one are lost
        }
    };
    private final Set<String> shortDestinations = new LinkedHashSet<>();
    private final Map<Long, String> requests = new LinkedHashMap<>(); // destination by nonce
    private final Map<String, LastRequest> answered = new LinkedHashMap<>(); // by member: its newest answered request

    RetryBudgets(double ratio, Nonces nonces, Outbox out) {
        this.earnedUnits = Math.max(0, (long) (ratio * UNITS_PER_RETRY));
        this.nonces = nonces;
        this.out = out;
    }

    void onFirstAttempt(String destination) {
        add(destination, earnedUnits);
    }

    private void add(String destination, long units) {
        balances.put(
                destination, Math.min(MAX_RETRIES * UNITS_PER_RETRY, balances.getOrDefault(destination, 0L) + units));
    }

    /** Whole retries that may be made. */
    int available(String destination) {
        return (int) (balances.getOrDefault(destination, 0L) / UNITS_PER_RETRY);
    }

    /** Records that a destination is short of retries; others are asked for some in the next round. */
    void markShort(String destination) {
        if (shortDestinations.size() < MAX_SHORT_DESTINATIONS) {
            shortDestinations.add(destination);
        }
    }

    /** Spends one retry. Returns false, and spends nothing, if none is available. */
    boolean spend(String destination) {
        long balance = balances.getOrDefault(destination, 0L);
        if (balance < UNITS_PER_RETRY) {
            markShort(destination);
            return false;
        }
        balances.put(destination, balance - UNITS_PER_RETRY);
        return true;
    }

    /** Asks some members for the retries that were short since the last round. */
    void round(List<String> members) {
        for (String destination : shortDestinations) {
            for (String to : members.subList(0, Math.min(MEMBERS_PER_REQUEST, members.size()))) {
                long nonce = nonces.next();
                requests.put(nonce, destination);
                if (requests.size() > MAX_REQUESTS) {
                    requests.remove(requests.keySet().iterator().next());
                }
                out.send(to, new LoanRequest(nonce, PREFIX + destination, RETRIES_PER_REQUEST));
            }
        }
        shortDestinations.clear();
    }

    /** Another process requests retries. Returns false if the request was answered before or came out of order. */
    boolean onRequest(String from, long incarnation, LoanRequest request) {
        LastRequest last = answered.get(from);
        if (last != null && last.incarnation == incarnation && request.nonce() <= last.nonce) {
            return false;
        }
        String destination = request.budget().substring(PREFIX.length());
        long balance = balances.getOrDefault(destination, 0L);
        long given = Math.min(request.parts(), (balance - RESERVE_UNITS) / UNITS_PER_RETRY);
        if (given > 0) {
            answered.put(from, new LastRequest(incarnation, request.nonce()));
            balances.put(destination, balance - given * UNITS_PER_RETRY);
            out.send(from, new RetryTransfer(request.nonce(), request.budget(), (int) given));
        }
        return true;
    }

    /** Retries were transferred to us. Returns false if we requested none, or have counted them already. */
    boolean onTransfer(RetryTransfer gift) {
        String destination = requests.get(gift.number());
        if (destination == null || !(PREFIX + destination).equals(gift.budget())) {
            return false;
        }
        requests.remove(gift.number());
        add(destination, Math.min(gift.retries(), RETRIES_PER_REQUEST) * UNITS_PER_RETRY);
        return true;
    }
}
