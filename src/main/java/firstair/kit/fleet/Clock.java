package firstair.kit.fleet;

/** Clocks of one process: a monotonic one that runs faster or slower than virtual time, and a wall clock that jumps. */
final class Clock {
    private double rateSetAt; // virtual time at which the rate last changed, ms
    private double readingThen; // of the monotonic clock at that moment, ms
    private double rate;
    private double wallOffset; // how far the wall clock is ahead of the true time, ms

    Clock(double rateSetAt, double readingThen, double rate, double wallOffset) {
        this.rateSetAt = rateSetAt;
        this.readingThen = readingThen;
        this.rate = rate;
        this.wallOffset = wallOffset;
    }

    /** The monotonic clock at a virtual time, ms. */
    double read(double time) {
        return readingThen + (time - rateSetAt) * rate;
    }

    /** How far the wall clock is ahead of the true time, ms. */
    double wallOffset() {
        return wallOffset;
    }

    /** Sets the rate of the monotonic clock from a virtual time on; 1 is the rate of virtual time. */
    void setRate(double time, double newRate) {
        readingThen = read(time);
        rateSetAt = time;
        rate = newRate;
    }

    /** Sets how far the wall clock is ahead of the true time, ms. */
    void setWallOffset(double offsetMs) {
        wallOffset = offsetMs;
    }

    /** Virtual time in which the monotonic clock advances by {@code ms}, ms. */
    double virtualDuration(double ms) {
        return ms / rate;
    }
}
