package firstair.fleet.member;

import firstair.fleet.Outbox;
import firstair.fleet.Setup;
import firstair.fleet.fault.Fault;
import firstair.fleet.talk.Note;
import firstair.fleet.talk.Note.Rumour;
import firstair.fleet.talk.Note.Status;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Membership as seen by this relay, by SWIM-style probing and gossip. Every {@code helloMs} it says hello to one other
 * member, to each once per round in random order. A member that doesn't answer is probed through other members; if they
 * don't reach it either, it is suspected. The suspicion is gossiped to all, the suspect included, which refutes
 * it. A member that doesn't refute it in time is gone until it is heard again; gone members are still probed in every
 * third round.
 *
 * <p>A relay whose own health is degraded, or that was suspended for a while, doesn't publish suspicions and declares
 * no member gone. None is declared gone before a majority of all members has answered us since the suspicion began,
 * so an isolated relay cannot do it. Status is a hint for choosing whom to ask; no safety property depends on it.
 *
 * <p>No I/O, no clock, no thread: {@code now} is in milliseconds of the relay's monotonic clock.
 */
public class Membership {
    private static final int PROBE_ATTEMPTS = 3; // per hello; all but the first also through other members
    private static final int INDIRECT_PROBES = 3; // members asked to probe one that doesn't answer
    private static final int MIN_UNANSWERED_PROBES = 4; // further unanswered hellos before a suspect is gone
    private static final int GONE_PROBE_ROUNDS = 3; // a gone member is probed once in so many rounds
    private static final int MAX_RUMOURS = 10; // most rumours in a message
    private static final int FILL_RUMOURS = 5; // a message is filled up to so many with older rumours
    private static final double BROADCAST_FACTOR =
            1.5; // sends of a rumour by one relay, times log2 of the member count
    private static final double SUSPICION_FACTOR =
            8; // hello intervals until a suspect is gone, times log2 of the member count
    private static final int MAX_REFUTATION = Integer.MAX_VALUE - 1;
    private static final int MAX_LEAVING_NOTES = 10; // members that we notify of our shutdown ourselves
    private static final int MAX_INDIRECT_PER_MEMBER = 4; // pending hellos on behalf of others, times the other members

    /** A hello sent on behalf of another member. */
    private record IndirectProbe(String requester, long nonce, String target, double endsAt) {}

    private final Setup setup;
    private final long incarnation;
    private final Random random;
    private final Outbox out;
    private final Map<String, Member> others = new LinkedHashMap<>();
    private final List<Member> known; // the same members in this relay's random order
    private final Map<Long, IndirectProbe> indirectProbes = new LinkedHashMap<>();
    private final LocalHealth health;
    private final double suspicionMs;
    private final int broadcasts;

    private int refutation;
    private long nonce;
    private List<Member> round = List.of();
    private int rounds;
    private int nextInRound;
    private int rumourCursor;
    private int suspectCursor;
    private double nextHelloAt = Double.NaN; // not started
    private double wakeAt = Double.POSITIVE_INFINITY;
    private Fault stopReason;
    private boolean left;

    /**
     * Starts with the names of all members, none of which has been heard yet.
     *
     * @param incarnation of this process: above 0 and higher than that of any earlier process of this name
     * @param random      for the order in which members are probed
     */
    public Membership(Setup setup, long incarnation, Random random, Outbox out) {
        this.setup = setup;
        this.incarnation = incarnation;
        this.random = random;
        this.out = out;
        for (String name : setup.members()) {
            if (!name.equals(setup.self())) {
                others.put(name, new Member(name));
            }
        }
        known = new ArrayList<>(others.values());
        Collections.shuffle(known, random);
        health = new LocalHealth(others.size(), 2 * setup.delayMs());
        double logarithm = Math.max(1, Math.log(setup.members().size() + 1.0) / Math.log(2));
        suspicionMs = SUSPICION_FACTOR * logarithm * setup.helloMs();
        broadcasts = (int) Math.ceil(BROADCAST_FACTOR * logarithm);
        nonce = random.nextLong();
    }

