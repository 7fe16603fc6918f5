package firstair.control;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.control.Controller.Result;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Up to 0.15 s pass between reading the clock and the write: repeats still arrive in their window (R9, M34). */
class WindowMarginTest {
    private static final double WINDOW_MS = 5000; // of Bench.KEYED
    private static final double WRITE_DELAY_MS = 150;

    /** A relay that knows calls to take 10 ms, with a keyed message that may have run. */
    private static Bench inDoubt() {
        Bench bench = new Bench(Bench.settings(Bench.KEYED)).endpoints("1/0/a");
        for (int i = 0; i < 60; i++) {
            bench.accept(0, 1);
            bench.run(400, Result.OK, 10);
        }
        bench.sent.clear();
        bench.accept(0, 1);
        bench.decide();
        bench.now += 10;
        bench.end(bench.sent.get(0), Result.RESET, 0);
        return bench;
    }

    @Test
    void noRepeatIsSentWhereADelayCouldTakeItOutOfItsWindow() {
        Bench bench = inDoubt();
        double first = bench.sent.get(0).at();
        bench.run(WINDOW_MS + 500, Result.FULL, 10);
        assertThat(bench.sent).hasSizeGreaterThan(2);
        assertThat(bench.sent)
                .allSatisfy(s -> assertThat(s.at() - first).isLessThanOrEqualTo(WINDOW_MS - WRITE_DELAY_MS));
    }

    /** The same where the connection opens late. */
    @ParameterizedTest
    @ValueSource(doubles = {4851, 4900, 4990})
    void noRepeatIsWrittenTooLateThatWasDecidedInTime(double at) {
        Bench bench = inDoubt();
        double first = bench.sent.get(0).at();
        while (bench.sent.size() < 2) {
            bench.now += 5;
            bench.control.timer(bench.now);
            bench.decide();
        }
        bench.now = first + at;
        assertThat(bench.connected(bench.sent.get(1))).isFalse();
    }
}
