package firstair.relay.net;

import java.io.IOException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.nio.NIOTransport;

/** Ends the thread that serves a transport's sockets. */
final class SelectorThreads {
    private static final long END_MS = 1000;

    private SelectorThreads() {}

    /**
     * Closes all sockets of a transport and waits until its selector's thread has let go of them: until then the system
     * holds their addresses to be in use. Not for that thread itself.
     */
    static void end(NIOTransport transport) throws IOException {
        ExecutorService threads = transport.getKernelThreadPool();
        transport.shutdownNow();
        if (threads == null) {
            return; // it never began
        }
        try {
            threads.awaitTermination(END_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
