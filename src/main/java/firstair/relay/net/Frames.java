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
 * Frames over TCP between relays, with a selector thread of its own that never blocks. Each relay sends on connections
 * that it opened and receives on those that it accepted; nobody answers on a connection.
 */
public final class Frames {
    private static final Logger LOG = Logger.getLogger(Frames.class.getName());
    private static final Attribute<Pipe> PIPE = Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("firstair.pipe");

    /**
     * What is held at most.
     *
     * @param frame       bytes of a frame
     * @param begun       bytes of frames that have come in part, over all connections
     * @param connections accepted connections; for one more, the one that has said nothing for longest is closed
     */
    public record Bounds(int frame, long begun, int connections) {}

    private final TCPNIOTransport transport;
    private final FilterChain outgoing;
    private final InetSocketAddress address;

    /**
     * Listens.
     *
     * @param thread name of the selector's thread
     * @throws IOException if the address cannot be had
     */
    public Frames(String thread, InetSocketAddress at, Bounds bounds, Inbox inbox) throws IOException {
        transport = TCPNIOTransportBuilder.newInstance()
                .setName(thread)
                .setIOStrategy(SameThreadIOStrategy.getInstance())
                .setSelectorRunnersCount(1)
                .setSelectorThreadPoolConfig(ThreadPoolConfig.defaultConfig()
                        .setPoolName(thread)
                        .setDaemon(true)
                        .setCorePoolSize(1)
                        .setMaxPoolSize(1))
                .setTcpNoDelay(true)
                .setKeepAlive(true)
                .setReuseAddress(true)
                .build();
        outgoing = chain(new Outgoing());
        try {
            transport.start();
            address = (InetSocketAddress) TCPNIOBindingHandler.builder(transport)
                    .processor(chain(new Incoming(bounds, inbox)))
                    .build()
                    .bind(at)
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

    /** Where it listens. */
    public InetSocketAddress address() {
        return address;
    }

    /** Opens a connection that carries frames to somebody. */
    public Pipe open(InetSocketAddress to) {
        return new Pipe(this, to);
    }

    /** Opens a connection for a {@link Pipe}. */
    @SuppressWarnings("rawtypes") // Grizzly's future is declared so
    GrizzlyFuture<Connection> connect(InetSocketAddress to) {
        return TCPNIOConnectorHandler.builder(transport)
                .processor(outgoing)
                .build()
                .connect(to);
    }

    /** Makes a connection known as the one of a pipe. */
    static void belongs(Connection<?> connection, Pipe pipe) {
        PIPE.set(connection, pipe);
    }

    /** Closes all connections and ends the selector's thread; its address is free behind that. */
    public void close() throws IOException {
        SelectorThreads.end(transport);
    }

    /** On connections that we opened nothing comes but their end. */
    private static final class Outgoing extends BaseFilter {
        @Override
        public NextAction handleRead(FilterChainContext ctx) {
            Wire.drop(ctx);
            return ctx.getStopAction();
        }

        @Override
        public NextAction handleClose(FilterChainContext ctx) {
            Pipe pipe = PIPE.get(ctx.getConnection());
            if (pipe != null) {
                pipe.close();
            }
            return ctx.getStopAction();
        }
    }

    private static final class Incoming extends BaseFilter {
        private final Bounds bounds;
        private final Inbox inbox;
        /** The one that has said nothing for longest comes first. */
        private final Map<Connection<?>, Intake> open = new LinkedHashMap<>(16, 0.75f, true);

        private long begun;

        Incoming(Bounds bounds, Inbox inbox) {
            this.bounds = bounds;
            this.inbox = inbox;
        }

        private boolean room(long bytes) {
            if (begun + bytes > bounds.begun()) {
                return false;
            }
            begun += bytes;
            return true;
        }

        @Override
        public NextAction handleAccept(FilterChainContext ctx) {
            Connection<?> silent = null;
            synchronized (open) {
                open.put(ctx.getConnection(), new Intake(bounds.frame(), this::room, inbox));
                if (open.size() > bounds.connections()) {
                    silent = open.keySet().iterator().next();
                }
            }
            if (silent != null) {
                ended(silent);
            }
            return ctx.getInvokeAction();
        }

        @Override
        public NextAction handleRead(FilterChainContext ctx) {
            byte[] bytes = Wire.bytes(ctx);
            boolean sound;
            synchronized (open) {
                Intake intake = open.get(ctx.getConnection());
                sound = intake != null && intake.feed(bytes);
            }
            if (!sound) {
                LOG.log(Level.FINE, "no frames on {0}", ctx.getConnection());
                inbox.garbage();
                ended(ctx.getConnection());
            }
            return ctx.getStopAction();
        }

        @Override
        public NextAction handleClose(FilterChainContext ctx) {
            ended(ctx.getConnection());
            return ctx.getStopAction();
        }

        private void ended(Connection<?> connection) {
            synchronized (open) {
                Intake intake = open.remove(connection);
                if (intake != null) {
                    intake.end();
                }
            }
            connection.closeSilently();
        }
    }
}
