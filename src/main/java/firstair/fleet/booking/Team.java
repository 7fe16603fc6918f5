package firstair.fleet.booking;

import java.time.Instant;
import java.time.YearMonth;
import java.time.ZoneId;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;

/** What is known of one team. */
final class Team {
    private static final int YEAR_MONTHS = 12;

    long quota; // thousandths of a call in a month
    ZoneId zone;
    final SortedMap<Integer, Long> used = new TreeMap<>(); // by month
    final Set<String> waiting = new TreeSet<>();

    Team(Operation.SetTeam set) {
        set(set);
    }

    void set(Operation.SetTeam set) {
        quota = set.quota();
        zone = ZoneId.of(set.zone());
    }

    /** How many thousandths of a call rates are over a span, by month; parts of one count as one. */
    SortedMap<Integer, Long> cost(SortedMap<Integer, Long> rates, long startMs, long endMs) {
        SortedMap<Integer, Long> cost = new TreeMap<>();
        long from = startMs;
        while (from < endMs) {
            YearMonth month = YearMonth.from(Instant.ofEpochMilli(from).atZone(zone));
            long next = Zones.start(month.plusMonths(1).atDay(1).atStartOfDay(), zone);
            long to = Math.min(endMs, next > from ? next : endMs); // the clocks' ways never make a month empty
            long sum = 0;
            for (long rate : rates.values()) {
                sum += (rate * (to - from) + Rates.PARTS - 1) / Rates.PARTS;
            }
            cost.merge(month.getYear() * YEAR_MONTHS + month.getMonthValue() - 1, sum, Long::sum);
            from = to;
        }
        return cost;
    }

    /** The first month for which there is not enough left beside what is given back, or -1. */
    int lacking(SortedMap<Integer, Long> cost, SortedMap<Integer, Long> back) {
        for (var e : cost.entrySet()) {
            if (e.getValue() > left(e.getKey()) + back.getOrDefault(e.getKey(), 0L)) {
                return e.getKey();
            }
        }
        return -1;
    }

    /** What is left of a month, thousandths of a call. */
    long left(int month) {
        return quota - used.getOrDefault(month, 0L);
    }

    void charge(SortedMap<Integer, Long> cost, int sign) {
        cost.forEach((month, calls) -> {
            long now = used.getOrDefault(month, 0L) + sign * calls;
            if (now == 0) {
                used.remove(month);
            } else {
                used.put(month, now);
            }
        });
    }

    /** Months before this one can be booked no more. */
    void forgetBefore(int month) {
        used.headMap(month).clear();
    }

    static int month(long ms, ZoneId zone) {
        YearMonth month = YearMonth.from(Instant.ofEpochMilli(ms).atZone(zone));
        return month.getYear() * YEAR_MONTHS + month.getMonthValue() - 1;
    }

    static String named(int month) {
        return YearMonth.of(month / YEAR_MONTHS, month % YEAR_MONTHS + 1).toString();
    }
}
