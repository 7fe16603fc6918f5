package firstair.relay.net;

import firstair.relay.Limits;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.Arrays;
import java.util.function.Predicate;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.GrizzlyFuture;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.filterchain.Filter;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.nio.NIOConnection;
import org.glassfish.grizzly.nio.NIOTransport;
import org.glassfish.grizzly.nio.SelectorRunner;
import org.glassfish.grizzly.nio.transport.TCPNIOBindingHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/** The transport of the relay's sockets for clients and HTTP peers, with one selector thread; filters never block. */
public final class NetworkTransport implements Dialer {
    private static final Logger LOG = Logger.getLogger(NetworkTransport.class.getName());

    private final TCPNIOTransport transport;
    private final FilterChain linkFilters;
    private final int maxHead;
    private final int readBuffer;
    private final int backlog;

    /** Starts the selector thread. */
    public NetworkTransport(Limits limits) throws IOException {
        transport = TCPNIOTransportBuilder.newInstance()
                .setName("wire")
                .setIOStrategy(SameThreadIOStrategy.getInstance())
                .setSelectorRunnersCount(1)
                .setSelectorThreadPoolConfig(ThreadPoolConfig.defaultConfig()
                        .setPoolName("wire")
                        .setDaemon(true)
                        .setCorePoolSize(1)
                        .setMaxPoolSize(1))
                .setReadBufferSize(limits.readBuffer())
                .setServerConnectionBackLog(limits.backlog())
                .setTcpNoDelay(true)
                .setReuseAddress(true)
                .build();
        maxHead = limits.maxHead();
        readBuffer = limits.readBuffer();
        backlog = limits.backlog();
        linkFilters = chain(new HttpConnectionFilter());
        transport.start();
    }

    private static FilterChain chain(Filter filter) {
        return FilterChainBuilder.stateless()
                .add(new TransportFilter())
                .add(filter)
                .build();
    }

    /**
     * Starts to listen; each connection is served by the filter.
     *
     * @param keepOpen whether a connection still needs a response although its peer has shut down its output; called on
     *     the selector thread
     */
    public Connection<?> listen(InetSocketAddress address, Filter filter, Predicate<Connection<?>> keepOpen)
            throws IOException {
        return TCPNIOBindingHandler.builder(transport)
                .processor(FilterChainBuilder.stateless()
                        .add(new HalfCloseFilter(readBuffer, keepOpen))
                        .add(filter)
                        .build())
                .build()
                .bind(address);
    }

    /**
     * Makes the system refuse new connections, while those that it has completed are accepted as before. Where this is
     * not supported, new connections are accepted until {@link #closeListener}.
     */
    public static void refuseNewConnections(Connection<?> listener) {
        ConnectionRefusal.start((ServerSocketChannel) ((TCPNIOServerConnection) listener).getChannel());
    }

    /**
     * Closes a listener. When it closes, the system resets the connections that it has completed and the relay has not
     * accepted. So {@link #refuseNewConnections} is called before, and here the listener is first deregistered from the
     * selector, since a registered one is not closed before the selector's next event. Then all completed connections
     * are accepted.
     *
     * @param afterwards run on the selector thread; tasks given to that thread from then on run after the close
     */
    public void closeListener(Connection<?> listener, Runnable afterwards) {
        runOnSelectorThread(listener, () -> {
            TCPNIOServerConnection server = (TCPNIOServerConnection) listener;
            try {
                server.getSelectionKey().cancel();
                server.getSelectorRunner().getSelector().selectNow();
                // An accept does not report whether a connection was waiting, so as many follow as may have been.
                for (int accepts = 0; accepts <= backlog; accepts++) {
                    accept(server);
                }
                server.getChannel().close();
                LOG.fine("listener closed");
            } catch (IOException e) {
                // the listener is closed below
            }
            listener.closeSilently();
            afterwards.run();
        });
    }

    /** Accepts a connection if one is waiting. A failure, which may be temporary, must not prevent further accepts. */
    private static void accept(TCPNIOServerConnection server) {
        try {
            server.onAccept();
        } catch (IOException e) {
            LOG.log(Level.FINE, "failed to accept a connection while the listener closes", e);
        }
    }

