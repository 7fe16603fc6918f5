package firstair.fleet.booking;

import static firstair.fleet.booking.BookingFixtures.DAY;
import static firstair.fleet.booking.BookingFixtures.HOUR;
import static firstair.fleet.booking.BookingFixtures.MINUTE;
import static firstair.fleet.booking.BookingFixtures.NOW;
import static firstair.fleet.booking.BookingFixtures.at;
import static firstair.fleet.booking.BookingFixtures.changesOf;
import static firstair.fleet.booking.BookingFixtures.faultOf;
import static firstair.fleet.booking.BookingFixtures.put;
import static firstair.fleet.booking.BookingFixtures.startRunning;
import static firstair.fleet.booking.BookingFixtures.withoutWaiting;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import firstair.fleet.fault.Fault;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.DayOfWeek;
import java.time.Instant;
import java.time.LocalDate;
import java.time.LocalTime;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

class BookingsTest {
    private final Bookings bookings = BookingFixtures.bookings();

    private Result apply(Operation o) {
        return bookings.apply(bookings.time(), o);
    }

    private State state(String id) {
        return bookings.booking(id).state();
    }

    @Test
    void transitionsMatchTheTableInTheOperatorsPage() throws IOException {
        List<String> page = Files.readAllLines(Path.of("docs/reservations.md"));
        for (State from : State.values()) {
            String row = page.stream()
                    .filter(l -> l.startsWith("| " + from.label() + " |"))
                    .findFirst()
                    .orElseThrow();
            String next = row.split("\\|")[3].strip();
            assertThat(next.isEmpty() ? Set.of() : Set.of(next.split(", ")))
                    .as("%s", from)
                    .isEqualTo(Arrays.stream(State.values())
                            .filter(from::canBecome)
                            .map(State::label)
                            .collect(Collectors.toSet()));
        }
    }

    @Test
    void aBookingPassesThroughItsStatesAndReportsEachChange() {
        assertThat(changesOf(apply(put("x", "a", 5, 30, 10, 12)))).isEqualTo("x requested, x requested>held");
        assertThat(changesOf(apply(new Operation.Confirm("x", "a")))).isEqualTo("x held>confirmed");
        assertThat(apply(new Operation.Confirm("x", "a")).changes()).isEmpty();
        assertThat(faultOf(apply(new Operation.ShowUp("x", "a")))).isEqualTo(Fault.IllegalChange.class);
        assertThat(bookings.nextDueMs()).isEqualTo(at(9.75));
        assertThat(changesOf(bookings.apply(at(9.75), new Operation.Tick()))).isEqualTo("x confirmed>sealed");
        assertThat(changesOf(bookings.apply(at(10), new Operation.Tick()))).isEqualTo("x sealed>running");
        assertThat(changesOf(apply(new Operation.ShowUp("x", "a")))).isEqualTo("x running>running");
        Result end = bookings.apply(at(12), new Operation.Tick());
        assertThat(end.changes())
                .containsExactly(new Change("x", State.RUNNING, State.ENDED, at(12), "its end has come"));
        bookings.apply(at(12) + 31 * DAY, new Operation.Tick());
        assertThatThrownBy(() -> bookings.booking("x")).isInstanceOf(Fault.UnknownBooking.class);
    }

    @Test
    void withoutCapacityARequestIsRefusedOrWaits() {
        apply(put("x", "a", 5, 30, 10, 12)).orThrow();
        assertThat(faultOf(apply(withoutWaiting(put("y", "b", 1, 21, 11, 13))))).isEqualTo(Fault.NoRoom.class);
        assertThat(state("y")).isEqualTo(State.REFUSED);
        assertThat(changesOf(apply(put("z", "b", 1, 21, 11, 13)))).isEqualTo("z requested");
        assertThat(changesOf(apply(put("w", "b", 1, 20, 11, 13)))).endsWith("held");
        assertThat(bookings.availableRate(1, at(11), at(12))).isZero();
        // exceeds the full capacity, so it does not wait
        assertThat(faultOf(apply(put("v", "b", 1, 51, 20, 21)))).isEqualTo(Fault.NoRoom.class);
    }

