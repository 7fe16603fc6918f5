package firstair.relay;

import java.util.ArrayList;
import java.util.List;

/**
 * Holds notices back until the ends of their messages are stored: the next process would resume a message whose end is
 * not, and call for it after its final answer. A message whose deadline has passed is not called for by any process, so
 * its notice need not wait longer. On the loop's thread only.
 */
final class UnstoredNotices {
    /** A notice that has not been handed on; {@code timed} once a round at its message's deadline was requested. */
    private record Entry(double deadlineAt, Runnable handOn, boolean timed) {}

    private final Loop loop;
    private List<Entry> waiting = new ArrayList<>();

    UnstoredNotices(Loop loop) {
        this.loop = loop;
    }

    /**
     * Adds a notice whose record the next flush of the store writes.
     *
     * @param deadlineAt deadline of its message, on the loop's clock
     * @param handOn     hands it to what sends it
     */
    void add(double deadlineAt, Runnable handOn) {
        waiting.add(new Entry(deadlineAt, handOn, false));
    }

    /** Whether no notice is held back. */
    boolean isEmpty() {
        return waiting.isEmpty();
    }

    /** Hands on all notices if everything is stored, otherwise those whose messages' deadlines have passed. */
    void release(boolean stored) {
        List<Entry> before = waiting;
        waiting = new ArrayList<>();
        double now = loop.now();
        for (Entry entry : before) {
            if (stored || entry.deadlineAt <= now) {
                entry.handOn.run();
            } else {
                waiting.add(withTimer(entry, now));
            }
        }
    }

    private Entry withTimer(Entry entry, double now) {
        if (!entry.timed) {
            loop.after(entry.deadlineAt - now, () -> {}); // its round releases the notice
        }
        return new Entry(entry.deadlineAt, entry.handOn, true);
    }
}