    // ---- events ----

    /**
     * Handles a note of any kind; receiving it also shows that its sender is alive.
     *
     * @param from   the sender; ignored unless it is a member
     * @param sender its incarnation; notes of an incarnation older than the newest known are ignored
     */
    public void receive(double now, String from, long sender, Note note) {
        if (from.equals(setup.self()) && sender > incarnation) {
            nameTaken();
        }
        Member m = others.get(from);
        if (m == null || silent() || sender <= 0 || sender < m.incarnation) {
            return;
        }
        detectPause(now);
        if (sender > m.incarnation) {
            apply(m, new Rumour(from, sender, 0, Status.ALIVE), now);
        }
        m.heardAt = now;
        if (note instanceof Note.Hello hello) {
            hello.rumours().forEach(r -> learn(r, now));
            send(m, new Note.HelloAnswer(hello.nonce(), rumours(m)));
        } else if (note instanceof Note.HelloAnswer back) {
            onAnswer(m, back.nonce(), now, true);
            back.rumours().forEach(r -> learn(r, now));
            IndirectProbe errand = indirectProbes.get(back.nonce());
            if (errand != null && errand.target().equals(from)) {
                indirectProbes.remove(back.nonce());
                send(others.get(errand.requester()), new Note.ProbeAnswer(errand.nonce(), from, sender));
            }
        } else if (note instanceof Note.ProbeRequest ask) {
            probeOnBehalf(m, ask, now);
        } else if (note instanceof Note.ProbeAnswer heard) {
            Member about = others.get(heard.member());
            learn(new Rumour(heard.member(), heard.incarnation(), 0, Status.ALIVE), now);
            if (about != null && heard.incarnation() == about.incarnation) {
                onAnswer(about, heard.nonce(), now, false);
            }
        } else if (note instanceof Note.Leaving) {
            m.answeredAt = Double.NEGATIVE_INFINITY; // answers from before its shutdown are no evidence any more
            learn(new Rumour(from, sender, m.refutation, Status.GONE), now);
        }
    }

    /** Runs due timers. Returns when to call it next, on the same clock; infinite for never. */
    public double timer(double now) {
        if (silent() || others.isEmpty()) {
            return Double.POSITIVE_INFINITY;
        }
        if (Double.isNaN(nextHelloAt)) {
            nextHelloAt = now;
        }
        detectPause(now);
        indirectProbes.values().removeIf(e -> e.endsAt() <= now);
        for (Member m : others.values()) {
            if (m.probe != null && m.probe.deadline <= now) {
                onTimeout(m, now);
            }
            if (m.status == Status.SUSPECT && m.suspicionEndsAt <= now) {
                onSuspicionEnd(m, now);
            }
        }
        if (nextHelloAt <= now) {
            // jitter: relays deployed together must not send in step
            nextHelloAt = Math.max(now, nextHelloAt + setup.helloMs() * (0.95 + 0.1 * random.nextDouble()));
            sendHello(now);
            reprobeSuspect(now);
        }
        wakeAt = due();
        return wakeAt;
    }

    /** A process that started later uses our name: this one stops sending for good. */
    public void nameTaken() {
        if (stopReason == null) {
            stopReason = new Fault.NameTaken(setup.self());
            out.report(stopReason.line());
        }
    }

    /** Orderly shutdown: notifies some members, which gossip it to the rest, then stops sending. */
    public void leave() {
        if (silent()) {
            return;
        }
        known.stream()
                .filter(m -> m.status == Status.ALIVE)
                .limit(MAX_LEAVING_NOTES)
                .forEach(m -> send(m, new Note.Leaving()));
        left = true;
    }

    // ---- local view ----

    /** Status of a member: ourselves alive; gone where it was never heard of or is no member. */
    public Status status(String member) {
        if (member.equals(setup.self())) {
            return Status.ALIVE;
        }
        Member m = others.get(member);
        return m == null ? Status.GONE : m.status;
    }

