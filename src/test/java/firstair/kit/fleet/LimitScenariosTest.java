package firstair.kit.fleet;

import com.tngtech.jgiven.junit5.ScenarioTest;
import org.junit.jupiter.api.Test;

/** Scenarios of shared limits. After every event neither the sum of parts nor the calls of a second may exceed one. */
class LimitScenariosTest extends ScenarioTest<GivenFleet, WhenFaults, ThenLimits> {

    @Test
    void aBusyRelayBorrowsWhatOthersDoNotUse() {
        given().aFleetOf$Relays(5).and().allOfThemHaveTheirEqualPart();
        when().$HasADemandOf$CallsASecond("r4", 0.9 * LimitFixture.LIMIT).and().$SecondsPass(10);
        then().$UsesMoreThan$("r4", 0.79);
        when().$HasNoMoreDemand("r4").and().$SecondsPass(15);
        then().allUseTheirEqualParts();
    }

    @Test
    void aPartitionDuringALoanEndsItAtTheBorrowerFirst() {
        given().aFleetOf$Relays(5).and().$HasBorrowedFromTheOthers("r5");
        when().$IsCutOffFromAllOthers("r5").and().itsLeasesExpire();
        then().$UsesOnlyItsGuaranteedPart("r5").and().noRelayExcept$HasMoreThanItsEqualPart("r5");
        when().allLinksAreRestored().and().$SecondsPass(15);
        then().$UsesMoreThan$("r5", 0.6);
    }

    @Test
    void aGrantWhoseResponseIsLostBindsTheVotersAndGivesTheRelayNothing() {
        given().aFleetOf$Relays(5).and().allOfThemHaveTheirEqualPart();
        when().noMessageReaches$AnyLonger("r5").and().itsLeasesExpire();
        then().$UsesOnlyItsGuaranteedPart("r5").and().noRelayExcept$HasMoreThanItsEqualPart("r5");
        when().allLinksAreRestored().and().$SecondsPass(5);
        then().allUseTheirEqualParts();
    }

    @Test
    void aRestartedLenderUsesOnlyItsGuaranteedPartUntilItsLoansExpire() {
        given().aFleetOf$Relays(5).and().$HasBorrowedFromTheOthers("r5");
        when().$IsKilled("r1").and().$RestartsAtOnce("r1").and().$SecondsPass(1);
        then().$UsesOnlyItsGuaranteedPart("r1");
        when().$SecondsPass(15);
        then().$UsesMoreThan$("r5", 0.6).and().atLeast$OfTheLimitIsInUse(0.95);
    }

    @Test
    void relaysRestartedWithoutTheirFoldersBeginAtTheirGuaranteedPart() {
        given().aFleetOf$Relays(8)
                .and()
                .eachRelayHasADemandOfTwiceItsPart()
                .and()
                .allOfThemHaveTheirEqualPart();
        when().theLast$RelaysRestartWithoutTheirFolders(4).and().$SecondsPass(1);
        then().$UsesOnlyItsGuaranteedPart("r8").and().noRelayHasMoreThanItsEqualPart();
        when().$SecondsPass(15);
        then().allUseTheirEqualParts();
    }

    @Test
    void aPausedRelayWhoseLeasesExpiredUsesOnlyItsGuaranteedPart() {
        given().aFleetOf$Relays(5).and().$HasBorrowedFromTheOthers("r5");
        when().$IsPausedFor$Seconds("r5", 30).and().$SecondsPass(29.999);
        then().$UsesOnlyItsGuaranteedPart("r5").and().atLeast$OfTheLimitIsInUse(0.75);
        when().$SecondsPass(15);
        then().$UsesMoreThan$("r5", 0.6);
    }

    @Test
    void aSilentRelaysPartIsUsedByOthersOnlyAfterItHasReducedItsOwn() {
        given().aFleetOf$Relays(5)
                .and()
                .eachRelayHasADemandOfTwiceItsPart()
                .and()
                .allOfThemHaveTheirEqualPart();
        when().$IsCutOffFromAllOthers("r5").and().$SecondsPass(3.5);
        then().noRelayHasMoreThanItsEqualPart();
        when().$SecondsPass(20);
        then().$UsesOnlyItsGuaranteedPart("r5").and().atLeast$OfTheLimitIsInUse(0.999);
        when().allLinksAreRestored().and().$SecondsPass(15);
        then().allUseTheirEqualParts();
    }

    @Test
    void aSideWithoutAMajorityOfTheVotersKeepsItsGuaranteedParts() {
        given().aFleetOf$Relays(9)
                .and()
                .eachRelayHasADemandOfTwiceItsPart()
                .and()
                .allOfThemHaveTheirEqualPart();
        when().theLast$RelaysAreCutOffFromTheOthers(6).and().$SecondsPass(60);
        then().$UsesOnlyItsGuaranteedPart("r9")
                .and()
                .$UsesOnlyItsGuaranteedPart("r4")
                .and()
                .$UsesMoreThan$("r1", 0.2);
    }

    @Test
    void aWaitRequestedFromOneRelayBindsAllOthersForAsLong() {
        given().aFleetOf$Relays(12).and().allOfThemHaveTheirEqualPart();
        when().anEndpointAsks$ToWait$Seconds("r7", 10).and().$SecondsPass(4);
        then().allExcept$WaitToo("r7");
        when().$SecondsPass(8); // forwarded waits end later by the time that they were in transit
        then().noRelayWaitsAnyLonger();
    }

    @Test
    void ofTwoProcessesOfOneNameTheOlderFallsBackToItsGuaranteedPart() {
        given().aFleetOf$Relays(5).and().allOfThemHaveTheirEqualPart();
        when().aSecondProcessStartsAs$("r5").and().$SecondsPass(15);
        then().theOlderProcessOf$UsesOnlyItsGuaranteedPartAndReportsWhy("r5")
                .and()
                .theNewerProcessOf$UsesItsEqualPart("r5");
    }
}
