package firstair.relay.faults;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.kit.standin.StandIn;
import firstair.relay.standin.Platform;
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

/** Messages, answers and settings at their smallest and largest (rows P1, P4, P17, P25, P26, S4, S9, M26, M27, B10). */
class LimitsOfMessagesTest extends FaultTest {
    private static final int MOST_BODY = 64 * 1024;

    @ParameterizedTest
    @CsvSource({"0, 202", "65536, 202", "65537, 413"})
    void aBodyHoldsSixtyFourKibibytes(int bytes, int status) throws Exception {
        stage.node.start();
        String answer = stage.node.handIn("m1", "safe", 5000, "dest=7", null, new byte[bytes]);
        assertThat(answer).startsWith("HTTP/1.1 " + status);
        if (status == 202) {
            stage.called("m1", 1, stage.now() + 2000);
        }
    }

    /** Messages that would share a call, but whose bodies do not fit into one. */
    @Test
    void noCallWithSeveralHasALongerBody() throws Exception {
        List<Integer> bodies = new ArrayList<>();
        AtomicInteger messages = new AtomicInteger();
        try (StandIn many = new StandIn(r -> {
                    bodies.add(r.body().length);
                    StringBuilder ends = new StringBuilder();
                    if (r.target().equals("/receive-many")) {
                        String text = new String(r.body(), StandardCharsets.ISO_8859_1);
                        for (String line : text.split("\r\n")) {
                            if (line.matches("x\\d+ .*")) {
                                ends.append(line.split(" ")[0]).append(" ok\r\n");
                                messages.incrementAndGet();
                            }
                        }
                    } else {
                        messages.incrementAndGet();
                    }
                    r.answer(200, ends.toString().getBytes(StandardCharsets.US_ASCII));
                });
                Platform platform = new Platform(Platform.list(1, true, "b1 8 " + many.hostPort() + " up many"))) {
            stage.node.known(Platform.list(1, true, "b1 8 " + many.hostPort() + " up many"));
            stage.node.discovery(platform.hostPort());
            stage.node.start();
            ExecutorService clients = Executors.newFixedThreadPool(8);
            List<Future<String>> answers = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                int n = i;
                answers.add(clients.submit(
                        () -> stage.node.handIn("x" + n, "safe", 8000, "dest=8", null, new byte[30_000])));
            }
            for (Future<String> a : answers) {
                assertThat(a.get()).startsWith("HTTP/1.1 202");
            }
            clients.shutdown();
            double by = stage.now() + 5000;
            while (messages.get() < 8 && stage.now() < by) {
                Thread.sleep(10);
            }
            assertThat(messages).hasValue(8);
            assertThat(bodies).allSatisfy(b -> assertThat(b).isLessThanOrEqualTo(MOST_BODY));
        }
    }

    /** The id of an open message again, of its own client or of a bad one: either answer, and one message. */
    @Test
    void theSameIdIsOneMessage() throws Exception {
        stage.behaviour = r -> r.answer(503);
        stage.node.start();
        double taken = stage.take("m1", "unsafe", 3000);
        assertThat(stage.handIn("m1", "unsafe", 3000)).isEqualTo(202);
        stage.node.handIn("m1", "safe", 9000, "dest=7", null, new byte[9]);
        stage.notice("m1", taken + 3350);
        stage.until(taken + 4000);
        assertThat(stage.notices).hasSize(1);
    }

    /** All attempts used up, or never to be made: its end is told at once, and no further call goes. */
    @Test
    void whatTheEndpointHoldsToBeExhaustedEnds() throws Exception {
        stage.behaviour = r -> r.answer(504);
        stage.node.adjust(c -> c.replace("\"maxAttempts\":12", "\"maxAttempts\":1"));
        stage.node.start();
        double taken = stage.take("m1", "unsafe", 9000);
        assertThat(stage.notice("m1", taken + 1000).outcome()).isEqualTo("handed_back");
        assertThat(stage.callsOf("m1")).hasSize(1);
    }

    @Test
    void whatIsOverIsOwedNothingMore() throws Exception {
        stage.behaviour = r -> r.answer(410);
        stage.node.start();
        double taken = stage.take("m1", "unsafe", 1500);
        stage.called("m1", 1, taken + 1000);
        stage.until(taken + 500);
        stage.node.kill();
        stage.node.start();
        stage.until(taken + 2500);
        assertThat(stage.notices).isEmpty();
        assertThat(stage.callsOf("m1")).hasSize(1);
    }

    /** Interim answers come ahead of the one that counts; what they tell binds nobody. */
    @Test
    void interimAnswersAreNoAnswers() throws Exception {
        stage.behaviour = r -> r.write(("HTTP/1.1 100 Continue\r\nRetry-After: 9\r\n\r\n"
                        + "HTTP/1.1 103 Early\r\nLink: <x>\r\n\r\nHTTP/1.1 102 Busy\r\n\r\n"
                        + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII));
        stage.node.start();
        for (int i = 0; i < 3; i++) {
            double taken = stage.take("m" + i, "unsafe", 5000);
            stage.called("m" + i, 1, taken + 500);
        }
        stage.until(stage.now() + 300);
        assertThat(stage.calls).hasSize(3);
        assertThat(stage.notices).isEmpty();
    }

    /** One slot, one attempt, a window of a second, deadlines near a call: each message ends once and in its time. */
    @Test
    void theSmallestSettingsKeepTheRules() throws Exception {
        AtomicInteger out = new AtomicInteger();
        AtomicInteger most = new AtomicInteger();
        stage.behaviour = r -> {
            most.accumulateAndGet(out.incrementAndGet(), Math::max);
            try {
                Thread.sleep(120);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            out.decrementAndGet();
            r.answer(r.header("request-id").hashCode() % 3 == 0 ? 500 : 200);
        };
        stage.node.adjust(c -> c.replace("\"maxAttempts\":12", "\"maxAttempts\":1")
                .replace("\"maxCalls\":8", "\"maxCalls\":1")
                .replace("\"repeatWindow\":30000.0", "\"repeatWindow\":1000.0")
                .replace("\"deadline\":30000.0", "\"deadline\":900.0"));
        stage.node.start();
        List<String> taken = new ArrayList<>();
        double last = 0;
        for (int i = 0; i < 15; i++) {
            String id = "m" + i;
            if (stage.handIn(id, List.of("safe", "keyed", "unsafe").get(i % 3), 900) == 202) {
                taken.add(id);
            }
            last = stage.now();
        }
        stage.until(last + 900 + 400);
        assertThat(taken).isNotEmpty();
        assertThat(most).hasValueLessThanOrEqualTo(1);
        for (String id : taken) {
            assertThat(stage.callsOf(id)).as(id).hasSizeLessThanOrEqualTo(1);
            boolean told = stage.notices.stream().anyMatch(n -> n.id().equals(id));
            assertThat(told || !stage.callsOf(id).isEmpty())
                    .as("%s has an end", id)
                    .isTrue();
        }
    }

    /** Behind a long quiet time all connections are dead; what must not be repeated goes all the same. */
    @Test
    void behindALongQuietTimeNothingIsLost() throws Exception {
        stage.node.adjust(c -> c.replace("\"connIdle\":10000.0", "\"connIdle\":1000.0"));
        stage.node.start();
        for (int i = 0; i < 3; i++) {
            double taken = stage.take("m" + i, "unsafe", 5000);
            stage.called("m" + i, 1, taken + 1000);
            stage.until(taken + 1900 + 50 * i);
        }
        assertThat(stage.notices).isEmpty();
        assertThat(stage.partner.accepted()).isEqualTo(3);
    }

    /** A client ends its sending behind its request and listens: it is owed an answer, as any other; it may be 503. */
    @Test
    void aClientThatEndsItsSendingHearsItsAnswer() throws Exception {
        stage.node.start();
        for (int i = 0; i < 20; i++) {
            String id = "h" + i;
            try (Socket s = new Socket(
                    stage.node.address().getAddress(), stage.node.address().getPort())) {
                s.setSoTimeout(1000);
                s.getOutputStream()
                        .write((stage.node.handInText(id, "safe", 5000, "dest=7", null, 3) + "abc")
                                .getBytes(StandardCharsets.US_ASCII));
                s.shutdownOutput();
                InputStream in = s.getInputStream();
                assertThat(new String(in.readAllBytes(), StandardCharsets.US_ASCII))
                        .startsWith("HTTP/1.1 ")
                        .containsAnyOf(" 202 ", " 503 ");
            }
        }
    }
}
