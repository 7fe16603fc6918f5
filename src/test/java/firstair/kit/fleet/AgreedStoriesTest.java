package firstair.kit.fleet;

import com.tngtech.jgiven.junit5.SimpleScenarioTest;
import org.junit.jupiter.api.Test;

/**
 * Stories of contracts and bookings. After each event of each of them every relay held what all others hold of a
 * version, nothing was granted twice, and no zone and no limit was passed.
 */
class AgreedStoriesTest extends SimpleScenarioTest<AgreedStage> {

    @Test
    void aContractIsTightenedWhileAThirdHearsNothing() {
        given().aFleetOf$RelaysWithAContractForZones(6, "za", "zb", "zc").and().everyRelaySendsTo("za", "zb", "zc");
        when().nothingPassesBetweenTheRestAnd("r3", "r6")
                .and()
                .theOthersAreReleasedOneByOneWithAContractForZones("za", "zb")
                .and()
                .versionTwoIsAgreed()
                .and()
                .theTermOfContractsPasses();
        then().$SendsTo("r6", "za").and().$SendsTo("r3", "za").and().$Says$("r6", "F306");
        when().allLinksAreMended().and().$SecondsPass(20);
        then().everyRelaySendsTo("za", "zb");
    }

    @Test
    void aContractIsWidenedOnlyWhenTheOldOneIsOverEverywhere() {
        given().aFleetOf$RelaysWithAContractForZones(6, "za", "zb").and().$SendsNowhere("r6");
        when().votersAreReleasedUntilTheyAgreeOnZones("za", "zb", "zc").and().$SecondsPass(1.5);
        then().$SendsTo("r4", "za", "zb").and().$SendsTo("r5", "za", "zb").and().$SendsNowhere("r6");
        when().theTermOfContractsPasses().and().$SecondsPass(5);
        then().everyRelaySendsTo("za", "zb", "zc");
    }

    @Test
    void aQuotaHoldsOverTheWholeFleet() {
        given().aFleetOf$RelaysWithAQuotaOf$CallsASecond(6, 20);
        then().about$MessagesASecondAreTaken(20);
    }

    @Test
    void unusedBookedCapacityIsBorrowedAndBackWithinASecond() {
        given().aFleetOf$RelaysThatTakesBookingsOf(5, "batch")
                .and()
                .a$Booking$Of$CallsASecondStartsIn$SecondsFor$("batch", "fees", 80, 20, 120)
                .and()
                .everyRelayHasMoreOrdinaryCallsThanItMaySend();
        when().$SecondsPass(20)
                .and()
                .the$TeamShowsUpFor$At$("batch", "fees", "r1")
                .and()
                .$SecondsPass(3);
        then().ordinaryCallsTakeAtLeast$ASecond(190);
        when().callsNaming$ComeToEveryRelay("fees");
        then().within$SecondsAtLeast$CallsASecondGoOutOn$(1, 76, "fees").and().ordinaryCallsTakeAtLeast$ASecond(100);
    }

    @Test
    void aSealReachesOneSideOnly() {
        given().aFleetOf$RelaysThatTakesBookingsOf(5, "batch")
                .and()
                .a$Booking$Of$CallsASecondStartsIn$SecondsFor$("batch", "fees", 80, 40, 60)
                .and()
                .callsNaming$ComeToEveryRelay("fees")
                .and()
                .everyRelayHasMoreOrdinaryCallsThanItMaySend();
        when().nothingPassesBetweenTheRestAnd("r5")
                .and()
                .$SecondsPass(37)
                .and()
                .the$TeamShowsUpFor$At$("batch", "fees", "r1");
        then().$Is$("fees", "running")
                .and()
                .$SendsOn$FromNowOn("r1", "fees")
                .and()
                .$SendsNothingOn$("r5", "fees")
                .and()
                .$UsesNoMoreThan$OfTheLimitForOrdinaryCalls("r5", 0.025);
        when().allLinksAreMended().and().$SecondsPass(10);
        then().$SendsOn$FromNowOn("r5", "fees");
    }

    @Test
    void aRelayCutOffAfterTheSealStillAgrees() {
        given().aFleetOf$RelaysThatTakesBookingsOf(5, "batch")
                .and()
                .a$Booking$Of$CallsASecondStartsIn$SecondsFor$("batch", "fees", 80, 20, 60)
                .and()
                .callsNaming$ComeToEveryRelay("fees");
        when().$SecondsPass(12);
        then().$Is$("fees", "sealed");
        when().nothingPassesBetweenTheRestAnd("r5").and().$SecondsPass(7);
        then().$SendsOn$FromNowOn("r5", "fees");
    }

