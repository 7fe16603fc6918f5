package firstair.kit.soak;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.kit.soak.Observations.Call;
import firstair.kit.soak.Observations.Drained;
import firstair.kit.soak.Observations.Effect;
import firstair.kit.soak.Observations.Notice;
import firstair.kit.soak.Observations.Outcome;
import firstair.kit.soak.Observations.Restart;
import firstair.kit.soak.Observations.Submission;
import org.junit.jupiter.api.Test;

/** Each kind of violation is reported, and none where the rules are kept. */
class RuleCheckerTest {
    private static final double WINDOW_MS = 2000;
    private static final double GRACE_MS = 1000;

    private final Observations seen = new Observations();

    private void handIn(String id, Effect effect, int status, double deadlineMs) {
        seen.submissions.add(new Submission(id, effect, 100, 110, status, deadlineMs));
    }

    private Call call(String id, double atMs, Outcome outcome, double endedMs) {
        Call call = new Call(id, 1, "e1", atMs);
        if (outcome == Outcome.SILENCE) {
            call.connectionEnded(endedMs);
        } else {
            call.answered(outcome, 0, endedMs);
        }
        seen.calls.add(call);
        return call;
    }

    private void assertOnlyViolation(String rule) {
        assertThat(new RuleChecker(seen, WINDOW_MS, GRACE_MS).violations())
                .singleElement()
                .asString()
                .startsWith(rule + ":");
    }

    /** Waits until the deadlines in these tests have passed on the clock of the observations. */
    private void awaitDeadlines() throws InterruptedException {
        while (seen.now() < 600) {
            Thread.sleep(10);
        }
    }

    @Test
    void observationsWithinTheRulesGiveNoViolation() throws Exception {
        handIn("m1", Effect.UNSAFE, 202, 150);
        call("m1", 120, Outcome.TURNED_AWAY, 125);
        call("m1", 200, Outcome.DELIVERED, 210);
        handIn("m2", Effect.KEYED, 202, 150);
        call("m2", 120, Outcome.SILENCE, 300);
        call("m2", 310, Outcome.MAYBE, 320);
        seen.notices.add(new Notice("m2", false, 400));
        handIn("m3", Effect.SAFE, 503, 150);
        awaitDeadlines();
        assertThat(new RuleChecker(seen, WINDOW_MS, GRACE_MS).violations()).isEmpty();
    }

    @Test
    void aMessageWithoutAFinalAnswerIsReported() throws Exception {
        handIn("m1", Effect.SAFE, 202, 150);
        awaitDeadlines();
        assertOnlyViolation("R2");
    }

    @Test
    void aFinalAnswerAfterTheDeadlineIsReported() throws Exception {
        handIn("m1", Effect.SAFE, 202, 150);
        seen.notices.add(new Notice("m1", true, 520));
        awaitDeadlines();
        assertOnlyViolation("R2");
    }

    @Test
    void aRequestWithoutAResponseIsReported() {
        handIn("m1", Effect.SAFE, 0, 150);
        assertOnlyViolation("R4");
    }

    @Test
    void aKillExcusesAMissingResponseAndALateFinalAnswer() throws Exception {
        seen.restarts.add(new Restart(false, 105, 106, 120, 500));
        handIn("m1", Effect.SAFE, 0, 150);
        handIn("m2", Effect.SAFE, 202, 150);
        awaitDeadlines();
        assertThat(new RuleChecker(seen, WINDOW_MS, GRACE_MS).violations()).isEmpty();
    }

    /**
     * A client may wait for up to 60 ms between connecting and its first request, and the process may be killed in that
     * time. A request that is written before the next start must not be reported: no process could answer it. The check
     * once allowed for 50 ms after the kill only and failed in a soak with seed 215: {@code R4: s215c1-119 was written
     * at 13008}, with a kill from 12950 to 12954 and the next start at 13554.
     */
    @Test
    void aRequestWrittenWhileNoProcessRunsNeedsNoResponse() {
        seen.restarts.add(new Restart(false, 20, 25, 620, 900));
        handIn("m1", Effect.SAFE, 0, 150);
        assertThat(new RuleChecker(seen, WINDOW_MS, GRACE_MS).violations()).isEmpty();
    }

    @Test
    void aRequestWrittenAfterAStartNeedsAResponse() {
        seen.restarts.add(new Restart(false, 10, 15, 45, 48));
        handIn("m1", Effect.SAFE, 0, 150);
        assertOnlyViolation("R4");
    }

    @Test
    void aSecondCallOfAnUnsafeMessageInDoubtIsReported() {
        handIn("m1", Effect.UNSAFE, 202, 9000);
        call("m1", 120, Outcome.MAYBE, 130);
        call("m1", 300, Outcome.DELIVERED, 310);
        assertOnlyViolation("R8");
    }

    @Test
    void aRepeatOfAKeyedMessageOutsideItsWindowIsReported() {
        handIn("m1", Effect.KEYED, 202, 9000);
        call("m1", 120, Outcome.MAYBE, 130);
        call("m1", 120 + WINDOW_MS + 1, Outcome.DELIVERED, 2200);
        assertOnlyViolation("R9");
    }

    @Test
    void twoCallsOfAMessageAtTheSameTimeAreReported() {
        handIn("m1", Effect.SAFE, 202, 9000);
        call("m1", 120, Outcome.SILENCE, 1000);
        call("m1", 500, Outcome.DELIVERED, 510);
        assertOnlyViolation("R12");
    }

    @Test
    void aCallWithinARetryAfterIsReported() {
        handIn("m1", Effect.SAFE, 202, 9000);
        handIn("m2", Effect.SAFE, 202, 9000);
        call("m1", 120, Outcome.TURNED_AWAY, 130).retryAfterMs = 500;
        call("m2", 400, Outcome.DELIVERED, 410);
        assertOnlyViolation("R16");
    }

    @Test
    void aCallToADrainingEndpointIsReported() {
        handIn("m1", Effect.SAFE, 202, 9000);
        seen.drained.add(new Drained("e1", 100));
        call("m1", 1200, Outcome.DELIVERED, 1210);
        assertOnlyViolation("R13");
    }

    @Test
    void aCallOfARefusedMessageIsReported() {
        handIn("m1", Effect.SAFE, 503, 9000);
        call("m1", 400, Outcome.TURNED_AWAY, 410);
        assertOnlyViolation("R22");
    }

    @Test
    void aCallAfterANoticeIsReported() {
        handIn("m1", Effect.SAFE, 202, 9000);
        seen.notices.add(new Notice("m1", true, 200));
        call("m1", 400, Outcome.TURNED_AWAY, 410);
        assertOnlyViolation("R6");
    }

    @Test
    void handingBackAMessageThatMayHaveRunIsReported() {
        handIn("m1", Effect.KEYED, 202, 9000);
        call("m1", 150, Outcome.MAYBE, 160);
        seen.notices.add(new Notice("m1", true, 200));
        assertOnlyViolation("X5");
    }

    @Test
    void aCallAfterADeliveryIsReported() {
        handIn("m1", Effect.SAFE, 202, 9000);
        call("m1", 150, Outcome.DELIVERED, 160);
        call("m1", 400, Outcome.DELIVERED, 410);
        assertOnlyViolation("R21");
    }

    @Test
    void aProcessThatIsKilledWhileEndingAndASlowStartAreReported() {
        seen.restarts.add(new Restart(true, 100, 3900, 4500, 5000));
        assertOnlyViolation("P56");
        seen.restarts.clear();
        seen.restarts.add(new Restart(false, 100, 101, 700, 11_000));
        assertOnlyViolation("M3");
    }
}
