package firstair.kit.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.PriorityQueue;

/** Queue of events in virtual time, ordered by time and, at the same time, by the order in which they were added. */
final class Timeline {
    private static final int MAX_LAST_EVENTS = 40;
    private static final long DIGEST_MULTIPLIER = 0x9E3779B97F4A7C15L;

    /** One event; {@code detail} only appears in reports. */
    record Event(double at, long number, String actor, String label, Object detail, Runnable action)
            implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Double.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }

        /** The event as one line of a report. */
        String line() {
            return String.format(Locale.ROOT, "%12.3f %-8s %s%s", at, actor, label, detail == null ? "" : " " + detail);
        }
    }

    private final PriorityQueue<Event> queue = new PriorityQueue<>();
    private final Deque<Event> lastEvents = new ArrayDeque<>();
    private double now;
    private long added;
    private long executed;
    private long digest;

    /** Virtual time, ms. */
    double now() {
        return now;
    }

    /** Number of events executed. */
    long executed() {
        return executed;
    }

    /** Hash of the history so far; equal histories have equal digests. */
    long digest() {
        return digest;
    }

    /** Adds an event; one in the past happens now. */
    void schedule(double at, String actor, String label, Object detail, Runnable action) {
        queue.add(new Event(Math.max(at, now), added++, actor, label, detail, action));
    }

    /** Executes the next event up to {@code until}; if there is none, advances the time to it and returns false. */
    boolean step(double until) {
        Event next = queue.peek();
        if (next == null || next.at > until) {
            now = Math.max(now, until);
            return false;
        }
        queue.remove();
        now = next.at;
        executed++;
        addToDigest(Double.doubleToLongBits(next.at));
        addToDigest(next.actor.hashCode());
        addToDigest(next.label.hashCode());
        lastEvents.add(next);
        if (lastEvents.size() > MAX_LAST_EVENTS) {
            lastEvents.remove();
        }
        next.action.run();
        return true;
    }

    /** Adds a value that distinguishes histories to the digest. */
    void addToDigest(long value) {
        digest = (Long.rotateLeft(digest, 7) ^ value) * DIGEST_MULTIPLIER;
    }

    /** The last executed events, oldest first, for reports. */
    List<String> lastEvents() {
        List<String> lines = new ArrayList<>();
        lastEvents.forEach(event -> lines.add(event.line()));
        return lines;
    }
}
