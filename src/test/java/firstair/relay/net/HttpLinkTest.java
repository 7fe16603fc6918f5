package firstair.relay.net;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.relay.Limits;
import firstair.relay.http.Head;
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

/** A connection that is given up in the moment in which it comes up: nothing is written, and it is closed. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class HttpLinkTest {
    private static final long MAX_BODY = 1000;
    private final AtomicInteger told = new AtomicInteger();
    private final AtomicReference<Thread> selector = new AtomicReference<>();
    private final CountDownLatch go = new CountDownLatch(1);
    private Wire wire;
    private ServerSocket server;

    @BeforeEach
    void start() throws Exception {
        wire = new Wire(Limits.of(0, 0, 64_000_000, 0, 0, 0));
        server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void stop() throws Exception {
        go.countDown();
        wire.close();
        server.close();
    }

    private InetSocketAddress to() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    private static byte[] request(boolean sends) {
        return sends ? "GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII) : null;
    }

    /** Counts what is told of a connection. */
    private class Counting implements Link.Exchange {
        @Override
        public void up() {
            told.incrementAndGet();
        }

        @Override
        public void head(Head head) {
            told.incrementAndGet();
        }

        @Override
        public void body(byte[] bytes, int offset, int length) {
            told.incrementAndGet();
        }

        @Override
        public void done(boolean reusable, boolean alone) {
            told.incrementAndGet();
        }

        @Override
        public void broken(boolean maybeArrived) {
            told.incrementAndGet();
        }
    }

    /**
     * Holds up the selector's thread until {@link #go}. A connection that is there before anybody asks for its news
     * tells them on the thread that opened it: then another one is opened.
     */
    private Socket holdSelector() throws Exception {
        while (true) {
            Holding holding = new Holding(Thread.currentThread());
            wire.open(to(), MAX_BODY, null, holding, () -> {});
            Socket other = server.accept();
            holding.told.await();
            if (selector.get() != null) {
                return other;
            }
            other.close();
        }
    }

    /** Holds up the thread that tells it of its connection, unless that is the one that opened it. */
    private final class Holding extends Counting {
        private final Thread opener;
        private final CountDownLatch told = new CountDownLatch(1);

        Holding(Thread opener) {
            this.opener = opener;
        }

        @Override
        public void up() {
            if (Thread.currentThread() == opener) {
                told.countDown();
                return;
            }
            selector.set(Thread.currentThread());
            told.countDown();
            try {
                go.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        @Override
        public void broken(boolean maybeArrived) {} // when the test lets go of it
    }

    /** The system has the connection, and the selector's thread has not looked yet. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void givenUpBeforeTheSelectorSeesTheConnection(boolean sends) throws Exception {
        try (Socket other = holdSelector()) {
            Link link = wire.open(to(), MAX_BODY, request(sends), new Counting(), () -> {});
            try (Socket s = server.accept()) {
                assertThat(link.connecting()).isTrue();
                assertThat(link.leave()).as("may have arrived").isFalse();
                go.countDown();
                s.setSoTimeout(10_000);
                assertThat(s.getInputStream().read()).as("an end and no byte").isEqualTo(-1);
            }
            assertThat(other.isClosed()).isFalse();
        }
        assertThat(told).hasValue(0);
    }

    /** The library has completed the connection and is about to tell the link. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void givenUpBetweenTheCompletionAndItsLink(boolean sends) throws Exception {
        try (Socket other = holdSelector()) {
            Link link = wire.open(to(), MAX_BODY, request(sends), new Counting(), () -> {});
            try (Socket s = server.accept()) {
                synchronized (link) { // the link's own lock
                    go.countDown();
                    Await.until(
                            "the selector's thread at its door",
                            () -> selector.get().getState() == Thread.State.BLOCKED);
                    assertThat(link.leave()).isFalse();
                }
                s.setSoTimeout(10_000);
                assertThat(s.getInputStream().read()).as("an end and no byte").isEqualTo(-1);
            }
            assertThat(other.isClosed()).isFalse();
        }
        assertThat(told).hasValue(0);
    }

    /** Given up on the loop's thread in the moment in which it is told that the connection is there. */
    @Test
    void givenUpOnceItIsUpItIsClosedAndTakesNoRequest() throws Exception {
        CountDownLatch up = new CountDownLatch(1);
        Link link = wire.open(
                to(),
                MAX_BODY,
                null,
                new Counting() {
                    @Override
                    public void up() {
                        up.countDown();
                    }
                },
                () -> {});
        try (Socket s = server.accept()) {
            up.await();
            assertThat(link.leave()).isFalse();
            assertThat(link.send(request(true), new Counting())).isFalse();
            assertThat(link.keep()).isFalse();
            s.setSoTimeout(10_000);
            assertThat(s.getInputStream().read()).isEqualTo(-1);
        }
        assertThat(told).hasValue(0);
    }

    @Test
    void keptUnusedItTakesALaterRequestAndTellsItsEnd() throws Exception {
        CountDownLatch up = new CountDownLatch(1);
        CountDownLatch ended = new CountDownLatch(1);
        Link link = wire.open(
                to(),
                MAX_BODY,
                null,
                new Counting() {
                    @Override
                    public void up() {
                        up.countDown();
                    }
                },
                ended::countDown);
        try (Socket s = server.accept()) {
            up.await();
            assertThat(link.idle()).as("not before it is kept").isFalse();
            assertThat(link.keep()).isTrue();
            assertThat(link.idle()).isTrue();
            s.close();
            ended.await();
            assertThat(link.idle()).isFalse();
        }
        assertThat(told).hasValue(0);
    }
}
