package firstair.relay;

import java.util.function.DoubleSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Logs lines of one kind that remote parties can trigger at any rate: the first one, and then at most one a minute,
 * with the number of lines suppressed before it. Each entry is a single line of bounded length, whatever remote input
 * it contains. Thread-safe.
 */
public final class RateLimitedLogger {
    private static final int MAX_CHARS = 300; // a sentence and a quotation

    private final Logger log;
    private final Level level;
    private final DoubleSupplier clock;
    private double nextLineAt = Double.NEGATIVE_INFINITY;
    private long suppressed;

    /** Creates a logger for one kind of line; its callers share the instance. */
    public RateLimitedLogger(Logger log, Level level) {
        this(log, level, () -> System.nanoTime() / 1e6);
    }

    /** @param clock a monotonic clock in milliseconds */
    public RateLimitedLogger(Logger log, Level level, DoubleSupplier clock) {
        this.log = log;
        this.level = level;
        this.clock = clock;
    }

    /** Logs a line unless one was logged within the last minute; returns whether it was logged. */
    public boolean log(String text) {
        return log(text, null);
    }

    /** As {@link #log(String)}, with a stack trace. */
    public boolean log(String text, Throwable cause) {
        long suppressedBefore;
        synchronized (this) {
            double now = clock.getAsDouble();
            if (now < nextLineAt) {
                suppressed++;
                return false;
            }
            nextLineAt = now + Limits.LOG_INTERVAL_MS;
            suppressedBefore = suppressed;
            suppressed = 0;
        }
        String line = text.substring(0, Math.min(text.length(), MAX_CHARS)).replaceAll("\\s+", " ");
        log.log(
                level,
                suppressedBefore == 0 ? line : line + " (" + suppressedBefore + " similar lines suppressed)",
                cause);
        return true;
    }
}
