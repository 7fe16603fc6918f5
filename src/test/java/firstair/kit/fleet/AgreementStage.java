package firstair.kit.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.tngtech.jgiven.Stage;
import com.tngtech.jgiven.annotation.Quoted;
import firstair.fleet.booking.Booking;
import firstair.fleet.booking.Calendar;
import firstair.fleet.booking.Operation;
import firstair.fleet.booking.State;
import firstair.fleet.fault.Fault;
import firstair.fleet.ledger.Outcome;
import java.time.Instant;
import java.time.LocalTime;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Steps of the scenarios of contracts and bookings. */
public class AgreementStage extends Stage<AgreementStage> {
    private AgreementFixture fixture;

    // ---- given ----

    AgreementStage aFleetOf$RelaysThatAcceptsBookingsOf(int relays, String... teams) {
        return fleetWithBookings(relays, FleetDefaults.EPOCH_MS, teams);
    }

    AgreementStage aFleetOf$RelaysThatAcceptsBookingsAt(int relays, @Quoted String moment) {
        return fleetWithBookings(relays, Instant.parse(moment).toEpochMilli(), "night");
    }

    private AgreementStage fleetWithBookings(int relays, double epochMs, String... teams) {
        fixture = new AgreementFixture(
                relays,
                1,
                true,
                epochMs,
                (process, settings, destinations) -> new RealRelayLogic(process, settings, destinations, epochMs));
        fixture.fleet.startAll();
        fixture.setUpBookings(teams);
        assertThat(fixture.outcomes.get("setup")).isInstanceOf(Outcome.Committed.class);
        return self();
    }

    AgreementStage a$Booking$Of$CallsASecondStartsIn$SecondsFor$(
            @Quoted String team, @Quoted String id, double calls, double startInS, double durationS) {
        fixture.requestBooking("r1", id, team, calls, startInS, durationS);
        fixture.fleet.run(3000);
        assertThat(fixture.outcomes.get(id)).isInstanceOf(Outcome.Committed.class);
        return self();
    }

    AgreementStage aFleetOf$RelaysWithAContractForZones(int relays, String... zones) {
        return fleetWithContract(relays, 0, zones);
    }

    AgreementStage aFleetOf$RelaysWithAQuotaOf$CallsASecond(int relays, double calls) {
        return fleetWithContract(relays, calls, "za", "zb", "zc");
    }

    private AgreementStage fleetWithContract(int relays, double quota, String... zones) {
        fixture = new AgreementFixture(relays, 1, false, FleetDefaults.EPOCH_MS, FleetDefaults.withSettings());
        fixture.addContracts(1, Set.of(zones), Set.of("za"), quota);
        fixture.setup.members().forEach(m -> fixture.setFile(m, 1));
        fixture.fleet.startAll();
        fixture.fleet.run(AgreementFixture.ELECTED_MS + 2 * AgreementFixture.TERM_MS);
        assertThat(fixture.inForce()).isEqualTo(1);
        return self();
    }

    AgreementStage everyRelaySendsTo(String... zones) {
        for (String name : fixture.setup.members()) {
            assertThat(fixture.tenants.sent(name, AgreementFixture.TENANT))
                    .as(name)
                    .isEqualTo(Set.of(zones));
        }
        return self();
    }

    // ---- when ----

    AgreementStage $SecondsPass(double seconds) {
        fixture.fleet.run(seconds * 1000);
        return self();
    }

    AgreementStage theRestIsCutOffFrom(String... names) {
        List<String> rest = new ArrayList<>(fixture.setup.members());
        rest.removeAll(List.of(names));
        fixture.fleet.net().partition(List.of(names), rest);
        return self();
    }

    AgreementStage allLinksAreRestored() {
        fixture.fleet.net().heal();
        return self();
    }

    AgreementStage theReachableRelaysRestartOneByOneWithAContractForZones(String... zones) {
        fixture.addContracts(2, Set.of(zones), Set.of("za"), 0);
        for (String name : fixture.setup.members()) {
            if (fixture.fleet.net().isOpen(name, "r1") && !name.equals("r1")) {
                restartWithNewFile(name);
            }
        }
        restartWithNewFile("r1");
        return self();
    }

    private void restartWithNewFile(String name) {
        fixture.setFile(name, 2);
        fixture.fleet.kill(name);
        fixture.fleet.start(name);
        fixture.fleet.run(3000);
    }

    AgreementStage votersRestartWithANewContractUntilTheyAgreeOnZones(String... zones) {
        fixture.addContracts(2, Set.of(zones), Set.of("za"), 0);
        for (int i = 0;
                fixture.inForce() < 2;
                i = (i + 1) % fixture.setup.voters().size()) {
            String name = fixture.setup.voters().get(i);
            fixture.setFile(name, 2);
            fixture.fleet.kill(name);
            fixture.fleet.start(name);
            for (int polls = 0; polls < 150 && fixture.inForce() < 2; polls++) {
                fixture.fleet.run(100);
            }
        }
        return self();
    }

