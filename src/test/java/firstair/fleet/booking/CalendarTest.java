package firstair.fleet.booking;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import firstair.fleet.fault.Fault;
import java.time.DayOfWeek;
import java.time.Instant;
import java.time.LocalDate;
import java.time.LocalTime;
import java.time.YearMonth;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TimeZone;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class CalendarTest {
    private static final Set<DayOfWeek> WEEKEND = Set.of(DayOfWeek.SATURDAY, DayOfWeek.SUNDAY);
    private static final LocalTime MIDNIGHT = LocalTime.MIDNIGHT;
    private final Calendar berlin = calendar("Europe/Berlin", MIDNIGHT, MIDNIGHT, "de");

    private static Calendar calendar(String zone, LocalTime opens, LocalTime closes, String... countries) {
        return new Calendar(new Calendar.Terms(
                "c",
                zone,
                List.of(countries),
                WEEKEND,
                Set.of(LocalDate.parse("2026-12-24"), LocalDate.parse("2026-12-31")),
                opens,
                closes,
                LocalTime.of(16, 0)));
    }

    private static long ms(String instant) {
        return Instant.parse(instant).toEpochMilli();
    }

    private static Calendar.Repeat repeat(
            String rule, String first, String from, String to, Calendar.Shift shift, int workday) {
        return new Calendar.Repeat(
                rule, LocalDate.parse(first), LocalTime.parse(from), LocalTime.parse(to), shift, workday, 12);
    }

    private static List<String> days(List<Calendar.Span> spans) {
        return spans.stream().map(s -> s.day().toString()).toList();
    }

    @Test
    void holidaysWeekendsAndClosedDatesAreNotWorkingDays() {
        assertThat(berlin.isWorkingDay(LocalDate.parse("2026-05-14"))).isFalse(); // Ascension, by Easter
        assertThat(berlin.isWorkingDay(LocalDate.parse("2026-05-15"))).isTrue();
        assertThat(berlin.isWorkingDay(LocalDate.parse("2026-06-04")))
                .isTrue(); // Corpus Christi, in some subdivisions only
        assertThat(calendar("Europe/Berlin", MIDNIGHT, MIDNIGHT, "de-by").isWorkingDay(LocalDate.parse("2026-06-04")))
                .isFalse();
        assertThat(berlin.lastWorkingDay(YearMonth.of(2026, 12))).isEqualTo("2026-12-30");
        assertThat(berlin.lastWorkingDay(YearMonth.of(2026, 5))).isEqualTo("2026-05-29");
        assertThat(berlin.nthWorkingDay(YearMonth.of(2026, 5), 1)).isEqualTo("2026-05-04");
        assertThat(berlin.workingDayOnOrAfter(LocalDate.parse("2026-12-24"))).isEqualTo("2026-12-28");
        assertThat(berlin.workingDayOnOrBefore(LocalDate.parse("2026-04-06"))).isEqualTo("2026-04-02"); // Easter Monday
        assertThatThrownBy(() -> berlin.nthWorkingDay(YearMonth.of(2026, 5), 30))
                .isInstanceOf(Fault.BadCalendar.class);
    }

    @Test
    void requestsAfterTheCutOffCountOnTheNextWorkingDay() {
        assertThat(berlin.effectiveDay(ms("2026-05-13T13:59:59Z"))).isEqualTo("2026-05-13");
        assertThat(berlin.effectiveDay(ms("2026-05-13T14:00:00Z"))).isEqualTo("2026-05-15");
        assertThat(days(berlin.expand(
                        repeat("FREQ=DAILY;COUNT=20", "2026-05-10", "18:00", "20:00", Calendar.Shift.SKIP, 0),
                        ms("2026-05-13T14:00:00Z"))))
                .startsWith("2026-05-18", "2026-05-19");
    }

    @Test
    void openingHoursApplyOnWorkingDaysInTheCalendarsZone() {
        Calendar shop = calendar("America/New_York", LocalTime.of(9, 0), LocalTime.of(17, 0), "us");
        assertThat(shop.isOpen(ms("2026-03-09T13:00:00Z"))).isTrue(); // the day after daylight-saving time began
        assertThat(shop.isOpen(ms("2026-03-06T13:59:59Z"))).isFalse();
        assertThat(shop.isOpen(ms("2026-03-07T15:00:00Z"))).isFalse();
        assertThatThrownBy(() -> shop.expand(
                        repeat("FREQ=DAILY", "2026-03-01", "16:00", "18:00", Calendar.Shift.SKIP, 0),
                        ms("2026-03-01T00:00:00Z")))
                .hasMessageContaining("not open");
    }

    @Test
    void daylightSavingGapsAndOverlaps() {
        long now = ms("2026-01-05T00:00:00Z");
        Calendar all = new Calendar(
                new Calendar.Terms("c", "Europe/Berlin", List.of(), Set.of(), Set.of(), MIDNIGHT, MIDNIGHT, MIDNIGHT));
        // 29 March: 02:00 to 03:00 is skipped; the first instant after the gap is 01:00Z
        assertThat(all.expand(
                        repeat("FREQ=YEARLY;COUNT=1", "2026-03-29", "02:30", "03:30", Calendar.Shift.SKIP, 0), now))
                .containsExactly(new Calendar.Span(
                        LocalDate.parse("2026-03-29"), ms("2026-03-29T01:00:00Z"), ms("2026-03-29T01:30:00Z")));
        assertThat(all.expand(
                        repeat("FREQ=YEARLY;COUNT=1", "2026-03-29", "02:10", "02:50", Calendar.Shift.SKIP, 0), now))
                .isEmpty(); // the whole span lies in the gap
        // 25 October: 02:00 to 03:00 occurs twice; the span covers both
        assertThat(all.expand(
                        repeat("FREQ=YEARLY;COUNT=1", "2026-10-25", "02:15", "02:45", Calendar.Shift.SKIP, 0), now))
                .containsExactly(new Calendar.Span(
                        LocalDate.parse("2026-10-25"), ms("2026-10-25T00:15:00Z"), ms("2026-10-25T01:45:00Z")));
        assertThat(all.expand(repeat("FREQ=YEARLY", "2026-12-30", "22:00", "02:00", Calendar.Shift.SKIP, 0), now)
                        .get(0)
                        .endMs())
                .isEqualTo(ms("2026-12-31T01:00:00Z"));
    }

    @Test
    void occurrencesAreShiftedToWorkingDays() {
        long now = ms("2026-01-05T00:00:00Z");
        String month = "FREQ=MONTHLY;BYMONTHDAY=-1;UNTIL=20260531";
        assertThat(days(berlin.expand(repeat(month, "2026-01-31", "18:00", "20:00", Calendar.Shift.BEFORE, 0), now)))
                .containsExactly("2026-01-30", "2026-02-27", "2026-03-31", "2026-04-30", "2026-05-29");
        assertThat(days(berlin.expand(repeat(month, "2026-01-31", "18:00", "20:00", Calendar.Shift.AFTER, 0), now)))
                .containsExactly("2026-02-02", "2026-03-02", "2026-03-31", "2026-04-30", "2026-06-01");
        assertThat(days(berlin.expand(repeat(month, "2026-01-31", "18:00", "20:00", Calendar.Shift.SKIP, 0), now)))
                .containsExactly("2026-03-31", "2026-04-30");
        assertThat(days(berlin.expand(
                        repeat("FREQ=MONTHLY;COUNT=3", "2026-01-01", "18:00", "20:00", Calendar.Shift.SKIP, 3), now)))
                .containsExactly("2026-01-06", "2026-02-04", "2026-03-04");
        assertThat(days(berlin.expand(
                        repeat(
                                "FREQ=WEEKLY;BYDAY=FR,SA,SU;COUNT=6",
                                "2026-01-09",
                                "18:00",
                                "20:00",
                                Calendar.Shift.AFTER,
                                0),
                        now))) // those of Saturday and Sunday are merged
                .containsExactly("2026-01-09", "2026-01-12", "2026-01-16", "2026-01-19");
    }

    @Test
    void expansionIsBounded() {
        long now = ms("2026-01-05T00:00:00Z");
        assertThat(berlin.expand(repeat("FREQ=DAILY", "2026-01-01", "18:00", "20:00", Calendar.Shift.SKIP, 0), now))
                .hasSize(12);
        List<Calendar.Span> spans = berlin.expand(
                repeat("FREQ=MONTHLY;INTERVAL=5", "2026-01-30", "18:00", "20:00", Calendar.Shift.BEFORE, 0), now);
        assertThat(days(spans)).hasSize(5).allSatisfy(d -> assertThat(d).isLessThan("2028-01-06"));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "nonsense",
                "FREQ=HOURLY",
                "FREQ=SECONDLY;COUNT=4",
                "FREQ=DAILY;BYHOUR=3",
                "FREQ=DAILY;UNTIL=20260301T000000Z",
                "FREQ=DAILY;INTERVAL=0",
                "FREQ=DAILY;INTERVAL=2000000000",
                "FREQ=YEARLY;RSCALE=CHINESE",
                "FREQ=MONTHLY;BYMONTHDAY=77",
                "FREQ=DAILY;COUNT=-1",
                "FREQ=DAILY;COUNT=99999999999",
                "BYDAY=MO"
            })
    void rejectsInvalidRules(String rule) {
        assertThatThrownBy(() -> berlin.expand(
                        repeat(rule, "2026-01-05", "18:00", "20:00", Calendar.Shift.SKIP, 0),
                        ms("2026-01-05T00:00:00Z")))
                .isInstanceOf(Fault.BadCalendar.class);
    }

    @Test
    void rejectsARuleWithoutOccurrencesButAcceptsOneThatHasEnded() {
        assertThatThrownBy(() -> berlin.expand(
                        repeat(
                                "FREQ=YEARLY;BYMONTH=2;BYMONTHDAY=30",
                                "2026-01-05",
                                "18:00",
                                "20:00",
                                Calendar.Shift.SKIP,
                                0),
                        ms("2026-01-05T00:00:00Z")))
                .isInstanceOf(Fault.BadCalendar.class);
        assertThat(berlin.expand(
                        repeat("FREQ=DAILY;COUNT=3", "2025-01-05", "18:00", "20:00", Calendar.Shift.SKIP, 0),
                        ms("2026-01-05T00:00:00Z")))
                .isEmpty();
    }

    @Test
    void rejectsInvalidTerms() {
        assertThatThrownBy(() -> calendar("Europe/Nowhere", MIDNIGHT, MIDNIGHT)).isInstanceOf(Fault.BadCalendar.class);
        assertThatThrownBy(() -> calendar("Europe/Berlin", MIDNIGHT, MIDNIGHT, "xx"))
                .isInstanceOf(Fault.BadCalendar.class);
        assertThatThrownBy(() -> calendar("Europe/Berlin", MIDNIGHT, MIDNIGHT, "de-xx"))
                .isInstanceOf(Fault.BadCalendar.class);
        assertThatThrownBy(() -> calendar("Europe/Berlin", LocalTime.NOON, LocalTime.of(9, 0), "de"))
                .isInstanceOf(Fault.BadCalendar.class);
    }

    @Test
    void resultsDoNotDependOnTheDefaultLocaleAndZone() {
        Locale locale = Locale.getDefault();
        TimeZone zone = TimeZone.getDefault();
        Calendar.Repeat daily = repeat("FREQ=DAILY", "2026-03-20", "02:30", "04:00", Calendar.Shift.AFTER, 0);
        List<Calendar.Span> expected = berlin.expand(daily, ms("2026-03-21T00:00:00Z"));
        try {
            Locale.setDefault(Locale.forLanguageTag("tr-TR"));
            TimeZone.setDefault(TimeZone.getTimeZone("Pacific/Kiritimati"));
            assertThat(calendar("Europe/Berlin", MIDNIGHT, MIDNIGHT, "DE").expand(daily, ms("2026-03-21T00:00:00Z")))
                    .isEqualTo(expected);
            assertThat(calendar("Europe/Rome", MIDNIGHT, MIDNIGHT, "IT").isWorkingDay(LocalDate.parse("2026-04-25")))
                    .isFalse();
        } finally {
            Locale.setDefault(locale);
            TimeZone.setDefault(zone);
        }
    }
}
