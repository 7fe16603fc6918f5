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
 * Working days and opening hours of one place. It knows no current time and no default zone or language: the same
 * questions have the same answers everywhere. What cannot be used raises {@link Fault.BadCalendar}.
 *
 * <p>A local time that never comes becomes the first instant after the gap. One that comes twice is its first coming
 * where something starts and its last where something ends.
 */
public final class Calendar {
    /** Most times that one rule may come. */
    public static final int MOST_TIMES = 400;

    private static final int AHEAD_YEARS = 2;
    private static final int MOST_RULE = 500;
    private static final int MOST_INTERVAL = 1000;
    private static final int MOST_STEPS = 2000; // days that a rule may come on before and within the two years
    private static final int SEARCH_DAYS = 366; // for the next working day
    private static final int YEARS_KEPT = 8;
    private static final int MOST_CLOSED = 2000;
    private static final int FIRST_YEAR = 2000;
    private static final int LAST_YEAR = 2200;
    private static final int MINUTE_SECONDS = 60;
    private static final int DAY_MINUTES = 24 * 60;

    /**
     * What a calendar is made of.
     *
     * @param zone      whose days and hours
     * @param countries whose public holidays count, such as {@code de} or {@code de-by} for one of its parts
     * @param weekend   days of the week on which nobody works
     * @param closed    further days on which nobody works
     * @param opens     first open moment of a working day
     * @param closes    first closed moment again; midnight is the day's end; the same as {@code opens} is all day
     * @param cutOff    what comes after it counts as come on the next working day
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

    /** Where a time goes that falls on a day on which nobody works. */
    public enum Shift {
        /** To the working day before. */
        BEFORE,
        /** To the working day after. */
        AFTER,
        /** It does not come at all. */
        SKIP
    }

    /**
     * Times that come again and again.
     *
     * @param rule    by RFC 5545, daily or rarer, such as {@code FREQ=MONTHLY;BYMONTHDAY=-1}
     * @param first   the first day of the rule
     * @param from    local time of the start
     * @param to      local time of the end, on the next day if it is not after {@code from}
     * @param shift   for days on which nobody works
     * @param workday if not 0, the so-many-th working day of the rule's month instead of the rule's day; -1 is the last
     * @param most    at most so many times
     */
    public record Repeat(
            String rule, LocalDate first, LocalTime from, LocalTime to, Shift shift, int workday, int most) {}

    /** One time: its day, and from when to when, epoch ms. */
    public record Span(LocalDate day, long startMs, long endMs) {}

    private final Terms terms;
    private final ZoneId zone;
    private final Set<DayOfWeek> weekend;
    private final Set<LocalDate> closed;
    private final Map<HolidayManager, String[]> countries = new LinkedHashMap<>();
    private final Map<Integer, Set<LocalDate>> holidays = new LinkedHashMap<>(); // by year, the oldest go

    /** One by its terms. */
    public Calendar(Terms terms) {
        this.terms = terms;
        try {
            zone = ZoneId.of(terms.zone());
        } catch (DateTimeException e) {
            throw bad("no time zone " + terms.zone());
        }
        weekend = terms.weekend().isEmpty() ? EnumSet.noneOf(DayOfWeek.class) : EnumSet.copyOf(terms.weekend());
        if (weekend.size() == DayOfWeek.values().length) {
            throw bad("nobody ever works");
        }
        if (terms.closed().size() > MOST_CLOSED) {
            throw bad(MOST_CLOSED + " closing days at most");
        }
        closed = new TreeSet<>(terms.closed());
        if (!allDay() && minute(terms.closes(), true) <= minute(terms.opens(), false)) {
            throw bad("closes before it opens");
        }
        Set<String> codes = new TreeSet<>();
        HolidayManager.getSupportedCalendarCodes().forEach(c -> codes.add(c.toLowerCase(Locale.ROOT)));
        for (String country : terms.countries()) {
            String[] parts = country.toLowerCase(Locale.ROOT).split("-", -1);
            if (!codes.contains(parts[0])) {
                throw bad("no holidays of country " + country);
            }
            HolidayManager manager = HolidayManager.getInstance(ManagerParameters.create(parts[0]));
            if (parts.length > 1
                    && (parts.length > 2
                            || !manager.getCalendarHierarchy().getChildren().containsKey(parts[1]))) {
                throw bad("no part " + country + " of its country");
            }
            countries.merge(manager, parts.length > 1 ? new String[] {parts[1]} : new String[0], (a, b) -> {
                throw bad("country " + parts[0] + " is named twice");
            });
        }
    }

