package firstair.relay.standin;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Waits for what must come to pass, and fails where it does not. */
public final class Await {
    private static final long MOST_S = 30;

    private Await() {}

    /** Returns once the condition holds. */
    public static void until(String what, BooleanSupplier holds) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(MOST_S);
        while (!holds.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("not within " + MOST_S + " s: " + what);
            }
            Thread.onSpinWait();
        }
    }
}
