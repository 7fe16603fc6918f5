package firstair.fleet.member;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * How well we hear at all: which of our last hellos were answered, and how long answers take. A relay that hears little
 * takes itself for the cause: it waits longer and declares nobody gone.
 */
final class Health {
    private static final int WINDOW = 8; // hellos that are looked back on
    private static final int LEAST = 4; // before so many nothing is known about ourselves
    private static final int WORST = 4; // time-outs grow to 1 + so many times
    private static final double LEAST_MS = 20; // a loaded loop answers no faster for sure
    private static final double SPREAD = 4; // a time-out is the mean and so many mean deviations
    private static final double WEIGHT = 0.125;

    private final int others;
    private final double mostMs;
    private final Deque<Boolean> outcomes = new ArrayDeque<>();
    private double meanMs;
    private double deviationMs;
    private int strain;

    /**
     * Nothing is known yet.
     *
     * @param others how many other members there are
     * @param mostMs longest wait for an answer of a relay that hears well
     */
    Health(int others, double mostMs) {
        this.others = others;
        this.mostMs = mostMs;
        this.meanMs = mostMs / 2;
        this.deviationMs = mostMs / 2 / SPREAD;
    }

    /** How long to wait for an answer, ms. */
    double patienceMs() {
        return Math.max(LEAST_MS, Math.min(mostMs, meanMs + SPREAD * deviationMs)) * (1 + strain);
    }

    /** An answer took so long. */
    void took(double ms) {
        deviationMs += (Math.abs(ms - meanMs) - deviationMs) * 2 * WEIGHT;
        meanMs += (ms - meanMs) * WEIGHT;
    }

    /** A hello to somebody who was held to be there has ended with an answer, of its own or by others, or without. */
    void ended(boolean answered) {
        outcomes.addLast(answered);
        if (outcomes.size() > WINDOW) {
            outcomes.removeFirst();
        }
        strain = Math.max(0, Math.min(WORST, strain + (answered ? -1 : 1)));
    }

    /** We were stopped: what came before says nothing any more. */
    void paused() {
        outcomes.clear();
        strain = Math.min(WORST, strain + 1);
    }

    /** Whether too little is heard to judge others. */
    boolean doubtful() {
        long answered = outcomes.stream().filter(o -> o).count();
        return others > 0 && (outcomes.size() < LEAST || answered * 2 < outcomes.size());
    }
}
