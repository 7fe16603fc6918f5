package firstair.relay.endpoints;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.control.Controller.Outcome;
import firstair.control.Controller.Result;
import firstair.kit.standin.StandIn;
import firstair.relay.Limits;
import firstair.relay.Loop;
import firstair.relay.net.NetworkTransport;
import firstair.relay.standin.Await;
import firstair.relay.standin.DelayedDialer;
import firstair.relay.standin.LoopThread;
import firstair.relay.standin.ShortTimes;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Calls whose connection opens late, and Retry-After headers in responses that may never be complete. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class DelayedConnectionTest {
    private static final double LONG_MS = 20_000;
    private static final double CONNECT_MS = 2_000;

    private record Wait(double at, double ms, double reportedAt, int outcomesBefore) {}

    private final BlockingQueue<Outcome> outcomes = new LinkedBlockingQueue<>();
    private final BlockingQueue<Wait> waits = new LinkedBlockingQueue<>();
    private final BlockingQueue<StandIn.Request> calls = new LinkedBlockingQueue<>();
    private final BlockingQueue<Long> unwritten = new LinkedBlockingQueue<>();
    private final List<AutoCloseable> open = new ArrayList<>();
    private final Set<Long> withheld = ConcurrentHashMap.newKeySet();
    private final Set<Long> unrecorded = ConcurrentHashMap.newKeySet();
    private final Set<Long> recorded = ConcurrentHashMap.newKeySet();
    private Loop loop;
    private NetworkTransport wire;
    private DelayedDialer gate;
    private volatile Endpoints endpoints;

    @BeforeEach
    void start() throws IOException {
        Limits limits = ShortTimes.forCalls(50, CONNECT_MS, 10_000, 50);
        wire = new NetworkTransport(limits);
        gate = new DelayedDialer(wire);
        loop = LoopThread.start(() -> {
            if (endpoints != null) {
                endpoints.recheckConnected((id, attempt) -> withheld.contains(id) ? 0 : LONG_MS);
                endpoints.forEachReady((e, i) -> recorded.add(i.id()));
                endpoints.write(id -> !unrecorded.contains(id), () -> false);
            }
        });
        endpoints = new Endpoints(gate, limits, loop, new Endpoints.Listener() {
            @Override
            public void ended(Outcome outcome) {
                outcomes.add(outcome);
            }

            @Override
            public void onRetryAfter(double at, String endpoint, long id, int attempt, double waitMs) {
                waits.add(new Wait(at, waitMs, loop.now(), outcomes.size()));
            }

            @Override
            public void onNotWritten(long id, int attempt) {
                unwritten.add(id);
            }
        });
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
        StandIn standIn = new StandIn(r -> {
            calls.add(r);
            handler.handle(r);
        });
        open.add(standIn);
        loop.post(() -> endpoints.updateAddresses(Map.of("e", standIn.address())));
        return standIn;
    }

    private static Item item(long id, double timeoutMs, double deadlineAt) {
        byte[] body = "body".getBytes(StandardCharsets.US_ASCII);
        return new Item(id, 0, "r" + id, null, body, timeoutMs, deadlineAt, false);
    }

    private void call(long... ids) {
        List<Item> items = new ArrayList<>();
        for (long id : ids) {
            items.add(item(id, LONG_MS, 1e9));
        }
        call(items);
    }

    private void call(List<Item> items) {
        loop.post(() -> endpoints.call("e", items));
    }

    private static <T> T next(BlockingQueue<T> queue) throws InterruptedException {
        T element = queue.poll(10, TimeUnit.SECONDS);
        assertThat(element).isNotNull();
        return element;
    }

    private Outcome next() throws InterruptedException {
        return next(outcomes);
    }

    /** Waits until the loop has run everything posted to it. */
    private void awaitLoop() throws InterruptedException {
        for (int i = 0; i < 3; i++) {
            BlockingQueue<Boolean> done = new LinkedBlockingQueue<>();
            loop.post(() -> done.add(true));
            next(done);
        }
    }

    // ---- connections that open late ----

    @Test
    void aCallThatMustNotBeSentAnyMoreIsNotWrittenAndItsConnectionIsKept() throws Exception {
        StandIn standIn = endpoint(r -> r.answer(200));
        gate.delayReports();
        call(1);
        gate.awaitConnection();
        assertThat(recorded).as("recorded while connecting").isEmpty();
        withheld.add(1L);
        gate.reportNext();
        assertThat(next().result()).isEqualTo(Result.WITHHELD);
        call(2);
        assertThat(next().result()).isEqualTo(Result.OK);
        assertThat(calls.stream().map(r -> r.header("request-id"))).containsExactly("r2");
        assertThat(standIn.acceptedCount()).as("connections").isEqualTo(1);
        assertThat(recorded).containsExactly(2L);
    }

    @Test
    void onlyMessagesThatMayBeSentAreWritten() throws Exception {
        endpoint(r -> r.answer(200, "r1 ok\r\nr3 ok\r\n".getBytes(StandardCharsets.US_ASCII)));
        gate.delayReports();
        call(1, 2, 3);
        gate.awaitConnection();
        withheld.add(2L);
        gate.reportNext();
        Outcome held = next();
        assertThat(held.id() + " " + held.result()).isEqualTo("2 WITHHELD");
        assertThat(next().result()).isEqualTo(Result.OK);
        assertThat(next().result()).isEqualTo(Result.OK);
        assertThat(next(calls).body())
                .asString(StandardCharsets.US_ASCII)
                .isEqualTo("r1 - 4\r\nbody\r\nr3 - 4\r\nbody\r\n");
    }

    @Test
    void aSingleRemainingMessageIsSentWithoutABundle() throws Exception {
        endpoint(r -> r.answer(200));
        gate.delayReports();
        call(1, 2);
        gate.awaitConnection();
        withheld.add(1L);
        gate.reportNext();
        assertThat(next().result()).isEqualTo(Result.WITHHELD);
        assertThat(next().result()).isEqualTo(Result.OK);
        StandIn.Request r = next(calls);
        assertThat(r.target() + " " + r.header("request-id")).isEqualTo("/receive r2");
    }

    /**
     * The message reaches its deadline while its call is still connecting, so it has ended when the connection opens.
     */
    @Test
    void aMessagePastItsDeadlineIsNotSentWithItsBundle() throws Exception {
        endpoint(r -> r.answer(200));
        gate.delayReports();
        loop.post(() -> endpoints.call("e", List.of(item(1, 100, loop.now() + 100), item(2, LONG_MS, 1e9))));
        gate.awaitConnection();
        Outcome outcome = next();
        assertThat(outcome.id()).isEqualTo(1);
        assertThat(outcome.result()).as("nothing of it was written").isEqualTo(Result.CONNECT_FAILED);
        gate.reportNext();
        assertThat(next().result()).isEqualTo(Result.OK);
        StandIn.Request r = next(calls);
        assertThat(r.target() + " " + r.header("request-id")).isEqualTo("/receive r2");
    }

    @Test
    void aConnectionThatOpensAfterItsCallTimedOutIsClosedUnused() throws Exception {
        StandIn standIn = endpoint(r -> r.answer(200));
        gate.delayReports();
        call(List.of(item(1, 100, 1e9)));
        gate.awaitConnection();
        assertThat(next().result()).isEqualTo(Result.CONNECT_FAILED);
        gate.reportNext();
        Await.until("connection closed", () -> standIn.acceptedCount() == 1 && standIn.openCount() == 0);
        awaitLoop();
        assertThat(calls).isEmpty();
        assertThat(outcomes).isEmpty();
    }

    /** The time taken to connect does not count towards the response timeout. */
    @Test
    void theTimeoutStartsAtTheWrite() throws Exception {
        endpoint(r -> {
            long from = System.nanoTime();
            Await.until("a while", () -> System.nanoTime() - from > 350_000_000L);
            r.answer(200);
        });
        gate.delayReports();
        double from = loop.now();
        call(List.of(item(1, 500, 1e9)));
        gate.awaitConnection();
        Await.until("late", () -> loop.now() - from > 300);
        gate.reportNext();
        assertThat(next().result()).isEqualTo(Result.OK);
    }

    @Test
    void aCallOnARestingConnectionIsCheckedAgain() throws Exception {
        StandIn standIn = endpoint(r -> r.answer(200));
        call(1);
        assertThat(next().result()).isEqualTo(Result.OK);
        withheld.add(2L);
        call(2); // on the same connection, once it has rested
        assertThat(next().result()).isEqualTo(Result.WITHHELD);
        call(3);
        assertThat(next().result()).isEqualTo(Result.OK);
        assertThat(calls.stream().map(r -> r.header("request-id"))).containsExactly("r1", "r3");
        assertThat(standIn.acceptedCount()).isEqualTo(1);
    }

    @Test
    void withheldCallsAreNotWritten() throws Exception {
        StandIn standIn = endpoint(r -> r.answer(200));
        gate.delayReports();
        call(1);
        gate.awaitConnection();
        loop.post(endpoints::withhold);
        assertThat(next().result()).isEqualTo(Result.WITHHELD);
        gate.reportNext();
        awaitLoop();
        assertThat(calls).isEmpty();
        Await.until(
                "connection kept or closed, and no call in progress",
                () -> endpoints.callsInProgress() == 0 && standIn.acceptedCount() == 1);
    }

    /** The old address may belong to another endpoint by now, which must not get the message. */
    @Test
    void nothingIsWrittenIfTheEndpointHasMovedMeanwhile() throws Exception {
        StandIn before = endpoint(r -> r.answer(200));
        gate.delayReports();
        call(1);
        gate.awaitConnection();
        endpoint(r -> r.answer(200));
        awaitLoop();
        gate.reportNext();
        assertThat(next().result()).isEqualTo(Result.CONNECT_FAILED);
        Await.until("its connection closed", () -> before.openCount() == 0);
        assertThat(calls).isEmpty();
    }

    @Test
    void aMessageThatCannotBeRecordedIsNotWritten() throws Exception {
        endpoint(r -> r.answer(200));
        unrecorded.add(1L);
        call(1, 2);
        Outcome outcome = next();
        assertThat(outcome.id() + " " + outcome.result()).isEqualTo("1 NOT_SENT");
        assertThat(next().result()).isEqualTo(Result.OK);
        assertThat(next(calls).header("request-id")).isEqualTo("r2");
    }

    // ---- input before the request ----

    /** Starts a call to a server that sends a text as soon as the connection is open. */
    private void serverSendsFirst(String text, boolean closes) throws Exception {
        ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        open.add(server);
        loop.post(() ->
                endpoints.updateAddresses(Map.of("e", (java.net.InetSocketAddress) server.getLocalSocketAddress())));
        gate.delayReports();
        call(1);
        Socket standIn = server.accept();
        open.add(standIn);
        gate.awaitConnection();
        standIn.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        standIn.getOutputStream().flush();
        if (closes) {
            standIn.close();
        }
    }

    @Test
    void aRejectionBeforeTheRequestIsProcessed() throws Exception {
        serverSendsFirst("HTTP/1.1 503 x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", true);
        assertThat(next().result()).isEqualTo(Result.CROWDED);
        gate.reportNext();
        awaitLoop();
        assertThat(outcomes).isEmpty();
    }

    @Test
    void aResponseBeforeTheRequestDeliversNothing() throws Exception {
        serverSendsFirst("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false);
        Outcome outcome = next();
        assertThat(outcome.result()).isEqualTo(Result.CONNECT_FAILED);
        assertThat(outcome.messageEnded()).isFalse();
    }

    /** After part of a line the connection could still carry the request, but its response could not be separated. */
    @Test
    void aPartialResponseBeforeTheRequestDeliversNothing() throws Exception {
        serverSendsFirst("HTTP/1.1 200 O", false);
        Outcome outcome = next(); // at the latest when the response timeout expires
        assertThat(outcome.result()).isEqualTo(Result.CONNECT_FAILED);
        assertThat(outcome.messageEnded()).isFalse();
        gate.reportNext();
        awaitLoop();
        assertThat(outcomes).isEmpty();
    }

    @Test
    void aCallWhoseConnectionEndsBeforeTheRequestNeverRan() throws Exception {
        serverSendsFirst("", true);
        assertThat(next().result()).isEqualTo(Result.CONNECT_FAILED);
        gate.reportNext();
        awaitLoop();
        assertThat(outcomes).isEmpty();
    }

    // ---- Retry-After ----

    private Wait assertRetryAfterReported(String response) throws Exception {
        endpoint(r -> r.write(response.replace("\\n", "\r\n").getBytes(StandardCharsets.US_ASCII)));
        call(1);
        Wait wait = next(waits);
        assertThat(wait.ms()).isEqualTo(500);
        assertThat(wait.outcomesBefore()).as("reported before the outcome").isZero();
        assertThat(wait.at()).isLessThanOrEqualTo(wait.reportedAt());
        Outcome outcome = next();
        assertThat(outcome.waitMs()).isEqualTo(500);
        awaitLoop();
        assertThat(waits).as("reported once").isEmpty();
        return wait;
    }

    @Test
    void aRetryAfterIsReportedEvenIfTheBodyNeverArrives() throws Exception {
        assertRetryAfterReported("HTTP/1.1 503 x\\nRetry-After: 0.5\\nContent-Length: 9\\n\\nab");
    }

    @Test
    void aRetryAfterIsReportedEvenIfTheHeadNeverEnds() throws Exception {
        assertRetryAfterReported("HTTP/1.1 429 x\\nRetry-After: 0.5\\nServer-");
    }

    @Test
    void aRetryAfterIsReportedEvenIfTheBodyIsInvalid() throws Exception {
        assertRetryAfterReported("HTTP/1.1 429 x\\nRetry-After: 0.5\\nTransfer-Encoding: chunked\\n\\nnoise\\n");
    }

    @Test
    void aRetryAfterInACompleteResponseIsReportedOnce() throws Exception {
        assertRetryAfterReported("HTTP/1.1 429 x\\nRetry-After: 0.5\\nContent-Length: 0\\n\\n");
    }

    /** The value may have been 0.5 or 0.54321: only a complete line counts. */
    @Test
    void anIncompleteRetryAfterLineIsIgnored() throws Exception {
        endpoint(r -> {
            r.write("HTTP/1.1 503 x\r\nRetry-After: 0.5".getBytes(StandardCharsets.US_ASCII));
            r.reset();
        });
        call(1);
        assertThat(next().waitMs()).isZero();
        awaitLoop();
        assertThat(waits).isEmpty();
    }

    @Test
    void aRetryAfterOfACallCancelledAfterItsHeadIsReported() throws Exception {
        endpoint(r -> r.write("HTTP/1.1 503 x\r\nRetry-After: 0.5\r\n".getBytes(StandardCharsets.US_ASCII)));
        call(1);
        assertThat(next(waits).ms()).isEqualTo(500);
        loop.post(() -> endpoints.cancel(1, 0));
        assertThat(next().id()).isEqualTo(1);
        awaitLoop();
        assertThat(waits).isEmpty();
    }

    @Test
    void aRetryAfterForABundleIsReportedOnce() throws Exception {
        endpoint(r -> r.answer(200, "r1 ok\r\nr2 later\r\n".getBytes(StandardCharsets.US_ASCII), "Retry-After: 0.5"));
        call(1, 2);
        assertThat(next(waits).outcomesBefore()).isZero();
        next();
        next();
        awaitLoop();
        assertThat(waits).isEmpty();
    }

    // ---- an idle connection that turns out to be stale ----

    @Test
    void aCallRecordedForAStaleConnectionIsCheckedAgain() throws Exception {
        StandIn standIn = new StandIn(r -> {
            calls.add(r);
            r.answer(200);
        });
        open.add(standIn);
        StaleConnectionDialer staleDialer = new StaleConnectionDialer(wire);
        Limits limits = ShortTimes.forCalls(50, CONNECT_MS, 10_000, 50);
        Loop[] madeLoop = new Loop[1];
        Endpoints[] started = new Endpoints[1];
        madeLoop[0] = LoopThread.start(() -> {
            if (started[0] != null) {
                started[0].recheckConnected((id, attempt) -> withheld.contains(id) ? 0 : LONG_MS);
                started[0].write(id -> true, () -> false);
            }
        });
        open.add(madeLoop[0]::end);
        Endpoints local = new Endpoints(staleDialer, limits, madeLoop[0], new Endpoints.Listener() {
            @Override
            public void ended(Outcome outcome) {
                outcomes.add(outcome);
            }

            @Override
            public void onNotWritten(long id, int attempt) {
                unwritten.add(id);
                withheld.add(id);
            }
        });
        madeLoop[0].post(() -> {
            started[0] = local;
            local.updateAddresses(Map.of("e", standIn.address()));
            local.call("e", List.of(item(1, LONG_MS, 1e9)));
        });
        assertThat(next().result()).isEqualTo(Result.OK);
        double answered = loop.now();
        Await.until("the rest time is over", () -> loop.now() - answered > 50);
        staleDialer.stale = true;
        madeLoop[0].post(() -> local.call("e", List.of(item(2, LONG_MS, 1e9))));
        assertThat(next(unwritten)).isEqualTo(2);
        assertThat(next().result()).as("its attempt number is used up").isEqualTo(Result.NOT_SENT);
        assertThat(calls).hasSize(1);
    }
}
