package firstair.fleet.booking;

import firstair.fleet.fault.Fault;
import java.time.DayOfWeek;
import java.time.Instant;
import java.time.LocalDate;
import java.time.LocalTime;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;

/**
 * Hours in which a destination is closed: weekly hours and whole dates.
 *
 * @param zone  time zone of the hours and dates
 * @param days  days of the week on which the closed hours begin
 * @param from  local time at which they begin
 * @param to    local time at which they end (exclusive), on the next day if not after {@code from}
 * @param dates dates that are closed all day
 */
public record ClosingHours(String zone, Set<DayOfWeek> days, LocalTime from, LocalTime to, List<LocalDate> dates) {
    private static final int MAX_DATES = 400;

    /** Validates the hours; throws {@link Fault.BadRequest}. */
    public ClosingHours {
        Zones.parse(zone, "closed.zone");
        days = Collections.unmodifiableSet(days.isEmpty() ? EnumSet.noneOf(DayOfWeek.class) : EnumSet.copyOf(days));
        dates = dates.stream().distinct().sorted().toList();
        if (dates.size() > MAX_DATES) {
            throw new Fault.BadRequest("closed.dates", MAX_DATES + " dates at most");
        }
    }

    /** The first closed instant in a span, epoch ms, or -1. */
    long firstClosedMs(long startMs, long endMs) {
        ZoneId zoneId = ZoneId.of(zone);
        LocalDate lastDay = Instant.ofEpochMilli(endMs - 1).atZone(zoneId).toLocalDate();
        long firstMs = Long.MAX_VALUE;
        // hours that begin on the day before may extend into the first day
        for (LocalDate day = Instant.ofEpochMilli(startMs)
                        .atZone(zoneId)
                        .toLocalDate()
                        .minusDays(1);
                !day.isAfter(lastDay);
                day = day.plusDays(1)) {
            for (long[] span : spansOn(day, zoneId)) {
                long fromMs = Math.max(span[0], startMs);
                if (fromMs < Math.min(span[1], endMs)) {
                    firstMs = Math.min(firstMs, fromMs);
                }
            }
        }
        return firstMs == Long.MAX_VALUE ? -1 : firstMs;
    }

    private List<long[]> spansOn(LocalDate day, ZoneId zoneId) {
        List<long[]> spans = new ArrayList<>(2);
        if (days.contains(day.getDayOfWeek())) {
            LocalDate endDay = to.isAfter(from) ? day : day.plusDays(1);
            spans.add(new long[] {Zones.startMs(day.atTime(from), zoneId), Zones.endMs(endDay.atTime(to), zoneId)});
        }
        if (Collections.binarySearch(dates, day) >= 0) {
            spans.add(new long[] {
                Zones.startMs(day.atStartOfDay(), zoneId),
                Zones.endMs(day.plusDays(1).atStartOfDay(), zoneId)
            });
        }
        return spans;
    }
}
