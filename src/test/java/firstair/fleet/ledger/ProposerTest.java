package firstair.fleet.ledger;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import firstair.fleet.Outbox;
import firstair.fleet.Setup;
import firstair.fleet.fault.Fault;
import firstair.fleet.talk.Note;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class ProposerTest {
    private static final List<String> VOTERS = List.of("a", "b", "c");
    private final List<String> recipients = new ArrayList<>();
    private final List<Outcome> outcomes = new ArrayList<>();
    private final Proposer proposer = new Proposer(
            new Setup("f", "d", "z", List.of("a", "b", "c", "d"), VOTERS, 500, 3000, 1000, 0.01, 0.5),
            1,
            new Outbox() {
                @Override
                public void send(String to, Note note) {
                    recipients.add(to);
                }

                @Override
                public void report(String text) {}
            },
            new Random(5));

    @Test
    void anOperationThatIsTooLargeIsRejectedWithoutSendingIt() {
        assertThatThrownBy(() -> proposer.propose(0, new byte[1 << 20], outcomes::add))
                .isInstanceOf(Fault.TooLarge.class);
        assertThat(recipients).isEmpty();
        assertThat(outcomes).isEmpty();
    }

    @Test
    void everyVoterIsTriedBeforeTheOutcomeIsNotNow() {
        proposer.propose(0, new byte[] {1}, outcomes::add);
        for (double now = proposer.wakeAt(); now < 20_000; now = proposer.wakeAt()) {
            proposer.timer(now);
        }
        assertThat(recipients).containsAll(VOTERS);
        assertThat(outcomes).singleElement().isInstanceOf(Outcome.NotNow.class);
    }
}
