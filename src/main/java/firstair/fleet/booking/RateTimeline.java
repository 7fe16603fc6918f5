package firstair.fleet.booking;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Total booked rate of one destination over time, as a step function. The cost of a query is proportional to the steps
 * inside its span, not to all steps.
 */
class RateTimeline {
    private final TreeMap<Long, Long> levels = new TreeMap<>(); // rate by start time, valid until the next entry

    /** Adds a rate over a span; a negative rate subtracts. */
    final void add(long fromMs, long toMs, long rate) {
        if (rate == 0 || toMs <= fromMs) {
            return;
        }
        levels.putIfAbsent(fromMs, at(fromMs));
        levels.putIfAbsent(toMs, at(toMs));
        for (Map.Entry<Long, Long> e : levels.subMap(fromMs, toMs).entrySet()) {
            e.setValue(e.getValue() + rate);
        }
        for (long edge : List.of(fromMs, toMs)) { // drops redundant entries: past bookings leave no residue
            Map.Entry<Long, Long> before = levels.lowerEntry(edge);
            if (levels.get(edge) == (before == null ? 0L : before.getValue())) {
                levels.remove(edge);
            }
        }
    }

    /** Booked rate at an instant. */
    final long at(long ms) {
        Map.Entry<Long, Long> e = levels.floorEntry(ms);
        return e == null ? 0 : e.getValue();
    }

    /** Maximum booked rate at any instant of a span. */
    long max(long fromMs, long toMs) {
        long max = at(fromMs);
        for (long level : levels.subMap(fromMs, toMs).values()) {
            max = Math.max(max, level);
        }
        return max;
    }

    /** Number of steps. */
    final int size() {
        return levels.size();
    }
}
