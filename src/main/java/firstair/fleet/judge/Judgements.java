package firstair.fleet.judge;

import firstair.fleet.Setup;
import firstair.fleet.talk.Note;
import firstair.fleet.talk.Note.Sight;
import firstair.fleet.talk.Note.Sign;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * What relays saw of endpoints and destinations: evidence, from which each relay judges for itself. Times are
 * milliseconds on the relay's own clock.
 *
 * <p>Others' evidence makes this relay more careful, never bolder: it can begin or lengthen a wait and hold a subject
 * to be down; it ends no wait and holds nobody to be well. A subject is down by our own failures, or by those of at
 * least two other relays that are believed and are not outvoted by relays that had answers since. A relay is not
 * believed while its calls reach much less than the others' do, or where most of what it calls failing answers others;
 * this relay doubts itself by the same rule, and then its own failures are one witness among others. Members are
 * trusted to pass on what others said as they said it.
 *
 * <p>A {@link Sign} counts by its {@code calls}: how many calls of that process to the subject the evidence is over,
 * all in all, so that of two signs of one process the newer one is known without any clock. {@code ageMs} and {@code
 * holdsMs} both count from when it was seen. Of several copies of a sign the one with the earliest reckoning counts, so
 * doubles and later arrivals change nothing. All is forgotten when its time is over.
 */
public final class Judgements {
    private static final int RUN = 3; // failures one after the other that are evidence
    private static final int WITNESSES = 2; // others needed
    private static final double WEIGHT = 1.5; // of them together; a full one weighs 1
    private static final double LEAST_REACH = 0.5; // of what others reach: one below it is not believed
    private static final int ALONE = 3; // subjects called failing against most others, to be doubted
    private static final double SWEEP_MS = 1_000; // records are reckoned anew so often
    private static final double ANEW = 3; // what goes on is told anew after such a part of its time
    private static final double RECENT_MS = 10_000; // calls count half in our reach after so long
    private static final double KEPT_MS = 20; // a judgement without news is kept so long
    private static final double EASE = 10; // answers that our reach begins with
    private static final int KINDS = 4; // in the order in which they are told

    /** The newest that one process said of one subject by one kind of sight. */
    private static final class Seen {
        private final String by;
        private final long incarnation;
        private final String subject;
        private final Sight sight;
        private final int calls;
        private final double holdsMs;
        private final double reach;
        private double at; // seen then, by the earliest copy
        private double end;
        private double firstAt; // of all that were heard of this process, while none expired
        private int tellings; // still owed to others

        private Seen(Sign s, double at, double end) {
            by = s.by();
            incarnation = s.incarnation();
            subject = s.subject();
            sight = s.sight();
            calls = s.calls();
            holdsMs = s.holdsMs();
            reach = s.reach();
            this.at = at;
            this.end = end;
            firstAt = at;
        }

        private boolean newerThan(Seen o) {
            return incarnation != o.incarnation ? incarnation > o.incarnation : calls - o.calls > 0; // it may overflow
        }

        private Sign told(double now) {
            return new Sign(by, incarnation, subject, sight, calls, Math.max(0, now - at), holdsMs, reach);
        }
    }

    /** All that is held of one subject, by who said it. */
    private static final class Subject {
        private final Map<String, Seen> waits = new TreeMap<>();
        private final Map<String, Seen> fails = new TreeMap<>();
        private final Map<String, Seen> answers = new TreeMap<>();
        private int calls; // our own, all in all
        private int run; // of our own failures
        private boolean down; // as it was judged last
        private double judgeAt = Double.NEGATIVE_INFINITY; // then, or after news, it is judged anew

        private Map<String, Seen> of(Sight sight) {
            return switch (sight) {
                case WAIT -> waits;
                case FAILS -> fails;
                case ANSWERS -> answers;
            };
        }

