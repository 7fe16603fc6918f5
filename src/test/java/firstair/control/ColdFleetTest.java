package firstair.control;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.control.ColdFleet.Outage;
import firstair.control.ColdFleet.Scenario;
import firstair.control.ColdFleet.Totals;
import java.util.List;
import java.util.Locale;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * What all relays together send to a destination that has returned, against what the settings permit: N calls in
 * the window that they name, and 2 x root of N + 2 for chance. Results are printed in parts of that bound; a run is
 * over the budget if more than the bound arrived, over two thirds of it from relays that saw the outage.
 */
class ColdFleetTest {
    private static final double[] LIMITS = {0.8, 4, 15, 60}; // calls a second
    private static final int SEEDS = Integer.getInteger("firstair.seeds", 10);

    /** Chance remains: of a thousand runs so many may be over it. Before it was fixed, 5, 117, 146 and 320 were. */
    @ParameterizedTest
    @CsvSource({"5,2", "20,10", "30,30", "100,60"})
    void theSumOverTheFleetStaysWithinTheBudget(int relays, int perThousand) {
        assertThat(runsOverBudget(relays))
                .as("runs over the budget, of %d, seeds 1 to %d", runs(), SEEDS)
                .isLessThanOrEqualTo(runs() * perThousand / 1_000);
    }

    /**
     * The strict reading of rows R14, R26 and B16: the budget binds on every day, however many relays there are; one
     * return in a thousand may exceed it. That needs another design of slow start, which is an issue of its own.
     */
    @ParameterizedTest
    @ValueSource(ints = {5, 20, 30, 100})
    void theBudgetBindsHoweverManyRelaysThereAre(int relays) {
        assertThat(runsOverBudget(relays))
                .as("runs over the budget, of %d, seeds 1 to %d", runs(), SEEDS)
                .isLessThanOrEqualTo(runs() / 1_000);
    }

    private static int runs() {
        return LIMITS.length * 2 * Outage.values().length * SEEDS;
    }

    private static int runsOverBudget(int relays) {
        int count = 0;
        for (double limit : LIMITS) {
            for (boolean skewed : new boolean[] {false, true}) {
                for (Outage outage : Outage.values()) {
                    count += runsOverBudget(new Scenario(relays, limit, 1, skewed, outage, 8_000, 1, 0));
                }
            }
        }
        return count;
    }

    private static int runsOverBudget(Scenario scenario) {
        List<Totals> totals = LongStream.rangeClosed(1, SEEDS)
                .parallel()
                .mapToObj(seed -> ColdFleet.simulate(scenario, seed))
                .toList();
        int count = (int) totals.stream().filter(Totals::overBudget).count();
        double[] worst = totals.stream().mapToDouble(Totals::worst).sorted().toArray();
        double[] notified =
                totals.stream().mapToDouble(Totals::notified).sorted().toArray();
        System.out.printf(
                Locale.ROOT,
                "%3d relays, limit %4.1f, %-6s %-9s all %.2f %.2f %.2f notified %.2f %.2f %.2f"
                        + " (median, 9 in 10, most), over budget %d of %d, delivered %.3f%n",
                scenario.relays(),
                scenario.limit(),
                scenario.skewed() ? "skewed" : "even",
                scenario.outage(),
                quantile(worst, 0.5),
                quantile(worst, 0.9),
                quantile(worst, 1),
                quantile(notified, 0.5),
                quantile(notified, 0.9),
                quantile(notified, 1),
                count,
                SEEDS,
                totals.stream().mapToDouble(Totals::delivered).average().orElse(0));
        return count;
    }

    private static double quantile(double[] sorted, double share) {
        return sorted[(int) Math.min(sorted.length - 1, share * sorted.length)];
    }
}
