package firstair.kit.soak;

import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * What the peers of a relay saw, each with its time in milliseconds on one monotonic clock. The relay's own log is no
 * part of it.
 */
final class Observations {
    /** How a call ended at its endpoint. */
    enum Outcome {
        /** 200 was written. */
        DELIVERED,
        /** 500 was written, or the connection was reset. */
        MAYBE,
        /** 429 or 503 was written. */
        TURNED_AWAY,
        /** Nothing was written. */
        SILENCE;

        boolean maybeRan() {
            return this != TURNED_AWAY;
        }
    }

    /** Effect of a message's class. */
    enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

    /**
     * A message was handed in and answered.
     *
     * @param status of the answer, 0 for a connection that ended without one though the request was written to it
     * @param deadlineMs end of the message's time
     */
    record HandIn(String id, Effect effect, double sentMs, double answeredMs, int status, double deadlineMs) {}

    /** A client stopped waiting for its answer. */
    record Unanswered(String id, int clientPort, double sentMs) {}

    /** A call was read whole by an endpoint; what it was told, if anything, and when the call was over there. */
    static final class Call {
        final String id;
        final int destination;
        final String endpoint;
        final double atMs;
        volatile Outcome outcome = Outcome.SILENCE;
        volatile double waitMs;
        volatile double answeredMs = Double.POSITIVE_INFINITY;
        volatile double overMs = Double.POSITIVE_INFINITY;

        Call(String id, int destination, String endpoint, double atMs) {
            this.id = id;
            this.destination = destination;
            this.endpoint = endpoint;
            this.atMs = atMs;
        }

        void answered(Outcome how, double wait, double now) {
            outcome = how;
            waitMs = wait;
            answeredMs = now;
            overMs = Math.min(overMs, now);
        }

        void connectionEnded(double now) {
            overMs = Math.min(overMs, now);
        }
    }

    /** A notice came to the platform. */
    record Notice(String id, boolean handedBack, double atMs) {}

    /** An endpoint was told to be draining, on a watch. */
    record Drained(String endpoint, double atMs) {}

    /**
     * A process was told to end or was killed, and the next one was ready.
     *
     * @param firstMs the first signal that ends it
     * @param endedMs when it was gone
     * @param launchedMs when the next one was started
     * @param readyMs when that was ready
     */
    record Restart(boolean told, double firstMs, double endedMs, double launchedMs, double readyMs) {}

    /** Something that must not be, seen as it happened. */
    record Fault(String row, String what) {}

    final ConcurrentLinkedQueue<HandIn> handIns = new ConcurrentLinkedQueue<>();
    final ConcurrentLinkedQueue<Call> calls = new ConcurrentLinkedQueue<>();
    final ConcurrentLinkedQueue<Notice> notices = new ConcurrentLinkedQueue<>();
    final ConcurrentLinkedQueue<Drained> drained = new ConcurrentLinkedQueue<>();
    final ConcurrentLinkedQueue<Restart> restarts = new ConcurrentLinkedQueue<>();
    final ConcurrentLinkedQueue<Fault> faults = new ConcurrentLinkedQueue<>();
    final ConcurrentLinkedQueue<Unanswered> unanswered = new ConcurrentLinkedQueue<>();

    private final long origin = System.nanoTime();

    /** Milliseconds since the beginning. */
    double now() {
        return (System.nanoTime() - origin) / 1e6;
    }

    /** The restarts in their order. */
    List<Restart> inOrder() {
        return restarts.stream()
                .sorted((a, b) -> Double.compare(a.firstMs(), b.firstMs()))
                .toList();
    }
}
