package firstair.fleet.booking;

import firstair.fleet.Setup;
import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** What is known of one destination. */
final class Destination {
    final int number;
    final Steps steps;
    long limit; // thousandths of a call a second
    int bookable; // millionths of it
    List<Closed> closed;
    final Set<String> holding = new TreeSet<>(); // bookings that count in the steps
    private final NavigableMap<Long, Set<String>> waiting = new TreeMap<>(); // by start

    Destination(Operation.SetDestination set, Steps steps) {
        this.number = set.destination();
        this.steps = steps;
        set(set);
    }

    void set(Operation.SetDestination set) {
        limit = set.limit();
        bookable = set.bookable();
        closed = set.closed();
    }

    /** What may be booked of it, thousandths of a call a second. */
    long capacity() {
        return limit * bookable / Setup.WHOLE;
    }

    void waits(long startMs, String id) {
        waiting.computeIfAbsent(startMs, k -> new TreeSet<>()).add(id);
    }

    void waitsNoMore(long startMs, String id) {
        Set<String> ids = waiting.get(startMs);
        if (ids != null && ids.remove(id) && ids.isEmpty()) {
            waiting.remove(startMs);
        }
    }

    /** Those that wait and start in a span of time. */
    List<String> waiting(long fromMs, long toMs) {
        List<String> ids = new ArrayList<>();
        if (fromMs < toMs) {
            waiting.subMap(fromMs, toMs).values().forEach(ids::addAll);
        }
        return ids;
    }
}