        /** What a member said last of whether it answers was that it fails, and that still counts; else null. */
        private Seen failing(String member, double now) {
            Seen f = fails.get(member);
            Seen a = answers.get(member);
            return f == null || f.end <= now || a != null && a.newerThan(f) ? null : f;
        }

        /** Since when it has said so. */
        private double since(Seen f) {
            Seen a = answers.get(f.by);
            return a == null || a.incarnation != f.incarnation ? f.firstAt : Math.max(f.firstAt, a.at);
        }
    }

    private final Setup setup;
    private final long incarnation;
    private final double longestMs;
    private final Predicate<String> knownSubject;
    private final Set<String> members;
    private final int tellings;
    private final Map<String, Subject> subjects = new TreeMap<>();
    private final List<Set<Seen>> toTell = new ArrayList<>();
    private final Map<String, Double> doubtedUntil = new TreeMap<>();
    private double typicalReach; // 0 while nobody is known to reach anything
    private double sweepAt = Double.NEGATIVE_INFINITY;
    private double reachAt;
    private double answered;
    private double called;
    private long dropped;

    /**
     * A relay that starts and knows nothing.
     *
     * @param incarnation  of our process
     * @param longestMs    nothing holds longer, whoever says so
     * @param knownSubject whether there is such a subject; all else is dropped, so memory is bounded
     */
    public Judgements(Setup setup, long incarnation, double longestMs, Predicate<String> knownSubject) {
        this.setup = setup;
        this.incarnation = incarnation;
        this.longestMs = longestMs;
        this.knownSubject = knownSubject;
        this.members = new TreeSet<>(setup.members());
        this.tellings = 1 + Integer.SIZE - Integer.numberOfLeadingZeros(members.size());
        for (int i = 0; i < KINDS; i++) {
            toTell.add(new LinkedHashSet<>());
        }
    }

    /**
     * Outcomes of own calls.
     *
     * @param calls   how many of that outcome came one after the other
     * @param holdsMs for a wait the told one; else how long it is to count
     */
    public void saw(double now, String subject, Sight sight, int calls, double holdsMs) {
        sweep(now);
        if (calls < 1 || !(holdsMs > 0) || !knownSubject.test(subject)) {
            dropped++;
            return;
        }
        double fade = Math.pow(0.5, Math.max(0, now - reachAt) / RECENT_MS);
        reachAt = now;
        called = called * fade + calls;
        answered = answered * fade + (sight == Sight.FAILS ? 0 : calls); // who tells a wait was reached
        Subject s = subjects.computeIfAbsent(subject, name -> new Subject());
        s.calls += calls;
        s.run = sight == Sight.FAILS ? Math.min(s.run, Integer.MAX_VALUE - calls) + calls : 0;
        double holds = Math.min(holdsMs, longestMs);
        Seen last = s.of(sight).get(setup.self());
        boolean news =
                switch (sight) {
                    case WAIT -> last == null || now + holds > last.end; // what was told for longer holds on
                    case FAILS -> s.run >= RUN && (s.failing(setup.self(), now) == null || aged(last, now));
                    case ANSWERS ->
                        last == null || last.end <= now || s.failing(setup.self(), now) != null || aged(last, now);
                };
        if (news) {
            take(
                    new Seen(
                            new Sign(setup.self(), incarnation, subject, sight, s.calls, 0, holds, reach()),
                            now,
                            now + holds),
                    now);
        }
    }

    private static boolean aged(Seen last, double now) {
        return now - last.at >= last.holdsMs / ANEW;
    }

