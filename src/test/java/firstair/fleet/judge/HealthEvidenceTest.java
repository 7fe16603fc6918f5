package firstair.fleet.judge;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.fleet.Setup;
import firstair.fleet.talk.Note.HealthReport;
import firstair.fleet.talk.Note.HealthReports;
import firstair.fleet.talk.Note.Observation;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.TreeSet;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class HealthEvidenceTest {
    private static final double LONGEST = 30_000;
    private static final String E = "e:one";
    private final HealthEvidence own = evidenceOf("r0", 10);

    private static HealthEvidence evidenceOf(String self, int size) {
        List<String> members = IntStream.range(0, size).mapToObj(i -> "r" + i).toList();
        return new HealthEvidence(
                new Setup("f", self, "a", members, members.subList(0, 3), 200, 2_000, 500, 0.01, 0.2),
                1,
                LONGEST,
                subject -> subject.startsWith("e:"));
    }

    private static HealthReport sign(int by, String subject, Observation sight, int calls, double age, double holds) {
        return new HealthReport("r" + by, 1, subject, sight, calls, age, holds, 1);
    }

    private void merge(double now, HealthReport... signs) {
        own.merge(now, "r1", new HealthReports(List.of(signs)));
    }

    @Test
    void aRequestedWaitBindsAllRelaysAndIsNeverShortened() {
        merge(1_000, sign(1, E, Observation.WAIT, 5, 1_000, 5_000));
        assertThat(own.waitUntil(1_000, E)).isBetween(5_000.0, 5_100.0); // extended for clock drift
        merge(1_100, sign(1, E, Observation.WAIT, 6, 0, 100), sign(2, E, Observation.ANSWERS, 9, 0, 9_000));
        own.observe(1_200, E, Observation.ANSWERS, 50, 9_000);
        own.observe(1_200, E, Observation.WAIT, 1, 50);
        assertThat(own.waitUntil(1_200, E)).isBetween(5_000.0, 5_100.0);
        merge(1_300, sign(3, E, Observation.WAIT, 1, 0, 1e12));
        assertThat(own.waitUntil(1_300, E)).isEqualTo(1_300 + LONGEST);
        assertThat(own.waitUntil(40_000, E)).isEqualTo(40_000);
    }

    @Test
    void downNeedsTwoOthersOrOurOwnFailuresAndExpires() {
        merge(0, sign(1, E, Observation.FAILS, 3, 0, 5_000), sign(1, E, Observation.FAILS, 9, 0, 5_000));
        assertThat(own.isDown(10, E)).isFalse();
        merge(20, sign(2, E, Observation.FAILS, 3, 0, 5_000));
        assertThat(own.isDown(20, E)).isTrue();
        merge(30, sign(2, E, Observation.ANSWERS, 4, 0, 5_000)); // revokes its own evidence only
        assertThat(own.isDown(30, E)).isFalse();
        own.observe(40, "e:two", Observation.FAILS, 2, 5_000);
        assertThat(own.isDown(40, "e:two")).isFalse();
        own.observe(50, "e:two", Observation.FAILS, 1, 5_000);
        assertThat(own.isDown(50, "e:two")).isTrue();
        assertThat(own.isDown(5_060, "e:two")).isFalse();
    }

    @Test
    void twoFailingAreOutvotedByMoreWithLaterAnswers() {
        HealthReport[] answers = {
            sign(3, E, Observation.ANSWERS, 1, 0, 9_000),
            sign(4, E, Observation.ANSWERS, 1, 0, 9_000),
            sign(5, E, Observation.ANSWERS, 1, 0, 9_000)
        };
        merge(0, sign(1, E, Observation.FAILS, 3, 0, 9_000), sign(2, E, Observation.FAILS, 3, 0, 9_000));
        merge(500, answers);
        assertThat(own.isDown(600, E)).isFalse();
        merge(700, sign(1, E, Observation.ANSWERS, 4, 0, 9_000), sign(2, E, Observation.ANSWERS, 4, 0, 9_000));
        merge(800, sign(1, E, Observation.FAILS, 7, 0, 9_000), sign(2, E, Observation.FAILS, 7, 0, 9_000));
        assertThat(own.isDown(900, E)).isTrue(); // the others' answers came before
        merge(1_000, sign(1, E, Observation.ANSWERS, 9, 0, 100), sign(2, E, Observation.ANSWERS, 9, 0, 100));
        assertThat(own.isDown(9_800, E)).isFalse(); // expired answers don't revive the earlier failures
    }

    @Test
    void duplicatesAndOrderChangeNothing() {
        for (int seed = 0; seed < 200; seed++) {
            Random random = new Random(seed);
            List<HealthReport> signs = new ArrayList<>();
            for (int i = 0; i < 60; i++) { // later signs of a member have higher counts; waits never get shorter
                double age = 6_000 - i * 100;
                Observation sight = Observation.values()[random.nextInt(3)];
                double holds = sight == Observation.WAIT ? 8_000 : 2_000 + random.nextInt(8_000);
                signs.add(new HealthReport(
                        "r" + (1 + random.nextInt(9)),
                        1 + i / 40,
                        "e:" + random.nextInt(4),
                        sight,
                        1 + i,
                        age,
                        holds,
                        0.3 + 0.7 * random.nextDouble()));
            }
            List<String> results = new ArrayList<>();
            for (int round = 0; round < 4; round++) {
                HealthEvidence one = evidenceOf("r0", 10);
                signs.forEach(s -> one.merge(100, "r2", new HealthReports(List.of(s))));
                double later = 100 + 40 * round; // late copies
                signs.forEach(s -> one.merge(later, "r3", new HealthReports(List.of(s))));
                StringBuilder text = new StringBuilder();
                for (int e = 0; e < 4; e++) {
                    text.append(one.isDown(1_300, "e:" + e))
                            .append(one.waitUntil(1_300, "e:" + e))
                            .append(' ');
                }
                results.add(text.toString());
                Collections.shuffle(signs, random);
            }
            assertThat(new TreeSet<>(results)).as("seed %d", seed).hasSize(1);
        }
    }

    @Test
    void aRelayWhoseFailuresContradictTheOthersIsDistrustedAlsoByItself() {
        for (int e = 0; e < 4; e++) {
            own.observe(e, "e:" + e, Observation.FAILS, 5, 20_000);
            assertThat(own.isDown(e, "e:" + e)).isTrue();
        }
        for (int by = 1; by < 4; by++) {
            for (int e = 0; e < 4; e++) {
                merge(500, sign(by, "e:" + e, Observation.ANSWERS, 5, 0, 20_000));
            }
        }
        assertThat(own.isDistrusted(1_600, "r0")).isFalse();
        own.timer(1_600);
        assertThat(own.isDistrusted(1_600, "r0")).isTrue();
        assertThat(own.isDown(1_600, "e:1")).isFalse();
        HealthReport low = new HealthReport("r5", 1, E, Observation.FAILS, 3, 0, 9_000, 0.1);
        merge(1_700, low, sign(6, E, Observation.FAILS, 3, 0, 9_000));
        assertThat(own.isDown(1_700, E)).isFalse(); // r5 has a tenth of the others' success rate
        merge(1_800, sign(7, E, Observation.FAILS, 3, 0, 9_000));
        assertThat(own.isDown(1_800, E)).isTrue();
    }

    @Test
    void urgentSignsAreSentFirstAndEachALimitedNumberOfTimes() {
        merge(0, sign(3, "e:4", Observation.ANSWERS, 1, 0, 9_000));
        merge(0, sign(2, "e:3", Observation.FAILS, 1, 0, 9_000));
        merge(0, sign(2, "e:3", Observation.ANSWERS, 2, 0, 9_000), sign(4, "e:2", Observation.FAILS, 3, 0, 9_000));
        own.observe(0, "e:1", Observation.WAIT, 1, 9_000);
        assertThat(own.nextToSend(10, 9))
                .extracting(HealthReport::subject)
                .containsExactly("e:1", "e:3", "e:2", "e:3", "e:4");
        assertThat(own.nextToSend(20, 2)).extracting(HealthReport::subject).containsExactly("e:1", "e:3");
        int more = 0;
        for (List<HealthReport> sent = own.nextToSend(30, 3); !sent.isEmpty(); sent = own.nextToSend(30, 3)) {
            assertThat(sent).hasSizeLessThanOrEqualTo(3).allMatch(s -> s.ageMs() == 30);
            more += sent.size();
        }
        assertThat(more + 7).isEqualTo(5 * 5); // five signs, each sent five times with ten members
        own.observe(40, "e:1", Observation.WAIT, 1, 100);
        assertThat(own.nextToSend(41, 9)).isEmpty(); // shorter than the wait in force
        own.observe(50, "e:1", Observation.WAIT, 1, 500);
        own.observe(60, "e:5", Observation.WAIT, 1, 500);
        assertThat(own.nextToSend(600, 9)).isEmpty(); // expired
    }

    @Test
    void invalidSignsAreCountedAndChangeNothing() {
        HealthEvidence other = evidenceOf("r0", 10);
        other.merge(0, "stranger", new HealthReports(List.of(sign(1, E, Observation.WAIT, 1, 0, 9))));
        other.merge(
                0,
                "r1",
                new HealthReports(List.of(
                        sign(77, E, Observation.WAIT, 1, 0, 9),
                        sign(1, "x", Observation.WAIT, 1, 0, 9),
                        sign(1, E, Observation.WAIT, 1, Double.NaN, 9),
                        sign(1, E, Observation.WAIT, 1, -1, 9),
                        sign(1, E, Observation.WAIT, 1, 0, Double.POSITIVE_INFINITY),
                        sign(1, E, null, 1, 0, 9),
                        new HealthReport("r1", 1, E, Observation.WAIT, 1, 0, 9, Double.NaN),
                        sign(1, null, Observation.WAIT, 1, 0, 9),
                        sign(0, E, Observation.WAIT, 1, 0, 9))));
        other.observe(0, "x", Observation.WAIT, 1, 9);
        assertThat(other.dropped()).isEqualTo(10); // our own sign that comes back is not counted
        assertThat(other.nextToSend(0, 9)).isEmpty();
    }

    /**
     * Ten relays gossip about twenty endpoints, some of which are down; the last {@code liars} relays report the
     * opposite of each. Returns the number of wrong results.
     */
    private static int wrongResults(long seed, int liars, boolean answersAreReported) {
        Random random = new Random(seed);
        List<HealthEvidence> relays =
                IntStream.range(0, 10).mapToObj(i -> evidenceOf("r" + i, 10)).toList();
        boolean[] isDown = new boolean[20];
        for (int e = 0; e < isDown.length; e++) {
            isDown[e] = random.nextInt(4) == 0;
        }
        int wrong = 0;
        for (int step = 0; step < 400; step++) {
            double now = step * 50;
            int i = random.nextInt(10);
            int e = random.nextInt(20);
            boolean fails = isDown[e] != i >= 10 - liars;
            if (fails || answersAreReported) {
                relays.get(i).observe(now, "e:" + e, fails ? Observation.FAILS : Observation.ANSWERS, 3, 20_000);
            }
            for (HealthEvidence r : relays) {
                HealthReports sent = new HealthReports(r.nextToSend(now, 5));
                int to = random.nextInt(10);
                if (random.nextInt(5) > 0) {
                    relays.get(to).merge(now, "r" + relays.indexOf(r), sent);
                }
            }
            for (int honest = 0; honest < 10 - liars; honest++) {
                for (int each = 0; each < 20; each++) {
                    wrong += relays.get(honest).isDown(now, "e:" + each) && !isDown[each] ? 1 : 0;
                }
            }
        }
        for (int each = 0; each < 20; each++) {
            wrong += isDown[each] && !relays.get(0).isDown(20_000, "e:" + each) ? 1 : 0;
        }
        return wrong;
    }

    @Test
    void oneLiarInTenChangesNoResult() {
        int caught = 0;
        for (long seed = 0; seed < 20; seed++) {
            assertThat(wrongResults(seed, 1, true)).as("seed %d", seed).isZero();
            caught += wrongResults(seed, 3, false) > 0 ? 1 : 0; // three liars, no answers: the check must fail
        }
        assertThat(caught).isEqualTo(20);
    }
}
