package firstair.relay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The event loop: a single thread that owns the decisions. A round runs the events that other threads have posted, in
 * the order in which they were posted, then the timers that are due, and then the end-of-round task once.
 */
public final class Loop {
    private static final Logger LOG = Logger.getLogger(Loop.class.getName());
    private static final RateLimitedLogger FAULTS = new RateLimitedLogger(LOG, Level.SEVERE);
    private static final double NS_PER_MS = 1e6;

    /** A task scheduled for a time; it can be cancelled. */
    public final class Timer {
        private final double at;
        private final long number;
        private Runnable task;

        private Timer(double at, long number, Runnable task) {
            this.at = at;
            this.number = number;
            this.task = task;
        }

        /** Cancels the task, if it has not run yet; on the loop's thread only. */
        public void cancel() {
            if (task != null) {
                task = null;
                timers.remove(this);
            }
        }
    }

    private final LinkedBlockingQueue<Runnable> inbox = new LinkedBlockingQueue<>();
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(Comparator.<Timer>comparingDouble(t -> t.at).thenComparingLong(t -> t.number));
    private final double roundMs;
    private final double maxDelayMs;
    private final double catchUpMs;
    private final long origin = System.nanoTime();
    private long nextNumber;
    private boolean catchUpPending; // this thread was delayed, and has not waited for pending input yet
    private volatile boolean ended;

    /**
     * Creates a loop; nothing runs before {@link #run}.
     *
     * @param roundMs    minimum time between the starts of two rounds
     * @param maxDelayMs a round that is later than this counts as delayed
     * @param catchUpMs  how long a delayed round waits, so that other threads can read what has arrived meanwhile
     */
    public Loop(double roundMs, double maxDelayMs, double catchUpMs) {
        this.roundMs = roundMs;
        this.maxDelayMs = maxDelayMs;
        this.catchUpMs = catchUpMs;
    }

    /** Milliseconds since this loop was created, on a monotonic clock. */
    public double now() {
        return (System.nanoTime() - origin) / NS_PER_MS;
    }

    /** Posts an event, from any thread. */
    public void post(Runnable event) {
        inbox.add(event);
    }

    /** Schedules a task after a delay in milliseconds; on the loop's thread only. */
    public Timer after(double ms, Runnable task) {
        Timer timer = new Timer(now() + Math.max(0, ms), nextNumber++, task);
        timers.add(timer);
        return timer;
    }

    /** Makes {@link #run} return after the current round. */
    public void end() {
        ended = true;
        post(() -> {});
    }

    /** Whether this thread, or the whole process, was delayed since a time of {@link #now}. */
    boolean delayedSince(double atMs) {
        return now() - atMs > maxDelayMs;
    }

    /**
     * Makes the next round wait a little. Data that peers sent while the process was delayed is still to be read,
     * and a decision made before it has become events would be based on an outdated state.
     */
    void catchUp() {
        catchUpPending = true;
        post(() -> {});
    }

    /** Runs events until {@link #end}; {@code endOfRound} runs at the end of each round. */
    public void run(Runnable endOfRound) throws InterruptedException {
        List<Runnable> batch = new ArrayList<>();
        double roundStart = Double.NEGATIVE_INFINITY;
        while (!ended) {
            Runnable first = await();
            if (catchUpPending || timersDelayed()) {
                TimeUnit.NANOSECONDS.sleep((long) (catchUpMs * NS_PER_MS));
                catchUpPending = false;
            }
            // Events that arrive close together share a round, as they do within the quantum of the settings.
            double waitMs = roundStart + roundMs - now();
            if (waitMs > 0) {
                TimeUnit.NANOSECONDS.sleep((long) (waitMs * NS_PER_MS));
            }
            roundStart = now();
            traceDelay("the first timer of a round", timers.isEmpty() ? roundStart : timers.peek().at);
            if (first != null) {
                batch.add(first);
            }
            inbox.drainTo(batch);
            batch.forEach(Loop::runGuarded);
            batch.clear();
            for (Timer timer = timers.peek(); timer != null && timer.at <= roundStart; timer = timers.peek()) {
                timers.poll();
                Runnable task = timer.task;
                timer.task = null;
                runGuarded(task);
            }
            runGuarded(endOfRound);
            traceDelay("the end of a round", roundStart);
        }
    }

    private void traceDelay(String step, double since) {
        if (LOG.isLoggable(Level.FINE) && delayedSince(since)) {
            LOG.fine(step + " came " + Math.round(now() - since) + " ms late");
        }
    }

    private boolean timersDelayed() {
        Timer next = timers.peek();
        return next != null && delayedSince(next.at);
    }

    private Runnable await() throws InterruptedException {
        Timer next = timers.peek();
        if (next == null) {
            return inbox.take();
        }
        double waitMs = next.at - now();
        return waitMs <= 0 ? inbox.poll() : inbox.poll((long) (waitMs * NS_PER_MS) + 1, TimeUnit.NANOSECONDS);
    }

    /** Runs a task; its exception must not end the loop or prevent other tasks. */
    private static void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            FAULTS.log("fault in an event", e);
        }
    }
}
