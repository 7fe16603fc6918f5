package firstair.relay.endpoints;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.control.Controller.Outcome;
import firstair.control.Controller.Result;
import firstair.kit.run.LoopbackPorts;
import firstair.kit.standin.StandIn;
import firstair.relay.Limits;
import firstair.relay.Loop;
import firstair.relay.net.Wire;
import firstair.relay.standin.Await;
import firstair.relay.standin.LoopThread;
import firstair.relay.standin.ShortTimes;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
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
import org.junit.jupiter.params.provider.ValueSource;

@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class EndpointsTest {
    private static final double LONG_MS = 20_000;
    private static final double IDLE_MS = 300;
    private static final double HALT_MS = 5_000;
    private static final double REST_MS = 50;

    private final BlockingQueue<Outcome> outcomes = new LinkedBlockingQueue<>();
    private final List<AutoCloseable> open = new ArrayList<>();
    private Loop loop;
    private Wire wire;
    private volatile Endpoints endpoints;

    @BeforeEach
    void start() throws IOException {
        Limits limits = ShortTimes.ofCalls(HALT_MS, 500, IDLE_MS, 2);
        wire = new Wire(limits);
        loop = LoopThread.start(() -> {
            if (endpoints != null) {
                endpoints.ask((id, attempt) -> LONG_MS);
                endpoints.write(id -> true, () -> false);
            }
        });
        endpoints = new Endpoints(wire, limits, loop, outcomes::add);
    }

    @AfterEach
    void stop() throws Exception {
        loop.end();
        wire.close();
        for (AutoCloseable c : open) {
            c.close();
        }
    }

    private StandIn endpoint(StandIn.Handler handler) throws IOException {
        StandIn s = new StandIn(handler);
        open.add(s);
        learn(s.address());
        return s;
    }

    private void learn(InetSocketAddress at) {
        loop.post(() -> endpoints.learn(Map.of("e", at)));
    }

    private static Item item(long id, double timeoutMs, double deadlineAt) {
        return new Item(
                id,
                0,
                "r" + id,
                "k" + id,
                ("body" + id).getBytes(StandardCharsets.US_ASCII),
                timeoutMs,
                deadlineAt,
                false);
    }

    private void call(Item... items) {
        loop.post(() -> endpoints.call("e", List.of(items)));
    }

    private Outcome next() throws InterruptedException {
        Outcome o = outcomes.poll(10, TimeUnit.SECONDS);
        assertThat(o).as("an outcome").isNotNull();
        return o;
    }

    private Result ends(double timeoutMs) throws InterruptedException {
        call(item(1, timeoutMs, 1e9));
        return next().result();
    }

    @Test
    void whatACallCarries() throws Exception {
        BlockingQueue<StandIn.Request> calls = new LinkedBlockingQueue<>();
        endpoint(r -> {
            calls.add(r);
            r.answer(429, "Retry-After: 0.25", "Server-Load: {\"x0\":0.5,\"x1\":9}");
        });
        call(item(1, 1500, 1e9));
        Outcome o = next();
        StandIn.Request r = calls.take();
        assertThat(r.method() + " " + r.target()).isEqualTo("POST /receive");
        assertThat(r.header("request-id")).isEqualTo("r1");
        assertThat(r.header("idempotency-key")).isEqualTo("k1");
        assertThat(r.header("request-timeout-ms")).isEqualTo("1500");
        assertThat(r.body()).asString(StandardCharsets.US_ASCII).isEqualTo("body1");
        assertThat(o.result()).isEqualTo(Result.FULL);
        assertThat(o.waitMs()).isEqualTo(250);
        assertThat(o.load().limitPerS()).isEqualTo(9);
    }

    @Test
    void aConnectionIsUsedAgain() throws Exception {
        StandIn s = endpoint(r -> r.answer(200));
        for (int i = 0; i < 5; i++) {
            assertThat(ends(LONG_MS)).isEqualTo(Result.OK);
            double answered = loop.now();
            Await.until("its rest over", () -> loop.now() - answered > REST_MS);
        }
        assertThat(s.accepted()).isEqualTo(1);
    }

    /** A further one would cost a handshake, and a place that an endpoint in a crowd does not have. */
    @Test
    void aConnectionThatRestsIsWaitedFor() throws Exception {
        StandIn s = endpoint(r -> r.answer(200));
        assertThat(ends(LONG_MS)).isEqualTo(Result.OK);
        call(item(2, LONG_MS, 1e9));
        Outcome o = next();
        assertThat(o.result()).isEqualTo(Result.OK);
        assertThat(s.accepted()).isEqualTo(1);
        assertThat(ends(1)).as("given up while it rests").isEqualTo(Result.CONNECT_FAILED);
        assertThat(ends(LONG_MS)).isEqualTo(Result.OK);
        assertThat(s.accepted()).as("what was set aside has been closed").isEqualTo(2);
    }

    /** Its place is free as soon as the answer is written, and not a way there and back later. */
    @Test
    void theLastCallOnAConnectionSaysSo() throws Exception {
        BlockingQueue<StandIn.Request> calls = new LinkedBlockingQueue<>();
        endpoint(r -> {
            calls.add(r);
            r.answer(200);
        });
        Item kept = item(1, LONG_MS, 1e9);
        call(kept);
        next();
        call(new Item(2, 0, "r2", null, new byte[0], LONG_MS, 1e9, true));
        next();
        assertThat(calls.take().header("connection")).isNull();
        assertThat(calls.take().header("connection")).isEqualTo("close");
    }

    @Test
    void aConnectionThatTheEndpointEndsIsNot() throws Exception {
        StandIn s = endpoint(r -> r.answer(200, "Connection: close"));
        assertThat(ends(LONG_MS)).isEqualTo(Result.OK);
        assertThat(ends(LONG_MS)).isEqualTo(Result.OK);
        assertThat(s.accepted()).isEqualTo(2);
    }

    /** A request on a connection that the endpoint has just closed would be lost with its outcome unknown. */
    @Test
    void anIdleConnectionIsClosedBeforeTheEndpointWould() throws Exception {
        LinkedBlockingQueue<Boolean> ended = new LinkedBlockingQueue<>();
        StandIn s = endpoint(r -> {
            r.answer(200);
            int more = r.socket().getInputStream().read(); // -1 once the relay has closed
            ended.add(more < 0);
        });
        assertThat(ends(LONG_MS)).isEqualTo(Result.OK);
        double[] idle = {loop.now()};
        while (ended.isEmpty() && loop.now() - idle[0] < 10_000) {
            loop.post(endpoints::sweep);
            Boolean b = ended.poll(10, TimeUnit.MILLISECONDS);
            if (b != null) {
                ended.add(b);
            }
        }
        assertThat(ended.poll()).isTrue();
        assertThat(loop.now() - idle[0]).isGreaterThanOrEqualTo(IDLE_MS - 50);
        assertThat(s.accepted()).isEqualTo(1);
    }

    /** Between two sweeps: a relay that is held up for 0.15 s would write where the endpoint may close (row P38). */
    @Test
    void anIdleConnectionThatIsDueIsNotUsedBeforeASweepHasSeenIt() throws Exception {
        StandIn s = endpoint(r -> r.answer(200));
        assertThat(ends(LONG_MS)).isEqualTo(Result.OK);
        double answered = loop.now();
        while (loop.now() - answered < IDLE_MS + 20) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        assertThat(ends(LONG_MS)).isEqualTo(Result.OK);
        assertThat(s.accepted()).isEqualTo(2);
    }

    @Test
    void aRefusedConnectionNeverRan() throws Exception {
        learn(LoopbackPorts.shared().next()); // nobody listens there, nor will somebody who asks for any free port
        assertThat(ends(LONG_MS)).isEqualTo(Result.CONNECT_FAILED);
    }

    /** Open files of this process; 0 where the system does not tell. */
    private static long descriptors() {
        String[] all = new java.io.File("/proc/self/fd").list();
        return all == null ? 0 : all.length;
    }

    @Test
    void aConnectionThatNeverComesUpNeverRan() throws Exception {
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            List<java.net.Socket> waiting = new ArrayList<>();
            for (int i = 0; i < 3; i++) { // nobody accepts, and the queue is full
                java.net.Socket s = new java.net.Socket();
                try {
                    s.connect(full.getLocalSocketAddress(), 200);
                } catch (IOException e) {
                    // full by now
                }
                waiting.add(s);
            }
            learn((InetSocketAddress) full.getLocalSocketAddress());
            long before = descriptors();
            for (int i = 0; i < 20; i++) {
                call(item(i, LONG_MS, 1e9));
            }
            for (int i = 0; i < 20; i++) {
                assertThat(next().result()).isEqualTo(Result.CONNECT_FAILED);
            }
            // The system would hold each of them for minutes.
            Await.until("descriptors given back", () -> descriptors() <= before + 5);
            for (java.net.Socket s : waiting) {
                s.close();
            }
        }
    }

    @Test
    void aConnectionThatBreaksAfterTheLastByteMayHaveRun() throws Exception {
        endpoint(StandIn.Request::reset);
        assertThat(ends(LONG_MS)).isEqualTo(Result.RESET);
    }

    /** What the kernel still held of a large request shows that the endpoint cannot have had all of it. */
    @Test
    void aConnectionThatBreaksBeforeTheLastByteNeverRan() throws Exception {
        try (ServerSocket server = new ServerSocket()) {
            server.setReceiveBufferSize(4096);
            server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            learn((InetSocketAddress) server.getLocalSocketAddress());
            Item large = new Item(1, 0, "r1", null, new byte[16 << 20], LONG_MS, 1e9, false);
            call(large);
            try (java.net.Socket s = server.accept()) {
                assertThat(s.getInputStream().read()).isEqualTo('P');
                s.setSoLinger(true, 0);
            }
            assertThat(next().result()).isEqualTo(Result.CONNECT_FAILED);
        }
    }

    /** Descriptors run out otherwise: a busy day leaves idle connections to every endpoint. */
    @Test
    void whereNoMoreMayBeOpenTheLongestIdleOneIsClosed() throws Exception {
        LinkedBlockingQueue<StandIn.Request> first = new LinkedBlockingQueue<>();
        StandIn s = endpoint(first::add);
        call(item(1, LONG_MS, 1e9));
        call(item(2, LONG_MS, 1e9));
        first.take().answer(200);
        first.take().answer(200);
        next();
        next();
        assertThat(s.open()).isEqualTo(2); // two kept, and two is all that may be open
        LinkedBlockingQueue<StandIn.Request> second = new LinkedBlockingQueue<>();
        try (StandIn other = new StandIn(second::add)) {
            loop.post(() -> endpoints.learn(Map.of("other", other.address())));
            loop.post(() -> endpoints.call("other", List.of(item(3, LONG_MS, 1e9))));
            second.take().answer(200);
            assertThat(next().result()).isEqualTo(Result.OK);
            Await.until("one closed", () -> s.open() <= 1);
        }
    }

    /** A call sent in its place before the endpoint has seen its end would find all slots taken. */
    @Test
    void aTimeOutIsToldOnceTheEndpointHasSeenTheEndOfTheCall() throws Exception {
        LinkedBlockingQueue<Integer> read = new LinkedBlockingQueue<>();
        endpoint(r -> {
            read.add(r.socket().getInputStream().read());
            r.socket().close();
        });
        assertThat(ends(200)).isEqualTo(Result.TIMEOUT);
        assertThat(read.poll()).isEqualTo(-1);
    }

    /** A call is given up by ending our sending: from then on the endpoint may hold it to be over. */
    @Test
    void anAnswerThatCrossesTheTimeOutDoesNotCount() throws Exception {
        endpoint(r -> {
            r.socket().getInputStream().read();
            r.answer(200);
        });
        assertThat(ends(200)).isEqualTo(Result.TIMEOUT);
    }

    @Test
    void anEndpointThatNeverSeesTheEndHoldsUpItsTimeOutForALittle() throws Exception {
        CountDownLatch done = new CountDownLatch(1);
        endpoint(r -> {
            try {
                done.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        call(item(1, 200, 1e9));
        Outcome o = next();
        done.countDown();
        assertThat(o.result()).isEqualTo(Result.TIMEOUT);
        assertThat(o.tookMs()).isGreaterThanOrEqualTo(200 + HALT_MS - 1);
    }

    @Test
    void aFirstLineSettlesACallThoughItsBodyNeverComes() throws Exception {
        endpoint(r -> {
            r.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc".getBytes(StandardCharsets.US_ASCII));
            r.reset();
        });
        assertThat(ends(LONG_MS)).isEqualTo(Result.OK);
    }

    private Outcome spoilt(String answer) throws Exception {
        LinkedBlockingQueue<Integer> read = new LinkedBlockingQueue<>();
        endpoint(r -> {
            r.write(answer.replace("\\n", "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            try {
                read.add(r.socket().getInputStream().read());
            } catch (IOException e) {
                read.add(-1); // closed with bytes unread
            }
        });
        call(item(1, LONG_MS, 1e9));
        Outcome o = next();
        assertThat(read.poll(10, TimeUnit.SECONDS))
                .as("the end of the connection")
                .isEqualTo(-1);
        assertThat(o.tookMs()).isLessThan(LONG_MS / 4);
        return o;
    }

    /** The connection stays open and silent: nothing but what has come tells that no more will. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\\nno head\\n\\n",
                "HTTP/1.1 200 OK\\nContent-Length: 9\\n\\nabc",
                "HTTP/1.1 200 OK\\nContent-Length: -4\\n\\n",
                "HTTP/1.1 200 OK\\nContent-Length: 3000000000\\n\\nxx",
                "HTTP/1.1 200 OK\\nX: y\\n",
                "HTTP/1.1 200 OK\\n\\nno length",
                "HTTP/1.1 200 OK\\nTransfer-Encoding: chunked\\n\\nzz\\n"
            })
    void aSpoiltAnswerThatBegins200IsDeliveredAndItsConnectionDropped(String answer) throws Exception {
        Outcome o = spoilt(answer);
        assertThat(o.result()).isEqualTo(Result.OK);
        assertThat(o.over()).isTrue();
    }

    /** It may say 503, but the call has run: sending an unsafe message again would do its work twice. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "\0\7noise",
                "HTTP/1.1 2",
                "HTTP/1.1 503 x\\nno head\\n\\n",
                "HTTP/1.1 503 x\\nContent-Length: 9\\n\\nabc",
                "HTTP/1.1 429 x\\nContent-Length: 1\\n\\nabc",
                "HTTP/1.1 410 x\\nX: y\\n",
                "HTTP/1.1 504 x\\nContent-Length: 1, 2\\n\\n",
                "HTTP/1.1 2OO x\\n\\n"
            })
    void anyOtherSpoiltAnswerMayHaveRun(String answer) throws Exception {
        Outcome o = spoilt(answer);
        assertThat(o.result()).isEqualTo(Result.RESET);
        assertThat(o.over()).isFalse();
    }

    @Test
    void aWaitIsKeptThoughTheRestOfItsAnswerIsSpoilt() throws Exception {
        Outcome o = spoilt("HTTP/1.1 429 x\\nRetry-After: 0.5\\nContent-Length: 9\\n\\nabc");
        assertThat(o.result()).isEqualTo(Result.RESET);
        assertThat(o.waitMs()).isEqualTo(500);
    }

    /** Behind an answer a second copy of it may come: were it taken for the next one, a message would be lost. */
    @Test
    void whatComesBehindAnAnswerIsNeverTheNextCallsAnswer() throws Exception {
        BlockingQueue<StandIn.Request> calls = new LinkedBlockingQueue<>();
        CountDownLatch first = new CountDownLatch(1);
        StandIn s = endpoint(r -> {
            calls.add(r);
            if (first.getCount() > 0) {
                r.answer(200);
                first.countDown();
                try {
                    Thread.sleep(2); // the copy is a packet of its own
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                r.answer(200);
            }
        });
        call(item(1, LONG_MS, 1e9));
        assertThat(next().result()).isEqualTo(Result.OK);
        call(item(2, 300, 1e9));
        assertThat(next().result()).isEqualTo(Result.TIMEOUT); // it was never answered
        assertThat(s.accepted()).isEqualTo(2);
    }

    @Test
    void aGoodAnswerMayHaveMoreAheadAndBehind() throws Exception {
        StandIn s = endpoint(r -> r.write(("HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nServer-Load: {\"x0\":\r\n"
                        + "Content-Length: 0\r\n\r\nHTTP/1.1 500 x\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII)));
        for (int i = 0; i < 2; i++) {
            assertThat(ends(LONG_MS)).isEqualTo(Result.OK);
        }
        assertThat(s.accepted()).isEqualTo(2);
    }

    @Test
    void anAnswerToSeveralThatIsCutShortMayHaveRunForAll() throws Exception {
        endpoint(r -> r.answer(200, "r1 ok\r\nr2 la".getBytes(StandardCharsets.US_ASCII)));
        call(item(1, LONG_MS, 1e9), item(2, LONG_MS, 1e9));
        assertThat(next().result()).isEqualTo(Result.RESET);
        assertThat(next().result()).isEqualTo(Result.RESET);
    }

    /** Its address may be another one's by now. */
    @Test
    void nothingIsKeptOfAnEndpointThatHasLeftTheList() throws Exception {
        StandIn s = endpoint(r -> r.answer(200));
        assertThat(ends(LONG_MS)).isEqualTo(Result.OK);
        loop.post(() -> endpoints.forget(List.of("e")));
        Await.until("its connection closed", () -> s.open() == 0);
        assertThat(ends(LONG_MS)).isEqualTo(Result.CONNECT_FAILED);
        assertThat(s.accepted()).isEqualTo(1);
    }

    @Test
    void severalTravelTogetherAndEachHasItsOwnEnd() throws Exception {
        BlockingQueue<StandIn.Request> calls = new LinkedBlockingQueue<>();
        endpoint(r -> {
            calls.add(r);
            r.answer(200, "r1 ok\r\nr2 later\r\nr3 gone\r\n".getBytes(StandardCharsets.US_ASCII), "Retry-After: 0.5");
        });
        call(item(1, LONG_MS, 1e9), item(2, LONG_MS, 1e9), item(3, LONG_MS, 1e9));
        assertThat(next().result()).isEqualTo(Result.OK);
        Outcome later = next();
        assertThat(later.result()).isEqualTo(Result.FULL);
        assertThat(later.waitMs()).isEqualTo(500);
        Outcome gone = next();
        assertThat(gone.result()).isEqualTo(Result.NOT_SENT);
        assertThat(gone.over()).isTrue();
        StandIn.Request r = calls.take();
        assertThat(r.target()).isEqualTo("/receive-many");
        assertThat(r.body())
                .asString(StandardCharsets.US_ASCII)
                .isEqualTo("r1 k1 5\r\nbody1\r\nr2 k2 5\r\nbody2\r\nr3 k3 5\r\nbody3\r\n");
    }

    /** Were some told of a time-out while their call is out, they would be sent a second time beside it. */
    @Test
    void allMessagesOfACallEndWithIt() throws Exception {
        endpoint(r -> r.socket().getInputStream().read());
        loop.post(() -> endpoints.call("e", List.of(item(1, 100, 1e9), item(2, 100, 1e9), item(3, 700, 1e9))));
        for (long id = 1; id <= 3; id++) {
            Outcome o = next();
            assertThat(o.id()).isEqualTo(id);
            assertThat(o.result()).isEqualTo(Result.TIMEOUT);
            assertThat(o.tookMs()).as("the longest that was told").isGreaterThanOrEqualTo(650);
        }
    }

    @Test
    void aCancelledCallEndsItsConnection() throws Exception {
        LinkedBlockingQueue<Integer> read = new LinkedBlockingQueue<>();
        LinkedBlockingQueue<Boolean> came = new LinkedBlockingQueue<>();
        endpoint(r -> {
            came.add(true);
            read.add(r.socket().getInputStream().read());
        });
        call(item(1, LONG_MS, 1e9));
        came.take();
        loop.post(() -> endpoints.cancel(1, 0));
        assertThat(next().result()).isEqualTo(Result.CANCELLED);
        assertThat(read.poll(10, TimeUnit.SECONDS)).isEqualTo(-1);
    }
}
