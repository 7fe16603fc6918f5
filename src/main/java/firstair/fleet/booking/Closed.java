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
 * Hours in which a destination is closed, week after week, or whole days.
 *
 * @param zone  whose days and hours
 * @param days  days of the week on which such hours begin
 * @param from  first closed moment of the day
 * @param to    first open moment again; not after {@code from} means on the next day
 * @param dates on these whole dates it is closed too
 */
public record Closed(String zone, Set<DayOfWeek> days, LocalTime from, LocalTime to, List<LocalDate> dates) {
    private static final int MOST_DATES = 400;

    /** Checks them; raises {@link Fault.BadRequest}. */
    public Closed {
        Zones.named(zone, "closed.zone");
        days = Collections.unmodifiableSet(days.isEmpty() ? EnumSet.noneOf(DayOfWeek.class) : EnumSet.copyOf(days));
        dates = dates.stream().distinct().sorted().toList();
        if (dates.size() > MOST_DATES) {
            throw new Fault.BadRequest("closed.dates", MOST_DATES + " dates at most");
        }
    }

    /** The first closed moment in a span, epoch ms, or -1. */
    long firstIn(long startMs, long endMs) {
        ZoneId in = ZoneId.of(zone);
        LocalDate last = Instant.ofEpochMilli(endMs - 1).atZone(in).toLocalDate();
        long first = Long.MAX_VALUE;
        // hours that began the day before may reach into the first day
        for (LocalDate d =
                        Instant.ofEpochMilli(startMs).atZone(in).toLocalDate().minusDays(1);
                !d.isAfter(last);
                d = d.plusDays(1)) {
            for (long[] span : on(d, in)) {
                long from = Math.max(span[0], startMs);
                if (from < Math.min(span[1], endMs)) {
                    first = Math.min(first, from);
                }
            }
        }
        return first == Long.MAX_VALUE ? -1 : first;
    }

    private List<long[]> on(LocalDate d, ZoneId in) {
        List<long[]> spans = new ArrayList<>(2);
        if (days.contains(d.getDayOfWeek())) {
            LocalDate until = to.isAfter(from) ? d : d.plusDays(1);
            spans.add(new long[] {Zones.start(d.atTime(from), in), Zones.end(until.atTime(to), in)});
        }
        if (Collections.binarySearch(dates, d) >= 0) {
            spans.add(new long[] {
                Zones.start(d.atStartOfDay(), in), Zones.end(d.plusDays(1).atStartOfDay(), in)
            });
        }
        return spans;
    }
}
