package firstair.relay.standin;

import firstair.relay.net.NetworkTransport;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.Semaphore;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/**
 * Blocks the selector thread of a wire, as if the process got no CPU time: what arrives meanwhile is received by the
 * system but not read.
 */
public final class SelectorPause extends BaseFilter implements AutoCloseable {
    private static final int MORE_PERMITS_THAN_NEEDED = 1000;

    private final Semaphore reached = new Semaphore(0);
    private final Semaphore released = new Semaphore(0);
    private final Socket trigger = new Socket();

    /** Creates a gate that does not block the thread until {@link #hold}. */
    public SelectorPause(NetworkTransport wire) throws IOException {
        Connection<?> listener =
                wire.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), this, c -> false);
        trigger.connect((InetSocketAddress) listener.getLocalAddress());
        trigger.setTcpNoDelay(true);
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        NetworkTransport.discard(ctx);
        reached.release();
        released.acquireUninterruptibly();
        return ctx.getStopAction();
    }

    /** Blocks the thread; returns once it is blocked. */
    public void hold() throws IOException, InterruptedException {
        trigger.getOutputStream().write(1);
        reached.acquire();
    }

    /** Lets the thread continue. */
    public void release() {
        released.release();
    }

    /** Returns once everything received before this call has been passed to its filters. */
    public void drain() throws IOException, InterruptedException {
        for (int i = 0; i < 2; i++) { // events selected together with the first trigger may be handled after it
            hold();
            release();
        }
    }

    @Override
    public void close() throws IOException {
        released.release(MORE_PERMITS_THAN_NEEDED);
        trigger.close();
    }
}
