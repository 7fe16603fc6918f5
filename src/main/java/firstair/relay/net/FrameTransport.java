package firstair.relay.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.GrizzlyFuture;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.Filter;
import org.glassfish.grizzly.filterchain.FilterChain;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.nio.transport.TCPNIOBindingHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/**
 * Frames over TCP between relays, with its own selector thread, which never blocks. Each relay sends on connections
 * that it opened and receives on those that it accepted; a connection carries frames in one direction only.
 */
public final class FrameTransport {
    private static final Logger LOG = Logger.getLogger(FrameTransport.class.getName());
    private static final Attribute<FrameConnection> PIPE =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("firstair.pipe");

    /**
     * Upper limits of what is buffered and kept open.
     *
     * @param maxFrameBytes   bytes of a frame
     * @param maxPartialBytes bytes of partly received frames, over all connections
     * @param maxConnections  accepted connections; beyond that, the one that has been silent for longest is closed
     */
    public record Bounds(int maxFrameBytes, long maxPartialBytes, int maxConnections) {}

    private final TCPNIOTransport transport;
    private final FilterChain outgoing;
    private final InetSocketAddress address;

    /**
     * Starts to listen.
     *
     * @param threadName name of the selector thread
     * @throws IOException if the address cannot be bound
     */
    public FrameTransport(String threadName, InetSocketAddress listenAddress, Bounds bounds, PeerDataListener inbox)
            throws IOException {
        transport = TCPNIOTransportBuilder.newInstance()
                .setName(threadName)
                .setIOStrategy(SameThreadIOStrategy.getInstance())
                .setSelectorRunnersCount(1)
                .setSelectorThreadPoolConfig(ThreadPoolConfig.defaultConfig()
                        .setPoolName(threadName)
                        .setDaemon(true)
                        .setCorePoolSize(1)
                        .setMaxPoolSize(1))
                .setTcpNoDelay(true)
                .setKeepAlive(true)
                .setReuseAddress(true)
                .build();
        outgoing = chain(new OutgoingFilter());
        try {
            transport.start();
            address = (InetSocketAddress) TCPNIOBindingHandler.builder(transport)
                    .processor(chain(new IncomingFilter(bounds, inbox)))
                    .build()
                    .bind(listenAddress)
                    .getLocalAddress();
        } catch (IOException | RuntimeException e) {
            transport.shutdownNow();
            throw e;
        }
    }

    private static FilterChain chain(Filter filter) {
        return FilterChainBuilder.stateless()
                .add(new TransportFilter())
                .add(filter)
                .build();
    }

    /** The address that it listens on. */
    public InetSocketAddress address() {
        return address;
    }

    /** Opens a connection that carries frames to another relay. */
    public FrameConnection open(InetSocketAddress to) {
        return new FrameConnection(this, to);
    }

    /** Opens a connection for a {@link FrameConnection}. */
    @SuppressWarnings("rawtypes") // Grizzly's future is declared so
    GrizzlyFuture<Connection> connect(InetSocketAddress to) {
        return TCPNIOConnectorHandler.builder(transport)
                .processor(outgoing)
                .build()
                .connect(to);
    }

    /** Associates a connection with its pipe. */
    static void setPipe(Connection<?> connection, FrameConnection pipe) {
        PIPE.set(connection, pipe);
    }

    /** Closes all connections and ends the selector thread; its address is free once this returns. */
    public void close() throws IOException {
        SelectorThreads.shutDown(transport);
    }

    /** Connections that this relay opened receive nothing but their end; data is discarded. */
    private static final class OutgoingFilter extends BaseFilter {
        @Override
        public NextAction handleRead(FilterChainContext ctx) {
            NetworkTransport.discard(ctx);
            return ctx.getStopAction();
        }

        @Override
        public NextAction handleClose(FilterChainContext ctx) {
            FrameConnection pipe = PIPE.get(ctx.getConnection());
            if (pipe != null) {
                pipe.close();
            }
            return ctx.getStopAction();
        }
    }

    private static final class IncomingFilter extends BaseFilter {
        private final Bounds bounds;
        private final PeerDataListener inbox;
        /** In order of last use: the connection that has been silent for longest comes first. */
        private final Map<Connection<?>, FrameDecoder> decoders = new LinkedHashMap<>(16, 0.75f, true);

        private long partialBytes;

        IncomingFilter(Bounds bounds, PeerDataListener inbox) {
            this.bounds = bounds;
            this.inbox = inbox;
        }

        private boolean reserve(long bytes) {
            if (partialBytes + bytes > bounds.maxPartialBytes()) {
                return false;
            }
            partialBytes += bytes;
            return true;
        }

        @Override
        public NextAction handleAccept(FilterChainContext ctx) {
            Connection<?> longestSilent = null;
            synchronized (decoders) {
                decoders.put(ctx.getConnection(), new FrameDecoder(bounds.maxFrameBytes(), this::reserve, inbox));
                if (decoders.size() > bounds.maxConnections()) {
                    longestSilent = decoders.keySet().iterator().next();
                }
            }
            if (longestSilent != null) {
                remove(longestSilent);
            }
            return ctx.getInvokeAction();
        }

        @Override
        public NextAction handleRead(FilterChainContext ctx) {
            byte[] bytes = NetworkTransport.bytes(ctx);
            boolean valid;
            synchronized (decoders) {
                FrameDecoder decoder = decoders.get(ctx.getConnection());
                valid = decoder != null && decoder.feed(bytes);
            }
            if (!valid) {
                LOG.log(Level.FINE, "invalid frame data on {0}", ctx.getConnection());
                inbox.malformed();
                remove(ctx.getConnection());
            }
            return ctx.getStopAction();
        }

        @Override
        public NextAction handleClose(FilterChainContext ctx) {
            remove(ctx.getConnection());
            return ctx.getStopAction();
        }

        private void remove(Connection<?> connection) {
            synchronized (decoders) {
                FrameDecoder decoder = decoders.remove(connection);
                if (decoder != null) {
                    decoder.reset();
                }
            }
            connection.closeSilently();
        }
    }
}
