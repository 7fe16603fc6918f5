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
 * Who is there, as far as this relay can know. Every {@code helloMs} it says hello to one other member, to each once in
 * a round of its own order. Who doesn't answer is asked for by others; who is not reached by them either is suspected,
 * and everybody hears of that, the suspected one as well, which refutes it. Who doesn't for long is gone, until it is
 * heard again: one that is gone is still tried in every third round.
 *
 * <p>A relay that hears little itself, or was stopped for a while, tells nobody of its suspicions and declares nobody
 * gone; and nobody is declared gone before a majority of all members has answered us since the suspicion began, so a
 * relay that is cut off cannot do it. A status is a help to choose whom to ask. Nothing that must hold hangs on it.
 *
 * <p>No I/O, no clock, no thread: {@code now} is in milliseconds of the relay's own advancing clock.
 */
public class Membership {
    private static final int TRIES = 3; // of one hello; all but the first also through others
    private static final int HELPERS = 3; // asked for one who doesn't answer
    private static final int ASKS = 4; // further ones without an answer before anybody is gone
    private static final int GONE_EVERY = 3; // rounds between hellos to one that is gone
    private static final int TOLD_FIRST = 10; // rumours in a message at most
    private static final int TOLD = 5; // a message is filled up to so many with what is long known
    private static final double TELLINGS = 1.5; // of one rumour by one relay, times the logarithm of the members
    private static final double SUSPICION = 8; // hellos until a suspected one is gone, times that logarithm
    private static final int MOST_REFUTATION = Integer.MAX_VALUE - 1;
    private static final int FAREWELLS = 10; // members that hear of our end from ourselves
    private static final int ERRANDS = 4; // hellos on behalf of others that are under way, for each member

    /** A hello on behalf of another member. */
    private record Errand(String asker, long nonce, String about, double endsAt) {}

    private final Setup setup;
    private final long incarnation;
    private final Random random;
    private final Outbox out;
    private final Map<String, Member> others = new LinkedHashMap<>();
    private final List<Member> known; // the same ones, in an order of our own
    private final Map<Long, Errand> errands = new LinkedHashMap<>();
    private final Health health;
    private final double suspicionMs;
    private final int tellings;

    private int refutation;
    private long nonce;
    private List<Member> round = List.of();
    private int rounds;
    private int nextInRound;
    private int nextToTell;
    private int nextSuspect;
    private double helloAt = Double.NaN; // not started
    private double wakeAt = Double.POSITIVE_INFINITY;
    private Fault stopReason;
    private boolean left;

    /**
     * A relay that knows the names of all members and has heard of none.
     *
     * @param incarnation of our process: higher than that of all before it under our name, above 0
     * @param random      for the order in which others are asked
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
        health = new Health(others.size(), 2 * setup.delayMs());
        double logarithm = Math.max(1, Math.log(setup.members().size() + 1.0) / Math.log(2));
        suspicionMs = SUSPICION * logarithm * setup.helloMs();
        tellings = (int) Math.ceil(TELLINGS * logarithm);
        nonce = random.nextLong();
    }

    // ---- events ----

    /**
     * A note came from a member, of whatever kind: that it came counts as well.
     *
     * @param from   the sender; others than members are ignored
     * @param sender its incarnation; notes of an earlier one than the newest heard of are ignored
     */
    public void receive(double now, String from, long sender, Note note) {
        if (from.equals(setup.self()) && sender > incarnation) {
            nameTaken();
        }
        Member m = others.get(from);
        if (m == null || silent() || sender <= 0 || sender < m.incarnation) {
            return;
        }
        noticePause(now);
        if (sender > m.incarnation) {
            adopt(m, new Rumour(from, sender, 0, Status.ALIVE), now);
        }
        m.heardAt = now;
        if (note instanceof Note.Hello hello) {
            hello.rumours().forEach(r -> learn(r, now));
            say(m, new Note.HelloAnswer(hello.nonce(), rumours(m)));
        } else if (note instanceof Note.HelloAnswer back) {
            answered(m, back.nonce(), now, true);
            back.rumours().forEach(r -> learn(r, now));
            Errand errand = errands.get(back.nonce());
            if (errand != null && errand.about().equals(from)) {
                errands.remove(back.nonce());
                say(others.get(errand.asker()), new Note.ProbeAnswer(errand.nonce(), from, sender));
            }
        } else if (note instanceof Note.ProbeRequest ask) {
            runErrand(m, ask, now);
        } else if (note instanceof Note.ProbeAnswer heard) {
            Member about = others.get(heard.member());
            learn(new Rumour(heard.member(), heard.incarnation(), 0, Status.ALIVE), now);
            if (about != null && heard.incarnation() == about.incarnation) {
                answered(about, heard.nonce(), now, false);
            }
        } else if (note instanceof Note.Leaving) {
            m.answeredAt = Double.NEGATIVE_INFINITY; // what it answered before its end says nothing now
            learn(new Rumour(from, sender, m.refutation, Status.GONE), now);
        }
    }

