package firstair.relay.standin;

import firstair.relay.net.Wire;
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
 * Holds up the selector's thread of a wire, as a process that gets no CPU would be: what comes meanwhile is with the
 * system and unread.
 */
public final class SelectorGate extends BaseFilter implements AutoCloseable {
    private static final int PLENTY = 1000;

    private final Semaphore reached = new Semaphore(0);
    private final Semaphore released = new Semaphore(0);
    private final Socket knock = new Socket();

    /** Stands open at first. */
    public SelectorGate(Wire wire) throws IOException {
        Connection<?> listener =
                wire.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), this, c -> false);
        knock.connect((InetSocketAddress) listener.getLocalAddress());
        knock.setTcpNoDelay(true);
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
        Wire.drop(ctx);
        reached.release();
        released.acquireUninterruptibly();
        return ctx.getStopAction();
    }

    /** Returns once the thread stands still. */
    public void hold() throws IOException, InterruptedException {
        knock.getOutputStream().write(1);
        reached.acquire();
    }

    /** Lets it go on. */
    public void release() {
        released.release();
    }

    /** Returns once all that had come when it was called is with its filters. */
    public void pass() throws IOException, InterruptedException {
        for (int i = 0; i < 2; i++) { // what was found ready beside the first knock may come behind it
            hold();
            release();
        }
    }

    @Override
    public void close() throws IOException {
        released.release(PLENTY);
        knock.close();
    }
}
