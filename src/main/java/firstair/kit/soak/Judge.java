package firstair.kit.soak;

import firstair.kit.soak.Observations.Call;
import firstair.kit.soak.Observations.Drained;
import firstair.kit.soak.Observations.Effect;
import firstair.kit.soak.Observations.HandIn;
import firstair.kit.soak.Observations.Notice;
import firstair.kit.soak.Observations.Outcome;
import firstair.kit.soak.Observations.Restart;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Holds what the peers of a relay saw against the rules; each verdict begins with the row of docs/terms-audit.md. It
 * knows nothing of the relay.
 */
final class Judge {
    /** The row of requests that a relay which was told to end leaves without an answer. */
    static final String DRAIN_ROW = "R5";

    private static final double NOTICE_MS = 300 + 50; // behind a message's time
    private static final double RETURN_MS = 1500 + 50; // behind a ready process
    private static final double LET_THROUGH_MS = 100 + 50; // calls behind the answer that told a wait
    private static final double KILL_MS = 3700; // behind SIGTERM
    private static final double READY_MS = 10_000;
    private static final double CROSSING_MS = 50; // two observations of one moment

    private final Observations seen;
    private final double windowMs;
    private final double graceMs;
    private final double endMs;
    private final List<Restart> restarts;
    private final List<String> verdicts = new ArrayList<>();

    /**
     * Of what was seen so far.
     *
     * @param windowMs for which repeats of a keyed message are dropped
     * @param graceMs  until nothing new goes to an endpoint that drains
     */
    Judge(Observations seen, double windowMs, double graceMs) {
        this.seen = seen;
        this.windowMs = windowMs;
        this.graceMs = graceMs;
        this.endMs = seen.now();
        this.restarts = seen.inOrder();
    }

    /** All breaches, each a line; none if every rule was kept. */
    List<String> verdicts() {
        Map<String, List<Call>> calls = seen.calls.stream()
                .sorted(Comparator.comparingDouble((Call c) -> c.atMs))
                .collect(Collectors.groupingBy(c -> c.id, TreeMap::new, Collectors.toList()));
        Map<String, List<Notice>> notices =
                seen.notices.stream().collect(Collectors.groupingBy(Notice::id, TreeMap::new, Collectors.toList()));
        for (HandIn h : seen.handIns) {
            List<Call> of = calls.getOrDefault(h.id(), List.of());
            List<Notice> told = notices.getOrDefault(h.id(), List.of());
            ended(h, of, told);
            repeats(h, of);
            afterTheEnd(h, of, told);
        }
        waits();
        drains();
        restarts();
        seen.faults.forEach(f -> verdicts.add(f.row() + ": " + f.what()));
        return verdicts;
    }

    private void breach(String row, String format, Object... values) {
        verdicts.add(row + ": " + String.format(Locale.ROOT, format, values));
    }

    /** Whether a process ended between two moments. */
    private boolean restarted(double fromMs, double toMs) {
        return restarts.stream().anyMatch(r -> r.endedMs() > fromMs && r.firstMs() < toMs);
    }

    /**
     * Whether a process was killed between two moments, or none ran behind a kill: one that is told to end still owes
     * its answers, and what is written while none runs goes to the one that was killed.
     */
    private boolean killed(double fromMs, double toMs) {
        return restarts.stream()
                .anyMatch(r -> (!r.told() || r.endedMs() - r.firstMs() >= KILL_MS)
                        && r.launchedMs() > fromMs
                        && r.firstMs() < toMs);
    }

    /** Until when an end that is due at a moment is in time. */
    private double latest(double dueMs) {
        double latest = dueMs;
        for (Restart r : restarts) {
            if (latest >= r.firstMs()) {
                latest = Math.max(latest, r.readyMs() + RETURN_MS);
            }
        }
        return latest;
    }

    private void ended(HandIn h, List<Call> calls, List<Notice> notices) {
        if (h.status() == 0) {
            if (!killed(h.sentMs() - CROSSING_MS, h.answeredMs() + CROSSING_MS)) {
                String row = restarted(h.sentMs(), h.answeredMs()) ? DRAIN_ROW : "R4";
                breach(row, "%s was written at %.0f and its connection ended with no answer", h.id(), h.sentMs());
            }
            return;
        }
        if (h.status() != 202) {
            return;
        }
        double end = Double.POSITIVE_INFINITY;
        for (Call c : calls) {
            if (c.outcome == Outcome.DELIVERED) {
                end = Math.min(end, c.answeredMs);
            }
        }
        for (Notice n : notices) {
            end = Math.min(end, n.atMs());
        }
        double latest = latest(h.deadlineMs() + NOTICE_MS);
        if (end > latest && latest < endMs) {
            breach("R2", "%s had its time until %.0f and its end at %.0f", h.id(), h.deadlineMs(), end);
        }
    }

