package firstair.fleet.count;

import firstair.fleet.Setup;
import firstair.fleet.talk.Note;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Calls of all relays, by member, process and second of that process's clock. Of each such count the highest total
 * counts, so counts may come in any order and any number of times, and give the same sum. They are forgotten after a
 * minute, and a forgotten second never comes back: it would count as new. No moments travel, only ages; one that was
 * long under way makes a count look younger than it is, so of several the highest age counts.
 *
 * <p>All times are milliseconds of the relay's own advancing clock.
 */
public final class Counts {
    /** Older counts are forgotten, ms. */
    public static final double KEPT_MS = 60_000;

    private static final double SECOND_MS = 1000;
    private static final int MOST_SECONDS = 130; // of one process: a clock that is a little fast, and some to spare
    private static final int MOST_PROCESSES = 4; // of one member: the newest ones
    private static final int MOST_NAMES = 4096; // in one second of one process
    private static final int MOST_RECORDS = 1 << 16; // of one member: 1,024 names in each second that is kept
    private static final int LONGEST_NAME = 200;
    private static final long HIGHEST = 1_000_000_000_000L; // far above what a second can hold; sums stay exact

    /** What one process has counted in one second of its own. */
    private static final class Second {
        final Map<String, Long> totals = new LinkedHashMap<>();
        double startedAt = Double.POSITIVE_INFINITY; // on our clock, the earliest that can be inferred
    }

    private static final class Process {
        final TreeMap<Long, Second> seconds = new TreeMap<>();
        long forgotten = Long.MIN_VALUE; // seconds up to this one never come back
        int records; // names in all its seconds
    }

    private final Setup setup;
    private final long incarnation;
    private final Map<String, TreeMap<Long, Process>> members = new LinkedHashMap<>();
    private long dropped;

    /** @param incarnation of our process */
    public Counts(Setup setup, long incarnation) {
        this.setup = setup;
        this.incarnation = incarnation;
    }

    /** Calls of our own; none are news too, so that others know that there were none. */
    public void add(double now, String what, long calls) {
        if (calls < 0 || !isName(what)) {
            return;
        }
        forget(now);
        long second = (long) Math.floor(now / SECOND_MS);
        Second s = second(setup.self(), incarnation, second, what);
        if (s != null) {
            s.startedAt = second * SECOND_MS;
            s.totals.merge(what, Math.min(calls, HIGHEST), (a, b) -> Math.min(HIGHEST, a + b));
        }
    }

    /** Our own counts of the last seconds, to be told to others. Each may be told as often as one likes. */
    public Note.Counts tell(double now, int seconds) {
        forget(now);
        List<Note.Count> told = new ArrayList<>();
        Process own = members.getOrDefault(setup.self(), new TreeMap<>()).get(incarnation);
        if (own != null) {
            long from = (long) Math.floor(now / SECOND_MS) - seconds + 1;
            own.seconds
                    .tailMap(from)
                    .forEach((second, s) -> s.totals.forEach((what, total) -> told.add(
                            new Note.Count(setup.self(), incarnation, what, second, total, now - s.startedAt))));
        }
        return new Note.Counts(told);
    }

    /** Counts have come, of their sender or of others. What cannot be is dropped and counted. */
    public void heard(double now, Note.Counts note) {
        forget(now);
        for (Note.Count c : note.counts()) {
            boolean ours = setup.self().equals(c.member()) && c.incarnation() >= incarnation;
            boolean sound = isName(c.member())
                    && setup.members().contains(c.member())
                    && isName(c.what())
                    && c.total() >= 0
                    && c.total() <= HIGHEST
                    && c.ageMs() >= 0
                    && c.ageMs() < KEPT_MS;
            Second s = ours || !sound ? null : second(c.member(), c.incarnation(), c.second(), c.what());
            if (s == null) {
                dropped++;
                continue;
            }
            s.startedAt = Math.min(s.startedAt, now - c.ageMs());
            s.totals.merge(c.what(), c.total(), Math::max);
        }
    }

    /** How many counts were dropped since the start. */
    public long dropped() {
        return dropped;
    }

    /** The calls of all relays in seconds that began in the last {@code spanMs}, a minute at most. */
    public Total total(double now, String what, double spanMs) {
        forget(now);
        long sum = 0;
        int relays = 0;
        double oldestMs = 0;
        for (TreeMap<Long, Process> processes : members.values()) {
            double newest = Double.NEGATIVE_INFINITY;
            for (Process p : processes.values()) {
                for (Second s : p.seconds.values()) {
                    if (now - s.startedAt <= spanMs) {
                        sum += s.totals.getOrDefault(what, 0L);
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

    private static boolean isName(String what) {
        return what != null && !what.isEmpty() && what.length() <= LONGEST_NAME;
    }

    /** The second of a process, made if need be, with room for a name; null if it is forgotten or there is none. */
    private Second second(String member, long process, long second, String what) {
        TreeMap<Long, Process> processes = members.computeIfAbsent(member, m -> new TreeMap<>());
        Process p = processes.get(process);
        if (p == null) {
            if (processes.size() >= MOST_PROCESSES) {
                if (process < processes.firstKey()) {
                    return null; // so long ago that its place was given to later ones
                }
                processes.remove(processes.firstKey());
            }
            p = new Process();
            processes.put(process, p);
        }
        if (second <= p.forgotten || !p.seconds.containsKey(second) && p.seconds.size() >= MOST_SECONDS) {
            return null;
        }
        Second s = p.seconds.get(second);
        if (s == null || !s.totals.containsKey(what)) {
            int records = processes.values().stream().mapToInt(x -> x.records).sum();
            if (records >= MOST_RECORDS || s != null && s.totals.size() >= MOST_NAMES) {
                return null;
            }
            p.records++;
        }
        if (s == null) {
            s = new Second();
            p.seconds.put(second, s);
        }
        s.totals.putIfAbsent(what, 0L);
        return s;
    }

    private void forget(double now) {
        for (TreeMap<Long, Process> processes : members.values()) {
            for (Process p : processes.values()) {
                while (!p.seconds.isEmpty() && now - p.seconds.firstEntry().getValue().startedAt >= KEPT_MS) {
                    Map.Entry<Long, Second> oldest = p.seconds.pollFirstEntry();
                    p.forgotten = oldest.getKey();
                    p.records -= oldest.getValue().totals.size();
                }
            }
        }
    }
}
