package firstair.fleet.budget;

/**
 * Numbers that increase within a process and that no other process of the same name issues. They have to differ across
 * restarts: the answer to a request of an earlier process, or the return of a loan that it made, may arrive at any
 * later time.
 */
final class Nonces {
    private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;
    private static final int SPARE_BITS = 2; // keeps the sequence from overflowing

    private long next;

    Nonces(String self, long incarnation) {
        next = mix(mix(incarnation) + self.hashCode()) >>> SPARE_BITS;
    }

    long next() {
        return next++;
    }

    /** Spreads neighbouring incarnations far apart (the finalizer of SplitMix64, which is a bijection). */
    private static long mix(long value) {
        long z = value + GOLDEN_GAMMA;
        z = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
        z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
        return z ^ (z >>> 31);
    }
}
