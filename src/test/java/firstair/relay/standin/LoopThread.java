package firstair.relay.standin;

import firstair.relay.Loop;

/** Starts loops on threads of their own. */
public final class LoopThread {
    private LoopThread() {}

    /** Starts a loop that runs {@code round} at the end of each of its rounds. */
    public static Loop start(Runnable round) {
        Loop loop = new Loop(0, Double.POSITIVE_INFINITY, 0);
        Thread thread = new Thread(
                () -> {
                    try {
                        loop.run(round);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                },
                "loop");
        thread.setDaemon(true);
        thread.start();
        return loop;
    }
}
