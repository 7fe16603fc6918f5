package firstair.relay.endpoints;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.control.Controller.Outcome;
import firstair.control.Controller.Result;
import firstair.kit.standin.StandIn;
import firstair.relay.Limits;
import firstair.relay.Loop;
import firstair.relay.net.Wire;
import firstair.relay.standin.Await;
import firstair.relay.standin.GateDialer;
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

/** What may have changed while a call got its connection, and waits in answers that are never whole. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class LateCallsTest {
    private static final double LONG_MS = 20_000;
    private static final double CONNECT_MS = 2_000;

    private record Wait(double at, double ms, double heardAt, int outcomesBefore) {}

    private final BlockingQueue<Outcome> outcomes = new LinkedBlockingQueue<>();
    private final BlockingQueue<Wait> waits = new LinkedBlockingQueue<>();
    private final BlockingQueue<StandIn.Request> calls = new LinkedBlockingQueue<>();
    private final BlockingQueue<Long> unwritten = new LinkedBlockingQueue<>();
    private final List<AutoCloseable> open = new ArrayList<>();
    private final Set<Long> barred = ConcurrentHashMap.newKeySet();
    private final Set<Long> unnoted = ConcurrentHashMap.newKeySet();
    private final Set<Long> noted = ConcurrentHashMap.newKeySet();
    private Loop loop;
    private Wire wire;
    private GateDialer gate;
    private volatile Endpoints endpoints;

    @BeforeEach
    void start() throws IOException {
        Limits limits = ShortTimes.ofCalls(50, CONNECT_MS, 10_000, 50);
        wire = new Wire(limits);
        gate = new GateDialer(wire);
        loop = LoopThread.start(() -> {
            if (endpoints != null) {
                endpoints.ask((id, attempt) -> barred.contains(id) ? 0 : LONG_MS);
                endpoints.ready((e, i) -> noted.add(i.id()));
                endpoints.write(id -> !unnoted.contains(id), () -> false);
            }
        });
        endpoints = new Endpoints(gate, limits, loop, new Endpoints.Told() {
            @Override
            public void ended(Outcome o) {
                outcomes.add(o);
            }

            @Override
            public void waits(double at, String endpoint, long id, int attempt, double waitMs) {
                waits.add(new Wait(at, waitMs, loop.now(), outcomes.size()));
            }

            @Override
            public void unwritten(long id, int attempt) {
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
        StandIn s = new StandIn(r -> {
            calls.add(r);
            handler.handle(r);
        });
        open.add(s);
        loop.post(() -> endpoints.learn(Map.of("e", s.address())));
        return s;
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
        T t = queue.poll(10, TimeUnit.SECONDS);
        assertThat(t).isNotNull();
        return t;
    }

    private Outcome next() throws InterruptedException {
        return next(outcomes);
    }

    /** Waits until all that was posted to the loop has been done. */
    private void settle() throws InterruptedException {
        for (int i = 0; i < 3; i++) {
            BlockingQueue<Boolean> done = new LinkedBlockingQueue<>();
            loop.post(() -> done.add(true));
            next(done);
        }
    }

    // ---- connections that come up late ----

    @Test
    void aCallThatMayNotGoAnyMoreIsNotWrittenAndLeavesItsConnection() throws Exception {
        StandIn s = endpoint(r -> r.answer(200));
        gate.shut();
        call(1);
        gate.awaitOne();
        assertThat(noted).as("noted while it dials").isEmpty();
        barred.add(1L);
        gate.pass();
        assertThat(next().result()).isEqualTo(Result.WITHHELD);
        call(2);
        assertThat(next().result()).isEqualTo(Result.OK);
        assertThat(calls.stream().map(r -> r.header("request-id"))).containsExactly("r2");
        assertThat(s.accepted()).as("connections").isEqualTo(1);
        assertThat(noted).containsExactly(2L);
    }

    @Test
    void ofSeveralOnlyThoseThatMayGoAreWritten() throws Exception {
        endpoint(r -> r.answer(200, "r1 ok\r\nr3 ok\r\n".getBytes(StandardCharsets.US_ASCII)));
        gate.shut();
        call(1, 2, 3);
        gate.awaitOne();
        barred.add(2L);
        gate.pass();
        Outcome held = next();
        assertThat(held.id() + " " + held.result()).isEqualTo("2 WITHHELD");
        assertThat(next().result()).isEqualTo(Result.OK);
        assertThat(next().result()).isEqualTo(Result.OK);
        assertThat(next(calls).body())
                .asString(StandardCharsets.US_ASCII)
                .isEqualTo("r1 - 4\r\nbody\r\nr3 - 4\r\nbody\r\n");
    }

    @Test
    void whereOneOfSeveralIsLeftItGoesAlone() throws Exception {
        endpoint(r -> r.answer(200));
        gate.shut();
        call(1, 2);
        gate.awaitOne();
        barred.add(1L);
        gate.pass();
        assertThat(next().result()).isEqualTo(Result.WITHHELD);
        assertThat(next().result()).isEqualTo(Result.OK);
        StandIn.Request r = next(calls);
        assertThat(r.target() + " " + r.header("request-id")).isEqualTo("/receive r2");
    }

    /** Its time is up while the call that it shares still dials: it has its final answer when the connection comes. */
    @Test
    void ofSeveralOneWhoseTimeIsUpIsNotSentOnAfterItsEnd() throws Exception {
        endpoint(r -> r.answer(200));
        gate.shut();
        loop.post(() -> endpoints.call("e", List.of(item(1, 100, loop.now() + 100), item(2, LONG_MS, 1e9))));
        gate.awaitOne();
        Outcome o = next();
        assertThat(o.id()).isEqualTo(1);
        assertThat(o.result()).as("nothing of it was written").isEqualTo(Result.CONNECT_FAILED);
        gate.pass();
        assertThat(next().result()).isEqualTo(Result.OK);
        StandIn.Request r = next(calls);
        assertThat(r.target() + " " + r.header("request-id")).isEqualTo("/receive r2");
    }

    @Test
    void aConnectionThatComesUpAfterItsCallWasGivenUpIsClosedUnused() throws Exception {
        StandIn s = endpoint(r -> r.answer(200));
        gate.shut();
        call(List.of(item(1, 100, 1e9)));
        gate.awaitOne();
        assertThat(next().result()).isEqualTo(Result.CONNECT_FAILED);
        gate.pass();
        Await.until("it closed", () -> s.accepted() == 1 && s.open() == 0);
        settle();
        assertThat(calls).isEmpty();
        assertThat(outcomes).isEmpty();
    }

    /** What it took to get the connection is no part of an answer's time. */
    @Test
    void aTimeOutIsCountedFromTheWrite() throws Exception {
        endpoint(r -> {
            long from = System.nanoTime();
            Await.until("a while", () -> System.nanoTime() - from > 350_000_000L);
            r.answer(200);
        });
        gate.shut();
        double from = loop.now();
        call(List.of(item(1, 500, 1e9)));
        gate.awaitOne();
        Await.until("late", () -> loop.now() - from > 300);
        gate.pass();
        assertThat(next().result()).isEqualTo(Result.OK);
    }

    @Test
    void aConnectionThatRestsIsAskedFor() throws Exception {
        StandIn s = endpoint(r -> r.answer(200));
        call(1);
        assertThat(next().result()).isEqualTo(Result.OK);
        barred.add(2L);
        call(2); // on the connection that has just answered, once it has rested
        assertThat(next().result()).isEqualTo(Result.WITHHELD);
        call(3);
        assertThat(next().result()).isEqualTo(Result.OK);
        assertThat(calls.stream().map(r -> r.header("request-id"))).containsExactly("r1", "r3");
        assertThat(s.accepted()).isEqualTo(1);
    }

    @Test
    void whatIsHeldBackAtTheEndIsNotWritten() throws Exception {
        StandIn s = endpoint(r -> r.answer(200));
        gate.shut();
        call(1);
        gate.awaitOne();
        loop.post(endpoints::withhold);
        assertThat(next().result()).isEqualTo(Result.WITHHELD);
        gate.pass();
        settle();
        assertThat(calls).isEmpty();
        Await.until("kept or closed, and nothing out", () -> endpoints.out() == 0 && s.accepted() == 1);
    }

    /** It could be another one's place by now, where the message would be a stranger. */
    @Test
    void whereTheEndpointHasMovedMeanwhileNothingIsWritten() throws Exception {
        StandIn before = endpoint(r -> r.answer(200));
        gate.shut();
        call(1);
        gate.awaitOne();
        endpoint(r -> r.answer(200));
        settle();
        gate.pass();
        assertThat(next().result()).isEqualTo(Result.CONNECT_FAILED);
        Await.until("its connection closed", () -> before.open() == 0);
        assertThat(calls).isEmpty();
    }

    @Test
    void whatCannotBeNotedIsNotWritten() throws Exception {
        endpoint(r -> r.answer(200));
        unnoted.add(1L);
        call(1, 2);
        Outcome o = next();
        assertThat(o.id() + " " + o.result()).isEqualTo("1 NOT_SENT");
        assertThat(next().result()).isEqualTo(Result.OK);
        assertThat(next(calls).header("request-id")).isEqualTo("r2");
    }

    // ---- what comes before the request ----

    /** A peer that speaks as soon as it is connected to. */
    private void speaks(String text, boolean closes) throws Exception {
        ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        open.add(server);
        loop.post(() -> endpoints.learn(Map.of("e", (java.net.InetSocketAddress) server.getLocalSocketAddress())));
        gate.shut();
        call(1);
        Socket s = server.accept();
        open.add(s);
        gate.awaitOne();
        s.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        s.getOutputStream().flush();
        if (closes) {
            s.close();
        }
    }

    @Test
    void aDoorThatTurnsAwayBeforeTheRequestIsHeard() throws Exception {
        speaks("HTTP/1.1 503 x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", true);
        assertThat(next().result()).isEqualTo(Result.CROWDED);
        gate.pass();
        settle();
        assertThat(outcomes).isEmpty();
    }

    @Test
    void anAnswerToNoRequestDeliversNothing() throws Exception {
        speaks("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false);
        Outcome o = next();
        assertThat(o.result()).isEqualTo(Result.CONNECT_FAILED);
        assertThat(o.over()).isFalse();
    }

    /** Half a line, and then the connection would take the request: its answer could not be told from that. */
    @Test
    void halfAnAnswerBeforeTheRequestIsNone() throws Exception {
        speaks("HTTP/1.1 200 O", false);
        Outcome o = next(); // at the latest once it is not whole in time
        assertThat(o.result()).isEqualTo(Result.CONNECT_FAILED);
        assertThat(o.over()).isFalse();
        gate.pass();
        settle();
        assertThat(outcomes).isEmpty();
    }

    @Test
    void aConnectionThatEndsBeforeTheRequestNeverRan() throws Exception {
        speaks("", true);
        assertThat(next().result()).isEqualTo(Result.CONNECT_FAILED);
        gate.pass();
        settle();
        assertThat(outcomes).isEmpty();
    }

    // ---- waits ----

    private Wait wait(String answer) throws Exception {
        endpoint(r -> r.write(answer.replace("\\n", "\r\n").getBytes(StandardCharsets.US_ASCII)));
        call(1);
        Wait w = next(waits);
        assertThat(w.ms()).isEqualTo(500);
        assertThat(w.outcomesBefore()).as("told before the call's end").isZero();
        assertThat(w.at()).isLessThanOrEqualTo(w.heardAt());
        Outcome o = next();
        assertThat(o.waitMs()).isEqualTo(500);
        settle();
        assertThat(waits).as("told once").isEmpty();
        return w;
    }

    @Test
    void aWaitIsToldThoughTheBodyNeverComes() throws Exception {
        wait("HTTP/1.1 503 x\\nRetry-After: 0.5\\nContent-Length: 9\\n\\nab");
    }

    @Test
    void aWaitIsToldThoughTheHeadNeverEnds() throws Exception {
        wait("HTTP/1.1 429 x\\nRetry-After: 0.5\\nServer-");
    }

    @Test
    void aWaitIsToldThoughTheBodyIsNoise() throws Exception {
        wait("HTTP/1.1 429 x\\nRetry-After: 0.5\\nTransfer-Encoding: chunked\\n\\nnoise\\n");
    }

    @Test
    void aWaitOfAWholeAnswerIsToldOnce() throws Exception {
        wait("HTTP/1.1 429 x\\nRetry-After: 0.5\\nContent-Length: 0\\n\\n");
    }

    /** It may have said 0.5 or 0.54321: what is not a whole line says nothing. */
    @Test
    void halfALineTellsNoWait() throws Exception {
        endpoint(r -> {
            r.write("HTTP/1.1 503 x\r\nRetry-After: 0.5".getBytes(StandardCharsets.US_ASCII));
            r.reset();
        });
        call(1);
        assertThat(next().waitMs()).isZero();
        settle();
        assertThat(waits).isEmpty();
    }

    @Test
    void aWaitOfACallThatIsGivenUpBehindItsHeadIsTold() throws Exception {
        endpoint(r -> r.write("HTTP/1.1 503 x\r\nRetry-After: 0.5\r\n".getBytes(StandardCharsets.US_ASCII)));
        call(1);
        assertThat(next(waits).ms()).isEqualTo(500);
        loop.post(() -> endpoints.cancel(1, 0));
        assertThat(next().id()).isEqualTo(1);
        settle();
        assertThat(waits).isEmpty();
    }

    @Test
    void aWaitForSeveralIsToldOnce() throws Exception {
        endpoint(r -> r.answer(200, "r1 ok\r\nr2 later\r\n".getBytes(StandardCharsets.US_ASCII), "Retry-After: 0.5"));
        call(1, 2);
        assertThat(next(waits).outcomesBefore()).isZero();
        next();
        next();
        settle();
        assertThat(waits).isEmpty();
    }

    // ---- a kept connection that is found dead ----

    @Test
    void whatWasNotedForAConnectionThatIsDeadIsAskedAgain() throws Exception {
        StandIn s = new StandIn(r -> {
            calls.add(r);
            r.answer(200);
        });
        open.add(s);
        DyingDialer dying = new DyingDialer(wire);
        Limits limits = ShortTimes.ofCalls(50, CONNECT_MS, 10_000, 50);
        Loop[] made = new Loop[1];
        Endpoints[] e = new Endpoints[1];
        made[0] = LoopThread.start(() -> {
            if (e[0] != null) {
                e[0].ask((id, attempt) -> barred.contains(id) ? 0 : LONG_MS);
                e[0].write(id -> true, () -> false);
            }
        });
        open.add(made[0]::end);
        Endpoints late = new Endpoints(dying, limits, made[0], new Endpoints.Told() {
            @Override
            public void ended(Outcome o) {
                outcomes.add(o);
            }

            @Override
            public void unwritten(long id, int attempt) {
                unwritten.add(id);
                barred.add(id);
            }
        });
        made[0].post(() -> {
            e[0] = late;
            late.learn(Map.of("e", s.address()));
            late.call("e", List.of(item(1, LONG_MS, 1e9)));
        });
        assertThat(next().result()).isEqualTo(Result.OK);
        double answered = loop.now();
        Await.until("its rest over", () -> loop.now() - answered > 50);
        dying.dead = true;
        made[0].post(() -> late.call("e", List.of(item(2, LONG_MS, 1e9))));
        assertThat(next(unwritten)).isEqualTo(2);
        assertThat(next().result()).as("its number is taken").isEqualTo(Result.NOT_SENT);
        assertThat(calls).hasSize(1);
    }
}
