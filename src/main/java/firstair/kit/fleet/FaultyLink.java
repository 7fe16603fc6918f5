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

/**
 * The link from one relay to another. Everything but the volatile field and the counters is only used by the thread of
 * {@link FaultyLinks}.
 */
final class FaultyLink {
    private static final int MAX_DATAGRAMS = 4096; // in transit
    private static final int MAX_BYTES = 1 << 18; // in transit, of one direction of a connection
    private static final int MAX_CONNECTIONS = 16;
    private static final int MAX_DATAGRAMS_PER_READ = 64;
    private static final int BUFFER_BYTES = 1 << 16;
    private static final double RETRANSMIT_MS = 200; // delay until a sender retransmits a lost segment

    /** Handles a channel that the selector reports as ready; the attachment of its key. */
    interface ReadyHandler {
        void run(double now) throws IOException;
    }

    private record Datagram(double due, long number, byte[] bytes) {}

    private record Piece(double due, ByteBuffer bytes) {}

    volatile LinkFaults faults = LinkFaults.NONE;

    private final Random random;
    private final Random connectionRandom; // separate: the number of reads from connections differs from run to run
    private final Selector selector;
    private final DatagramChannel udp;
    private final ServerSocketChannel tcp;
    private final InetSocketAddress address;
    private final InetSocketAddress to;
    private final PriorityQueue<Datagram> inTransit =
            new PriorityQueue<>(Comparator.comparingDouble(Datagram::due).thenComparingLong(Datagram::number));
    private final List<Tunnel> tunnels = new ArrayList<>();
    private final ByteBuffer buffer = ByteBuffer.allocate(BUFFER_BYTES);
    private final LongAdder received = new LongAdder();
    private final LongAdder forwarded = new LongAdder();
    private final LongAdder lost = new LongAdder();
    private final LongAdder bytes = new LongAdder();
    private final LongAdder connections = new LongAdder();
    private long nextNumber;

    FaultyLink(long seed, Selector selector, DatagramChannel udp, ServerSocketChannel tcp, InetSocketAddress to)
            throws IOException {
        this.random = new Random(seed);
        this.connectionRandom = new Random(seed);
        this.selector = selector;
        this.udp = udp;
        this.tcp = tcp;
        this.address = (InetSocketAddress) tcp.getLocalAddress();
        this.to = to;
    }

    InetSocketAddress address() {
        return address;
    }

    FaultyLinks.Counts counts() {
        return new FaultyLinks.Counts(received.sum(), forwarded.sum(), lost.sum(), bytes.sum(), connections.sum());
    }

    /** Receives the datagrams that have arrived. */
    void receiveDatagrams(double now) throws IOException {
        for (int i = 0; i < MAX_DATAGRAMS_PER_READ; i++) {
            buffer.clear();
            if (udp.receive(buffer) == null) {
                return;
            }
            byte[] datagram = new byte[buffer.flip().remaining()];
            buffer.get(datagram);
            received.increment();
            LinkFaults current = faults;
            // The same random draws for each datagram whatever the faults are, so that a seed gives the same results.
            double lossDraw = random.nextDouble();
            double duplicateDraw = random.nextDouble();
            double first = delay(current, random);
            double second = delay(current, random);
            if (current.cut() || lossDraw < current.loss()) {
                lost.increment();
                continue;
            }
            enqueue(now + first, datagram);
            if (duplicateDraw < current.duplicated()) {
                enqueue(now + second, datagram);
            }
        }
    }

    private static double delay(LinkFaults faults, Random random) {
        return faults.minDelayMs() + random.nextDouble() * (faults.maxDelayMs() - faults.minDelayMs());
    }

    private void enqueue(double due, byte[] datagram) {
        if (inTransit.size() >= MAX_DATAGRAMS) {
            lost.increment();
        } else {
            inTransit.add(new Datagram(due, nextNumber++, datagram));
        }
    }

    /** Accepts a connection and opens the one to which it is forwarded. */
    void accept(double now) throws IOException {
        SocketChannel accepted = tcp.accept();
        if (accepted == null) {
            return;
        }
        if (tunnels.size() >= MAX_CONNECTIONS) {
            accepted.close();
            return;
        }
        connections.increment();
        tunnels.add(new Tunnel(accepted));
    }

