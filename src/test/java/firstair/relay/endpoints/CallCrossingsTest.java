package firstair.relay.endpoints;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.config.Read;
import firstair.control.Controller.Outcome;
import firstair.control.Controller.Result;
import firstair.relay.Limits;
import firstair.relay.Loop;
import firstair.relay.TunableSettings;
import firstair.relay.net.Wire;
import firstair.relay.standin.Await;
import firstair.relay.standin.Kernel;
import firstair.relay.standin.LoopThread;
import firstair.relay.standin.SelectorGate;
import firstair.relay.standin.ShortTimes;
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
 * Two events of a call that cross, on real sockets. The loop's thread and the selector's are held up at the step in
 * question, so that the order is forced: each call ends exactly once, and never as one that surely did not run when it
 * may have.
 */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class CallCrossingsTest {
    private static final double LONG_MS = 20_000;
    private static final double TIMEOUT_MS = 1000;
    private static final double HALT_MS = 1000;
    private static final double IDLE_MS = 10_000;
    private static final int LARGE = 16 << 20; // more than the system holds of a connection

    private final BlockingQueue<Outcome> outcomes = new LinkedBlockingQueue<>();
    private final List<AutoCloseable> open = new ArrayList<>();
    private Limits limits;
    private Loop loop;
    private Wire wire;
    private SelectorGate selector;
    private volatile Endpoints endpoints;
    private ServerSocket server;

    @BeforeEach
    void start() throws IOException {
        limits = ShortTimes.ofCalls(HALT_MS, 5_000, IDLE_MS, 10)
                .tuned(Read.texts(
                                Map.of("endpoints.answer", "1s"),
                                Map.of("endpoints.answer", "test"),
                                TunableSettings.schema())
                        .values()); // a test may get little of a core
        wire = new Wire(limits);
        selector = new SelectorGate(wire);
        loop = LoopThread.start(() -> {
            if (endpoints != null) {
                endpoints.ask((id, attempt) -> LONG_MS);
                endpoints.write(id -> true, () -> false);
            }
        });
        endpoints = new Endpoints(wire, limits, loop, outcomes::add);
        server = new ServerSocket();
        server.setReceiveBufferSize(4096);
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        server.setSoTimeout(10_000);
        loop.post(() -> endpoints.learn(Map.of("e", (InetSocketAddress) server.getLocalSocketAddress())));
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

    // ---- the two sides ----

    private static Item item(long id, double timeoutMs, int bytes) {
        return new Item(id, 0, "r" + id, "k" + id, new byte[bytes], timeoutMs, 1e9, false);
    }

    private void call(Item... items) {
        loop.post(() -> endpoints.call("e", List.of(items)));
    }

    private Outcome next() throws InterruptedException {
        Outcome o = outcomes.poll(10, TimeUnit.SECONDS);
        assertThat(o).as("an outcome").isNotNull();
        return o;
    }

    /** A connection that has come; nothing of it is read. */
    private Socket accepted() throws IOException {
        Socket s = server.accept();
        s.setTcpNoDelay(true);
        s.setSoTimeout(10_000);
        open.add(s);
        return s;
    }

    /** Reads one request with all its bytes, and returns its head. */
    private static String request(Socket s) throws IOException {
        InputStream in = s.getInputStream();
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int b = in.read();
            assertThat(b).as("a byte of a request").isGreaterThanOrEqualTo(0);
            head.append((char) b);
        }
        in.readNBytes(Integer.parseInt(head.toString().replaceAll("(?s).*Content-Length: (\\d+)\r\n.*", "$1")));
        return head.toString();
    }

    private static void write(Socket s, String text) throws IOException {
        s.getOutputStream().write(text.replace("\\n", "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    }

    private static void reset(Socket s) throws IOException {
        s.setSoLinger(true, 0);
        s.close();
    }

    private static void act(Socket s, String what) throws IOException {
        switch (what) {
            case "reset" -> reset(s);
            case "end" -> s.shutdownOutput();
            default -> write(s, what);
        }
    }

    /** The end of a connection as its endpoint sees it: in order, or by a reset where bytes were unread. */
    private static boolean ended(Socket s) {
        try {
            return s.getInputStream().read() < 0;
        } catch (IOException e) {
            return !(e instanceof java.net.SocketTimeoutException);
        }
    }

    /** Holds up the loop's thread, between two events of one round. */
    private final class Held {
        private final CountDownLatch reached = new CountDownLatch(1);
        private final CountDownLatch released = new CountDownLatch(1);

        Held() {
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

    /** Returns once the loop has run what was posted to it, and the round has ended. */
    private void settled() throws InterruptedException {
        for (int i = 0; i < 2; i++) {
            CountDownLatch done = new CountDownLatch(1);
            loop.post(done::countDown);
            assertThat(done.await(10, TimeUnit.SECONDS)).isTrue();
        }
    }

    /** Does something in a round whose timers are due, before they run: what it brings is told behind them. */
    private void inTheRoundThatIsDue(double dueAt, Step step) throws Exception {
        Held first = new Held();
        first.reached.await();
        Held second = new Held();
        Await.until("a timer is due", () -> loop.now() > dueAt);
        first.released.countDown();
        second.reached.await();
        step.run();
        selector.pass();
        second.released.countDown();
    }

    private interface Step {
        void run() throws IOException;
    }

    private void once() throws Exception {
        selector.pass();
        settled();
        assertThat(outcomes).as("a second end").isEmpty();
    }

    // ---- an answer or an end, and the time-out ----

    /** The bytes had all been written: taken for a call that never ran, an unsafe message would be sent again. */
    @ParameterizedTest
    @CsvSource({
        "reset, RESET",
        "HTTP/1.1 500 x\\nContent-Length: 0\\n\\n, ERROR",
        "HTTP/1.1 503 x\\nContent-Length: 0\\n\\n, FULL",
        "HTTP/1.1 200 x\\nContent-Length: 0\\n\\n, OK",
        "HTTP/1.1 500 x\\nConnection: close\\nContent-Length: 0\\n\\n, ERROR",
        "noise, RESET"
    })
    void whatCameBeforeTheTimeOutWasLookedAtIsTheEnd(String what, Result result) throws Exception {
        call(item(1, TIMEOUT_MS, 1));
        Socket s = accepted();
        request(s);
        inTheRoundThatIsDue(loop.now() + TIMEOUT_MS + 1, () -> act(s, what));
        assertThat(next().result()).isEqualTo(result);
        once();
    }

    /** Both were delivered: told that their call never ran, they would be sent on after their end. */
    @Test
    void severalThatWereDeliveredBeforeTheTimeOutWasLookedAtAreOver() throws Exception {
        call(item(1, TIMEOUT_MS, 1), item(2, TIMEOUT_MS, 1));
        Socket s = accepted();
        request(s);
        inTheRoundThatIsDue(
                loop.now() + TIMEOUT_MS + 1,
                () -> write(s, "HTTP/1.1 200 x\\nContent-Length: 14\\n\\nr1 ok\\nr2 ok\\n"));
        assertThat(next().over()).isTrue();
        assertThat(next().over()).isTrue();
        once();
    }

    /** Where the call has been given up and its end is waited for, all that comes says that it may have run. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "reset",
                "end",
                "HTTP/1.1 500 x\\nContent-Length: 0\\n\\n",
                "HTTP/1.1 503 x\\nContent-Length: 0\\n\\n",
                "HTTP/1.1 200 x\\nContent-Length: 0\\n\\n"
            })
    void whatCameBehindTheEndOfACallIsATimeOut(String what) throws Exception {
        call(item(1, 500, 1));
        Socket s = accepted();
        request(s);
        assertThat(s.getInputStream().read()).as("given up").isEqualTo(-1);
        settled();
        inTheRoundThatIsDue(loop.now() + HALT_MS + 1, () -> act(s, what));
        assertThat(next().result()).isEqualTo(Result.TIMEOUT);
        once();
    }

    /**
     * Row R2. A call that is waited for until its message's time is ended before that, so that what an endpoint may
     * take to see the end is over by then: the message's notice has 0.3 s from its time on.
     *
     * <p>What happened: the end of the call began with the message's time, and the decisions heard of it only behind
     * that. What showed it, in a soak beside busy processes (seed 219, a notice 355 ms behind its message's time): a
     * call that ran to the message's time, and its time-out 50 ms and a late timer behind that.
     */
    @Test
    void aCallIsOverWithItsMessagesTimeThoughItsEndpointDoesNotSeeTheEnd() throws Exception {
        double timeMs = 3 * HALT_MS;
        double deadlineAt = loop.now() + timeMs;
        call(new Item(1, 0, "r1", "k1", new byte[1], LONG_MS, deadlineAt, false));
        Socket s = accepted();
        request(s);
        assertThat(next().result()).isEqualTo(Result.TIMEOUT);
        assertThat(loop.now()).isLessThan(deadlineAt + 300);
        assertThat(s.getInputStream().read()).as("given up").isEqualTo(-1);
        once();
    }

    /** One that has begun has a time of its own. */
    @Test
    void anAnswerThatWasWholeBeforeItsTimeWasLookedAtCounts() throws Exception {
        call(item(1, LONG_MS, 1), item(2, LONG_MS, 1));
        Socket s = accepted();
        request(s);
        write(s, "HTTP/1.1 200 x\\nContent-Length: 14\\n");
        selector.pass();
        settled();
        inTheRoundThatIsDue(loop.now() + limits.answerMs() + 1, () -> write(s, "\\nr1 ok\\nr2 ok\\n"));
        assertThat(next().result()).isEqualTo(Result.OK);
        assertThat(next().result()).isEqualTo(Result.OK);
        once();
    }

    @Test
    void anAnswerThatComesWithACancelDoesNotEndTheCallTwice() throws Exception {
        call(item(1, LONG_MS, 1));
        Socket s = accepted();
        request(s);
        Held held = new Held();
        held.reached.await();
        loop.post(() -> endpoints.cancel(1, 0));
        write(s, "HTTP/1.1 200 x\\nContent-Length: 0\\n\\n");
        selector.pass();
        held.released.countDown();
        assertThat(next().result()).isEqualTo(Result.CANCELLED);
        assertThat(ended(s)).as("nothing is kept of it").isTrue();
        once();
    }

    // ---- a kept connection and the next call ----

    /** A connection that has carried one call and rests no longer. */
    private Socket kept() throws Exception {
        call(item(1, LONG_MS, 1));
        Socket s = accepted();
        request(s);
        write(s, "HTTP/1.1 200 x\\nContent-Length: 0\\n\\n");
        assertThat(next().result()).isEqualTo(Result.OK);
        double answered = loop.now();
        Await.until("its rest over", () -> loop.now() - answered > 2 * limits.restMs());
        return s;
    }

    /**
     * What came before the next call was written, and nobody has read. On a connection that has ended that call would
     * be lost; an answer that nobody asked for would be taken for the call's own, and a refusal have it sent twice.
     *
     * <p>A connection's end and its bytes are known once the selector's thread has read them, and a link that is asked
     * whether it is idle knows no more. Here that thread is held until the call has been written.
     */
    @ParameterizedTest
    @ValueSource(strings = {"end", "reset", "HTTP/1.1 503 x\\nContent-Length: 0\\n\\n", "HTTP/1.1 5"})
    void whatHasComeOnAKeptConnectionIsSeenBeforeTheNextCallGoes(String what) throws Exception {
        Socket first = kept();
        Kernel.End ours = Kernel.otherEnd(first);
        selector.hold();
        act(first, what);
        Await.until("it is with the system", ours::waits);
        call(item(2, LONG_MS, 1));
        settled();
        selector.release();
        Socket second = accepted();
        assertThat(request(second)).contains("Request-Id: r2");
        write(second, "HTTP/1.1 200 x\\nContent-Length: 0\\n\\n");
        Outcome o = next();
        assertThat(o.id()).isEqualTo(2);
        assertThat(o.result()).isEqualTo(Result.OK);
        once();
    }

    /** What ends behind the last look at it may have run: the bytes were written to a connection that had gone. */
    @Test
    void aKeptConnectionThatEndsUnderTheNextCallMayHaveRun() throws Exception {
        Socket s = kept();
        call(item(2, LONG_MS, 1));
        Await.until("the next call", () -> available(s) > 0);
        reset(s);
        assertThat(next().result()).isEqualTo(Result.RESET);
        once();
    }

    private static int available(Socket s) {
        try {
            return s.getInputStream().available();
        } catch (IOException e) {
            return 0;
        }
    }

    /** Half a line in the moment in which we close an idle connection: no call is on it, and none hears of it. */
    @Test
    void bytesThatCrossTheCloseOfAnIdleConnectionAreNobodys() throws Exception {
        Socket s = kept();
        selector.hold();
        loop.post(() -> endpoints.closeIdle("e"));
        write(s, "HTTP/1.1 20");
        settled();
        selector.release();
        assertThat(ended(s)).isTrue();
        once();
        call(item(2, LONG_MS, 1));
        Socket next = accepted();
        request(next);
        write(next, "HTTP/1.1 200 x\\nContent-Length: 0\\n\\n");
        assertThat(next().result()).isEqualTo(Result.OK);
    }

    @Test
    void noiseOnAnIdleConnectionClosesIt() throws Exception {
        Socket s = kept();
        write(s, "HTTP/1.1 503 x\\nContent-Length: 0\\n\\n");
        assertThat(ended(s)).isTrue();
        once();
    }

    // ---- interim answers ----

    /**
     * An endpoint may send answers of 1xx before its own, and take its time behind them. An answer that has begun must
     * be whole within {@code answerMs}; a 1xx used to count as that begin, and the call was given up as one that may
     * have run, though its delivery was on the way.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 100 Continue\\n\\n|",
                "HTTP/1.1 103 Early Hints\\nLink: x\\n\\n|",
                "HTTP/1.1 10|2 Processing\\n\\n"
            })
    void anInterimAnswerIsNoBeginOfOne(String pieces) throws Exception {
        call(item(1, LONG_MS, 1));
        Socket s = accepted();
        request(s);
        for (String piece : pieces.split("\\|", -1)) {
            write(s, piece);
            TimeUnit.MILLISECONDS.sleep(20);
        }
        double interimAt = loop.now();
        Await.until("longer than an answer takes", () -> loop.now() - interimAt > 2 * limits.answerMs());
        write(s, "HTTP/1.1 200 x\\nContent-Length: 0\\n\\n");
        assertThat(next().result()).isEqualTo(Result.OK);
        once();
    }

    // ---- connections that break off ----

    /** At each step on the endpoint's side; what was not written whole cannot have run. */
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
    void anAnswerThatBreaksOffEndsTheCallByWhatHasCome(String text, String how, Result result) throws Exception {
        call(item(1, LONG_MS, 1));
        Socket s = accepted();
        request(s);
        selector.hold(); // the bytes and the end are found together
        write(s, text);
        act(s, how);
        selector.release();
        assertThat(next().result()).isEqualTo(result);
        once();
    }

    @ParameterizedTest
    @CsvSource({
        "HTTP/1.1 429 x\\nRetry-After: 0.25\\nContent-Length: 2\\n\\nok, FULL, 250",
        "HTTP/1.1 200 x\\nTransfer-Encoding: chunked\\n\\n1\\nx\\n0\\n\\n, OK, 0",
        "HTTP/1.1 102 x\\n\\nHTTP/1.1 500 x\\nContent-Length: 0\\n\\n, ERROR, 0"
    })
    void oneByteAtATime(String text, Result result, double waitMs) throws Exception {
        call(item(1, LONG_MS, 1));
        Socket s = accepted();
        request(s);
        for (byte b : text.replace("\\n", "\r\n").getBytes(StandardCharsets.US_ASCII)) {
            s.getOutputStream().write(b);
            selector.pass(); // a read of its own
        }
        Outcome o = next();
        assertThat(o.result()).isEqualTo(result);
        assertThat(o.waitMs()).isEqualTo(waitMs);
        once();
    }

    /** An answer without an end: what it may hold is bounded, and so is its time. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 503 x\\nContent-Length: 60000\\n\\n",
                "HTTP/1.1 503 x\\n\\n",
                "HTTP/1.1 503 x\\nTransfer-Encoding: chunked\\n\\nffff\\n",
                "HTTP/1.1 503 x\\nX: ",
                "HTTP/1.1 503 "
            })
    void anAnswerWithoutAnEndMayHaveRun(String text) throws Exception {
        call(item(1, LONG_MS, 1));
        Socket s = accepted();
        request(s);
        write(s, text);
        byte[] more = new byte[1024];
        java.util.Arrays.fill(more, (byte) 'x');
        Thread endless = new Thread(() -> {
            try {
                while (true) {
                    s.getOutputStream().write(more);
                }
            } catch (IOException e) {
                // it has been given up
            }
        });
        endless.start();
        assertThat(next().result()).isEqualTo(Result.RESET);
        endless.join(10_000);
        assertThat(endless.isAlive()).as("its connection is still open").isFalse();
        once();
    }

    // ---- the request's last byte ----

    @ParameterizedTest
    @ValueSource(strings = {"end", "reset"})
    void whatBreaksBeforeTheLastByteIsWrittenNeverRan(String how) throws Exception {
        call(item(1, LONG_MS, LARGE));
        Socket s = accepted();
        assertThat(s.getInputStream().read()).isEqualTo('P');
        act(s, how);
        assertThat(next().result()).isEqualTo(Result.CONNECT_FAILED);
        once();
    }

    /** All of it is with the system, and the endpoint has read one byte: it may get the rest. */
    @ParameterizedTest
    @ValueSource(strings = {"end", "reset"})
    void whatBreaksBehindTheLastByteMayHaveRun(String how) throws Exception {
        call(item(1, LONG_MS, 1000));
        Socket s = accepted();
        assertThat(s.getInputStream().read()).isEqualTo('P');
        act(s, how);
        assertThat(next().result()).isEqualTo(Result.RESET);
        once();
    }

    /** It came up, and was reset before its first byte or just behind its last. */
    @Test
    void aConnectionThatIsResetAtOnceEndsTheCallOnce() throws Exception {
        selector.hold();
        call(item(1, LONG_MS, 1));
        reset(accepted());
        selector.release();
        assertThat(next().result()).isIn(Result.CONNECT_FAILED, Result.RESET);
        once();
    }
}
