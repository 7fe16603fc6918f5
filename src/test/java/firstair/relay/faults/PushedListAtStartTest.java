package firstair.relay.faults;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.kit.standin.StandIn;
import firstair.relay.standin.Await;
import firstair.relay.standin.StandInPlatform;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Lists are pushed, and while a relay was down its endpoint has left the list. Guards against review case 8: the first
 * call for the list failed after the restart, and the relay's messages went to that endpoint's address, which another
 * partner had by then.
 */
class PushedListAtStartTest extends FaultTest {
    private static final Set<String> MESSAGES = Set.of("m1", "m2", "m3", "m4");
    private static final int TIMEOUT_MS = 25_000;
    private static final double CALLED_MS = 3000; // after discovery can be reached, two failed calls included
    private static final int EXIT_MS = 3700; // SIGKILL follows SIGTERM after so long
    private static final double NOTICE_DUE_MS = 300; // after a message's deadline
    private static final String WATCH_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String EMPTY_LINE = "1\r\n\n\r\n";

    /** What discovery does with a call for the list. */
    private interface Answer {
        void to(StandIn.Request request) throws IOException;
    }

    private final List<String> successorCalls = new CopyOnWriteArrayList<>();
    private final List<Double> listCalls = new CopyOnWriteArrayList<>();
    private final Queue<Answer> answers = new ConcurrentLinkedQueue<>(); // to the next calls for the list
    private volatile Answer laterAnswers = this::answerWithList;
    private StandIn successor;
    private StandIn discovery;

    @BeforeEach
    void prepare() throws Exception {
        successor = new StandIn(request -> {
            successorCalls.add(request.header("request-id"));
            request.answer(200);
        });
        discovery = new StandIn(request -> {
            if (!request.target().startsWith("/api/targets")) {
                fixture.platform.notices.add(new String(request.body(), StandardCharsets.UTF_8));
                request.answer(204);
                return;
            }
            listCalls.add(fixture.now());
            Answer next = answers.poll();
            (next == null ? laterAnswers : next).to(request);
        });
        fixture.node.editConfig(text -> text.replace("\"discovery\":\"ask\"", "\"discovery\":\"push\""));
    }

    @AfterEach
    void stop() throws Exception {
        fixture.node.kill(); // before its peers, which it would log as lost
        successor.close();
        discovery.close();
    }

    private void answerWithList(StandIn.Request request) throws IOException {
        answer(request, StandInPlatform.list(2, true, "s2 7 " + successor.hostPort()));
    }

    /** The list as changes since the version that the relay has. */
    private void answerWithChanges(StandIn.Request request) throws IOException {
        answer(
                request,
                StandInPlatform.list(
                        2, false, "s1 7 " + fixture.endpoint.hostPort() + " removed", "s2 7 " + successor.hostPort()));
    }

