package firstair.relay.fleet;

import firstair.relay.Limits;
import firstair.relay.Loop;
import firstair.relay.net.DatagramTransport;
import firstair.relay.net.FrameConnection;
import firstair.relay.net.FrameTransport;
import firstair.relay.net.PeerDataListener;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.atomic.LongAdder;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Transports byte arrays between relays without a delivery guarantee: by UDP if they fit into a datagram, otherwise as
 * frames by TCP. The content is opaque here. Whatever other relays do, memory is bounded, and no method blocks or
 * throws; what exceeds a bound is dropped and counted.
 */
public final class PeerTransport {
    private static final Logger LOG = Logger.getLogger(PeerTransport.class.getName());
    /** What usual networks carry without fragmentation. */
    static final int MAX_DATAGRAM_BYTES = 1400;

    private static final String THREAD_NAME = "peers";
    private static final int MAX_BIND_ATTEMPTS = 20; // to find a port that is free for both UDP and TCP
    private static final double SWEEP_INTERVAL_MS = 1000;
    private static final double LOOKUP_INTERVAL_MS = 5000;

    /** Receives what other relays send, on the loop's thread. */
    public interface Listener {
        /** Receives one datagram or frame. */
        void bytes(byte[] datagramOrFrame);
    }

    /**
     * Limits of memory, time and connections.
     *
     * @param maxDatagramBytes     size up to which bytes are sent as a datagram; larger ones are sent by TCP
     * @param maxFrameBytes        size of a frame
     * @param inboundDatagrams     received datagrams that wait for the loop
     * @param inboundFrames        received frames that wait for the loop
     * @param inboundBytes         bytes of those frames, and separately of partly received frames
     * @param batchSize            datagrams, and separately frames, delivered in one round of the loop
     * @param outboundBytesPerPeer bytes queued for sending to one peer
     * @param outboundBytes        bytes queued for sending to all peers
     * @param stallTimeoutMs       a connection that makes no progress on its queue for so long is closed
     * @param idleTimeoutMs        a connection that is unused for so long is closed
     * @param reconnectDelayMs     delay before the next attempt after a failed connection attempt
     * @param connections          accepted connections
     */
    public record Bounds(
            int maxDatagramBytes,
            int maxFrameBytes,
            int inboundDatagrams,
            int inboundFrames,
            long inboundBytes,
            int batchSize,
            long outboundBytesPerPeer,
            long outboundBytes,
            double stallTimeoutMs,
            double idleTimeoutMs,
            double reconnectDelayMs,
            int connections) {

        /** Bounds for a fleet with that many relays. */
        public static Bounds of(int members) {
            // All relays may send at the same moment; the bytes of frames are bounded independently of their number.
            return new Bounds(
                    MAX_DATAGRAM_BYTES,
                    1 << 20,
                    Math.max(1024, 4 * members),
                    Math.max(64, members),
                    2 << 20,
                    32,
                    2 << 20,
                    4 << 20,
                    5000,
                    60_000,
                    1000,
                    Limits.peerConnections(members));
        }
    }

    /**
     * Counters since the start.
     *
     * @param sent          datagrams and frames passed to the operating system or to a connection
     * @param sentBytes     their bytes
     * @param unsent        dropped instead of sent: unknown peer or address, too large, queue full, or no connection
     * @param received      datagrams and frames received
     * @param receivedBytes their bytes
     * @param overflowed    received, but dropped because too many wait for the loop
     * @param malformed     input that cannot be a datagram or frame of a relay
     */
    public record Counts(
            long sent,
            long sentBytes,
            long unsent,
            long received,
            long receivedBytes,
            long overflowed,
            long malformed) {}

    private final Loop loop;
    private final Bounds bounds;
    private final Listener listener;
    private final Map<String, Peer> peers = new LinkedHashMap<>();
    private final DatagramTransport datagrams;
    private final FrameTransport frames;
    private final InetSocketAddress address;
    private final LongAdder sent = new LongAdder();
    private final LongAdder sentBytes = new LongAdder();
    private final LongAdder unsent = new LongAdder();
    private final LongAdder received = new LongAdder();
    private final LongAdder receivedBytes = new LongAdder();
    private final LongAdder overflowed = new LongAdder();
    private final LongAdder malformed = new LongAdder();
    private double sweptAt;
    private volatile boolean closed;

    /**
     * Starts to listen by UDP and TCP on one port.
     *
     * @param listen address to bind; port 0 selects a free port
     * @param peers  addresses of the other relays by name
     * @throws IOException if the address cannot be bound
     */
    public PeerTransport(
            Loop loop, InetSocketAddress listen, Map<String, InetSocketAddress> peers, Bounds bounds, Listener listener)
            throws IOException {
        this.loop = loop;
        this.bounds = bounds;
        this.listener = listener;
        peers.forEach((name, peerAddress) -> this.peers.put(name, new Peer(peerAddress)));
        InboundQueue inboundDatagrams = new InboundQueue(bounds.inboundDatagrams(), Long.MAX_VALUE);
        InboundQueue inboundFrames = new InboundQueue(bounds.inboundFrames(), bounds.inboundBytes());
        DatagramTransport udp = null;
        FrameTransport tcp = null;
        for (int attempt = 1; udp == null; attempt++) {
            tcp = new FrameTransport(
                    THREAD_NAME,
                    listen,
                    new FrameTransport.Bounds(bounds.maxFrameBytes(), bounds.inboundBytes(), bounds.connections()),
                    inboundFrames);
            try {
                udp = new DatagramTransport(THREAD_NAME, tcp.address(), bounds.maxDatagramBytes(), inboundDatagrams);
            } catch (IOException e) {
                tcp.close();
                if (listen.getPort() != 0 || attempt == MAX_BIND_ATTEMPTS) {
                    throw e;
                }
            }
        }
        datagrams = udp;
        frames = tcp;
        address = tcp.address();
    }

