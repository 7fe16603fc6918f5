package firstair.relay.endpoints;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.control.Controller.Outcome;
import firstair.control.Controller.Result;
import firstair.kit.run.LoopbackPorts;
import firstair.kit.standin.StandIn;
import firstair.relay.Limits;
import firstair.relay.Loop;
import firstair.relay.net.NetworkTransport;
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
    private NetworkTransport wire;
    private volatile Endpoints endpoints;

    @BeforeEach
    void start() throws IOException {
        Limits limits = ShortTimes.forCalls(HALT_MS, 500, IDLE_MS, 2);
        wire = new NetworkTransport(limits);
        loop = LoopThread.start(() -> {
            if (endpoints != null) {
                endpoints.recheckConnected((id, attempt) -> LONG_MS);
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
        StandIn standIn = new StandIn(handler);
        open.add(standIn);
        learn(standIn.address());
        return standIn;
    }

    private void learn(InetSocketAddress at) {
        loop.post(() -> endpoints.updateAddresses(Map.of("e", at)));
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
        Outcome outcome = outcomes.poll(10, TimeUnit.SECONDS);
        assertThat(outcome).as("an outcome").isNotNull();
        return outcome;
    }

    private Result resultOf(double timeoutMs) throws InterruptedException {
        call(item(1, timeoutMs, 1e9));
        return next().result();
    }

    @Test
    void aCallCarriesHeadersAndBodyAndItsResponseIsRead() throws Exception {
        BlockingQueue<StandIn.Request> calls = new LinkedBlockingQueue<>();
        endpoint(r -> {
            calls.add(r);
            r.answer(429, "Retry-After: 0.25", "Server-Load: {\"x0\":0.5,\"x1\":9}");
        });
        call(item(1, 1500, 1e9));
        Outcome outcome = next();
        StandIn.Request r = calls.take();
        assertThat(r.method() + " " + r.target()).isEqualTo("POST /receive");
        assertThat(r.header("request-id")).isEqualTo("r1");
        assertThat(r.header("idempotency-key")).isEqualTo("k1");
        assertThat(r.header("request-timeout-ms")).isEqualTo("1500");
        assertThat(r.body()).asString(StandardCharsets.US_ASCII).isEqualTo("body1");
        assertThat(outcome.result()).isEqualTo(Result.FULL);
        assertThat(outcome.waitMs()).isEqualTo(250);
        assertThat(outcome.load().limitPerS()).isEqualTo(9);
    }

    @Test
    void aConnectionIsReused() throws Exception {
        StandIn standIn = endpoint(r -> r.answer(200));
        for (int i = 0; i < 5; i++) {
            assertThat(resultOf(LONG_MS)).isEqualTo(Result.OK);
            double answered = loop.now();
            Await.until("the rest time is over", () -> loop.now() - answered > REST_MS);
        }
        assertThat(standIn.acceptedCount()).isEqualTo(1);
    }

    /** Another connection would take a handshake, and the endpoint may have reached its connection limit. */
    @Test
    void aCallWaitsForARestingConnection() throws Exception {
        StandIn standIn = endpoint(r -> r.answer(200));
        assertThat(resultOf(LONG_MS)).isEqualTo(Result.OK);
        call(item(2, LONG_MS, 1e9));
        Outcome outcome = next();
        assertThat(outcome.result()).isEqualTo(Result.OK);
        assertThat(standIn.acceptedCount()).isEqualTo(1);
        assertThat(resultOf(1)).as("timed out while the connection rests").isEqualTo(Result.CONNECT_FAILED);
        assertThat(resultOf(LONG_MS)).isEqualTo(Result.OK);
        assertThat(standIn.acceptedCount())
                .as("the reserved connection has been closed")
                .isEqualTo(2);
    }

    /** This frees the connection at the endpoint as soon as the response is written, not a round trip later. */
    @Test
    void theLastCallOnAConnectionAsksToCloseIt() throws Exception {
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
    void aConnectionThatTheEndpointClosesIsNotReused() throws Exception {
        StandIn standIn = endpoint(r -> r.answer(200, "Connection: close"));
        assertThat(resultOf(LONG_MS)).isEqualTo(Result.OK);
        assertThat(resultOf(LONG_MS)).isEqualTo(Result.OK);
        assertThat(standIn.acceptedCount()).isEqualTo(2);
    }

    /** A request on a connection that the endpoint has just closed would be lost, with an unknown outcome. */
    @Test
    void anIdleConnectionIsClosedBeforeTheEndpointDoes() throws Exception {
        LinkedBlockingQueue<Boolean> closedByRelay = new LinkedBlockingQueue<>();
        StandIn standIn = endpoint(r -> {
            r.answer(200);
            int more = r.socket().getInputStream().read(); // -1 once the relay has closed
            closedByRelay.add(more < 0);
        });
        assertThat(resultOf(LONG_MS)).isEqualTo(Result.OK);
        double[] idleSince = {loop.now()};
        while (closedByRelay.isEmpty() && loop.now() - idleSince[0] < 10_000) {
            loop.post(endpoints::sweep);
            Boolean b = closedByRelay.poll(10, TimeUnit.MILLISECONDS);
            if (b != null) {
                closedByRelay.add(b);
            }
        }
        assertThat(closedByRelay.poll()).isTrue();
        assertThat(loop.now() - idleSince[0]).isGreaterThanOrEqualTo(IDLE_MS - 50);
        assertThat(standIn.acceptedCount()).isEqualTo(1);
    }

    /**
     * Between two sweeps, a relay delayed by 0.15 s could write to a connection as the endpoint closes it (row P38).
     */
    @Test
    void anExpiredIdleConnectionIsNotReusedEvenBeforeTheSweep() throws Exception {
        StandIn standIn = endpoint(r -> r.answer(200));
        assertThat(resultOf(LONG_MS)).isEqualTo(Result.OK);
        double answered = loop.now();
        while (loop.now() - answered < IDLE_MS + 20) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        assertThat(resultOf(LONG_MS)).isEqualTo(Result.OK);
        assertThat(standIn.acceptedCount()).isEqualTo(2);
    }

    @Test
    void aCallOnARefusedConnectionNeverRan() throws Exception {
        // Nobody listens on it, and the system does not give it to anyone who asks for a free port.
        learn(LoopbackPorts.shared().next());
        assertThat(resultOf(LONG_MS)).isEqualTo(Result.CONNECT_FAILED);
    }

    /** Number of open files of this process; 0 if the system does not report it. */
    private static long descriptors() {
        String[] all = new java.io.File("/proc/self/fd").list();
        return all == null ? 0 : all.length;
    }

    @Test
    void aCallOnAConnectionThatNeverOpensNeverRan() throws Exception {
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            List<java.net.Socket> waiting = new ArrayList<>();
            for (int i = 0; i < 3; i++) { // nobody accepts, and the queue is full
                java.net.Socket standIn = new java.net.Socket();
                try {
                    standIn.connect(full.getLocalSocketAddress(), 200);
                } catch (IOException e) {
                    // the queue is full by now
                }
                waiting.add(standIn);
            }
            learn((InetSocketAddress) full.getLocalSocketAddress());
            long before = descriptors();
            for (int i = 0; i < 20; i++) {
                call(item(i, LONG_MS, 1e9));
            }
            for (int i = 0; i < 20; i++) {
                assertThat(next().result()).isEqualTo(Result.CONNECT_FAILED);
            }
            // Left alone, the system would hold each of them for minutes.
            Await.until("descriptors released", () -> descriptors() <= before + 5);
            for (java.net.Socket standIn : waiting) {
                standIn.close();
            }
        }
    }

    @Test
    void aCallWhoseConnectionFailsAfterTheLastByteMayHaveRun() throws Exception {
        endpoint(StandIn.Request::reset);
        assertThat(resultOf(LONG_MS)).isEqualTo(Result.RESET);
    }

    /** The kernel still buffered part of a large request, so the endpoint cannot have received all of it. */
    @Test
    void aCallWhoseConnectionFailsBeforeTheLastByteNeverRan() throws Exception {
        try (ServerSocket server = new ServerSocket()) {
            server.setReceiveBufferSize(4096);
            server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            learn((InetSocketAddress) server.getLocalSocketAddress());
            Item large = new Item(1, 0, "r1", null, new byte[16 << 20], LONG_MS, 1e9, false);
            call(large);
            try (java.net.Socket standIn = server.accept()) {
                assertThat(standIn.getInputStream().read()).isEqualTo('P');
                standIn.setSoLinger(true, 0);
            }
            assertThat(next().result()).isEqualTo(Result.CONNECT_FAILED);
        }
    }

    /** Otherwise descriptors would run out: after heavy load there are idle connections to every endpoint. */
    @Test
    void atTheConnectionLimitTheLongestIdleConnectionIsClosed() throws Exception {
        LinkedBlockingQueue<StandIn.Request> first = new LinkedBlockingQueue<>();
        StandIn standIn = endpoint(first::add);
        call(item(1, LONG_MS, 1e9));
        call(item(2, LONG_MS, 1e9));
        first.take().answer(200);
        first.take().answer(200);
        next();
        next();
        assertThat(standIn.openCount()).isEqualTo(2); // both kept, and the limit is two
        LinkedBlockingQueue<StandIn.Request> second = new LinkedBlockingQueue<>();
        try (StandIn other = new StandIn(second::add)) {
            loop.post(() -> endpoints.updateAddresses(Map.of("other", other.address())));
            loop.post(() -> endpoints.call("other", List.of(item(3, LONG_MS, 1e9))));
            second.take().answer(200);
            assertThat(next().result()).isEqualTo(Result.OK);
            Await.until("one closed", () -> standIn.openCount() <= 1);
        }
    }

    /** A call sent in its place before the endpoint has noticed the halt would find all slots taken. */
    @Test
    void aTimeoutIsReportedOnceTheEndpointHasNoticedTheHalt() throws Exception {
        LinkedBlockingQueue<Integer> read = new LinkedBlockingQueue<>();
        endpoint(r -> {
            read.add(r.socket().getInputStream().read());
            r.socket().close();
        });
        assertThat(resultOf(200)).isEqualTo(Result.TIMEOUT);
        assertThat(read.poll()).isEqualTo(-1);
    }

    /** A call is halted by closing the sending side: from then on the endpoint may consider it over. */
    @Test
    void aResponseAfterTheTimeoutDoesNotCount() throws Exception {
        endpoint(r -> {
            r.socket().getInputStream().read();
            r.answer(200);
        });
        assertThat(resultOf(200)).isEqualTo(Result.TIMEOUT);
    }

    @Test
    void anEndpointThatNeverNoticesTheHaltDelaysTheTimeoutBriefly() throws Exception {
        CountDownLatch done = new CountDownLatch(1);
        endpoint(r -> {
            try {
                done.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        call(item(1, 200, 1e9));
        Outcome outcome = next();
        done.countDown();
        assertThat(outcome.result()).isEqualTo(Result.TIMEOUT);
        assertThat(outcome.tookMs()).isGreaterThanOrEqualTo(200 + HALT_MS - 1);
    }

    @Test
    void aStatusLineDeliversACallEvenIfTheBodyNeverArrives() throws Exception {
        endpoint(r -> {
            r.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc".getBytes(StandardCharsets.US_ASCII));
            r.reset();
        });
        assertThat(resultOf(LONG_MS)).isEqualTo(Result.OK);
    }

    private Outcome outcomeOfBrokenResponse(String response) throws Exception {
        LinkedBlockingQueue<Integer> read = new LinkedBlockingQueue<>();
        endpoint(r -> {
            r.write(response.replace("\\n", "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            try {
                read.add(r.socket().getInputStream().read());
            } catch (IOException e) {
                read.add(-1); // closed with bytes unread
            }
        });
        call(item(1, LONG_MS, 1e9));
        Outcome outcome = next();
        assertThat(read.poll(10, TimeUnit.SECONDS))
                .as("the end of the connection")
                .isEqualTo(-1);
        assertThat(outcome.tookMs()).isLessThan(LONG_MS / 4);
        return outcome;
    }

    /** The endpoint leaves the connection open and silent: only the bytes received show that no more will follow. */
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
    void aBrokenResponseWithStatus200DeliversAndItsConnectionIsClosed(String response) throws Exception {
        Outcome outcome = outcomeOfBrokenResponse(response);
        assertThat(outcome.result()).isEqualTo(Result.OK);
        assertThat(outcome.messageEnded()).isTrue();
    }

    /** Even with a 503 the call may have run: sending an unsafe message again would run it twice. */
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
    void aCallWithAnyOtherBrokenResponseMayHaveRun(String response) throws Exception {
        Outcome outcome = outcomeOfBrokenResponse(response);
        assertThat(outcome.result()).isEqualTo(Result.RESET);
        assertThat(outcome.messageEnded()).isFalse();
    }

    @Test
    void aRetryAfterAppliesEvenIfTheRestOfTheResponseIsBroken() throws Exception {
        Outcome outcome = outcomeOfBrokenResponse("HTTP/1.1 429 x\\nRetry-After: 0.5\\nContent-Length: 9\\n\\nabc");
        assertThat(outcome.result()).isEqualTo(Result.RESET);
        assertThat(outcome.waitMs()).isEqualTo(500);
    }

    /** A response may be followed by a second copy: if that were taken for the next one, a message would be lost. */
    @Test
    void inputAfterAResponseIsNeverTakenForTheNextResponse() throws Exception {
        BlockingQueue<StandIn.Request> calls = new LinkedBlockingQueue<>();
        CountDownLatch first = new CountDownLatch(1);
        StandIn standIn = endpoint(r -> {
            calls.add(r);
            if (first.getCount() > 0) {
                r.answer(200);
                first.countDown();
                try {
                    Thread.sleep(2); // so that the copy is a packet of its own
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                r.answer(200);
            }
        });
        call(item(1, LONG_MS, 1e9));
        assertThat(next().result()).isEqualTo(Result.OK);
        call(item(2, 300, 1e9));
        assertThat(next().result()).isEqualTo(Result.TIMEOUT); // there was no response to it
        assertThat(standIn.acceptedCount()).isEqualTo(2);
    }

    @Test
    void aDeliveryMayHaveOtherInputBeforeAndAfterIt() throws Exception {
        StandIn standIn =
                endpoint(r -> r.write(("HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nServer-Load: {\"x0\":\r\n"
                                + "Content-Length: 0\r\n\r\nHTTP/1.1 500 x\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII)));
        for (int i = 0; i < 2; i++) {
            assertThat(resultOf(LONG_MS)).isEqualTo(Result.OK);
        }
        assertThat(standIn.acceptedCount()).isEqualTo(2);
    }

    @Test
    void allMessagesOfABundleWithATruncatedResponseMayHaveRun() throws Exception {
        endpoint(r -> r.answer(200, "r1 ok\r\nr2 la".getBytes(StandardCharsets.US_ASCII)));
        call(item(1, LONG_MS, 1e9), item(2, LONG_MS, 1e9));
        assertThat(next().result()).isEqualTo(Result.RESET);
        assertThat(next().result()).isEqualTo(Result.RESET);
    }

    /** Its address may belong to another endpoint by now. */
    @Test
    void connectionsToARemovedEndpointAreClosed() throws Exception {
        StandIn standIn = endpoint(r -> r.answer(200));
        assertThat(resultOf(LONG_MS)).isEqualTo(Result.OK);
        loop.post(() -> endpoints.removeEndpoints(List.of("e")));
        Await.until("its connection closed", () -> standIn.openCount() == 0);
        assertThat(resultOf(LONG_MS)).isEqualTo(Result.CONNECT_FAILED);
        assertThat(standIn.acceptedCount()).isEqualTo(1);
    }

    @Test
    void eachMessageOfABundleHasItsOwnOutcome() throws Exception {
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
        assertThat(gone.messageEnded()).isTrue();
        StandIn.Request r = calls.take();
        assertThat(r.target()).isEqualTo("/receive-many");
        assertThat(r.body())
                .asString(StandardCharsets.US_ASCII)
                .isEqualTo("r1 k1 5\r\nbody1\r\nr2 k2 5\r\nbody2\r\nr3 k3 5\r\nbody3\r\n");
    }

    /** A timeout reported for some messages while the call is in progress would cause a second, concurrent send. */
    @Test
    void allMessagesOfACallEndTogether() throws Exception {
        endpoint(r -> r.socket().getInputStream().read());
        loop.post(() -> endpoints.call("e", List.of(item(1, 100, 1e9), item(2, 100, 1e9), item(3, 700, 1e9))));
        for (long id = 1; id <= 3; id++) {
            Outcome outcome = next();
            assertThat(outcome.id()).isEqualTo(id);
            assertThat(outcome.result()).isEqualTo(Result.TIMEOUT);
            assertThat(outcome.tookMs()).as("the longest timeout").isGreaterThanOrEqualTo(650);
        }
    }

    @Test
    void aCancelledCallClosesItsConnection() throws Exception {
        LinkedBlockingQueue<Integer> read = new LinkedBlockingQueue<>();
        LinkedBlockingQueue<Boolean> received = new LinkedBlockingQueue<>();
        endpoint(r -> {
            received.add(true);
            read.add(r.socket().getInputStream().read());
        });
        call(item(1, LONG_MS, 1e9));
        received.take();
        loop.post(() -> endpoints.cancel(1, 0));
        assertThat(next().result()).isEqualTo(Result.CANCELLED);
        assertThat(read.poll(10, TimeUnit.SECONDS)).isEqualTo(-1);
    }
}
