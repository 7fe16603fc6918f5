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

/** A UDP socket for datagrams between relays, with its own selector thread, which never blocks. */
public final class DatagramTransport {
    private static final Logger LOG = Logger.getLogger(DatagramTransport.class.getName());
    private static final int RECEIVE_BUFFER_BYTES = 1 << 18; // buffered by the system while the selector thread is late

    private final UDPNIOTransport transport;
    private final DatagramChannel channel;

    /**
     * Opens the socket.
     *
     * @param threadName name of the selector thread
     * @param maxBytes   maximum size of a datagram, in bytes; longer ones are reported as {@link
     *                   PeerDataListener#malformed}
     * @throws IOException if the address cannot be bound
     */
    public DatagramTransport(String threadName, InetSocketAddress bindAddress, int maxBytes, PeerDataListener inbox)
            throws IOException {
        transport = UDPNIOTransportBuilder.newInstance()
                .setName(threadName)
                .setIOStrategy(SameThreadIOStrategy.getInstance())
                .setSelectorRunnersCount(1)
                .setSelectorThreadPoolConfig(ThreadPoolConfig.defaultConfig()
                        .setPoolName(threadName)
                        .setDaemon(true)
                        .setCorePoolSize(1)
                        .setMaxPoolSize(1))
                .setReadBufferSize(maxBytes + 1) // the system truncates longer datagrams; the extra byte reveals them
                .setReuseAddress(false) // two processes must not share a port
                .build();
        transport.setProcessor(FilterChainBuilder.stateless()
                .add(new TransportFilter())
                .add(new ReceiveFilter(maxBytes, inbox))
                .build());
        try {
            transport.start();
            channel = (DatagramChannel) ((NIOConnection) transport.bind(bindAddress)).getChannel();
            channel.setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES);
        } catch (IOException | RuntimeException e) {
            transport.shutdownNow();
            throw e;
        }
    }

    /** The address that the socket is bound to. */
    public InetSocketAddress address() throws IOException {
        return (InetSocketAddress) channel.getLocalAddress();
    }

    /**
     * Sends a datagram without waiting.
     *
     * @return false if the system did not accept it
     */
    public boolean send(InetSocketAddress to, byte[] bytes) {
        try {
            // Bypasses Grizzly's write queue, which closes the socket for all peers when one of them is unreachable.
            return channel.send(ByteBuffer.wrap(bytes), to) == bytes.length;
        } catch (IOException | RuntimeException e) {
            LOG.log(Level.FINE, "a datagram was not sent", e);
            return false;
        }
    }

    /** Closes the socket and ends the selector thread; its address is free once this returns. */
    public void close() throws IOException {
        SelectorThreads.shutDown(transport);
    }

    private static final class ReceiveFilter extends BaseFilter {
        private final int maxBytes;
        private final PeerDataListener inbox;

        ReceiveFilter(int maxBytes, PeerDataListener inbox) {
            this.maxBytes = maxBytes;
            this.inbox = inbox;
        }

        @Override
        public NextAction handleRead(FilterChainContext ctx) {
            byte[] bytes = NetworkTransport.bytes(ctx);
            if (bytes.length > maxBytes) {
                inbox.malformed();
            } else {
                inbox.received(bytes);
            }
            return ctx.getStopAction();
        }
    }
}