    @Override
    public HttpConnection open(
            InetSocketAddress to,
            long maxBody,
            byte[] request,
            HttpConnection.Exchange firstExchange,
            Runnable onIdleClose) {
        return new GrizzlyHttpConnection(this, maxHead, to, maxBody, request, firstExchange, onIdleClose);
    }

    /** Opens a connection for a {@link GrizzlyHttpConnection}. */
    @SuppressWarnings("rawtypes") // Grizzly's future is declared so
    GrizzlyFuture<Connection> connect(InetSocketAddress to) {
        return TCPNIOConnectorHandler.builder(transport)
                .processor(linkFilters)
                .build()
                .connect(to);
    }

    /** Stops the selector thread and closes all sockets, without waiting. */
    public void close() throws IOException {
        transport.shutdownNow();
    }

    /** Number of bytes of one read. */
    public static int readableBytes(FilterChainContext ctx) {
        return ((Buffer) ctx.getMessage()).remaining();
    }

    /** Discards the bytes of one read. */
    public static void discard(FilterChainContext ctx) {
        ((Buffer) ctx.getMessage()).tryDispose();
    }

    /** The bytes of one read. */
    public static byte[] bytes(FilterChainContext ctx) {
        Buffer buffer = ctx.getMessage();
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        buffer.tryDispose();
        return bytes;
    }

    /**
     * Runs a task on the selector thread, between two reads: all bytes read from the connection have been passed to its
     * filter by then. Bytes that one thread has read while another closes their connection would be lost.
     */
    public static void runOnSelectorThread(Connection<?> connection, Runnable task) {
        NIOConnection nioConnection = (NIOConnection) connection;
        SelectorRunner selector = nioConnection.getSelectorRunner();
        if (selector == null) {
            task.run(); // no thread reads it
            return;
        }
        ((NIOTransport) nioConnection.getTransport())
                .getSelectorHandler()
                .execute(
                        selector,
                        () -> {
                            task.run();
                            return true;
                        },
                        null);
    }

    /** Whether neither a byte nor an end waits to be read. Consumes a byte if there is one. */
    static boolean hasNothingUnread(Connection<?> connection) {
        try {
            return ((SocketChannel) ((NIOConnection) connection).getChannel()).read(ByteBuffer.allocate(1)) == 0;
        } catch (IOException e) {
            return false; // the connection is broken
        }
    }

    /** Reads what has been received and not read yet, up to a size; may be empty. On the selector thread only. */
    public static byte[] readAvailable(Connection<?> connection, int maxBytes) {
        ByteBuffer bytes = ByteBuffer.allocate(maxBytes);
        try {
            ((SocketChannel) ((NIOConnection) connection).getChannel()).read(bytes);
        } catch (IOException e) {
            // the connection is broken or closed, so nothing waits; its end is reported elsewhere
        }
        return Arrays.copyOf(bytes.array(), bytes.position());
    }

    /** Shuts down our output and leaves the input open; runs {@code failed} if the connection is closed or broken. */
    public static void shutdownOutput(Connection<?> connection, Runnable failed) {
        try {
            ((SocketChannel) ((NIOConnection) connection).getChannel()).shutdownOutput();
        } catch (IOException e) {
            failed.run();
        }
    }

    /** Writes bytes; runs {@code written} once the last one is with the system, or {@code failed} if that fails. */
    @SuppressWarnings({"rawtypes", "unchecked"}) // Grizzly's handler is declared so
    public static void write(Connection<?> connection, byte[] bytes, Runnable written, Runnable failed) {
        Buffer buffer = Buffers.wrap(connection.getMemoryManager(), bytes);
        ((Connection) connection).write(buffer, new EmptyCompletionHandler<WriteResult>() {
            @Override
            public void completed(WriteResult result) {
                written.run();
            }

            @Override
            public void failed(Throwable cause) {
                failed.run();
            }

            @Override
            public void cancelled() {
                failed.run();
            }
        });
    }
}
