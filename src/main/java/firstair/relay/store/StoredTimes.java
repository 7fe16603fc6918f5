package firstair.relay.store;

/**
 * Turns the times that a file holds into times of the clock that runs now. Within one boot they are the same. Behind a
 * boot, or in a file of a program that stored the wall's time, only the wall clock is left to go by, which may have
 * been stepped: then what may have run counts as long ago, so that it is not repeated outside its window, and a
 * deadline is at most as far away as it was when the file was begun.
 */
final class StoredTimes {
    /** In a file without a mark, times from here on are Unix times: no machine is up for so long. */
    private static final long UNIX_TIMES_FROM = 1_000_000_000_000L;

    /** Longer ago than any window lasts. */
    private static final long LONG_AGO_MS = 365L * 24 * 3600 * 1000;

    /**
     * The clocks as a file was begun.
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

    /** @param mark the clocks as the file was begun, or null where it does not tell */
    StoredTimes(ClockReading mark, BootClock clock) {
        this.fileClock = mark;
        this.now = ClockReading.of(clock);
    }

    /** Whether the file was written in the boot that still lasts. */
    boolean sameBoot() {
        return fileClock != null && !fileClock.boot.isEmpty() && fileClock.boot.equals(now.boot) && fileClock.nowMs <= now.nowMs;
    }

    /** By how many milliseconds the wall clock was stepped since the file was begun; 0 where that is not known. */
    long wallStepMs() {
        return sameBoot() ? (now.wallMs - fileClock.wallMs) - (now.nowMs - fileClock.nowMs) : 0;
    }

    /** A deadline on the present clock. */
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

    /** The moment of a call on the present clock. */
    long sentAt(long stored) {
        return sameBoot() ? stored : now.nowMs - LONG_AGO_MS;
    }
}