    /** The address on which it listens. */
    public InetSocketAddress address() {
        return address;
    }

    /** Sends bytes to a peer, once. Must be called on the loop's thread. */
    public void send(String to, byte[] bytes) {
        if (closed) {
            return;
        }
        double now = loop.now();
        if (now - sweptAt >= SWEEP_INTERVAL_MS) {
            sweptAt = now;
            peers.values().forEach(p -> p.sweep(now));
        }
        Peer peer = peers.get(to);
        boolean accepted = peer != null
                && bytes.length > 0
                && bytes.length <= bounds.maxFrameBytes()
                && peer.isResolved(now)
                && (bytes.length <= bounds.maxDatagramBytes()
                        ? datagrams.send(peer.address, bytes)
                        : peer.sendFrame(bytes, now));
        if (accepted) {
            sent.increment();
            sentBytes.add(bytes.length);
        } else {
            unsent.increment();
        }
    }

    /** The current counters; may be called on any thread. */
    public Counts counts() {
        return new Counts(
                sent.sum(),
                sentBytes.sum(),
                unsent.sum(),
                received.sum(),
                receivedBytes.sum(),
                overflowed.sum(),
                malformed.sum());
    }

    /**
     * Closes all sockets. After that nothing is delivered any more, and {@link #send} does nothing. Must be called on
     * the loop's thread or after the loop has ended.
     */
    public void close() {
        closed = true;
        peers.values().forEach(Peer::close);
        try {
            datagrams.close();
            frames.close();
        } catch (IOException e) {
            LOG.log(Level.WARNING, "failed to close the sockets between relays", e);
        }
    }

    /** The address of another relay and the connection to it. */
    private final class Peer {
        private volatile InetSocketAddress address;
        private volatile boolean resolving;
        private double nextLookupAt;
        private FrameConnection pipe;
        private double reconnectAt;

        Peer(InetSocketAddress address) {
            this.address = address;
        }

        /** Whether its host name is resolved; if not, starts another lookup on a thread of its own. */
        boolean isResolved(double now) {
            if (!address.isUnresolved()) {
                return true;
            }
            if (!resolving && now >= nextLookupAt) {
                resolving = true;
                nextLookupAt = now + LOOKUP_INTERVAL_MS;
                Thread lookup = new Thread(
                        () -> {
                            address = new InetSocketAddress(address.getHostString(), address.getPort());
                            resolving = false;
                        },
                        THREAD_NAME + "-lookup");
                lookup.setDaemon(true);
                lookup.start();
            }
            return false;
        }

        boolean sendFrame(byte[] bytes, double now) {
            sweep(now);
            if (pipe == null) {
                if (now < reconnectAt) {
                    return false;
                }
                pipe = frames.open(address);
            }
            return pipe.unwrittenBytes() + bytes.length <= bounds.outboundBytesPerPeer()
                    && queuedBytes() + bytes.length <= bounds.outboundBytes()
                    && pipe.send(bytes);
        }

        /** Drops the connection if it has ended, is stalled, or is unused. */
        void sweep(double now) {
            if (pipe != null) {
                double timeoutMs = pipe.unwrittenBytes() > 0 ? bounds.stallTimeoutMs() : bounds.idleTimeoutMs();
                if (pipe.msSinceProgress() > timeoutMs) {
                    pipe.close();
                }
                if (!pipe.isUsable()) {
                    reconnectAt = pipe.wasConnected() ? now : now + bounds.reconnectDelayMs();
                    pipe = null;
                }
            }
        }

        void close() {
            if (pipe != null) {
                pipe.close();
            }
        }
    }

    /** Bytes queued for sending to all peers. */
    private long queuedBytes() {
        return peers.values().stream()
                .mapToLong(p -> p.pipe == null ? 0 : p.pipe.unwrittenBytes())
                .sum();
    }

    /** Received datagrams or frames that wait for the loop. */
    private final class InboundQueue implements PeerDataListener {
        private final int maxItems;
        private final long maxBytes;
        private final Queue<byte[]> items = new ArrayDeque<>();
        private long bytes;
        private boolean posted;

        InboundQueue(int maxItems, long maxBytes) {
            this.maxItems = maxItems;
            this.maxBytes = maxBytes;
        }

        @Override
        public void malformed() {
            malformed.increment();
        }

        @Override
        public void received(byte[] item) {
            received.increment();
            receivedBytes.add(item.length);
            synchronized (this) {
                if (items.size() >= maxItems || bytes + item.length > maxBytes) {
                    overflowed.increment();
                    return;
                }
                items.add(item);
                bytes += item.length;
                if (posted) {
                    return;
                }
                posted = true;
            }
            loop.post(this::deliver);
        }

        /** Delivers a batch; the rest follows in the next round, after the tasks posted by others meanwhile. */
        private void deliver() {
            for (int i = 0; i < bounds.batchSize(); i++) {
                byte[] next = poll();
                if (next == null) {
                    return;
                }
                try {
                    listener.bytes(next);
                } catch (RuntimeException e) {
                    // Logged only, so that the remaining items are still delivered.
                    LOG.log(Level.SEVERE, "failed to process bytes of another relay", e);
                }
            }
            loop.post(this::deliver);
        }

        private synchronized byte[] poll() {
            byte[] next = closed ? null : items.poll();
            if (next == null) {
                posted = false;
            } else {
                bytes -= next.length;
            }
            return next;
        }
    }
}
