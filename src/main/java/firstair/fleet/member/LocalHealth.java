package firstair.fleet.member;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * This relay's own connectivity: which of its latest hellos were answered, and how long answers take. A relay that gets
 * few answers assumes that it is the cause itself: it lengthens its timeouts and declares no member gone.
 */
final class LocalHealth {
    private static final int WINDOW = 8; // latest hellos that are evaluated
    private static final int MIN_OUTCOMES = 4; // with fewer outcomes our own health is unknown
    private static final int MAX_PENALTY = 4; // timeouts are multiplied by at most 1 + MAX_PENALTY
    private static final double MIN_TIMEOUT_MS = 20; // a loaded event loop may take this long to answer
    private static final double DEVIATION_FACTOR = 4; // timeout = mean + DEVIATION_FACTOR * mean deviation
    private static final double SMOOTHING = 0.125;

    private final int others;
    private final double maxTimeoutMs;
    private final Deque<Boolean> outcomes = new ArrayDeque<>();
    private double meanMs;
    private double deviationMs;
    private int penalty;

    /**
     * Starts without any outcome.
     *
     * @param others how many other members there are
     * @param mostMs longest timeout while this relay is healthy
     */
    LocalHealth(int others, double mostMs) {
        this.others = others;
        this.maxTimeoutMs = mostMs;
        this.meanMs = mostMs / 2;
        this.deviationMs = mostMs / 2 / DEVIATION_FACTOR;
    }

    /** Current timeout for an answer, ms. */
    double timeoutMs() {
        return Math.max(MIN_TIMEOUT_MS, Math.min(maxTimeoutMs, meanMs + DEVIATION_FACTOR * deviationMs))
                * (1 + penalty);
    }

    /** Records the round-trip time of an answer. */
    void recordRoundTrip(double ms) {
        deviationMs += (Math.abs(ms - meanMs) - deviationMs) * 2 * SMOOTHING;
        meanMs += (ms - meanMs) * SMOOTHING;
    }

    /** Records whether a hello to a member not known as gone was answered, directly or through other members. */
    void recordOutcome(boolean answered) {
        outcomes.addLast(answered);
        if (outcomes.size() > WINDOW) {
            outcomes.removeFirst();
        }
        penalty = Math.max(0, Math.min(MAX_PENALTY, penalty + (answered ? -1 : 1)));
    }

    /** This process was suspended: earlier outcomes are no longer meaningful. */
    void paused() {
        outcomes.clear();
        penalty = Math.min(MAX_PENALTY, penalty + 1);
    }

    /** Whether too few answers arrive to judge other members. */
    boolean degraded() {
        long answered = outcomes.stream().filter(o -> o).count();
        return others > 0 && (outcomes.size() < MIN_OUTCOMES || answered * 2 < outcomes.size());
    }
}
