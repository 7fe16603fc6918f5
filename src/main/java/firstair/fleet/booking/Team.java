package firstair.fleet.booking;

import java.time.Instant;
import java.time.YearMonth;
import java.time.ZoneId;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;

/** Quota, quota usage and waiting requests of a team. */
final class Team {
    private static final int MONTHS_PER_YEAR = 12;

    long quota; // thousandths of a call per month
    ZoneId zone;
    final SortedMap<Integer, Long> used = new TreeMap<>(); // thousandths of a call by month
    final Set<String> waitingIds = new TreeSet<>();

    Team(Operation.SetTeam set) {
        set(set);
    }

    void set(Operation.SetTeam set) {
        quota = set.quota();
        zone = ZoneId.of(set.zone());
    }

    /** Quota cost of rates over a span by month, in thousandths of a call; each rate is rounded up. */
    SortedMap<Integer, Long> cost(SortedMap<Integer, Long> rates, long startMs, long endMs) {
        SortedMap<Integer, Long> cost = new TreeMap<>();
        long from = startMs;
        while (from < endMs) {
            YearMonth month = YearMonth.from(Instant.ofEpochMilli(from).atZone(zone));
            long next = Zones.startMs(month.plusMonths(1).atDay(1).atStartOfDay(), zone);
            long to = Math.min(endMs, next > from ? next : endMs); // guards against an empty month at a zone transition
            long sum = 0;
            for (long rate : rates.values()) {
                sum += (rate * (to - from) + Rates.PARTS_PER_CALL - 1) / Rates.PARTS_PER_CALL;
            }
            cost.merge(month.getYear() * MONTHS_PER_YEAR + month.getMonthValue() - 1, sum, Long::sum);
            from = to;
        }
        return cost;
    }

    /** The first month whose remaining quota plus refund does not cover the cost, or -1. */
    int firstMonthOverQuota(SortedMap<Integer, Long> cost, SortedMap<Integer, Long> refund) {
        for (var e : cost.entrySet()) {
            if (e.getValue() > remaining(e.getKey()) + refund.getOrDefault(e.getKey(), 0L)) {
                return e.getKey();
            }
        }
        return -1;
    }

    /** Remaining quota of a month, thousandths of a call. */
    long remaining(int month) {
        return quota - used.getOrDefault(month, 0L);
    }

    void charge(SortedMap<Integer, Long> cost, int sign) {
        cost.forEach((month, calls) -> {
            long total = used.getOrDefault(month, 0L) + sign * calls;
            if (total == 0) {
                used.remove(month);
            } else {
                used.put(month, total);
            }
        });
    }

    /** Discards the usage of earlier months, which can no longer be booked. */
    void removeMonthsBefore(int month) {
        used.headMap(month).clear();
    }

    static int month(long ms, ZoneId zone) {
        YearMonth month = YearMonth.from(Instant.ofEpochMilli(ms).atZone(zone));
        return month.getYear() * MONTHS_PER_YEAR + month.getMonthValue() - 1;
    }

    static String monthText(int month) {
        return YearMonth.of(month / MONTHS_PER_YEAR, month % MONTHS_PER_YEAR + 1)
                .toString();
    }
}
