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

/** Words of the stories of contracts and bookings. */
public class AgreedStage extends Stage<AgreedStage> {
    private AgreedWorld world;

    // ---- given ----

    AgreedStage aFleetOf$RelaysThatTakesBookingsOf(int relays, String... teams) {
        return bookings(relays, Fleets.EPOCH_MS, teams);
    }

    AgreedStage aFleetOf$RelaysThatTakesBookingsAt(int relays, @Quoted String moment) {
        return bookings(relays, Instant.parse(moment).toEpochMilli(), "night");
    }

    private AgreedStage bookings(int relays, double epochMs, String... teams) {
        world = new AgreedWorld(
                relays,
                1,
                true,
                epochMs,
                (life, settings, destinations) -> new FleetPlayed(life, settings, destinations, epochMs));
        world.fleet.startAll();
        world.found(teams);
        assertThat(world.outcomes.get("founded")).isInstanceOf(Outcome.Committed.class);
        return self();
    }

    AgreedStage a$Booking$Of$CallsASecondStartsIn$SecondsFor$(
            @Quoted String team, @Quoted String id, double calls, double inS, double forS) {
        world.book("r1", id, team, calls, inS, forS);
        world.fleet.run(3000);
        assertThat(world.outcomes.get(id)).isInstanceOf(Outcome.Committed.class);
        return self();
    }

    AgreedStage aFleetOf$RelaysWithAContractForZones(int relays, String... zones) {
        return contract(relays, 0, zones);
    }

    AgreedStage aFleetOf$RelaysWithAQuotaOf$CallsASecond(int relays, double calls) {
        return contract(relays, calls, "za", "zb", "zc");
    }

    private AgreedStage contract(int relays, double quota, String... zones) {
        world = new AgreedWorld(relays, 1, false, Fleets.EPOCH_MS, Fleets.agreeing());
        world.contracts(1, Set.of(zones), Set.of("za"), quota);
        world.setup.members().forEach(m -> world.hasFile(m, 1));
        world.fleet.startAll();
        world.fleet.run(AgreedWorld.ELECTED_MS + 2 * AgreedWorld.TERM_MS);
        assertThat(world.inForce()).isEqualTo(1);
        return self();
    }

    AgreedStage everyRelaySendsTo(String... zones) {
        for (String name : world.setup.members()) {
            assertThat(world.tenants.sent(name, AgreedWorld.TENANT)).as(name).isEqualTo(Set.of(zones));
        }
        return self();
    }

    // ---- when ----

    AgreedStage $SecondsPass(double seconds) {
        world.fleet.run(seconds * 1000);
        return self();
    }

    AgreedStage nothingPassesBetweenTheRestAnd(String... names) {
        List<String> rest = new ArrayList<>(world.setup.members());
        rest.removeAll(List.of(names));
        world.fleet.net().part(List.of(names), rest);
        return self();
    }

    AgreedStage allLinksAreMended() {
        world.fleet.net().heal();
        return self();
    }

    AgreedStage theOthersAreReleasedOneByOneWithAContractForZones(String... zones) {
        world.contracts(2, Set.of(zones), Set.of("za"), 0);
        for (String name : world.setup.members()) {
            if (world.fleet.net().open(name, "r1") && !name.equals("r1")) {
                release(name);
            }
        }
        release("r1");
        return self();
    }

    private void release(String name) {
        world.hasFile(name, 2);
        world.fleet.kill(name);
        world.fleet.start(name);
        world.fleet.run(3000);
    }

    AgreedStage votersAreReleasedUntilTheyAgreeOnZones(String... zones) {
        world.contracts(2, Set.of(zones), Set.of("za"), 0);
        for (int i = 0; world.inForce() < 2; i = (i + 1) % world.setup.voters().size()) {
            String name = world.setup.voters().get(i);
            world.hasFile(name, 2);
            world.fleet.kill(name);
            world.fleet.start(name);
            for (int waited = 0; waited < 150 && world.inForce() < 2; waited++) {
                world.fleet.run(100);
            }
        }
        return self();
    }

    AgreedStage versionTwoIsAgreed() {
        for (int i = 0; i < 400 && world.inForce() < 2; i++) {
            world.fleet.run(100);
        }
        assertThat(world.inForce()).isEqualTo(2);
        return self();
    }