    /** Others' evidence, told by a member, who may pass on what a third one saw. */
    public void heard(double now, String from, Note.Signs signs) {
        sweep(now);
        if (from == null || !members.contains(from)) {
            dropped += signs.signs().size();
            return;
        }
        for (Sign s : signs.signs()) {
            boolean ours = s.by() == null || s.by().equals(setup.self());
            boolean sound = s.sight() != null
                    && s.ageMs() >= 0
                    && s.holdsMs() > 0
                    && !Double.isInfinite(s.holdsMs())
                    && s.reach() >= 0
                    && s.reach() <= 1;
            if (ours || !sound || !members.contains(s.by()) || s.subject() == null || !knownSubject.test(s.subject())) {
                dropped += ours && sound ? 0 : 1; // our own that come back are no fault
                continue;
            }
            // What is left of it by a clock that may run slow beside ours; the time on the way is not taken off.
            double left = (s.holdsMs() - s.ageMs()) * (1 + 2 * setup.drift());
            if (left > 0) {
                take(new Seen(s, now - s.ageMs(), now + Math.min(left, longestMs)), now);
            }
        }
    }

    private void take(Seen seen, double now) {
        Subject s = subjects.computeIfAbsent(seen.subject, name -> new Subject());
        Map<String, Seen> all = s.of(seen.sight);
        Seen last = all.get(seen.by);
        boolean live = last != null && last.end > now;
        if (live && last.incarnation == seen.incarnation) {
            double first = Math.min(last.firstAt, seen.firstAt);
            last.firstAt = first;
            seen.firstAt = first;
        }
        if (last != null && !seen.newerThan(last)) {
            if (!last.newerThan(seen)) {
                last.at = Math.min(last.at, seen.at);
                last.end = Math.min(last.end, seen.end);
                s.judgeAt = now;
            }
            return;
        }
        if (live && seen.sight == Sight.WAIT) {
            seen.end = Math.max(seen.end, last.end); // nothing that is said later shortens a wait
        }
        boolean turned = seen.sight == Sight.ANSWERS && s.failing(seen.by, now) != null;
        all.put(seen.by, seen);
        s.judgeAt = now;
        if (last != null) {
            toTell.forEach(kind -> kind.remove(last));
        }
        seen.tellings = tellings;
        toTell.get(seen.sight == Sight.WAIT ? 0 : seen.sight == Sight.FAILS ? 1 : turned ? 2 : 3)
                .add(seen);
    }

    /**
     * What is worth telling somebody first: a wait, a fall, a return, then what is merely new; each a number of times
     * that grows with the logarithm of the members, those told least recently first.
     *
     * @param most signs at most
     */
    public List<Sign> toTell(double now, int most) {
        sweep(now);
        List<Sign> told = new ArrayList<>();
        for (Set<Seen> kind : toTell) {
            for (Seen seen : List.copyOf(kind)) {
                if (told.size() >= most) {
                    return told;
                }
                kind.remove(seen);
                if (seen.end > now && now - seen.at < seen.holdsMs) {
                    told.add(seen.told(now));
                    seen.tellings--;
                    if (seen.tellings > 0) {
                        kind.add(seen);
                    }
                }
            }
        }
        return told;
    }

    /** Time has passed. */
    public void timer(double now) {
        sweep(now);
    }

    /** Until when nothing may be sent there because somebody was told to wait; not after {@code now} if at once. */
    public double waitUntil(double now, String subject) {
        Subject s = subjects.get(subject);
        return s == null
                ? now
                : s.waits.values().stream().mapToDouble(w -> w.end).reduce(now, Math::max);
    }

    /** Whether it is held to be down. */
    public boolean down(double now, String subject) {
        sweep(now);
        Subject s = subjects.get(subject);
        if (s == null) {
            return false;
        }
        if (now >= s.judgeAt) {
            s.down = judge(s, now);
            s.judgeAt = now + KEPT_MS;
        }
        return s.down;
    }

    private boolean judge(Subject s, double now) {
        int witnesses = 0;
        double weight = 0;
        double since = Double.POSITIVE_INFINITY;
        for (String member : s.fails.keySet()) {
            Seen f = s.failing(member, now);
            double its = f == null || doubted(now, member) ? 0 : f.reach >= typicalReach ? 1 : f.reach / typicalReach;
            if (member.equals(setup.self()) && f != null) {
                if (its >= LEAST_REACH) {
                    return true;
                }
                its = LEAST_REACH; // a witness that doubts itself
            }
            if (its >= LEAST_REACH) {
                witnesses++;
                weight += its;
                since = Math.min(since, s.since(f));
            }
        }
        return witnesses >= WITNESSES && weight >= WEIGHT && after(answering(s, now), since) <= witnesses;
    }