    private static void answer(StandIn.Request request, String list) throws IOException {
        if (request.target().contains("follow=1")) {
            request.write(WATCH_HEAD.getBytes(StandardCharsets.US_ASCII));
            request.write((Integer.toHexString(list.length() + 1) + "\r\n" + list + "\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
        } else {
            request.answer(200, list.getBytes(StandardCharsets.US_ASCII));
        }
    }

    private static Answer refusedAfter(long ms) {
        return request -> {
            pause(ms);
            request.answer(503);
        };
    }

    private static void pause(long ms) throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(ms);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    /** A watch that shows life for as long as it is open, but sends no list. */
    private static void watchWithoutList(StandIn.Request request) throws IOException {
        if (!request.target().contains("follow=1")) {
            request.answer(503);
            return;
        }
        request.write(WATCH_HEAD.getBytes(StandardCharsets.US_ASCII));
        while (true) { // until the relay closes it
            request.write(EMPTY_LINE.getBytes(StandardCharsets.US_ASCII));
            pause(500);
        }
    }

    /** Kills a relay that holds {@link #MESSAGES}, and starts it again beside the scripted discovery. */
    private void restartWithMessages() throws Exception {
        fixture.behaviour = request -> {}; // so that all of them wait or have been called without an answer
        fixture.node.start();
        for (String id : MESSAGES) {
            fixture.submitAccepted(id, "keyed", TIMEOUT_MS);
        }
        fixture.node.kill();
        fixture.calls.clear();
        fixture.behaviour = request -> request.answer(400); // another partner listens there now
        fixture.node.discovery(discovery.hostPort());
        fixture.node.start();
    }

    /** Waits until the messages have been delivered by the new list, and none was sent by the old one. */
    private void awaitDeliveriesByTheNewList(double byMs) throws Exception {
        while (!Set.copyOf(successorCalls).containsAll(MESSAGES)) {
            assertThat(fixture.now())
                    .as("calls by the new list: %s, log %s", successorCalls, fixture.node.logLines())
                    .isLessThan(byMs);
            TimeUnit.MILLISECONDS.sleep(10);
        }
        assertThat(successorCalls).doesNotHaveDuplicates();
        assertThat(fixture.calls).as("calls by the old list").isEmpty();
        assertThat(fixture.notices).as("notices").isEmpty();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "crowded",
                "refused many times",
                "reset",
                "unreadable",
                "changes",
                "silent",
                "silent behind its head",
                "without a list",
                "without a list, then refused"
            })
    void messagesWaitForTheListOfDiscovery(String discoveryState) throws Exception {
        Answer watchWithoutList = PushedListAtStartTest::watchWithoutList;
        Answer silentBehindHead = request -> request.write(WATCH_HEAD.getBytes(StandardCharsets.US_ASCII));
        answers.addAll(
                switch (discoveryState) {
                    case "crowded" -> List.of(refusedAfter(500));
                    case "refused many times" ->
                        List.of(refusedAfter(0), refusedAfter(0), refusedAfter(0), refusedAfter(0), refusedAfter(0));
                    case "reset" -> List.of(StandIn.Request::reset);
                    case "unreadable" -> List.of(request -> answer(request, "{\"version\":2,\"servers\":7}"));
                    case "changes" -> List.of(refusedAfter(500), this::answerWithChanges);
                    case "silent" -> List.of(request -> {});
                    case "silent behind its head" -> List.of(silentBehindHead);
                    case "without a list" -> List.of(watchWithoutList);
                    default -> List.of(watchWithoutList, refusedAfter(0));
                });
        restartWithMessages();
        awaitDeliveriesByTheNewList(fixture.now() + 2 * CALLED_MS);
    }

    /** What discovery tells counts, also with a lower version than the relay has. */
    @Test
    void anOlderListIsTheListOfDiscovery() throws Exception {
        fixture.node.initialList(fixture.endpointList(9));
        answers.add(refusedAfter(500));
        restartWithMessages();
        awaitDeliveriesByTheNewList(fixture.now() + CALLED_MS);
    }

    @Test
    void eightSecondsOfFailuresAreWaitedFor() throws Exception {
        laterAnswers = refusedAfter(0);
        restartWithMessages();
        double backAt = fixture.now() + 8000;
        fixture.sleepUntil(backAt);
        assertThat(listCalls).as("calls for the list in 8 s").hasSizeBetween(15, 40);
        laterAnswers = this::answerWithList;
        awaitDeliveriesByTheNewList(backAt + CALLED_MS);
    }

    /** Clients are served meanwhile, and each message gets its end in time. */
    @Test
    void whileTheListIsAwaitedClientsAreServedAndMessagesEndInTime() throws Exception {
        laterAnswers = request -> {};
        fixture.node.discovery(discovery.hostPort());
        fixture.node.start();
        assertThat(fixture.now() - listCalls.get(0))
                .as("ready behind the first call for the list")
                .isLessThan(1000);
        double safeDeadline = fixture.submitAccepted("safe", "safe", 1500) + 1500;
        double keyedDeadline = fixture.submitAccepted("keyed", "keyed", 1500) + 1500;
        RelayFixture.Notice safe = fixture.awaitNotice("safe", safeDeadline + 2000);
        RelayFixture.Notice keyed = fixture.awaitNotice("keyed", keyedDeadline + 2000);
        assertThat(safe.outcome()).isEqualTo("handed_back");
        assertThat(keyed.outcome()).isEqualTo("handed_back");
        assertThat(safe.atMs()).isLessThan(safeDeadline + NOTICE_DUE_MS);
        assertThat(keyed.atMs()).isLessThan(keyedDeadline + NOTICE_DUE_MS);
        assertThat(fixture.calls).isEmpty();
    }

    @Test
    void aRelayThatIsTerminatedWhileItWaitsKeepsItsMessages() throws Exception {
        laterAnswers = refusedAfter(0);
        restartWithMessages();
        fixture.node.terminate();
        assertThat(fixture.node.awaitExit(EXIT_MS)).as("exited").isTrue();
        assertThat(fixture.node.exitStatus()).as("ended by SIGTERM").isEqualTo(143);
        laterAnswers = this::answerWithList;
        fixture.node.start();
        awaitDeliveriesByTheNewList(fixture.now() + CALLED_MS);
    }

    @Test
    void aRelayThatIsKilledWhileItWaitsKeepsItsMessages() throws Exception {
        laterAnswers = refusedAfter(0);
        restartWithMessages();
        Await.until("calls for the list", () -> listCalls.size() >= 3);
        fixture.node.kill();
        fixture.node.start();
        Await.until("more of them", () -> listCalls.size() >= 6);
        laterAnswers = this::answerWithList;
        awaitDeliveriesByTheNewList(fixture.now() + CALLED_MS);
    }

    /** The configuration names another discovery meanwhile; its list is the one that is awaited. */
    @Test
    void afterASighupTheListOfTheNewDiscoveryIsAwaited() throws Exception {
        laterAnswers = request -> {};
        restartWithMessages();
        try (StandInPlatform moved =
                new StandInPlatform(StandInPlatform.list(2, true, "s2 7 " + successor.hostPort()))) {
            moved.setDown(true);
            fixture.node.discovery(moved.hostPort());
            fixture.node.writeAndSendSighup();
            fixture.node.awaitLine("discovery at " + moved.hostPort());
            Await.until("calls to the new address", () -> moved.acceptedCount() >= 2);
            assertThat(successorCalls).isEmpty();
            moved.setDown(false);
            awaitDeliveriesByTheNewList(fixture.now() + CALLED_MS);
        }
    }
}
