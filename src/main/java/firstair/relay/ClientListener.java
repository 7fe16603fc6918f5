package firstair.relay;

import firstair.relay.clients.ClientFilter;
import firstair.relay.net.NetworkTransport;
import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.glassfish.grizzly.Connection;

/**
 * The listener for clients' connections. It opens once, is tried again while the system has no socket for it, and
 * closes without resetting a connection. All methods run on the loop's thread, except {@link #ready} and {@link
 * #address}.
 */
final class ClientListener {
    private static final Logger LOG = Logger.getLogger(ClientListener.class.getName());

    private final RateLimitedLogger failureLog = new RateLimitedLogger(LOG, Level.SEVERE);
    private final NetworkTransport wire;
    private final Limits limits;
    private final Loop loop;
    private final InetSocketAddress configuredAddress;
    private final ClientFilter clients;
    private final Consumer<InetSocketAddress> openListener;
    private Loop.Timer openTimer; // null once it has been opened, or will not be
    private Loop.Timer retryTimer;
    private boolean openRequested; // sooner than by openTimer
    private IOException failure;
    private volatile Connection<?> connection;
    private volatile boolean ready;

    /** @param openListener called with the address once clients can connect */
    ClientListener(
            NetworkTransport wire,
            Limits limits,
            Loop loop,
            InetSocketAddress configuredAddress,
            ClientFilter clients,
            Consumer<InetSocketAddress> openListener) {
        this.wire = wire;
        this.limits = limits;
        this.loop = loop;
        this.configuredAddress = configuredAddress;
        this.clients = clients;
        this.openListener = openListener;
    }

    /** Opens after a time in milliseconds, unless {@link #requestOpen} is called before that. */
    void openAfter(double ms) {
        openTimer = loop.after(ms, this::open);
    }

    /** Makes the next {@link #openIfRequested} open, if {@link #openAfter} has not opened yet. */
    void requestOpen() {
        openRequested = openTimer != null;
    }

    /** Opens if that has been requested; called at the end of a round, when its messages are stored. */
    void openIfRequested() {
        if (openRequested && openTimer != null) {
            openTimer.cancel();
            open();
        }
    }

    /** Opens now. A failure that cannot be retried ends the loop, see {@link #failure}. */
    void open() {
        openTimer = null;
        try {
            connection = wire.listen(configuredAddress, clients, clients::keepsOpen);
        } catch (IOException e) {
            openFailed(e);
            return;
        }
        ready = true;
        openListener.accept(address());
    }

    private void openFailed(IOException e) {
        if (e instanceof BindException || loop.now() > limits.listenMs()) {
            failure = e;
            loop.end();
        } else {
            failureLog.log("cannot listen, trying again: " + e.getMessage());
            retryTimer = loop.after(limits.sweepMs(), this::open);
        }
    }

    /** Why it could not be opened, or null. */
    IOException failure() {
        return failure;
    }

    /** Whether clients can connect. */
    boolean ready() {
        return ready;
    }

    /** The address on which it listens, once it is {@link #ready}. */
    InetSocketAddress address() {
        return (InetSocketAddress) connection.getLocalAddress();
    }

    /**
     * Stops accepting connections. New ones are refused shortly before the listener is closed, so that none is
     * completed between the last accept and the close, which would reset it.
     *
     * @param closed called on the loop's thread once all accepted connections are known
     */
    void close(Runnable closed) {
        ready = false;
        cancel(openTimer);
        cancel(retryTimer);
        openTimer = null;
        if (connection == null) {
            closed.run();
            return;
        }
        NetworkTransport.refuseNewConnections(connection);
        loop.after(
                limits.handshakeMs(),
                () -> wire.closeListener(connection, () -> loop.post(() -> loop.after(limits.restMs(), closed))));
    }

    private static void cancel(Loop.Timer timer) {
        if (timer != null) {
            timer.cancel();
        }
    }
}
