package firstair.relay.net;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.relay.Limits;
import firstair.relay.http.MessageHead;
import firstair.relay.standin.Await;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Links that are given up while their connection is being established: nothing is written, and it is closed. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class GrizzlyHttpConnectionTest {
    private static final long MAX_BODY = 1000;
    private final AtomicInteger calls = new AtomicInteger();
    private final AtomicReference<Thread> selector = new AtomicReference<>();
    private final CountDownLatch resume = new CountDownLatch(1);
    private NetworkTransport wire;
    private ServerSocket server;

    @BeforeEach
    void start() throws Exception {
        wire = new NetworkTransport(Limits.of(0, 0, 64_000_000, 0, 0, 0));
        server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void stop() throws Exception {
        resume.countDown();
        wire.close();
        server.close();
    }

    private InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    private static byte[] request(boolean sends) {
        return sends ? "GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII) : null;
    }

    /** Counts the calls of all exchanges. */
    private class CountingExchange implements HttpConnection.Exchange {
        @Override
        public void connected() {
            calls.incrementAndGet();
        }

        @Override
        public void head(MessageHead head) {
            calls.incrementAndGet();
        }

        @Override
        public void body(byte[] bytes, int offset, int length) {
            calls.incrementAndGet();
        }

        @Override
        public void completed(boolean reusable, boolean alone) {
            calls.incrementAndGet();
        }

        @Override
        public void failed(boolean maybeArrived) {
            calls.incrementAndGet();
        }
    }

    /**
     * Blocks the selector thread until {@link #resume}. If a connection is established before its handler is added, the
     * callback runs on the thread that opened it; then another one is opened.
     */
    private Socket blockSelector() throws Exception {
        while (true) {
            BlockingExchange exchange = new BlockingExchange(Thread.currentThread());
            wire.open(address(), MAX_BODY, null, exchange, () -> {});
            Socket other = server.accept();
            exchange.called.await();
            if (selector.get() != null) {
                return other;
            }
            other.close();
        }
    }

    /** Blocks the thread that reports the connection, unless that is the one that opened it. */
    private final class BlockingExchange extends CountingExchange {
        private final Thread opener;
        private final CountDownLatch called = new CountDownLatch(1);

        BlockingExchange(Thread opener) {
            this.opener = opener;
        }

        @Override
        public void connected() {
            if (Thread.currentThread() == opener) {
                called.countDown();
                return;
            }
            selector.set(Thread.currentThread());
            called.countDown();
            try {
                resume.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        @Override
        public void failed(boolean maybeArrived) {} // when the test closes the connection
    }

    /** The system has established the connection, and the selector thread has not handled it yet. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void givenUpBeforeTheSelectorSeesTheConnection(boolean sends) throws Exception {
        try (Socket other = blockSelector()) {
            HttpConnection link = wire.open(address(), MAX_BODY, request(sends), new CountingExchange(), () -> {});
            try (Socket peer = server.accept()) {
                assertThat(link.connecting()).isTrue();
                assertThat(link.abandon()).as("may have arrived").isFalse();
                resume.countDown();
                peer.setSoTimeout(10_000);
                assertThat(peer.getInputStream().read())
                        .as("an end and no byte")
                        .isEqualTo(-1);
            }
            assertThat(other.isClosed()).isFalse();
        }
        assertThat(calls).hasValue(0);
    }

    /** The library has completed the connection and is about to report it to the link. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void givenUpAfterTheConnectAndBeforeTheLinkIsNotified(boolean sends) throws Exception {
        try (Socket other = blockSelector()) {
            HttpConnection link = wire.open(address(), MAX_BODY, request(sends), new CountingExchange(), () -> {});
            try (Socket peer = server.accept()) {
                synchronized (link) { // the link's own lock
                    resume.countDown();
                    Await.until(
                            "the selector thread to wait for the lock",
                            () -> selector.get().getState() == Thread.State.BLOCKED);
                    assertThat(link.abandon()).isFalse();
                }
                peer.setSoTimeout(10_000);
                assertThat(peer.getInputStream().read())
                        .as("an end and no byte")
                        .isEqualTo(-1);
            }
            assertThat(other.isClosed()).isFalse();
        }
        assertThat(calls).hasValue(0);
    }

    /** Given up on another thread as soon as the connection has been reported. */
    @Test
    void givenUpWhenEstablishedItIsClosedAndTakesNoRequest() throws Exception {
        CountDownLatch up = new CountDownLatch(1);
        HttpConnection link = wire.open(
                address(),
                MAX_BODY,
                null,
                new CountingExchange() {
                    @Override
                    public void connected() {
                        up.countDown();
                    }
                },
                () -> {});
        try (Socket peer = server.accept()) {
            up.await();
            assertThat(link.abandon()).isFalse();
            assertThat(link.send(request(true), new CountingExchange())).isFalse();
            assertThat(link.keepIdle()).isFalse();
            peer.setSoTimeout(10_000);
            assertThat(peer.getInputStream().read()).isEqualTo(-1);
        }
        assertThat(calls).hasValue(0);
    }

    @Test
    void anUnusedConnectionCanBeKeptIdleAndReportsItsEnd() throws Exception {
        CountDownLatch up = new CountDownLatch(1);
        CountDownLatch ended = new CountDownLatch(1);
        HttpConnection link = wire.open(
                address(),
                MAX_BODY,
                null,
                new CountingExchange() {
                    @Override
                    public void connected() {
                        up.countDown();
                    }
                },
                ended::countDown);
        try (Socket peer = server.accept()) {
            up.await();
            assertThat(link.idle()).as("before keep()").isFalse();
            assertThat(link.keepIdle()).isTrue();
            assertThat(link.idle()).isTrue();
            peer.close();
            ended.await();
            assertThat(link.idle()).isFalse();
        }
        assertThat(calls).hasValue(0);
    }
}