    @Test
    void aRequestIsGrantedForAllDestinationsOrNone() {
        apply(put("x", "a", 5, Map.of(2, 50_000L), 10, 12)).orThrow();
        Result r = apply(withoutWaiting(put("y", "b", 5, Map.of(1, 1L, 2, 1L, 3, 1L), 9, 11)));
        assertThat(r.fault().line())
                .isEqualTo("F404: booking y: destination 2 has 0 calls a second left; "
                        + "book less, another time, or wait in the list");
        assertThat(bookings.availableRate(1, at(9), at(11))).isEqualTo(50_000);
    }

    @Test
    void aRepeatedRequestIsIgnoredAndADifferentOneWithTheSameIdRejected() {
        apply(put("x", "a", 5, 30, 10, 12)).orThrow();
        assertThat(apply(put("x", "a", 5, 30, 10, 12)).orThrow().changes()).isEmpty();
        assertThat(bookings.availableRate(1, at(10), at(12))).isEqualTo(20_000);
        assertThatThrownBy(() -> apply(put("x", "a", 5, 29, 10, 12)).orThrow()).isInstanceOf(Fault.BadRequest.class);
        apply(withoutWaiting(put("y", "b", 5, 30, 10, 12)));
        apply(new Operation.Drop("x", "makes room"));
        // refused requests may be repeated
        assertThat(changesOf(apply(withoutWaiting(put("y", "b", 5, 30, 10, 12)))))
                .endsWith("held");
    }

    @Test
    void invalidRequestsHaveSpecificFaults() {
        assertThat(faultOf(apply(put("x", "a", 5, 1, 0.99, 2)))).isEqualTo(Fault.TooLate.class);
        assertThat(faultOf(apply(put("y", "a", 5, 1, 10, 34.01)))).isEqualTo(Fault.TooLong.class);
        assertThat(faultOf(apply(put("z", "a", 5, 1, 24 * 732, 24 * 732 + 1)))).isEqualTo(Fault.BadRequest.class);
        assertThat(faultOf(apply(put("w", "nobody", 5, 1, 10, 12)))).isEqualTo(Fault.BadRequest.class);
        assertThat(faultOf(apply(put("v", "a", 5, Map.of(9, 1L), 10, 12)))).isEqualTo(Fault.BadRequest.class);
        assertThat(faultOf(apply(new Operation.Confirm("none", "a")))).isEqualTo(Fault.UnknownBooking.class);
    }

    @Test
    void rejectsClosedHoursEvenWhenTheClocksGoBack() {
        ClosingHours night = new ClosingHours(
                "Europe/Berlin",
                Set.of(DayOfWeek.SATURDAY),
                LocalTime.of(22, 0),
                LocalTime.of(2, 30),
                List.of(LocalDate.parse("2026-12-24")));
        apply(new Operation.SetDestination(1, 100_000, 500_000, List.of(night)));
        bookings.apply(Instant.parse("2026-10-20T00:00:00Z").toEpochMilli(), new Operation.Tick());
        // 02:30 occurs twice, at 00:30Z and at 01:30Z; it stays closed until the second one
        assertThat(faultOf(apply(request("x", "2026-10-25T01:29:59Z", "2026-10-25T03:00:00Z"))))
                .isEqualTo(Fault.ClosedHours.class);
        assertThat(faultOf(apply(request("y", "2026-10-25T01:30:00Z", "2026-10-25T03:00:00Z"))))
                .isNull();
        assertThat(apply(request("z", "2026-12-23T20:00:00Z", "2026-12-24T01:00:00Z"))
                        .fault())
                .hasMessageContaining("2026-12-23T23:00:00Z");
    }

