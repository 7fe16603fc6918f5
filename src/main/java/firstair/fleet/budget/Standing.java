package firstair.fleet.budget;

import firstair.fleet.Outbox;
import firstair.fleet.Setup;
import firstair.fleet.talk.Note.StandingAnswer;
import firstair.fleet.talk.Note.StandingAsk;
import firstair.fleet.talk.Note.StandingBack;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * The standings that this process holds or asks for: its own always, and those of silent members that it uses meanwhile
 * ("reclaimed"). All voters get the same ask; how long a standing is held follows from what they granted, see
 * {@link Rules}.
 */
final class Standing {
    private static final int MOST_ASKS = 64; // remembered; older ones would hardly count any more
    private static final double ASKS_IN_TERM = 5;
    private static final double JITTER = 0.1;
    private static final double TERMS_TO_TRY = 2; // after which a reclaim without success is given up

    private record Ask(String of, double sentAt) {}

    private static final class Holding {
        final String of;
        final double giveUpAt;
        final Map<String, Double> grants = new LinkedHashMap<>(); // by voter: from when its newest grant counts
        final Set<String> refusedBy = new LinkedHashSet<>(); // of the newest ask
        long newestAsk;
        double askAt = Double.NEGATIVE_INFINITY;
        double until = Double.NEGATIVE_INFINITY;
        boolean returning; // not used any more, given back once nothing of it is lent

        Holding(String of, double giveUpAt) {
            this.of = of;
            this.giveUpAt = giveUpAt;
        }
    }

    private final Rules rules;
    private final Setup setup;
    private final long incarnation;
    private final Numbers numbers;
    private final Random random;
    private final Outbox out;
    private final Standings voter; // our own promises, null where we are no voter
    private final Map<Long, Ask> asks = new LinkedHashMap<>();
    private final Map<String, Holding> holdings = new LinkedHashMap<>();

    Standing(Rules rules, long incarnation, Numbers numbers, Random random, Outbox out, Standings voter) {
        this.rules = rules;
        this.setup = rules.setup();
        this.incarnation = incarnation;
        this.numbers = numbers;
        this.random = random;
        this.out = out;
        this.voter = voter;
        holdings.put(setup.self(), new Holding(setup.self(), Double.POSITIVE_INFINITY));
    }

    /** Until when a member's standing may be used here; negative infinity if it may not. */
    double until(String of) {
        Holding h = holdings.get(of);
        return h == null || h.returning ? Double.NEGATIVE_INFINITY : h.until;
    }

    /** Whether our own standing is held. */
    boolean stands(double now) {
        return now < until(setup.self());
    }

    /** Whose standings may be used now, our own first. */
    List<String> held(double now) {
        return holdings.keySet().stream().filter(of -> now < until(of)).toList();
    }

    /** Members whose standing is or was asked for and not given back yet, without our own. */
    List<String> reclaimed() {
        return holdings.keySet().stream().filter(of -> !of.equals(setup.self())).toList();
    }

    /** Asks for the standing of a silent member too, from the next timer on. */
    void reclaim(double now, String of) {
        holdings.putIfAbsent(of, new Holding(of, now + TERMS_TO_TRY * setup.quietMs()));
    }

    /** It is not used any more, and given back by {@link #giveBack} once nothing of it is lent. */
    void end(String of) {
        Holding h = holdings.get(of);
        if (h != null) {
            h.returning = true;
        }
    }

    /** Which standings are to be given back as soon as nothing of them is lent. */
    List<String> returning() {
        return holdings.values().stream()
                .filter(h -> h.returning)
                .map(h -> h.of)
                .toList();
    }

    /** Tells the voters that it is used no more. Answers that are still under way are not counted. */
    void giveBack(String of) {
        Holding h = holdings.remove(of);
        asks.values().removeIf(a -> a.of.equals(of));
        if (h == null || h.askAt == Double.NEGATIVE_INFINITY) {
            return; // never asked for
        }
        for (String v : setup.voters()) {
            if (!v.equals(setup.self())) {
                out.send(v, new StandingBack(h.newestAsk, of));
            } else if (voter != null) {
                voter.back(v, incarnation, h.newestAsk, of);
            }
        }
    }

    /** Asks where it is time to. Returns when it wants to be called next. */
    double timer(double now) {
        double next = Double.POSITIVE_INFINITY;
        for (Holding h : List.copyOf(holdings.values())) {
            if (h.returning) {
                continue;
            }
            if (now >= h.giveUpAt && now >= h.until) {
                h.returning = true;
                continue;
            }
            if (now >= h.askAt) {
                h.askAt = now + setup.quietMs() / ASKS_IN_TERM * (1 - JITTER + 2 * JITTER * random.nextDouble());
                ask(now, h);
            }
            next = Math.min(next, h.askAt);
        }
        return next;
    }

    private void ask(double now, Holding h) {
        long nonce = numbers.next();
        h.newestAsk = nonce;
        h.refusedBy.clear();
        asks.put(nonce, new Ask(h.of, now));
        if (asks.size() > MOST_ASKS) {
            asks.remove(asks.keySet().iterator().next());
        }
        for (String v : setup.voters()) {
            if (!v.equals(setup.self())) {
                out.send(v, new StandingAsk(nonce, h.of));
            } else if (voter != null) {
                answer(now, v, new StandingAnswer(nonce, h.of, voter.ask(now, v, incarnation, nonce, h.of)));
            }
        }
    }

    /** A voter has answered. Whether the answer belonged to an ask that still counts. */
    boolean answer(double now, String from, StandingAnswer note) {
        Ask ask = asks.get(note.nonce());
        if (ask == null || !ask.of.equals(note.of()) || !setup.voters().contains(from)) {
            return false;
        }
        Holding h = holdings.get(ask.of);
        boolean own = h.of.equals(setup.self());
        if (note.granted()) {
            h.grants.merge(from, rules.countedFrom(ask.sentAt, now), Math::max);
            List<Double> newestFirst = new ArrayList<>(h.grants.values());
            newestFirst.sort(Comparator.reverseOrder());
            int enough = rules.enough(own);
            if (newestFirst.size() >= enough) {
                h.until = newestFirst.get(enough - 1) + rules.useMs();
            }
        } else if (!own && note.nonce() == h.newestAsk) {
            h.refusedBy.add(from);
            // No majority can grant this ask any more: the member is back, or another one holds it.
            h.returning |= h.refusedBy.size() > setup.voters().size() - setup.majority();
        }
        return true;
    }
}