    /** Does what is due. Returns when it wants to be called again, on the same clock; infinite for never. */
    public double timer(double now) {
        if (silent() || others.isEmpty()) {
            return Double.POSITIVE_INFINITY;
        }
        if (Double.isNaN(helloAt)) {
            helloAt = now;
        }
        noticePause(now);
        errands.values().removeIf(e -> e.endsAt() <= now);
        for (Member m : others.values()) {
            if (m.probe != null && m.probe.endsAt <= now) {
                unanswered(m, now);
            }
            if (m.status == Status.SUSPECT && m.goneAt <= now) {
                suspicionEnds(m, now);
            }
        }
        if (helloAt <= now) {
            // a little uneven, lest all relays of a release speak at once
            helloAt = Math.max(now, helloAt + setup.helloMs() * (0.95 + 0.1 * random.nextDouble()));
            hello(now);
            askAgain(now);
        }
        wakeAt = due();
        return wakeAt;
    }

    /** Another process was heard that started later under our name: this one falls silent. */
    public void nameTaken() {
        if (stopReason == null) {
            stopReason = new Fault.NameTaken(setup.self());
            out.report(stopReason.line());
        }
    }

    /** Our process ends in order: some others are told, who tell the rest; after that this one is silent. */
    public void leave() {
        if (silent()) {
            return;
        }
        known.stream().filter(m -> m.status == Status.ALIVE).limit(FAREWELLS).forEach(m -> say(m, new Note.Leaving()));
        left = true;
    }

    // ---- what is held ----

    /** How a member is held to be; ourselves alive; gone what was never heard of or is no member. */
    public Status status(String member) {
        if (member.equals(setup.self())) {
            return Status.ALIVE;
        }
        Member m = others.get(member);
        return m == null ? Status.GONE : m.status;
    }

    /** The newest incarnation heard of, 0 for none. */
    public long incarnation(String member) {
        if (member.equals(setup.self())) {
            return incarnation;
        }
        Member m = others.get(member);
        return m == null ? 0 : m.incarnation;
    }

    /** The other members that are held to be there, in the order of the setup; nobody once we have fallen silent. */
    public List<String> alive() {
        return silent()
                ? List.of()
                : others.values().stream()
                        .filter(m -> m.status == Status.ALIVE)
                        .map(m -> m.name)
                        .toList();
    }

    /** How many other members we have heard ourselves within so many ms. */
    public int heardWithin(double now, double ms) {
        return (int) others.values().stream().filter(m -> m.heardAt >= now - ms).count();
    }

    /** Whether we hear too little to judge others; also right after the start, after a pause, and once silent. */
    public boolean doubtful() {
        return silent() || health.doubtful();
    }

    /** Why this process has fallen silent for good, or null while it has not. */
    public Fault stopReason() {
        return stopReason;
    }

    /** How long a suspicion lasts at the least before its member is gone, ms. */
    public double suspicionMs() {
        return suspicionMs;
    }

    private boolean silent() {
        return left || stopReason != null;
    }

    // ---- hellos ----

    private double due() {
        double at = helloAt;
        for (Member m : others.values()) {
            if (m.probe != null) {
                at = Math.min(at, m.probe.endsAt);
            }
            if (m.status == Status.SUSPECT) {
                at = Math.min(at, m.goneAt);
            }
        }
        return at;
    }

    /** Called late, we were stopped or starved: whatever we waited for may have come and not been read. */
    private void noticePause(double now) {
        if (now <= wakeAt + setup.helloMs() / 2) {
            return;
        }
        health.paused();
        errands.clear();
        for (Member m : others.values()) {
            m.probe = null;
            if (m.status == Status.SUSPECT) {
                suspect(m, now, m.ours);
            }
        }
        helloAt = now;
        wakeAt = now;
    }

