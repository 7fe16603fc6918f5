package firstair.control;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.control.Bench.Sent;
import firstair.control.Controller.BookedCapacity;
import firstair.control.Controller.Load;
import firstair.control.Controller.Result;
import firstair.control.Controller.Share;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Information from other relays of the fleet makes the decisions only more careful. */
class SharedTest {
    private static final double INFINITE = Double.POSITIVE_INFINITY;

    /** A relay that has learned a limit of 20 calls a second, with more to send than that. */
    private static Bench busy(Share share) {
        Bench bench = new Bench(Bench.settings(Bench.SAFE)).endpoints("1/0/a");
        bench.control.share(bench.now, 1, share);
        bench.accept(0, 1);
        bench.decide();
        bench.now += 5;
        bench.end(bench.inFlight.get(0), Result.OK, 0, new Load(0.5, 20));
        bench.sent.clear();
        return bench;
    }

    private static int sentIn(Bench bench, double ms) {
        bench.sent.clear();
        for (double end = bench.now + ms; bench.now < end; ) {
            bench.accept(0, 1); // 200 a second, far more than may be sent
            bench.run(5, Result.OK, 20);
        }
        return bench.sent.size();
    }

    @Test
    void noMoreIsSentThanThePartOfTheLimitAndAfterwardsTheGuaranteedPart() {
        Bench bench = busy(new Share(0.5, 6_000, 0.1, Integer.MAX_VALUE));
        int first = sentIn(bench, 4_000);
        assertThat(first).as("10 a second for 4 s").isBetween(30, 45);
        bench.run(6_000 - bench.now, Result.OK, 20);
        int then = sentIn(bench, 4_000);
        assertThat(then).as("2 a second for 4 s").isBetween(6, 10);
    }

    @Test
    void aLargerPartCountsAtOnce() {
        Bench bench = busy(new Share(0.1, INFINITE, 0.1, Integer.MAX_VALUE));
        sentIn(bench, 1_000);
        bench.control.share(bench.now, 1, new Share(0.9, INFINITE, 0.1, Integer.MAX_VALUE));
        assertThat(sentIn(bench, 2_000)).as("18 a second for 2 s").isBetween(30, 40);
    }

    @Test
    void theDefaultShareHoldsForADestinationListedLater() {
        Bench bench = new Bench(Bench.settings(Bench.SAFE));
        bench.control.share(bench.now, -1, new Share(1, INFINITE, 1, 0));
        bench.endpoints("1/0/a");
        bench.accept(0, 1);
        bench.decide();
        bench.end(bench.inFlight.get(0), Result.RESET, 0);
        bench.run(3_000, Result.OK, 20);
        assertThat(bench.sent).as("no repeat is left").hasSize(1);
    }

    @Test
    void repeatsAreSentOnlyAsFarAsTheFleetGrantsThem() {
        Bench bench = new Bench(Bench.settings(Bench.SAFE)).endpoints("1/0/a");
        bench.control.share(bench.now, 1, new Share(1, INFINITE, 1, 1));
        bench.accept(0, 1);
        bench.accept(0, 1);
        bench.decide();
        bench.endAll(Result.RESET, 0);
        bench.run(3_000, Result.OK, 20);
        assertThat(bench.sent).hasSize(3);
        bench.control.share(bench.now, 1, new Share(1, INFINITE, 1, 1));
        bench.run(1_000, Result.OK, 20);
        assertThat(bench.sent).hasSize(4);
    }

    @Test
    void aWaitOfAnotherRelayBindsAndShortensNone() {
        Bench bench = new Bench(Bench.settings(Bench.SAFE)).endpoints("1/0/a");
        bench.control.peerWarning(bench.now, "1/0/a", bench.now + 2_000, Double.NEGATIVE_INFINITY);
        bench.control.peerWarning(bench.now, "1/0/a", bench.now + 500, Double.NEGATIVE_INFINITY);
        bench.accept(0, 1);
        bench.run(1_900, Result.OK, 20);
        assertThat(bench.sent).isEmpty();
        bench.run(200, Result.OK, 20);
        assertThat(bench.sent).hasSize(1);
    }

