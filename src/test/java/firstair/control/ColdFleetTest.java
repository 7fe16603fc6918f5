package firstair.control;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.control.ColdFleet.Fall;
import firstair.control.ColdFleet.Played;
import firstair.control.ColdFleet.Shape;
import java.util.List;
import java.util.Locale;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The sum of what all relays send to a destination that has come back, against what the settings allow: N calls in
 * the time that they name, and 2 x root of N + 2 for chance. Printed in parts of that bound; a play breaks the rule
 * if more than the bound came and over two thirds of it from relays that were told of the outage.
 */
class ColdFleetTest {
    private static final double[] LIMITS = {0.8, 4, 15, 60}; // calls a second
    private static final int SEEDS = Integer.getInteger("firstair.seeds", 10);

    /** Chance is left: of a thousand plays so many may break it. Before the mends 5, 117, 146 and 320 did. */
    @ParameterizedTest
    @CsvSource({"5,2", "20,10", "30,30", "100,60"})
    void theSumOverTheFleetStaysWithinTheBudget(int relays, int perThousand) {
        assertThat(breaks(relays))
                .as("broken of %d plays, seeds 1 to %d", plays(), SEEDS)
                .isLessThanOrEqualTo(plays() * perThousand / 1_000);
    }

    /**
     * The strict reading of rows R14, R26 and B16: the budget binds on every day, however many relays there are; a
     * return in a thousand may go over it. It needs slow start to be decided anew, which is an issue of its own.
     */
    @ParameterizedTest
    @ValueSource(ints = {5, 20, 30, 100})
    void theBudgetBindsHoweverManyRelaysThereAre(int relays) {
        assertThat(breaks(relays))
                .as("broken of %d plays, seeds 1 to %d", plays(), SEEDS)
                .isLessThanOrEqualTo(plays() / 1_000);
    }

    private static int plays() {
        return LIMITS.length * 2 * Fall.values().length * SEEDS;
    }

    private static int breaks(int relays) {
        int breaks = 0;
        for (double limit : LIMITS) {
            for (boolean skewed : new boolean[] {false, true}) {
                for (Fall fall : Fall.values()) {
                    breaks += play(new Shape(relays, limit, 1, skewed, fall, 8_000, 1, 0));
                }
            }
        }
        return breaks;
    }

    private static int play(Shape shape) {
        List<Played> all = LongStream.rangeClosed(1, SEEDS)
                .parallel()
                .mapToObj(s -> ColdFleet.play(shape, s))
                .toList();
        int breaks = (int) all.stream().filter(Played::broken).count();
        double[] worst = all.stream().mapToDouble(Played::worst).sorted().toArray();
        double[] told = all.stream().mapToDouble(Played::told).sorted().toArray();
        System.out.printf(
                Locale.ROOT,
                "%3d relays, limit %4.1f, %-6s %-9s all %.2f %.2f %.2f told %.2f %.2f %.2f"
                        + " (median, 9 in 10, most), broken %d of %d, delivered %.3f%n",
                shape.relays(),
                shape.limit(),
                shape.skewed() ? "skewed" : "even",
                shape.fall(),
                at(worst, 0.5),
                at(worst, 0.9),
                at(worst, 1),
                at(told, 0.5),
                at(told, 0.9),
                at(told, 1),
                breaks,
                SEEDS,
                all.stream().mapToDouble(Played::delivered).average().orElse(0));
        return breaks;
    }

    private static double at(double[] sorted, double share) {
        return sorted[(int) Math.min(sorted.length - 1, share * sorted.length)];
    }
}
