package firstair.kit.soak;

import firstair.kit.soak.Observations.Call;
import firstair.kit.soak.Observations.Drained;
import firstair.kit.soak.Observations.Effect;
import firstair.kit.soak.Observations.Notice;
import firstair.kit.soak.Observations.Outcome;
import firstair.kit.soak.Observations.Restart;
import firstair.kit.soak.Observations.Submission;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Checks what the peers of a relay observed against the rules of delivery. Each violation begins with the code of its
 * rule in docs/terms-audit.md. It uses no state of the relay.
 */
final class RuleChecker {
    /** The rule on requests that a relay leaves unanswered while it drains. */
    static final String DRAIN_RULE = "R5";

    private static final double NOTICE_MS = 300 + 50; // after a message's deadline
    private static final double RETURN_MS = 1500 + 50; // after the next process is ready
    private static final double LET_THROUGH_MS = 100 + 50; // calls still allowed after a response with Retry-After
    private static final double KILL_MS = 3700; // after SIGTERM
    private static final double READY_MS = 10_000;
    private static final double TOLERANCE_MS = 50; // between two observations of the same event

    private final Observations seen;
    private final double windowMs;
    private final double graceMs;
    private final double checkedAtMs;
    private final List<Restart> restarts;
    private final List<String> violations = new ArrayList<>();

    /**
     * Checks what was observed until now.
     *
     * @param windowMs time for which endpoints drop repeats of a keyed message
     * @param graceMs  time after which an endpoint that drains must not be called
     */
    RuleChecker(Observations seen, double windowMs, double graceMs) {
        this.seen = seen;
        this.windowMs = windowMs;
        this.graceMs = graceMs;
        this.checkedAtMs = seen.now();
        this.restarts = seen.restartsInOrder();
    }

    /** Returns all violations, one line each. */
    List<String> violations() {
        Map<String, List<Call>> calls = seen.calls.stream()
                .sorted(Comparator.comparingDouble((Call call) -> call.atMs))
                .collect(Collectors.groupingBy(call -> call.id, TreeMap::new, Collectors.toList()));
        Map<String, List<Notice>> notices =
                seen.notices.stream().collect(Collectors.groupingBy(Notice::id, TreeMap::new, Collectors.toList()));
        for (Submission submission : seen.submissions) {
            List<Call> ownCalls = calls.getOrDefault(submission.id(), List.of());
            List<Notice> ownNotices = notices.getOrDefault(submission.id(), List.of());
            checkEnd(submission, ownCalls, ownNotices);
            checkRepeats(submission, ownCalls);
            checkCallsAfterEnd(submission, ownCalls, ownNotices);
        }
        checkRetryAfter();
        checkDraining();
        checkRestarts();
        seen.violations.forEach(violation -> violations.add(violation.rule() + ": " + violation.text()));
        return violations;
    }

    private void violation(String rule, String format, Object... values) {
        violations.add(rule + ": " + String.format(Locale.ROOT, format, values));
    }

    /** Whether a process was ended between two times. */
    private boolean restarted(double fromMs, double toMs) {
        return restarts.stream().anyMatch(restart -> restart.endedMs() > fromMs && restart.firstMs() < toMs);
    }

    /**
     * Whether a process was killed, or none ran after a kill, between two times. A process that receives SIGTERM still
     * has to answer; a request that is written while none runs counts for the one that was killed.
     */
    private boolean killed(double fromMs, double toMs) {
        return restarts.stream()
                .anyMatch(restart -> (!restart.told() || restart.endedMs() - restart.firstMs() >= KILL_MS)
                        && restart.launchedMs() > fromMs
                        && restart.firstMs() < toMs);
    }

    /** The latest allowed time of a final answer that is due at a time; a restart before that extends it. */
    private double latestWithRestarts(double dueMs) {
        double latestMs = dueMs;
        for (Restart restart : restarts) {
            if (latestMs >= restart.firstMs()) {
                latestMs = Math.max(latestMs, restart.readyMs() + RETURN_MS);
            }
        }
        return latestMs;
    }

    private void checkEnd(Submission submission, List<Call> calls, List<Notice> notices) {
        if (submission.status() == 0) {
            if (!killed(submission.sentMs() - TOLERANCE_MS, submission.answeredMs() + TOLERANCE_MS)) {
                String rule = restarted(submission.sentMs(), submission.answeredMs()) ? DRAIN_RULE : "R4";
                violation(
                        rule,
                        "%s was written at %.0f and its connection ended with no answer",
                        submission.id(),
                        submission.sentMs());
            }
            return;
        }
        if (submission.status() != 202) {
            return;
        }
        double endMs = Double.POSITIVE_INFINITY;
        for (Call call : calls) {
            if (call.outcome == Outcome.DELIVERED) {
                endMs = Math.min(endMs, call.answeredMs);
            }
        }
        for (Notice notice : notices) {
            endMs = Math.min(endMs, notice.atMs());
        }
        double latestMs = latestWithRestarts(submission.deadlineMs() + NOTICE_MS);
        if (endMs > latestMs && latestMs < checkedAtMs) {
            violation(
                    "R2",
                    "%s had its time until %.0f and its end at %.0f",
                    submission.id(),
                    submission.deadlineMs(),
                    endMs);
        }
    }