    @Test
    void anEndpointThatOthersConsiderUnhealthyIsCalledOnlyIfNoOtherIsLeft() {
        Bench bench = new Bench(Bench.settings(Bench.SAFE)).endpoints("1/0/a", "1/0/b");
        bench.control.peerWarning(bench.now, "1/0/a", Double.NEGATIVE_INFINITY, bench.now + 1_000);
        for (int i = 0; i < 6; i++) {
            bench.accept(0, 1);
            bench.decide();
        }
        assertThat(bench.sent).extracting(Sent::endpoint).containsOnly("1/0/b");
        Bench alone = new Bench(Bench.settings(Bench.SAFE)).endpoints("1/0/a");
        alone.control.peerWarning(alone.now, "1/0/a", Double.NEGATIVE_INFINITY, alone.now + 1_000);
        alone.accept(0, 1);
        alone.decide();
        assertThat(alone.sent).hasSize(1);
    }

    @Test
    void aMessageIsSentOnlyToItsZonesAndWaitsWhileTheyHaveNoEndpoint() {
        Bench bench = new Bench(Bench.settings(Bench.SAFE)).endpoints("1/0/a", "1/1/b");
        long id = bench.accept(0, 1);
        bench.control.restrict(bench.now, id, Set.of(1), null);
        bench.decide();
        assertThat(bench.sent).extracting(Sent::endpoint).containsExactly("1/1/b");
        bench.endAll(Result.RESET, 0);
        bench.endpoints("1/0/a");
        bench.run(4_000, Result.OK, 20);
        assertThat(bench.sent).as("none to other zones").hasSize(1);
        assertThat(bench.givenUp).isEmpty();
        bench.run(6_000, Result.OK, 20);
        assertThat(bench.givenUp).as("in doubt, at the end of its time").containsExactly(id);
    }

    @Test
    void aKeyedMessageInDoubtInAZoneNoLongerPermittedIsGivenUpAtOnce() {
        Bench bench = new Bench(Bench.settings(Bench.KEYED_ZONE, Bench.KEYED)).endpoints("1/0/a", "1/1/b");
        long zoned = bench.accept(0, 1, "k", 9_000, false);
        long all = bench.accept(1, 1, "l", 9_000, false);
        bench.control.restrict(bench.now, zoned, Set.of(0), null);
        bench.control.restrict(bench.now, all, Set.of(0), null);
        bench.decide();
        bench.endAll(Result.RESET, 0);
        bench.control.restrict(bench.now, zoned, Set.of(1), null);
        bench.control.restrict(bench.now, all, Set.of(1), null);
        bench.decide();
        assertThat(bench.givenUp).containsExactly(zoned);
        bench.run(1_000, Result.OK, 20);
        assertThat(bench.sent.get(bench.sent.size() - 1).endpoint())
                .as("its key counts in all zones")
                .isEqualTo("1/1/b");
    }

    @Test
    void bookedCallsFollowTheirBookingAndNotTheRate() {
        Bench bench = busy(new Share(0, INFINITE, 0, Integer.MAX_VALUE));
        double[] next = {bench.now + 300};
        BookedCapacity booked = new BookedCapacity() {
            @Override
            public double nextCallAt(double now) {
                return Math.max(now, next[0]);
            }

            @Override
            public void callSent(double now) {
                next[0] = now + 300;
            }
        };
        bench.run(100, Result.OK, 20); // uses up the tokens that were left
        List<Long> ids = List.of(bench.accept(0, 1), bench.accept(0, 1), bench.accept(0, 1));
        ids.forEach(id -> bench.control.restrict(bench.now, id, null, booked));
        bench.sent.clear();
        bench.run(1_100, Result.OK, 20);
        assertThat(bench.sent).extracting(Sent::id).containsExactlyElementsOf(ids);
        assertThat(bench.sent.get(2).at() - bench.sent.get(0).at()).isBetween(600.0, 620.0);
    }
}