    AgreedStage theTermOfContractsPasses() {
        world.fleet.run(AgreedWorld.TERM_MS + 200);
        return self();
    }

    AgreedStage $AsksAt$For$CallsASecondAs$(
            @Quoted String team, @Quoted String relay, double calls, @Quoted String id) {
        world.book(relay, id, team, calls, 60, 30);
        return self();
    }

    AgreedStage callsNaming$ComeToEveryRelay(@Quoted String id) {
        world.batches.run(id, AgreedWorld.DESTINATION);
        return self();
    }

    AgreedStage everyRelayHasMoreOrdinaryCallsThanItMaySend() {
        world.setup.members().forEach(m -> world.wanted.put(m, AgreedWorld.LIMIT));
        return self();
    }

    AgreedStage the$TeamShowsUpFor$At$(@Quoted String team, @Quoted String id, @Quoted String relay) {
        world.ask(relay, "show-up " + id, List.of(new Operation.ShowUp(id, team)));
        world.fleet.run(2000);
        return self();
    }

    AgreedStage theLimitIsHalved() {
        world.demand.limit(AgreedWorld.DESTINATION, AgreedWorld.LIMIT / 2);
        world.ask("r2", "halved", List.of(new Operation.Limit(AgreedWorld.DESTINATION, (long)
                (AgreedWorld.LIMIT / 2 * 1000))));
        return self();
    }

    AgreedStage $DiesAndItsFolderIsLost(@Quoted String name) {
        world.fleet.kill(name);
        world.fleet.forget(name);
        return self();
    }

    AgreedStage $CannotReturn(@Quoted String name) {
        assertThatThrownBy(() -> world.fleet.start(name)).isInstanceOf(Fault.LedgerLost.class);
        return self();
    }

    AgreedStage theLeaderDies() {
        String leader = world.setup.voters().stream()
                .filter(v -> played(v).fleet().leads())
                .findFirst()
                .orElseThrow();
        world.fleet.kill(leader);
        return self();
    }

    AgreedStage aNightlyRunIsBookedFrom$To$OfLocalTime(@Quoted String from, @Quoted String to) {
        Calendar berlin = new Calendar(new Calendar.Terms(
                "berlin",
                "Europe/Berlin",
                List.of("de"),
                EnumSet.noneOf(java.time.DayOfWeek.class),
                new TreeSet<>(),
                LocalTime.MIDNIGHT,
                LocalTime.MIDNIGHT,
                LocalTime.of(23, 59)));
        world.bookJson(
                "r1",
                "nightly",
                "{\"kind\":\"put\",\"id\":\"nightly\",\"team\":\"night\",\"rank\":0,"
                        + "\"calls\":{\"1\":80},\"wait\":false,"
                        + "\"repeat\":{\"calendar\":\"berlin\",\"rule\":\"FREQ=DAILY\","
                        + "\"first\":\"2026-10-25\",\"from\":\"" + from + "\",\"to\":\"" + to
                        + "\",\"shift\":\"skip\",\"most\":3}}",
                Map.of("berlin", berlin));
        world.fleet.run(3000);
        assertThat(world.outcomes.get("nightly")).isInstanceOf(Outcome.Committed.class);
        world.ask(
                "r1",
                "confirmed",
                world.agreed.bookings().keySet().stream()
                        .map(id -> (Operation) new Operation.Confirm(id, "night"))
                        .toList());
        world.fleet.run(3000);
        return self();
    }

    AgreedStage allClocksOnWallsGoOnTo(@Quoted String moment) {
        world.fleet.goOn(Instant.parse(moment).toEpochMilli() - world.wall());
        world.fleet.run(15_000);
        return self();
    }

    // ---- then ----

    private FleetPlayed played(String name) {
        return (FleetPlayed) world.fleet.life(name).played();
    }

    private Booking booking(String id) {
        Booking b = world.agreed.bookings().get(id);
        assertThat(b)
                .as("booking %s of %s", id, world.agreed.bookings().keySet())
                .isNotNull();
        return b;
    }

    AgreedStage $Is$(@Quoted String id, @Quoted String state) {
        assertThat(booking(id).state().label()).isEqualTo(state);
        return self();
    }

    AgreedStage $IsBookedAt$CallsASecond(@Quoted String id, double calls) {
        assertThat(booking(id).rates().get(AgreedWorld.DESTINATION)).isEqualTo((long) (calls * 1000));
        return self();
    }

