package firstair.control;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.control.Bench.Sent;
import firstair.control.Controller.Entry;
import firstair.control.Controller.ListUpdate;
import firstair.control.Controller.Listing;
import firstair.control.Controller.Load;
import firstair.control.Controller.Message;
import firstair.control.Controller.Result;
import firstair.control.Controller.Settings;
import firstair.control.Controller.Weight;
import firstair.settings.Fields;
import firstair.settings.SettingsReader;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** One of many relays: what it may conclude from few calls, with and without reports of limits. */
class CrowdTest {

    /** A relay whose first call was rejected. */
    private static Bench withRejectedCall(int relays, boolean limitsTold, double rate, double leftMs) {
        Settings settings = Bench.inGroup(relays, Bench.SAFE);
        Bench bench = new Bench(new Settings(
                settings.group(),
                0,
                0,
                false,
                Weight.NOMINAL,
                limitsTold,
                settings.late(),
                settings.classes(),
                settings.kinds(),
                settings.limits(),
                settings.rules()));
        bench.control.list(bench.now, ListUpdate.COMPLETE, List.of(new Entry("1/0/a", 1, 0, 0, rate, Listing.ACTIVE)));
        bench.accept(0, 1, null, leftMs, false);
        bench.decide();
        bench.end(bench.inFlight.get(0), Result.FULL, 0, limitsTold ? new Load(0.1, rate) : Load.NONE);
        bench.decide();
        return bench;
    }

    /** A refusal proves that nothing ran; the death of a relay does not. */
    @ParameterizedTest
    @CsvSource({"true,false,1", "false,true,0", "true,true,0"})
    void anUnsafeMessageIsSentAgainAfterARefusalAlone(boolean again, boolean fromDead, int sent) {
        Bench bench = new Bench(Bench.settings(Bench.UNSAFE)).endpoints("1/0/a");
        bench.control.accepted(bench.now, new Message(1, 0, 1, null, bench.now + 9_000, 0, again, fromDead, List.of()));
        bench.decide();
        assertThat(bench.sent.size() - bench.givenUp.size()).isEqualTo(2 * sent - 1);
    }

    /** So many calls on idle connections get no answer, or a shared call of as many messages is reset. */
    @ParameterizedTest
    @CsvSource({"0,0,1,false", "2,0,1,false", "3,0,1,true", "0,1,1,false", "1,1,1,true", "1,0,5,false"})
    void idleConnectionsAreNotReusedOnceManyWereDead(
            int deadConnections, int messageClass, int messagesPerCall, boolean closed) {
        Bench bench = new Bench(
                        Bench.settings(new Controller.Kind(false, messagesPerCall), 16, Bench.SAFE, Bench.UNSAFE))
                .endpoints("1/0/a", "2/0/b", "3/0/c", "4/0/d", "5/0/e");
        List.of(1, 2, 3, 4, 5).forEach(d -> bench.accept(0, d));
        bench.run(3_000, Result.OK, 50);
        for (int i = 0; i < deadConnections * messagesPerCall; i++) {
            bench.accept(0, 1 + i / messagesPerCall);
        }
        bench.decide();
        if (messagesPerCall > 1) {
            bench.endAll(Result.RESET, 0);
        }
        bench.silence(2_500);
        bench.accept(messageClass, 5);
        bench.decide();
        assertThat(bench.closed.contains("5/0/e")).isEqualTo(closed);
    }

    /** The relay's own rate is no reason to refuse early a message that never ran: it may rise sooner. */
    @Test
    void aMessageThatTheRateDelaysTooLongIsRefusedAfterSevenTenthsOfItsTimeWithARetryTime() {
        Bench bench = withRejectedCall(50, false, 10, 5_000);
        bench.silence(3_400);
        assertThat(bench.refused).isEmpty();
        bench.silence(200);
        assertThat(bench.refusedAfter).hasSize(1).allMatch(ms -> ms >= 1_000 && ms <= 3_000);
        assertThat(bench.sent).hasSize(1);
    }

    @Test
    void aMessageThatTheRateDelaysTooLongIsSentWhereABookingPermitsItSooner() {
        Bench bench = withRejectedCall(50, false, 10, 5_000);
        bench.silence(1_500);
        bench.control.restrict(bench.now, bench.sent.get(0).id(), null, new Controller.BookedCapacity() {
            @Override
            public double nextCallAt(double now) {
                return now;
            }

            @Override
            public void callSent(double now) {}
        });
        bench.silence(5);
        assertThat(bench.sent).hasSize(2);
        assertThat(bench.refused).isEmpty();
    }

    /** One call in seven seconds of each of 500 relays would be 70 a second at a limit of 20. */
    @ParameterizedTest
    @CsvSource({"true", "false"})
    void theCutRateOfManyRelaysIsLowerThanThatOfFew(boolean limitsTold) {
        Bench bench = withRejectedCall(500, limitsTold, 20, 10_000);
        bench.run(9_900, Result.FULL, 20);
        assertThat(bench.sent.stream().skip(1))
                .allMatch(s -> s.at() > bench.sent.get(0).at() + 6_500);
    }

    /** It answered, so it is no outage: the message is sent again after its own backoff, and idle connections close. */
    @Test
    void anEndpointAtItsConnectionLimitIsNotDownAndIdleConnectionsAreClosed() {
        Bench bench = new Bench(Bench.inGroup(100, Bench.UNSAFE)).endpoints("1/0/a", "2/0/b");
        for (int i = 0; i < 3; i++) {
            bench.accept(0, 1);
            bench.run(400, Result.CROWDED, 20);
        }
        assertThat(bench.sent).hasSizeGreaterThan(3);
        assertThat(bench.reports).isEmpty();
        bench.accept(0, 2);
        bench.run(300, Result.OK, 20);
        assertThat(bench.closed).contains("2/0/b");
        bench.run(30_000, Result.CROWDED, 20);
        bench.accept(0, 1);
        bench.run(9_000, Result.CROWDED, 20);
        assertThat(bench.reports).anyMatch(r -> r.contains("sick")); // an outage after all
    }

    @Test
    void underOverloadNewMessagesAreSentBeforeLateOnes() {
        Bench bench = withRejectedCall(50, false, 10, 9_000);
        bench.run(6_000, Result.OK, 20);
        long newMessage = bench.accept(0, 1);
        bench.run(3_000, Result.OK, 20);
        assertThat(bench.sent.stream().skip(1).map(Sent::id)).first().isEqualTo(newMessage);
    }

    @ParameterizedTest
    @CsvSource({"x,x,true", "how,answers,true", "names,avg_ms,false", "how,probe,false", "how,none,false"})
    void limitsAreReportedWhereAnswersNameThem(String key, String value, boolean reported) {
        assertThat(SettingsReader.read(new Fields() {
                            @Override
                            protected String value(String name) {
                                return Map.of("loadReport." + key, value).get(name);
                            }

                            @Override
                            public RuntimeException invalid(String name, String what) {
                                throw new AssertionError(name);
                            }
                        })
                        .limitsTold())
                .isEqualTo(reported);
    }
}
