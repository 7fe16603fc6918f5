package firstair.kit.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import com.tngtech.jgiven.Stage;
import com.tngtech.jgiven.annotation.Quoted;
import com.tngtech.jgiven.annotation.ScenarioState;

/** Initial states of the scenarios of limits. */
public class GivenFleet extends Stage<GivenFleet> {
    private static final double WARM_UP_MS = 15_000;

    @ScenarioState
    LimitFixture fixture;

    GivenFleet aFleetOf$Relays(int relays) {
        return aFleetOf$RelaysWithSeed(relays, 1);
    }

    GivenFleet aFleetOf$RelaysWithSeed(int relays, long seed) {
        fixture = new LimitFixture(relays, seed, FleetDefaults.limitsOnly());
        fixture.fleet.startAll();
        return self();
    }

    GivenFleet allOfThemHaveTheirEqualPart() {
        fixture.fleet.run(WARM_UP_MS);
        fixture.setup.members().forEach(m -> assertThat(fixture.part(m)).as(m).isEqualTo(fixture.equalPart()));
        return self();
    }

    GivenFleet $HasBorrowedFromTheOthers(@Quoted String name) {
        fixture.demandPerS.put(name, LimitFixture.LIMIT * 0.7);
        fixture.fleet.run(WARM_UP_MS);
        assertThat(fixture.part(name)).isGreaterThan(0.6);
        return self();
    }

    GivenFleet eachRelayHasADemandOfTwiceItsPart() {
        fixture.setup.members().forEach(m -> fixture.demandPerS.put(m, 2 * LimitFixture.LIMIT * fixture.equalPart()));
        return self();
    }
}