    /** The newest known incarnation of a member, 0 for none. */
    public long incarnation(String member) {
        if (member.equals(setup.self())) {
            return incarnation;
        }
        Member m = others.get(member);
        return m == null ? 0 : m.incarnation;
    }

    /** The other members with status alive, in the order of the setup; empty once this process has stopped sending. */
    public List<String> alive() {
        return silent()
                ? List.of()
                : others.values().stream()
                        .filter(m -> m.status == Status.ALIVE)
                        .map(m -> m.name)
                        .toList();
    }

    /** Number of other members from which a note arrived directly within the last {@code ms}. */
    public int heardWithin(double now, double ms) {
        return (int) others.values().stream().filter(m -> m.heardAt >= now - ms).count();
    }

    /** Whether too few answers arrive to judge others; also right after the start, after a pause and once stopped. */
    public boolean doubtful() {
        return silent() || health.degraded();
    }

    /** Why this process has stopped sending for good, or null while it has not. */
    public Fault stopReason() {
        return stopReason;
    }

    /** Shortest time from a suspicion to its member being gone, ms. */
    public double suspicionMs() {
        return suspicionMs;
    }

    private boolean silent() {
        return left || stopReason != null;
    }

    // ---- hellos ----

    private double due() {
        double at = nextHelloAt;
        for (Member m : others.values()) {
            if (m.probe != null) {
                at = Math.min(at, m.probe.deadline);
            }
            if (m.status == Status.SUSPECT) {
                at = Math.min(at, m.suspicionEndsAt);
            }
        }
        return at;
    }

    /** A late call means that we were suspended or starved: pending answers may have arrived without being read. */
    private void detectPause(double now) {
        if (now <= wakeAt + setup.helloMs() / 2) {
            return;
        }
        health.paused();
        indirectProbes.clear();
        for (Member m : others.values()) {
            m.probe = null;
            if (m.status == Status.SUSPECT) {
                suspect(m, now, m.detectedLocally);
            }
        }
        nextHelloAt = now;
        wakeAt = now;
    }

    private void sendHello(double now) {
        Member m = nextInRound();
        if (m.probe == null) {
            m.probe = new Member.Probe(nonce++, now, now + health.timeoutMs(), m.status != Status.GONE);
        }
        send(m, new Note.Hello(m.probe.nonce, rumours(m)));
    }

    private Member nextInRound() {
        while (nextInRound >= round.size()) { // a round is non-empty after at most three tries
            List<Member> next = new ArrayList<>();
            for (int i = 0; i < known.size(); i++) {
                Member m = known.get(i);
                if (m.status != Status.GONE || rounds == 0 || (rounds + i) % GONE_PROBE_ROUNDS == 0) {
                    next.add(m);
                }
            }
            Collections.shuffle(next, random);
            round = next;
            nextInRound = 0;
            rounds++;
        }
        return round.get(nextInRound++);
    }

    /** Probes one of the locally detected suspects again, directly and through one other member. */
    private void reprobeSuspect(double now) {
        List<Member> suspects = known.stream()
                .filter(m -> m.status == Status.SUSPECT && m.detectedLocally && !awaitingAnswer(m, now))
                .toList();
        if (suspects.isEmpty()) {
            return;
        }
        suspectCursor = (suspectCursor + 1) % suspects.size();
        Member m = suspects.get(suspectCursor);
        m.unansweredProbes++;
        m.reprobedAt = now;
        m.reprobeNonce = nonce++;
        send(m, new Note.Hello(m.reprobeNonce, rumours(m)));
        helpers(m, 1).forEach(h -> send(h, new Note.ProbeRequest(m.reprobeNonce, m.name)));
    }

    /** Whether an answer to the latest repeated probe may still arrive. */
    private boolean awaitingAnswer(Member m, double now) {
        return now < m.reprobedAt + 3 * health.timeoutMs(); // one direct round trip and two by way of a helper
    }

