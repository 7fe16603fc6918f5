package firstair.fleet.booking;

import de.focus_shift.jollyday.core.Holiday;
import de.focus_shift.jollyday.core.HolidayManager;
import de.focus_shift.jollyday.core.HolidayType;
import de.focus_shift.jollyday.core.ManagerParameters;
import firstair.fleet.fault.Fault;
import java.time.DateTimeException;
import java.time.DayOfWeek;
import java.time.Instant;
import java.time.LocalDate;
import java.time.LocalTime;
import java.time.Year;
import java.time.YearMonth;
import java.time.ZoneId;
import java.time.ZonedDateTime;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.dmfs.rfc5545.DateTime;
import org.dmfs.rfc5545.recur.Freq;
import org.dmfs.rfc5545.recur.InvalidRecurrenceRuleException;
import org.dmfs.rfc5545.recur.RecurrenceRule;
import org.dmfs.rfc5545.recur.RecurrenceRuleIterator;

/**
 * Working days and opening hours of a location. It depends on no current time, default zone or locale: equal queries
 * give equal results on every machine. Invalid input throws {@link Fault.BadCalendar}.
 *
 * <p>A local time inside a daylight-saving gap becomes the first instant after the gap. An ambiguous local time is
 * taken as the earlier instant for a start and as the later one for an end.
 */
public final class Calendar {
    /** Maximum number of occurrences of a rule. */
    public static final int MAX_OCCURRENCES = 400;

    private static final int MAX_YEARS_AHEAD = 2;
    private static final int MAX_RULE_LENGTH = 500;
    private static final int MAX_INTERVAL = 1000;
    private static final int MAX_RULE_DAYS = 2000; // days of a rule examined, from two years back to two years ahead
    private static final int MAX_SEARCH_DAYS = 366; // range of the search for a working day
    private static final int MAX_CACHED_YEARS = 8;
    private static final int MAX_CLOSED_DAYS = 2000;
    private static final int FIRST_YEAR = 2000;
    private static final int LAST_YEAR = 2200;
    private static final int SECONDS_PER_MINUTE = 60;
    private static final int MINUTES_PER_DAY = 24 * 60;

    /**
     * Settings of a calendar.
     *
     * @param zone      time zone of the days and hours
     * @param countries countries whose public holidays apply, such as {@code de}, or {@code de-by} for a subdivision
     * @param weekend   days of the week that are not working days
     * @param closed    further dates that are not working days
     * @param opens     opening time of a working day
     * @param closes    closing time (exclusive); midnight is the end of the day; equal to {@code opens} means all day
     * @param cutOff    requests received from this time on count as received on the next working day
     */
    public record Terms(
            String name,
            String zone,
            List<String> countries,
            Set<DayOfWeek> weekend,
            Set<LocalDate> closed,
            LocalTime opens,
            LocalTime closes,
            LocalTime cutOff) {}

    /** How an occurrence that falls on a non-working day is shifted. */
    public enum Shift {
        /** To the previous working day. */
        BEFORE,
        /** To the next working day. */
        AFTER,
        /** It is skipped. */
        SKIP
    }

    /**
     * A recurring span of time.
     *
     * @param rule           RFC 5545 rule, daily or less frequent, such as {@code FREQ=MONTHLY;BYMONTHDAY=-1}
     * @param first          first day of the rule
     * @param from           local start time
     * @param to             local end time, on the next day if it is not after {@code from}
     * @param shift          how occurrences on non-working days are shifted
     * @param workday        if not 0, the n-th working day of the month replaces the rule's day; -1 is the last
     * @param maxOccurrences maximum number of occurrences
     */
    public record Repeat(
            String rule, LocalDate first, LocalTime from, LocalTime to, Shift shift, int workday, int maxOccurrences) {}

    /** One occurrence: its day, start and end, epoch ms. */
    public record Span(LocalDate day, long startMs, long endMs) {}

    private final Terms terms;
    private final ZoneId zone;
    private final Set<DayOfWeek> weekend;
    private final Set<LocalDate> closed;
    private final Map<HolidayManager, String[]> countries = new LinkedHashMap<>();
    private final Map<Integer, Set<LocalDate>> holidays = new LinkedHashMap<>(); // by year, a bounded cache