    private static Operation.Put request(String id, String start, String end) {
        return Operation.Put.of(
                id,
                "a",
                5,
                Map.of(1, 1000L),
                Instant.parse(start).toEpochMilli(),
                Instant.parse(end).toEpochMilli(),
                false);
    }

    @Test
    void theQuotaIsSplitByMonthInTheTeamsZone() {
        apply(new Operation.SetTeam("a", 7_200_000, "Europe/Berlin")); // 7,200 calls
        // the month ends at 22:00Z: daylight-saving time began two days before
        Operation.Put p = Operation.Put.of(
                "x",
                "a",
                5,
                Map.of(1, 1000L),
                Instant.parse("2026-03-31T21:00:00Z").toEpochMilli(),
                Instant.parse("2026-04-01T00:00:00Z").toEpochMilli(),
                false);
        apply(p).orThrow();
        assertThat(bookings.booking("x").charged())
                .isEqualTo(Map.of(2026 * 12 + 2, 3_600_000L, 2026 * 12 + 3, 7_200_000L));
        assertThat(apply(withoutWaiting(put("y", "a", 5, 1, 24 * 32, 24 * 32 + 0.5)))
                        .fault())
                .isInstanceOf(Fault.TeamQuota.class)
                .hasMessageContaining("has 0 calls left in 2026-04");
        apply(new Operation.End("x", "a", "not needed"));
        assertThat(changesOf(apply(withoutWaiting(put("z", "a", 5, 1, 24 * 32, 24 * 32 + 2)))))
                .endsWith("held");
    }

    @Test
    void freedCapacityIsOfferedByRankThenAgeAndAgainAfterALapse() {
        apply(put("x", "a", 5, 50, 100, 102)).orThrow();
        apply(put("late", "b", 3, 50, 100, 101));
        apply(put("old", "b", 5, 50, 101, 102));
        apply(put("first", "c", 3, 50, 101, 103));
        apply(put("second", "c", 3, 50, 101, 103));
        assertThat(changesOf(apply(new Operation.Drop("x", "maintenance"))))
                .isEqualTo("x held>released, late requested>held, first requested>held");
        apply(new Operation.Confirm("late", "b"));
        assertThat(changesOf(bookings.apply(NOW + DAY, new Operation.Tick())))
                .isEqualTo("first held>lapsed, second requested>held");
        assertThat(changesOf(bookings.apply(at(99), new Operation.Tick())))
                .isEqualTo("second held>lapsed, old requested>held");
        assertThat(changesOf(bookings.apply(at(100.75), new Operation.Tick()))).contains("old held>lapsed");
    }

    @Test
    void waitingRequestsLapse() {
        apply(put("x", "a", 5, 50, 10, 12)).orThrow();
        apply(put("y", "b", 5, 1, 10, 12));
        assertThat(changesOf(bookings.apply(at(9.75), new Operation.Tick()))).contains("y requested>lapsed");
    }

    @Test
    void aRunThatDoesNotBeginInTimeReleasesCapacityAfterTheHorizon() {
        apply(put("x", "a", 5, 50, 10, 20)).orThrow();
        apply(new Operation.Confirm("x", "a"));
        bookings.apply(at(10), new Operation.Tick());
        Result r = bookings.apply(at(10.25), new Operation.Tick());
        assertThat(r.changes())
                .containsExactly(new Change("x", State.RUNNING, State.RELEASED, at(10.25), "nobody showed up in time"));
        assertThat(bookings.availableRate(1, at(10.25), at(10.5))).isZero();
        assertThat(bookings.availableRate(1, at(10.5), at(20))).isEqualTo(50_000);
        SealedBookings.Entry entry = bookings.sealedSet(at(10.25)).entries().get(0);
        assertThat(entry.rates()).isEmpty();
        assertThat(entry.reserved()).isEqualTo(Map.of(1, 50_000L));
        assertThat(entry.endMs()).isEqualTo(at(10.5));
    }

