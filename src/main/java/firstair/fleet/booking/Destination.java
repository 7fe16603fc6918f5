package firstair.fleet.booking;

import firstair.fleet.Setup;
import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** Bookable capacity, bookings and waiting requests of a destination. */
final class Destination {
    final int number;
    final RateTimeline timeline;
    long limit; // thousandths of a call per second
    int bookable; // bookable share of the limit, millionths
    List<ClosingHours> closed;
    final Set<String> holdingIds = new TreeSet<>(); // ids of bookings counted in the timeline
    private final NavigableMap<Long, Set<String>> waitingByStart = new TreeMap<>(); // ids by start time

    Destination(Operation.SetDestination set, RateTimeline timeline) {
        this.number = set.destination();
        this.timeline = timeline;
        set(set);
    }

    void set(Operation.SetDestination set) {
        limit = set.limit();
        bookable = set.bookable();
        closed = set.closed();
    }

    /** Bookable rate, thousandths of a call per second. */
    long capacity() {
        return limit * bookable / Setup.WHOLE;
    }

    void addWaiting(long startMs, String id) {
        waitingByStart.computeIfAbsent(startMs, k -> new TreeSet<>()).add(id);
    }

    void removeWaiting(long startMs, String id) {
        Set<String> ids = waitingByStart.get(startMs);
        if (ids != null && ids.remove(id) && ids.isEmpty()) {
            waitingByStart.remove(startMs);
        }
    }

    /** Ids of waiting requests that start within a span. */
    List<String> waitingBetween(long fromMs, long toMs) {
        List<String> ids = new ArrayList<>();
        if (fromMs < toMs) {
            waitingByStart.subMap(fromMs, toMs).values().forEach(ids::addAll);
        }
        return ids;
    }
}
