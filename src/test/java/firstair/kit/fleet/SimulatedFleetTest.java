package firstair.kit.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import firstair.fleet.talk.Envelope;
import firstair.fleet.talk.Note;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.junit.jupiter.api.Test;

/** The simulated fleet itself, with processes that only send hellos. */
class SimulatedFleetTest {
    private static SimulatedFleet fleet(int relays, long seed, Function<SimulatedProcess, RelayLogic> logicFactory) {
        return new SimulatedFleet(
                FleetDefaults.setup(relays), FleetDefaults::zone, seed, FleetDefaults.wire(), logicFactory);
    }

    private static HelloLogic helloLogic(SimulatedFleet fleet, String name) {
        return (HelloLogic) fleet.process(name).logic();
    }

    private static SimulatedFleet runWithFaults(long seed) {
        SimulatedFleet fleet = fleet(9, seed, HelloLogic::new);
        fleet.startAll();
        new RandomFaults(fleet, 300, 20_000, 3000, 1000, 9);
        fleet.run(30_000);
        return fleet;
    }

    @Test
    void theSameSeedGivesTheSameHistoryAndAnotherSeedAnother() {
        SimulatedFleet once = runWithFaults(7);
        SimulatedFleet again = runWithFaults(7);
        assertThat(again.digest()).isEqualTo(once.digest());
        assertThat(again.events()).isEqualTo(once.events()).isGreaterThan(1000);
        assertThat(runWithFaults(8).digest()).isNotEqualTo(once.digest());
    }

    @Test
    void aOneWayCutDropsMessagesInThatDirectionOnlyIncludingThoseInTransit() {
        SimulatedFleet fleet = fleet(2, 1, HelloLogic::new);
        fleet.net().setConditions(new VirtualNet.Conditions(0, 0, 0, 100, 100, 0));
        fleet.startAll();
        fleet.run(10_000);
        int before = helloLogic(fleet, "r1").received.size();
        fleet.net().cut(List.of("r2"), List.of("r1"));
        int fromTwo = fromTwo(fleet);
        int other = helloLogic(fleet, "r2").received.size();
        fleet.run(10_000);
        assertThat(before).isPositive();
        assertThat(fromTwo(fleet)).isEqualTo(fromTwo);
        assertThat(helloLogic(fleet, "r2").received.size()).isGreaterThan(other);
        fleet.net().heal();
        fleet.run(10_000);
        assertThat(fromTwo(fleet)).isGreaterThan(fromTwo);
    }

    private static int fromTwo(SimulatedFleet fleet) {
        return (int) helloLogic(fleet, "r1").received.stream()
                .filter(e -> e.from().equals("r2"))
                .count();
    }

    @Test
    void aPausedProcessReceivesEverythingInOrderWhenItResumes() {
        SimulatedFleet fleet = fleet(3, 2, HelloLogic::new);
        fleet.startAll();
        fleet.run(1000);
        HelloLogic paused = helloLogic(fleet, "r1");
        double own = paused.process.now();
        int before = paused.received.size();
        fleet.pause(paused.process, 20_000);
        fleet.run(19_999);
        assertThat(paused.received).hasSize(before);
        fleet.run(2);
        assertThat(paused.received.size()).isGreaterThan(before + 10);
        assertThat(paused.receivedAt.subList(before, paused.received.size()))
                .allSatisfy(at -> assertThat(at).isGreaterThanOrEqualTo(own + 20_000 * 0.99));
        for (String from : List.of("r2", "r3")) {
            assertThat(paused.received.stream()
                            .filter(e -> e.from().equals(from))
                            .map(SimulatedFleetTest::nonce))
                    .as("hellos of %s", from)
                    .isSorted();
        }
    }

    private static long nonce(Envelope envelope) {
        return ((Note.Hello) envelope.notes().get(0)).nonce();
    }

    @Test
    void badConditionsLoseDuplicateDelayAndReorderMessages() {
        SimulatedFleet fleet = fleet(2, 3, HelloLogic::new);
        fleet.net().setConditions(VirtualNet.Conditions.BAD);
        fleet.startAll();
        fleet.run(600_000);
        long sent = fleet.net().traffic("r1").sent() + fleet.net().traffic("r2").sent();
        long received =
                fleet.net().traffic("r1").received() + fleet.net().traffic("r2").received();
        VirtualNet.Conditions bad = VirtualNet.Conditions.BAD;
        assertThat((double) received / sent).isCloseTo((1 - bad.loss()) * (1 + bad.duplicated()), within(0.05));
        List<Long> nonces = helloLogic(fleet, "r1").received.stream()
                .filter(e -> e.from().equals("r2"))
                .map(SimulatedFleetTest::nonce)
                .toList();
        assertThat(nonces).isNotEqualTo(nonces.stream().sorted().toList()).hasSizeGreaterThan((int)
                nonces.stream().distinct().count());
    }

