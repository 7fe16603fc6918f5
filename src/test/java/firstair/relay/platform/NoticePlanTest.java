package firstair.relay.platform;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.relay.Limits;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class NoticePlanTest {
    private final Limits.Notices limits = Limits.of(0, 0, 64_000_000, 0, 0, 0).notices();
    private final NoticePlan plan = new NoticePlan(limits, new Random(1));

    private void add(long id, double dueAt) {
        plan.add(id, text(id), dueAt);
    }

    private static byte[] text(long id) {
        return ("n" + id + "\n").getBytes(StandardCharsets.UTF_8);
    }

    private static String bodyText(NoticePlan.Post p) {
        return new String(p.body(), StandardCharsets.UTF_8).replace("\n", " ").trim();
    }

    @Test
    void noticesOfASlowPostAreSentAgainOverANewConnectionAndTheLateAnswerCounts() {
        add(1, 300);
        NoticePlan.Post first = plan.next(0);
        assertThat(first.newConnection()).isFalse();
        assertThat(first.slowAfterMs()).isEqualTo(100);
        assertThat(plan.next(1)).isNull();
        plan.slow(first);
        NoticePlan.Post second = plan.next(100);
        assertThat(second.newConnection()).isTrue();
        assertThat(bodyText(second)).isEqualTo("n1");
        assertThat(plan.complete(first, 120, 204)).containsExactly(1L);
        assertThat(plan.complete(second, 130, 204)).isEmpty();
        assertThat(plan.pending()).isZero();
    }

    @Test
    void aSlowPostDelaysNoNoticeAndTheOldestIsSentFirst() {
        add(1, 300);
        NoticePlan.Post first = plan.next(0);
        add(2, 310);
        add(3, 290);
        assertThat(plan.next(10)).isNull(); // the first post may still be answered
        plan.slow(first);
        assertThat(bodyText(plan.next(60))).isEqualTo("n1 n2 n3");
    }

    @Test
    void anUnreadableNoticeDelaysNoOther() {
        LongStream.rangeClosed(1, 8).forEach(i -> add(i, 300));
        List<Long> confirmed = new ArrayList<>();
        double now = 0;
        for (int round = 0; round < 40 && confirmed.size() < 7; round++) {
            NoticePlan.Post p = plan.next(now);
            if (p != null) {
                confirmed.addAll(plan.complete(p, now, bodyText(p).contains("n3") ? 400 : 204));
            }
            now += 5;
        }
        assertThat(confirmed).containsExactlyInAnyOrder(1L, 2L, 4L, 5L, 6L, 7L, 8L);
        assertThat(plan.pending()).isEqualTo(1);
        assertThat(plan.wakeAt()).isGreaterThan(0); // it is retried alone, with growing backoff
    }

    /**
     * Row R2. A 400 may be due to the notice or to a corrupted connection; a second connection tells which. A notice
     * used to back off before the second attempt, and the backoff ended while its process got no CPU time.
     *
     * <p>Seen in a soak beside busy processes (seed 240, a notice 360 ms after its message's deadline): {@code
     * 03:31:03.992 post over with 400}, no line of the process from {@code 04.042} to {@code 04.217}, and {@code
     * 04.221 post over a new connection}.
     */
    @Test
    void aNoticeThatWasAnswered400OnceGoesAgainAtOnce() {
        add(1, 300);
        plan.complete(plan.next(0), 20, 400);
        NoticePlan.Post again = plan.next(20);
        assertThat(again).isNotNull();
        assertThat(again.newConnection()).isTrue();
        plan.complete(again, 40, 400);
        assertThat(plan.next(40)).as("the notice itself is bad: it backs off").isNull();
        assertThat(plan.wakeAt()).isGreaterThan(40);
    }

    /**
     * Row R2. New notices wait for the post in flight, which may never be answered. A notice with less time left than
     * that post was given used to wait just as long.
     *
     * <p>Seen in a soak beside busy processes (seed 222, a notice 352 ms after its message's deadline): {@code
     * 03:52:45.918 notices 9: post, 125.59 ms of patience}; {@code 45.935 message s222c7-81: over}; {@code 46.053
     * notices 10: post over a new connection}, the first one with it, when a third of its time had long passed.
     */
    @Test
    void aNoticeWaitsBehindAPostNoLongerThanForAnAnswerOfItsOwn() {
        add(1, 450);
        NoticePlan.Post silent = plan.next(0);
        assertThat(silent.slowAfterMs()).isEqualTo(150);
        add(2, 200);
        assertThat(plan.next(10)).as("the post may still be answered").isNull();
        double at = plan.wakeAt();
        assertThat(at).isBetween(10 + limits.leastMs(), 10 + 190 / 3.0 + 1);
        assertThat(bodyText(plan.next(at))).isEqualTo("n2");
        assertThat(plan.next(at + 1)).as("the first one is in flight").isNull();
    }

    @Test
    void theBackoffGrowsButStaysShortWhileANoticeCanBeInTime() {
        add(1, 5000);
        double now = 0;
        List<Double> pauses = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            NoticePlan.Post p = plan.next(now);
            assertThat(plan.complete(p, now, NoticePlan.NO_ANSWER)).isEmpty();
            double at = plan.wakeAt();
            if (i > 0) { // the first used a kept connection, whose failure says nothing about the platform
                pauses.add(at - now);
            }
            now = Math.max(now, at) + (i == 20 ? 5000 : 0);
        }
        assertThat(pauses.subList(0, 19)).allMatch(ms -> ms <= limits.urgentPauseMs() * 1.25 + 1e-6);
        assertThat(pauses.get(1)).isGreaterThan(pauses.get(0));
        assertThat(pauses.get(28)).isBetween(limits.pauseMostMs() * 0.75, limits.pauseMostMs() * 1.25);
    }

    @Test
    void whenThePlatformMovesNoticesInFlightAreSentAgainAtOnce() {
        add(1, 300);
        NoticePlan.Post old = plan.next(0);
        plan.addressChanged();
        assertThat(bodyText(plan.next(1))).isEqualTo("n1");
        assertThat(plan.complete(old, 2, 204)).containsExactly(1L);
    }

    @Test
    void theOldestSlowPostIsAbandonedAtTheLimit() {
        add(1, 5000);
        List<NoticePlan.Post> all = new ArrayList<>();
        for (int i = 0; i < limits.posts(); i++) {
            assertThat(plan.postToAbandon()).isNull();
            NoticePlan.Post p = plan.next(i);
            plan.slow(p);
            all.add(p);
        }
        assertThat(plan.next(100)).isNull();
        assertThat(plan.postToAbandon()).isSameAs(all.get(0));
        plan.complete(all.get(0), 100, NoticePlan.NO_ANSWER);
        assertThat(plan.next(101)).isNotNull();
    }

    @Test
    void overdueNoticesAreCountedOnce() {
        add(1, 300);
        add(2, 400);
        assertThat(plan.countOverdue(350)).isEqualTo(1);
        assertThat(plan.countOverdue(450)).isEqualTo(1);
        assertThat(plan.countOverdue(460)).isZero();
        NoticePlan.Post p = plan.next(470);
        assertThat(plan.recovered()).isFalse();
        plan.complete(p, 480, 204);
        assertThat(plan.recovered()).isTrue();
        assertThat(plan.takeOverdueStats()).containsExactly(2, 180);
        assertThat(plan.recovered()).isFalse();
    }

    /**
     * Connections to the platform fail at random, but of any two successive ones at least one works: every notice
     * arrives in time, even with thousands at once. Virtual time.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void whereOneOfTwoConnectionsWorksEveryNoticeIsInTime(long seed) {
        Random random = new Random(seed);
        NoticePlan p = new NoticePlan(limits, new Random(seed));
        Map<Long, Double> due = new HashMap<>();
        Map<Long, Double> arrived = new HashMap<>();
        record Event(double at, int order, Runnable what) {}
        PriorityQueue<Event> events = new PriorityQueue<>(
                (a, b) -> a.at() != b.at() ? Double.compare(a.at(), b.at()) : Integer.compare(a.order(), b.order()));
        int[] order = new int[1];
        boolean[] failedBefore = new boolean[1];
        double[] now = new double[1];
        long id = 0;
        for (double at = 0; at < 20_000; at += random.nextInt(200)) {
            int many = random.nextInt(50) == 0 ? 3000 : 1 + random.nextInt(3);
            double t = at;
            for (int i = 0; i < many; i++) {
                long one = id++;
                due.put(one, t + 250);
                events.add(new Event(t, order[0]++, () -> p.add(one, text(one), t + 250)));
            }
        }
        while (!events.isEmpty() || p.pending() > 0) {
            for (NoticePlan.Post s = p.postToAbandon(); s != null; s = null) {
                p.complete(s, now[0], NoticePlan.NO_ANSWER);
            }
            for (NoticePlan.Post n = p.next(now[0]); n != null; n = p.next(now[0])) {
                NoticePlan.Post post = n;
                double sent = now[0];
                int fault = failedBefore[0] ? 0 : random.nextInt(4);
                failedBefore[0] = fault != 0;
                events.add(new Event(sent + post.slowAfterMs(), order[0]++, () -> p.slow(post)));
                switch (fault) {
                    case 0 ->
                        events.add(new Event(sent + 2, order[0]++, () -> {
                            for (String line : bodyText(post).split(" ")) {
                                arrived.putIfAbsent(Long.parseLong(line.substring(1)), sent + 1);
                            }
                            p.complete(post, sent + 2, 204);
                        }));
                    case 1 ->
                        events.add(new Event(
                                sent + 1, order[0]++, () -> p.complete(post, sent + 1, NoticePlan.NO_ANSWER)));
                    case 2 -> events.add(new Event(sent + 1, order[0]++, () -> p.complete(post, sent + 1, 400)));
                    default ->
                        events.add(new Event(
                                sent + limits.answerMs(),
                                order[0]++,
                                () -> p.complete(post, sent + limits.answerMs(), NoticePlan.NO_ANSWER)));
                }
            }
            double wake = p.wakeAt();
            Event e = events.peek();
            if (e == null || wake > now[0] && wake < e.at()) {
                now[0] = wake;
            } else {
                now[0] = events.poll().at();
                e.what().run();
            }
        }
        assertThat(arrived).as("seed " + seed).hasSameSizeAs(due);
        arrived.forEach((one, at) ->
                assertThat(at).as("seed " + seed + " notice " + one).isLessThanOrEqualTo(due.get(one)));
    }
}
