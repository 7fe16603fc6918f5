package firstair.kit.fleet;

import com.tngtech.jgiven.junit5.SimpleScenarioTest;
import org.junit.jupiter.api.Test;

/**
 * Scenarios of contracts and bookings. After every event all relays with the same version have to have the same state,
 * no capacity may be granted twice, and no zone and no limit may be violated.
 */
class AgreementScenariosTest extends SimpleScenarioTest<AgreementStage> {

    @Test
    void aContractIsTightenedWhileAThirdOfTheRelaysIsCutOff() {
        given().aFleetOf$RelaysWithAContractForZones(6, "za", "zb", "zc").and().everyRelaySendsTo("za", "zb", "zc");
        when().theRestIsCutOffFrom("r3", "r6")
                .and()
                .theReachableRelaysRestartOneByOneWithAContractForZones("za", "zb")
                .and()
                .versionTwoIsAgreed()
                .and()
                .theTermOfContractsPasses();
        then().$SendsTo("r6", "za").and().$SendsTo("r3", "za").and().$Reports$("r6", "F306");
        when().allLinksAreRestored().and().$SecondsPass(20);
        then().everyRelaySendsTo("za", "zb");
    }

    @Test
    void aWiderContractAppliesOnlyAfterTheOldOneHasExpiredEverywhere() {
        given().aFleetOf$RelaysWithAContractForZones(6, "za", "zb").and().$SendsNowhere("r6");
        when().votersRestartWithANewContractUntilTheyAgreeOnZones("za", "zb", "zc")
                .and()
                .$SecondsPass(1.5);
        then().$SendsTo("r4", "za", "zb").and().$SendsTo("r5", "za", "zb").and().$SendsNowhere("r6");
        when().theTermOfContractsPasses().and().$SecondsPass(5);
        then().everyRelaySendsTo("za", "zb", "zc");
    }

    @Test
    void aQuotaHoldsForTheWholeFleet() {
        given().aFleetOf$RelaysWithAQuotaOf$CallsASecond(6, 20);
        then().about$MessagesASecondAreAccepted(20);
    }

    @Test
    void unusedBookedCapacityIsLentAndReturnedWithinASecond() {
        given().aFleetOf$RelaysThatAcceptsBookingsOf(5, "batch")
                .and()
                .a$Booking$Of$CallsASecondStartsIn$SecondsFor$("batch", "fees", 80, 20, 120)
                .and()
                .everyRelayHasMoreOrdinaryCallsThanItMaySend();
        when().$SecondsPass(20)
                .and()
                .the$TeamShowsUpFor$At$("batch", "fees", "r1")
                .and()
                .$SecondsPass(3);
        then().atLeast$OrdinaryCallsASecondAreSent(190);
        when().callsNaming$ArriveAtEveryRelay("fees");
        then().after$SecondsAtLeast$CallsASecondAreSentOn$(1, 76, "fees")
                .and()
                .atLeast$OrdinaryCallsASecondAreSent(100);
    }

    @Test
    void aRelayCutOffBeforeTheSealSendsNothingOnTheBooking() {
        given().aFleetOf$RelaysThatAcceptsBookingsOf(5, "batch")
                .and()
                .a$Booking$Of$CallsASecondStartsIn$SecondsFor$("batch", "fees", 80, 40, 60)
                .and()
                .callsNaming$ArriveAtEveryRelay("fees")
                .and()
                .everyRelayHasMoreOrdinaryCallsThanItMaySend();
        when().theRestIsCutOffFrom("r5").and().$SecondsPass(37).and().the$TeamShowsUpFor$At$("batch", "fees", "r1");
        then().$Is$("fees", "running")
                .and()
                .$SendsCallsOn$("r1", "fees")
                .and()
                .$SendsNoCallsOn$("r5", "fees")
                .and()
                .$UsesNoMoreThan$OfTheLimitForOrdinaryCalls("r5", 0.025);
        when().allLinksAreRestored().and().$SecondsPass(10);
        then().$SendsCallsOn$("r5", "fees");
    }

    @Test
    void aRelayCutOffAfterTheSealStillSendsOnTheBooking() {
        given().aFleetOf$RelaysThatAcceptsBookingsOf(5, "batch")
                .and()
                .a$Booking$Of$CallsASecondStartsIn$SecondsFor$("batch", "fees", 80, 20, 60)
                .and()
                .callsNaming$ArriveAtEveryRelay("fees");
        when().$SecondsPass(12);
        then().$Is$("fees", "sealed");
        when().theRestIsCutOffFrom("r5").and().$SecondsPass(7);
        then().$SendsCallsOn$("r5", "fees");
    }

