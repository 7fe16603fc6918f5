package firstair.relay;

import java.util.function.DoubleSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Lines of one kind in the log, which others may bring about as often as they like: the first one is written, and from
 * then on one a minute at most, which tells how many were left out before it. Each is one line of bounded length,
 * whatever others have put into it.
 */
public final class RateLimitedLogger {
    private static final int MOST_CHARS = 300; // a sentence and what it quotes

    private final Logger log;
    private final Level level;
    private final DoubleSupplier clock;
    private double notBefore = Double.NEGATIVE_INFINITY;
    private long leftOut;

    /** Lines of one kind; whoever writes them keeps this. */
    public RateLimitedLogger(Logger log, Level level) {
        this(log, level, () -> System.nanoTime() / 1e6);
    }

    /** @param clock milliseconds that only advance */
    public RateLimitedLogger(Logger log, Level level, DoubleSupplier clock) {
        this.log = log;
        this.level = level;
        this.clock = clock;
    }

    /** Writes a line unless one of its kind was written within a minute; tells whether it was. */
    public boolean log(String text) {
        return log(text, null);
    }

    /** The same with a trace. */
    public boolean log(String text, Throwable why) {
        long before;
        synchronized (this) {
            double now = clock.getAsDouble();
            if (now < notBefore) {
                leftOut++;
                return false;
            }
            notBefore = now + Limits.SAME_LINE_MS;
            before = leftOut;
            leftOut = 0;
        }
        String line = text.substring(0, Math.min(text.length(), MOST_CHARS)).replaceAll("\\s+", " ");
        log.log(level, before == 0 ? line : line + " (" + before + " such lines before it were left out)", why);
        return true;
    }
}
