package firstair.control;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.control.Controller.Effect;
import firstair.control.Controller.Message;
import firstair.control.Controller.MessageClass;
import firstair.control.Controller.Scope;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A message that its client submits again after a refusal: no relay refuses what may have run (row P8). */
class HandedInAgainTest {
    private static final double DEADLINE_MS = 10_000;

    /** First submitted 4 s ago, longer than the shortest window; it has no history and is sent at once. */
    @ParameterizedTest
    @CsvSource({"KEYED, ALL, 1000", "KEYED, ZONE, 1000", "KEYED, ALL, 5000", "SAFE, ALL, 0", "UNSAFE, ALL, 0"})
    void aRefusedMessageHasNotRun(Effect effect, Scope scope, double windowMs) {
        MessageClass messageClass = Bench.messageClass(effect, scope, false, DEADLINE_MS, windowMs);
        Bench bench = new Bench(Bench.settings(messageClass)).endpoints("1/0/a", "1/1/b");
        bench.control.accepted(
                bench.now, new Message(1, 0, 1, "k", bench.now + DEADLINE_MS - 4000, 0, true, false, List.of()));
        bench.decide();
        assertThat(bench.givenUp).isEmpty();
        assertThat(bench.sent).hasSize(1);
    }
}
