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

/** Defects of what is agreed on, planted, and caught by the same invariants that hold without them. */
class AgreedDefectsTest {
    /** One voter forgets while another is cut off, and both together agree on something without the third. */
    private static AgreedWorld forgetting(Fleets.Agreeing decisions) {
        AgreedWorld world = new AgreedWorld(3, 1, true, Fleets.EPOCH_MS, decisions);
        world.fleet.startAll();
        world.found("north", "south");
        world.fleet.net().part(List.of("r3"), List.of("r1", "r2"));
        world.fleet.run(15_000);
        world.book("r1", "fees", "north", 100, 200, 30);
        world.fleet.run(5000);
        assertThat(world.outcomes.get("fees")).isInstanceOf(Outcome.Committed.class);
        world.fleet.kill("r2");
        world.fleet.forget("r2");
        world.fleet.net().heal();
        world.fleet.net().part(List.of("r1"), List.of("r2", "r3"));
        world.fleet.start("r2");
        for (int i = 0; i < 10; i++) {
            world.fleet.run(5000);
            world.book("r3", "rents" + i, "south", 100, 200, 30);
        }
        world.fleet.net().heal();
        world.fleet.run(30_000);
        return world;
    }

    @Test
    void aVoterThatForgotAndVotesAgainIsCaught() {
        assertThatThrownBy(() -> forgetting((life, settings, destinations) -> {
                    if (life.folder().lost()) {
                        Setup s = life.setup();
                        life.folder()
                                .keep(new InMemoryLedgerStore(LedgerState.initial(s.fleet(), s.self(), s.voters())));
                    }
                    return Fleets.agreeing().made(life, settings, destinations);
                }))
                .isInstanceOfSatisfying(
                        Breach.class, b -> assertThat(b.invariant()).isEqualTo("what is agreed"));
        assertThatThrownBy(() -> forgetting(Fleets.agreeing())).isInstanceOf(Fault.LedgerLost.class);
    }

    private static AgreedWorld batch(Fleets.Agreeing decisions) {
        AgreedWorld world = new AgreedWorld(3, 1, true, Fleets.EPOCH_MS, decisions);
        world.fleet.startAll();
        world.found("north");
        world.setup.members().forEach(m -> world.wanted.put(m, AgreedWorld.LIMIT));
        world.book("r1", "fees", "north", 100, 20, 30);
        world.batches.run("fees", AgreedWorld.DESTINATION);
        world.fleet.run(40_000);
        assertThat(world.batches.sent("fees")).isGreaterThan(500);
        return world;
    }

    @Test
    void ordinaryCallsOnBookedCapacityAreCaught() {
        assertThatThrownBy(() -> batch((life, settings, destinations) ->
                        new FleetPlayed(life, settings, destinations, Fleets.EPOCH_MS) {
                            @Override
                            public void share(int destination, Share s) {
                                double part = fleet().allocation(life.now(), destination)
                                                .parts()
                                        / (double) Setup.WHOLE;
                                super.share(destination, new Share(part, s.until(), s.guaranteed(), s.repeats()));
                            }
                        }))
                .isInstanceOfSatisfying(
                        Breach.class, b -> assertThat(b.invariant()).isEqualTo("calls in a second"));
        batch(Fleets.agreeing());
    }
}