    private void checkRepeats(Submission submission, List<Call> calls) {
        Call inDoubt = null;
        for (int i = 0; i < calls.size(); i++) {
            Call call = calls.get(i);
            Call previous = i == 0 ? null : calls.get(i - 1);
            if (previous != null
                    && previous.endedMs > call.atMs + TOLERANCE_MS
                    && !restarted(previous.atMs, call.atMs)) {
                violation(
                        "R12",
                        "%s was called at %.0f while its call of %.0f was out",
                        submission.id(),
                        call.atMs,
                        previous.atMs);
            }
            if (inDoubt != null && submission.effect() == Effect.UNSAFE) {
                violation(
                        "R8",
                        "%s, unsafe, was called at %.0f, and may have run at %.0f",
                        submission.id(),
                        call.atMs,
                        inDoubt.atMs);
            }
            if (inDoubt != null && submission.effect() == Effect.KEYED && call.atMs - inDoubt.atMs > windowMs) {
                violation(
                        "R9",
                        "%s was repeated %.0f ms behind its first call",
                        submission.id(),
                        call.atMs - inDoubt.atMs);
            }
            if (inDoubt == null && call.outcome.maybeRan()) {
                inDoubt = call;
            }
        }
    }

    private void checkCallsAfterEnd(Submission submission, List<Call> calls, List<Notice> notices) {
        boolean refused = submission.status() == 429 || submission.status() == 503;
        for (Call call : calls) {
            if (refused && (call.atMs > submission.answeredMs() + TOLERANCE_MS || call.outcome.maybeRan())) {
                violation(
                        "R22",
                        "%s was refused at %.0f and called at %.0f",
                        submission.id(),
                        submission.answeredMs(),
                        call.atMs);
            }
            for (Notice notice : notices) {
                if (call.atMs > notice.atMs() + TOLERANCE_MS) {
                    violation(
                            "R6",
                            "%s was called at %.0f, behind its notice of %.0f",
                            submission.id(),
                            call.atMs,
                            notice.atMs());
                }
                if (notice.handedBack() && call.outcome.maybeRan() && call.atMs < notice.atMs()) {
                    violation("X5", "%s was handed back and may have run at %.0f", submission.id(), call.atMs);
                }
            }
        }
        for (int i = 1; i < calls.size(); i++) {
            Call previous = calls.get(i - 1);
            if (previous.outcome == Outcome.DELIVERED && !restarted(previous.atMs - TOLERANCE_MS, calls.get(i).atMs)) {
                violation("R21", "%s was called at %.0f, behind its delivery", submission.id(), calls.get(i).atMs);
            }
        }
        if (notices.stream().map(Notice::handedBack).distinct().count() > 1) {
            violation("R1", "%s was handed back and given up", submission.id());
        }
    }

    private void checkRetryAfter() {
        for (Call refused : seen.calls) {
            for (Call call : refused.retryAfterMs > 0 ? seen.calls : List.<Call>of()) {
                boolean within = call.atMs > refused.answeredMs + LET_THROUGH_MS
                        && call.atMs < refused.answeredMs + refused.retryAfterMs;
                if (within && call.destination == refused.destination && !restarted(refused.answeredMs, call.atMs)) {
                    violation(
                            "R16",
                            "%d was called at %.0f, and had told to wait from %.0f for %.0f ms",
                            call.destination,
                            call.atMs,
                            refused.answeredMs,
                            refused.retryAfterMs);
                }
            }
        }
    }

    private void checkDraining() {
        for (Drained drained : seen.drained) {
            for (Call call : seen.calls) {
                if (call.endpoint.equals(drained.endpoint()) && call.atMs > drained.atMs() + graceMs + TOLERANCE_MS) {
                    violation(
                            "R13",
                            "%s was called at %.0f and told to drain at %.0f",
                            call.endpoint,
                            call.atMs,
                            drained.atMs());
                }
            }
        }
    }

    private void checkRestarts() {
        for (Restart restart : restarts) {
            // After KILL_MS the soak sends SIGKILL, which ended the process.
            if (restart.told() && restart.endedMs() - restart.firstMs() >= KILL_MS) {
                violation("P56", "told to end at %.0f, it was there at the kill", restart.firstMs());
            }
            if (restart.readyMs() - restart.launchedMs() > READY_MS) {
                violation("M3", "started at %.0f, it was ready at %.0f", restart.launchedMs(), restart.readyMs());
            }
        }
    }
}
