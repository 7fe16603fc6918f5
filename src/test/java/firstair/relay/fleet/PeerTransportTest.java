package firstair.relay.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import firstair.kit.run.LoopbackPorts;
import firstair.relay.Loop;
import firstair.relay.standin.Await;
import firstair.relay.standin.LoopThread;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class PeerTransportTest {
    private static final PeerTransport.Bounds DEFAULT_BOUNDS = PeerTransport.Bounds.of(3);
    private static final InetSocketAddress FREE_PORT = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final int WAIT_S = 20;

    private final Loop loop = LoopThread.start(() -> {});
    private final List<PeerTransport> wires = new ArrayList<>();
    private final LinkedBlockingQueue<byte[]> received = new LinkedBlockingQueue<>();
    private final PeerTransport b = wire(FREE_PORT, Map.of(), DEFAULT_BOUNDS, received::add);

    PeerTransportTest() throws IOException {}

    private PeerTransport wire(
            InetSocketAddress address,
            Map<String, InetSocketAddress> peers,
            PeerTransport.Bounds bounds,
            PeerTransport.Listener listener)
            throws IOException {
        PeerTransport wire = new PeerTransport(loop, address, peers, bounds, listener);
        wires.add(wire);
        return wire;
    }

    private PeerTransport sender(Map<String, InetSocketAddress> peers, PeerTransport.Bounds bounds) throws IOException {
        return wire(FREE_PORT, peers, bounds, x -> {});
    }

    @AfterEach
    void end() {
        wires.forEach(PeerTransport::close);
        loop.end();
    }

    private static byte[] bytes(int length, int seed) {
        byte[] all = new byte[length];
        new Random(seed).nextBytes(all);
        return all;
    }

    @Test
    void boundsOfALargeFleetAllowForAllRelaysAndStillBoundBytes() {
        PeerTransport.Bounds large = PeerTransport.Bounds.of(1200);
        assertThat(large.connections()).isGreaterThan(1200);
        assertThat(large.inboundDatagrams()).isGreaterThanOrEqualTo(1200);
        assertThat(large.inboundFrames()).isGreaterThanOrEqualTo(1200);
        assertThat(large.inboundBytes()).isEqualTo(DEFAULT_BOUNDS.inboundBytes());
        assertThat(large.outboundBytes()).isEqualTo(DEFAULT_BOUNDS.outboundBytes());
    }

    private void send(PeerTransport from, String to, byte[] bytes) {
        loop.post(() -> from.send(to, bytes));
    }

    private byte[] next() throws InterruptedException {
        return received.poll(WAIT_S, TimeUnit.SECONDS);
    }

    /** Runs a task on the loop's thread and waits for its end. */
    private void onLoop(Runnable task) throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        loop.post(() -> {
            task.run();
            done.countDown();
        });
        assertThat(done.await(WAIT_S, TimeUnit.SECONDS)).isTrue();
    }

    private void datagram(PeerTransport to, byte[] bytes) throws IOException {
        try (DatagramSocket s = new DatagramSocket()) {
            s.send(new DatagramPacket(bytes, bytes.length, to.address()));
        }
    }

    @Test
    void bytesAboveAndBelowTheSizeOfADatagramArriveComplete() throws Exception {
        PeerTransport a = sender(Map.of("b", b.address()), DEFAULT_BOUNDS);
        for (int length : new int[] {1, 1400, 1401, 70_000, 1 << 20}) {
            send(a, "b", bytes(length, length));
            assertThat(next()).as("%d bytes", length).isEqualTo(bytes(length, length));
        }
        assertThat(a.counts().sent()).isEqualTo(5);
        assertThat(a.counts().unsent()).isZero();
        assertThat(b.counts().received()).isEqualTo(5);
        assertThat(b.counts().receivedBytes()).isEqualTo(a.counts().sentBytes());
    }

    @Test
    void framesArriveInOrderOverOneConnection() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            PeerTransport a = sender(Map.of("b", (InetSocketAddress) server.getLocalSocketAddress()), DEFAULT_BOUNDS);
            send(a, "b", bytes(2000, 1));
            send(a, "b", bytes(3000, 2));
            try (Socket s = server.accept()) {
                ByteBuffer want = ByteBuffer.allocate(5008)
                        .putInt(2000)
                        .put(bytes(2000, 1))
                        .putInt(3000)
                        .put(bytes(3000, 2));
                assertThat(s.getInputStream().readNBytes(5008)).isEqualTo(want.array());
            }
        }
    }

    @Test
    void bytesThatCannotBeSentAreOnlyCounted() throws Exception {
        PeerTransport a = sender(
                Map.of(
                        "b",
                        b.address(),
                        "unresolvable",
                        InetSocketAddress.createUnresolved("[::1", 9),
                        "unreachable",
                        new InetSocketAddress("127.0.0.1", 1)),
                DEFAULT_BOUNDS);
        onLoop(() -> {
            a.send("unknown", new byte[1]);
            a.send("b", new byte[(1 << 20) + 1]);
            a.send("b", new byte[0]);
            a.send("unresolvable", new byte[1]);
        });
        assertThat(a.counts().unsent()).isEqualTo(4);
        assertThat(a.counts().sent()).isZero();
        onLoop(() -> {
            a.send("unreachable", new byte[10]);
            a.send("unreachable", new byte[2000]);
        });
        Await.until("the connection attempt failed, and frames are dropped until the next one", () -> {
            long before = a.counts().unsent();
            loop.post(() -> a.send("unreachable", new byte[2000]));
            return a.counts().unsent() > before;
        });
        send(a, "b", bytes(5, 5));
        assertThat(next()).isEqualTo(bytes(5, 5));
    }

    @Test
    void aPeerThatNeverReadsUsesBoundedMemoryAndAffectsNoOther() throws Exception {
        PeerTransport.Bounds bounds =
                new PeerTransport.Bounds(1400, 1 << 20, 64, 8, 4 << 20, 32, 3 << 20, 4 << 20, 300, 60_000, 1000, 4);
        try (ServerSocket nonReading = new ServerSocket()) {
            nonReading.setReceiveBufferSize(4096);
            nonReading.bind(FREE_PORT);
            PeerTransport a = sender(
                    Map.of("nonReading", (InetSocketAddress) nonReading.getLocalSocketAddress(), "b", b.address()),
                    bounds);
            int frames = 40;
            onLoop(() -> {
                for (int i = 0; i < frames; i++) {
                    a.send("nonReading", new byte[1 << 20]);
                }
            });
            // The system's buffers are not part of the bound; they hold some MB at most.
            assertThat(a.counts().unsent()).isGreaterThan(frames / 2);
            send(a, "b", bytes(1 << 20, 3));
            assertThat(next()).isEqualTo(bytes(1 << 20, 3));
            try (Socket s = nonReading.accept()) {
                Await.until("the stalled connection is closed, and a new one is opened", () -> {
                    loop.post(() -> a.send("nonReading", new byte[2000]));
                    return accepted(nonReading);
                });
            }
        }
    }

    private static boolean accepted(ServerSocket server) {
        try {
            server.setSoTimeout(20);
            server.accept().close();
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    @Test
    void anIdleConnectionIsClosedAndReopened() throws Exception {
        PeerTransport.Bounds bounds =
                new PeerTransport.Bounds(1400, 1 << 20, 64, 8, 4 << 20, 32, 1 << 20, 1 << 20, 5000, 1500, 1000, 4);
        try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            PeerTransport a =
                    sender(Map.of("c", (InetSocketAddress) server.getLocalSocketAddress(), "b", b.address()), bounds);
            send(a, "c", bytes(2000, 1));
            try (Socket first = server.accept()) {
                first.getInputStream().readNBytes(2004);
                first.setSoTimeout(20);
                Await.until("closed while other things are sent", () -> {
                    loop.post(() -> a.send("b", new byte[1]));
                    return ended(first);
                });
            }
            send(a, "c", bytes(2000, 2));
            try (Socket second = server.accept()) {
                assertThat(second.getInputStream().readNBytes(2004)).endsWith(bytes(2000, 2));
            }
        }
    }

    private static boolean ended(Socket s) {
        try {
            return s.getInputStream().read() < 0;
        } catch (IOException e) {
            return !(e instanceof java.net.SocketTimeoutException);
        }
    }

    @Test
    void malformedInputClosesOnlyItsConnection() throws Exception {
        for (int invalidLength : new int[] {-1, 0, (1 << 20) + 1}) {
            try (Socket s = new Socket(b.address().getAddress(), b.address().getPort())) {
                s.setSoTimeout(WAIT_S * 1000);
                s.getOutputStream()
                        .write(ByteBuffer.allocate(8)
                                .putInt(invalidLength)
                                .putInt(invalidLength)
                                .array());
                assertThat(ended(s)).as("length %d", invalidLength).isTrue();
            }
        }
        datagram(b, new byte[1401]);
        datagram(b, new byte[60_000]);
        Await.until("malformed input is counted", () -> b.counts().malformed() == 5);
        assertThat(b.counts().received()).isZero();
        PeerTransport a = sender(Map.of("b", b.address()), DEFAULT_BOUNDS);
        send(a, "b", bytes(5000, 1));
        assertThat(next()).isEqualTo(bytes(5000, 1));
    }

    @Test
    void tooManyConnectionsCloseTheLongestSilentOne() throws Exception {
        List<Socket> all = new ArrayList<>();
        try {
            Socket active = new Socket(b.address().getAddress(), b.address().getPort());
            all.add(active);
            active.getOutputStream()
                    .write(ByteBuffer.allocate(5).putInt(1).put((byte) 0).array());
            assertThat(next()).hasSize(1);
            for (int i = 1; i < DEFAULT_BOUNDS.connections(); i++) {
                Socket s = new Socket(b.address().getAddress(), b.address().getPort());
                all.add(s);
                s.setSoTimeout(10);
                s.getOutputStream()
                        .write(ByteBuffer.allocate(5).putInt(1).put((byte) 3).array());
                assertThat(next()).as("accepted, and silent from now on").containsExactly(3);
            }
            active.getOutputStream()
                    .write(ByteBuffer.allocate(5).putInt(1).put((byte) 1).array());
            assertThat(next()).as("now the most recently active one").containsExactly(1);
            all.add(new Socket(b.address().getAddress(), b.address().getPort()));
            Await.until("the connection that was silent for longest is closed", () -> ended(all.get(1)));
            assertThat(all.subList(2, all.size() - 1)).noneMatch(PeerTransportTest::ended);
            active.getOutputStream()
                    .write(ByteBuffer.allocate(5).putInt(1).put((byte) 2).array());
            assertThat(next()).containsExactly(2);
        } finally {
            for (Socket s : all) {
                s.close();
            }
        }
    }

    @Test
    void aRestartedPeerIsReachedAgain() throws Exception {
        PeerTransport a = sender(Map.of("b", b.address()), DEFAULT_BOUNDS);
        send(a, "b", bytes(5000, 1));
        assertThat(next()).hasSize(5000);
        onLoop(b::close);
        LinkedBlockingQueue<byte[]> again = new LinkedBlockingQueue<>();
        PeerTransport c = wire(b.address(), Map.of(), DEFAULT_BOUNDS, again::add);
        assertThat(c.address()).isEqualTo(b.address());
        Await.until("a frame and a datagram", () -> {
            send(a, "b", bytes(6000, 2));
            send(a, "b", bytes(60, 2));
            return again.stream().anyMatch(x -> x.length == 6000)
                    && again.stream().anyMatch(x -> x.length == 60);
        });
        assertThat(received).isEmpty();
    }

    /**
     * The address can be bound again as soon as close has returned, as the next process of a relay does.
     *
     * <p>Guards against a close that returns before the selector's thread has closed the listener. With that fault,
     * {@code aRestartedPeerIsReachedAgain} failed with {@code Address already in use} in two runs of all tests, in 2 of
     * 450 runs of its own, and in 1 of 600 on ports reserved for it.
     */
    @Test
    void theAddressIsFreeOnceCloseReturns() throws Exception {
        InetSocketAddress address = LoopbackPorts.shared().next();
        for (int i = 0; i < 300; i++) {
            PeerTransport wire = wire(address, Map.of(), DEFAULT_BOUNDS, x -> {});
            try (Socket s = new Socket(address.getAddress(), address.getPort())) {
                wire.close();
                new ServerSocket(address.getPort(), 1, address.getAddress()).close();
                new DatagramSocket(address).close();
            }
        }
    }

    @Test
    void excessDatagramsAreDroppedAndOtherTasksAreNotDelayed() throws Exception {
        CountDownLatch free = new CountDownLatch(1);
        loop.post(() -> {
            try {
                free.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        try (DatagramSocket s = new DatagramSocket()) {
            Await.until("more datagrams than fit", () -> {
                try {
                    for (int i = 0; i < 100; i++) {
                        s.send(new DatagramPacket(new byte[100], 100, b.address()));
                    }
                } catch (IOException e) {
                    throw new AssertionError(e);
                }
                return b.counts().overflowed() > 5000;
            });
        }
        int[] before = {-1};
        loop.post(() -> before[0] = received.size());
        Await.until("all datagrams have been received", () -> quiet(b));
        long accepted = b.counts().received() - b.counts().overflowed();
        assertThat(accepted).isEqualTo(DEFAULT_BOUNDS.inboundDatagrams());
        // Frames have their own queue, so that excess datagrams do not displace them.
        PeerTransport a = sender(Map.of("b", b.address()), DEFAULT_BOUNDS);
        free.countDown();
        send(a, "b", bytes(5000, 1));
        Await.until("the queued datagrams and the frame", () -> received.size() == accepted + 1);
        assertThat(before[0]).as("other tasks wait for one batch").isLessThanOrEqualTo(DEFAULT_BOUNDS.batchSize());
    }

    private static boolean quiet(PeerTransport wire) {
        long before = wire.counts().received();
        LockSupport.parkNanos(50_000_000);
        return wire.counts().received() == before;
    }

    @Test
    void anExceptionForOneItemDoesNotAffectTheOthers() throws Exception {
        LinkedBlockingQueue<byte[]> others = new LinkedBlockingQueue<>();
        PeerTransport c = wire(FREE_PORT, Map.of(), DEFAULT_BOUNDS, x -> {
            if (x.length == 1) {
                throw new IllegalStateException("planted");
            }
            others.add(x);
        });
        PeerTransport a = sender(Map.of("c", c.address()), DEFAULT_BOUNDS);
        onLoop(() -> {
            a.send("c", new byte[1]);
            a.send("c", new byte[2]);
        });
        assertThat(others.poll(WAIT_S, TimeUnit.SECONDS)).hasSize(2);
    }

    @Test
    void afterCloseNothingIsDeliveredAndThePortIsFree() throws Exception {
        assertThatThrownBy(() -> wire(b.address(), Map.of(), DEFAULT_BOUNDS, received::add))
                .isInstanceOf(IOException.class);
        CountDownLatch free = new CountDownLatch(1);
        loop.post(() -> {
            try {
                free.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            b.close();
            b.send("b", new byte[1]);
        });
        datagram(b, new byte[3]);
        Await.until("the datagram waits for the loop", () -> b.counts().received() == 1);
        free.countDown();
        onLoop(() -> {});
        onLoop(() -> {});
        assertThat(received).isEmpty();
        assertThat(b.counts().unsent()).isZero();
        wire(b.address(), Map.of(), DEFAULT_BOUNDS, received::add);
    }
}
