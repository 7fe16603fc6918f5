package firstair.relay.fleet;

import firstair.relay.RateLimitedLogger;
import firstair.relay.store.BootClock;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Unix time for the start and end of bookings. The wall clock is read once, when the process starts, and the time then
 * advances with the monotonic clock, so that a step of the wall clock shifts no booking of a running relay. Corrections
 * by a time service take effect at the next start.
 */
final class CalendarClock {
    private static final double MIN_LOGGED_STEP_MS = 1000; // smaller deviations of wall clocks are usual
    private final RateLimitedLogger stepLogger =
            new RateLimitedLogger(Logger.getLogger(CalendarClock.class.getName()), Level.WARNING);

    private final BootClock clock;
    private final long offsetMs; // wall clock minus monotonic clock, at the start

    CalendarClock(BootClock clock) {
        this.clock = clock;
        offsetMs = clock.wallMs() - clock.nowMs();
    }

    /** Milliseconds of Unix time. */
    long nowMs() {
        long now = clock.nowMs() + offsetMs;
        long stepMs = clock.wallMs() - now;
        if (Math.abs(stepMs) >= MIN_LOGGED_STEP_MS) {
            stepLogger.log(
                    "the wall clock was stepped by " + stepMs + " ms; bookings follow it from the next start on");
        }
        return now;
    }
}