    /** Forwards what is due; returns when the next datagram or piece is due, infinity if none is. */
    double forwardDue(double now) {
        for (Datagram head = inTransit.peek(); head != null && head.due() <= now; head = inTransit.peek()) {
            inTransit.remove();
            if (!faults.cut() && send(head.bytes())) {
                forwarded.increment();
            } else {
                lost.increment();
            }
        }
        double next = inTransit.isEmpty()
                ? Double.POSITIVE_INFINITY
                : inTransit.peek().due();
        for (Tunnel tunnel : List.copyOf(tunnels)) {
            next = Math.min(next, tunnel.forwardDue(now));
        }
        return next;
    }

    private boolean send(byte[] datagram) {
        try {
            return udp.send(ByteBuffer.wrap(datagram), to) == datagram.length;
        } catch (IOException e) {
            return false; // no process listens there: the datagram is lost
        }
    }

    /** A connection and the one to which it is forwarded. */
    private final class Tunnel {
        private final SocketChannel accepted;
        private final SocketChannel outgoing;
        private final Flow toTarget;
        private final Flow fromTarget;

        Tunnel(SocketChannel accepted) throws IOException {
            this.accepted = accepted;
            this.outgoing = SocketChannel.open();
            toTarget = new Flow(accepted, outgoing);
            fromTarget = new Flow(outgoing, accepted);
            accepted.configureBlocking(false);
            outgoing.configureBlocking(false);
            accepted.register(selector, 0, (ReadyHandler) this::acceptedReady);
            outgoing.register(selector, SelectionKey.OP_CONNECT, (ReadyHandler) this::outgoingReady);
            try {
                outgoing.connect(to);
            } catch (IOException e) {
                close();
            }
        }

        private void acceptedReady(double now) {
            ready(accepted, toTarget, now);
        }

        private void outgoingReady(double now) {
            try {
                if (outgoing.isConnectionPending() && !outgoing.finishConnect()) {
                    return;
                }
            } catch (IOException e) {
                close();
                return;
            }
            ready(outgoing, fromTarget, now);
        }

        private void ready(SocketChannel channel, Flow in, double now) {
            SelectionKey key = channel.keyFor(selector);
            if (key != null && key.isValid() && key.isReadable()) {
                in.read(now);
            }
        }

        double forwardDue(double now) {
            if (!accepted.isOpen() || !outgoing.isOpen()) {
                close();
                return Double.POSITIVE_INFINITY;
            }
            if (!outgoing.isConnected()) {
                return Double.POSITIVE_INFINITY;
            }
            double next = Math.min(toTarget.write(now), fromTarget.write(now));
            if (!accepted.isOpen() || toTarget.finished() || fromTarget.finished()) {
                close();
                return Double.POSITIVE_INFINITY;
            }
            accepted.keyFor(selector).interestOps(toTarget.readInterest() | fromTarget.writeInterest());
            outgoing.keyFor(selector).interestOps(fromTarget.readInterest() | toTarget.writeInterest());
            return next;
        }

        private void close() {
            tunnels.remove(this);
            for (SocketChannel channel : List.of(accepted, outgoing)) {
                try {
                    channel.close();
                } catch (IOException e) {
                    // the channel is no longer used
                }
            }
        }

        /** One direction of a tunnel. */
        private final class Flow {
            private final SocketChannel in;
            private final SocketChannel out;
            private final Deque<Piece> pieces = new ArrayDeque<>();
            private int heldBytes;
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
                        LinkFaults current = faults;
                        double retransmitMs = connectionRandom.nextDouble() < current.loss() ? RETRANSMIT_MS : 0;
                        lastDue = Math.max(lastDue, now + delay(current, connectionRandom) + retransmitMs);
                        pieces.add(new Piece(
                                lastDue,
                                ByteBuffer.allocate(n).put(buffer.flip()).flip()));
                        heldBytes += n;
                    }
                } catch (IOException e) {
                    close();
                }
            }

            /** Writes what is due; returns when the next piece is due, infinity if none is. */
            double write(double now) {
                full = false;
                try {
                    while (!pieces.isEmpty() && !faults.cut() && !full) {
                        Piece piece = pieces.peek();
                        if (piece.due() > now) {
                            return piece.due();
                        }
                        int n = out.write(piece.bytes());
                        heldBytes -= n;
                        bytes.add(n);
                        if (piece.bytes().hasRemaining()) {
                            full = true;
                        } else {
                            pieces.remove();
                        }
                    }
                } catch (IOException e) {
                    close();
                }
                return Double.POSITIVE_INFINITY;
            }

            boolean finished() {
                return ended && pieces.isEmpty();
            }

            int readInterest() {
                return !ended && !faults.cut() && heldBytes < MAX_BYTES ? SelectionKey.OP_READ : 0;
            }

            int writeInterest() {
                return full ? SelectionKey.OP_WRITE : 0;
            }
        }
    }
}
