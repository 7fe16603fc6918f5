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
 * What this process may use of each budget that the fleet shares, and its side of the exchange of notes about them.
 * {@link LeaseRules} states the safety invariant and why it holds.
 *
 * <p>All times are milliseconds of the relay's own monotonic clock. The invariant depends on when the clock is read:
 * for {@link #onNote} after the note has arrived, for {@link #timer} before what it sends is sent, for
 * {@link #allocation} before what it allows is used, and late enough that little time passes in between. A time that
 * was read before waiting for notes must not be passed in with them. A budget is a name such as {@code d:7}; its parts
 * are millionths. {@link #allocation} may be called at any moment and compares with {@code now} itself: a process that
 * was paused finds that what has expired is gone.
 */
public final class Budgets {
    private static final double ROUNDS_PER_TERM = 10;
    private static final double NEED_TTL_MS = 60_000; // a need that is not reported again is removed
    private static final double LATE_LOAN_REPORT_MS = 60_000; // between two reports of late loans
    private static final int MAX_NEEDS = 4096;
    private static final int MAX_LOAN_REQUESTS = 64; // in a round
    private static final int MAX_RECLAIMED = 8;
    private static final int MAX_NAME_LENGTH = 200;
    private static final double LENDER_RESERVE = 0.05; // of its need that a lender keeps beyond it
    private static final double SHORTAGE = 0.25; // of a lease: a larger shortage leads to a reclaim
    private static final double SHORTAGE_TERM = 0.5; // of a term for which the shortage must have lasted
    private static final double SURPLUS = 1.25; // of a lease: with more to spare a reclaimed lease is released

    private static final class Need {
        int parts;
        double reportedAt;
    }

    private final Setup setup;
    private final LeaseRules rules;
    private final Random random;
    private final Outbox out;
    private final LeaseVoter voter; // null where we are no voter
    private final LeaseHolder leases;
    private final Loans loans;
    private final RetryBudgets retries;
    private final Map<String, Long> newestIncarnation = new LinkedHashMap<>(); // by member
    private final Map<String, Need> needs = new LinkedHashMap<>(); // by budget
    private final Map<String, Double> nextReclaimAt = new LinkedHashMap<>(); // by member
    private Set<String> alive; // null until it is first set
    private double roundAt = Double.NEGATIVE_INFINITY;
    private double shortageSince = Double.POSITIVE_INFINITY;
    private double surplusSince = Double.POSITIVE_INFINITY;
    private double lateLoanReportedAt = Double.NEGATIVE_INFINITY;
    private double noQuorumSince;
    private boolean noQuorumReported;
    private boolean onlyGuaranteed;
    private boolean steppedDown;
    private long dropped;

    /**
     * Starts with no memory of an earlier process.
     *
     * @param incarnation of this process, higher than those of all earlier ones under this name
     * @param now         time of its start
     * @param ratio       retries that a first attempt earns, such as 0.1
     */
    public Budgets(Setup setup, long incarnation, Random random, Outbox out, double now, double ratio) {
        this(new LeaseRules(setup), incarnation, random, out, now, ratio);
    }

    Budgets(LeaseRules rules, long incarnation, Random random, Outbox out, double now, double ratio) {
        this.setup = rules.setup();
        this.rules = rules;
        this.random = random;
        this.out = out;
        Nonces nonces = new Nonces(setup.self(), incarnation);
        voter = setup.voters().contains(setup.self()) ? new LeaseVoter(rules, now) : null;
        leases = new LeaseHolder(rules, incarnation, nonces, random, out, voter);
        loans = new Loans(rules, nonces, out);
        retries = new RetryBudgets(ratio, nonces, out);
        noQuorumSince = now + rules.startupSilenceMs(); // until then voters that start with us grant nothing
    }

    // ---- what may be used ----

    /** What may be used of a budget from now on, until the next event. */
    public Allocation allocation(double now, String budget) {
        int guaranteed = setup.guaranteedParts();
        if (onlyGuaranteed || !leases.holdsOwn(now)) {
            return new Allocation(guaranteed, Double.POSITIVE_INFINITY, guaranteed);
        }
        int parts = guaranteed + loans.borrowedParts(now, budget);
        double until = loans.borrowedUntil(now, budget);
        for (String member : leases.held(now)) {
            parts += rules.leaseParts() - loans.lentParts(now, budget, member);
            until = Math.min(until, leases.until(member));
        }
        return new Allocation(parts, until, guaranteed);
    }

    /** Whether our own lease is held, that is, whether a majority of the voters has answered recently. */
    public boolean holdsOwnLease(double now) {
        return !onlyGuaranteed && leases.holdsOwn(now);
    }

    /** Notes dropped since the start: not from a member, outdated, not requested, or invalid. */
    public long dropped() {
        return dropped;
    }

    /**
     * Sets how much of a budget could be used here now. It expires after a minute, so it has to be set repeatedly.
     *
     * @param parts millionths of the whole
     */
    public void need(double now, String budget, int parts) {
        if (!isName(budget)
                || budget.startsWith(RetryBudgets.PREFIX)
                || needs.size() >= MAX_NEEDS && !needs.containsKey(budget)) {
            return;
        }
        Need need = needs.computeIfAbsent(budget, k -> new Need());
        need.parts = Math.max(0, Math.min(Setup.WHOLE, parts));
        need.reportedAt = now;
    }

    /**
     * Sets the members that are alive: only a hint about which to ask for loans, and whose part may be unused; no
     * safety rests on it. Until it is first set, all members are asked and none is taken to be silent.
     */
    public void alive(Set<String> members) {
        alive = new LinkedHashSet<>(members);
    }

    /** A message was sent for the first time. */
    public void onFirstAttempt(String destination) {
        retries.onFirstAttempt(destination);
    }

    /** How many retries to a destination are available. */
    public int availableRetries(String destination) {
        return retries.available(destination);
    }

    /** A message to a destination waits for a retry: some are requested from other members. */
    public void requestRetries(String destination) {
        retries.markShort(destination);
    }

    /** Spends one retry. Returns false, and spends nothing, if none is available. */
    public boolean spendRetry(String destination) {
        return retries.spend(destination);
    }

    // ---- events ----

    /** A note of another process has arrived; notes that are not about budgets are dropped. */
    public void onNote(double now, String from, long incarnation, Note note) {
        if (!isName(from)
                || from.equals(setup.self())
                || !setup.members().contains(from)
                || incarnation < newestIncarnation.getOrDefault(from, Long.MIN_VALUE)) {
            dropped++;
            return;
        }
        newestIncarnation.put(from, incarnation);
        if (!dispatch(now, from, incarnation, note)) {
            dropped++;
        }
    }

    private boolean dispatch(double now, String from, long incarnation, Note note) {
        if (note instanceof Note.LeaseRequest request) {
            return onLeaseRequest(now, from, incarnation, request);
        } else if (note instanceof Note.LeaseAnswer answer) {
            return leases.onAnswer(now, from, answer);
        } else if (note instanceof Note.LeaseRelease release) {
            if (voter == null) {
                return false;
            }
            voter.release(from, incarnation, release.nonce(), release.of());
            return true;
        } else if (note instanceof Note.LoanRequest request) {
            return onLoanRequest(now, from, incarnation, request);
        } else if (note instanceof Note.Loan loan) {
            return onLoan(now, from, loan);
        } else if (note instanceof Note.LoanReturn back) {
            return loans.onReturn(from, incarnation, back);
        } else if (note instanceof Note.RetryTransfer gift) {
            return gift.retries() > 0 && retries.onTransfer(gift);
        }
        return false;
    }

    private boolean onLeaseRequest(double now, String from, long incarnation, Note.LeaseRequest request) {
        if (voter == null
                || steppedDown
                || !isName(request.of())
                || !setup.members().contains(request.of())) {
            return false;
        }
        boolean granted = voter.request(now, from, incarnation, request.nonce(), request.of());
        out.send(from, new Note.LeaseAnswer(request.nonce(), request.of(), granted));
        return true;
    }

    private boolean onLoanRequest(double now, String from, long incarnation, Note.LoanRequest request) {
        if (request.parts() <= 0 || !isName(request.budget())) {
            return false;
        }
        if (request.budget().startsWith(RetryBudgets.PREFIX)) {
            return retries.onRequest(from, incarnation, request);
        }
        if (holdsOwnLease(now)) {
            Need need = needs.get(request.budget());
            int kept = need == null ? 0 : (int) (need.parts * (1 + LENDER_RESERVE));
            Map<String, Double> sources = new LinkedHashMap<>();
            leases.held(now).forEach(member -> sources.put(member, leases.until(member)));
            loans.onRequest(
                    now,
                    from,
                    incarnation,
                    request,
                    allocation(now, request.budget()).parts() - kept,
                    sources);
        }
        return true;
    }

    private boolean onLoan(double now, String from, Note.Loan loan) {
        if (loan.parts() <= 0 || !(loan.termMs() > 0) || !isName(loan.budget())) {
            return false;
        }
        if (!onlyGuaranteed && loans.onLoan(now, from, loan)) {
            return true;
        }
        if (now - lateLoanReportedAt >= LATE_LOAN_REPORT_MS) {
            lateLoanReportedAt = now;
            out.report(new Fault.LoanOver(from, loan.number()).line());
        }
        return false;
    }

    private static boolean isName(String name) {
        return name != null && !name.isEmpty() && name.length() <= MAX_NAME_LENGTH;
    }

    /** Does what is due. Returns when to be called next; infinite if never. */
    public double timer(double now) {
        loans.expire(now);
        double next = Double.POSITIVE_INFINITY;
        if (!onlyGuaranteed) {
            next = leases.timer(now);
            reportQuorum(now);
            if (now >= roundAt) {
                roundAt = now + setup.quietMs() / ROUNDS_PER_TERM;
                round(now);
            }
        }
        releaseEnded(now);
        boolean more = !onlyGuaranteed || !leases.releasing().isEmpty();
        return Math.min(next, more ? Math.max(now, roundAt) : Double.POSITIVE_INFINITY);
    }

    /** Releases leases that are no longer used once nothing of them is lent. */
    private void releaseEnded(double now) {
        for (String member : leases.releasing()) {
            if (!loans.lends(now, member)) {
                leases.release(member);
            }
        }
        if (onlyGuaranteed) {
            roundAt = now + setup.quietMs() / ROUNDS_PER_TERM;
        }
    }

    private void reportQuorum(double now) {
        if (leases.holdsOwn(now)) {
            if (noQuorumReported) {
                out.report(
                        "a majority of the voters is reachable again, after " + (long) (now - noQuorumSince) + " ms");
            }
            noQuorumReported = false;
            noQuorumSince = leases.until(setup.self()) - rules.leaseMs();
        } else if (!noQuorumReported && now - noQuorumSince >= rules.leaseMs()) {
            noQuorumReported = true;
            out.report(new Fault.Alone((long) (now - noQuorumSince)).line());
        }
    }

    private void round(double now) {
        for (String budget : List.copyOf(needs.keySet())) {
            if (now - needs.get(budget).reportedAt >= NEED_TTL_MS) {
                needs.remove(budget);
                loans.returnAll(budget);
            }
        }
        List<String> others = others();
        retries.round(others);
        int shortage = Integer.MIN_VALUE;
        int maxRequests = MAX_LOAN_REQUESTS;
        List<String> budgets = new ArrayList<>(needs.keySet());
        // A random starting point, so that no budget is always the last to send its requests.
        Collections.rotate(budgets, budgets.isEmpty() ? 0 : random.nextInt(budgets.size()));
        for (String budget : budgets) {
            int need = needs.get(budget).parts;
            int have = allocation(now, budget).parts();
            shortage = Math.max(shortage, need - have);
            if (leases.holdsOwn(now)) { // without it no loan would be used
                maxRequests -= loans.round(now, budget, need, have, others, maxRequests);
            }
        }
        reclaim(now, shortage);
    }

    /** The other members that are alive, in random order. */
    private List<String> others() {
        List<String> others = new ArrayList<>(setup.members());
        others.removeIf(member -> member.equals(setup.self()) || alive != null && !alive.contains(member));
        Collections.shuffle(others, random);
        return others;
    }

    /** Requests the leases of silent members once loans have not been enough for a while. */
    private void reclaim(double now, int shortage) {
        shortageSince =
                shortage > SHORTAGE * rules.leaseParts() ? Math.min(shortageSince, now) : Double.POSITIVE_INFINITY;
        surplusSince =
                shortage < -SURPLUS * rules.leaseParts() ? Math.min(surplusSince, now) : Double.POSITIVE_INFINITY;
        List<String> reclaimed = leases.reclaimed();
        boolean holdsOwn = leases.holdsOwn(now); // without our own lease no other one is used either
        reclaimed.stream()
                .filter(member -> !holdsOwn || alive == null || alive.contains(member))
                .forEach(leases::end);
        if (!reclaimed.isEmpty() && now - surplusSince >= setup.quietMs()) {
            leases.end(reclaimed.get(reclaimed.size() - 1));
            surplusSince = now; // one at a time
        }
        if (alive == null
                || !holdsOwn
                || reclaimed.size() >= MAX_RECLAIMED
                || now - shortageSince < SHORTAGE_TERM * setup.quietMs()) {
            return;
        }
        List<String> silent = new ArrayList<>(setup.members());
        silent.removeIf(member -> member.equals(setup.self())
                || alive.contains(member)
                || reclaimed.contains(member)
                || now < nextReclaimAt.getOrDefault(member, Double.NEGATIVE_INFINITY));
        if (!silent.isEmpty()) {
            String member = silent.get(random.nextInt(silent.size()));
            nextReclaimAt.put(member, now + setup.quietMs() * (1 + random.nextDouble()));
            leases.reclaim(now, member);
        }
    }

    /** A later process has our name: from now on nothing is requested or granted and only guaranteed parts are used. */
    public void stepDown(double now) {
        steppedDown = true;
        leave(now);
    }

    /** The process shuts down in order: what it holds is released at once, except for what it has lent. */
    public void leave(double now) {
        onlyGuaranteed = true;
        loans.returnAll();
        leases.end(setup.self());
        leases.reclaimed().forEach(leases::end);
        releaseEnded(now);
    }
}