    /** Its name. */
    public String name() {
        return terms.name();
    }

    /** Whether it is a working day. */
    public boolean works(LocalDate day) {
        return !weekend.contains(day.getDayOfWeek())
                && !closed.contains(day)
                && !holidays(day.getYear()).contains(day);
    }

    private Set<LocalDate> holidays(int year) {
        if (year < FIRST_YEAR || year > LAST_YEAR) {
            throw bad("the year " + year + " is too far away");
        }
        Set<LocalDate> known = holidays.get(year);
        if (known == null) {
            known = new TreeSet<>();
            for (Map.Entry<HolidayManager, String[]> e : countries.entrySet()) {
                for (HolidayType type : List.of(HolidayType.PUBLIC_HOLIDAY, HolidayType.BANK_HOLIDAY)) {
                    for (Holiday h : e.getKey().getHolidays(Year.of(year), type, e.getValue())) {
                        known.add(h.getDate());
                    }
                }
            }
            if (holidays.size() >= YEARS_KEPT) {
                holidays.remove(holidays.keySet().iterator().next());
            }
            holidays.put(year, known);
        }
        return known;
    }

    /** The day itself if it is a working day, else the next one before it. */
    public LocalDate onOrBefore(LocalDate day) {
        return search(day, -1);
    }

    /** The day itself if it is a working day, else the next one after it. */
    public LocalDate onOrAfter(LocalDate day) {
        return search(day, 1);
    }

    private LocalDate search(LocalDate day, int step) {
        for (int i = 0; i <= SEARCH_DAYS; i++) {
            LocalDate d = day.plusDays((long) i * step);
            if (works(d)) {
                return d;
            }
        }
        throw bad("no working day within a year of " + day);
    }

    /** The n-th working day of a month; -1 is the last one. */
    public LocalDate workday(YearMonth month, int n) {
        int left = Math.abs(n);
        for (int i = 1; i <= month.lengthOfMonth(); i++) {
            LocalDate d = month.atDay(n > 0 ? i : month.lengthOfMonth() + 1 - i);
            if (works(d) && --left == 0) {
                return d;
            }
        }
        throw bad("no working day " + n + " in " + month);
    }

    /** The last working day of a month. */
    public LocalDate lastWorkday(YearMonth month) {
        return workday(month, -1);
    }

    /** Whether it is open at a moment, epoch ms. */
    public boolean open(long ms) {
        ZonedDateTime at = Instant.ofEpochMilli(ms).atZone(zone);
        int minute = minute(at.toLocalTime(), false);
        return works(at.toLocalDate())
                && (allDay() || minute >= minute(terms.opens(), false) && minute < minute(terms.closes(), true));
    }

    /** The working day on which something that comes at a moment counts as come. */
    public LocalDate countsOn(long ms) {
        ZonedDateTime at = Instant.ofEpochMilli(ms).atZone(zone);
        LocalDate day = at.toLocalDate();
        return onOrAfter(at.toLocalTime().isBefore(terms.cutOff()) ? day : day.plusDays(1));
    }

    /**
     * The times of a rule, in order: those whose day is after the one on which a request that comes now counts, at most
     * two years ahead and as many as the rule says. Two that fall on one day are one.
     *
     * @param nowMs epoch ms
     */
    public List<Span> expand(Repeat repeat, long nowMs) {
        check(repeat);
        LocalDate today = Instant.ofEpochMilli(nowMs).atZone(zone).toLocalDate();
        LocalDate after = countsOn(nowMs);
        LocalDate last = today.plusYears(AHEAD_YEARS);
        if (repeat.first.isBefore(today.minusYears(AHEAD_YEARS)) || repeat.first.isAfter(last)) {
            throw bad("the rule has to begin within two years of now");
        }
        Map<LocalDate, Span> spans = new TreeMap<>();
        for (LocalDate ruled : days(repeat, last)) {
            LocalDate day = moved(repeat, ruled);
            if (day != null && day.isAfter(after) && !day.isAfter(last)) {
                LocalDate endDay = repeat.to.isAfter(repeat.from) ? day : day.plusDays(1);
                spans.put(
                        day,
                        new Span(
                                day,
                                Zones.start(day.atTime(repeat.from), zone),
                                Zones.end(endDay.atTime(repeat.to), zone)));
            }
        }
        return spans.values().stream()
                .filter(s -> s.endMs > s.startMs)
                .limit(repeat.most)
                .toList();
    }

