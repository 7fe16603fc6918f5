package firstair.kit.fleet;

/** Clocks of one process: one that only advances, faster or slower than time does, and one on the wall that jumps. */
final class Clock {
    private double at; // virtual time at which the rate last changed
    private double own; // what the clock read then
    private double rate;
    private double ahead; // of the clock on the wall

    Clock(double at, double own, double rate, double ahead) {
        this.at = at;
        this.own = own;
        this.rate = rate;
        this.ahead = ahead;
    }

    /** The advancing clock, ms. */
    double read(double time) {
        return own + (time - at) * rate;
    }

    /** How far the clock on the wall is ahead of the true one, ms. */
    double ahead() {
        return ahead;
    }

    /** From now on the advancing clock runs so fast. */
    void run(double time, double faster) {
        own = read(time);
        at = time;
        rate = faster;
    }

    /** Somebody sets the clock on the wall. */
    void set(double aheadMs) {
        ahead = aheadMs;
    }

    /** How long the advancing clock takes for {@code ms} of its own. */
    double span(double ms) {
        return ms / rate;
    }
}
