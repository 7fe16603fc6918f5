package firstair.kit.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import com.tngtech.jgiven.Stage;
import com.tngtech.jgiven.annotation.Quoted;
import com.tngtech.jgiven.annotation.ScenarioState;
import java.util.List;

/** Results of the scenarios of limits; the invariants have already checked every moment before. */
public class ThenLimits extends Stage<ThenLimits> {
    private static final double TOLERANCE = 1e-9;

    @ScenarioState
    LimitFixture fixture;

    ThenLimits $UsesOnlyItsGuaranteedPart(@Quoted String name) {
        assertThat(fixture.part(name)).isCloseTo(fixture.guaranteed(), within(TOLERANCE));
        return self();
    }

    ThenLimits $UsesItsEqualPart(@Quoted String name) {
        assertThat(fixture.part(name)).isCloseTo(fixture.equalPart(), within(TOLERANCE));
        return self();
    }

    ThenLimits allUseTheirEqualParts() {
        fixture.setup
                .members()
                .forEach(m -> assertThat(fixture.part(m)).as(m).isCloseTo(fixture.equalPart(), within(TOLERANCE)));
        return self();
    }

    ThenLimits $UsesNoMoreThan$(@Quoted String name, double part) {
        assertThat(fixture.part(name)).isLessThanOrEqualTo(part);
        return self();
    }

    ThenLimits $UsesMoreThan$(@Quoted String name, double part) {
        assertThat(fixture.part(name)).isGreaterThan(part);
        return self();
    }

    ThenLimits theWholeLimitIsInUseExceptTheGuaranteedPartOf$(@Quoted String name) {
        assertThat(fixture.fleet.parts(LimitFixture.DESTINATION)).isCloseTo(1 - fixture.guaranteed(), within(1e-4));
        return self();
    }

    ThenLimits allExcept$WaitToo(@Quoted String name) {
        fixture.others(name).forEach(m -> assertThat(remainingWaitMs(m)).as(m).isBetween(1.0, 10_000.0));
        return self();
    }

    ThenLimits noRelayWaitsAnyLonger() {
        fixture.setup
                .members()
                .forEach(m -> assertThat(remainingWaitMs(m)).as(m).isZero());
        return self();
    }

    private double remainingWaitMs(String name) {
        return ((RealRelayLogic) fixture.fleet.process(name).logic()).remainingWaitMs(LimitFixture.DESTINATION);
    }

    ThenLimits atLeast$OfTheLimitIsInUse(double part) {
        assertThat(fixture.fleet.parts(LimitFixture.DESTINATION)).isGreaterThanOrEqualTo(part);
        return self();
    }

    ThenLimits noRelayHasMoreThanItsEqualPart() {
        return noRelayExcept$HasMoreThanItsEqualPart("");
    }

    ThenLimits noRelayExcept$HasMoreThanItsEqualPart(@Quoted String name) {
        fixture.others(name)
                .forEach(m -> assertThat(fixture.part(m)).as(m).isLessThanOrEqualTo(fixture.equalPart() + TOLERANCE));
        return self();
    }

    ThenLimits theOlderProcessOf$UsesOnlyItsGuaranteedPartAndReportsWhy(@Quoted String name) {
        List<SimulatedProcess> both = fixture.fleet.running(name);
        assertThat(both).hasSize(2);
        assertThat(both.get(0).part(LimitFixture.DESTINATION)).isCloseTo(fixture.guaranteed(), within(TOLERANCE));
        assertThat(both.get(0).reports()).anyMatch(line -> line.contains("F105"));
        return self();
    }

    ThenLimits theNewerProcessOf$UsesItsEqualPart(@Quoted String name) {
        assertThat(fixture.fleet.process(name).part(LimitFixture.DESTINATION))
                .isCloseTo(fixture.equalPart(), within(TOLERANCE));
        return self();
    }
}
