package firstair.relay.fleet;

import firstair.relay.RateLimitedLogger;
import firstair.relay.store.BootClock;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Unix time by which bookings begin and end. The wall clock is read once, when the process begins, and the time runs on
 * with the monotonic clock: a step of the wall clock moves no booking of a running relay. What a time service has
 * corrected holds from the next start on.
 */
final class CalendarClock {
    private static final double STEP_TOLD_MS = 1000; // wall clocks are off by so much anyway
    private final RateLimitedLogger steps =
            new RateLimitedLogger(Logger.getLogger(CalendarClock.class.getName()), Level.WARNING);

    private final BootClock clock;
    private final long offsetMs; // of the wall clock to the monotonic one, at the start

    CalendarClock(BootClock clock) {
        this.clock = clock;
        offsetMs = clock.wallMs() - clock.nowMs();
    }

    /** Milliseconds of Unix time. */
    long nowMs() {
        long now = clock.nowMs() + offsetMs;
        long stepMs = clock.wallMs() - now;
        if (Math.abs(stepMs) >= STEP_TOLD_MS) {
            steps.log("the wall clock was stepped by " + stepMs + " ms; bookings go by it from the next start on");
        }
        return now;
    }
}
