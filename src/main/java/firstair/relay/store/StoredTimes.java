package firstair.relay.store;

/**
 * Converts the times stored in a file to the current {@link BootClock}. Within one boot they are the same. After a
 * reboot, or for a file of an earlier version that stored wall-clock times, only the wall clock is available, which may
 * have been stepped: calls that may have run then count as long ago, so that they are not repeated outside their
 * window, and a deadline is at most as far away as it was when the file was created.
 */
final class StoredTimes {
    /** In a file without a clock record, times from here on are Unix times: no machine has such an uptime. */
    private static final long UNIX_TIMES_FROM = 1_000_000_000_000L;

    /** Longer ago than any window lasts. */
    private static final long LONG_AGO_MS = 365L * 24 * 3600 * 1000;

    /**
     * A reading of the clocks.
     *
     * @param boot   of {@link BootClock#boot}
     * @param nowMs  of {@link BootClock#nowMs}
     * @param wallMs of {@link BootClock#wallMs}
     */
    record ClockReading(String boot, long nowMs, long wallMs) {
        static ClockReading of(BootClock clock) {
            return new ClockReading(clock.boot(), clock.nowMs(), clock.wallMs());
        }
    }

    private final ClockReading fileClock;
    private final ClockReading now;

    /** @param mark the clocks when the file was created, or null if it has no clock record */
    StoredTimes(ClockReading mark, BootClock clock) {
        this.fileClock = mark;
        this.now = ClockReading.of(clock);
    }

    /** Whether the file was written in the current boot. */
    boolean sameBoot() {
        return fileClock != null
                && !fileClock.boot.isEmpty()
                && fileClock.boot.equals(now.boot)
                && fileClock.nowMs <= now.nowMs;
    }

    /** By how many milliseconds the wall clock was stepped since the file was created; 0 if unknown. */
    long wallStepMs() {
        return sameBoot() ? (now.wallMs - fileClock.wallMs) - (now.nowMs - fileClock.nowMs) : 0;
    }

    /** Converts a stored deadline to the current clock. */
    long deadlineAt(long stored) {
        if (fileClock == null && stored >= UNIX_TIMES_FROM) {
            return now.nowMs + (stored - now.wallMs);
        }
        if (sameBoot() || fileClock == null) {
            return stored;
        }
        long passed = Math.max(0, now.wallMs - fileClock.wallMs);
        return now.nowMs + (stored - fileClock.nowMs) - passed;
    }

    /** Converts the stored send time of a call to the current clock. */
    long sentAt(long stored) {
        return sameBoot() ? stored : now.nowMs - LONG_AGO_MS;
    }
}
