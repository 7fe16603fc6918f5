package firstair.control;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.control.Controller.Result;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A relay may be held up for 0.15 s between its clock and its write: repeats arrive inside their window (R9, M34). */
class WindowMarginTest {
    private static final double WINDOW_MS = 5000; // of Bench.KEYED
    private static final double HELD_UP_MS = 150;

    /** A relay that knows calls to take 10 ms, with a keyed message that may have run. */
    private static Bench inDoubt() {
        Bench b = new Bench(Bench.settings(Bench.KEYED)).endpoints("1/0/a");
        for (int i = 0; i < 60; i++) {
            b.take(0, 1);
            b.run(400, Result.OK, 10);
        }
        b.sent.clear();
        b.take(0, 1);
        b.decide();
        b.now += 10;
        b.end(b.sent.get(0), Result.RESET, 0);
        return b;
    }

    @Test
    void noRepeatIsDecidedWhereAPauseWouldTakeItOutOfItsWindow() {
        Bench b = inDoubt();
        double first = b.sent.get(0).at();
        b.run(WINDOW_MS + 500, Result.FULL, 10);
        assertThat(b.sent).hasSizeGreaterThan(2);
        assertThat(b.sent).allSatisfy(s -> assertThat(s.at() - first).isLessThanOrEqualTo(WINDOW_MS - HELD_UP_MS));
    }

    /** The same for one whose connection comes up late. */
    @ParameterizedTest
    @ValueSource(doubles = {4851, 4900, 4990})
    void noRepeatIsWrittenThereThatWasDecidedInTime(double at) {
        Bench b = inDoubt();
        double first = b.sent.get(0).at();
        while (b.sent.size() < 2) {
            b.now += 5;
            b.control.timer(b.now);
            b.decide();
        }
        b.now = first + at;
        assertThat(b.up(b.sent.get(1))).isFalse();
    }
}