    @Test
    void clocksDriftWithinTheirBoundAndOnlyWallClocksJump() {
        SimulatedFleet fleet = fleet(5, 4, HelloLogic::new);
        fleet.startAll();
        fleet.run(1);
        SimulatedProcess process = fleet.process("r1");
        double own = process.now();
        fleet.setDrift(process, 0.01);
        fleet.setWallOffset(process, -3_600_000);
        fleet.run(100_000);
        assertThat(process.now() - own).isCloseTo(101_000, within(0.001));
        assertThat(process.wallTime()).isCloseTo(100_001 - 3_600_000, within(0.001));
        assertThatThrownBy(() -> fleet.setDrift(process, 0.02)).isInstanceOf(IllegalArgumentException.class);
    }

    @Test
    void aRestartedProcessFindsItsFolderUnlessItIsLost() {
        SimulatedFleet fleet = fleet(3, 5, HelloLogic::new);
        fleet.startAll();
        fleet.process("r1").folder().store("a log");
        fleet.kill("r1");
        assertThat(fleet.running("r1")).isEmpty();
        assertThat(fleet.start("r1").folder().stored(String.class)).isEqualTo("a log");
        fleet.kill("r1");
        fleet.loseFolder("r1");
        assertThat(fleet.start("r1").folder())
                .satisfies(f -> assertThat(f.stored(String.class)).isNull())
                .satisfies(f -> assertThat(f.lost()).isTrue());
    }

    @Test
    void twoProcessesOfOneNameBothReceive() {
        SimulatedFleet fleet = fleet(2, 6, HelloLogic::new);
        fleet.startAll();
        fleet.start("r1");
        fleet.run(10_000);
        assertThat(fleet.running("r1")).hasSize(2).allSatisfy(process -> assertThat(
                        ((HelloLogic) process.logic()).received)
                .isNotEmpty());
    }

    @Test
    void anExcessivePartIsAViolationWithSeedTimeAndLastEvents() {
        SimulatedFleet fleet = fleet(4, 9, process -> new HelloLogic(process) {
                    @Override
                    double part() {
                        return super.part() + (process.name().equals("r3") ? 0.000_001 : 0);
                    }
                })
                .addInvariant(Invariants.sumOfParts());
        fleet.startAll();
        assertThatThrownBy(() -> fleet.run(1000)).isInstanceOfSatisfying(InvariantViolation.class, violation -> {
            assertThat(violation.invariant()).isEqualTo("parts of a limit");
            assertThat(violation.seed()).isEqualTo(9);
            assertThat(violation)
                    .hasMessageContaining("1.000001 of destination 1")
                    .hasMessageContaining("r4#1004  starts");
        });
    }

    @Test
    void callsFollowTheSharesAndCallsBeyondThemAreAViolation() {
        Invariants.CallRates rates = new Invariants.CallRates(d -> 100);
        SimulatedFleet fleet = fleet(4, 10, HelloLogic::new).addInvariant(rates);
        Demand demand =
                new Demand(fleet, Map.of(HelloLogic.DESTINATION, 100.0), (relay, destination, time) -> 60, 500, rates);
        fleet.startAll();
        fleet.run(60_000);
        // each relay has 60 calls a second and may send 25
        assertThat(demand.arrived(HelloLogic.DESTINATION)).isCloseTo(14_400, within(150L));
        assertThat(demand.served(HelloLogic.DESTINATION)).isBetween(5800L, 6000L);
        assertThatThrownBy(() -> {
                    for (int i = 0; i < 20; i++) {
                        fleet.scheduleAfter(
                                i,
                                "extra call",
                                () -> rates.sent(fleet.process("r1"), HelloLogic.DESTINATION, fleet.now()));
                    }
                    fleet.run(1000);
                })
                .isInstanceOf(InvariantViolation.class)
                .hasMessageContaining("calls in a second");
    }
}