    /** Whether a member's failures are not believed; our own too. */
    public boolean doubted(double now, String member) {
        return doubtedUntil.getOrDefault(member, now) > now;
    }

    /** The share of our own recent calls that were answered; the first few failures alone say little. */
    public double reach() {
        return (answered + EASE) / (called + EASE);
    }

    /** How much of what was told could not be used. */
    public long dropped() {
        return dropped;
    }

    /** When each member had answers that counts as answering and is believed. */
    private double[] answering(Subject s, double now) {
        return s.answers.values().stream()
                .filter(a -> a.end > now && !doubted(now, a.by))
                .filter(a -> s.failing(a.by, now) == null)
                .mapToDouble(a -> a.at)
                .toArray();
    }

    private static int after(double[] moments, double since) {
        int n = 0;
        for (double at : moments) {
            n += at > since ? 1 : 0;
        }
        return n;
    }

    /** Forgets what is over and reckons anew who is believed. */
    private void sweep(double now) {
        if (now < sweepAt) {
            return;
        }
        sweepAt = now + SWEEP_MS;
        subjects.keySet().removeIf(name -> !knownSubject.test(name));
        for (Subject s : subjects.values()) {
            for (Sight sight : Sight.values()) {
                // Answers are kept on until no failure from before them can count any more.
                double kept = sight == Sight.ANSWERS ? 2 * longestMs : 0;
                s.of(sight).values().removeIf(seen -> Math.max(seen.end, seen.at + kept) <= now);
            }
            s.judgeAt = now;
        }
        for (Set<Seen> kind : toTell) {
            kind.removeIf(seen -> seen.end <= now || !subjects.containsKey(seen.subject));
        }
        doubtedUntil.values().removeIf(until -> until <= now);
        reckonReach();
        reckonRecords(now);
    }

    /** What a relay usually reaches: the middle one of the newest that each said of itself. */
    private void reckonReach() {
        Map<String, Seen> newest = new TreeMap<>();
        for (Subject s : subjects.values()) {
            for (Sight sight : Sight.values()) {
                s.of(sight).forEach((by, seen) -> newest.merge(by, seen, (a, b) -> a.at >= b.at ? a : b));
            }
        }
        double[] all = newest.values().stream().mapToDouble(seen -> seen.reach).toArray();
        Arrays.sort(all);
        typicalReach = all.length == 0 ? 0 : all[all.length / 2];
    }

    /** How often each member's failures stood against what most others saw. */
    private void reckonRecords(double now) {
        Map<String, int[]> records = new TreeMap<>(); // how many stood alone, of how many
        for (Subject s : subjects.values()) {
            List<Seen> failing = s.fails.keySet().stream()
                    .map(member -> s.failing(member, now))
                    .filter(Objects::nonNull)
                    .toList();
            long believed = failing.stream().filter(f -> !doubted(now, f.by)).count();
            double[] answering = failing.isEmpty() ? new double[0] : answering(s, now);
            for (Seen f : failing) {
                long others = believed - (doubted(now, f.by) ? 0 : 1);
                int against = after(answering, s.since(f));
                int[] record = records.computeIfAbsent(f.by, name -> new int[2]);
                record[1]++;
                if (against >= WITNESSES && against > others) {
                    record[0]++;
                }
            }
        }
        records.forEach((member, record) -> {
            if (record[0] >= ALONE && record[0] * 2 > record[1]) {
                doubtedUntil.put(member, now + longestMs); // and for a while after the last of it
            }
        });
    }
}