    private List<Member> helpers(Member about, int most) {
        List<Member> some = new ArrayList<>(known.stream()
                .filter(m -> m.status == Status.ALIVE && m != about)
                .toList());
        Collections.shuffle(some, random);
        return some.subList(0, Math.min(most, some.size()));
    }

    private void probeOnBehalf(Member asker, Note.ProbeRequest ask, double now) {
        Member about = others.get(ask.member());
        if (about == null || about == asker) {
            return;
        }
        if (indirectProbes.size() >= MAX_INDIRECT_PER_MEMBER * others.size()) {
            Iterator<IndirectProbe> oldest = indirectProbes.values().iterator();
            oldest.next();
            oldest.remove();
        }
        indirectProbes.put(nonce, new IndirectProbe(asker.name, ask.nonce(), about.name, now + 4 * setup.delayMs()));
        send(about, new Note.Hello(nonce++, rumours(about)));
    }

    private void onAnswer(Member m, long to, double now, boolean directly) {
        if (m.probe != null && m.probe.nonce == to) {
            if (directly && m.probe.attempts == 1) {
                health.recordRoundTrip(now - m.probe.startedAt);
            }
            endProbe(m, true);
        } else if (m.reprobeNonce != to || m.reprobedAt == Double.NEGATIVE_INFINITY) {
            return;
        }
        m.answeredAt = now;
        m.unansweredProbes = 0;
        if (m.status == Status.SUSPECT && m.unpublished) {
            m.status = Status.ALIVE; // the suspicion was never published
            m.pendingBroadcasts = 0;
        }
    }

    private void onTimeout(Member m, double now) {
        if (m.probe.attempts < PROBE_ATTEMPTS && m.probe.affectsHealth) {
            m.probe.attempts++;
            m.probe.deadline = now + 2 * health.timeoutMs(); // two round trips
            send(m, new Note.Hello(m.probe.nonce, rumours(m)));
            helpers(m, INDIRECT_PROBES).forEach(h -> send(h, new Note.ProbeRequest(m.probe.nonce, m.name)));
            return;
        }
        endProbe(m, false);
        if (m.status == Status.ALIVE) {
            apply(m, new Rumour(m.name, m.incarnation, m.refutation, Status.SUSPECT), now);
            suspect(m, now, true);
            m.unpublished = degraded();
        } else if (m.status == Status.SUSPECT && !m.detectedLocally) {
            suspect(m, now, true);
        }
    }

    private void endProbe(Member m, boolean answered) {
        if (m.probe.affectsHealth || answered) {
            health.recordOutcome(answered);
        }
        m.probe = null;
    }

    // ---- suspicions ----

    private void suspect(Member m, double now, boolean ours) {
        m.suspectedAt = now;
        m.detectedLocally = ours;
        m.confirming = false;
        m.unansweredProbes = 0;
        // whoever detected it waits half as long as members that only learned of it; a confirming phase follows
        m.suspicionEndsAt = now + (ours ? 0.5 : 1) * suspicionMs;
    }

    private void onSuspicionEnd(Member m, double now) {
        if (degraded()) {
            suspect(m, now, true);
        } else if (!m.detectedLocally || m.unpublished || m.answeredAt >= m.suspectedAt) {
            suspect(m, now, true); // probe it ourselves and publish that, to the suspect as well
            m.unpublished = false;
            m.pendingBroadcasts = broadcasts;
        } else if (isolated(m.suspectedAt)) {
            m.suspicionEndsAt = now + setup.helloMs();
        } else if (!m.confirming) {
            m.confirming = true; // we may have been isolated until now: it gets as long again to refute
            m.unansweredProbes = 0;
            m.suspicionEndsAt = now + suspicionMs / 2;
        } else if (m.unansweredProbes - (awaitingAnswer(m, now) ? 1 : 0) < MIN_UNANSWERED_PROBES) {
            m.suspicionEndsAt = now + setup.helloMs();
        } else {
            apply(m, new Rumour(m.name, m.incarnation, m.refutation, Status.GONE), now);
        }
    }