    private void hello(double now) {
        Member m = nextInRound();
        if (m.probe == null) {
            m.probe = new Member.Probe(nonce++, now, now + health.patienceMs(), m.status != Status.GONE);
        }
        say(m, new Note.Hello(m.probe.nonce, rumours(m)));
    }

    private Member nextInRound() {
        while (nextInRound >= round.size()) { // after at most three rounds somebody is in it
            List<Member> next = new ArrayList<>();
            for (int i = 0; i < known.size(); i++) {
                Member m = known.get(i);
                if (m.status != Status.GONE || rounds == 0 || (rounds + i) % GONE_EVERY == 0) {
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

    /** One of those that we suspect by ourselves is tried again, directly and through somebody else. */
    private void askAgain(double now) {
        List<Member> suspects = known.stream()
                .filter(m -> m.status == Status.SUSPECT && m.ours && !waits(m, now))
                .toList();
        if (suspects.isEmpty()) {
            return;
        }
        nextSuspect = (nextSuspect + 1) % suspects.size();
        Member m = suspects.get(nextSuspect);
        m.asks++;
        m.askedAt = now;
        m.askNonce = nonce++;
        say(m, new Note.Hello(m.askNonce, rumours(m)));
        helpers(m, 1).forEach(h -> say(h, new Note.ProbeRequest(m.askNonce, m.name)));
    }

    /** Whether an answer to the last further hello may still come. */
    private boolean waits(Member m, double now) {
        return now < m.askedAt + 3 * health.patienceMs(); // directly, and there and back through another
    }

    private List<Member> helpers(Member about, int most) {
        List<Member> some = new ArrayList<>(known.stream()
                .filter(m -> m.status == Status.ALIVE && m != about)
                .toList());
        Collections.shuffle(some, random);
        return some.subList(0, Math.min(most, some.size()));
    }

    private void runErrand(Member asker, Note.ProbeRequest ask, double now) {
        Member about = others.get(ask.member());
        if (about == null || about == asker) {
            return;
        }
        if (errands.size() >= ERRANDS * others.size()) {
            Iterator<Errand> oldest = errands.values().iterator();
            oldest.next();
            oldest.remove();
        }
        errands.put(nonce, new Errand(asker.name, ask.nonce(), about.name, now + 4 * setup.delayMs()));
        say(about, new Note.Hello(nonce++, rumours(about)));
    }

    private void answered(Member m, long to, double now, boolean directly) {
        if (m.probe != null && m.probe.nonce == to) {
            if (directly && m.probe.tries == 1) {
                health.took(now - m.probe.startedAt);
            }
            end(m, true);
        } else if (m.askNonce != to || m.askedAt == Double.NEGATIVE_INFINITY) {
            return;
        }
        m.answeredAt = now;
        m.asks = 0;
        if (m.status == Status.SUSPECT && m.kept) {
            m.status = Status.ALIVE; // nobody else has heard of it
            m.toTell = 0;
        }
    }

    private void unanswered(Member m, double now) {
        if (m.probe.tries < TRIES && m.probe.counts) {
            m.probe.tries++;
            m.probe.endsAt = now + 2 * health.patienceMs(); // there and back, twice
            say(m, new Note.Hello(m.probe.nonce, rumours(m)));
            helpers(m, HELPERS).forEach(h -> say(h, new Note.ProbeRequest(m.probe.nonce, m.name)));
            return;
        }
        end(m, false);
        if (m.status == Status.ALIVE) {
            adopt(m, new Rumour(m.name, m.incarnation, m.refutation, Status.SUSPECT), now);
            suspect(m, now, true);
            m.kept = doubts();
        } else if (m.status == Status.SUSPECT && !m.ours) {
            suspect(m, now, true);
        }
    }

    private void end(Member m, boolean answered) {
        if (m.probe.counts || answered) {
            health.ended(answered);
        }
        m.probe = null;
    }

    // ---- suspicions ----

    private void suspect(Member m, double now, boolean ours) {
        m.suspectedAt = now;
        m.ours = ours;
        m.lastCall = false;
        m.asks = 0;
        // whoever found no way to it is asked to wait half as long as those who only heard of that
        m.goneAt = now + (ours ? 0.5 : 1) * suspicionMs;
    }

    private void suspicionEnds(Member m, double now) {
        if (doubts()) {
            suspect(m, now, true);
        } else if (!m.ours || m.kept || m.answeredAt >= m.suspectedAt) {
            suspect(m, now, true); // now we look for ourselves, and all hear of it, the suspected one as well
            m.kept = false;
            m.toTell = tellings;
        } else if (isolated(m.suspectedAt)) {
            m.goneAt = now + setup.helloMs();
        } else if (!m.lastCall) {
            m.lastCall = true; // we may have been cut off until just now: it has as long again to hear of it and answer
            m.asks = 0;
            m.goneAt = now + suspicionMs / 2;
        } else if (m.asks - (waits(m, now) ? 1 : 0) < ASKS) {
            m.goneAt = now + setup.helloMs();
        } else {
            adopt(m, new Rumour(m.name, m.incarnation, m.refutation, Status.GONE), now);
        }
    }

    /** Whether we hear too little now to hold anything against others. */
    boolean doubts() {
        return health.doubtful();
    }

    /** Whether too few have answered us since then to say that it is not we who are cut off: no majority with us. */
    boolean isolated(double since) {
        long answered = known.stream().filter(m -> m.answeredAt >= since).count();
        return (1 + answered) * 2 <= setup.members().size();
    }

    /** Somebody holds us to be suspect or gone: what we say next counts more than that. */
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
                    && r.refutation() < MOST_REFUTATION) {
                refute(r.refutation());
            }
            return;
        }
        Member m = others.get(r.member());
        if (m != null && r.incarnation() > 0 && m.olderThan(r)) {
            adopt(m, r, now);
        }
    }

    private void adopt(Member m, Rumour r, double now) {
        Status before = m.status;
        boolean first = m.incarnation == 0;
        if (r.incarnation() > m.incarnation) {
            m.startAnew(r.incarnation());
        }
        Status to = r.status();
        if (to == Status.GONE && before != to && (m.answeredAt >= now - suspicionMs || doubts())) {
            to = Status.SUSPECT; // we know better, or may hear old news after a pause: we look for ourselves
            if (before == to && r.refutation() == m.refutation) {
                return;
            }
        }
        m.refutation = r.refutation();
        m.status = to;
        m.toTell = tellings;
        m.kept = false;
        if (to == Status.SUSPECT) {
            suspect(m, now, false);
        } else if (to == Status.GONE && before != Status.GONE) {
            out.report("relay " + m.name + " is gone");
        } else if (to == Status.ALIVE && before == Status.GONE) {
            out.report("relay " + m.name + (first ? " is there" : " is back"));
        }
    }

    /**
     * What a message tells beside what it is for: ourselves, so that every message refutes what is held against us;
     * what is held against its receiver; then what is new, the worst first; then, up to a number, what is known for
     * long, so that whoever missed something hears of it in the end.
     */
    private List<Rumour> rumours(Member to) {
        List<Rumour> all = new ArrayList<>();
        all.add(new Rumour(setup.self(), incarnation, refutation, Status.ALIVE));
        if (to.incarnation > 0 && to.status != Status.ALIVE) {
            all.add(to.rumour());
        }
        boolean doubts = doubts();
        List<Member> news = known.stream()
                .filter(m -> m.toTell > 0 && m != to && tellable(m, doubts))
                .sorted(Comparator.comparing((Member m) -> m.status).reversed().thenComparing(m -> -m.toTell))
                .limit(TOLD_FIRST - all.size())
                .toList();
        for (Member m : news) {
            m.toTell--;
            all.add(m.rumour());
        }
        for (int i = 0; i < known.size() && all.size() < TOLD; i++) {
            nextToTell = (nextToTell + 1) % known.size();
            Member m = known.get(nextToTell);
            // of a suspicion nobody hears long after: it would go round again once its member is back
            if (m != to && m.status != Status.SUSPECT && tellable(m, doubts) && !news.contains(m)) {
                all.add(m.rumour());
            }
        }
        return all;
    }

    private static boolean tellable(Member m, boolean doubts) {
        return m.incarnation > 0 && (m.status == Status.ALIVE || !doubts && !m.kept);
    }

    private void say(Member to, Note note) {
        if (!silent()) { // what was just heard may have silenced us
            out.send(to.name, note);
        }
    }
}
