package firstair.fleet.budget;

import firstair.fleet.Setup;

/**
 * The durations and counts on which the safety invariant rests: at every moment the parts of a budget that all running
 * processes may use add up to at most {@link Setup#WHOLE}.
 *
 * <p>A clock advances between {@code 1 - drift} and {@code 1 + drift} milliseconds per true millisecond. Below, T is
 * {@link Setup#quietMs()}, and times without a named clock are true times. A clock that stops while its machine sleeps
 * or is migrated exceeds any drift bound.
 *
 * <p><b>One holder per lease.</b> A holder sends a request at s. It uses the lease until its own clock has advanced
 * {@code T x (1 - drift)} since, which is s + T at the latest. A voter answers at a, not before s, and its grant binds
 * it until its own clock has advanced {@code T x (1 + drift)} since, which is a + T at the earliest. So each grant that
 * a holder counts outlasts the use that rests on it, however late the request, the answer or both arrive, and an answer
 * that arrives twice is counted from the same s. The holder's use ends T after the majority-th newest request that
 * voters have granted: until then a majority is bound to this one process. A voter that has just started may have
 * granted anything before its start; it grants nothing until its clock has advanced a whole grant period, when all of
 * that has expired. Any two majorities share a voter, so no second process holds the same lease meanwhile.
 *
 * <p><b>Release.</b> A holder that releases a lease uses nothing more of any request up to the nonce that it names, and
 * its nonces increase. A voter drops a grant only if its newest request is not newer than that nonce: a LeaseRelease
 * that arrives late frees nothing that was granted since. Without the nonce it would.
 *
 * <p><b>Loans.</b> A lender receives a request, sent at s, at h, not before s. It lends out of one lease that it holds
 * until its clock shows e. The term is the time its clock has left until e. The borrower stops when its own clock has
 * advanced {@code term x (1 - drift)} since s: at h + term at the latest. The lender counts the parts as lent until its
 * clock has advanced {@code term x (1 + drift)} since h: h + term at the earliest. And h + term is not after the end of
 * the voters' grants: with r the time that the lender's clock advanced between the lease request and h, the term is
 * {@code T x (1 - drift) - r}. That request was sent at most {@code r / (1 - drift)} before h, so the voters are bound
 * until at least {@code h + T - r / (1 - drift)}, which is not before h + term as long as {@code r <= T x (1 - drift)};
 * and that holds while the term is positive. So where a lender crashes, or its lease expires, nobody is granted its
 * lease before its loans have expired; and it releases a lease only when nothing of it is lent. A borrower uses one
 * loan of a lender per budget at a time, the last that it accepted, and the lender counts the largest of those that
 * have not expired.
 *
 * <p><b>Exception.</b> Two processes that run under one name at once may both use {@link Setup#guaranteedParts()} until
 * the older
 * one learns of the other. Where that name is a voter's, they may also grant one lease to two holders, each on its own:
 * a voter's name must not run twice.
 */
class LeaseRules {
    private static final double ROUNDING_MARGIN_MS = 1; // far above the rounding error of a sum of milliseconds

    private final Setup setup;

    LeaseRules(Setup setup) {
        this.setup = setup;
    }

    /** The configuration that all members share. */
    final Setup setup() {
        return setup;
    }

    /** The parts of a budget that come with the lease of one member. */
    final int leaseParts() {
        return setup.equalParts() - setup.guaranteedParts();
    }

    /** The time on the holder's clock from which the term of a grant is counted. */
    double termStart(double sentAt, double receivedAt) {
        return sentAt;
    }

    /** How long, on its own clock, a holder uses a lease after a request. */
    final double leaseMs() {
        return setup.quietMs() * (1 - setup.drift());
    }

    /** How long, on its own clock, a voter is bound by a grant. */
    final double grantMs() {
        return setup.quietMs() * (1 + setup.drift()) + ROUNDING_MARGIN_MS;
    }

    /**
     * How long after its start a voter grants nothing. Safety doesn't need the message delay; it is included because
     * operators are promised it.
     */
    double startupSilenceMs() {
        return grantMs() + setup.delayMs();
    }

    /** How many voters have to grant a lease. */
    int grantsNeeded(boolean own) {
        return setup.majority();
    }

    /** Whether a release up to {@code releaseNonce} ends a grant whose newest request is {@code newestRequest}. */
    boolean endsGrant(long releaseNonce, long newestRequest) {
        return newestRequest <= releaseNonce;
    }

    /** How long, on its own clock, a borrower uses a loan after its request. */
    final double borrowedMs(double termMs) {
        return termMs * (1 - setup.drift());
    }

    /** How long, on its own clock, a lender counts a loan as lent after receiving the request. */
    double lentMs(double termMs) {
        return termMs * (1 + setup.drift()) + ROUNDING_MARGIN_MS;
    }

    /** Whether a loan request is closed by the first loan that answers it. */
    boolean closesRequestOnLoan() {
        return true;
    }
}
