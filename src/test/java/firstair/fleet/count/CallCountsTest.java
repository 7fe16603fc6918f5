package firstair.fleet.count;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.fleet.Setup;
import firstair.fleet.talk.Note;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class CallCountsTest {
    private final Setup setup =
            new Setup("f", "a", "z", List.of("a", "b", "c"), List.of("a", "b", "c"), 1000, 5000, 500, 0.01, 0.5);
    private final CallCounts counts = new CallCounts(setup, 10);

    private static Note.Counts note(String member, long process, long second, long total, double ageMs) {
        return new Note.Counts(List.of(new Note.Count(member, process, "d:7", second, total, ageMs)));
    }

    /** Counts of two other relays, one of them with two processes, each received any number of times. */
    @Property(tries = 200)
    void theTotalDependsOnNeitherOrderNorDuplicates(@ForAll long seed) {
        Random random = new Random(seed);
        CallCounts counts = new CallCounts(setup, 10); // for this try alone
        List<Note.Counts> sent = new ArrayList<>();
        long sum = 0;
        for (CallCounts other : List.of(
                new CallCounts(setupOf("b"), 1), new CallCounts(setupOf("b"), 2), new CallCounts(setupOf("c"), 1))) {
            for (double now = 0; now < 20_000; now += 1 + random.nextInt(900)) {
                int calls = random.nextInt(5);
                other.add(now, "d:7", calls);
                sum += calls;
                sent.add(other.recent(now, 1 + random.nextInt(4)));
            }
        }
        for (int i = random.nextInt(3 * sent.size()); i > 0; i--) {
            sent.add(sent.get(random.nextInt(sent.size())));
        }
        Collections.shuffle(sent, random);
        sent.forEach(n -> counts.merge(30_000, n));
        assertThat(counts.total(30_000, "d:7", 60_000).sum())
                .as("seed %d", seed)
                .isEqualTo(sum);
        assertThat(counts.dropped()).isZero();
    }

    private Setup setupOf(String self) {
        return new Setup("f", self, "z", setup.members(), setup.voters(), 1000, 5000, 500, 0.01, 0.5);
    }

    @Test
    void aTotalTellsHowManyRelaysItCoversAndHowOldItIs() {
        assertThat(counts.total(0, "d:7", 60_000)).isEqualTo(new Total(0, 0, 3, 0));
        counts.add(50_100, "d:7", 4);
        counts.add(50_900, "d:7", 1);
        counts.merge(50_900, note("b", 1, 3, 7, 300));
        counts.merge(50_900, note("b", 1, 1, 2, 2300));
        assertThat(counts.total(51_000, "d:7", 60_000)).isEqualTo(new Total(14, 2, 3, 1000));
        assertThat(counts.total(51_000, "d:7", 1000)).isEqualTo(new Total(12, 2, 3, 1000));
        assertThat(counts.total(51_000, "d:8", 1000)).isEqualTo(new Total(0, 2, 3, 1000));
    }

    @Test
    void aRemovedSecondThatArrivesAgainDoesNotCountAsNew() {
        counts.merge(0, note("b", 1, 3, 7, 0));
        assertThat(counts.total(59_000, "d:7", 60_000).sum()).isEqualTo(7);
        assertThat(counts.total(60_000, "d:7", 60_000).sum()).isZero();
        counts.merge(60_100, note("b", 1, 3, 7, 0)); // delayed by a minute
        counts.merge(60_100, note("b", 1, 4, 1, 0));
        assertThat(counts.total(60_200, "d:7", 60_000).sum()).isEqualTo(1);
        assertThat(counts.dropped()).isEqualTo(1);
    }

    @Test
    void theHighestAgeOfASecondCounts() {
        counts.merge(50_000, note("b", 1, 3, 7, 100)); // was delayed
        counts.merge(50_000, note("b", 1, 3, 5, 9000));
        assertThat(counts.total(50_000, "d:7", 8000).sum()).isZero();
        assertThat(counts.total(50_000, "d:7", 9000).sum()).isEqualTo(7);
    }

    /** Two relays call 1,024 destinations in each second of a minute. */
    @Test
    void callsToAThousandDestinationsAreCountedThroughAMinute() {
        CallCounts other = new CallCounts(setupOf("b"), 1);
        for (int second = 0; second < 60; second++) {
            for (int i = 0; i < 1024; i++) {
                other.add(second * 1000, "d:" + i, 1);
                counts.add(second * 1000, "d:" + i, 1);
            }
            counts.merge(second * 1000, other.recent(second * 1000, 1));
        }
        for (int i = 0; i < 1024; i++) {
            assertThat(counts.total(59_900, "d:" + i, 60_000).sum())
                    .as("destination %s", i)
                    .isEqualTo(120);
        }
        assertThat(counts.dropped()).isZero();
    }

    /** Invented names use bounded memory, in one second or in all that are kept, and names are accepted again later. */
    @Test
    void namesBeyondTheLimitAreDroppedUntilOldOnesAreRemoved() {
        for (int i = 0; i < 5000; i++) {
            counts.merge(0, new Note.Counts(List.of(new Note.Count("b", 1, "x" + i, 0, 1, 0))));
        }
        assertThat(counts.dropped()).isEqualTo(5000 - 4096);
        for (int i = 4096; i < 1 << 16; i++) {
            counts.merge(0, new Note.Counts(List.of(new Note.Count("b", 2, "x" + i, 1 + i % 100, 1, 0))));
        }
        assertThat(counts.dropped()).isEqualTo(5000 - 4096);
        counts.merge(0, note("b", 2, 1, 1, 0));
        assertThat(counts.dropped()).isEqualTo(5000 - 4096 + 1);
        counts.merge(60_000, note("b", 2, 200, 1, 0));
        assertThat(counts.dropped()).isEqualTo(5000 - 4096 + 1);
        assertThat(counts.total(60_000, "d:7", 60_000).sum()).isEqualTo(1);
    }

    @Test
    void invalidCountsAreDroppedAndMemoryIsBounded() {
        List.of(
                        note("x", 1, 3, 7, 0),
                        note("b", 1, 3, -7, 0),
                        note("b", 1, 3, Long.MAX_VALUE, 0),
                        note("b", 1, 3, 7, Double.NaN),
                        note("b", 1, 3, 7, -1),
                        note("b", 1, 3, 7, 60_000),
                        note("a", 10, 3, 7, 0),
                        note("a", 11, 3, 7, 0))
                .forEach(n -> counts.merge(0, n));
        counts.merge(0, note(null, 1, 3, 7, 0));
        assertThat(counts.dropped()).isEqualTo(9);
        assertThat(counts.total(0, "d:7", 60_000)).isEqualTo(new Total(0, 0, 3, 0));
        for (int i = 0; i < 100; i++) {
            for (int second = 0; second < 1000; second++) {
                counts.merge(0, note("b", i, second, 1, 0));
            }
        }
        assertThat(counts.total(0, "d:7", 60_000).sum()).isEqualTo(4 * 130);
    }
}
