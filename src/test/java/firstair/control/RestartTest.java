package firstair.control;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.control.Controller.MessageClass;
import firstair.control.Controller.Result;
import firstair.control.Controller.Try;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Messages that a relay takes up again after a restart, with what it had tried for them. */
class RestartTest {
    private static Bench relay(MessageClass c) {
        return new Bench(Bench.settings(c)).endpoints("1/0/a", "1/1/b");
    }

    @Test
    void anUnsafeMessageThatMayHaveRunIsGivenUpAtOnce() {
        Bench b = relay(Bench.UNSAFE);
        long id = b.resume(0, 9_000, new Try("1/0/a", b.now - 100, true));
        b.decide();
        assertThat(b.sent).isEmpty();
        assertThat(b.givenUp).containsExactly(id);
    }

    @Test
    void anUnsafeMessageThatNeverRanIsSent() {
        Bench b = relay(Bench.UNSAFE);
        b.resume(0, 9_000, new Try("1/0/a", b.now - 100, false));
        b.decide();
        assertThat(b.sent).hasSize(1);
        assertThat(b.sent.get(0).attempt()).isEqualTo(1);
    }

    /** The window runs from the first call that may have run, not from the restart. */
    @Test
    void aKeyedMessageIsSentAgainInsideItsWindowOnly() {
        Bench inside = relay(Bench.KEYED);
        inside.resume(
                0, 9_000, new Try("1/0/a", inside.now - 9_000, false), new Try("1/0/a", inside.now - 1_000, true));
        inside.decide();
        assertThat(inside.sent).hasSize(1);

        Bench late = relay(Bench.KEYED);
        long id = late.resume(0, 9_000, new Try("1/0/a", late.now - 4_900, true));
        late.decide();
        assertThat(late.sent).isEmpty();
        assertThat(late.givenUp).containsExactly(id);
    }

    @Test
    void aKeyedMessageStaysInTheZoneOfItsCall() {
        Bench b = relay(Bench.KEYED_ZONE);
        b.resume(0, 9_000, new Try("1/1/b", b.now - 500, true));
        b.decide();
        assertThat(b.sent).extracting(Bench.Sent::endpoint).containsExactly("1/1/b");
    }

    /** Whether an endpoint that has left the list dropped repeats for this zone or another, nobody knows. */
    @Test
    void aKeyedMessageWhoseZoneIsUnknownIsGivenUp() {
        Bench b = relay(Bench.KEYED_ZONE);
        long id = b.resume(0, 9_000, new Try("1/1/gone", b.now - 500, true));
        b.decide();
        assertThat(b.sent).isEmpty();
        assertThat(b.givenUp).containsExactly(id);
    }

    @Test
    void triesBeforeTheRestartCountAmongThoseAllowed() {
        Bench b = relay(Bench.SAFE);
        Try[] all = IntStream.range(0, 12)
                .mapToObj(i -> new Try("1/0/a", b.now - 100, false))
                .toArray(Try[]::new);
        long id = b.resume(0, 9_000, all);
        b.decide();
        assertThat(b.sent).isEmpty();
        assertThat(b.refused).containsExactly(id);
    }

    /** A wait told before is forgotten: the first call to a destination asks, and the rest heeds what it hears. */
    @Test
    void aRelayThatReturnsAsksWithOneCallFirst() {
        Bench b = relay(Bench.SAFE);
        for (int i = 0; i < 3; i++) {
            b.resume(0, 9_000, new Try("1/0/a", b.now - 100, false));
        }
        b.run(80, Result.OK, 1_000);
        assertThat(b.sent).hasSize(1);
        b.end(b.out.get(0), Result.FULL, 700);
        b.run(690, Result.OK, 10);
        assertThat(b.sent).hasSize(1);

        Bench open = relay(Bench.SAFE);
        for (int i = 0; i < 3; i++) {
            open.resume(0, 9_000, new Try("1/0/a", open.now - 100, false));
        }
        open.decide();
        open.end(open.out.get(0), Result.OK, 0);
        open.decide();
        assertThat(open.sent).hasSize(3);

        Bench fresh = relay(Bench.SAFE); // nothing was held: nothing comes at once
        for (int i = 0; i < 3; i++) {
            fresh.take(0, 1);
        }
        fresh.decide();
        assertThat(fresh.sent).hasSize(3);
    }

    @Test
    void pausesGoOnGrowing() {
        Bench b = relay(Bench.SAFE);
        b.resume(0, 9_000, new Try("1/0/a", b.now - 100, false), new Try("1/0/a", b.now - 100, false));
        b.decide();
        b.run(2_000, Result.ERROR, 5);
        assertThat(b.sent.get(1).at() - b.sent.get(0).at()).isGreaterThan(550);
    }

    @Test
    void whatIsOutOfTimeEndsInTheFirstRound() {
        Bench b = relay(Bench.SAFE);
        long ran = b.resume(0, -500, new Try("1/0/a", b.now - 900, true));
        long never = b.resume(0, -500);
        b.decide();
        assertThat(b.givenUp).containsExactly(ran);
        assertThat(b.refused).containsExactly(never);
    }

    /** Its process died with the call out, which may still run: later messages of its key rest as behind a reset. */
    @Test
    void aCallThatWasOutRestsItsKey() {
        MessageClass c = new MessageClass(
                "c", Controller.Effect.UNSAFE, Controller.Scope.ALL, true, false, 2_000, 0, 10_000, 0, 1, 0.3);
        Bench b = relay(c);
        double returned = b.now;
        long first = b.resume(0, 9_000, new Try("1/0/a", b.now - 100, true));
        b.resume(0, 9_000);
        b.decide();
        assertThat(b.givenUp).containsExactly(first);
        assertThat(b.sent).isEmpty();
        b.run(1_000, Result.OK, 10);
        assertThat(b.sent).hasSize(1).allSatisfy(x -> assertThat(x.at() - returned)
                .isGreaterThanOrEqualTo(500));
    }
}
