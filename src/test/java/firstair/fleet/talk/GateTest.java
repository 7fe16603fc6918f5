package firstair.fleet.talk;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import firstair.fleet.Setup;
import firstair.fleet.fault.Fault;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class GateTest {
    private static final List<String> ALL = List.of("a", "b", "c");
    private final EnvelopeFilter gate =
            new EnvelopeFilter(new Setup("f", "b", "z", ALL, ALL, 1000, 8000, 500, 0.01, 0.5), 50);

    private static Envelope from(String from, long incarnation, String to, long toIncarnation) {
        return new Envelope(
                "f", Envelope.VERSION, from, incarnation, to, toIncarnation, List.of(new Note.LoanReturn(incarnation)));
    }

    private void stopped(Envelope e, Class<? extends Fault> by) {
        assertThatThrownBy(() -> gate.accept(e)).isInstanceOf(by);
    }

    @Test
    void onlyTheNewestProcessOfAnotherMemberPassesAndOnlyToUs() {
        assertThat(gate.accept(from("a", 7, "b", 0))).containsExactly(new Note.LoanReturn(7));
        assertThat(gate.accept(from("a", 7, "b", 50))).hasSize(1);
        stopped(new Envelope("g", Envelope.VERSION, "a", 7, "b", 50, List.of()), Fault.OtherFleet.class);
        stopped(new Envelope("f", 2, "a", 7, "b", 50, List.of()), Fault.OtherVersion.class);
        stopped(from("x", 7, "b", 50), Fault.Stranger.class);
        stopped(from("a", 7, "c", 50), Fault.NotForUs.class);
        stopped(from("a", 7, "b", 49), Fault.NotForUs.class);
        assertThat(gate.accept(from("a", 8, "b", 50))).hasSize(1);
        stopped(from("a", 7, "b", 50), Fault.OldIncarnation.class);
        assertThat(gate.counts()).isEqualTo(Map.of("F101", 1L, "F103", 1L, "F106", 1L, "F108", 2L, "F104", 1L));
    }

    @Test
    void anotherProcessOfOurNameIsToldFromOurOwnEcho() {
        stopped(from("b", 50, "b", 50), Fault.Echo.class);
        stopped(from("b", 49, "b", 0), Fault.OldIncarnation.class);
        stopped(from("b", 51, "b", 0), Fault.NameTaken.class);
        stopped(from("a", 7, "b", 51), Fault.NameTaken.class); // the sender knows of one that followed us
    }

    @Test
    void whatDoesNotPassDoesNotCountAsSeen() {
        stopped(from("a", 1000, "b", 49), Fault.NotForUs.class);
        stopped(new Envelope("g", Envelope.VERSION, "a", 1000, "b", 50, List.of()), Fault.OtherFleet.class);
        assertThat(gate.seen("a")).isZero();
        assertThat(gate.accept(from("a", 7, "b", 50))).hasSize(1);
        assertThat(gate.seen("a")).isEqualTo(7);
        gate.dropped(new Fault.Unreadable("x"));
        assertThat(gate.counts()).containsEntry("F102", 1L);
    }
}
