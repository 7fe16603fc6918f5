package firstair.relay.standin;

import firstair.relay.Loop;

/** A loop on a thread of its own. */
public final class LoopThread {
    private LoopThread() {}

    /** Starts one; {@code round} closes each round. */
    public static Loop start(Runnable round) {
        Loop loop = new Loop(0, Double.POSITIVE_INFINITY, 0);
        Thread t = new Thread(
                () -> {
                    try {
                        loop.run(round);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                },
                "loop");
        t.setDaemon(true);
        t.start();
        return loop;
    }
}
