package firstair.fleet.talk;

import java.util.List;

/**
 * Notes exchanged between relays. None holds content, key or id of a message. Every note may be lost, late, duplicated
 * or out of order; its handler must allow for that. Times are spans in milliseconds, never timestamps: relays share
 * no clock.
 */
public sealed interface Note {

    /** Status of a member; written by ordinal. */
    enum Status {
        ALIVE,
        SUSPECT,
        GONE
    }

    /** A claim about a member; of two the one with the higher incarnation wins, then refutation, then status. */
    record Rumour(String member, long incarnation, int refutation, Status status) {}

    /** Asks for a {@link HelloAnswer}. */
    record Hello(long nonce, List<Rumour> rumours) implements Note {}

    /** Answers a {@link Hello}. */
    record HelloAnswer(long nonce, List<Rumour> rumours) implements Note {}

    /** Asks the receiver to probe a third member. */
    record ProbeRequest(long nonce, String member) implements Note {}

    /** Reports that the third member has answered. */
    record ProbeAnswer(long nonce, String member, long incarnation) implements Note {}

    /** The sender shuts down in an orderly way. */
    record Leaving() implements Note {}

    // ---- budgets ----

    /** Asks a voter for the lease of a member for a term: the sender's own, or that of a member that is silent. */
    record LeaseRequest(long nonce, String of) implements Note {}

    /** Answers a lease request; nothing is promised unless {@code granted}. */
    record LeaseAnswer(long nonce, String of, boolean granted) implements Note {}

    /** The sender gives up every lease that was or will be granted to its requests up to this nonce. */
    record LeaseRelease(long nonce, String of) implements Note {}

    /** Requests a loan of a budget, in millionths of the whole; or, of {@code r:7}, a permanent transfer of retries. */
    record LoanRequest(long nonce, String budget, int parts) implements Note {}

    /**
     * Lends parts of a budget; the borrower stops {@code termMs} after it sent the {@link LoanRequest} with this nonce.
     */
    record Loan(long nonce, long number, String budget, int parts, double termMs) implements Note {}

    /** The borrower returns a loan. */
    record LoanReturn(long number) implements Note {}

    /** Transfers retries permanently; {@code number} is the nonce of the {@link LoanRequest} that asked for them. */
    record RetryTransfer(long number, String budget, int retries) implements Note {}

    // ---- call counts and endpoint health ----

    /** Calls of one member's process in one second of its own; the highest total of a second applies. */
    record Count(String member, long incarnation, String name, long second, long total, double ageMs) {}

    /** A batch of counts. */
    record Counts(List<Count> counts) implements Note {}

    /** What was observed of a destination or an endpoint; written by ordinal. */
    enum Observation {
        WAIT,
        FAILS,
        ANSWERS
    }

    /**
     * What one relay observed of a destination or an endpoint; valid for {@code holdsMs} from now on.
     *
     * @param subject     {@code d:7} for a destination, {@code e:NAME} for an endpoint
     * @param successRate fraction of its own recent calls to all endpoints that were answered
     */
    record HealthReport(
            String reporter,
            long incarnation,
            String subject,
            Observation observation,
            int calls,
            double ageMs,
            double validMs,
            double successRate) {}

    /** A batch of signs. */
    record HealthReports(List<HealthReport> reports) implements Note {}

    // ---- replicated ledger state ----

    /** Asks a voter for the agreed state after a version. */
    record StateRequest(long nonce, long version) implements Note {}

    /** Answers with the newest version and, if newer than the one asked for, its state in pieces of {@code bytes}. */
    record StateChunk(long nonce, long version, boolean linearizable, int chunk, int chunks, byte[] bytes)
            implements Note {}

    /** One encoded message of the ledger's consensus engine. */
    record ConsensusMessage(byte[] bytes) implements Note {}

    /** Asks a voter to propose an operation to the ledger. */
    record Propose(long nonce, byte[] operation) implements Note {}

    /** Outcome of a proposal; {@code result} of the state machine, or a fault's code and text. */
    record Proposed(long nonce, boolean done, byte[] result, double retryAfterMs) implements Note {}
}
