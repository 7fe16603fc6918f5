package firstair.relay.faults;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.kit.standin.StandIn;
import firstair.relay.standin.StandInPlatform;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Messages, answers and settings at the limits of their ranges (rows P1, P4, P17, P25, P26, S4, S9, M26, M27, B10). */
class BoundaryValuesTest extends FaultTest {
    private static final int MAX_BODY_BYTES = 64 * 1024;

    @ParameterizedTest
    @CsvSource({"0, 202", "65536, 202", "65537, 413"})
    void aBodyMayHaveSixtyFourKibibytes(int bytes, int status) throws Exception {
        fixture.node.start();
        String answer = fixture.node.submit("m1", "safe", 5000, "dest=7", null, new byte[bytes]);
        assertThat(answer).startsWith("HTTP/1.1 " + status);
        if (status == 202) {
            fixture.awaitCalls("m1", 1, fixture.now() + 2000);
        }
    }

    /** Messages that could share a call, but whose bodies do not fit into one. */
    @Test
    void aSharedCallKeepsTheLimitOfABody() throws Exception {
        List<Integer> bodyBytes = new ArrayList<>();
        AtomicInteger messages = new AtomicInteger();
        try (StandIn sharing = new StandIn(r -> {
                    bodyBytes.add(r.body().length);
                    StringBuilder outcomes = new StringBuilder();
                    if (r.target().equals("/receive-many")) {
                        String text = new String(r.body(), StandardCharsets.ISO_8859_1);
                        for (String line : text.split("\r\n")) {
                            if (line.matches("x\\d+ .*")) {
                                outcomes.append(line.split(" ")[0]).append(" ok\r\n");
                                messages.incrementAndGet();
                            }
                        }
                    } else {
                        messages.incrementAndGet();
                    }
                    r.answer(200, outcomes.toString().getBytes(StandardCharsets.US_ASCII));
                });
                StandInPlatform platform =
                        new StandInPlatform(StandInPlatform.list(1, true, "b1 8 " + sharing.hostPort() + " up many"))) {
            fixture.node.initialList(StandInPlatform.list(1, true, "b1 8 " + sharing.hostPort() + " up many"));
            fixture.node.discovery(platform.hostPort());
            fixture.node.start();
            ExecutorService clients = Executors.newFixedThreadPool(8);
            List<Future<String>> answers = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                int n = i;
                answers.add(clients.submit(
                        () -> fixture.node.submit("x" + n, "safe", 8000, "dest=8", null, new byte[30_000])));
            }
            for (Future<String> answer : answers) {
                assertThat(answer.get()).startsWith("HTTP/1.1 202");
            }
            clients.shutdown();
            double giveUpAt = fixture.now() + 5000;
            while (messages.get() < 8 && fixture.now() < giveUpAt) {
                Thread.sleep(10);
            }
            assertThat(messages).hasValue(8);
            assertThat(bodyBytes).allSatisfy(bytes -> assertThat(bytes).isLessThanOrEqualTo(MAX_BODY_BYTES));
        }
    }

    /** An id of a pending message is submitted again, with the same or with other content: there is one message. */
    @Test
    void submissionsWithOneIdAreOneMessage() throws Exception {
        fixture.behaviour = r -> r.answer(503);
        fixture.node.start();
        double submittedAt = fixture.submitAccepted("m1", "unsafe", 3000);
        assertThat(fixture.submit("m1", "unsafe", 3000)).isEqualTo(202);
        fixture.node.submit("m1", "safe", 9000, "dest=7", null, new byte[9]);
        fixture.awaitNotice("m1", submittedAt + 3350);
        fixture.sleepUntil(submittedAt + 4000);
        assertThat(fixture.notices).hasSize(1);
    }

    /** 504 says that no attempt is left: the message is handed back at once, and no further call is made. */
    @Test
    void aMessageThatTheEndpointReportsAsExhaustedEnds() throws Exception {
        fixture.behaviour = r -> r.answer(504);
        fixture.node.editConfig(c -> c.replace("\"maxAttempts\":12", "\"maxAttempts\":1"));
        fixture.node.start();
        double submittedAt = fixture.submitAccepted("m1", "unsafe", 9000);
        assertThat(fixture.awaitNotice("m1", submittedAt + 1000).outcome()).isEqualTo("handed_back");
        assertThat(fixture.callsOf("m1")).hasSize(1);
    }

    @Test
    void aMessageThatEndedIsNotResumedByTheNextProcess() throws Exception {
        fixture.behaviour = r -> r.answer(410);
        fixture.node.start();
        double submittedAt = fixture.submitAccepted("m1", "unsafe", 1500);
        fixture.awaitCalls("m1", 1, submittedAt + 1000);
        fixture.sleepUntil(submittedAt + 500);
        fixture.node.kill();
        fixture.node.start();
        fixture.sleepUntil(submittedAt + 2500);
        assertThat(fixture.notices).isEmpty();
        assertThat(fixture.callsOf("m1")).hasSize(1);
    }

    /** Interim answers precede the final one; their headers have no effect. */
    @Test
    void interimAnswersAreIgnored() throws Exception {
        fixture.behaviour = r -> r.write(("HTTP/1.1 100 Continue\r\nRetry-After: 9\r\n\r\n"
                        + "HTTP/1.1 103 Early\r\nLink: <x>\r\n\r\nHTTP/1.1 102 Busy\r\n\r\n"
                        + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII));
        fixture.node.start();
        for (int i = 0; i < 3; i++) {
            double submittedAt = fixture.submitAccepted("m" + i, "unsafe", 5000);
            fixture.awaitCalls("m" + i, 1, submittedAt + 500);
        }
        fixture.sleepUntil(fixture.now() + 300);
        assertThat(fixture.calls).hasSize(3);
        assertThat(fixture.notices).isEmpty();
    }

    /** One slot, one attempt, a window of a second, deadlines close to a call's time: each message ends in time. */
    @Test
    void theSmallestSettingsKeepTheRules() throws Exception {
        AtomicInteger callsInProgress = new AtomicInteger();
        AtomicInteger maxInProgress = new AtomicInteger();
        fixture.behaviour = r -> {
            maxInProgress.accumulateAndGet(callsInProgress.incrementAndGet(), Math::max);
            try {
                Thread.sleep(120);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            callsInProgress.decrementAndGet();
            r.answer(r.header("request-id").hashCode() % 3 == 0 ? 500 : 200);
        };
        fixture.node.editConfig(c -> c.replace("\"maxAttempts\":12", "\"maxAttempts\":1")
                .replace("\"maxCalls\":8", "\"maxCalls\":1")
                .replace("\"repeatWindow\":30000.0", "\"repeatWindow\":1000.0")
                .replace("\"deadline\":30000.0", "\"deadline\":900.0"));
        fixture.node.start();
        List<String> accepted = new ArrayList<>();
        double lastSubmittedAt = 0;
        for (int i = 0; i < 15; i++) {
            String id = "m" + i;
            if (fixture.submit(id, List.of("safe", "keyed", "unsafe").get(i % 3), 900) == 202) {
                accepted.add(id);
            }
            lastSubmittedAt = fixture.now();
        }
        fixture.sleepUntil(lastSubmittedAt + 900 + 400);
        assertThat(accepted).isNotEmpty();
        assertThat(maxInProgress).hasValueLessThanOrEqualTo(1);
        for (String id : accepted) {
            assertThat(fixture.callsOf(id)).as(id).hasSizeLessThanOrEqualTo(1);
            boolean noticed =
                    fixture.notices.stream().anyMatch(notice -> notice.id().equals(id));
            assertThat(noticed || !fixture.callsOf(id).isEmpty())
                    .as("%s has an end", id)
                    .isTrue();
        }
    }

    /** All connections are stale after a long idle time; messages that must not be repeated are delivered anyway. */
    @Test
    void noMessageIsLostAfterALongIdleTime() throws Exception {
        fixture.node.editConfig(c -> c.replace("\"connIdle\":10000.0", "\"connIdle\":1000.0"));
        fixture.node.start();
        for (int i = 0; i < 3; i++) {
            double submittedAt = fixture.submitAccepted("m" + i, "unsafe", 5000);
            fixture.awaitCalls("m" + i, 1, submittedAt + 1000);
            fixture.sleepUntil(submittedAt + 1900 + 50 * i);
        }
        assertThat(fixture.notices).isEmpty();
        assertThat(fixture.endpoint.acceptedCount()).isEqualTo(3);
    }

    /** A client that shuts down its output after its request gets an answer like any other; it may be 503. */
    @Test
    void aClientThatShutsDownItsOutputGetsAnAnswer() throws Exception {
        fixture.node.start();
        for (int i = 0; i < 20; i++) {
            String id = "h" + i;
            try (Socket socket = new Socket(
                    fixture.node.address().getAddress(), fixture.node.address().getPort())) {
                socket.setSoTimeout(1000);
                socket.getOutputStream()
                        .write((fixture.node.submissionHead(id, "safe", 5000, "dest=7", null, 3) + "abc")
                                .getBytes(StandardCharsets.US_ASCII));
                socket.shutdownOutput();
                InputStream in = socket.getInputStream();
                assertThat(new String(in.readAllBytes(), StandardCharsets.US_ASCII))
                        .startsWith("HTTP/1.1 ")
                        .containsAnyOf(" 202 ", " 503 ");
            }
        }
    }
}