    /** Creates a calendar; throws {@link Fault.BadCalendar} for invalid terms. */
    public Calendar(Terms terms) {
        this.terms = terms;
        try {
            zone = ZoneId.of(terms.zone());
        } catch (DateTimeException e) {
            throw badCalendar("no time zone " + terms.zone());
        }
        weekend = terms.weekend().isEmpty() ? EnumSet.noneOf(DayOfWeek.class) : EnumSet.copyOf(terms.weekend());
        if (weekend.size() == DayOfWeek.values().length) {
            throw badCalendar("nobody ever works");
        }
        if (terms.closed().size() > MAX_CLOSED_DAYS) {
            throw badCalendar(MAX_CLOSED_DAYS + " closing days at most");
        }
        closed = new TreeSet<>(terms.closed());
        if (!allDay() && minuteOfDay(terms.closes(), true) <= minuteOfDay(terms.opens(), false)) {
            throw badCalendar("closes before it opens");
        }
        Set<String> codes = new TreeSet<>();
        HolidayManager.getSupportedCalendarCodes().forEach(c -> codes.add(c.toLowerCase(Locale.ROOT)));
        for (String country : terms.countries()) {
            String[] parts = country.toLowerCase(Locale.ROOT).split("-", -1);
            if (!codes.contains(parts[0])) {
                throw badCalendar("no holidays of country " + country);
            }
            HolidayManager manager = HolidayManager.getInstance(ManagerParameters.create(parts[0]));
            if (parts.length > 1
                    && (parts.length > 2
                            || !manager.getCalendarHierarchy().getChildren().containsKey(parts[1]))) {
                throw badCalendar("no part " + country + " of its country");
            }
            countries.merge(manager, parts.length > 1 ? new String[] {parts[1]} : new String[0], (a, b) -> {
                throw badCalendar("country " + parts[0] + " is named twice");
            });
        }
    }

    /** Name of the calendar. */
    public String name() {
        return terms.name();
    }

    /** Whether a date is a working day. */
    public boolean isWorkingDay(LocalDate day) {
        return !weekend.contains(day.getDayOfWeek())
                && !closed.contains(day)
                && !holidays(day.getYear()).contains(day);
    }

    private Set<LocalDate> holidays(int year) {
        if (year < FIRST_YEAR || year > LAST_YEAR) {
            throw badCalendar("the year " + year + " is too far away");
        }
        Set<LocalDate> days = holidays.get(year);
        if (days == null) {
            days = new TreeSet<>();
            for (Map.Entry<HolidayManager, String[]> e : countries.entrySet()) {
                for (HolidayType type : List.of(HolidayType.PUBLIC_HOLIDAY, HolidayType.BANK_HOLIDAY)) {
                    for (Holiday holiday : e.getKey().getHolidays(Year.of(year), type, e.getValue())) {
                        days.add(holiday.getDate());
                    }
                }
            }
            if (holidays.size() >= MAX_CACHED_YEARS) {
                holidays.remove(holidays.keySet().iterator().next());
            }
            holidays.put(year, days);
        }
        return days;
    }

    /** The day itself if it is a working day, otherwise the last one before it. */
    public LocalDate workingDayOnOrBefore(LocalDate day) {
        return nearestWorkingDay(day, -1);
    }

    /** The day itself if it is a working day, otherwise the first one after it. */
    public LocalDate workingDayOnOrAfter(LocalDate day) {
        return nearestWorkingDay(day, 1);
    }

    private LocalDate nearestWorkingDay(LocalDate day, int step) {
        for (int i = 0; i <= MAX_SEARCH_DAYS; i++) {
            LocalDate d = day.plusDays((long) i * step);
            if (isWorkingDay(d)) {
                return d;
            }
        }
        throw badCalendar("no working day within a year of " + day);
    }

    /** The n-th working day of a month; -1 is the last one. */
    public LocalDate nthWorkingDay(YearMonth month, int n) {
        int remaining = Math.abs(n);
        for (int i = 1; i <= month.lengthOfMonth(); i++) {
            LocalDate d = month.atDay(n > 0 ? i : month.lengthOfMonth() + 1 - i);
            if (isWorkingDay(d) && --remaining == 0) {
                return d;
            }
        }
        throw badCalendar("no working day " + n + " in " + month);
    }

    /** The last working day of a month. */
    public LocalDate lastWorkingDay(YearMonth month) {
        return nthWorkingDay(month, -1);
    }

    /** Whether the location is open at an instant, epoch ms. */
    public boolean isOpen(long ms) {
        ZonedDateTime local = Instant.ofEpochMilli(ms).atZone(zone);
        int minute = minuteOfDay(local.toLocalTime(), false);
        return isWorkingDay(local.toLocalDate())
                && (allDay()
                        || minute >= minuteOfDay(terms.opens(), false) && minute < minuteOfDay(terms.closes(), true));
    }

    /** The working day on which a request received at an instant, epoch ms, counts as received. */
    public LocalDate effectiveDay(long ms) {
        ZonedDateTime local = Instant.ofEpochMilli(ms).atZone(zone);
        LocalDate day = local.toLocalDate();
        return workingDayOnOrAfter(local.toLocalTime().isBefore(terms.cutOff()) ? day : day.plusDays(1));
    }

