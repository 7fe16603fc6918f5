package firstair.kit.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import firstair.control.Controller.Share;
import firstair.fleet.Setup;
import firstair.fleet.fault.Fault;
import firstair.fleet.ledger.InMemoryLedgerStore;
import firstair.fleet.ledger.LedgerState;
import firstair.fleet.ledger.Outcome;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Plants defects in the handling of agreed state and checks that the invariants catch them. */
class AgreementDefectsTest {
    /** One voter loses its ledger while another is cut off, and both together form a majority without the third. */
    private static AgreementFixture loseLedger(FleetDefaults.LedgerLogicFactory logicFactory) {
        AgreementFixture fixture = new AgreementFixture(3, 1, true, FleetDefaults.EPOCH_MS, logicFactory);
        fixture.fleet.startAll();
        fixture.setUpBookings("north", "south");
        fixture.fleet.net().partition(List.of("r3"), List.of("r1", "r2"));
        fixture.fleet.run(15_000);
        fixture.requestBooking("r1", "fees", "north", 100, 200, 30);
        fixture.fleet.run(5000);
        assertThat(fixture.outcomes.get("fees")).isInstanceOf(Outcome.Committed.class);
        fixture.fleet.kill("r2");
        fixture.fleet.loseFolder("r2");
        fixture.fleet.net().heal();
        fixture.fleet.net().partition(List.of("r1"), List.of("r2", "r3"));
        fixture.fleet.start("r2");
        for (int i = 0; i < 10; i++) {
            fixture.fleet.run(5000);
            fixture.requestBooking("r3", "rents" + i, "south", 100, 200, 30);
        }
        fixture.fleet.net().heal();
        fixture.fleet.run(30_000);
        return fixture;
    }

    @Test
    void aVoterThatVotesAgainAfterLosingItsLedgerIsCaught() {
        assertThatThrownBy(() -> loseLedger((process, settings, destinations) -> {
                    if (process.folder().lost()) {
                        Setup setup = process.setup();
                        process.folder()
                                .store(new InMemoryLedgerStore(
                                        LedgerState.initial(setup.fleet(), setup.self(), setup.voters())));
                    }
                    return FleetDefaults.withSettings().made(process, settings, destinations);
                }))
                .isInstanceOfSatisfying(InvariantViolation.class, violation -> assertThat(violation.invariant())
                        .isEqualTo("what is agreed"));
        assertThatThrownBy(() -> loseLedger(FleetDefaults.withSettings())).isInstanceOf(Fault.LedgerLost.class);
    }

    private static AgreementFixture runBatch(FleetDefaults.LedgerLogicFactory logicFactory) {
        AgreementFixture fixture = new AgreementFixture(3, 1, true, FleetDefaults.EPOCH_MS, logicFactory);
        fixture.fleet.startAll();
        fixture.setUpBookings("north");
        fixture.setup.members().forEach(m -> fixture.demandPerS.put(m, AgreementFixture.LIMIT));
        fixture.requestBooking("r1", "fees", "north", 100, 20, 30);
        fixture.batches.run("fees", AgreementFixture.DESTINATION);
        fixture.fleet.run(40_000);
        assertThat(fixture.batches.sent("fees")).isGreaterThan(500);
        return fixture;
    }

    @Test
    void ordinaryCallsOnBookedCapacityAreCaught() {
        assertThatThrownBy(() -> runBatch((process, settings, destinations) ->
                        new RealRelayLogic(process, settings, destinations, FleetDefaults.EPOCH_MS) {
                            @Override
                            public void share(int destination, Share share) {
                                double part = fleet().allocation(process.now(), destination)
                                                .parts()
                                        / (double) Setup.WHOLE;
                                super.share(
                                        destination,
                                        new Share(part, share.until(), share.guaranteed(), share.repeats()));
                            }
                        }))
                .isInstanceOfSatisfying(InvariantViolation.class, violation -> assertThat(violation.invariant())
                        .isEqualTo("calls in a second"));
        runBatch(FleetDefaults.withSettings());
    }
}
