package firstair.relay.net;

import java.io.IOException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.nio.NIOTransport;

/** Shuts down transports and their selector threads. */
final class SelectorThreads {
    private static final long TERMINATION_TIMEOUT_MS = 1000;

    private SelectorThreads() {}

    /**
     * Closes all sockets of a transport and waits, for a second at most, until its selector thread has released them:
     * until then their addresses are in use. Must not be called on that thread itself.
     */
    static void shutDown(NIOTransport transport) throws IOException {
        ExecutorService threads = transport.getKernelThreadPool();
        transport.shutdownNow();
        if (threads == null) {
            return; // it was never started
        }
        try {
            threads.awaitTermination(TERMINATION_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
