package firstair.fleet.count;

import firstair.fleet.Setup;
import firstair.fleet.talk.Note;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Calls of all relays, by member, process and second of that process's clock. The highest total received for a second
 * counts, so counts may arrive in any order and any number of times and give the same sum. They are removed after a
 * minute, and a removed second is never accepted again: it would count as new. Notes carry ages, not times. A note that
 * was delayed makes a second look younger than it is, so of several ages the highest counts.
 *
 * <p>All times are milliseconds of the relay's own monotonic clock.
 */
public final class CallCounts {
    /** How long counts are kept, ms. */
    public static final double KEPT_MS = 60_000;

    private static final double SECOND_MS = 1000;
    private static final int MAX_SECONDS = 130; // of one process: twice what is kept, and some for a fast clock
    private static final int MAX_PROCESSES = 4; // of one member, the newest ones
    private static final int MAX_NAMES = 4096; // in one second of one process
    private static final int MAX_RECORDS = 1 << 16; // of one member: 1,024 names in each second that is kept
    private static final int MAX_NAME_LENGTH = 200;
    private static final long MAX_TOTAL = 1_000_000_000_000L; // far above what a second can hold; sums stay exact

    /** What one process has counted in one second of its own clock. */
    private static final class Second {
        final Map<String, Long> totals = new LinkedHashMap<>();
        double startedAt = Double.POSITIVE_INFINITY; // on our clock, the earliest time inferred
    }

    private static final class Process {
        final TreeMap<Long, Second> seconds = new TreeMap<>();
        long removedThrough = Long.MIN_VALUE; // seconds up to this one are not accepted again
        int records; // names in all its seconds
    }

    private final Setup setup;
    private final long incarnation;
    private final Map<String, TreeMap<Long, Process>> members = new LinkedHashMap<>();
    private long dropped;

    /** @param incarnation of this process */
    public CallCounts(Setup setup, long incarnation) {
        this.setup = setup;
        this.incarnation = incarnation;
    }

    /** Adds calls of our own. Zero is recorded too, so that others learn that there were none. */
    public void add(double now, String name, long calls) {
        if (calls < 0 || !isName(name)) {
            return;
        }
        removeExpired(now);
        long second = (long) Math.floor(now / SECOND_MS);
        Second s = second(setup.self(), incarnation, second, name);
        if (s != null) {
            s.startedAt = second * SECOND_MS;
            s.totals.merge(name, Math.min(calls, MAX_TOTAL), (a, b) -> Math.min(MAX_TOTAL, a + b));
        }
    }

    /** Our own counts of the last seconds, to be sent to others; sending one repeatedly does no harm. */
    public Note.Counts recent(double now, int seconds) {
        removeExpired(now);
        List<Note.Count> counts = new ArrayList<>();
        Process own = members.getOrDefault(setup.self(), new TreeMap<>()).get(incarnation);
        if (own != null) {
            long from = (long) Math.floor(now / SECOND_MS) - seconds + 1;
            own.seconds
                    .tailMap(from)
                    .forEach((second, s) -> s.totals.forEach((name, total) -> counts.add(
                            new Note.Count(setup.self(), incarnation, name, second, total, now - s.startedAt))));
        }
        return new Note.Counts(counts);
    }

    /** Merges counts of the sender or of others. Invalid ones are dropped, and counted in {@link #dropped}. */
    public void merge(double now, Note.Counts note) {
        removeExpired(now);
        for (Note.Count count : note.counts()) {
            boolean ours = setup.self().equals(count.member()) && count.incarnation() >= incarnation;
            boolean sound = isName(count.member())
                    && setup.members().contains(count.member())
                    && isName(count.name())
                    && count.total() >= 0
                    && count.total() <= MAX_TOTAL
                    && count.ageMs() >= 0
                    && count.ageMs() < KEPT_MS;
            Second s =
                    ours || !sound ? null : second(count.member(), count.incarnation(), count.second(), count.name());
            if (s == null) {
                dropped++;
                continue;
            }
            s.startedAt = Math.min(s.startedAt, now - count.ageMs());
            s.totals.merge(count.name(), count.total(), Math::max);
        }
    }

    /** How many counts were dropped since the start. */
    public long dropped() {
        return dropped;
    }

    /** The calls of all relays in seconds that began in the last {@code spanMs}, a minute at most. */
    public Total total(double now, String name, double spanMs) {
        removeExpired(now);
        long sum = 0;
        int relays = 0;
        double oldestMs = 0;
        for (TreeMap<Long, Process> processes : members.values()) {
            double newest = Double.NEGATIVE_INFINITY;
            for (Process p : processes.values()) {
                for (Second s : p.seconds.values()) {
                    if (now - s.startedAt <= spanMs) {
                        sum += s.totals.getOrDefault(name, 0L);
                        newest = Math.max(newest, s.startedAt);
                    }
                }
            }
            if (newest > Double.NEGATIVE_INFINITY) {
                relays++;
                oldestMs = Math.max(oldestMs, now - newest);
            }
        }
        return new Total(sum, relays, setup.members().size(), oldestMs);
    }

    private static boolean isName(String name) {
        return name != null && !name.isEmpty() && name.length() <= MAX_NAME_LENGTH;
    }

    /** The second of a process, created if absent, with an entry for the name; null if removed or beyond a limit. */
    private Second second(String member, long process, long second, String name) {
        TreeMap<Long, Process> processes = members.computeIfAbsent(member, m -> new TreeMap<>());
        Process p = processes.get(process);
        if (p == null) {
            if (processes.size() >= MAX_PROCESSES) {
                if (process < processes.firstKey()) {
                    return null; // it was removed in favour of later ones
                }
                processes.remove(processes.firstKey());
            }
            p = new Process();
            processes.put(process, p);
        }
        if (second <= p.removedThrough || !p.seconds.containsKey(second) && p.seconds.size() >= MAX_SECONDS) {
            return null;
        }
        Second s = p.seconds.get(second);
        if (s == null || !s.totals.containsKey(name)) {
            int records =
                    processes.values().stream().mapToInt(each -> each.records).sum();
            if (records >= MAX_RECORDS || s != null && s.totals.size() >= MAX_NAMES) {
                return null;
            }
            p.records++;
        }
        if (s == null) {
            s = new Second();
            p.seconds.put(second, s);
        }
        s.totals.putIfAbsent(name, 0L);
        return s;
    }

    private void removeExpired(double now) {
        for (TreeMap<Long, Process> processes : members.values()) {
            for (Process p : processes.values()) {
                while (!p.seconds.isEmpty() && now - p.seconds.firstEntry().getValue().startedAt >= KEPT_MS) {
                    Map.Entry<Long, Second> oldest = p.seconds.pollFirstEntry();
                    p.removedThrough = oldest.getKey();
                    p.records -= oldest.getValue().totals.size();
                }
            }
        }
    }
}
