package firstair.kit.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.atomic.LongAdder;

/** The way from one relay to another; all but what is volatile or counts is on the thread of {@link FaultyLinks}. */
final class FaultyLink {
    private static final int MOST_DATAGRAMS = 4096; // under way, and bytes of a connection below
    private static final int MOST_BYTES = 1 << 18;
    private static final int MOST_CONNECTIONS = 16;
    private static final int AT_ONCE = 64;
    private static final int PIECE = 1 << 16;
    private static final double AGAIN_MS = 200; // what a sender takes to send a lost piece again

    /** Something that a selector calls once it can go on. */
    interface Ready {
        void run(double now) throws IOException;
    }

    private record Datagram(double due, long number, byte[] bytes) {}

    private record Piece(double due, ByteBuffer bytes) {}

    volatile Trouble trouble = Trouble.NONE;

    private final Random random;
    private final Random chances; // of its own: how bytes are cut up differs from run to run
    private final Selector selector;
    private final DatagramChannel udp;
    private final ServerSocketChannel tcp;
    private final InetSocketAddress from;
    private final InetSocketAddress to;
    private final PriorityQueue<Datagram> underWay =
            new PriorityQueue<>(Comparator.comparingDouble(Datagram::due).thenComparingLong(Datagram::number));
    private final List<Tunnel> tunnels = new ArrayList<>();
    private final ByteBuffer buffer = ByteBuffer.allocate(PIECE);
    private final LongAdder came = new LongAdder();
    private final LongAdder went = new LongAdder();
    private final LongAdder lost = new LongAdder();
    private final LongAdder bytes = new LongAdder();
    private final LongAdder connected = new LongAdder();
    private long numbers;

    FaultyLink(long seed, Selector selector, DatagramChannel udp, ServerSocketChannel tcp, InetSocketAddress to)
            throws IOException {
        this.random = new Random(seed);
        this.chances = new Random(seed);
        this.selector = selector;
        this.udp = udp;
        this.tcp = tcp;
        this.from = (InetSocketAddress) tcp.getLocalAddress();
        this.to = to;
    }

    InetSocketAddress address() {
        return from;
    }

    FaultyLinks.Counts counts() {
        return new FaultyLinks.Counts(came.sum(), went.sum(), lost.sum(), bytes.sum(), connected.sum());
    }

    /** Takes datagrams that have come. */
    void datagrams(double now) throws IOException {
        for (int i = 0; i < AT_ONCE; i++) {
            buffer.clear();
            if (udp.receive(buffer) == null) {
                return;
            }
            byte[] one = new byte[buffer.flip().remaining()];
            buffer.get(one);
            came.increment();
            Trouble t = trouble;
            // Drawn for each in the same order whatever the trouble is, so that a seed means the same.
            double fate = random.nextDouble();
            double twice = random.nextDouble();
            double first = delay(t, random);
            double second = delay(t, random);
            if (t.cut() || fate < t.loss()) {
                lost.increment();
                continue;
            }
            put(now + first, one);
            if (twice < t.doubled()) {
                put(now + second, one);
            }
        }
    }

    private static double delay(Trouble t, Random random) {
        return t.leastDelayMs() + random.nextDouble() * (t.mostDelayMs() - t.leastDelayMs());
    }

    private void put(double due, byte[] one) {
        if (underWay.size() >= MOST_DATAGRAMS) {
            lost.increment();
        } else {
            underWay.add(new Datagram(due, numbers++, one));
        }
    }

    /** Takes a connection and opens the one that goes on from it. */
    void accept(double now) throws IOException {
        SocketChannel near = tcp.accept();
        if (near == null) {
            return;
        }
        if (tunnels.size() >= MOST_CONNECTIONS) {
            near.close();
            return;
        }
        connected.increment();
        tunnels.add(new Tunnel(near));
    }

    /** Hands on what is due, and tells when to do so again. */
    double move(double now) {
        for (Datagram d = underWay.peek(); d != null && d.due() <= now; d = underWay.peek()) {
            underWay.remove();
            if (!trouble.cut() && sent(d.bytes())) {
                went.increment();
            } else {
                lost.increment();
            }
        }
        double next =
                underWay.isEmpty() ? Double.POSITIVE_INFINITY : underWay.peek().due();
        for (Tunnel t : List.copyOf(tunnels)) {
            next = Math.min(next, t.move(now));
        }
        return next;
    }

