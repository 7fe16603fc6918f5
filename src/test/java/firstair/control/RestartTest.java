package firstair.control;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.control.Controller.EarlierAttempt;
import firstair.control.Controller.ListUpdate;
import firstair.control.Controller.Listing;
import firstair.control.Controller.MessageClass;
import firstair.control.Controller.Result;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Messages that a relay resumes after a restart, with their earlier attempts. */
class RestartTest {
    private static final int RESUMED = 40; // messages, more than there are slots

    private static Bench relay(MessageClass messageClass) {
        return new Bench(Bench.settings(messageClass)).endpoints("1/0/a", "1/1/b");
    }

    @Test
    void anUnsafeMessageThatMayHaveRunIsGivenUpAtOnce() {
        Bench bench = relay(Bench.UNSAFE);
        long id = bench.resume(0, 9_000, new EarlierAttempt("1/0/a", 0, bench.now - 100, true));
        bench.decide();
        assertThat(bench.sent).isEmpty();
        assertThat(bench.givenUp).containsExactly(id);
    }

    @Test
    void anUnsafeMessageThatNeverRanIsSent() {
        Bench bench = relay(Bench.UNSAFE);
        bench.resume(0, 9_000, new EarlierAttempt("1/0/a", 0, bench.now - 100, false));
        bench.decide();
        assertThat(bench.sent).hasSize(1);
        assertThat(bench.sent.get(0).attempt()).isEqualTo(1);
    }

    /** The window runs from the first call that may have run, not from the restart. */
    @Test
    void aKeyedMessageIsSentAgainInsideItsWindowOnly() {
        Bench inside = relay(Bench.KEYED);
        inside.resume(
                0,
                9_000,
                new EarlierAttempt("1/0/a", 0, inside.now - 9_000, false),
                new EarlierAttempt("1/0/a", 0, inside.now - 1_000, true));
        inside.decide();
        assertThat(inside.sent).hasSize(1);

        Bench late = relay(Bench.KEYED);
        long id = late.resume(0, 9_000, new EarlierAttempt("1/0/a", 0, late.now - 4_900, true));
        late.decide();
        assertThat(late.sent).isEmpty();
        assertThat(late.givenUp).containsExactly(id);
    }

    @Test
    void aKeyedMessageStaysInTheZoneOfItsCall() {
        Bench bench = relay(Bench.KEYED_ZONE);
        bench.resume(0, 9_000, new EarlierAttempt("1/1/b", 1, bench.now - 500, true));
        bench.decide();
        assertThat(bench.sent).extracting(Bench.Sent::endpoint).containsExactly("1/1/b");
    }

    /** Guards against a second run in another zone: the endpoint of the call has left the list, its zone is stored. */
    @Test
    void aKeyedMessageWaitsForItsZoneThoughOnlyAnotherIsLeft() {
        Bench bench = new Bench(Bench.settings(Bench.KEYED_ZONE)).endpoints("1/1/b");
        bench.resume(0, 9_000, new EarlierAttempt("1/0/gone", 0, bench.now - 500, true));
        bench.run(1_000, Result.OK, 20);
        assertThat(bench.sent).isEmpty();
        assertThat(bench.givenUp).isEmpty();
        bench.control.list(bench.now, ListUpdate.CHANGES, List.of(Bench.entry("1/0/new", Listing.ACTIVE)));
        bench.run(1_000, Result.OK, 20);
        assertThat(bench.sent).extracting(Bench.Sent::endpoint).containsExactly("1/0/new");
    }

    /** Guards against a second run in another zone: listed endpoints do not tell the zone of one that has left. */
    @Test
    void aKeyedMessageWhoseZoneIsUnknownIsGivenUpThoughOnlyOneIsLeft() {
        Bench bench = new Bench(Bench.settings(Bench.KEYED_ZONE)).endpoints("1/1/b");
        long resumed = bench.resume(
                0, 9_000, new EarlierAttempt("1/0/gone", EarlierAttempt.UNKNOWN_ZONE, bench.now - 500, true));
        long ofDeadRelay = bench.accept(0, 1, "k2", 9_000, true);
        bench.decide();
        assertThat(bench.sent).isEmpty();
        assertThat(bench.givenUp).containsExactly(resumed, ofDeadRelay);
    }

