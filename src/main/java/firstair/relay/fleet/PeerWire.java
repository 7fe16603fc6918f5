package firstair.relay.fleet;

import firstair.relay.Limits;
import firstair.relay.Loop;
import firstair.relay.net.Datagrams;
import firstair.relay.net.Frames;
import firstair.relay.net.Inbox;
import firstair.relay.net.Pipe;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Carries bytes between relays, with no promise that they arrive: what fits a datagram by UDP, what is larger by TCP.
 * It knows nothing of what they mean. Whatever others do, it holds bounded memory, never blocks and never throws; what
 * is beyond a bound is dropped and counted.
 */
public final class PeerWire {
    private static final Logger LOG = Logger.getLogger(PeerWire.class.getName());
    /** Bytes of a datagram at most: what a network carries whole. */
    static final int DATAGRAM = 1400;

    private static final String THREAD = "peers";
    private static final int PORTS = 20; // tries to have the same free port for UDP and TCP
    private static final double SWEEP_MS = 1000;
    private static final double LOOKUP_MS = 5000;

    /** Where what others send is handed in, on the loop's thread. */
    public interface Listener {
        /** A datagram or a frame, as it came. */
        void bytes(byte[] datagramOrFrame);
    }

    /**
     * What is held and waited for at most.
     *
     * @param datagram    bytes of a datagram; what is larger goes by TCP
     * @param frame       bytes of what goes by TCP
     * @param datagrams   datagrams that wait for the loop
     * @param frames      frames that wait for the loop
     * @param frameBytes  bytes of those, and again of frames that have come in part
     * @param round       datagrams, and again frames, that are handed in in one round of the loop
     * @param peerBytes   bytes that wait for one peer
     * @param allBytes    bytes that wait for all peers
     * @param stuckMs     a connection that takes nothing of what waits for so long is closed
     * @param idleMs      a connection that nobody needed for so long is closed
     * @param againMs     after a connection that did not come up, until the next one
     * @param connections accepted connections
     */
    public record Bounds(
            int datagram,
            int frame,
            int datagrams,
            int frames,
            long frameBytes,
            int round,
            long peerBytes,
            long allBytes,
            double stuckMs,
            double idleMs,
            double againMs,
            int connections) {

        /** Bounds for a fleet of so many relays. */
        public static Bounds of(int members) {
            // All may speak at the same moment; the bytes of frames are bounded whatever their number.
            return new Bounds(
                    DATAGRAM,
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
     * What went on since the start.
     *
     * @param sent          datagrams and frames handed to the system or to a connection
     * @param sentBytes     their bytes
     * @param unsent        those that were dropped instead: nobody has the name, too large, too much waits, no way
     * @param received      datagrams and frames that came
     * @param receivedBytes their bytes
     * @param flooded       those of them that were dropped because too many wait for the loop
     * @param garbage       what came and can be no datagram or frame of a relay
     */
    public record Counts(
            long sent, long sentBytes, long unsent, long received, long receivedBytes, long flooded, long garbage) {}

    private final Loop loop;
    private final Bounds bounds;
    private final Listener listener;
    private final Map<String, Peer> peers = new LinkedHashMap<>();
    private final Datagrams datagrams;
    private final Frames frames;
    private final InetSocketAddress address;
    private final LongAdder sent = new LongAdder();
    private final LongAdder sentBytes = new LongAdder();
    private final LongAdder unsent = new LongAdder();
    private final LongAdder received = new LongAdder();
    private final LongAdder receivedBytes = new LongAdder();
    private final LongAdder flooded = new LongAdder();
    private final LongAdder garbage = new LongAdder();
    private double sweptAt;
    private volatile boolean closed;

    /**
     * Listens by UDP and TCP on one port, from now on.
     *
     * @param listen port 0 takes a free one
     * @param peers  where others are, by their names
     * @throws IOException if the address cannot be had
     */
    public PeerWire(
            Loop loop, InetSocketAddress listen, Map<String, InetSocketAddress> peers, Bounds bounds, Listener listener)
            throws IOException {
        this.loop = loop;
        this.bounds = bounds;
        this.listener = listener;
        peers.forEach((name, at) -> this.peers.put(name, new Peer(at)));
        Queue small = new Queue(bounds.datagrams(), Long.MAX_VALUE);
        Queue large = new Queue(bounds.frames(), bounds.frameBytes());
        Datagrams udp = null;
        Frames tcp = null;
        for (int tries = 1; udp == null; tries++) {
            tcp = new Frames(
                    THREAD,
                    listen,
                    new Frames.Bounds(bounds.frame(), bounds.frameBytes(), bounds.connections()),
                    large);
            try {
                udp = new Datagrams(THREAD, tcp.address(), bounds.datagram(), small);
            } catch (IOException e) {
                tcp.close();
                if (listen.getPort() != 0 || tries == PORTS) {
                    throw e;
                }
            }
        }
        datagrams = udp;
        frames = tcp;
        address = tcp.address();
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return address;
    }

    /** Sends bytes to a peer, once; on the loop's thread only. */
    public void send(String to, byte[] bytes) {
        if (closed) {
            return;
        }
        double now = loop.now();
        if (now - sweptAt >= SWEEP_MS) {
            sweptAt = now;
            peers.values().forEach(p -> p.sweep(now));
        }
        Peer peer = peers.get(to);
        boolean taken = peer != null
                && bytes.length > 0
                && bytes.length <= bounds.frame()
                && peer.found(now)
                && (bytes.length <= bounds.datagram() ? datagrams.send(peer.address, bytes) : peer.frame(bytes, now));
        if (taken) {
            sent.increment();
            sentBytes.add(bytes.length);
        } else {
            unsent.increment();
        }
    }

    /** What went on so far; on any thread. */
    public Counts counts() {
        return new Counts(
                sent.sum(),
                sentBytes.sum(),
                unsent.sum(),
                received.sum(),
                receivedBytes.sum(),
                flooded.sum(),
                garbage.sum());
    }

    /**
     * Closes all sockets; nothing is handed in any more, and what is still sent is passed over. On the loop's thread
     * or once the loop has ended.
     */
    public void close() {
        closed = true;
        peers.values().forEach(Peer::close);
        try {
            datagrams.close();
            frames.close();
        } catch (IOException e) {
            LOG.log(Level.WARNING, "sockets between relays did not close in order", e);
        }
    }

    /** Another relay, as far as bytes go. */
    private final class Peer {
        private volatile InetSocketAddress address;
        private volatile boolean looking;
        private double lookAt;
        private Pipe pipe;
        private double openAt;

        Peer(InetSocketAddress address) {
            this.address = address;
        }

        /** Whether its address is known; a name that could not be found before is looked up again, elsewhere. */
        boolean found(double now) {
            if (!address.isUnresolved()) {
                return true;
            }
            if (!looking && now >= lookAt) {
                looking = true;
                lookAt = now + LOOKUP_MS;
                Thread lookup = new Thread(
                        () -> {
                            address = new InetSocketAddress(address.getHostString(), address.getPort());
                            looking = false;
                        },
                        THREAD + "-lookup");
                lookup.setDaemon(true);
                lookup.start();
            }
            return false;
        }

        boolean frame(byte[] bytes, double now) {
            sweep(now);
            if (pipe == null) {
                if (now < openAt) {
                    return false;
                }
                pipe = frames.open(address);
            }
            return pipe.waiting() + bytes.length <= bounds.peerBytes()
                    && waiting() + bytes.length <= bounds.allBytes()
                    && pipe.send(bytes);
        }

        /** Leaves a connection that has ended, is stuck, or that nobody needs. */
        void sweep(double now) {
            if (pipe != null) {
                double longest = pipe.waiting() > 0 ? bounds.stuckMs() : bounds.idleMs();
                if (pipe.stillMs() > longest) {
                    pipe.close();
                }
                if (!pipe.alive()) {
                    openAt = pipe.cameUp() ? now : now + bounds.againMs();
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

    private long waiting() {
        return peers.values().stream()
                .mapToLong(p -> p.pipe == null ? 0 : p.pipe.waiting())
                .sum();
    }

    /** What has come and waits for the loop. */
    private final class Queue implements Inbox {
        private final int most;
        private final long mostBytes;
        private final java.util.Queue<byte[]> waiting = new ArrayDeque<>();
        private long bytes;
        private boolean posted;

        Queue(int most, long mostBytes) {
            this.most = most;
            this.mostBytes = mostBytes;
        }

        @Override
        public void garbage() {
            garbage.increment();
        }

        @Override
        public void bytes(byte[] one) {
            received.increment();
            receivedBytes.add(one.length);
            synchronized (this) {
                if (waiting.size() >= most || bytes + one.length > mostBytes) {
                    flooded.increment();
                    return;
                }
                waiting.add(one);
                bytes += one.length;
                if (posted) {
                    return;
                }
                posted = true;
            }
            loop.post(this::handIn);
        }

        /** Hands in some; others that wait come in the next round, behind what others have posted meanwhile. */
        private void handIn() {
            for (int i = 0; i < bounds.round(); i++) {
                byte[] next = next();
                if (next == null) {
                    return;
                }
                try {
                    listener.bytes(next);
                } catch (RuntimeException e) {
                    LOG.log(Level.SEVERE, "fault in what a relay sent", e); // what waits behind it must still come
                }
            }
            loop.post(this::handIn);
        }

        private synchronized byte[] next() {
            byte[] next = closed ? null : waiting.poll();
            if (next == null) {
                posted = false;
            } else {
                bytes -= next.length;
            }
            return next;
        }
    }
}
