package firstair.fleet.talk;

import java.util.List;

/**
 * What relays tell each other. None holds content, key or id of a message. Every note may be lost, late, doubled or out
 * of order; who acts on one checks that itself. Spans are milliseconds, never moments: clocks are nobody else's.
 */
public sealed interface Note {

    /** How a member is held to be. */
    enum Status {
        ALIVE,
        SUSPECT,
        GONE
    }

    /** What is held of a member; of two the one with the higher incarnation counts, then refutation, then status. */
    record Rumour(String member, long incarnation, int refutation, Status status) {}

    /** Asks for a {@link HelloAnswer}. */
    record Hello(long nonce, List<Rumour> rumours) implements Note {}

    /** Answers a {@link Hello}. */
    record HelloAnswer(long nonce, List<Rumour> rumours) implements Note {}

    /** Asks to say hello to a third one. */
    record ProbeRequest(long nonce, String member) implements Note {}

    /** The third one has answered. */
    record ProbeAnswer(long nonce, String member, long incarnation) implements Note {}

    /** The sender ends in order. */
    record Leaving() implements Note {}

    // ---- budgets ----

    /** Asks a voter for the standing of a member for a term: one's own, or that of one that is silent. */
    record LeaseRequest(long nonce, String of) implements Note {}

    /** Answers it; nothing is promised unless {@code granted}. */
    record LeaseAnswer(long nonce, String of, boolean granted) implements Note {}

    /** The sender uses nothing any more of what it was or will be granted by its asks up to this nonce. */
    record LeaseRelease(long nonce, String of) implements Note {}

    /** Wants parts of a budget for a while, millionths of the whole; or, of {@code r:7}, so many repeats for good. */
    record LoanRequest(long nonce, String budget, int parts) implements Note {}

    /** Parts lent; the borrower stops {@code termMs} after it sent the {@link LoanRequest} with this nonce. */
    record Loan(long nonce, long number, String budget, int parts, double termMs) implements Note {}

    /** The borrower uses them no more. */
    record LoanReturn(long number) implements Note {}

    /** Repeats handed over for good; {@code number} is the nonce of the {@link LoanRequest} that asked for them. */
    record RetryTransfer(long number, String budget, int retries) implements Note {}

    // ---- counts and judgements ----

    /** Calls of one member's process in one second of its own; the highest total of a second counts. */
    record Count(String member, long incarnation, String name, long second, long total, double ageMs) {}

    /** Some counts. */
    record Counts(List<Count> counts) implements Note {}

    /** What was seen of something. */
    enum Observation {
        WAIT,
        FAILS,
        ANSWERS
    }

    /**
     * What one relay saw of a destination or an endpoint; {@code holdsMs} from now on.
     *
     * @param subject {@code d:7} for a destination, {@code e:NAME} for an endpoint
     * @param successRate   share of its own recent calls anywhere that were answered
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

    /** Some signs. */
    record HealthReports(List<HealthReport> reports) implements Note {}

    // ---- what the ledger has agreed ----

    /** Asks a voter for what is agreed behind a version; {@code term} is the newest leader's term seen. */
    record StateRequest(long nonce, long version) implements Note {}

    /** Answers it: the newest version, and if that is newer, its state in pieces of {@code bytes}. */
    record StateChunk(long nonce, long version, boolean linearizable, int chunk, int chunks, byte[] bytes)
            implements Note {}

    /** One message of the ledger's engine, as bytes. */
    record ConsensusMessage(byte[] bytes) implements Note {}

    /** Asks a voter to have something agreed. */
    record Propose(long nonce, byte[] operation) implements Note {}

    /** What came of it; {@code result} as the state machine gives it, or a fault's code and text. */
    record Proposed(long nonce, boolean done, byte[] result, double retryAfterMs) implements Note {}
}