    private LocalDate moved(Repeat repeat, LocalDate day) {
        if (repeat.workday != 0) {
            return workday(YearMonth.from(day), repeat.workday);
        }
        if (works(day)) {
            return day;
        }
        return switch (repeat.shift) {
            case BEFORE -> onOrBefore(day);
            case AFTER -> onOrAfter(day);
            case SKIP -> null;
        };
    }

    private void check(Repeat r) {
        if (r.most < 1 || r.most > MOST_TIMES) {
            throw bad("a rule may come 1 to " + MOST_TIMES + " times");
        }
        if (r.first.getYear() < FIRST_YEAR || r.first.getYear() > LAST_YEAR) {
            throw bad("the rule begins too far away");
        }
        if (!allDay()
                && (minute(r.from, false) < minute(terms.opens(), false)
                        || minute(r.to, true) > minute(terms.closes(), true)
                        || minute(r.to, true) <= minute(r.from, false))) {
            throw bad("it is not open from " + r.from + " to " + r.to);
        }
    }

    private List<LocalDate> days(Repeat repeat, LocalDate last) {
        List<LocalDate> days = new ArrayList<>();
        try {
            RecurrenceRule rule = parsed(repeat.rule);
            LocalDate first = repeat.first;
            RecurrenceRuleIterator all =
                    rule.iterator(new DateTime(first.getYear(), first.getMonthValue() - 1, first.getDayOfMonth()));
            for (int i = 0; i < MOST_STEPS && all.hasNext(); i++) {
                DateTime at = all.nextDateTime();
                LocalDate day = LocalDate.of(at.getYear(), at.getMonth() + 1, at.getDayOfMonth());
                if (day.isAfter(last.plusMonths(1))) { // one that is moved back may still be in time
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
            throw bad("rule " + repeat.rule.substring(0, Math.min(repeat.rule.length(), MOST_RULE))
                    + " cannot be used: " + e.getMessage());
        }
        return Collections.unmodifiableList(days);
    }

    private RecurrenceRule parsed(String text) throws InvalidRecurrenceRuleException {
        if (text.length() > MOST_RULE) {
            throw bad("a rule of more than " + MOST_RULE + " characters");
        }
        RecurrenceRule rule = new RecurrenceRule(text, RecurrenceRule.RfcMode.RFC5545_STRICT);
        Set<Freq> coarse = EnumSet.of(Freq.DAILY, Freq.WEEKLY, Freq.MONTHLY, Freq.YEARLY);
        if (!coarse.contains(rule.getFreq())
                || rule.getInterval() > MOST_INTERVAL
                || rule.hasPart(RecurrenceRule.Part.RSCALE)
                || rule.hasPart(RecurrenceRule.Part.BYHOUR)
                || rule.hasPart(RecurrenceRule.Part.BYMINUTE)
                || rule.hasPart(RecurrenceRule.Part.BYSECOND)) {
            throw bad("a rule has to say days: " + text);
        }
        if (rule.getUntil() != null && !rule.getUntil().isAllDay()) {
            throw bad("UNTIL has to be a date: " + text);
        }
        return rule;
    }

    private boolean allDay() {
        return terms.opens().equals(terms.closes());
    }

    private static int minute(LocalTime time, boolean end) {
        int minute = time.toSecondOfDay() / MINUTE_SECONDS;
        return end && minute == 0 ? DAY_MINUTES : minute;
    }

    private Fault bad(String why) {
        return new Fault.BadCalendar(terms.name(), why);
    }
}
