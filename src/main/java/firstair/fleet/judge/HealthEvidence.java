package firstair.fleet.judge;

import firstair.fleet.Setup;
import firstair.fleet.talk.Note;
import firstair.fleet.talk.Note.HealthReport;
import firstair.fleet.talk.Note.Observation;
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
 * Evidence of the relays on the health of endpoints and destinations ("subjects"), spread by gossip. Each relay decides
 * for itself what follows from it. Times are milliseconds on the relay's own clock.
 *
 * <p>Others' evidence makes this relay only more cautious: it can start or extend a wait and mark a subject as down; it
 * cannot shorten a wait or mark a subject as healthy. A subject is down because of our own failures, or because of
 * those of at least two other trusted relays that are not outvoted by relays with later answers. A relay is distrusted
 * while its success rate is far below that of the others, or where most subjects that it reports as failing answer
 * others; this relay distrusts itself by the same rule, and then its own failures count as one witness among others.
 * Members are trusted to forward the evidence of others unchanged.
 *
 * <p>A {@link HealthReport} is ordered by its {@code calls}: the number of all calls of that process to the subject so
 * far, so
 * that of two signs of one process the newer one is known without any clock. {@code ageMs} and {@code holdsMs} both
 * count from the observation. Of several copies of a sign the one with the earliest times counts, so duplicates and
 * late copies change nothing. Evidence is removed when it expires.
 */
public final class HealthEvidence {
    private static final int FAILURES = 3; // consecutive failures that count as evidence
    private static final int MIN_WITNESSES = 2; // other relays needed
    private static final double MIN_WEIGHT = 1.5; // total weight needed; a fully trusted witness weighs 1
    private static final double MIN_RELATIVE_RATE = 0.5; // of the typical success rate: a relay below it is distrusted
    private static final int MIN_CONTRADICTED = 3; // subjects reported as failing against a majority, for distrust
    private static final double UPDATE_MS = 1_000; // interval of expiry and of the update of trust
    private static final double REPEATS_PER_TERM = 3; // a continuing observation is repeated after 1/3 of its time
    private static final double HALF_LIFE_MS = 10_000; // half-life of calls in our success rate
    private static final double CACHE_MS = 20; // how long a result is cached without new evidence
    private static final double INITIAL_ANSWERS = 10; // answered calls that our success rate starts with
    private static final int QUEUES = 4; // by urgency of what is sent

    /** The newest evidence of one process on one subject, of one {@link Observation}. */
    private static final class Evidence {
        private final String by;
        private final long incarnation;
        private final String subject;
        private final Observation sight;
        private final int calls;
        private final double holdsMs;
        private final double successRate;
        private double at; // time of the observation, by the earliest copy
        private double end;
        private double firstAt; // start of an unbroken series of this process's evidence
        private int sendsLeft; // how often it is still to be sent

        private Evidence(HealthReport s, double at, double end) {
            by = s.reporter();
            incarnation = s.incarnation();
            subject = s.subject();
            sight = s.observation();
            calls = s.calls();
            holdsMs = s.validMs();
            successRate = s.successRate();
            this.at = at;
            this.end = end;
            firstAt = at;
        }

        private boolean isNewerThan(Evidence other) {
            // The difference of calls is right even after an overflow.
            return incarnation != other.incarnation ? incarnation > other.incarnation : calls - other.calls > 0;
        }

        private HealthReport toSign(double now) {
            return new HealthReport(
                    by, incarnation, subject, sight, calls, Math.max(0, now - at), holdsMs, successRate);
        }
    }

    /** All evidence on one subject, by the member that it comes from. */
    private static final class Subject {
        private final Map<String, Evidence> waits = new TreeMap<>();
        private final Map<String, Evidence> fails = new TreeMap<>();
        private final Map<String, Evidence> answers = new TreeMap<>();
        private int calls; // our own, in total
        private int consecutiveFailures; // consecutive failures of our own
        private boolean down; // cached result
        private double cachedUntil = Double.NEGATIVE_INFINITY; // when the cached result expires

        private Map<String, Evidence> of(Observation sight) {
            return switch (sight) {
                case WAIT -> waits;
                case FAILS -> fails;
                case ANSWERS -> answers;
            };
        }

