package firstair.kit.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.fleet.Sharing;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The first of the random histories that {@code firstair fleet --seeds} runs. */
class RandomHistoriesTest {
    private static final long SEEDS = 24;
    private static final long DEFECT_SEEDS = 120; // rare defects show in few histories

    private static final RandomHistories REAL =
            new RandomHistories(FleetDefaults.limitsOnly(), FleetDefaults.withSettings(), FleetDefaults.wire());

    @Test
    void everyHistoryKeepsEveryInvariantAndRecovers() {
        List<RandomHistories.History> all =
                LongStream.rangeClosed(1, SEEDS).parallel().mapToObj(REAL::run).toList();
        assertThat(all).allSatisfy(history -> assertThat(history.events())
                .as("seed %d", history.seed())
                .isGreaterThan(5000));
        assertThat(all).anySatisfy(history -> assertThat(history.onBookings()).isGreaterThan(1000));
        assertThat(all).anySatisfy(history -> assertThat(history.faults()).containsKey("ledger lost"));
    }

    @ParameterizedTest
    @ValueSource(longs = {3, 4, 5}) // one of each kind
    void theSameSeedGivesTheSameHistory(long seed) {
        assertThat(REAL.run(seed)).isEqualTo(REAL.run(seed)).isNotEqualTo(REAL.run(seed + 3));
    }

    @ParameterizedTest
    @EnumSource
    void aPlantedDefectIsCaught(Defect defect) {
        RandomHistories planted = new RandomHistories(
                (process, destinations) -> defect.create(process, Sharing.LIMITS, destinations),
                defect::create,
                FleetDefaults.wire());
        assertThat(LongStream.rangeClosed(1, DEFECT_SEEDS).parallel().anyMatch(seed -> catches(planted, seed, defect)))
                .as("one history out of %d catches %s", DEFECT_SEEDS, defect)
                .isTrue();
    }

    private static boolean catches(RandomHistories planted, long seed, Defect defect) {
        try {
            planted.run(seed);
            return false;
        } catch (InvariantViolation violation) {
            return violation.invariant().equals(defect.caughtBy);
        }
    }
}
