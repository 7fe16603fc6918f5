package firstair.fleet;

import firstair.control.Controller.BookedCapacity;

/** Limits the calls on one booking to one destination: a token bucket whose rate is set until a given time. */
final class BookingTokenBucket implements BookedCapacity {
    private static final double BURST_MS = 400; // the bucket holds this much of the rate, as for other calls

    private double rate; // calls per second, in force while now < until
    private double until = Double.NEGATIVE_INFINITY;
    private double tokens;
    private double refilledAt;
    private long sent;

    BookingTokenBucket(double now) {
        refilledAt = now;
    }

    /** @param callsPerS the rate until {@code until}, calls per second */
    void setRate(double now, double callsPerS, double until) {
        refill(now);
        this.rate = callsPerS;
        this.until = until;
    }

    private void refill(double now) {
        double elapsedMs = Math.min(now, until) - refilledAt;
        if (elapsedMs > 0) {
            tokens = Math.min(tokens + rate * elapsedMs / 1000, Math.max(1, rate * BURST_MS / 1000));
        }
        refilledAt = Math.max(refilledAt, now);
        if (now >= until) {
            tokens = 0;
        }
    }

    @Override
    public double nextCallAt(double now) {
        refill(now);
        if (now >= until || rate <= 0) {
            return Double.POSITIVE_INFINITY;
        }
        return tokens >= 1 ? now : now + (1 - tokens) * 1000 / rate;
    }

    @Override
    public void callSent(double now) {
        refill(now);
        tokens -= 1;
        sent++;
    }

    /** Calls made since this method was last called. */
    long takeSent() {
        long count = sent;
        sent = 0;
        return count;
    }
}