    private boolean sent(byte[] one) {
        try {
            return udp.send(ByteBuffer.wrap(one), to) == one.length;
        } catch (IOException e) {
            return false; // nobody is there: a datagram that is lost as any other
        }
    }

    /** A connection and the one that goes on from it. */
    private final class Tunnel {
        private final SocketChannel near;
        private final SocketChannel far;
        private final Flow there;
        private final Flow back;

        Tunnel(SocketChannel near) throws IOException {
            this.near = near;
            this.far = SocketChannel.open();
            there = new Flow(near, far);
            back = new Flow(far, near);
            near.configureBlocking(false);
            far.configureBlocking(false);
            near.register(selector, 0, (Ready) this::near);
            far.register(selector, SelectionKey.OP_CONNECT, (Ready) this::far);
            try {
                far.connect(to);
            } catch (IOException e) {
                end();
            }
        }

        private void near(double now) {
            ready(near, there, now);
        }

        private void far(double now) {
            try {
                if (far.isConnectionPending() && !far.finishConnect()) {
                    return;
                }
            } catch (IOException e) {
                end();
                return;
            }
            ready(far, back, now);
        }

        private void ready(SocketChannel channel, Flow in, double now) {
            SelectionKey key = channel.keyFor(selector);
            if (key != null && key.isValid() && key.isReadable()) {
                in.read(now);
            }
        }

        double move(double now) {
            if (!near.isOpen() || !far.isOpen()) {
                end();
                return Double.POSITIVE_INFINITY;
            }
            if (!far.isConnected()) {
                return Double.POSITIVE_INFINITY;
            }
            double next = Math.min(there.write(now), back.write(now));
            if (!near.isOpen() || there.over() || back.over()) {
                end();
                return Double.POSITIVE_INFINITY;
            }
            near.keyFor(selector).interestOps(there.reading() | back.writing());
            far.keyFor(selector).interestOps(back.reading() | there.writing());
            return next;
        }

        private void end() {
            tunnels.remove(this);
            for (SocketChannel c : List.of(near, far)) {
                try {
                    c.close();
                } catch (IOException e) {
                    // it is no longer used
                }
            }
        }

        /** One direction of it. */
        private final class Flow {
            private final SocketChannel in;
            private final SocketChannel out;
            private final Deque<Piece> pieces = new ArrayDeque<>();
            private int held;
            private double lastDue;
            private boolean ended;
            private boolean full;

            Flow(SocketChannel in, SocketChannel out) {
                this.in = in;
                this.out = out;
            }

            void read(double now) {
                buffer.clear();
                try {
                    int n = in.read(buffer);
                    if (n < 0) {
                        ended = true;
                    } else if (n > 0) {
                        Trouble t = trouble;
                        double again = chances.nextDouble() < t.loss() ? AGAIN_MS : 0;
                        lastDue = Math.max(lastDue, now + delay(t, chances) + again);
                        pieces.add(new Piece(
                                lastDue,
                                ByteBuffer.allocate(n).put(buffer.flip()).flip()));
                        held += n;
                    }
                } catch (IOException e) {
                    end();
                }
            }

            /** Writes what is due; when the next piece is. */
            double write(double now) {
                full = false;
                try {
                    while (!pieces.isEmpty() && !trouble.cut() && !full) {
                        Piece p = pieces.peek();
                        if (p.due() > now) {
                            return p.due();
                        }
                        int n = out.write(p.bytes());
                        held -= n;
                        bytes.add(n);
                        if (p.bytes().hasRemaining()) {
                            full = true;
                        } else {
                            pieces.remove();
                        }
                    }
                } catch (IOException e) {
                    end();
                }
                return Double.POSITIVE_INFINITY;
            }

            boolean over() {
                return ended && pieces.isEmpty();
            }

            int reading() {
                return !ended && !trouble.cut() && held < MOST_BYTES ? SelectionKey.OP_READ : 0;
            }

            int writing() {
                return full ? SelectionKey.OP_WRITE : 0;
            }
        }
    }
}
