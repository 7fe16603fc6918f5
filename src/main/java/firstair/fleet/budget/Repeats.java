package firstair.fleet.budget;

import firstair.fleet.Outbox;
import firstair.fleet.talk.Note.Gift;
import firstair.fleet.talk.Note.LoanAsk;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Repeats that first tries have earned, for each destination. They are counted here, need no talk, and are handed over
 * for good: the giver deducts before it sends. So over the whole fleet there are never more repeats than first tries
 * times the ratio, whatever is lost, doubled or late. A gift answers an ask and carries its nonce, and counts once and
 * only at the process that asked: one that came again after a restart would be counted a second time otherwise.
 */
final class Repeats {
    /** Budgets that begin so are repeats of the destination that follows. */
    static final String PREFIX = "r:";

    private static final long ONE = 1_000_000; // a repeat, in the unit in which first tries earn
    private static final int MOST_DESTINATIONS = 4096;
    private static final int MOST_ASKS = 256;
    private static final int MOST_WANTED = 64;
    private static final int SEVERAL = 2; // members asked in a round
    private static final int WANTED = 4; // repeats asked for at once
    private static final int CAP = 100; // repeats of a destination that are kept
    private static final long KEPT = ONE; // not given away

    private record Asker(long incarnation, long nonce) {}

    private final long earned;
    private final Numbers numbers;
    private final Outbox out;
    private final Map<String, Long> held = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MOST_DESTINATIONS; // the one used least lately: its repeats are lost
        }
    };
    private final Set<String> wanted = new LinkedHashSet<>();
    private final Map<Long, String> asks = new LinkedHashMap<>(); // destination by nonce
    private final Map<String, Asker> askers = new LinkedHashMap<>(); // by member: the newest ask that was answered

    Repeats(double ratio, Numbers numbers, Outbox out) {
        this.earned = Math.max(0, (long) (ratio * ONE));
        this.numbers = numbers;
        this.out = out;
    }

    void firstTry(String destination) {
        add(destination, earned);
    }

    private void add(String destination, long units) {
        held.put(destination, Math.min(CAP * ONE, held.getOrDefault(destination, 0L) + units));
    }

    /** Repeats that may be made. */
    int left(String destination) {
        return (int) (held.getOrDefault(destination, 0L) / ONE);
    }

    /** One is lacking. */
    void want(String destination) {
        if (wanted.size() < MOST_WANTED) {
            wanted.add(destination);
        }
    }

    /** Whether a repeat may be made; it is counted then. */
    boolean repeat(String destination) {
        long has = held.getOrDefault(destination, 0L);
        if (has < ONE) {
            want(destination);
            return false;
        }
        held.put(destination, has - ONE);
        return true;
    }

    /** Asks some members for what was lacking since the last round. */
    void round(List<String> from) {
        for (String destination : wanted) {
            for (String to : from.subList(0, Math.min(SEVERAL, from.size()))) {
                long nonce = numbers.next();
                asks.put(nonce, destination);
                if (asks.size() > MOST_ASKS) {
                    asks.remove(asks.keySet().iterator().next());
                }
                out.send(to, new LoanAsk(nonce, PREFIX + destination, WANTED));
            }
        }
        wanted.clear();
    }

    /** Another process asks for some. False if it is an ask that was answered or came out of order. */
    boolean asked(String from, long incarnation, LoanAsk ask) {
        Asker last = askers.get(from);
        if (last != null && last.incarnation == incarnation && ask.nonce() <= last.nonce) {
            return false;
        }
        String destination = ask.budget().substring(PREFIX.length());
        long has = held.getOrDefault(destination, 0L);
        long gives = Math.min(ask.parts(), (has - KEPT) / ONE);
        if (gives > 0) {
            askers.put(from, new Asker(incarnation, ask.nonce()));
            held.put(destination, has - gives * ONE);
            out.send(from, new Gift(ask.nonce(), ask.budget(), (int) gives));
        }
        return true;
    }

    /** Some were given. False if they were not asked for, or are counted already. */
    boolean came(Gift gift) {
        String destination = asks.get(gift.number());
        if (destination == null || !(PREFIX + destination).equals(gift.budget())) {
            return false;
        }
        asks.remove(gift.number());
        add(destination, Math.min(gift.repeats(), WANTED) * ONE);
        return true;
    }
}
