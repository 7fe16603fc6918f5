package firstair.relay.faults;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The wall clock is stepped by seconds or an hour; deadlines and windows are spans of real time (rows C1 to C5). */
class ClockStepTest extends FaultTest {
    private static final double DOWN_MS = 600; // a restart comes so long behind the kill
    private static final double NOTICE_MS = 350; // a notice is in time so long behind its message's time

    private Preload preload;

    @BeforeEach
    void start() throws Exception {
        preload = new Preload(stage.node, folder);
        stage.node.start();
    }

    private void restart(long step) throws Exception {
        stage.node.kill();
        double killed = stage.now();
        preload.step(step);
        stage.until(killed + DOWN_MS);
        stage.node.start();
    }

    /** It has never run: it goes on being called, and is handed back in the last three tenths of its time. */
    private void endsInTime(String id, double taken, double timeoutMs) throws Exception {
        Stage.Notice n = stage.notice(id, taken + timeoutMs + 2000);
        assertThat(n.outcome()).isEqualTo("handed_back");
        assertThat(n.atMs() - taken).isBetween(0.7 * timeoutMs, timeoutMs + NOTICE_MS);
        assertThat(stage.callsOf(id))
                .allSatisfy(c -> assertThat(c.atMs() - taken).isLessThan(timeoutMs));
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 3600, -5, -3600})
    void aStepWhileItIsDownMovesNoDeadline(long step) throws Exception {
        stage.behaviour = r -> r.answer(503);
        double taken = stage.take("m1", "keyed", 5000);
        stage.until(taken + 700);
        restart(step);
        endsInTime("m1", taken, 5000);
    }

    @ParameterizedTest
    @ValueSource(longs = {3600, -3600})
    void aStepWhileItRunsMovesNoDeadline(long step) throws Exception {
        stage.behaviour = r -> r.answer(503);
        double taken = stage.take("m1", "keyed", 3000);
        stage.until(taken + 500);
        preload.step(step);
        endsInTime("m1", taken, 3000);
    }

    @Test
    void twoRestartsWithStepsOfBothSignsMoveNoDeadline() throws Exception {
        stage.behaviour = r -> r.answer(503);
        double taken = stage.take("m1", "keyed", 6000);
        stage.until(taken + 500);
        restart(3600);
        restart(-3600);
        endsInTime("m1", taken, 6000);
    }

    /** What may have run is repeated inside its window, which runs on while no process does. */
    @ParameterizedTest
    @ValueSource(longs = {0, 3600, -3600})
    void aWindowRunsOnOverARestart(long step) throws Exception {
        double window = 4000;
        stage.node.kill();
        stage.node.adjust(c -> c.replace("\"repeatWindow\":30000.0", "\"repeatWindow\":" + window));
        stage.node.start();
        stage.behaviour = r -> {};
        double taken = stage.take("m1", "keyed", 20_000);
        stage.called("m1", 1, taken + 1000);
        double first = stage.callsOf("m1").get(0).atMs();
        stage.behaviour = r -> r.answer(503);
        restart(step);
        Stage.Notice n = stage.notice("m1", first + window + 2000);
        assertThat(n.outcome()).isEqualTo("given_up");
        assertThat(stage.callsOf("m1")).hasSizeGreaterThan(1).allSatisfy(c -> assertThat(c.atMs() - first)
                .isLessThan(window));
        assertThat(n.atMs() - first).isLessThan(window + NOTICE_MS);
    }
}
