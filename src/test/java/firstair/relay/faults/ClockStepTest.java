package firstair.relay.faults;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Deadlines and windows are unaffected by steps of the wall clock by seconds or an hour (rows C1 to C5). */
class ClockStepTest extends FaultTest {
    private static final double DOWN_MS = 600; // from the kill to the restart
    private static final double NOTICE_MS = 350; // a notice is in time this long after its message's deadline

    private FaultInjector preload;

    @BeforeEach
    void start() throws Exception {
        preload = new FaultInjector(fixture.node, folder);
        fixture.node.start();
    }

    private void restartWithStep(long seconds) throws Exception {
        fixture.node.kill();
        double killedAt = fixture.now();
        preload.stepWallClock(seconds);
        fixture.sleepUntil(killedAt + DOWN_MS);
        fixture.node.start();
    }

    /** A message that never ran is called until it is handed back, in the last three tenths of its time. */
    private void assertHandedBackInTime(String id, double submittedAt, double timeoutMs) throws Exception {
        RelayFixture.Notice notice = fixture.awaitNotice(id, submittedAt + timeoutMs + 2000);
        assertThat(notice.outcome()).isEqualTo("handed_back");
        assertThat(notice.atMs() - submittedAt).isBetween(0.7 * timeoutMs, timeoutMs + NOTICE_MS);
        assertThat(fixture.callsOf(id))
                .allSatisfy(call -> assertThat(call.atMs() - submittedAt).isLessThan(timeoutMs));
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 3600, -5, -3600})
    void aStepWhileTheRelayIsDownMovesNoDeadline(long seconds) throws Exception {
        fixture.behaviour = r -> r.answer(503);
        double submittedAt = fixture.submitAccepted("m1", "keyed", 5000);
        fixture.sleepUntil(submittedAt + 700);
        restartWithStep(seconds);
        assertHandedBackInTime("m1", submittedAt, 5000);
    }

    @ParameterizedTest
    @ValueSource(longs = {3600, -3600})
    void aStepWhileTheRelayRunsMovesNoDeadline(long seconds) throws Exception {
        fixture.behaviour = r -> r.answer(503);
        double submittedAt = fixture.submitAccepted("m1", "keyed", 3000);
        fixture.sleepUntil(submittedAt + 500);
        preload.stepWallClock(seconds);
        assertHandedBackInTime("m1", submittedAt, 3000);
    }

    @Test
    void twoRestartsWithStepsOfBothSignsMoveNoDeadline() throws Exception {
        fixture.behaviour = r -> r.answer(503);
        double submittedAt = fixture.submitAccepted("m1", "keyed", 6000);
        fixture.sleepUntil(submittedAt + 500);
        restartWithStep(3600);
        restartWithStep(-3600);
        assertHandedBackInTime("m1", submittedAt, 6000);
    }

    /** A message that may have run is repeated only inside its window, which includes the relay's downtime. */
    @ParameterizedTest
    @ValueSource(longs = {0, 3600, -3600})
    void aWindowIncludesTheTimeOfARestart(long seconds) throws Exception {
        double window = 4000;
        fixture.node.kill();
        fixture.node.editConfig(c -> c.replace("\"repeatWindow\":30000.0", "\"repeatWindow\":" + window));
        fixture.node.start();
        fixture.behaviour = r -> {};
        double submittedAt = fixture.submitAccepted("m1", "keyed", 20_000);
        fixture.awaitCalls("m1", 1, submittedAt + 1000);
        double firstCallAt = fixture.callsOf("m1").get(0).atMs();
        fixture.behaviour = r -> r.answer(503);
        restartWithStep(seconds);
        RelayFixture.Notice notice = fixture.awaitNotice("m1", firstCallAt + window + 2000);
        assertThat(notice.outcome()).isEqualTo("given_up");
        assertThat(fixture.callsOf("m1")).hasSizeGreaterThan(1).allSatisfy(call -> assertThat(call.atMs() - firstCallAt)
                .isLessThan(window));
        assertThat(notice.atMs() - firstCallAt).isLessThan(window + NOTICE_MS);
    }
}