        /** A member's evidence of failure if it is newer than its answers and has not expired; else null. */
        private Evidence failing(String member, double now) {
            Evidence f = fails.get(member);
            Evidence a = answers.get(member);
            return f == null || f.end <= now || a != null && a.isNewerThan(f) ? null : f;
        }

        /** Since when the member has reported the failure. */
        private double since(Evidence f) {
            Evidence a = answers.get(f.by);
            return a == null || a.incarnation != f.incarnation ? f.firstAt : Math.max(f.firstAt, a.at);
        }
    }

    private final Setup setup;
    private final long incarnation;
    private final double longestMs;
    private final Predicate<String> knownSubject;
    private final Set<String> members;
    private final int sendsEach;
    private final Map<String, Subject> subjects = new TreeMap<>();
    private final List<Set<Evidence>> queues = new ArrayList<>();
    private final Map<String, Double> distrustedUntil = new TreeMap<>();
    private double typicalRate; // 0 while no evidence is known
    private double updateAt = Double.NEGATIVE_INFINITY;
    private double rateAt;
    private double answered;
    private double called;
    private long dropped;

    /**
     * Starts without evidence.
     *
     * @param incarnation  of this process
     * @param longestMs    upper bound for how long any evidence holds, whoever reports it
     * @param knownSubject whether a subject exists; evidence on others is dropped, so that memory is bounded
     */
    public HealthEvidence(Setup setup, long incarnation, double longestMs, Predicate<String> knownSubject) {
        this.setup = setup;
        this.incarnation = incarnation;
        this.longestMs = longestMs;
        this.knownSubject = knownSubject;
        this.members = new TreeSet<>(setup.members());
        this.sendsEach = 1 + Integer.SIZE - Integer.numberOfLeadingZeros(members.size());
        for (int i = 0; i < QUEUES; i++) {
            queues.add(new LinkedHashSet<>());
        }
    }

    /**
     * Records outcomes of our own calls.
     *
     * @param calls   how many consecutive calls had this outcome
     * @param holdsMs for a wait its requested length; otherwise how long the evidence holds
     */
    public void observe(double now, String subject, Observation sight, int calls, double holdsMs) {
        update(now);
        if (calls < 1 || !(holdsMs > 0) || !knownSubject.test(subject)) {
            dropped++;
            return;
        }
        double fade = Math.pow(0.5, Math.max(0, now - rateAt) / HALF_LIFE_MS);
        rateAt = now;
        called = called * fade + calls;
        answered = answered * fade
                + (sight == Observation.FAILS ? 0 : calls); // an endpoint that requests a wait was reached
        Subject s = subjects.computeIfAbsent(subject, name -> new Subject());
        s.calls += calls;
        s.consecutiveFailures =
                sight == Observation.FAILS ? Math.min(s.consecutiveFailures, Integer.MAX_VALUE - calls) + calls : 0;
        double holds = Math.min(holdsMs, longestMs);
        Evidence last = s.of(sight).get(setup.self());
        boolean isNew =
                switch (sight) {
                    case WAIT -> last == null || now + holds > last.end; // a longer wait stays in force
                    case FAILS ->
                        s.consecutiveFailures >= FAILURES
                                && (s.failing(setup.self(), now) == null || isRepeatDue(last, now));
                    case ANSWERS ->
                        last == null
                                || last.end <= now
                                || s.failing(setup.self(), now) != null
                                || isRepeatDue(last, now);
                };
        if (isNew) {
            store(
                    new Evidence(
                            new HealthReport(
                                    setup.self(), incarnation, subject, sight, s.calls, 0, holds, successRate()),
                            now,
                            now + holds),
                    now);
        }
    }

    private static boolean isRepeatDue(Evidence last, double now) {
        return now - last.at >= last.holdsMs / REPEATS_PER_TERM;
    }

