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
 * The one thread that owns the decisions. Other threads post events; they run here in the order in which they
 * came, then the timers that are due, and then the round ends once for all of them.
 */
public final class Loop {
    private static final Logger LOG = Logger.getLogger(Loop.class.getName());
    private static final RateLimitedLogger FAULTS = new RateLimitedLogger(LOG, Level.SEVERE);
    private static final double NS_PER_MS = 1e6;

    /** Something to be run at a time; it can be called off. */
    public final class Timer {
        private final double at;
        private final long number;
        private Runnable task;

        private Timer(double at, long number, Runnable task) {
            this.at = at;
            this.number = number;
            this.task = task;
        }

        /** Calls it off; on the loop's thread only. */
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
    private final double heldUpMs;
    private final double catchUpMs;
    private final long origin = System.nanoTime();
    private long numbers;
    private boolean behind; // this thread was held up, and has not caught up yet
    private volatile boolean ended;

    /**
     * Nothing runs before {@link #run}.
     *
     * @param roundMs   least time between two rounds
     * @param heldUpMs  so far behind its time a round was held up
     * @param catchUpMs what it waits then, for other threads to read what has come meanwhile
     */
    public Loop(double roundMs, double heldUpMs, double catchUpMs) {
        this.roundMs = roundMs;
        this.heldUpMs = heldUpMs;
        this.catchUpMs = catchUpMs;
    }

    /** Milliseconds since this loop was made, on a clock that only advances. */
    public double now() {
        return (System.nanoTime() - origin) / NS_PER_MS;
    }

    /** Hands in an event, from any thread. */
    public void post(Runnable event) {
        inbox.add(event);
    }

    /** Runs a task after a while; on the loop's thread only. */
    public Timer after(double ms, Runnable task) {
        Timer t = new Timer(now() + Math.max(0, ms), numbers++, task);
        timers.add(t);
        return t;
    }

    /** Ends {@link #run} after the present round. */
    public void end() {
        ended = true;
        post(() -> {});
    }

    /** Whether this thread, or the whole process, was held up since a moment of {@link #now}. */
    boolean heldUpSince(double atMs) {
        return now() - atMs > heldUpMs;
    }

    /**
     * Has the next round wait a little. What peers have sent while the process was held up is there to be read: to
     * decide before it has become events would be to decide by what is long over.
     */
    void catchUp() {
        behind = true;
        post(() -> {});
    }

    /** Runs events until {@link #end}; {@code round} closes each round. */
    public void run(Runnable round) throws InterruptedException {
        List<Runnable> batch = new ArrayList<>();
        double last = Double.NEGATIVE_INFINITY;
        while (!ended) {
            Runnable first = await();
            if (behind || lateForTimers()) {
                TimeUnit.NANOSECONDS.sleep((long) (catchUpMs * NS_PER_MS));
                behind = false;
            }
            // Events that come close together share a round, as they do in the settings' smallest step of time.
            double rest = last + roundMs - now();
            if (rest > 0) {
                TimeUnit.NANOSECONDS.sleep((long) (rest * NS_PER_MS));
            }
            last = now();
            traceDelay("the first timer of a round", timers.isEmpty() ? last : timers.peek().at);
            if (first != null) {
                batch.add(first);
            }
            inbox.drainTo(batch);
            batch.forEach(Loop::guarded);
            batch.clear();
            for (Timer t = timers.peek(); t != null && t.at <= last; t = timers.peek()) {
                timers.poll();
                Runnable task = t.task;
                t.task = null;
                guarded(task);
            }
            guarded(round);
            traceDelay("the end of a round", last);
        }
    }

    private void traceDelay(String of, double since) {
        if (LOG.isLoggable(Level.FINE) && heldUpSince(since)) {
            LOG.fine(of + " came " + Math.round(now() - since) + " ms late");
        }
    }

    private boolean lateForTimers() {
        Timer next = timers.peek();
        return next != null && heldUpSince(next.at);
    }

    private Runnable await() throws InterruptedException {
        Timer next = timers.peek();
        if (next == null) {
            return inbox.take();
        }
        double wait = next.at - now();
        return wait <= 0 ? inbox.poll() : inbox.poll((long) (wait * NS_PER_MS) + 1, TimeUnit.NANOSECONDS);
    }

    /** A fault in one event must not take the others down with it. */
    private static void guarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            FAULTS.log("fault in an event", e);
        }
    }
}
