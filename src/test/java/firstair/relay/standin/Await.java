package firstair.relay.standin;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Waits for conditions that must become true, and fails if they do not. */
public final class Await {
    private static final long TIMEOUT_S = 30;

    private Await() {}

    /** Returns once the condition is true; throws an {@link AssertionError} after 30 s. */
    public static void until(String what, BooleanSupplier condition) {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadline) {
                throw new AssertionError("not within " + TIMEOUT_S + " s: " + what);
            }
            Thread.onSpinWait();
        }
    }
}