    /** Merges evidence received from a member, which may forward that of others. */
    public void merge(double now, String from, Note.HealthReports signs) {
        update(now);
        if (from == null || !members.contains(from)) {
            dropped += signs.reports().size();
            return;
        }
        for (HealthReport s : signs.reports()) {
            boolean ours = s.reporter() == null || s.reporter().equals(setup.self());
            boolean valid = s.observation() != null
                    && s.ageMs() >= 0
                    && s.validMs() > 0
                    && !Double.isInfinite(s.validMs())
                    && s.successRate() >= 0
                    && s.successRate() <= 1;
            if (ours
                    || !valid
                    || !members.contains(s.reporter())
                    || s.subject() == null
                    || !knownSubject.test(s.subject())) {
                dropped += ours && valid ? 0 : 1; // our own evidence that comes back is valid
                continue;
            }
            // The rest by a clock that may run slower than ours; the time in transit is not subtracted.
            double remainingMs = (s.validMs() - s.ageMs()) * (1 + 2 * setup.drift());
            if (remainingMs > 0) {
                store(new Evidence(s, now - s.ageMs(), now + Math.min(remainingMs, longestMs)), now);
            }
        }
    }

    private void store(Evidence evidence, double now) {
        Subject s = subjects.computeIfAbsent(evidence.subject, name -> new Subject());
        Map<String, Evidence> all = s.of(evidence.sight);
        Evidence last = all.get(evidence.by);
        boolean current = last != null && last.end > now;
        if (current && last.incarnation == evidence.incarnation) {
            double first = Math.min(last.firstAt, evidence.firstAt);
            last.firstAt = first;
            evidence.firstAt = first;
        }
        if (last != null && !evidence.isNewerThan(last)) {
            if (!last.isNewerThan(evidence)) {
                last.at = Math.min(last.at, evidence.at);
                last.end = Math.min(last.end, evidence.end);
                s.cachedUntil = now;
            }
            return;
        }
        if (current && evidence.sight == Observation.WAIT) {
            evidence.end = Math.max(evidence.end, last.end); // no later evidence shortens a wait
        }
        boolean recovered = evidence.sight == Observation.ANSWERS && s.failing(evidence.by, now) != null;
        all.put(evidence.by, evidence);
        s.cachedUntil = now;
        if (last != null) {
            queues.forEach(queue -> queue.remove(last));
        }
        evidence.sendsLeft = sendsEach;
        queues.get(evidence.sight == Observation.WAIT ? 0 : evidence.sight == Observation.FAILS ? 1 : recovered ? 2 : 3)
                .add(evidence);
    }

    /**
     * The next evidence to send, by urgency: waits, failures, recoveries, then other answers. Each is sent a number of
     * times that grows with the logarithm of the number of members, the least recently sent first.
     *
     * @param maxSigns the largest number to return
     */
    public List<HealthReport> nextToSend(double now, int maxSigns) {
        update(now);
        List<HealthReport> signs = new ArrayList<>();
        for (Set<Evidence> queue : queues) {
            for (Evidence evidence : List.copyOf(queue)) {
                if (signs.size() >= maxSigns) {
                    return signs;
                }
                queue.remove(evidence);
                if (evidence.end > now && now - evidence.at < evidence.holdsMs) {
                    signs.add(evidence.toSign(now));
                    evidence.sendsLeft--;
                    if (evidence.sendsLeft > 0) {
                        queue.add(evidence);
                    }
                }
            }
        }
        return signs;
    }

    /** Removes expired evidence and updates trust, if due. */
    public void timer(double now) {
        update(now);
    }

    /** The end of the longest wait that was requested of any relay; not after {@code now} if there is none. */
    public double waitUntil(double now, String subject) {
        Subject s = subjects.get(subject);
        return s == null
                ? now
                : s.waits.values().stream().mapToDouble(w -> w.end).reduce(now, Math::max);
    }

    /** Whether a subject is considered down. */
    public boolean isDown(double now, String subject) {
        update(now);
        Subject s = subjects.get(subject);
        if (s == null) {
            return false;
        }
        if (now >= s.cachedUntil) {
            s.down = evaluate(s, now);
            s.cachedUntil = now + CACHE_MS;
        }
        return s.down;
    }

    private boolean evaluate(Subject s, double now) {
        int witnesses = 0;
        double weight = 0;
        double since = Double.POSITIVE_INFINITY;
        for (String member : s.fails.keySet()) {
            Evidence f = s.failing(member, now);
            double memberWeight = f == null || isDistrusted(now, member)
                    ? 0
                    : f.successRate >= typicalRate ? 1 : f.successRate / typicalRate;
            if (member.equals(setup.self()) && f != null) {
                if (memberWeight >= MIN_RELATIVE_RATE) {
                    return true;
                }
                memberWeight = MIN_RELATIVE_RATE; // we distrust ourselves: our failures are one weak witness
            }
            if (memberWeight >= MIN_RELATIVE_RATE) {
                witnesses++;
                weight += memberWeight;
                since = Math.min(since, s.since(f));
            }
        }
        return witnesses >= MIN_WITNESSES && weight >= MIN_WEIGHT && countAfter(answering(s, now), since) <= witnesses;
    }

