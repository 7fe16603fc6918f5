package firstair.control;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.control.Controller.Effect;
import firstair.control.Controller.Message;
import firstair.control.Controller.MessageClass;
import firstair.control.Controller.Scope;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A message that its client hands in again after a refusal: no relay refuses what may have run (row P8). */
class HandedInAgainTest {
    private static final double DEADLINE_MS = 10_000;

    /** It was first handed in 4 s ago, longer than the shortest window; it has no history and goes at once. */
    @ParameterizedTest
    @CsvSource({"KEYED, ALL, 1000", "KEYED, ZONE, 1000", "KEYED, ALL, 5000", "SAFE, ALL, 0", "UNSAFE, ALL, 0"})
    void whatWasRefusedHasNotRun(Effect effect, Scope scope, double window) {
        MessageClass c = Bench.messageClass(effect, scope, false, DEADLINE_MS, window);
        Bench b = new Bench(Bench.settings(c)).endpoints("1/0/a", "1/1/b");
        b.control.taken(b.now, new Message(1, 0, 1, "k", b.now + DEADLINE_MS - 4000, 0, true, false, List.of()));
        b.decide();
        assertThat(b.givenUp).isEmpty();
        assertThat(b.sent).hasSize(1);
    }
}
