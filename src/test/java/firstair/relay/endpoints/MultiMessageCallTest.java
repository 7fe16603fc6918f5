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

/** A call has one timeout for all its messages, and whatever arrives after it has been halted does not count. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class MultiMessageCallTest {
    private static final double LONG_MS = 20_000;
    private static final double TIMEOUT_MS = 300;
    private static final double HALT_MS = 5_000;
    private static final double REST_MS = 50;

    private final BlockingQueue<Outcome> outcomes = new LinkedBlockingQueue<>();
    private final BlockingQueue<StandIn.Request> calls = new LinkedBlockingQueue<>();
    private final List<AutoCloseable> open = new ArrayList<>();
    private final Map<Long, Double> timeoutsMs = new ConcurrentHashMap<>();
    private Loop loop;
    private NetworkTransport wire;
    private DelayedDialer gate;
    private volatile Endpoints endpoints;

    @BeforeEach
    void start() throws IOException {
        Limits limits = ShortTimes.forCalls(HALT_MS, 5_000, 10_000, 50);
        wire = new NetworkTransport(limits);
        gate = new DelayedDialer(wire);
        loop = LoopThread.start(() -> {
            if (endpoints != null) {
                endpoints.recheckConnected((id, attempt) -> timeoutsMs.getOrDefault(id, LONG_MS));
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
        StandIn standIn = new StandIn(r -> {
            calls.add(r);
            handler.handle(r);
        });
        open.add(standIn);
        loop.post(() -> endpoints.updateAddresses(Map.of("e", standIn.address())));
        return standIn;
    }

    /** With {@code reuse}, prepares an idle connection that the next call will use. */
    private void prepareIdleConnection(boolean reuse) throws Exception {
        if (!reuse) {
            return;
        }
        call(new TestMessage(99, LONG_MS, LONG_MS));
        assertThat(next().result()).isEqualTo(Result.OK);
        next(calls);
        double answered = loop.now();
        Await.until("the rest time is over", () -> loop.now() - answered > REST_MS);
    }

    /** A message with the timeout given to its call and the time left to its deadline, in milliseconds. */
    private record TestMessage(long id, double timeoutMs, double leftMs) {}

    private void call(TestMessage... all) {
        loop.post(() -> {
            List<Item> items = new ArrayList<>();
            for (TestMessage message : all) {
                String key = message.id() % 2 == 0 ? "k" + message.id() : null;
                items.add(new Item(
                        message.id(),
                        0,
                        "r" + message.id(),
                        key,
                        "body".getBytes(StandardCharsets.US_ASCII),
                        message.timeoutMs(),
                        loop.now() + message.leftMs(),
                        false));
            }
            endpoints.call("e", items);
        });
    }

    private static <T> T next(BlockingQueue<T> queue) throws InterruptedException {
        T element = queue.poll(10, TimeUnit.SECONDS);
        assertThat(element).isNotNull();
        return element;
    }

    private Outcome next() throws InterruptedException {
        return next(outcomes);
    }

    private void assertNoFurtherOutcome() throws InterruptedException {
        for (int i = 0; i < 3; i++) {
            BlockingQueue<Boolean> done = new LinkedBlockingQueue<>();
            loop.post(() -> done.add(true));
            next(done);
        }
        assertThat(outcomes).as("a second outcome").isEmpty();
        assertThat(endpoints.callsInProgress()).isZero();
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

    /** Waits until the relay has halted the call by closing its sending side. */
    private static void awaitHalt(StandIn.Request r) throws IOException {
        assertThat(r.socket().getInputStream().read()).isNegative();
    }

    // ---- one timeout for all messages ----

    /**
     * The complete response arrives after the timeout of the call, which follows from the shortest message, so it
     * counts for no message. All outcomes are reported in the same round, at the timeout.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aResponseAfterTheTimeoutCountsForNoMessage(boolean reuse) throws Exception {
        endpoint(r -> {
            if (r.target().equals("/receive")) {
                r.answer(200);
                return;
            }
            awaitHalt(r);
            r.answer(200, ok(3));
        });
        prepareIdleConnection(reuse);
        double from = loop.now();
        call(
                new TestMessage(1, TIMEOUT_MS, TIMEOUT_MS),
                new TestMessage(2, TIMEOUT_MS, LONG_MS),
                new TestMessage(3, TIMEOUT_MS, LONG_MS));
        List<Outcome> results = List.of(next(), next(), next());
        assertThat(results).extracting(Outcome::id).containsExactly(1L, 2L, 3L);
        assertThat(results).allMatch(outcome -> outcome.result() == Result.TIMEOUT && !outcome.messageEnded());
        assertThat(loop.now() - from).isGreaterThanOrEqualTo(TIMEOUT_MS - 1);
        assertThat(results.get(2).tookMs() - results.get(0).tookMs())
                .as("between the first and the last outcome")
                .isLessThan(50);
        assertNoFurtherOutcome();
    }

    /** The deadline of a message limits its call, even if a fault elsewhere gave the call a longer timeout. */
    @Test
    void noCallOutlivesTheDeadlineOfAMessage() throws Exception {
        endpoint(r -> {
            awaitHalt(r);
            r.answer(200, ok(2));
        });
        double from = loop.now();
        call(new TestMessage(1, LONG_MS, TIMEOUT_MS), new TestMessage(2, LONG_MS, LONG_MS));
        assertThat(next().result()).isEqualTo(Result.TIMEOUT);
        assertThat(next().result()).isEqualTo(Result.TIMEOUT);
        assertThat(loop.now() - from).isLessThan(HALT_MS);
        assertThat(Double.parseDouble(next(calls).header("request-timeout-ms"))).isLessThanOrEqualTo(TIMEOUT_MS);
        assertNoFurtherOutcome();
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void theRequestHeaderHasTheTimeoutOfTheCall(boolean reuse) throws Exception {
        endpoint(r -> r.answer(200, r.target().equals("/receive") ? new byte[0] : ok(3)));
        prepareIdleConnection(reuse);
        call(new TestMessage(1, 700, 900), new TestMessage(2, 750, LONG_MS), new TestMessage(3, 800, LONG_MS));
        assertThat(next().result()).isEqualTo(Result.OK);
        assertThat(Double.parseDouble(next(calls).header("request-timeout-ms")))
                .as("timeout of the last message")
                .isBetween(780.0, 800.0);
    }

    /** Decided again when the connection opens: the shortest timeout of the messages that may be sent. */
    @Test
    void aLateConnectionUsesTheTimeoutDecidedWhenItOpens() throws Exception {
        endpoint(r -> r.answer(200, ok(2)));
        gate.delayReports();
        call(
                new TestMessage(1, LONG_MS, LONG_MS),
                new TestMessage(2, LONG_MS, LONG_MS),
                new TestMessage(3, LONG_MS, LONG_MS));
        gate.awaitConnection();
        timeoutsMs.putAll(Map.of(1L, 900.0, 2L, 850.0, 3L, 0.0));
        gate.reportNext();
        Outcome withheld = next();
        assertThat(withheld.id() + " " + withheld.result()).isEqualTo("3 WITHHELD");
        assertThat(next().result()).isEqualTo(Result.OK);
        assertThat(next().result()).isEqualTo(Result.OK);
        assertThat(next(calls).header("request-timeout-ms")).isEqualTo("850");
        assertNoFurtherOutcome();
    }

    /** One message is cancelled during the call: the response still counts for the others. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aCancelledMessageDoesNotAffectTheOthers(boolean reuse) throws Exception {
        BlockingQueue<Boolean> cancelled = new LinkedBlockingQueue<>();
        endpoint(r -> {
            if (r.target().equals("/receive-many")) {
                Await.until("cancelled", () -> !cancelled.isEmpty());
            }
            r.answer(200, r.target().equals("/receive") ? new byte[0] : ok(3));
        });
        prepareIdleConnection(reuse);
        call(
                new TestMessage(1, LONG_MS, LONG_MS),
                new TestMessage(2, LONG_MS, LONG_MS),
                new TestMessage(3, LONG_MS, LONG_MS));
        next(calls);
        loop.post(() -> endpoints.cancel(2, 0));
        Outcome cancelledOutcome = next();
        assertThat(cancelledOutcome.id() + " " + cancelledOutcome.result()).isEqualTo("2 CANCELLED");
        cancelled.add(true);
        List<Outcome> results = List.of(next(), next());
        assertThat(results).extracting(Outcome::id).containsExactly(1L, 3L);
        assertThat(results).allMatch(outcome -> outcome.result() == Result.OK && outcome.messageEnded());
        assertNoFurtherOutcome();
    }

    // ---- after the halt ----

    /** With and without keys, for one or more messages, on new and idle connections: the messages may have run. */
    @ParameterizedTest
    @CsvSource({"false,1", "true,1", "false,2", "true,2", "false,3", "true,3"})
    void aResponseAfterTheHaltDoesNotCount(boolean reuse, int messages) throws Exception {
        boolean[] first = {reuse};
        endpoint(r -> {
            if (first[0]) {
                first[0] = false;
                r.answer(200);
                return;
            }
            awaitHalt(r);
            r.answer(200, ok(messages));
        });
        prepareIdleConnection(reuse);
        TestMessage[] all = new TestMessage[messages];
        for (int i = 0; i < messages; i++) {
            all[i] = new TestMessage(i + 1, TIMEOUT_MS, LONG_MS);
        }
        call(all);
        for (int i = 0; i < messages; i++) {
            Outcome outcome = next();
            assertThat(outcome.result()).isEqualTo(Result.TIMEOUT);
            assertThat(outcome.messageEnded()).isFalse();
        }
        assertNoFurtherOutcome();
    }

    /** Nor does a rejection, which otherwise proves that nothing ran: to the endpoint the call was over. */
    @Test
    void aRejectionAfterTheHaltProvesNothing() throws Exception {
        endpoint(r -> {
            awaitHalt(r);
            r.answer(429, "Retry-After: 0.5");
        });
        call(new TestMessage(1, TIMEOUT_MS, LONG_MS));
        Outcome outcome = next();
        assertThat(outcome.result()).isEqualTo(Result.TIMEOUT);
        assertThat(outcome.waitMs()).as("its Retry-After applies").isEqualTo(500);
        assertNoFurtherOutcome();
    }

    /**
     * One message is delivered by a complete status line with 200 before the halt, several only by a whole response.
     */
    @ParameterizedTest
    @CsvSource({"1,8,TIMEOUT", "1,16,OK", "1,40,OK", "2,16,TIMEOUT", "2,40,TIMEOUT"})
    void aResponseInPiecesBeforeAndAfterTheHalt(int messages, int before, Result result) throws Exception {
        byte[] body = messages == 1 ? new byte[4] : ok(messages);
        byte[] head = head(body.length);
        byte[] all = new byte[head.length + body.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        BlockingQueue<Boolean> written = new LinkedBlockingQueue<>();
        endpoint(r -> {
            byte[] piece = java.util.Arrays.copyOf(all, before);
            Await.until("shortly before the timeout", () -> !written.isEmpty());
            r.write(piece);
            awaitHalt(r);
            r.write(java.util.Arrays.copyOfRange(all, before, all.length));
        });
        double[] from = new double[1];
        TestMessage[] testMessages = new TestMessage[messages];
        for (int i = 0; i < messages; i++) {
            testMessages[i] = new TestMessage(i + 1, TIMEOUT_MS, LONG_MS);
        }
        call(testMessages);
        next(calls);
        from[0] = loop.now();
        // Late enough that the response timeout (200 ms) does not expire first, early enough for the piece to be read.
        Await.until("shortly before the timeout", () -> loop.now() - from[0] > TIMEOUT_MS - 150);
        written.add(true);
        for (int i = 0; i < messages; i++) {
            Outcome outcome = next();
            assertThat(outcome.result()).isEqualTo(result);
            assertThat(outcome.messageEnded()).isEqualTo(result == Result.OK);
        }
        assertNoFurtherOutcome();
    }
}
