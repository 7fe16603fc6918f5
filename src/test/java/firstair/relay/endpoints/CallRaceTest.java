package firstair.relay.endpoints;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.config.ParsedSettings;
import firstair.control.Controller.Outcome;
import firstair.control.Controller.Result;
import firstair.relay.Limits;
import firstair.relay.Loop;
import firstair.relay.TunableSettings;
import firstair.relay.net.NetworkTransport;
import firstair.relay.standin.Await;
import firstair.relay.standin.LoopThread;
import firstair.relay.standin.SelectorPause;
import firstair.relay.standin.ShortTimes;
import firstair.relay.standin.TcpTable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Races between two events of a call, on real sockets. The loop's thread and the selector's are blocked at chosen
 * points to force the order of the events: each call must end exactly once, and never with a result that excludes that
 * it ran when it may have.
 */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class CallRaceTest {
    private static final double LONG_MS = 20_000;
    private static final double TIMEOUT_MS = 1000;
    private static final double HALT_MS = 1000;
    private static final double IDLE_MS = 10_000;
    private static final int LARGE = 16 << 20; // more than the system buffers for a connection

    private final BlockingQueue<Outcome> outcomes = new LinkedBlockingQueue<>();
    private final List<AutoCloseable> open = new ArrayList<>();
    private Limits limits;
    private Loop loop;
    private NetworkTransport wire;
    private SelectorPause selector;
    private volatile Endpoints endpoints;
    private ServerSocket server;

    @BeforeEach
    void start() throws IOException {
        limits = ShortTimes.forCalls(HALT_MS, 5_000, IDLE_MS, 10)
                .withLocalSettings(ParsedSettings.fromTexts(
                                Map.of("endpoints.answer", "1s"),
                                Map.of("endpoints.answer", "test"),
                                TunableSettings.schema())
                        .values()); // the test may get little CPU
        wire = new NetworkTransport(limits);
        selector = new SelectorPause(wire);
        loop = LoopThread.start(() -> {
            if (endpoints != null) {
                endpoints.recheckConnected((id, attempt) -> LONG_MS);
                endpoints.write(id -> true, () -> false);
            }
        });
        endpoints = new Endpoints(wire, limits, loop, outcomes::add);
        server = new ServerSocket();
        server.setReceiveBufferSize(4096);
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        server.setSoTimeout(10_000);
        loop.post(() -> endpoints.updateAddresses(Map.of("e", (InetSocketAddress) server.getLocalSocketAddress())));
    }

    @AfterEach
    void stop() throws Exception {
        loop.end();
        selector.close();
        wire.close();
        server.close();
        for (AutoCloseable c : open) {
            c.close();
        }
    }

    // ---- both ends of a connection ----

    private static Item item(long id, double timeoutMs, int bytes) {
        return new Item(id, 0, "r" + id, "k" + id, new byte[bytes], timeoutMs, 1e9, false);
    }

    private void call(Item... items) {
        loop.post(() -> endpoints.call("e", List.of(items)));
    }

    private Outcome next() throws InterruptedException {
        Outcome outcome = outcomes.poll(10, TimeUnit.SECONDS);
        assertThat(outcome).as("an outcome").isNotNull();
        return outcome;
    }

    /** Accepts a connection without reading from it. */
    private Socket accept() throws IOException {
        Socket socket = server.accept();
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(10_000);
        open.add(socket);
        return socket;
    }

    /** Reads one complete request and returns its head. */
    private static String request(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int b = in.read();
            assertThat(b).as("a byte of a request").isGreaterThanOrEqualTo(0);
            head.append((char) b);
        }
        in.readNBytes(Integer.parseInt(head.toString().replaceAll("(?s).*Content-Length: (\\d+)\r\n.*", "$1")));
        return head.toString();
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.replace("\\n", "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    }

    private static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    private static void apply(Socket socket, String action) throws IOException {
        switch (action) {
            case "reset" -> reset(socket);
            case "end" -> socket.shutdownOutput();
            default -> write(socket, action);
        }
    }

    /** Whether the endpoint sees the connection end: closed, or reset because bytes were unread. */
    private static boolean isClosed(Socket socket) {
        try {
            return socket.getInputStream().read() < 0;
        } catch (IOException e) {
            return !(e instanceof java.net.SocketTimeoutException);
        }
    }

    /** Blocks the loop's thread between two events of one round. */
    private final class LoopHold {
        private final CountDownLatch reached = new CountDownLatch(1);
        private final CountDownLatch released = new CountDownLatch(1);

        LoopHold() {
            loop.post(() -> {
                reached.countDown();
                try {
                    released.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
        }
    }

    /** Waits until the loop has run everything posted to it, and the round has ended. */
    private void awaitLoop() throws InterruptedException {
        for (int i = 0; i < 2; i++) {
            CountDownLatch done = new CountDownLatch(1);
            loop.post(done::countDown);
            assertThat(done.await(10, TimeUnit.SECONDS)).isTrue();
        }
    }

    /** Runs an action in a round with a due timer, before the timer runs: its events are processed after the timer. */
    private void inRoundWithDueTimer(double dueAt, Action action) throws Exception {
        LoopHold first = new LoopHold();
        first.reached.await();
        LoopHold second = new LoopHold();
        Await.until("a timer is due", () -> loop.now() > dueAt);
        first.released.countDown();
        second.reached.await();
        action.run();
        selector.drain();
        second.released.countDown();
    }

    private interface Action {
        void run() throws IOException;
    }

    private void assertEndedOnce() throws Exception {
        selector.drain();
        awaitLoop();
        assertThat(outcomes).as("a second outcome").isEmpty();
    }

    // ---- a response or an end of the connection, and the timeout ----

    /** The whole request had been written: if the call counted as never run, an unsafe message would be sent again. */
    @ParameterizedTest
    @CsvSource({
        "reset, RESET",
        "HTTP/1.1 500 x\\nContent-Length: 0\\n\\n, ERROR",
        "HTTP/1.1 503 x\\nContent-Length: 0\\n\\n, FULL",
        "HTTP/1.1 200 x\\nContent-Length: 0\\n\\n, OK",
        "HTTP/1.1 500 x\\nConnection: close\\nContent-Length: 0\\n\\n, ERROR",
        "noise, RESET"
    })
    void anEventBeforeTheTimeoutIsProcessedDecidesTheOutcome(String action, Result result) throws Exception {
        call(item(1, TIMEOUT_MS, 1));
        Socket socket = accept();
        request(socket);
        inRoundWithDueTimer(loop.now() + TIMEOUT_MS + 1, () -> apply(socket, action));
        assertThat(next().result()).isEqualTo(result);
        assertEndedOnce();
    }

    /** Both were delivered: if their call counted as never run, they would be sent again after their outcome. */
    @Test
    void aBundleDeliveredBeforeTheTimeoutIsProcessedIsDone() throws Exception {
        call(item(1, TIMEOUT_MS, 1), item(2, TIMEOUT_MS, 1));
        Socket socket = accept();
        request(socket);
        inRoundWithDueTimer(
                loop.now() + TIMEOUT_MS + 1,
                () -> write(socket, "HTTP/1.1 200 x\\nContent-Length: 14\\n\\nr1 ok\\nr2 ok\\n"));
        assertThat(next().messageEnded()).isTrue();
        assertThat(next().messageEnded()).isTrue();
        assertEndedOnce();
    }

    /** Once a call has been halted and waits for its end, whatever arrives means that it may have run. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "reset",
                "end",
                "HTTP/1.1 500 x\\nContent-Length: 0\\n\\n",
                "HTTP/1.1 503 x\\nContent-Length: 0\\n\\n",
                "HTTP/1.1 200 x\\nContent-Length: 0\\n\\n"
            })
    void anEventAfterACallWasHaltedIsATimeout(String action) throws Exception {
        call(item(1, 500, 1));
        Socket socket = accept();
        request(socket);
        assertThat(socket.getInputStream().read()).as("call halted").isEqualTo(-1);
        awaitLoop();
        inRoundWithDueTimer(loop.now() + HALT_MS + 1, () -> apply(socket, action));
        assertThat(next().result()).isEqualTo(Result.TIMEOUT);
        assertEndedOnce();
    }

    /**
     * Row R2. A call limited by its message's deadline is halted early enough for the endpoint to notice before the
     * deadline, because the message's notice must follow within 0.3 s of it.
     *
     * <p>The halt used to begin only at the deadline, and the control got the timeout after it. In a soak run next to
     * busy processes (seed 219) a call ran to the deadline of its message, its timeout came 50 ms and a late timer
     * after that, and the notice was 355 ms late.
     */
    @Test
    void aCallEndsByItsMessagesDeadlineEvenIfTheEndpointDoesNotNoticeTheHalt() throws Exception {
        double timeMs = 3 * HALT_MS;
        double deadlineAt = loop.now() + timeMs;
        call(new Item(1, 0, "r1", "k1", new byte[1], LONG_MS, deadlineAt, false));
        Socket socket = accept();
        request(socket);
        assertThat(next().result()).isEqualTo(Result.TIMEOUT);
        assertThat(loop.now()).isLessThan(deadlineAt + 300);
        assertThat(socket.getInputStream().read()).as("call halted").isEqualTo(-1);
        assertEndedOnce();
    }

    /** A response that has begun has a timeout of its own. */
    @Test
    void aResponseCompleteBeforeItsTimeoutIsProcessedCounts() throws Exception {
        call(item(1, LONG_MS, 1), item(2, LONG_MS, 1));
        Socket socket = accept();
        request(socket);
        write(socket, "HTTP/1.1 200 x\\nContent-Length: 14\\n");
        selector.drain();
        awaitLoop();
        inRoundWithDueTimer(loop.now() + limits.answerMs() + 1, () -> write(socket, "\\nr1 ok\\nr2 ok\\n"));
        assertThat(next().result()).isEqualTo(Result.OK);
        assertThat(next().result()).isEqualTo(Result.OK);
        assertEndedOnce();
    }

    @Test
    void aResponseDuringACancelDoesNotEndTheCallTwice() throws Exception {
        call(item(1, LONG_MS, 1));
        Socket socket = accept();
        request(socket);
        LoopHold hold = new LoopHold();
        hold.reached.await();
        loop.post(() -> endpoints.cancel(1, 0));
        write(socket, "HTTP/1.1 200 x\\nContent-Length: 0\\n\\n");
        selector.drain();
        hold.released.countDown();
        assertThat(next().result()).isEqualTo(Result.CANCELLED);
        assertThat(isClosed(socket)).as("connection closed").isTrue();
        assertEndedOnce();
    }

    // ---- an idle connection and the next call ----

    /** Opens a connection, makes one call on it, and waits until it may be reused. */
    private Socket idleConnection() throws Exception {
        call(item(1, LONG_MS, 1));
        Socket socket = accept();
        request(socket);
        write(socket, "HTTP/1.1 200 x\\nContent-Length: 0\\n\\n");
        assertThat(next().result()).isEqualTo(Result.OK);
        double answered = loop.now();
        Await.until("the rest time is over", () -> loop.now() - answered > 2 * limits.restMs());
        return socket;
    }

    /**
     * Input that arrived on an idle connection before the next call was written, and has not been read. If the
     * connection has ended, that call would be lost; an unsolicited response would be taken for the call's own, and a
     * rejection would cause the call to be sent twice.
     *
     * <p>The end of a connection and its bytes are known once the selector's thread has read them, and
     * {@link firstair.relay.net.HttpConnection#idle} knows no more than that. Here that thread is blocked until the
     * call has been written.
     */
    @ParameterizedTest
    @ValueSource(strings = {"end", "reset", "HTTP/1.1 503 x\\nContent-Length: 0\\n\\n", "HTTP/1.1 5"})
    void inputOnAnIdleConnectionIsNoticedBeforeTheNextCallIsWritten(String action) throws Exception {
        Socket first = idleConnection();
        TcpTable.End ourEnd = TcpTable.otherEnd(first);
        selector.hold();
        apply(first, action);
        Await.until("it has reached the system", ourEnd::hasUnread);
        call(item(2, LONG_MS, 1));
        awaitLoop();
        selector.release();
        Socket second = accept();
        assertThat(request(second)).contains("Request-Id: r2");
        write(second, "HTTP/1.1 200 x\\nContent-Length: 0\\n\\n");
        Outcome outcome = next();
        assertThat(outcome.id()).isEqualTo(2);
        assertThat(outcome.result()).isEqualTo(Result.OK);
        assertEndedOnce();
    }

    /** The connection ended after the last check: the request was written to it, so it may have run. */
    @Test
    void aCallOnAnIdleConnectionThatEndsMeanwhileMayHaveRun() throws Exception {
        Socket socket = idleConnection();
        call(item(2, LONG_MS, 1));
        Await.until("the next call", () -> available(socket) > 0);
        reset(socket);
        assertThat(next().result()).isEqualTo(Result.RESET);
        assertEndedOnce();
    }

    private static int available(Socket socket) {
        try {
            return socket.getInputStream().available();
        } catch (IOException e) {
            return 0;
        }
    }

    /** Part of a line arrives while an idle connection is being closed: no call is affected. */
    @Test
    void inputDuringTheCloseOfAnIdleConnectionIsIgnored() throws Exception {
        Socket socket = idleConnection();
        selector.hold();
        loop.post(() -> endpoints.closeIdle("e"));
        write(socket, "HTTP/1.1 20");
        awaitLoop();
        selector.release();
        assertThat(isClosed(socket)).isTrue();
        assertEndedOnce();
        call(item(2, LONG_MS, 1));
        Socket next = accept();
        request(next);
        write(next, "HTTP/1.1 200 x\\nContent-Length: 0\\n\\n");
        assertThat(next().result()).isEqualTo(Result.OK);
    }

    @Test
    void inputOnAnIdleConnectionClosesIt() throws Exception {
        Socket socket = idleConnection();
        write(socket, "HTTP/1.1 503 x\\nContent-Length: 0\\n\\n");
        assertThat(isClosed(socket)).isTrue();
        assertEndedOnce();
    }

    // ---- interim responses ----

    /**
     * An endpoint may send 1xx responses first and the final response much later. A response that has begun must be
     * complete within {@code answerMs}; a 1xx used to count as its beginning, so that the call was ended as one that
     * may have run although its delivery was on the way.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 100 Continue\\n\\n|",
                "HTTP/1.1 103 Early Hints\\nLink: x\\n\\n|",
                "HTTP/1.1 10|2 Processing\\n\\n"
            })
    void anInterimResponseDoesNotStartTheResponseTimeout(String pieces) throws Exception {
        call(item(1, LONG_MS, 1));
        Socket socket = accept();
        request(socket);
        for (String piece : pieces.split("\\|", -1)) {
            write(socket, piece);
            TimeUnit.MILLISECONDS.sleep(20);
        }
        double interimAt = loop.now();
        Await.until("longer than the response timeout", () -> loop.now() - interimAt > 2 * limits.answerMs());
        write(socket, "HTTP/1.1 200 x\\nContent-Length: 0\\n\\n");
        assertThat(next().result()).isEqualTo(Result.OK);
        assertEndedOnce();
    }

    // ---- connections that end early ----

    /** The endpoint ends the connection at each step of its response, after it has read the whole request. */
    @ParameterizedTest
    @CsvSource({
        "HTTP/1.1 200, end, RESET",
        "HTTP/1.1 200, reset, RESET",
        "HTTP/1.1 200 x\\n, end, OK",
        "HTTP/1.1 200 x\\n, reset, OK",
        "HTTP/1.1 200 x\\nCont, end, OK",
        "HTTP/1.1 200\\n, reset, OK",
        "HTTP/1.0 200 x\\n\\n, end, OK",
        "HTTP/1.1 200 x\\nContent-Length: 3\\n\\nab, reset, OK",
        "HTTP/1.1 503 x\\n, end, RESET",
        "HTTP/1.1 503 x\\n\\n, end, FULL",
        "HTTP/1.1 503 x\\n\\n, reset, FULL",
        "HTTP/1.0 503 x\\nContent-Length: 0\\n\\n, end, FULL",
        "HTTP/1.1 503 x\\nTransfer-Encoding: chunked\\n\\n0\\n, end, RESET",
        "HTTP/1.1 503 x\\nTransfer-Encoding: chunked\\n\\n0\\n\\n, end, FULL",
        "HTTP/1.1 100 x\\n\\n, end, RESET",
        "HTTP/1.1 100 x\\n\\nHTTP/1.1 200 x\\n, reset, OK",
        "HTTP/1.1 503 x\\nContent-Length: 0\\n\\nHTTP/1.1 200 x\\n\\n, end, RESET",
        "'', end, RESET",
        "'', reset, RESET"
    })
    void anIncompleteResponseEndsTheCallByWhatHasBeenRead(String text, String action, Result result) throws Exception {
        call(item(1, LONG_MS, 1));
        Socket socket = accept();
        request(socket);
        selector.hold(); // so that the bytes and the end are read together
        write(socket, text);
        apply(socket, action);
        selector.release();
        assertThat(next().result()).isEqualTo(result);
        assertEndedOnce();
    }

    @ParameterizedTest
    @CsvSource({
        "HTTP/1.1 429 x\\nRetry-After: 0.25\\nContent-Length: 2\\n\\nok, FULL, 250",
        "HTTP/1.1 200 x\\nTransfer-Encoding: chunked\\n\\n1\\nx\\n0\\n\\n, OK, 0",
        "HTTP/1.1 102 x\\n\\nHTTP/1.1 500 x\\nContent-Length: 0\\n\\n, ERROR, 0"
    })
    void aResponseIsReadOneByteAtATime(String text, Result result, double waitMs) throws Exception {
        call(item(1, LONG_MS, 1));
        Socket socket = accept();
        request(socket);
        for (byte b : text.replace("\\n", "\r\n").getBytes(StandardCharsets.US_ASCII)) {
            socket.getOutputStream().write(b);
            selector.drain(); // so that each byte is read by itself
        }
        Outcome outcome = next();
        assertThat(outcome.result()).isEqualTo(result);
        assertThat(outcome.waitMs()).isEqualTo(waitMs);
        assertEndedOnce();
    }

    /** A response that never ends is limited in size and time. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 503 x\\nContent-Length: 60000\\n\\n",
                "HTTP/1.1 503 x\\n\\n",
                "HTTP/1.1 503 x\\nTransfer-Encoding: chunked\\n\\nffff\\n",
                "HTTP/1.1 503 x\\nX: ",
                "HTTP/1.1 503 "
            })
    void aCallWithAnEndlessResponseMayHaveRun(String text) throws Exception {
        call(item(1, LONG_MS, 1));
        Socket socket = accept();
        request(socket);
        write(socket, text);
        byte[] more = new byte[1024];
        java.util.Arrays.fill(more, (byte) 'x');
        Thread endless = new Thread(() -> {
            try {
                while (true) {
                    socket.getOutputStream().write(more);
                }
            } catch (IOException e) {
                // the relay has closed the connection
            }
        });
        endless.start();
        assertThat(next().result()).isEqualTo(Result.RESET);
        endless.join(10_000);
        assertThat(endless.isAlive()).as("connection still open").isFalse();
        assertEndedOnce();
    }

    // ---- the last byte of the request ----

    @ParameterizedTest
    @ValueSource(strings = {"end", "reset"})
    void aConnectionThatEndsBeforeTheLastByteIsWrittenNeverRan(String action) throws Exception {
        call(item(1, LONG_MS, LARGE));
        Socket socket = accept();
        assertThat(socket.getInputStream().read()).isEqualTo('P');
        apply(socket, action);
        assertThat(next().result()).isEqualTo(Result.CONNECT_FAILED);
        assertEndedOnce();
    }

    /** The system has the whole request and the endpoint has read one byte: it may get the rest. */
    @ParameterizedTest
    @ValueSource(strings = {"end", "reset"})
    void aConnectionThatEndsAfterTheLastByteIsWrittenMayHaveRun(String action) throws Exception {
        call(item(1, LONG_MS, 1000));
        Socket socket = accept();
        assertThat(socket.getInputStream().read()).isEqualTo('P');
        apply(socket, action);
        assertThat(next().result()).isEqualTo(Result.RESET);
        assertEndedOnce();
    }

    /** The connection came up and was reset before the first byte of the request or just after its last. */
    @Test
    void aConnectionResetAtOnceEndsTheCallOnce() throws Exception {
        selector.hold();
        call(item(1, LONG_MS, 1));
        reset(accept());
        selector.release();
        assertThat(next().result()).isIn(Result.CONNECT_FAILED, Result.RESET);
        assertEndedOnce();
    }
}