    /** The zone of an endpoint that has left the list, which drops repeats of the key, is unknown. */
    @Test
    void aKeyedMessageWhoseZoneIsUnknownIsGivenUp() {
        Bench bench = relay(Bench.KEYED_ZONE);
        long id = bench.resume(
                0, 9_000, new EarlierAttempt("1/1/gone", EarlierAttempt.UNKNOWN_ZONE, bench.now - 500, true));
        bench.decide();
        assertThat(bench.sent).isEmpty();
        assertThat(bench.givenUp).containsExactly(id);
    }

    @Test
    void attemptsBeforeTheRestartCountAmongThosePermitted() {
        Bench bench = relay(Bench.SAFE);
        EarlierAttempt[] all = IntStream.range(0, 12)
                .mapToObj(i -> new EarlierAttempt("1/0/a", 0, bench.now - 100, false))
                .toArray(EarlierAttempt[]::new);
        long id = bench.resume(0, 9_000, all);
        bench.decide();
        assertThat(bench.sent).isEmpty();
        assertThat(bench.refused).containsExactly(id);
    }

    /**
     * Resumed messages are sent at once, as if the relay had not restarted. The first wait that it receives binds all
     * of them from its header line on, including those that wait for a connection.
     */
    @Test
    void aRestartedRelayKeepsTheFirstWaitThatItReceives() {
        Bench bench = relay(Bench.SAFE);
        for (int i = 0; i < RESUMED; i++) {
            bench.resume(0, 9_000, new EarlierAttempt("1/0/a", 0, bench.now - 100, false));
        }
        bench.decide();
        int atOnce = bench.sent.size();
        assertThat(atOnce).isBetween(2, RESUMED - 1);
        Bench.Sent first = bench.inFlight.get(0);
        Bench.Sent late = bench.inFlight.get(1);
        bench.control.waitReceived(bench.now, first.endpoint(), first.id(), first.attempt(), 700);
        assertThat(bench.control.timeoutAtWrite(bench.now, late.id(), late.attempt()))
                .as("its connection opens late")
                .isZero();
        bench.end(first, Result.FULL, 700);
        bench.run(690, Result.OK, 1_000);
        assertThat(bench.sent).hasSize(atOnce);
        bench.run(6_000, Result.OK, 10);
        assertThat(bench.sent.size()).isGreaterThan(atOnce);
    }

    @Test
    void backoffsGoOnGrowing() {
        Bench bench = relay(Bench.SAFE);
        bench.resume(
                0,
                9_000,
                new EarlierAttempt("1/0/a", 0, bench.now - 100, false),
                new EarlierAttempt("1/0/a", 0, bench.now - 100, false));
        bench.decide();
        bench.run(2_000, Result.ERROR, 5);
        assertThat(bench.sent.get(1).at() - bench.sent.get(0).at()).isGreaterThan(550);
    }

    @Test
    void messagesOutOfTimeEndInTheFirstRound() {
        Bench bench = relay(Bench.SAFE);
        long ran = bench.resume(0, -500, new EarlierAttempt("1/0/a", 0, bench.now - 900, true));
        long never = bench.resume(0, -500);
        bench.decide();
        assertThat(bench.givenUp).containsExactly(ran);
        assertThat(bench.refused).containsExactly(never);
    }

    /** The process died with the call in flight, which may still run: its key is paused as after a reset. */
    @Test
    void aCallInFlightAtTheRestartPausesItsKey() {
        MessageClass messageClass = new MessageClass(
                "c", Controller.Effect.UNSAFE, Controller.Scope.ALL, true, false, 2_000, 0, 10_000, 0, 1, 0.3);
        Bench bench = relay(messageClass);
        double returned = bench.now;
        long first = bench.resume(0, 9_000, new EarlierAttempt("1/0/a", 0, bench.now - 100, true));
        bench.resume(0, 9_000);
        bench.decide();
        assertThat(bench.givenUp).containsExactly(first);
        assertThat(bench.sent).isEmpty();
        bench.run(1_000, Result.OK, 10);
        assertThat(bench.sent).hasSize(1).allSatisfy(x -> assertThat(x.at() - returned)
                .isGreaterThanOrEqualTo(500));
    }
}
