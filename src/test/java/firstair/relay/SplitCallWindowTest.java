package firstair.relay;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.kit.run.Node;
import firstair.kit.standin.StandIn;
import firstair.relay.standin.Await;
import firstair.relay.standin.StandInPlatform;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Messages of one turn that are too large to share a call are sent by calls of their own, each with its own times. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class SplitCallWindowTest {
    private static final int WINDOW_MS = 4000;
    private static final int SLACK_MS = 50; // of every time limit on sockets
    private static final int BODY_BYTES = 40_000;
    private static final int MESSAGES = 6; // in the turn
    private static final int KEPT_CONNECTIONS = 3;
    private static final long USUAL_MS = 250;
    private static final long RESET_AFTER_MS = 1300; // after the first call; a late connection is there before that
    private static final double OPENS_AFTER_MS = WINDOW_MS + 300;

    private static final double LONGEST_WAIT_MS = 2000; // a longer one would mean an outage

    @TempDir
    private Path folder;

    private final ScheduledExecutorService timers = Executors.newSingleThreadScheduledExecutor();
    private final Map<String, Double> resetCalls = new ConcurrentHashMap<>(); // when they came, by key
    private final List<String> lateRepeats = new CopyOnWriteArrayList<>();
    private final AtomicInteger usualAnswers = new AtomicInteger();
    private volatile boolean waitTold;
    private double firstCallAt = Double.NaN;

    private static double nowMs() {
        return System.nanoTime() / 1e6;
    }

    @AfterEach
    void stop() {
        timers.shutdownNow();
    }

    /** Tells a short wait, resets the calls of the turn after it, and is shut until the window of the first is over. */
    private synchronized void handle(StandIn.Request request) throws IOException {
        String key = request.header("idempotency-key");
        double now = nowMs();
        if (key.startsWith("usual")) {
            timers.schedule(() -> answer(request), USUAL_MS, TimeUnit.MILLISECONDS);
            return;
        }
        if (!waitTold) {
            waitTold = true;
            request.answer(429, "Retry-After: 0.5");
            return;
        }
        firstCallAt = Double.isNaN(firstCallAt) ? now : firstCallAt;
        if (resetCalls.containsKey(key) && now > resetCalls.get(key) + WINDOW_MS + SLACK_MS) {
            lateRepeats.add(key + " after " + Math.round(now - resetCalls.get(key)) + " ms");
        }
        double since = now - firstCallAt;
        if (since < RESET_AFTER_MS) {
            resetCalls.put(key, now);
            timers.schedule(() -> reset(request), (long) (RESET_AFTER_MS - since), TimeUnit.MILLISECONDS);
        } else if (since < OPENS_AFTER_MS) {
            request.answer(429, "Retry-After: " + Math.min(LONGEST_WAIT_MS, OPENS_AFTER_MS - since) / 1000);
        } else {
            request.answer(200);
        }
    }

    private void answer(StandIn.Request request) {
        try {
            request.answer(200);
            usualAnswers.incrementAndGet();
        } catch (IOException e) {
            // the relay has closed it
        }
    }

    private static void reset(StandIn.Request request) {
        try {
            request.reset();
        } catch (IOException e) {
            // the relay has closed it
        }
    }

    /** Guards against review case 9: one late connection let the other calls of its turn repeat too late. */
    @Test
    void aLateConnectionDoesNotMoveTheWindowOfTheOtherCallsOfItsTurn() throws Exception {
        try (StandIn endpoint = new StandIn(0, 1, this::handle);
                StandInPlatform platform = new StandInPlatform(
                        StandInPlatform.list(1, true, "s1 7 " + endpoint.hostPort() + " up many"))) {
            Node node = new Node(
                    folder,
                    platform.hostPort(),
                    StandInPlatform.list(1, true, "s1 7 " + endpoint.hostPort() + " up many"));
            node.editConfig(text -> text.replace("\"repeatWindow\":30000.0", "\"repeatWindow\":" + WINDOW_MS + ".0")
                    .replace("\"connectTimeout\":1000.0", "\"connectTimeout\":1500.0"));
            node.start();
            try {
                for (int i = 0; i < KEPT_CONNECTIONS; i++) { // the relay also learns how soon the endpoint answers
                    submit(node, "usual" + i);
                }
                Await.until("usual answers", () -> usualAnswers.get() == KEPT_CONNECTIONS);
                submit(node, "key0");
                Await.until("the wait to be told", () -> waitTold);
                endpoint.holdNewConnections();
                for (int i = 1; i < MESSAGES; i++) {
                    submit(node, "key" + i);
                }
                Await.until("a call after the wait", () -> !resetCalls.isEmpty());
                endpoint.acceptNewConnections(); // what was dropped meanwhile comes again 1 s after it was
                Thread.sleep((long) OPENS_AFTER_MS + WINDOW_MS / 2);
                assertThat(lateRepeats).isEmpty();
                assertThat(platform.notices).as("of the first call of the turn").isNotEmpty();
            } finally {
                node.kill();
            }
        }
    }

    private static void submit(Node node, String key) throws IOException {
        assertThat(node.submit("id-" + key, "keyed", 20_000, "dest=7", key, new byte[BODY_BYTES]))
                .startsWith("HTTP/1.1 202");
    }
}