    @Test
    void endingEarlyFreesCapacityAndQuota() {
        startRunning(bookings, "x", "a", 50, 10, 20);
        assertThat(changesOf(bookings.apply(at(11), new Operation.End("x", "a", "done"))))
                .isEqualTo("x running>ended");
        assertThat(apply(new Operation.End("x", "a", "done")).orThrow().changes())
                .isEmpty();
        assertThat(bookings.booking("x").charged()).containsValue(50_000L * 75 * 60); // 75 minutes
        assertThat(changesOf(apply(put("y", "b", 5, 50, 12, 20)))).endsWith("held");
    }

    @Test
    void sealedBookingsCannotBeChanged() {
        apply(put("x", "a", 5, 50, 10, 20)).orThrow();
        apply(new Operation.Confirm("x", "a"));
        bookings.apply(at(9.75), new Operation.Tick());
        for (Operation o : List.of(
                new Operation.End("x", "a", "r"),
                new Operation.Extend("x", "a", at(21)),
                new Operation.Move("x", at(30), at(31), "r"),
                new Operation.Drop("x", "r"))) {
            assertThat(faultOf(apply(o))).as("%s", o).isEqualTo(Fault.Sealed.class);
        }
        assertThat(faultOf(apply(new Operation.Confirm("x", "a")))).isEqualTo(Fault.IllegalChange.class);
        assertThat(state("x")).isEqualTo(State.SEALED);
    }

    @Test
    void nothingIsGrantedWithinTheHorizon() {
        apply(put("x", "a", 5, 50, 10, 12)).orThrow();
        bookings.apply(at(5), new Operation.Tick());
        assertThat(faultOf(apply(new Operation.Move("x", at(5.25), at(6), "r"))))
                .isEqualTo(Fault.TooLate.class);
        assertThat(faultOf(apply(new Operation.Move("x", at(5.26), at(6), "r"))))
                .isNull();
        assertThat(bookings.booking("x").startMs()).isEqualTo(at(5.26));
    }

    @Test
    void aRunningBookingIsExtendedIfThereIsCapacityAndItsEndIsBeyondTheHorizon() {
        startRunning(bookings, "x", "a", 30, 10, 12);
        apply(put("y", "b", 5, 30, 13, 14)).orThrow();
        assertThat(faultOf(apply(new Operation.Extend("x", "a", at(13.5))))).isEqualTo(Fault.NoRoom.class);
        assertThat(faultOf(apply(new Operation.Extend("x", "a", at(11))))).isEqualTo(Fault.BadRequest.class);
        assertThat(faultOf(apply(new Operation.Extend("x", "b", at(13))))).isEqualTo(Fault.NotYours.class);
        assertThat(changesOf(apply(new Operation.Extend("x", "a", at(13))))).isEqualTo("x running>running");
        assertThat(bookings.availableRate(1, at(12), at(13))).isEqualTo(20_000);
        assertThat(faultOf(bookings.apply(at(12.75), new Operation.Extend("x", "a", at(13) + MINUTE))))
                .isEqualTo(Fault.TooLate.class);
    }

    @Test
    void aMovedBookingDoesNotCompeteWithItself() {
        apply(put("x", "a", 5, 50, 10, 12)).orThrow();
        apply(put("y", "b", 5, 50, 13, 14)).orThrow();
        assertThat(faultOf(apply(new Operation.Move("x", at(12), at(14), "r")))).isEqualTo(Fault.NoRoom.class);
        Result r = apply(new Operation.Move("x", at(11), at(13), "the partner asked"));
        assertThat(r.changes())
                .containsExactly(new Change("x", State.HELD, State.HELD, NOW, "moved by operators: the partner asked"));
        assertThat(bookings.availableRate(1, at(10), at(11))).isEqualTo(50_000);
        assertThat(bookings.availableRate(1, at(12), at(13))).isZero();
    }

