package firstair.relay.faults;

import static firstair.relay.faults.Preload.rule;
import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The relay is held up for 0.15 s between reading its clock and writing to an endpoint (rows R9, R17, M34, P38). */
class MomentsTest extends FaultTest {
    private static final int HELD_UP_MS = 150;

    private Preload preload;

    @BeforeEach
    void start() throws Exception {
        preload = new Preload(stage.node, folder);
    }

    /** From now on each write to the partner comes so late behind its decision. */
    private void holdUp() throws Exception {
        preload.rules(rule("sock_write", 0, Preload.ALWAYS, -HELD_UP_MS, partnerPort()));
    }

    @Test
    void everyRepeatOfAKeyedMessageArrivesInsideItsWindow() throws Exception {
        double window = 1500;
        stage.node.adjust(c -> c.replace("\"repeatWindow\":30000.0", "\"repeatWindow\":" + window));
        stage.node.start();
        for (int i = 0; i < 4; i++) {
            preload.rules();
            stage.behaviour = r -> r.answer(200); // so that the endpoint is held to be well
            stage.take("w" + i, "safe", 5000);
            stage.called("w" + i, 1, stage.now() + 3000);
            stage.behaviour = r -> r.answer(500);
            String id = "k" + i;
            stage.take(id, "keyed", 10_000);
            stage.called(id, 1, stage.now() + 3000);
            stage.behaviour = r -> r.answer(429, "Retry-After: 0.05");
            holdUp();
            stage.notice(id, stage.now() + 4000);
            double first = stage.callsOf(id).get(0).atMs();
            assertThat(stage.callsOf(id))
                    .allSatisfy(c -> assertThat(c.atMs() - first).isLessThan(window));
        }
    }

    /** A drain that is told while a call is held up is kept: its grace covers the pause, and no further call goes. */
    @Test
    void aDrainThatIsToldWhileACallIsHeldUpIsKept() throws Exception {
        stage.node.start();
        stage.take("warm", "safe", 5000);
        stage.called("warm", 1, stage.now() + 2000);
        holdUp();
        for (int i = 0; i < 8; i++) {
            stage.handIn("m" + i, "safe", 2000);
        }
        double told = stage.now();
        stage.platform.tell(
                firstair.relay.standin.Platform.list(2, false, "s1 7 " + stage.partner.hostPort() + " draining"));
        stage.until(told + 1500);
        assertThat(stage.calls).allSatisfy(c -> assertThat(c.atMs() - told).isLessThan(250 + HELD_UP_MS));
    }
}