    @Test
    void twoTeamsRequestTheLastCapacityOnTwoSidesOfAPartition() {
        given().aFleetOf$RelaysThatAcceptsBookingsOf(5, "north", "south");
        when().theRestIsCutOffFrom("r4", "r5")
                .and()
                .$SecondsPass(15)
                .and()
                .$RequestsAt$ABookingOf$CallsASecondAs$("north", "r2", 100, "fees")
                .and()
                .$RequestsAt$ABookingOf$CallsASecondAs$("south", "r5", 100, "rents")
                .and()
                .$SecondsPass(10);
        then().$Is$("fees", "confirmed").and().$FailsWith$AndATimeToRetry("rents", "F411");
        when().allLinksAreRestored()
                .and()
                .$SecondsPass(15)
                .and()
                .$RequestsAt$ABookingOf$CallsASecondAs$("south", "r5", 100, "rents.again")
                .and()
                .$SecondsPass(5);
        then().$WasRefusedWith$("rents.again", "F404").and().$Is$("fees", "confirmed");
    }

    @Test
    void bookingsRunAfterTheLeaderIsKilled() {
        given().aFleetOf$RelaysThatAcceptsBookingsOf(5, "batch")
                .and()
                .a$Booking$Of$CallsASecondStartsIn$SecondsFor$("batch", "fees", 80, 40, 60)
                .and()
                .callsNaming$ArriveAtEveryRelay("fees");
        when().theLeaderIsKilled().and().$SecondsPass(40).and().the$TeamShowsUpFor$At$("batch", "fees", "r2");
        then().$Is$("fees", "running").and().$SendsCallsOn$("r2", "fees");
    }

    @Test
    void aVoterWhoseFolderIsLostCannotRestartAndTheOthersContinue() {
        given().aFleetOf$RelaysThatAcceptsBookingsOf(5, "batch")
                .and()
                .a$Booking$Of$CallsASecondStartsIn$SecondsFor$("batch", "fees", 80, 60, 60);
        when().$IsKilledAndItsFolderIsLost("r1")
                .and()
                .$IsKilledAndItsFolderIsLost("r2")
                .and()
                .$SecondsPass(20)
                .and()
                .$RequestsAt$ABookingOf$CallsASecondAs$("batch", "r4", 10, "rents")
                .and()
                .$SecondsPass(5);
        then().$CannotRestart("r1")
                .and()
                .$CannotRestart("r2")
                .and()
                .$Is$("fees", "confirmed")
                .and()
                .$Is$("rents", "confirmed");
    }

    @Test
    void aLimitIsHalvedDuringARunningBooking() {
        given().aFleetOf$RelaysThatAcceptsBookingsOf(5, "batch")
                .and()
                .a$Booking$Of$CallsASecondStartsIn$SecondsFor$("batch", "fees", 80, 20, 120)
                .and()
                .callsNaming$ArriveAtEveryRelay("fees")
                .and()
                .everyRelayHasMoreOrdinaryCallsThanItMaySend();
        when().$SecondsPass(20)
                .and()
                .the$TeamShowsUpFor$At$("batch", "fees", "r1")
                .and()
                .$SecondsPass(5);
        then().about$CallsASecondAreSentOn$(80, "fees");
        when().theLimitIsHalved().and().$SecondsPass(15);
        then().$IsBookedAt$CallsASecond("fees", 50)
                .and()
                .$Is$("fees", "running")
                .and()
                .about$CallsASecondAreSentOn$(50, "fees");
    }

    @Test
    void aNightlyRunInTheRepeatedHourOfAChangeFromSummerTime() {
        given().aFleetOf$RelaysThatAcceptsBookingsAt(3, "2026-10-24T20:00:00Z")
                .and()
                .aNightlyRunIsBookedFrom$To$OfLocalTime("02:15", "02:45");
        then().thereAre$Bookings(3)
                .and()
                .$LastsFrom$To$("nightly.2026-10-25", "2026-10-25T00:15:00Z", "2026-10-25T01:45:00Z")
                .and()
                .$LastsFrom$To$("nightly.2026-10-26", "2026-10-26T01:15:00Z", "2026-10-26T01:45:00Z");
        when().callsNaming$ArriveAtEveryRelay("nightly.2026-10-25")
                .and()
                .allWallClocksAdvanceTo("2026-10-25T00:15:10Z")
                .and()
                .the$TeamShowsUpFor$At$("night", "nightly.2026-10-25", "r1");
        then().about$CallsASecondAreSentOn$(80, "nightly.2026-10-25");
        when().allWallClocksAdvanceTo("2026-10-25T01:15:10Z");
        then().$Is$("nightly.2026-10-25", "running")
                .and()
                .noBookingHasStartedExcept$("nightly.2026-10-25")
                .and()
                .about$CallsASecondAreSentOn$(80, "nightly.2026-10-25");
        when().allWallClocksAdvanceTo("2026-10-25T01:45:05Z");
        then().$Is$("nightly.2026-10-25", "ended").and().$SendsNoCallsOn$("r1", "nightly.2026-10-25");
    }
}