    @Test
    void aLowerLimitCutsAllBookingsInProportion() {
        startRunning(bookings, "x", "a", 30, 10, 20);
        apply(put("y", "b", 5, 20, 12, 20)).orThrow();
        apply(put("z", "c", 5, 40, 20, 21)).orThrow();
        apply(put("w", "c", 5, 25, 30, 31)).orThrow();
        Result r = bookings.apply(at(11), new Operation.Limit(1, 50_000));
        assertThat(r.changes())
                .extracting(Change::cause)
                .containsExactly(
                        "cut at destination 1 from 30 to 15 calls a second: its limit is 50",
                        "cut at destination 1 from 20 to 10 calls a second: its limit is 50",
                        "cut at destination 1 from 40 to 25 calls a second: its limit is 50");
        assertThat(bookings.booking("w").rates()).containsEntry(1, 25_000L);
        SealedBookings.Entry entry = bookings.sealedSet(at(11)).entries().get(0); // relays may still use the old rate
        assertThat(entry.reserved()).containsEntry(1, 30_000L);
        assertThat(entry.reservedUntilMs()).isEqualTo(at(11.25));
        apply(new Operation.Limit(1, 100_000));
        assertThat(bookings.booking("x").rates()).containsEntry(1, 15_000L); // cuts are not undone
    }

    @Test
    void newRulesApplyAtOnceButTheHorizonNeverMovesBack() {
        apply(put("x", "a", 5, 50, 3, 4)).orThrow();
        apply(new Operation.Confirm("x", "a"));
        Rules defaults = Rules.defaults();
        apply(new Operation.SetRules(new Rules(
                4 * HOUR,
                5 * HOUR,
                defaults.longestMs(),
                defaults.aheadMs(),
                defaults.holdMs(),
                defaults.showUpMs(),
                defaults.forgetMs(),
                defaults.maxBookings())));
        assertThat(state("x")).isEqualTo(State.SEALED);
        apply(new Operation.SetRules(defaults));
        assertThat(bookings.sealedSet(NOW).throughMs()).isEqualTo(at(4));
        assertThat(faultOf(apply(put("y", "a", 5, 1, 4, 5)))).isEqualTo(Fault.TooLate.class);
        assertThat(faultOf(apply(put("z", "a", 5, 1, 4.01, 5)))).isNull();
    }

    @Test
    void theNumberOfBookingsIsLimitedAndRefusedOnesAreRemovedFirst() {
        Rules defaults = Rules.defaults();
        apply(new Operation.SetRules(new Rules(
                defaults.sealBeforeMs(),
                defaults.leadMs(),
                defaults.longestMs(),
                defaults.aheadMs(),
                defaults.holdMs(),
                defaults.showUpMs(),
                defaults.forgetMs(),
                2)));
        apply(withoutWaiting(put("no", "a", 5, 51, 10, 11)));
        apply(put("x", "a", 5, 1, 10, 11)).orThrow();
        apply(put("y", "a", 5, 1, 10, 11)).orThrow();
        assertThat(bookings.all()).extracting(Booking::id).containsExactly("x", "y");
        assertThat(faultOf(apply(put("z", "a", 5, 1, 10, 11)))).isEqualTo(Fault.BadRequest.class);
    }

    @Test
    void rejectsSnapshotsInAnotherFormatAndDamagedOnes() {
        byte[] bytes = bookings.snapshot();
        String text = new String(bytes, StandardCharsets.UTF_8);
        assertThatThrownBy(() -> Bookings.restore(
                        text.replace("bookings-1", "bookings-2").getBytes(StandardCharsets.UTF_8)))
                .isInstanceOf(Fault.UnknownEntry.class);
        assertThatThrownBy(() -> Bookings.restore(Arrays.copyOf(bytes, bytes.length / 2)))
                .isInstanceOf(Fault.TornLedger.class);
    }
}