    /**
     * Occurrences of a rule, in order: those after the day on which a request received now counts, at most two years
     * ahead and at most as many as requested. Occurrences that fall on the same day are merged.
     *
     * @param nowMs epoch ms
     */
    public List<Span> expand(Repeat repeat, long nowMs) {
        validate(repeat);
        LocalDate today = Instant.ofEpochMilli(nowMs).atZone(zone).toLocalDate();
        LocalDate effective = effectiveDay(nowMs);
        LocalDate last = today.plusYears(MAX_YEARS_AHEAD);
        if (repeat.first.isBefore(today.minusYears(MAX_YEARS_AHEAD)) || repeat.first.isAfter(last)) {
            throw badCalendar("the rule has to begin within two years of now");
        }
        Map<LocalDate, Span> spans = new TreeMap<>();
        for (LocalDate ruleDay : ruleDays(repeat, last)) {
            LocalDate day = shifted(repeat, ruleDay);
            if (day != null && day.isAfter(effective) && !day.isAfter(last)) {
                LocalDate endDay = repeat.to.isAfter(repeat.from) ? day : day.plusDays(1);
                spans.put(
                        day,
                        new Span(
                                day,
                                Zones.startMs(day.atTime(repeat.from), zone),
                                Zones.endMs(endDay.atTime(repeat.to), zone)));
            }
        }
        return spans.values().stream()
                .filter(s -> s.endMs > s.startMs)
                .limit(repeat.maxOccurrences)
                .toList();
    }

    private LocalDate shifted(Repeat repeat, LocalDate day) {
        if (repeat.workday != 0) {
            return nthWorkingDay(YearMonth.from(day), repeat.workday);
        }
        if (isWorkingDay(day)) {
            return day;
        }
        return switch (repeat.shift) {
            case BEFORE -> workingDayOnOrBefore(day);
            case AFTER -> workingDayOnOrAfter(day);
            case SKIP -> null;
        };
    }

    private void validate(Repeat repeat) {
        if (repeat.maxOccurrences < 1 || repeat.maxOccurrences > MAX_OCCURRENCES) {
            throw badCalendar("a rule may come 1 to " + MAX_OCCURRENCES + " times");
        }
        if (repeat.first.getYear() < FIRST_YEAR || repeat.first.getYear() > LAST_YEAR) {
            throw badCalendar("the rule begins too far away");
        }
        if (!allDay()
                && (minuteOfDay(repeat.from, false) < minuteOfDay(terms.opens(), false)
                        || minuteOfDay(repeat.to, true) > minuteOfDay(terms.closes(), true)
                        || minuteOfDay(repeat.to, true) <= minuteOfDay(repeat.from, false))) {
            throw badCalendar("it is not open from " + repeat.from + " to " + repeat.to);
        }
    }

    private List<LocalDate> ruleDays(Repeat repeat, LocalDate last) {
        List<LocalDate> days = new ArrayList<>();
        try {
            RecurrenceRule rule = parseRule(repeat.rule);
            LocalDate first = repeat.first;
            RecurrenceRuleIterator all =
                    rule.iterator(new DateTime(first.getYear(), first.getMonthValue() - 1, first.getDayOfMonth()));
            for (int i = 0; i < MAX_RULE_DAYS && all.hasNext(); i++) {
                DateTime at = all.nextDateTime();
                LocalDate day = LocalDate.of(at.getYear(), at.getMonth() + 1, at.getDayOfMonth());
                if (day.isAfter(last.plusMonths(1))) { // a day shifted back may still be in range
                    break;
                }
                days.add(day);
            }
        } catch (InvalidRecurrenceRuleException
                | IllegalArgumentException
                | IllegalStateException
                | ArithmeticException
                | DateTimeException
                | IndexOutOfBoundsException e) {
            throw badCalendar("rule " + repeat.rule.substring(0, Math.min(repeat.rule.length(), MAX_RULE_LENGTH))
                    + " cannot be used: " + e.getMessage());
        }
        return Collections.unmodifiableList(days);
    }

    private RecurrenceRule parseRule(String text) throws InvalidRecurrenceRuleException {
        if (text.length() > MAX_RULE_LENGTH) {
            throw badCalendar("a rule of more than " + MAX_RULE_LENGTH + " characters");
        }
        RecurrenceRule rule = new RecurrenceRule(text, RecurrenceRule.RfcMode.RFC5545_STRICT);
        Set<Freq> allowed = EnumSet.of(Freq.DAILY, Freq.WEEKLY, Freq.MONTHLY, Freq.YEARLY);
        if (!allowed.contains(rule.getFreq())
                || rule.getInterval() > MAX_INTERVAL
                || rule.hasPart(RecurrenceRule.Part.RSCALE)
                || rule.hasPart(RecurrenceRule.Part.BYHOUR)
                || rule.hasPart(RecurrenceRule.Part.BYMINUTE)
                || rule.hasPart(RecurrenceRule.Part.BYSECOND)) {
            throw badCalendar("a rule has to say days: " + text);
        }
        if (rule.getUntil() != null && !rule.getUntil().isAllDay()) {
            throw badCalendar("UNTIL has to be a date: " + text);
        }
        return rule;
    }

    private boolean allDay() {
        return terms.opens().equals(terms.closes());
    }

    private static int minuteOfDay(LocalTime time, boolean isEnd) {
        int minute = time.toSecondOfDay() / SECONDS_PER_MINUTE;
        return isEnd && minute == 0 ? MINUTES_PER_DAY : minute;
    }

    private Fault badCalendar(String why) {
        return new Fault.BadCalendar(terms.name(), why);
    }
}