    /** Whether our own health is too poor to judge others. */
    boolean degraded() {
        return health.degraded();
    }

    /** Whether no majority, ourselves included, has answered since then, so that we may be the isolated side. */
    boolean isolated(double since) {
        long answered = known.stream().filter(m -> m.answeredAt >= since).count();
        return (1 + answered) * 2 <= setup.members().size();
    }

    /** Another member has us as suspect or gone: raises our refutation number above that rumour's. */
    void refute(int heard) {
        refutation = heard + 1;
    }

    // ---- rumours ----

    private void learn(Rumour r, double now) {
        if (r.member().equals(setup.self())) {
            if (r.incarnation() > incarnation) {
                nameTaken();
            } else if (r.incarnation() == incarnation
                    && r.status() != Status.ALIVE
                    && r.refutation() >= refutation
                    && r.refutation() < MAX_REFUTATION) {
                refute(r.refutation());
            }
            return;
        }
        Member m = others.get(r.member());
        if (m != null && r.incarnation() > 0 && m.supersededBy(r)) {
            apply(m, r, now);
        }
    }

    private void apply(Member m, Rumour r, double now) {
        Status before = m.status;
        boolean first = m.incarnation == 0;
        if (r.incarnation() > m.incarnation) {
            m.resetTo(r.incarnation());
        }
        Status to = r.status();
        if (to == Status.GONE && before != to && (m.answeredAt >= now - suspicionMs || degraded())) {
            to = Status.SUSPECT; // it answered lately, or the rumour may be stale after a pause: probe it first
            if (before == to && r.refutation() == m.refutation) {
                return;
            }
        }
        m.refutation = r.refutation();
        m.status = to;
        m.pendingBroadcasts = broadcasts;
        m.unpublished = false;
        if (to == Status.SUSPECT) {
            suspect(m, now, false);
        } else if (to == Status.GONE && before != Status.GONE) {
            out.report("relay " + m.name + " is gone");
        } else if (to == Status.ALIVE && before == Status.GONE) {
            out.report("relay " + m.name + (first ? " is there" : " is back"));
        }
    }

    /**
     * The rumours carried by a message: ourselves, so that every message refutes suspicions of us; the receiver's own
     * status if it isn't alive; then new rumours, the worst status first; then older ones up to {@link #FILL_RUMOURS},
     * so that a member that missed a rumour receives it eventually.
     */
    private List<Rumour> rumours(Member to) {
        List<Rumour> all = new ArrayList<>();
        all.add(new Rumour(setup.self(), incarnation, refutation, Status.ALIVE));
        if (to.incarnation > 0 && to.status != Status.ALIVE) {
            all.add(to.rumour());
        }
        boolean doubts = degraded();
        List<Member> news = known.stream()
                .filter(m -> m.pendingBroadcasts > 0 && m != to && mayPublish(m, doubts))
                .sorted(Comparator.comparing((Member m) -> m.status)
                        .reversed()
                        .thenComparing(m -> -m.pendingBroadcasts))
                .limit(MAX_RUMOURS - all.size())
                .toList();
        for (Member m : news) {
            m.pendingBroadcasts--;
            all.add(m.rumour());
        }
        for (int i = 0; i < known.size() && all.size() < FILL_RUMOURS; i++) {
            rumourCursor = (rumourCursor + 1) % known.size();
            Member m = known.get(rumourCursor);
            // old suspicions are not repeated: they would circulate again after their member recovered
            if (m != to && m.status != Status.SUSPECT && mayPublish(m, doubts) && !news.contains(m)) {
                all.add(m.rumour());
            }
        }
        return all;
    }

    private static boolean mayPublish(Member m, boolean doubts) {
        return m.incarnation > 0 && (m.status == Status.ALIVE || !doubts && !m.unpublished);
    }

    private void send(Member to, Note note) {
        if (!silent()) { // the note just handled may have stopped us
            out.send(to.name, note);
        }
    }
}
