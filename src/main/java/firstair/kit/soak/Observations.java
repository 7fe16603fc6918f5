package firstair.kit.soak;

import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * What the peers of a relay observed, with times in milliseconds on one monotonic clock. Nothing is taken from the
 * relay's own log.
 */
final class Observations {
    /** How an endpoint answered a call. */
    enum Outcome {
        /** With 200. */
        DELIVERED,
        /** With 500 or a reset: the message may have run. */
        MAYBE,
        /** With 429 or 503: the message did not run. */
        TURNED_AWAY,
        /** Not at all: the message may have run. */
        SILENCE;

        boolean maybeRan() {
            return this != TURNED_AWAY;
        }
    }

    /** The effect of a message's class, which the class is named after. */
    enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

    /**
     * A message that a client handed in, with the response.
     *
     * @param status     of the response, or 0 if the connection ended without one after the request was written
     * @param deadlineMs deadline of the message
     */
    record Submission(String id, Effect effect, double sentMs, double answeredMs, int status, double deadlineMs) {}

    /** A message for whose response a client stopped waiting. The report shows the names of the components. */
    record Unanswered(String id, int clientPort, double sentMs) {}

    /** A call of one message that an endpoint has read completely, and how it ended. */
    static final class Call {
        final String id;
        final int destination;
        final String endpoint;
        final double atMs;
        volatile Outcome outcome = Outcome.SILENCE;
        volatile double retryAfterMs; // 0 if the endpoint sent no Retry-After
        volatile double answeredMs = Double.POSITIVE_INFINITY;
        volatile double endedMs = Double.POSITIVE_INFINITY; // answered, or the connection ended

        Call(String id, int destination, String endpoint, double atMs) {
            this.id = id;
            this.destination = destination;
            this.endpoint = endpoint;
            this.atMs = atMs;
        }

        void answered(Outcome answer, double retryAfter, double nowMs) {
            outcome = answer;
            retryAfterMs = retryAfter;
            answeredMs = nowMs;
            endedMs = Math.min(endedMs, nowMs);
        }

        void connectionEnded(double nowMs) {
            endedMs = Math.min(endedMs, nowMs);
        }
    }

    /** A notice that the platform received. */
    record Notice(String id, boolean handedBack, double atMs) {}

    /** An endpoint that discovery reported as draining, to the watches that were open. */
    record Drained(String endpoint, double atMs) {}

    /**
     * The end of a process and the start of the next one. The report shows the names of the components.
     *
     * @param told       whether it was sent SIGTERM first; otherwise it was killed
     * @param firstMs    when the first signal was sent
     * @param endedMs    when it had exited
     * @param launchedMs when the next process was started
     * @param readyMs    when that was ready
     */
    record Restart(boolean told, double firstMs, double endedMs, double launchedMs, double readyMs) {}

    /** A violation that was noticed during the run. */
    record Violation(String rule, String text) {}

    final ConcurrentLinkedQueue<Submission> submissions = new ConcurrentLinkedQueue<>();
    final ConcurrentLinkedQueue<Call> calls = new ConcurrentLinkedQueue<>();
    final ConcurrentLinkedQueue<Notice> notices = new ConcurrentLinkedQueue<>();
    final ConcurrentLinkedQueue<Drained> drained = new ConcurrentLinkedQueue<>();
    final ConcurrentLinkedQueue<Restart> restarts = new ConcurrentLinkedQueue<>();
    final ConcurrentLinkedQueue<Violation> violations = new ConcurrentLinkedQueue<>();
    final ConcurrentLinkedQueue<Unanswered> unanswered = new ConcurrentLinkedQueue<>();

    private final long originNs = System.nanoTime();

    /** Milliseconds since this was created. */
    double now() {
        return (System.nanoTime() - originNs) / 1e6;
    }

    /** The restarts by the times of their first signals. */
    List<Restart> restartsInOrder() {
        return restarts.stream()
                .sorted((a, b) -> Double.compare(a.firstMs(), b.firstMs()))
                .toList();
    }
}