    @Test
    void twoTeamsAfterTheLastCapacityOnTwoSidesOfACut() {
        given().aFleetOf$RelaysThatTakesBookingsOf(5, "north", "south");
        when().nothingPassesBetweenTheRestAnd("r4", "r5")
                .and()
                .$SecondsPass(15)
                .and()
                .$AsksAt$For$CallsASecondAs$("north", "r2", 100, "fees")
                .and()
                .$AsksAt$For$CallsASecondAs$("south", "r5", 100, "rents")
                .and()
                .$SecondsPass(10);
        then().$Is$("fees", "confirmed").and().$IsTold$AndWhenToComeAgain("rents", "F411");
        when().allLinksAreMended()
                .and()
                .$SecondsPass(15)
                .and()
                .$AsksAt$For$CallsASecondAs$("south", "r5", 100, "rents.again")
                .and()
                .$SecondsPass(5);
        then().$WasRefusedWith$("rents.again", "F404").and().$Is$("fees", "confirmed");
    }

    @Test
    void aLeaderDiesAndItsBookingsRun() {
        given().aFleetOf$RelaysThatTakesBookingsOf(5, "batch")
                .and()
                .a$Booking$Of$CallsASecondStartsIn$SecondsFor$("batch", "fees", 80, 40, 60)
                .and()
                .callsNaming$ComeToEveryRelay("fees");
        when().theLeaderDies().and().$SecondsPass(40).and().the$TeamShowsUpFor$At$("batch", "fees", "r2");
        then().$Is$("fees", "running").and().$SendsOn$FromNowOn("r2", "fees");
    }

    @Test
    void aVoterWhoseFolderIsLostStaysAwayAndTheOthersGoOn() {
        given().aFleetOf$RelaysThatTakesBookingsOf(5, "batch")
                .and()
                .a$Booking$Of$CallsASecondStartsIn$SecondsFor$("batch", "fees", 80, 60, 60);
        when().$DiesAndItsFolderIsLost("r1")
                .and()
                .$DiesAndItsFolderIsLost("r2")
                .and()
                .$SecondsPass(20)
                .and()
                .$AsksAt$For$CallsASecondAs$("batch", "r4", 10, "rents")
                .and()
                .$SecondsPass(5);
        then().$CannotReturn("r1")
                .and()
                .$CannotReturn("r2")
                .and()
                .$Is$("fees", "confirmed")
                .and()
                .$Is$("rents", "confirmed");
    }

    @Test
    void aLimitIsHalvedUnderARunningBooking() {
        given().aFleetOf$RelaysThatTakesBookingsOf(5, "batch")
                .and()
                .a$Booking$Of$CallsASecondStartsIn$SecondsFor$("batch", "fees", 80, 20, 120)
                .and()
                .callsNaming$ComeToEveryRelay("fees")
                .and()
                .everyRelayHasMoreOrdinaryCallsThanItMaySend();
        when().$SecondsPass(20)
                .and()
                .the$TeamShowsUpFor$At$("batch", "fees", "r1")
                .and()
                .$SecondsPass(5);
        then().about$CallsASecondGoOutOn$(80, "fees");
        when().theLimitIsHalved().and().$SecondsPass(15);
        then().$IsBookedAt$CallsASecond("fees", 50)
                .and()
                .$Is$("fees", "running")
                .and()
                .about$CallsASecondGoOutOn$(50, "fees");
    }

    @Test
    void theHourThatComesTwice() {
        given().aFleetOf$RelaysThatTakesBookingsAt(3, "2026-10-24T20:00:00Z")
                .and()
                .aNightlyRunIsBookedFrom$To$OfLocalTime("02:15", "02:45");
        then().thereAre$Bookings(3)
                .and()
                .$LastsFrom$To$("nightly.2026-10-25", "2026-10-25T00:15:00Z", "2026-10-25T01:45:00Z")
                .and()
                .$LastsFrom$To$("nightly.2026-10-26", "2026-10-26T01:15:00Z", "2026-10-26T01:45:00Z");
        when().callsNaming$ComeToEveryRelay("nightly.2026-10-25")
                .and()
                .allClocksOnWallsGoOnTo("2026-10-25T00:15:10Z")
                .and()
                .the$TeamShowsUpFor$At$("night", "nightly.2026-10-25", "r1");
        then().about$CallsASecondGoOutOn$(80, "nightly.2026-10-25");
        when().allClocksOnWallsGoOnTo("2026-10-25T01:15:10Z");
        then().$Is$("nightly.2026-10-25", "running")
                .and()
                .noOtherBookingHasBegunThan$("nightly.2026-10-25")
                .and()
                .about$CallsASecondGoOutOn$(80, "nightly.2026-10-25");
        when().allClocksOnWallsGoOnTo("2026-10-25T01:45:05Z");
        then().$Is$("nightly.2026-10-25", "ended").and().$SendsNothingOn$("r1", "nightly.2026-10-25");
    }
}
