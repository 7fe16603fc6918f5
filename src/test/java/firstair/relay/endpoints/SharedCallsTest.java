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
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** A call has one time for all its messages, and what comes behind our own end of it is no answer. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class SharedCallsTest {
    private static final double LONG_MS = 20_000;
    private static final double TIME_MS = 300;
    private static final double HALT_MS = 5_000;
    private static final double REST_MS = 50;

    private final BlockingQueue<Outcome> outcomes = new LinkedBlockingQueue<>();
    private final BlockingQueue<StandIn.Request> calls = new LinkedBlockingQueue<>();
    private final List<AutoCloseable> open = new ArrayList<>();
    private final Map<Long, Double> goesFor = new ConcurrentHashMap<>();
    private Loop loop;
    private Wire wire;
    private GateDialer gate;
    private volatile Endpoints endpoints;

    @BeforeEach
    void start() throws IOException {
        Limits limits = ShortTimes.ofCalls(HALT_MS, 5_000, 10_000, 50);
        wire = new Wire(limits);
        gate = new GateDialer(wire);
        loop = LoopThread.start(() -> {
            if (endpoints != null) {
                endpoints.ask((id, attempt) -> goesFor.getOrDefault(id, LONG_MS));
                endpoints.write(id -> true, () -> false);
            }
        });
        endpoints = new Endpoints(gate, limits, loop, outcomes::add);
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

    /** A connection that has answered and rested, so that the next call takes it; or none. */
    private void connection(boolean kept) throws Exception {
        if (!kept) {
            return;
        }
        call(new Asked(99, LONG_MS, LONG_MS));
        assertThat(next().result()).isEqualTo(Result.OK);
        next(calls);
        double answered = loop.now();
        Await.until("its rest over", () -> loop.now() - answered > REST_MS);
    }

    /** A message, what its call is told for it and its time left, in milliseconds. */
    private record Asked(long id, double timeoutMs, double leftMs) {}

    private void call(Asked... all) {
        loop.post(() -> {
            List<Item> items = new ArrayList<>();
            for (Asked a : all) {
                String key = a.id() % 2 == 0 ? "k" + a.id() : null;
                items.add(new Item(
                        a.id(),
                        0,
                        "r" + a.id(),
                        key,
                        "body".getBytes(StandardCharsets.US_ASCII),
                        a.timeoutMs(),
                        loop.now() + a.leftMs(),
                        false));
            }
            endpoints.call("e", items);
        });
    }

    private static <T> T next(BlockingQueue<T> queue) throws InterruptedException {
        T t = queue.poll(10, TimeUnit.SECONDS);
        assertThat(t).isNotNull();
        return t;
    }

    private Outcome next() throws InterruptedException {
        return next(outcomes);
    }

    private void nothingMore() throws InterruptedException {
        for (int i = 0; i < 3; i++) {
            BlockingQueue<Boolean> done = new LinkedBlockingQueue<>();
            loop.post(() -> done.add(true));
            next(done);
        }
        assertThat(outcomes).as("a second end").isEmpty();
        assertThat(endpoints.out()).isZero();
    }

    private static byte[] ok(int messages) {
        StringBuilder text = new StringBuilder();
        for (int i = 1; i <= messages; i++) {
            text.append("r").append(i).append(" ok\r\n");
        }
        return text.toString().getBytes(StandardCharsets.US_ASCII);
    }

    private static byte[] head(int length) {
        return ("HTTP/1.1 200 x\r\nContent-Length: " + length + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII);
    }

    /** Returns when the relay has ended its sending. */
    private static void awaitEnd(StandIn.Request r) throws IOException {
        assertThat(r.socket().getInputStream().read()).isNegative();
    }

    // ---- one time ----

    /**
     * The answer comes whole behind the time of the shortest of them: it was the call's time, so it is nobody's. Each
     * has its outcome in the same round, at that time.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void anAnswerBehindTheTimeOfTheShortestIsNobodys(boolean kept) throws Exception {
        endpoint(r -> {
            if (r.target().equals("/receive")) {
                r.answer(200);
                return;
            }
            awaitEnd(r);
            r.answer(200, ok(3));
        });
        connection(kept);
        double from = loop.now();
        call(new Asked(1, TIME_MS, TIME_MS), new Asked(2, TIME_MS, LONG_MS), new Asked(3, TIME_MS, LONG_MS));
        List<Outcome> ends = List.of(next(), next(), next());
        assertThat(ends).extracting(Outcome::id).containsExactly(1L, 2L, 3L);
        assertThat(ends).allMatch(o -> o.result() == Result.TIMEOUT && !o.over());
        assertThat(loop.now() - from).isGreaterThanOrEqualTo(TIME_MS - 1);
        assertThat(ends.get(2).tookMs() - ends.get(0).tookMs())
                .as("between first and last end")
                .isLessThan(50);
        nothingMore();
    }

    /** A message with less time than its call was told of, by a fault above: the call is bounded by it all the same. */
    @Test
    void noCallOutlivesAMessageOfIt() throws Exception {
        endpoint(r -> {
            awaitEnd(r);
            r.answer(200, ok(2));
        });
        double from = loop.now();
        call(new Asked(1, LONG_MS, TIME_MS), new Asked(2, LONG_MS, LONG_MS));
        assertThat(next().result()).isEqualTo(Result.TIMEOUT);
        assertThat(next().result()).isEqualTo(Result.TIMEOUT);
        assertThat(loop.now() - from).isLessThan(HALT_MS);
        assertThat(Double.parseDouble(next(calls).header("request-timeout-ms"))).isLessThanOrEqualTo(TIME_MS);
        nothingMore();
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void theHeadTellsTheTimeOfTheCall(boolean kept) throws Exception {
        endpoint(r -> r.answer(200, r.target().equals("/receive") ? new byte[0] : ok(3)));
        connection(kept);
        call(new Asked(1, 700, 900), new Asked(2, 750, LONG_MS), new Asked(3, 800, LONG_MS));
        assertThat(next().result()).isEqualTo(Result.OK);
        assertThat(Double.parseDouble(next(calls).header("request-timeout-ms")))
                .as("what the last one joined")
                .isBetween(780.0, 800.0);
    }

    /** Decided once more when the connection is there: the least of what is told for those that go. */
    @Test
    void aLateConnectionBringsTheTimeThatIsToldThen() throws Exception {
        endpoint(r -> r.answer(200, ok(2)));
        gate.shut();
        call(new Asked(1, LONG_MS, LONG_MS), new Asked(2, LONG_MS, LONG_MS), new Asked(3, LONG_MS, LONG_MS));
        gate.awaitOne();
        goesFor.putAll(Map.of(1L, 900.0, 2L, 850.0, 3L, 0.0));
        gate.pass();
        Outcome withheld = next();
        assertThat(withheld.id() + " " + withheld.result()).isEqualTo("3 WITHHELD");
        assertThat(next().result()).isEqualTo(Result.OK);
        assertThat(next().result()).isEqualTo(Result.OK);
        assertThat(next(calls).header("request-timeout-ms")).isEqualTo("850");
        nothingMore();
    }

    /** Withdrawn while the call is out: its answer is that of the others, within the call's time. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void oneThatIsWithdrawnMeanwhileLeavesTheAnswerToTheOthers(boolean kept) throws Exception {
        BlockingQueue<Boolean> cancelled = new LinkedBlockingQueue<>();
        endpoint(r -> {
            if (r.target().equals("/receive-many")) {
                Await.until("cancelled", () -> !cancelled.isEmpty());
            }
            r.answer(200, r.target().equals("/receive") ? new byte[0] : ok(3));
        });
        connection(kept);
        call(new Asked(1, LONG_MS, LONG_MS), new Asked(2, LONG_MS, LONG_MS), new Asked(3, LONG_MS, LONG_MS));
        next(calls);
        loop.post(() -> endpoints.cancel(2, 0));
        Outcome gone = next();
        assertThat(gone.id() + " " + gone.result()).isEqualTo("2 CANCELLED");
        cancelled.add(true);
        List<Outcome> ends = List.of(next(), next());
        assertThat(ends).extracting(Outcome::id).containsExactly(1L, 3L);
        assertThat(ends).allMatch(o -> o.result() == Result.OK && o.over());
        nothingMore();
    }

    // ---- behind our own end ----

    /** Keyed or not, alone or together, on a fresh and on a kept connection: it was given up, and may have run. */
    @ParameterizedTest
    @CsvSource({"false,1", "true,1", "false,2", "true,2", "false,3", "true,3"})
    void anAnswerBehindOurEndOfTheCallIsNone(boolean kept, int messages) throws Exception {
        boolean[] first = {kept};
        endpoint(r -> {
            if (first[0]) {
                first[0] = false;
                r.answer(200);
                return;
            }
            awaitEnd(r);
            r.answer(200, ok(messages));
        });
        connection(kept);
        Asked[] all = new Asked[messages];
        for (int i = 0; i < messages; i++) {
            all[i] = new Asked(i + 1, TIME_MS, LONG_MS);
        }
        call(all);
        for (int i = 0; i < messages; i++) {
            Outcome o = next();
            assertThat(o.result()).isEqualTo(Result.TIMEOUT);
            assertThat(o.over()).isFalse();
        }
        nothingMore();
    }

    /** So is one that proves by itself that nothing ran: to the endpoint its call was over. */
    @Test
    void aRefusalBehindOurEndOfTheCallProvesNothing() throws Exception {
        endpoint(r -> {
            awaitEnd(r);
            r.answer(429, "Retry-After: 0.5");
        });
        call(new Asked(1, TIME_MS, LONG_MS));
        Outcome o = next();
        assertThat(o.result()).isEqualTo(Result.TIMEOUT);
        assertThat(o.waitMs()).as("its wait binds").isEqualTo(500);
        nothingMore();
    }

    /** In pieces across our end: a whole first line with 200 delivers one, several only a whole answer. */
    @ParameterizedTest
    @CsvSource({"1,8,TIMEOUT", "1,16,OK", "1,40,OK", "2,16,TIMEOUT", "2,40,TIMEOUT"})
    void anAnswerInPiecesAcrossOurEnd(int messages, int before, Result result) throws Exception {
        byte[] body = messages == 1 ? new byte[4] : ok(messages);
        byte[] head = head(body.length);
        byte[] all = new byte[head.length + body.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        BlockingQueue<Boolean> written = new LinkedBlockingQueue<>();
        endpoint(r -> {
            byte[] piece = java.util.Arrays.copyOf(all, before);
            Await.until("near its end", () -> !written.isEmpty());
            r.write(piece);
            awaitEnd(r);
            r.write(java.util.Arrays.copyOfRange(all, before, all.length));
        });
        double[] from = new double[1];
        Asked[] asked = new Asked[messages];
        for (int i = 0; i < messages; i++) {
            asked[i] = new Asked(i + 1, TIME_MS, LONG_MS);
        }
        call(asked);
        next(calls);
        from[0] = loop.now();
        // So late that what has begun is not taken for one that never ends (200 ms), and in time to be read.
        Await.until("most of its time over", () -> loop.now() - from[0] > TIME_MS - 150);
        written.add(true);
        for (int i = 0; i < messages; i++) {
            Outcome o = next();
            assertThat(o.result()).isEqualTo(result);
            assertThat(o.over()).isEqualTo(result == Result.OK);
        }
        nothingMore();
    }
}
