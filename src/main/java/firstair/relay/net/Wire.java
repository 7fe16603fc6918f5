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

/** The transport that all sockets of the relay share: one selector thread, whose filters never block. */
public final class Wire implements Dialer {
    private static final Logger LOG = Logger.getLogger(Wire.class.getName());

    private final TCPNIOTransport transport;
    private final FilterChain links;
    private final int maxHead;
    private final int readBuffer;
    private final int backlog;

    /** Starts the selector thread. */
    public Wire(Limits limits) throws IOException {
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
        links = chain(new LinkFilter());
        transport.start();
    }

    private static FilterChain chain(Filter filter) {
        return FilterChainBuilder.stateless()
                .add(new TransportFilter())
                .add(filter)
                .build();
    }

    /**
     * Listens; each connection is served by the filter.
     *
     * @param stays whether a connection whose peer has ended its sending is still owed something, on the selector's
     *     thread
     */
    public Connection<?> listen(InetSocketAddress at, Filter filter, Predicate<Connection<?>> stays)
            throws IOException {
        return TCPNIOBindingHandler.builder(transport)
                .processor(FilterChainBuilder.stateless()
                        .add(new HalfCloseFilter(readBuffer, stays))
                        .add(filter)
                        .build())
                .build()
                .bind(at);
    }

    /**
     * Has the system refuse new connections, while those that it has completed are accepted as before. Where it cannot,
     * connections come until {@link #unlisten}.
     */
    public static void refuseNew(Connection<?> listener) {
        ConnectionRefusal.begin((ServerSocketChannel) ((TCPNIOServerConnection) listener).getChannel());
    }

    /**
     * Takes no connection any more. The system resets whatever it has completed by the moment of the close and we have
     * not accepted: so {@link #refuseNew} comes before, and here the selector lets go of the listener first, since the
     * close of one that is registered waits for the selector's next event. Then all that waits is accepted.
     *
     * @param then told on the selector's thread; what is handed to it from then on runs behind the end of the listener
     */
    public void unlisten(Connection<?> listener, Runnable then) {
        between(listener, () -> {
            TCPNIOServerConnection server = (TCPNIOServerConnection) listener;
            try {
                server.getSelectionKey().cancel();
                server.getSelectorRunner().getSelector().selectNow();
                for (int accepts = 0; accepts <= backlog; accepts++) { // an accept does not tell whether one waited
                    accept(server);
                }
                server.getChannel().close();
                LOG.fine("listener closed");
            } catch (IOException e) {
                // it is closed next
            }
            listener.closeSilently();
            then.run();
        });
    }

    /** Accepts a connection if one waits. One that fails, as it may for a moment, must not keep out those behind it. */
    private static void accept(TCPNIOServerConnection server) {
        try {
            server.onAccept();
        } catch (IOException e) {
            LOG.log(Level.FINE, "an accept failed as the listener closes", e);
        }
    }

    @Override
    public Link open(InetSocketAddress to, long maxBody, byte[] request, Link.Exchange first, Runnable closedIdle) {
        return new HttpLink(this, maxHead, to, maxBody, request, first, closedIdle);
    }

    /** Opens a connection for a {@link HttpLink}. */
    @SuppressWarnings("rawtypes") // Grizzly's future is declared so
    GrizzlyFuture<Connection> connect(InetSocketAddress to) {
        return TCPNIOConnectorHandler.builder(transport)
                .processor(links)
                .build()
                .connect(to);
    }

    /** Stops the selector thread and closes what is open, at once. */
    public void close() throws IOException {
        transport.shutdownNow();
    }

    /** How many bytes have come in one read. */
    public static int size(FilterChainContext ctx) {
        return ((Buffer) ctx.getMessage()).remaining();
    }

    /** Passes over what has come in one read. */
    public static void drop(FilterChainContext ctx) {
        ((Buffer) ctx.getMessage()).tryDispose();
    }

    /** What has come in one read. */
    public static byte[] bytes(FilterChainContext ctx) {
        Buffer buffer = ctx.getMessage();
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        buffer.tryDispose();
        return bytes;
    }

    /**
     * Runs a task on the selector's thread, between two reads: whatever has been read of the connection is with its
     * filter by then. Bytes that one thread has read while another closes their connection would be lost.
     */
    public static void between(Connection<?> connection, Runnable task) {
        NIOConnection c = (NIOConnection) connection;
        SelectorRunner selector = c.getSelectorRunner();
        if (selector == null) {
            task.run(); // it is read by nobody
            return;
        }
        ((NIOTransport) c.getTransport())
                .getSelectorHandler()
                .execute(
                        selector,
                        () -> {
                            task.run();
                            return true;
                        },
                        null);
    }

    /** Whether nothing has come that nobody has read, neither a byte nor an end. If a byte has, it is lost. */
    static boolean isQuiet(Connection<?> connection) {
        try {
            return ((SocketChannel) ((NIOConnection) connection).getChannel()).read(ByteBuffer.allocate(1)) == 0;
        } catch (IOException e) {
            return false; // it has broken
        }
    }

    /** What has come and waits to be read, up to a size; empty if nothing has. On the selector's thread only. */
    public static byte[] unread(Connection<?> connection, int most) {
        ByteBuffer bytes = ByteBuffer.allocate(most);
        try {
            ((SocketChannel) ((NIOConnection) connection).getChannel()).read(bytes);
        } catch (IOException e) {
            // it has broken or is closed, and then nothing waits; its end is told elsewhere
        }
        return Arrays.copyOf(bytes.array(), bytes.position());
    }

    /** Ends our sending and leaves the other direction open; {@code failed} if there is nothing to end. */
    public static void endSending(Connection<?> connection, Runnable failed) {
        try {
            ((SocketChannel) ((NIOConnection) connection).getChannel()).shutdownOutput();
        } catch (IOException e) {
            failed.run();
        }
    }

    /** Writes bytes; the handler hears once the last one is with the system, or that it never got there. */
    @SuppressWarnings({"rawtypes", "unchecked"}) // Grizzly's handler is declared so
    public static void write(Connection<?> connection, byte[] bytes, Runnable written, Runnable failed) {
        Buffer buffer = Buffers.wrap(connection.getMemoryManager(), bytes);
        ((Connection) connection).write(buffer, new EmptyCompletionHandler<WriteResult>() {
            @Override
            public void completed(WriteResult result) {
                written.run();
            }

            @Override
            public void failed(Throwable why) {
                failed.run();
            }

            @Override
            public void cancelled() {
                failed.run();
            }
        });
    }
}