    /** Whether the failures that a member reports are ignored; it may be this relay. */
    public boolean isDistrusted(double now, String member) {
        return distrustedUntil.getOrDefault(member, now) > now;
    }

    /** The share of our own recent calls that were answered, smoothed so that a few early failures count little. */
    public double successRate() {
        return (answered + INITIAL_ANSWERS) / (called + INITIAL_ANSWERS);
    }

    /** How many observations and signs were invalid and dropped. */
    public long dropped() {
        return dropped;
    }

    /** For each trusted member whose calls are answered, the time of its newest answer. */
    private double[] answering(Subject s, double now) {
        return s.answers.values().stream()
                .filter(a -> a.end > now && !isDistrusted(now, a.by))
                .filter(a -> s.failing(a.by, now) == null)
                .mapToDouble(a -> a.at)
                .toArray();
    }

    private static int countAfter(double[] times, double since) {
        int n = 0;
        for (double at : times) {
            n += at > since ? 1 : 0;
        }
        return n;
    }

    /** Removes what has expired and updates which members are trusted. */
    private void update(double now) {
        if (now < updateAt) {
            return;
        }
        updateAt = now + UPDATE_MS;
        subjects.keySet().removeIf(name -> !knownSubject.test(name));
        for (Subject s : subjects.values()) {
            for (Observation sight : Observation.values()) {
                // Answers are kept until no earlier failure can count any more.
                double kept = sight == Observation.ANSWERS ? 2 * longestMs : 0;
                s.of(sight).values().removeIf(evidence -> Math.max(evidence.end, evidence.at + kept) <= now);
            }
            s.cachedUntil = now;
        }
        for (Set<Evidence> queue : queues) {
            queue.removeIf(evidence -> evidence.end <= now || !subjects.containsKey(evidence.subject));
        }
        distrustedUntil.values().removeIf(until -> until <= now);
        updateTypicalRate();
        updateTrust(now);
    }

    /** Sets the typical success rate: the median of the newest rate that each relay reported. */
    private void updateTypicalRate() {
        Map<String, Evidence> newest = new TreeMap<>();
        for (Subject s : subjects.values()) {
            for (Observation sight : Observation.values()) {
                s.of(sight).forEach((by, evidence) -> newest.merge(by, evidence, (a, b) -> a.at >= b.at ? a : b));
            }
        }
        double[] all = newest.values().stream()
                .mapToDouble(evidence -> evidence.successRate)
                .toArray();
        Arrays.sort(all);
        typicalRate = all.length == 0 ? 0 : all[all.length / 2];
    }

    /** Distrusts members whose reported failures mostly contradict what the majority observed. */
    private void updateTrust(double now) {
        Map<String, int[]> countsByMember = new TreeMap<>(); // contradicted, all
        for (Subject s : subjects.values()) {
            List<Evidence> failing = s.fails.keySet().stream()
                    .map(member -> s.failing(member, now))
                    .filter(Objects::nonNull)
                    .toList();
            long trusted =
                    failing.stream().filter(f -> !isDistrusted(now, f.by)).count();
            double[] answering = failing.isEmpty() ? new double[0] : answering(s, now);
            for (Evidence f : failing) {
                long others = trusted - (isDistrusted(now, f.by) ? 0 : 1);
                int contradicting = countAfter(answering, s.since(f));
                int[] counts = countsByMember.computeIfAbsent(f.by, name -> new int[2]);
                counts[1]++;
                if (contradicting >= MIN_WITNESSES && contradicting > others) {
                    counts[0]++;
                }
            }
        }
        countsByMember.forEach((member, counts) -> {
            if (counts[0] >= MIN_CONTRADICTED && counts[0] * 2 > counts[1]) {
                distrustedUntil.put(member, now + longestMs); // and for a while after it no longer holds
            }
        });
    }
}