    AgreementStage versionTwoIsAgreed() {
        for (int i = 0; i < 400 && fixture.inForce() < 2; i++) {
            fixture.fleet.run(100);
        }
        assertThat(fixture.inForce()).isEqualTo(2);
        return self();
    }

    AgreementStage theTermOfContractsPasses() {
        fixture.fleet.run(AgreementFixture.TERM_MS + 200);
        return self();
    }

    AgreementStage $RequestsAt$ABookingOf$CallsASecondAs$(
            @Quoted String team, @Quoted String relay, double calls, @Quoted String id) {
        fixture.requestBooking(relay, id, team, calls, 60, 30);
        return self();
    }

    AgreementStage callsNaming$ArriveAtEveryRelay(@Quoted String id) {
        fixture.batches.run(id, AgreementFixture.DESTINATION);
        return self();
    }

    AgreementStage everyRelayHasMoreOrdinaryCallsThanItMaySend() {
        fixture.setup.members().forEach(m -> fixture.demandPerS.put(m, AgreementFixture.LIMIT));
        return self();
    }

    AgreementStage the$TeamShowsUpFor$At$(@Quoted String team, @Quoted String id, @Quoted String relay) {
        fixture.submit(relay, "show-up " + id, List.of(new Operation.ShowUp(id, team)));
        fixture.fleet.run(2000);
        return self();
    }

    AgreementStage theLimitIsHalved() {
        fixture.demand.limit(AgreementFixture.DESTINATION, AgreementFixture.LIMIT / 2);
        fixture.submit("r2", "halved", List.of(new Operation.Limit(AgreementFixture.DESTINATION, (long)
                (AgreementFixture.LIMIT / 2 * 1000))));
        return self();
    }

    AgreementStage $IsKilledAndItsFolderIsLost(@Quoted String name) {
        fixture.fleet.kill(name);
        fixture.fleet.loseFolder(name);
        return self();
    }

    AgreementStage $CannotRestart(@Quoted String name) {
        assertThatThrownBy(() -> fixture.fleet.start(name)).isInstanceOf(Fault.LedgerLost.class);
        return self();
    }

    AgreementStage theLeaderIsKilled() {
        String leader = fixture.setup.voters().stream()
                .filter(v -> logic(v).fleet().leads())
                .findFirst()
                .orElseThrow();
        fixture.fleet.kill(leader);
        return self();
    }

    AgreementStage aNightlyRunIsBookedFrom$To$OfLocalTime(@Quoted String from, @Quoted String to) {
        Calendar berlin = new Calendar(new Calendar.Terms(
                "berlin",
                "Europe/Berlin",
                List.of("de"),
                EnumSet.noneOf(java.time.DayOfWeek.class),
                new TreeSet<>(),
                LocalTime.MIDNIGHT,
                LocalTime.MIDNIGHT,
                LocalTime.of(23, 59)));
        fixture.submitJson(
                "r1",
                "nightly",
                "{\"kind\":\"put\",\"id\":\"nightly\",\"team\":\"night\",\"rank\":0,"
                        + "\"calls\":{\"1\":80},\"wait\":false,"
                        + "\"repeat\":{\"calendar\":\"berlin\",\"rule\":\"FREQ=DAILY\","
                        + "\"first\":\"2026-10-25\",\"from\":\"" + from + "\",\"to\":\"" + to
                        + "\",\"shift\":\"skip\",\"most\":3}}",
                Map.of("berlin", berlin));
        fixture.fleet.run(3000);
        assertThat(fixture.outcomes.get("nightly")).isInstanceOf(Outcome.Committed.class);
        fixture.submit(
                "r1",
                "confirmed",
                fixture.agreed.bookings().keySet().stream()
                        .map(id -> (Operation) new Operation.Confirm(id, "night"))
                        .toList());
        fixture.fleet.run(3000);
        return self();
    }

    AgreementStage allWallClocksAdvanceTo(@Quoted String moment) {
        fixture.fleet.advanceWallTime(Instant.parse(moment).toEpochMilli() - fixture.wallTime());
        fixture.fleet.run(15_000);
        return self();
    }

    // ---- then ----

    private RealRelayLogic logic(String name) {
        return (RealRelayLogic) fixture.fleet.process(name).logic();
    }

    private Booking booking(String id) {
        Booking booking = fixture.agreed.bookings().get(id);
        assertThat(booking)
                .as("booking %s of %s", id, fixture.agreed.bookings().keySet())
                .isNotNull();
        return booking;
    }

