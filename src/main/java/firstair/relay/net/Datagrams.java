package firstair.relay.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.nio.NIOConnection;
import org.glassfish.grizzly.nio.transport.UDPNIOTransport;
import org.glassfish.grizzly.nio.transport.UDPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/** One UDP socket between relays, with a selector thread of its own that never blocks. */
public final class Datagrams {
    private static final Logger LOG = Logger.getLogger(Datagrams.class.getName());
    private static final int BUFFER = 1 << 18; // the system holds so many bytes while the selector is late

    private final UDPNIOTransport transport;
    private final DatagramChannel channel;

    /**
     * Opens the socket.
     *
     * @param thread name of the selector's thread
     * @param most   bytes of a datagram at most; longer ones are garbage
     * @throws IOException if the address cannot be had
     */
    public Datagrams(String thread, InetSocketAddress at, int most, Inbox inbox) throws IOException {
        transport = UDPNIOTransportBuilder.newInstance()
                .setName(thread)
                .setIOStrategy(SameThreadIOStrategy.getInstance())
                .setSelectorRunnersCount(1)
                .setSelectorThreadPoolConfig(ThreadPoolConfig.defaultConfig()
                        .setPoolName(thread)
                        .setDaemon(true)
                        .setCorePoolSize(1)
                        .setMaxPoolSize(1))
                .setReadBufferSize(most + 1) // what is longer is cut by the system, and shows by this one byte
                .setReuseAddress(false) // two processes must not share a port
                .build();
        transport.setProcessor(FilterChainBuilder.stateless()
                .add(new TransportFilter())
                .add(new Arrivals(most, inbox))
                .build());
        try {
            transport.start();
            channel = (DatagramChannel) ((NIOConnection) transport.bind(at)).getChannel();
            channel.setOption(StandardSocketOptions.SO_RCVBUF, BUFFER);
        } catch (IOException | RuntimeException e) {
            transport.shutdownNow();
            throw e;
        }
    }

    /** Where it is bound. */
    public InetSocketAddress address() throws IOException {
        return (InetSocketAddress) channel.getLocalAddress();
    }

    /**
     * Sends a datagram, or not: it never waits.
     *
     * @return false if the system did not take it
     */
    public boolean send(InetSocketAddress to, byte[] bytes) {
        try {
            // Not by Grizzly's queue: that closes the socket for all when one way cannot be reached for a moment.
            return channel.send(ByteBuffer.wrap(bytes), to) == bytes.length;
        } catch (IOException | RuntimeException e) {
            LOG.log(Level.FINE, "a datagram was not sent", e);
            return false;
        }
    }

    /** Closes the socket and ends the selector's thread; its address is free behind that. */
    public void close() throws IOException {
        SelectorThreads.end(transport);
    }

    private static final class Arrivals extends BaseFilter {
        private final int most;
        private final Inbox inbox;

        Arrivals(int most, Inbox inbox) {
            this.most = most;
            this.inbox = inbox;
        }

        @Override
        public NextAction handleRead(FilterChainContext ctx) {
            byte[] bytes = Wire.bytes(ctx);
            if (bytes.length > most) {
                inbox.garbage();
            } else {
                inbox.bytes(bytes);
            }
            return ctx.getStopAction();
        }
    }
}