    private void repeats(HandIn h, List<Call> calls) {
        Call doubt = null;
        for (int i = 0; i < calls.size(); i++) {
            Call c = calls.get(i);
            Call before = i == 0 ? null : calls.get(i - 1);
            if (before != null && before.overMs > c.atMs + CROSSING_MS && !restarted(before.atMs, c.atMs)) {
                breach("R12", "%s was called at %.0f while its call of %.0f was out", h.id(), c.atMs, before.atMs);
            }
            if (doubt != null && h.effect() == Effect.UNSAFE) {
                breach("R8", "%s, unsafe, was called at %.0f, and may have run at %.0f", h.id(), c.atMs, doubt.atMs);
            }
            if (doubt != null && h.effect() == Effect.KEYED && c.atMs - doubt.atMs > windowMs) {
                breach("R9", "%s was repeated %.0f ms behind its first call", h.id(), c.atMs - doubt.atMs);
            }
            if (doubt == null && c.outcome.maybeRan()) {
                doubt = c;
            }
        }
    }

    private void afterTheEnd(HandIn h, List<Call> calls, List<Notice> notices) {
        boolean refused = h.status() == 429 || h.status() == 503;
        for (Call c : calls) {
            if (refused && (c.atMs > h.answeredMs() + CROSSING_MS || c.outcome.maybeRan())) {
                breach("R22", "%s was refused at %.0f and called at %.0f", h.id(), h.answeredMs(), c.atMs);
            }
            for (Notice n : notices) {
                if (c.atMs > n.atMs() + CROSSING_MS) {
                    breach("R6", "%s was called at %.0f, behind its notice of %.0f", h.id(), c.atMs, n.atMs());
                }
                if (n.handedBack() && c.outcome.maybeRan() && c.atMs < n.atMs()) {
                    breach("X5", "%s was handed back and may have run at %.0f", h.id(), c.atMs);
                }
            }
        }
        for (int i = 1; i < calls.size(); i++) {
            Call before = calls.get(i - 1);
            if (before.outcome == Outcome.DELIVERED && !restarted(before.atMs - CROSSING_MS, calls.get(i).atMs)) {
                breach("R21", "%s was called at %.0f, behind its delivery", h.id(), calls.get(i).atMs);
            }
        }
        if (notices.stream().map(Notice::handedBack).distinct().count() > 1) {
            breach("R1", "%s was handed back and given up", h.id());
        }
    }

    private void waits() {
        for (Call told : seen.calls) {
            for (Call c : told.waitMs > 0 ? seen.calls : List.<Call>of()) {
                boolean within = c.atMs > told.answeredMs + LET_THROUGH_MS && c.atMs < told.answeredMs + told.waitMs;
                if (within && c.destination == told.destination && !restarted(told.answeredMs, c.atMs)) {
                    breach(
                            "R16",
                            "%d was called at %.0f, and had told to wait from %.0f for %.0f ms",
                            c.destination,
                            c.atMs,
                            told.answeredMs,
                            told.waitMs);
                }
            }
        }
    }

    private void drains() {
        for (Drained d : seen.drained) {
            for (Call c : seen.calls) {
                if (c.endpoint.equals(d.endpoint()) && c.atMs > d.atMs() + graceMs + CROSSING_MS) {
                    breach("R13", "%s was called at %.0f and told to drain at %.0f", c.endpoint, c.atMs, d.atMs());
                }
            }
        }
    }

    private void restarts() {
        for (Restart r : restarts) {
            if (r.told() && r.endedMs() - r.firstMs() >= KILL_MS) { // the kill comes then, and ends it at once
                breach("P56", "told to end at %.0f, it was there at the kill", r.firstMs());
            }
            if (r.readyMs() - r.launchedMs() > READY_MS) {
                breach("M3", "started at %.0f, it was ready at %.0f", r.launchedMs(), r.readyMs());
            }
        }
    }
}