    AgreedStage $WasRefusedWith$(@Quoted String word, @Quoted String code) {
        assertThat(world.outcomes.get(word)).isInstanceOfSatisfying(Outcome.Refused.class, r -> assertThat(r.code())
                .isEqualTo(code));
        return self();
    }

    AgreedStage $IsTold$AndWhenToComeAgain(@Quoted String word, @Quoted String code) {
        assertThat(world.outcomes.get(word)).isInstanceOfSatisfying(Outcome.NotNow.class, n -> {
            assertThat(n.fault().code()).isEqualTo(code);
            assertThat(n.fault().afterMs()).isPositive();
        });
        return self();
    }

    AgreedStage $SendsOn$FromNowOn(@Quoted String relay, @Quoted String id) {
        assertThat(goesOut(id, relay)).as("calls of %s on %s", relay, id).isPositive();
        return self();
    }

    AgreedStage $SendsNothingOn$(@Quoted String relay, @Quoted String id) {
        assertThat(goesOut(id, relay)).as("calls of %s on %s", relay, id).isZero();
        return self();
    }

    private long goesOut(String id, String relay) {
        long before = world.batches.sent(id, relay);
        world.fleet.run(4000);
        return world.batches.sent(id, relay) - before;
    }

    AgreedStage about$CallsASecondGoOutOn$(double calls, @Quoted String id) {
        long before = world.batches.sent(id);
        world.fleet.run(10_000);
        assertThat((world.batches.sent(id) - before) / 10.0).isBetween(0.8 * calls, 1.02 * calls);
        return self();
    }

    AgreedStage about$MessagesASecondAreTaken(double messages) {
        long before = world.tenants.taken(AgreedWorld.TENANT);
        world.fleet.run(20_000);
        assertThat((world.tenants.taken(AgreedWorld.TENANT) - before) / 20.0)
                .isBetween(0.75 * messages, 1.05 * messages);
        return self();
    }

    AgreedStage within$SecondsAtLeast$CallsASecondGoOutOn$(double seconds, double calls, @Quoted String id) {
        world.fleet.run(seconds * 1000);
        long before = world.batches.sent(id);
        world.fleet.run(1000);
        assertThat(world.batches.sent(id) - before).isGreaterThanOrEqualTo((long) calls);
        return self();
    }

    AgreedStage ordinaryCallsTakeAtLeast$ASecond(double calls) {
        long before = world.demand.served(AgreedWorld.DESTINATION);
        world.fleet.run(5000);
        assertThat((world.demand.served(AgreedWorld.DESTINATION) - before) / 5.0)
                .isGreaterThanOrEqualTo(calls);
        return self();
    }

    AgreedStage $UsesNoMoreThan$OfTheLimitForOrdinaryCalls(@Quoted String relay, double part) {
        assertThat(world.fleet.life(relay).part(AgreedWorld.DESTINATION)).isLessThanOrEqualTo(part);
        return self();
    }

    AgreedStage $SendsTo(@Quoted String relay, String... zones) {
        assertThat(world.tenants.sent(relay, AgreedWorld.TENANT)).isEqualTo(Set.of(zones));
        return self();
    }

    AgreedStage $SendsNowhere(@Quoted String relay) {
        return $SendsTo(relay);
    }

    AgreedStage $Says$(@Quoted String relay, @Quoted String code) {
        assertThat(world.fleet.life(relay).reports()).anyMatch(line -> line.startsWith(code));
        return self();
    }

    AgreedStage thereAre$Bookings(int number) {
        assertThat(world.agreed.bookings()).hasSize(number);
        return self();
    }

    AgreedStage $LastsFrom$To$(@Quoted String id, @Quoted String from, @Quoted String to) {
        assertThat(Instant.ofEpochMilli(booking(id).startMs())).isEqualTo(Instant.parse(from));
        assertThat(Instant.ofEpochMilli(booking(id).endMs())).isEqualTo(Instant.parse(to));
        return self();
    }

    AgreedStage noOtherBookingHasBegunThan$(@Quoted String id) {
        assertThat(world.agreed.bookings().values().stream()
                        .filter(b -> b.state() == State.RUNNING || b.state() == State.ENDED)
                        .map(Booking::id))
                .containsExactly(id);
        return self();
    }
}