    AgreementStage $Is$(@Quoted String id, @Quoted String state) {
        assertThat(booking(id).state().label()).isEqualTo(state);
        return self();
    }

    AgreementStage $IsBookedAt$CallsASecond(@Quoted String id, double calls) {
        assertThat(booking(id).rates().get(AgreementFixture.DESTINATION)).isEqualTo((long) (calls * 1000));
        return self();
    }

    AgreementStage $WasRefusedWith$(@Quoted String key, @Quoted String code) {
        assertThat(fixture.outcomes.get(key)).isInstanceOfSatisfying(Outcome.Refused.class, r -> assertThat(r.code())
                .isEqualTo(code));
        return self();
    }

    AgreementStage $FailsWith$AndATimeToRetry(@Quoted String key, @Quoted String code) {
        assertThat(fixture.outcomes.get(key)).isInstanceOfSatisfying(Outcome.NotNow.class, n -> {
            assertThat(n.fault().code()).isEqualTo(code);
            assertThat(n.fault().afterMs()).isPositive();
        });
        return self();
    }

    AgreementStage $SendsCallsOn$(@Quoted String relay, @Quoted String id) {
        assertThat(callsSentOn(id, relay)).as("calls of %s on %s", relay, id).isPositive();
        return self();
    }

    AgreementStage $SendsNoCallsOn$(@Quoted String relay, @Quoted String id) {
        assertThat(callsSentOn(id, relay)).as("calls of %s on %s", relay, id).isZero();
        return self();
    }

    private long callsSentOn(String id, String relay) {
        long before = fixture.batches.sent(id, relay);
        fixture.fleet.run(4000);
        return fixture.batches.sent(id, relay) - before;
    }

    AgreementStage about$CallsASecondAreSentOn$(double calls, @Quoted String id) {
        long before = fixture.batches.sent(id);
        fixture.fleet.run(10_000);
        assertThat((fixture.batches.sent(id) - before) / 10.0).isBetween(0.8 * calls, 1.02 * calls);
        return self();
    }

    AgreementStage about$MessagesASecondAreAccepted(double messages) {
        long before = fixture.tenants.accepted(AgreementFixture.TENANT);
        fixture.fleet.run(20_000);
        assertThat((fixture.tenants.accepted(AgreementFixture.TENANT) - before) / 20.0)
                .isBetween(0.75 * messages, 1.05 * messages);
        return self();
    }

    AgreementStage after$SecondsAtLeast$CallsASecondAreSentOn$(double seconds, double calls, @Quoted String id) {
        fixture.fleet.run(seconds * 1000);
        long before = fixture.batches.sent(id);
        fixture.fleet.run(1000);
        assertThat(fixture.batches.sent(id) - before).isGreaterThanOrEqualTo((long) calls);
        return self();
    }

    AgreementStage atLeast$OrdinaryCallsASecondAreSent(double calls) {
        long before = fixture.demand.served(AgreementFixture.DESTINATION);
        fixture.fleet.run(5000);
        assertThat((fixture.demand.served(AgreementFixture.DESTINATION) - before) / 5.0)
                .isGreaterThanOrEqualTo(calls);
        return self();
    }

    AgreementStage $UsesNoMoreThan$OfTheLimitForOrdinaryCalls(@Quoted String relay, double part) {
        assertThat(fixture.fleet.process(relay).part(AgreementFixture.DESTINATION))
                .isLessThanOrEqualTo(part);
        return self();
    }

    AgreementStage $SendsTo(@Quoted String relay, String... zones) {
        assertThat(fixture.tenants.sent(relay, AgreementFixture.TENANT)).isEqualTo(Set.of(zones));
        return self();
    }

    AgreementStage $SendsNowhere(@Quoted String relay) {
        return $SendsTo(relay);
    }

    AgreementStage $Reports$(@Quoted String relay, @Quoted String code) {
        assertThat(fixture.fleet.process(relay).reports()).anyMatch(line -> line.startsWith(code));
        return self();
    }

    AgreementStage thereAre$Bookings(int number) {
        assertThat(fixture.agreed.bookings()).hasSize(number);
        return self();
    }

    AgreementStage $LastsFrom$To$(@Quoted String id, @Quoted String from, @Quoted String to) {
        assertThat(Instant.ofEpochMilli(booking(id).startMs())).isEqualTo(Instant.parse(from));
        assertThat(Instant.ofEpochMilli(booking(id).endMs())).isEqualTo(Instant.parse(to));
        return self();
    }

    AgreementStage noBookingHasStartedExcept$(@Quoted String id) {
        assertThat(fixture.agreed.bookings().values().stream()
                        .filter(booking -> booking.state() == State.RUNNING || booking.state() == State.ENDED)
                        .map(Booking::id))
                .containsExactly(id);
        return self();
    }
}
