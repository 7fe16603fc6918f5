package firstair.fleet.budget;

import firstair.fleet.Outbox;
import firstair.fleet.Setup;
import firstair.fleet.fault.Fault;
import firstair.fleet.talk.Note;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * What this process may use of each budget that the fleet shares, and its share in the talk about that. {@link Rules}
 * holds the invariant and why it holds.
 *
 * <p>All times are milliseconds of the relay's own advancing clock, and never go back. The invariant rests on when the
 * clock is read: for {@link #heard} after the note has come, for {@link #timer} before what it sends is sent, for
 * {@link #part} before what it allows is used, and late enough that little passes in between. A moment that was read
 * before a wait for notes must not be told with them. A budget is a name such as {@code d:7}; parts of it are
 * millionths. {@link #part} may be asked at any moment and compares with {@code now} itself: a process that was paused
 * finds what is over to be over.
 */
public final class Budgets {
    private static final double ROUNDS_IN_TERM = 10;
    private static final double FORGOTTEN_MS = 60_000; // a need that is not told again
    private static final double LATE_AGAIN_MS = 60_000; // between two reports of late loans
    private static final int MOST_NEEDS = 4096;
    private static final int MOST_ASKS = 64; // for loans, in a round
    private static final int MOST_RECLAIMED = 8;
    private static final int LONGEST_NAME = 200;
    private static final double RESERVE = 0.05; // of its need that a lender keeps beyond it
    private static final double SHORT = 0.25; // of a standing: a lack beyond it calls for a reclaim
    private static final double SHORT_TERM = 0.5; // share of a term for which the lack has lasted then
    private static final double EASE = 1.25; // of a standing: with so much to spare one is given back

    private static final class Need {
        int parts;
        double toldAt;
    }

    private final Setup setup;
    private final Rules rules;
    private final Random random;
    private final Outbox out;
    private final Standings voter; // null where we are no voter
    private final Standing standing;
    private final Loans loans;
    private final Repeats repeats;
    private final Map<String, Long> newest = new LinkedHashMap<>(); // incarnations, by member
    private final Map<String, Need> needs = new LinkedHashMap<>(); // by budget
    private final Map<String, Double> notBefore = new LinkedHashMap<>(); // by member: its next reclaim
    private Set<String> alive; // null until it is told
    private double roundAt = Double.NEGATIVE_INFINITY;
    private double shortSince = Double.POSITIVE_INFINITY;
    private double easySince = Double.POSITIVE_INFINITY;
    private double lateToldAt = Double.NEGATIVE_INFINITY;
    private double aloneSince;
    private boolean aloneTold;
    private boolean onlySure;
    private boolean steppedBack;
    private long dropped;

    /**
     * A process starts, and remembers nothing of an earlier one.
     *
     * @param incarnation of this process, higher than that of all before it under this name
     * @param now         at its start
     * @param ratio       repeats that a first try earns, such as 0.1
     */
    public Budgets(Setup setup, long incarnation, Random random, Outbox out, double now, double ratio) {
        this(new Rules(setup), incarnation, random, out, now, ratio);
    }

    Budgets(Rules rules, long incarnation, Random random, Outbox out, double now, double ratio) {
        this.setup = rules.setup();
        this.rules = rules;
        this.random = random;
        this.out = out;
        Numbers numbers = new Numbers(setup.self(), incarnation);
        voter = setup.voters().contains(setup.self()) ? new Standings(rules, now) : null;
        standing = new Standing(rules, incarnation, numbers, random, out, voter);
        loans = new Loans(rules, numbers, out);
        repeats = new Repeats(ratio, numbers, out);
        aloneSince = now + rules.startSilenceMs(); // until then voters that start with us grant nothing
    }

    // ---- what may be used ----

    /** What may be used of a budget from now on, until the next event. */
    public Part part(double now, String budget) {
        int sure = setup.sure();
        if (onlySure || !standing.stands(now)) {
            return new Part(sure, Double.POSITIVE_INFINITY, sure);
        }
        int parts = sure + loans.borrowed(now, budget);
        double until = loans.borrowedUntil(now, budget);
        for (String of : standing.held(now)) {
            parts += rules.standing() - loans.lent(now, budget, of);
            until = Math.min(until, standing.until(of));
        }
        return new Part(parts, until, sure);
    }

    /** Whether our own standing is held: a majority of the voters has been heard of late. */
    public boolean stands(double now) {
        return !onlySure && standing.stands(now);
    }

    /** Notes that were dropped since the start: not from a member, out of date, not asked for, or not to be. */
    public long dropped() {
        return dropped;
    }

    /**
     * How much of a budget could be used here now. It is forgotten after a minute, so it has to be told again.
     *
     * @param parts millionths of the whole
     */
    public void need(double now, String budget, int parts) {
        if (!isName(budget)
                || budget.startsWith(Repeats.PREFIX)
                || needs.size() >= MOST_NEEDS && !needs.containsKey(budget)) {
            return;
        }
        Need n = needs.computeIfAbsent(budget, b -> new Need());
        n.parts = Math.max(0, Math.min(Setup.WHOLE, parts));
        n.toldAt = now;
    }

    /**
     * Which members are heard: only a hint whom to ask for loans, and whose part may lie idle; no safety rests on it.
     * Until it is first told, all are asked and nobody's part is held to be idle.
     */
    public void alive(Set<String> members) {
        alive = new LinkedHashSet<>(members);
    }

    /** A message was sent for the first time. */
    public void firstTry(String destination) {
        repeats.firstTry(destination);
    }

    /** How often messages may be sent again there. */
    public int repeats(String destination) {
        return repeats.left(destination);
    }

    /** A message there waits for a repeat: some are asked for. */
    public void want(String destination) {
        repeats.want(destination);
    }

    /** Whether a message may be sent again; if so, that is counted. */
    public boolean repeat(String destination) {
        return repeats.repeat(destination);
    }

    // ---- events ----

    /** A note of another process has come; notes that are not about budgets are none of ours. */
    public void heard(double now, String from, long incarnation, Note note) {
        if (!isName(from)
                || from.equals(setup.self())
                || !setup.members().contains(from)
                || incarnation < newest.getOrDefault(from, Long.MIN_VALUE)) {
            dropped++;
            return;
        }
        newest.put(from, incarnation);
        if (!take(now, from, incarnation, note)) {
            dropped++;
        }
    }

    private boolean take(double now, String from, long incarnation, Note note) {
        if (note instanceof Note.StandingAsk ask) {
            return asked(now, from, incarnation, ask);
        } else if (note instanceof Note.StandingAnswer answer) {
            return standing.answer(now, from, answer);
        } else if (note instanceof Note.StandingBack back) {
            if (voter == null) {
                return false;
            }
            voter.back(from, incarnation, back.nonce(), back.of());
            return true;
        } else if (note instanceof Note.LoanAsk ask) {
            return asked(now, from, incarnation, ask);
        } else if (note instanceof Note.Loan loan) {
            return came(now, from, loan);
        } else if (note instanceof Note.LoanBack back) {
            return loans.back(from, incarnation, back);
        } else if (note instanceof Note.Gift gift) {
            return gift.repeats() > 0 && repeats.came(gift);
        }
        return false;
    }

    private boolean asked(double now, String from, long incarnation, Note.StandingAsk ask) {
        if (voter == null
                || steppedBack
                || !isName(ask.of())
                || !setup.members().contains(ask.of())) {
            return false;
        }
        boolean granted = voter.ask(now, from, incarnation, ask.nonce(), ask.of());
        out.send(from, new Note.StandingAnswer(ask.nonce(), ask.of(), granted));
        return true;
    }

    private boolean asked(double now, String from, long incarnation, Note.LoanAsk ask) {
        if (ask.parts() <= 0 || !isName(ask.budget())) {
            return false;
        }
        if (ask.budget().startsWith(Repeats.PREFIX)) {
            return repeats.asked(from, incarnation, ask);
        }
        if (stands(now)) {
            Need need = needs.get(ask.budget());
            int kept = need == null ? 0 : (int) (need.parts * (1 + RESERVE));
            Map<String, Double> sources = new LinkedHashMap<>();
            standing.held(now).forEach(of -> sources.put(of, standing.until(of)));
            loans.asked(now, from, incarnation, ask, part(now, ask.budget()).parts() - kept, sources);
        }
        return true;
    }

    private boolean came(double now, String from, Note.Loan loan) {
        if (loan.parts() <= 0 || !(loan.termMs() > 0) || !isName(loan.budget())) {
            return false;
        }
        if (!onlySure && loans.came(now, from, loan)) {
            return true;
        }
        if (now - lateToldAt >= LATE_AGAIN_MS) {
            lateToldAt = now;
            out.report(new Fault.LoanOver(from, loan.number()).line());
        }
        return false;
    }

    private static boolean isName(String name) {
        return name != null && !name.isEmpty() && name.length() <= LONGEST_NAME;
    }

    /** Does what is due. Returns when it wants to be called next; infinite if never. */
    public double timer(double now) {
        loans.expire(now);
        double next = Double.POSITIVE_INFINITY;
        if (!onlySure) {
            next = standing.timer(now);
            tellIfAlone(now);
            if (now >= roundAt) {
                roundAt = now + setup.quietMs() / ROUNDS_IN_TERM;
                round(now);
            }
        }
        giveBack(now);
        boolean more = !onlySure || !standing.returning().isEmpty();
        return Math.min(next, more ? Math.max(now, roundAt) : Double.POSITIVE_INFINITY);
    }

    /** What is not used any more goes back once nothing of it is lent. */
    private void giveBack(double now) {
        for (String of : standing.returning()) {
            if (!loans.lends(now, of)) {
                standing.giveBack(of);
            }
        }
        if (onlySure) {
            roundAt = now + setup.quietMs() / ROUNDS_IN_TERM;
        }
    }

    private void tellIfAlone(double now) {
        if (standing.stands(now)) {
            if (aloneTold) {
                out.report("a majority of the voters is heard again, after " + (long) (now - aloneSince) + " ms");
            }
            aloneTold = false;
            aloneSince = standing.until(setup.self()) - rules.useMs();
        } else if (!aloneTold && now - aloneSince >= rules.useMs()) {
            aloneTold = true;
            out.report(new Fault.Alone((long) (now - aloneSince)).line());
        }
    }

    private void round(double now) {
        for (String budget : List.copyOf(needs.keySet())) {
            if (now - needs.get(budget).toldAt >= FORGOTTEN_MS) {
                needs.remove(budget);
                loans.done(budget);
            }
        }
        List<String> others = others();
        repeats.round(others);
        int lack = Integer.MIN_VALUE;
        int room = MOST_ASKS;
        List<String> budgets = new ArrayList<>(needs.keySet());
        Collections.rotate(budgets, budgets.isEmpty() ? 0 : random.nextInt(budgets.size())); // nobody is always last
        for (String budget : budgets) {
            int need = needs.get(budget).parts;
            int have = part(now, budget).parts();
            lack = Math.max(lack, need - have);
            if (standing.stands(now)) { // without it nothing that is borrowed would be used
                room -= loans.round(now, budget, need, have, others, room);
            }
        }
        reclaims(now, lack);
    }

    /** The others that are heard, in an order drawn anew. */
    private List<String> others() {
        List<String> others = new ArrayList<>(setup.members());
        others.removeIf(m -> m.equals(setup.self()) || alive != null && !alive.contains(m));
        Collections.shuffle(others, random);
        return others;
    }

    /** Where loans have not been enough for a while, what silent members leave unused is asked for. */
    private void reclaims(double now, int lack) {
        shortSince = lack > SHORT * rules.standing() ? Math.min(shortSince, now) : Double.POSITIVE_INFINITY;
        easySince = lack < -EASE * rules.standing() ? Math.min(easySince, now) : Double.POSITIVE_INFINITY;
        List<String> reclaimed = standing.reclaimed();
        boolean stands = standing.stands(now); // without our own nothing else is used either
        reclaimed.stream()
                .filter(of -> !stands || alive == null || alive.contains(of))
                .forEach(standing::end);
        if (!reclaimed.isEmpty() && now - easySince >= setup.quietMs()) {
            standing.end(reclaimed.get(reclaimed.size() - 1));
            easySince = now; // one at a time
        }
        if (alive == null
                || !stands
                || reclaimed.size() >= MOST_RECLAIMED
                || now - shortSince < SHORT_TERM * setup.quietMs()) {
            return;
        }
        List<String> silent = new ArrayList<>(setup.members());
        silent.removeIf(m -> m.equals(setup.self())
                || alive.contains(m)
                || reclaimed.contains(m)
                || now < notBefore.getOrDefault(m, Double.NEGATIVE_INFINITY));
        if (!silent.isEmpty()) {
            String of = silent.get(random.nextInt(silent.size()));
            notBefore.put(of, now + setup.quietMs() * (1 + random.nextDouble()));
            standing.reclaim(now, of);
        }
    }

    /** A later process has our name: from now on only what is sure is used, and nothing is asked for or granted. */
    public void stepBack(double now) {
        steppedBack = true;
        leave(now);
    }

    /** The process ends in order: what it holds goes back at once, but for what it has lent. */
    public void leave(double now) {
        onlySure = true;
        loans.done();
        standing.end(setup.self());
        standing.reclaimed().forEach(standing::end);
        giveBack(now);
    }
}
