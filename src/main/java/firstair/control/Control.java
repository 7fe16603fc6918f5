// The interface (settings, events, actions) stands in Controller.java, the reasons in docs/design.md.
package firstair.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** All decisions of a relay and their state; see {@link Controller} and docs/design.md. */
public final class Control implements Controller {
    private static final double NEVER = Double.NEGATIVE_INFINITY;
    private static final double FOREVER = Double.POSITIVE_INFINITY;
    // The design's own figures (docs/design.md).
    private static final double FIRST_PAUSE_MS = 200; // first pause of a message after a failed try
    private static final double PAUSE_GROWTH = 2; // each further pause is so many times longer
    private static final double JITTER = 0.25; // pauses vary by this share either way
    private static final double CAP = 0.75; // share of the slots that one destination may hold
    private static final double SICK_CAP = 0.5; // the same while it fails or is slow
    // Time-outs and call durations.
    private static final double DEFAULT_CALL_MS = 300; // usual call before any was seen
    private static final double LEARN = 0.1; // weight of a new duration in the usual one
    private static final double LEARN_PACE = 0.3; // weight of a new call in an endpoint's slowness
    private static final double OUTLIER = 3; // a duration counts for at most so many usual ones
    private static final double TIMEOUT_CALLS = 8; // usual durations until a call is timed out
    private static final double LEAST_TIMEOUT_MS = 1000; // below this chance alone would time calls out
    private static final double LEARN_LOST = 0.05; // weight of a call in that share
    private static final double MANY_LOST = 0.15; // share of lone time-outs that means lost answers
    private static final double LIVELY = 1.5; // slower than this, a silent call may be slow only
    private static final double LOST_SHARE = 0.5; // of the time-out while answers get lost
    private static final double WINDOW_SHARE = 0.6; // of a key's window that one attempt may use up
    private static final double EXTRA_ITEM = 0.15; // work of a further message in a call, in calls
    private static final double SELDOM = 0.5; // calls a second; who calls less is one of many
    private static final int SELDOM_DOWN_AFTER = 2; // failures in a row for it; all add up at a return
    private static final double SILENT_MS = 700; // answered within it, a destination is not down
    private static final double DEAD = 0.1; // part of a usual call: broken sooner is dead
    private static final double STOOD_MS = 1000; // idle so long, it may have been dropped unseen
    private static final double STALE_MS = 30_000; // no idle connection is used for so long
    private static final double LEARN_STALE = 0.2; // weight of a call on such a one in their share
    private static final double MANY_STALE = 0.4; // share that died from which that holds
    private static final double SLOW = 3; // so many times slower than usual is slow
    // Health and return of a destination.
    private static final int DOWN_AFTER_LOST = 5; // the same while calls get lost everywhere
    private static final int DOWN_AFTER = 3; // failures in a row that make an endpoint down
    private static final double FULL_OUTAGE_MS = 2500; // refusals alone mean an outage after this long,
    private static final int FULL_OUTAGE = 5; // and so many in a row where no report tells
    private static final double MUCH_LEFT = 0.9; // of an allowance: no limit was met
    private static final double SHUT_WAIT_MS = 2500; // a longer wait means shut, not a limit's span
    private static final double FIRST_TRIAL_MS = 500; // first pause before a trial of a down endpoint
    private static final double MOST_TRIAL_MS = 3000; // longest pause between trials
    private static final double RAMP_LOOK_MS = 250; // how often a ramp is looked at again
    private static final double ROUGH_OFF = 1.5; // a rough weight may be so many times too high
    private static final double LEAST_RATE = 1; // calls a second to all where nothing is known
    private static final double DEMAND_SPAN_MS = 10_000; // least time over which our own demand is averaged
    private static final double EVEN_SIGNS = 2; // messages that an even demand counts for in it
    private static final double EARLY_TRIAL_MS = 8000; // first trial where our part takes longer
    private static final double LEAST_START = 0.01; // capacity at a return where the rules tell none
    // Pacing at limits.
    private static final double CUT = 0.8; // rate kept after a refusal above a limit
    private static final int FEW = 7; // a cut pace stays above that of one of so many
    private static final double MOST_PARTS = 2; // but not above so many times our even part
    private static final double LEAST_OF_ALL = 4; // calls a second of all, where no report tells
    private static final double CUT_EVERY_MS = 500; // refusals closer than this are one event
    private static final double GROW = 0.15; // growth a second, in parts of our share
    private static final double SHARED_PART = 0.8; // of our part of a limit where calls can be shared
    private static final double MANY_REFUSED = 0.1; // share of refused calls from which that holds
    private static final double BURST_MS = 400; // so much of the rate may go at once
    private static final double UNTOLD_WAIT_MS = 500; // own pause where a refusal tells no wait
    private static final double LONE_GROWTH = 4; // of pauses up to the time of one call of our part
    private static final double SPREAD_MS = 50; // relays told the same wait come back within it
    private static final double SELDOM_SPREAD_MS = 1000; // or within this, where each calls seldom
    private static final double CROWD_MS = 2500; // a failed connect and an answer so close: crowded
    private static final double CROWDED_MS = 5000; // a lone failed connect closes idle ones so long
    private static final double KEEP_MS = 100; // two handshakes: kept longer, a place is lost
    private static final double TURNED_MS = 10_000; // turned away within it, a kind is short of places
    private static final double DOOR_MS = 50; // first pause at an endpoint that turned us away,
    private static final double MOST_DOOR_MS = 800; // and the longest: room may come at any time
    private static final double FEWER_PLACES = 0.5; // of our connections there are kept after that,
    private static final double MORE_PLACES = 0.25; // and so many come back with each answer
    private static final double FIRST_LOCAL_PAUSE_MS = 50; // where this machine could ask for no connection,
    private static final double MOST_LOCAL_PAUSE_MS = 800; // and the longest: it may be able to at any time
    private static final double HELD_UP_MS = 150; // between our clock and our write, at most (operators)
    // Choice among waiting messages.
    private static final double FAILED_COST = 0.2; // cost of an endpoint for each failure in a row
    private static final double LOOKAHEAD_MS = 1500; // how far the loss by waiting is looked at
    private static final double BASE_WORTH = 0.1; // weight of worth that waiting does not lose
    private static final double CROWD_WORTH = 1; // the same where not all that waits can go
    private static final double EARLY = 0.7; // of a message's time; returned sooner with no
    private static final double EARLY_PRICE = 0.3; // try, it costs so much of its worth (operators)
    private static final double ROOM = 0.06; // share of the open messages kept free
    private static final double ASK_AGAIN_MS = 400; // pause before asking for the list again
    private static final double AFTER_WAITING_MS = 100; // the same where the call had let wait for long
    private static final double TICK_MS = 5; // wake-ups are no closer than this
    private static final double FORGET_MS = 10_000; // what comes back on the list sooner is known

    private static final class Msg {
        Message m;
        MessageClass c;
        Dest dest;
        int type, tries, pauses;
        double handedAt, takenAt, notBefore, rank; // handed in first, and to us; due; its turn
        double doubtAt = Double.NaN; // first send that may have run, NaN if none
        int doubtZone = -1; // zone of that send, -1 if unknown
        boolean out, over; // an attempt is in flight; the final answer is known
        Set<Integer> zones; // where it may be sent, null for everywhere
        Lane lane; // what was booked for it, null for none

        List<Endpoint> active() {
            if (zones == null) {
                return dest.active;
            }
            return dest.active.stream().filter(e -> zones.contains(e.zone)).toList();
        }

        boolean inDoubt() {
            return !Double.isNaN(doubtAt);
        }

        /** Until when its return is too early: what may have run is given up as soon as that is clear. */
        double early() {
            return inDoubt() ? NEVER : takenAt + EARLY * (m.deadlineAt() - takenAt);
        }

        boolean zoned() {
            return inDoubt() && c.effect() == Effect.KEYED && c.scope() == Scope.ZONE;
        }

        boolean ordered() {
            return c.inOrder() && m.key() != null;
        }
    }

    /** One call to an endpoint; it may carry several messages, all of which have its time. */
    private static final class Call {
        Endpoint e;
        double sentAt, timeoutMs, mostMs = FOREVER; // its time, and the most that its messages allow
        int items, open;
        boolean trial, judged;
        Lane lane; // what was booked for it
        boolean kept, stood, heard; // on a used connection; one idle for long; its wait binds by now
    }

    private record Attempt(Msg m, Call call) {}

    /** What shares one limit: a destination, or one route where routes are apart. */
    private static final class Unit {
        final Dest dest;
        final Kind kind;
        final List<Endpoint> endpoints = new ArrayList<>();
        double waitUntil = NEVER, toldUntil = NEVER, okAt = NEVER, cutAt = NEVER; // told: not by us
        double limit; // calls a second reported, 0 if none
        double rate = FOREVER, tokens = 1; // our pace, calls a second, and the calls that may go now
        double pace = FOREVER; // the same within what the fleet leaves to us
        double filledAt = Double.NaN;
        double refusedShare; // of our recent calls
        double fullSince = Double.NaN; // first of the refusals with no delivery between
        int failRun, fullRun, fulls; // failures in a row; refusals in a row; such that told no wait

        Unit(Dest dest, Kind kind) {
            this.dest = dest;
            this.kind = kind;
        }

        int active() {
            return kind.routesApart() ? 1 : Math.max(1, dest.active.size());
        }
    }

    private static final class Endpoint {
        String name;
        Dest dest;
        Unit unit;
        Kind kind;
        int zone, kindNo, inflight, failRun, trials, aways; // aways: turned away since the last answer
        boolean active, down;
        final ArrayDeque<Double> idle = new ArrayDeque<>(); // when our idle connections were last used
        double weight, trialAt, rampAt, rampOwed; // next trial; last call of a return and its weight
        double noConnAt = NEVER, okSentAt = NEVER; // last failed connect; latest send that was answered
        double doorAt = NEVER, awayAt = NEVER; // end of our pause after it turned us away; when it did
        double places = FOREVER; // connections that we may have there at once
        double renewAt = FOREVER; // when its kept connections are to end once
        double leftAt = FOREVER; // since when it is no longer listed
        double avoidUntil = NEVER; // others hold it to be sick
        double coldSince = Double.NaN; // start of its return; FOREVER not yet, NaN warm
        double slowness = 1; // recent durations over the usual ones
        Call round; // latest call, open to more messages in its round

        boolean cold() {
            return !Double.isNaN(coldSince);
        }
    }

    private final class Dest {
        final List<Endpoint> endpoints = new ArrayList<>();
        List<Endpoint> active = List.of(); // those that are listed as up
        Unit shared; // of its endpoints that are no routes apart
        final double[] usual = new double[cfg.classes().size()]; // duration of a call, ms, by class
        final int[] seen = new int[cfg.classes().size()];
        boolean bare; // had endpoints on the list, and none now
        int inflight, taken, waiting; // calls out; messages so far, and such as go soon
        Share share = usualShare; // what the fleet leaves to us
    }

    private static final class Order {
        final ArrayDeque<Msg> queue = new ArrayDeque<>();
        int out;
        double restUntil = NEVER;
    }

    private final Settings cfg;
    private final Actions act;
    private final Random random, renewals; // apart, so that connections decide nothing about messages
    private final Map<Long, Msg> held = new LinkedHashMap<>();
    private final Map<Long, Attempt> attempts = new HashMap<>();
    private final Map<String, Endpoint> endpoints = new LinkedHashMap<>();
    private final Map<Integer, Dest> dests = new LinkedHashMap<>();
    private final Map<String, Order> orders = new HashMap<>();
    private final double[] classUsual;
    private final double[] crowdedUntil; // for each kind: until then idle connections are closed
    private final double[] turnedAt; // for each kind: when an endpoint last turned us away
    private final Set<Endpoint> unused = new LinkedHashSet<>(); // may have idle connections to be closed
    private double staleUntil = NEVER; // until then idle connections are held to be dead
    private double stale; // recent share of calls on connections that stood idle and were dead
    private double lost; // recent share of time-outs at endpoints that did not fail before
    private int slotsUsed;
    private double localUntil = NEVER,
            localPauseMs = FIRST_LOCAL_PAUSE_MS; // of connections that could not be asked for
    private Share usualShare = Share.ALL; // of destinations of which none was told
    private double wakeAt = FOREVER, askAt = FOREVER; // earliest wake-up asked for; next asking for the list
    private double nextWake; // earliest that this round wants
    private double startedAt = Double.NaN; // when the first message came

    /** One relay's decisions; the same events and seed give the same actions. */
    public Control(Settings settings, long seed, Actions actions) {
        cfg = settings;
        act = actions;
        random = new Random(seed);
        renewals = new Random(~seed);
        classUsual = new double[settings.classes().size()];
        Arrays.fill(classUsual, DEFAULT_CALL_MS);
        crowdedUntil = new double[Math.max(1, settings.kinds().size())];
        Arrays.fill(crowdedUntil, NEVER);
        turnedAt = crowdedUntil.clone();
        if (cfg.askForList()) {
            act.watchList();
        }
    }

    // ---- events ----

    @Override
    public void list(double now, News news, List<Entry> entries) {
        if (news == News.OVERDUE) {
            askAt = now + jittered(AFTER_WAITING_MS);
            return;
        }
        if (news == News.FAILED) {
            // A failure does not say whether a watch stands, and changes count soon after discovery is back.
            double most = cfg.rules().askEveryMs() > 0 ? cfg.rules().askEveryMs() / 8 : FOREVER;
            askAt = now + jittered(Math.min(most, ASK_AGAIN_MS));
            return;
        }
        if (news != News.CHANGES) {
            endpoints.values().forEach(e -> leave(now, e));
        }
        for (Entry en : entries) {
            Endpoint e = endpoints.computeIfAbsent(en.endpoint(), k -> add(now, en));
            e.active = en.listing() == Listing.ACTIVE;
            e.leftAt = FOREVER;
            e.weight = en.weight();
            if (en.listing() == Listing.LEFT) {
                leave(now, e);
            }
        }
        // Endpoints come and go for as long as we run: what has left is forgotten once nothing hangs on it.
        endpoints.values().removeIf(e -> {
            boolean gone = now - e.leftAt > FORGET_MS && e.inflight == 0 && e.unit.waitUntil <= now;
            return gone && e.dest.endpoints.remove(e) && e.unit.endpoints.remove(e);
        });
        dests.values()
                .removeIf(d -> d.endpoints.isEmpty() && held.values().stream().noneMatch(m -> m.dest == d));
        dests.values().forEach(d -> {
            boolean listed = !d.active.isEmpty();
            d.active = d.endpoints.stream().filter(e -> e.active).toList();
            d.bare = d.active.isEmpty() && (d.bare || listed);
        });
    }

    private void leave(double now, Endpoint e) {
        e.active = false;
        e.leftAt = Math.min(e.leftAt, now);
    }

    private Endpoint add(double now, Entry en) {
        Endpoint e = new Endpoint();
        e.name = en.endpoint();
        int kinds = cfg.kinds().size();
        e.kind = kinds == 0 ? new Kind(false, 1) : cfg.kinds().get(Math.min(en.kind(), kinds - 1));
        e.kindNo = Math.min(en.kind(), Math.max(0, kinds - 1));
        e.zone = en.zone();
        e.dest = dests.computeIfAbsent(en.destination(), k -> new Dest());
        e.dest.endpoints.add(e);
        if (e.dest.shared == null) {
            e.dest.shared = new Unit(e.dest, e.kind);
        }
        e.unit = e.kind.routesApart() ? new Unit(e.dest, e.kind) : e.dest.shared;
        boolean sick = e.dest.bare || e.unit.endpoints.stream().anyMatch(x -> x.down);
        e.unit.endpoints.add(e);
        if (sick) {
            coldFrom(now, e);
        } // all relays learn of it at once, and what waits would go together
        return e;
    }

    @Override
    public void taken(double now, Message message) {
        if (Double.isNaN(startedAt)) {
            startedAt = now;
        }
        Msg m = new Msg();
        m.m = message;
        m.type = message.messageClass();
        m.c = cfg.classes().get(m.type);
        m.dest = dests.computeIfAbsent(message.destination(), k -> new Dest());
        m.dest.taken++;
        m.handedAt = Math.min(now, message.deadlineAt() - m.c.deadlineMs());
        m.notBefore = m.takenAt = now;
        // A refusal proves that it never ran, whatever its class; a relay that died proves nothing.
        if (message.fromDeadRelay()) {
            m.doubtAt = m.handedAt; // the earliest send that a history which we never saw can hold
        }
        m.pauses = m.tries = message.tried().size();
        for (Try t : message.tried()) { // of this relay before a restart; what may have run still may
            if (!t.maybeRan() || m.inDoubt()) {
                continue;
            }
            m.doubtAt = t.sentAt();
            m.doubtZone = endpoints.containsKey(t.endpoint()) ? endpoints.get(t.endpoint()).zone : -1;
        }
        held.put(message.id(), m);
        if (m.ordered()) {
            Order order = orders.computeIfAbsent(message.key(), k -> new Order());
            order.queue.add(m);
            if (message.tried().stream().anyMatch(Try::maybeRan)) {
                order.restUntil = Math.max(order.restUntil, now + cfg.rules().settleAfterDoubtMs());
            }
        }
    }

    @Override
    public void withdrawn(double now, long id) {
        if (held.containsKey(id)) {
            end(held.get(id));
        }
    }

    @Override
    public void share(double now, int destination, Share share) {
        if (destination < 0) {
            usualShare = share;
        }
        Dest d = dests.get(destination);
        if (d == null) {
            return;
        }
        // What has come until now came by the old part; before the first message nothing has.
        if (!Double.isNaN(startedAt)) {
            d.endpoints.forEach(e -> refill(now, e.unit));
        }
        d.share = share;
    }

    @Override
    public void warned(double now, String endpoint, double waitUntil, double avoidUntil) {
        Endpoint e = endpoints.get(endpoint);
        if (e == null) {
            return;
        }
        e.unit.waitUntil = Math.max(e.unit.waitUntil, waitUntil);
        e.avoidUntil = avoidUntil;
    }

    @Override
    public void terms(double now, long id, Set<Integer> zones, Lane lane) {
        if (!held.containsKey(id)) {
            return;
        }
        held.get(id).zones = zones;
        held.get(id).lane = lane;
    }

    @Override
    public void timer(double now) {
        // Hosts round times: a wake-up that comes a little early must not be waited for again for ever.
        if (now >= wakeAt - TICK_MS) {
            wakeAt = FOREVER;
        }
    }

    @Override
    public double mayGo(double now, long id, int attempt) {
        Attempt a = attempts.get(key(id, attempt));
        if (a == null) {
            return 0;
        }
        Msg m = a.m;
        Call c = a.call;
        Endpoint e = c.e;
        boolean fell = e.down ? !c.trial : e.coldSince > c.sentAt; // no trial, and in no ramp
        double rest = usual(m.dest, m.type) / 2; // the connection was part of a call
        boolean lands = now <= m.m.deadlineAt() - rest && now <= repeatable(m) - Math.max(rest, HELD_UP_MS);
        if (m.over || fell || !lands || e.unit.waitUntil > now || !m.active().contains(e)) {
            return 0;
        }
        // What has too little time by now leaves the call to those that have enough, and goes by itself.
        List<Msg> all = attempts.values().stream()
                .filter(x -> x.call == c)
                .map(x -> x.m)
                .toList();
        double longest = all.stream().mapToDouble(x -> most(now, x)).max().orElse(0);
        double least = Math.min(longest, Math.min(c.timeoutMs, need(m, c.items)));
        if (most(now, m) < least) {
            return 0;
        }
        c.sentAt = now;
        if (e.round == c) {
            e.round = null;
        } // nothing joins it any more
        return all.stream()
                .mapToDouble(x -> most(now, x))
                .filter(x -> x >= least)
                .reduce(c.timeoutMs, Math::min);
    }

    @Override
    public void waits(double now, String endpoint, long id, int attempt, double waitMs) {
        Attempt a = attempts.get(key(id, attempt));
        if (a != null) {
            a.call.heard = true;
        }
        if (endpoints.containsKey(endpoint)) {
            bind(now, endpoints.get(endpoint).unit, waitMs);
        }
    }

    /** A wait binds whichever message learned it; when it is over, chance spreads the relays. */
    private void bind(double now, Unit u, double waitMs) {
        double spread = part(now, u) < SELDOM ? SELDOM_SPREAD_MS : SPREAD_MS;
        u.toldUntil = Math.max(u.toldUntil, now + waitMs + 1 + random.nextDouble() * spread);
        u.waitUntil = Math.max(u.waitUntil, u.toldUntil);
    }

    @Override
    public void ended(double now, Outcome o) {
        Attempt a = attempts.remove(key(o.id(), o.attempt()));
        if (a == null) {
            return;
        }
        Msg m = a.m;
        Call c = a.call;
        Endpoint e = c.e;
        m.out = false;
        Result how = o.result();
        if (--c.open == 0) {
            slotsUsed--;
            e.inflight--;
            e.dest.inflight--;
            if (how == Result.OK || how == Result.ERROR || how == Result.FULL || how == Result.WITHHELD) {
                e.idle.addLast(now);
                if (e.renewAt == FOREVER) {
                    e.renewAt = now + cfg.limits().connectionIdleMs() * renewals.nextDouble();
                }
                unused.add(e);
            }
        }
        Order order = m.ordered() ? orders.get(m.m.key()) : null;
        if (order != null) {
            order.out--;
        }
        if (!how.counts()) { // it never was, and is due again as things are now
            m.tries--;
            if (--c.items == 0 && c.lane == null) {
                e.unit.tokens++;
            }
            if (how == Result.LOCAL_FAILURE) {
                m.notBefore = afterLocalFailure(now);
            }
            return;
        }
        localPauseMs = FIRST_LOCAL_PAUSE_MS;
        if (!Double.isNaN(o.load().limitPerS())) {
            e.unit.limit = o.load().limitPerS();
        }
        if (o.waitMs() > 0 && !c.heard) {
            bind(now, e.unit, o.waitMs());
        }
        // A kept connection that was dead while it stood idle is no sign of sickness. A reset at once shows
        // it; of time-outs only many, where none failed before. Failed connects do count.
        double usual = usual(m.dest, m.type);
        boolean broke = c.kept && how == Result.RESET && o.tookMs() < DEAD * usual;
        boolean died = broke || c.stood && how == Result.TIMEOUT && e.failRun == 0 && e.slowness < LIVELY;
        // A shared call has one fate: it is counted once, here and in what is told of its endpoint.
        if (c.stood && !c.judged && (died || how == Result.OK)) {
            stale += LEARN_STALE * ((died ? 1 : 0) - stale);
        }
        if (died && stale > MANY_STALE) {
            if (staleUntil < now) {
                act.report("idle connections held to be dead after " + how);
            }
            staleUntil = now + STALE_MS;
        }
        if (!c.judged && !broke) {
            judge(now, o, c, m);
        }
        c.judged = true;
        if (order != null && (how == Result.TIMEOUT || how == Result.RESET || how == Result.CANCELLED)) {
            order.restUntil = Math.max(order.restUntil, now + cfg.rules().settleAfterDoubtMs());
        }
        if (o.over()) {
            end(m);
        }
        if (m.over) {
            return;
        }
        if (how.maybeRan() && !m.inDoubt()) {
            m.doubtAt = c.sentAt;
            m.doubtZone = e.zone;
        }
        double wait = Math.max(now, e.unit.waitUntil) - now;
        double next = broke && m.tries == 1 ? 0 : FIRST_PAUSE_MS * Math.pow(PAUSE_GROWTH, m.pauses++);
        double left = m.m.deadlineAt() - now - wait - usual;
        m.notBefore = now + wait + Math.max(0, Math.min(jittered(next), left / 2));
    }

    /** When this machine may be able to ask for connections again: one pause for all that failed together. */
    private double afterLocalFailure(double now) {
        if (now >= localUntil) {
            localUntil = now + jittered(localPauseMs);
            localPauseMs = Math.min(MOST_LOCAL_PAUSE_MS, localPauseMs * PAUSE_GROWTH);
        }
        return localUntil;
    }

    /** What one call tells of its endpoint and its unit. */
    private void judge(double now, Outcome o, Call c, Msg m) {
        Endpoint e = c.e;
        Unit u = e.unit;
        u.refusedShare += LEARN * ((o.result() == Result.FULL ? 1 : 0) - u.refusedShare);
        if (o.result() == Result.OK) {
            double took = o.tookMs() / (1 + EXTRA_ITEM * (c.items - 1));
            double usual = usual(m.dest, m.type);
            e.slowness += LEARN_PACE * (took / usual - e.slowness);
            learn(m, Math.min(took, OUTLIER * usual));
            if (e.down) {
                act.report("endpoint " + e.name + " answers again, ramping up");
            }
            if (e.down || e.coldSince == FOREVER) {
                e.coldSince = now;
                u.endpoints.forEach(x -> x.trialAt = Math.min(x.trialAt, now + jittered(FIRST_TRIAL_MS)));
            }
            if (!e.down && now - e.noConnAt < CROWD_MS) {
                crowdedUntil[e.kindNo] = FOREVER;
            }
            lost -= LEARN_LOST * lost;
            e.places += MORE_PLACES; // FOREVER stays so
            e.down = false;
            e.okSentAt = Math.max(e.okSentAt, c.sentAt);
            u.okAt = now;
            u.fullSince = Double.NaN;
            e.aways = e.failRun = u.failRun = u.fulls = u.fullRun = 0;
            return;
        }
        if (o.result() == Result.NOT_SENT || o.result() == Result.CANCELLED) {
            return;
        }
        if (o.result() == Result.CROWDED) {
            // Full of all relays' connections, so it is not down: we come again soon, with fewer, and leave
            // room from now on. Idle connections last a while: what goes on for longer is shut.
            crowdedUntil[e.kindNo] = FOREVER;
            unused.addAll(endpoints.values());
            e.awayAt = now;
            if (e.inflight == 0 && !hasIdle(now, e)) {
                turnedAt[e.kindNo] = now;
            } // not one for each of us
            e.places = Math.max(1, FEWER_PLACES * Math.min(e.places, e.inflight + 1));
            e.doorAt = now + jittered(Math.min(MOST_DOOR_MS, DOOR_MS * Math.pow(PAUSE_GROWTH, e.aways++)));
            if (Double.isNaN(u.fullSince)) {
                u.fullSince = now;
            }
            if (e.down) {
                e.trialAt = now + jittered(FIRST_TRIAL_MS);
            }
            if (now - u.fullSince < cfg.limits().connectionIdleMs() || e.down) {
                return;
            }
        }
        boolean gone = o.result() == Result.TIMEOUT || o.result() == Result.RESET;
        if (gone && e.failRun == 0) {
            lost += LEARN_LOST * (1 - lost);
        }
        if (o.result() == Result.FULL) {
            full(now, o.waitMs(), e);
            boolean room = cfg.limitsTold()
                    && now - u.okAt > SILENT_MS
                    && (u.limit == 0 || o.load().allowanceLeft() > MUCH_LEFT);
            boolean many = cfg.limitsTold() || ++u.fullRun >= FULL_OUTAGE;
            boolean shut = c.trial || many && now - u.fullSince >= FULL_OUTAGE_MS;
            if (o.waitMs() >= SHUT_WAIT_MS || (shut || room) && o.waitMs() > 0) {
                u.endpoints.forEach(x -> coldFrom(u.waitUntil, x));
                return;
            }
            if (!shut && !(room && o.load().allowanceLeft() > MUCH_LEFT)) {
                return;
            } // much left: shut too
        }
        if (o.result() == Result.CONNECT_FAILED && !e.down) {
            e.noConnAt = now;
            crowdedUntil[e.kindNo] = Math.max(crowdedUntil[e.kindNo], now + CROWDED_MS);
        }
        if (c.sentAt < e.okSentAt) {
            return;
        } // a call sent later was answered: this is old news
        e.failRun++;
        u.failRun++;
        if (e.cold()) {
            e.coldSince = FOREVER;
        }
        boolean seldom = part(now, u) < SELDOM && crowdedUntil[e.kindNo] < FOREVER;
        int downAfter = lost > MANY_LOST ? DOWN_AFTER_LOST : seldom ? SELDOM_DOWN_AFTER : DOWN_AFTER;
        boolean unitFails = u.failRun >= downAfter && now - u.okAt > SILENT_MS;
        if (!e.down && (e.failRun >= downAfter || unitFails)) {
            act.report("endpoint " + e.name + " held to be sick after " + o.result());
        } else if (!c.trial) {
            return; // one of many calls that were out when it fell: no reason for longer pauses
        }
        // A return is paid by all together: each waits for a call of its part, every second of us for less.
        double own = 1000 / coldRate(now, u, 0);
        double pause = Math.min(MOST_TRIAL_MS, FIRST_TRIAL_MS * Math.pow(PAUSE_GROWTH, e.trials++));
        double early = Math.min(own, EARLY_TRIAL_MS * Math.pow(LONE_GROWTH, e.trials - 1));
        pause = Math.max(pause, random.nextBoolean() ? own : early);
        for (Endpoint x : u.endpoints) {
            if (x == e || unitFails && x.failRun > 0 && !x.down) {
                x.down = true;
                x.coldSince = FOREVER;
                x.trialAt = Math.max(u.waitUntil, now) + jittered(pause);
            }
        }
    }

    /** A destination that told all relays when it opens is cold then: our first call is drawn by our turn. */
    private void coldFrom(double at, Endpoint e) {
        e.down = false;
        e.coldSince = at;
        e.rampOwed = random.nextDouble() * (1 + EXTRA_ITEM * (e.kind.bundleMax() - 1)); // of a full call
        e.rampAt = at;
    }

    /** A refusal: keep a told wait, take an own one otherwise, and slow down where it may be a limit. */
    private void full(double now, double waitMs, Endpoint e) {
        Unit u = e.unit;
        if (Double.isNaN(u.fullSince)) {
            u.fullSince = now;
        }
        if (waitMs <= 0) {
            // So that all relays together go on at what it takes at most.
            double own = Math.min(UNTOLD_WAIT_MS * Math.pow(LONE_GROWTH, u.fulls++), 1000 / part(now, u));
            u.waitUntil = Math.max(u.waitUntil, now + jittered(own));
        }
        if (now - u.cutAt > CUT_EVERY_MS && !e.down) {
            u.cutAt = now;
            refill(now, u);
            u.rate = Math.max(floor(u), CUT * Math.min(u.rate, part(now, u)));
            u.tokens = Math.min(u.tokens, 1);
        }
    }

    // ---- what is known of units ----

    /** Calls a second that the unit takes from all relays as far as it is told, 0 if not. */
    private double known(Unit u) {
        if (u.limit > 0 || cfg.weight() == Weight.NONE || u.endpoints.isEmpty()) {
            return u.limit;
        }
        double weight = u.endpoints.get(u.endpoints.size() - 1).weight;
        return weight / (cfg.weight() == Weight.ROUGH ? ROUGH_OFF : 1);
    }

    /** Whether relays are many for it: refusals, which use up what all could have, are the only sign. */
    private boolean crowded(Unit u) {
        return !cfg.limitsTold() && u.refusedShare >= MANY_REFUSED;
    }

    /** The least pace, calls a second: that of many relays together is more than the unit takes. */
    private double floor(Unit u) {
        if (!cfg.limitsTold()) {
            return LEAST_OF_ALL / cfg.group();
        }
        double least = LEAST_RATE / Math.min(cfg.group(), FEW);
        return known(u) > 0 ? Math.min(least, MOST_PARTS * known(u) / cfg.group()) : least;
    }

    private void refill(double now, Unit u) {
        double dt = Double.isNaN(u.filledAt) ? 0 : now - u.filledAt;
        u.filledAt = now;
        double part = part(now, u); // unseen refusals come with calls: it grows with them where they are few
        u.rate += GROW * part * (cfg.limitsTold() ? 1 : Math.min(1, part)) * dt / 1000; // FOREVER stays so
        double limit = cfg.limitsTold() ? u.limit : known(u);
        if (limit > 0) {
            // Our part will do where what waits goes together, or where refusals use up what all could have.
            boolean even = u.refusedShare >= MANY_REFUSED && u.kind.bundleMax() > 1 || crowded(u);
            u.rate = Math.min(u.rate, even ? Math.max(SHARED_PART * limit / cfg.group(), floor(u)) : limit);
        }
        u.pace = limit > 0 ? Math.min(u.rate, u.dest.share.at(now) * limit) : u.rate;
        double burst = Math.max(1, u.pace * BURST_MS / 1000);
        u.tokens = u.pace == FOREVER ? 1 : Math.min(burst, u.tokens + u.pace * dt / 1000);
    }

    /** Our part of what the unit takes: an even part, or what we are handed for it where that is more. */
    private double part(double now, Unit u) {
        double demand = 1000.0 * u.dest.taken / Math.max(DEMAND_SPAN_MS, now - startedAt);
        if (u.kind.routesApart()) {
            demand /= Math.max(1, u.dest.active.size());
        }
        double all = known(u) > 0 ? known(u) : LEAST_RATE;
        return Math.max(all / cfg.group(), known(u) > 0 ? Math.min(all, demand) : demand);
    }

    /** Calls a second that we may send to a unit that has been back for so long: our part of its budget. */
    private double coldRate(double now, Unit u, double since) {
        double s = Math.max(LEAST_START, cfg.rules().startCapacity());
        double share = Math.min(1, s + (1 - s) * since / Math.max(1, cfg.rules().warmAfterMs()));
        // Where all are handed more than it takes, parts shrink; few messages tell little of that.
        double even = known(u) / cfg.group() * Math.max(DEMAND_SPAN_MS, now - startedAt) / 1000;
        double over = even > 0 ? Math.max(1, (u.dest.taken + EVEN_SIGNS) / (even + EVEN_SIGNS)) : 1;
        return Math.max(1, cfg.rules().fallMultiple()) * share * part(now, u) / over;
    }

    private double usual(Dest d, int messageClass) {
        return d.seen[messageClass] > 0 ? d.usual[messageClass] : classUsual[messageClass];
    }

    private void learn(Msg m, double took) {
        int k = m.type;
        Dest d = m.dest;
        d.usual[k] = usual(d, k) + Math.max(LEARN, 1.0 / (d.seen[k] + 2)) * (took - usual(d, k));
        d.seen[k]++;
        classUsual[k] += LEARN / 2 * (took - classUsual[k]);
    }

    // ---- the round ----

    @Override
    public void decide(double now) {
        nextWake = FOREVER;
        if (askAt <= now) {
            askAt = FOREVER;
            act.watchList();
        }
        wake(askAt);
        orders.values().removeIf(o -> o.queue.isEmpty() && o.out == 0 && o.restUntil <= now);
        List<Msg> ready = new ArrayList<>();
        dests.values().forEach(d -> d.waiting = 0);
        for (Msg m : new ArrayList<>(held.values())) {
            if (m.out || drop(now, m)) {
                continue;
            }
            if (m.notBefore <= now + KEEP_MS) {
                m.dest.waiting++;
            }
            if ((m.notBefore <= now || later(m.notBefore)) && inTurn(now, m)) {
                ready.add(m);
            }
        }
        makeRoom(now);
        ready.forEach(m -> m.rank = rank(now, m));
        ready.sort(Comparator.comparingDouble((Msg m) -> -m.rank));
        ready.forEach(m -> {
            if (!m.over) {
                trySend(now, m);
            }
        });
        unused.removeIf(e -> {
            // Who holds a place where others are turned away learns of it only by asking anew now and then.
            if (hasIdle(now, e) && (leavesRoom(now, e) || now > e.renewAt && seldom(now, e))) {
                closeIdle(e);
                e.renewAt = now + cfg.limits().connectionIdleMs() * (1 + JITTER * renewals.nextDouble());
            }
            return e.idle.isEmpty() || e.dest.waiting == 0;
        });
        if (nextWake < wakeAt - 1e-6 && nextWake < FOREVER) {
            double in = Math.max(TICK_MS / 2, nextWake - now);
            wakeAt = now + in;
            act.wake(in);
        }
    }

    private void wake(double at) {
        nextWake = Math.min(nextWake, at);
    }

    /** Not now, but perhaps at that time. */
    private boolean later(double at) {
        wake(at);
        return false;
    }

    /** Order per key: a message goes only when all taken before it with its key are over and at rest. */
    private boolean inTurn(double now, Msg m) {
        if (!m.ordered()) {
            return true;
        }
        Order order = orders.get(m.m.key());
        if (order.queue.peekFirst() != m || order.out > 0) {
            return false;
        }
        return m.tries > 0 || order.restUntil <= now || later(order.restUntil);
    }

    /** Gives the final answer where no further attempt can be made or can land in time, if not too early. */
    private boolean drop(double now, Msg m) {
        double last = last(m);
        boolean spent =
                cfg.limits().maxAttempts() > 0 && m.tries >= cfg.limits().maxAttempts();
        spent |= m.inDoubt() && m.c.effect() == Effect.UNSAFE;
        if (m.zoned()) {
            spent |= m.doubtZone < 0
                    ? m.dest.endpoints.stream().mapToInt(e -> e.zone).distinct().count() != 1
                    : m.zones != null && !m.zones.contains(m.doubtZone); // barred by now
        }
        List<Endpoint> active = m.active();
        double soonest = active.isEmpty() ? now : FOREVER, told = soonest;
        for (Endpoint e : active) {
            double pace = m.lane == null || e.down ? paced(now, e) : m.lane.opensAt(now);
            soonest = Math.min(soonest, Math.max(now, Math.max(e.unit.waitUntil, pace)));
            told = Math.min(told, e.unit.toldUntil);
        }
        // Our own pace, pause or ramp may still open sooner, and is no reason to return early what never ran.
        double until = soonest <= last ? last : told > last ? NEVER : Math.min(m.early(), last);
        if (!spent && now <= until) {
            return later(until + 1);
        }
        answer(m, soonest - now);
        return true;
    }

    /** Until when a call of it can land in time. */
    private double last(Msg m) {
        double usual = usual(m.dest, m.type);
        return Math.min(m.m.deadlineAt() - usual, repeatable(m) - Math.max(usual, HELD_UP_MS));
    }

    /** Until when its destination drops a repeat of what may have run. */
    private static double repeatable(Msg m) {
        return m.inDoubt() && m.c.effect() == Effect.KEYED ? m.doubtAt + m.c.windowMs() : FOREVER;
    }

    /** When the next trial is due, or the pace lets the next call go. */
    private double paced(double now, Endpoint e) {
        if (e.down) {
            return e.trialAt;
        }
        refill(now, e.unit);
        return e.unit.tokens >= 1 ? now : now + (1 - e.unit.tokens) / e.unit.pace * 1000;
    }

    /** Final answer: refused only if no attempt can have run, given up otherwise. */
    private void answer(Msg m, double comeBackMs) {
        double after =
                cfg.limits().retryAfter() ? Math.min(comeBackMs, cfg.limits().maxRetryAfterMs()) : 0;
        if (m.inDoubt()) {
            act.giveUp(m.m.id());
        } else {
            act.refuse(m.m.id(), after);
        }
        end(m);
    }

    private void end(Msg m) {
        m.over = true;
        held.remove(m.m.id());
        if (m.ordered() && orders.containsKey(m.m.key())) {
            orders.get(m.m.key()).queue.remove(m);
        }
    }

    /** Keeps room for new messages: what is least likely to earn goes first, not what comes next. */
    private void makeRoom(double now) {
        int most = cfg.limits().maxOpen();
        int over = held.size() - most + Math.max(1, (int) (most * ROOM));
        if (most <= 0 || over <= 0) {
            return;
        }
        held.values().forEach(m -> m.rank = hope(now, m));
        held.values().stream()
                .filter(m -> !m.out)
                .sorted(Comparator.comparingDouble(m -> m.rank))
                .limit(over)
                .toList()
                .forEach(m -> answer(m, MOST_TRIAL_MS));
    }

    /** What ends with a waiting message: worth to be won, less where its destination is sick, and a price. */
    private double hope(double now, Msg m) {
        double delay = m.active().stream()
                .mapToDouble(e -> Math.max(0, e.unit.waitUntil - now)
                        + (e.down ? MOST_TRIAL_MS * 2 : e.slowness > SLOW ? MOST_TRIAL_MS : 0))
                .min()
                .orElse(FOREVER);
        double won = delay == FOREVER ? 0 : worth(m, now + delay + usual(m.dest, m.type));
        return now < m.early() ? won + EARLY_PRICE * m.c.worth() : won;
    }

    private double worth(Msg m, double at) {
        double age = at - m.handedAt;
        MessageClass c = m.c;
        double aim = Math.min(c.deadlineMs(), c.aimMs() + c.aimStretch() * m.m.workMs());
        if (age <= aim) {
            return c.worth();
        }
        if (at > m.m.deadlineAt()) {
            return 0;
        }
        return c.worth()
                * (cfg.late() == LateCurve.HALVING
                        ? Math.max(c.lateWorth(), Math.pow(0.5, (age - aim) / Math.max(1, aim)))
                        : 1 - (1 - c.lateWorth()) * (age - aim) / Math.max(1, c.deadlineMs() - aim));
    }

    /** Worth lost by waiting, for each moment of slot time; a little for worth that waiting does not lose. */
    private double rank(double now, Msg m) {
        double slow = m.dest.active.isEmpty() ? 1 : FOREVER;
        boolean crowded = false;
        for (Endpoint e : m.dest.active) {
            slow = Math.min(slow, e.slowness);
            crowded |= crowded(e.unit);
        }
        double d = usual(m.dest, m.type) * Math.max(1, slow);
        double soon = worth(m, now + d);
        return (soon - worth(m, now + d + LOOKAHEAD_MS) + (crowded ? CROWD_WORTH : BASE_WORTH) * soon) / d;
    }

    // ---- sending ----

    private static boolean sick(Dest d) {
        for (Endpoint e : d.active) {
            if (!e.down && e.slowness < SLOW) {
                return false;
            }
        }
        return !d.active.isEmpty();
    }

    private boolean slotFor(Dest d) {
        int slots = cfg.limits().slots();
        boolean sick = sick(d);
        int most = Math.max(1, (int) (slots * (sick ? SICK_CAP : CAP))), used = sick ? 0 : d.inflight;
        for (Dest x : sick ? dests.values() : List.<Dest>of()) {
            used += sick(x) ? x.inflight : 0;
        }
        return slots <= 0 || slotsUsed < slots && used < most;
    }

    private void trySend(double now, Msg m) {
        Endpoint best = null;
        double least = FOREVER;
        boolean slot = slotFor(m.dest);
        if (m.tries > 0 && m.dest.share.repeats() <= 0) {
            return;
        } // none left to the fleet until its news
        double opens = m.lane == null ? now : m.lane.opensAt(now);
        if (opens > now && !later(opens)) {
            return;
        }
        for (Endpoint e : m.active()) {
            if (m.zoned() && m.doubtZone >= 0 && e.zone != m.doubtZone) {
                continue;
            }
            boolean joins = joins(now, e, m), apart = !joins && hasRoom(now, e) && !later(now + TICK_MS);
            if (!joins && (!slot || apart || !open(now, e, m.lane))) {
                continue;
            }
            double cost = (e.inflight + 1.0) * Math.max(0.5, e.slowness) * (joins ? 0.5 : 1)
                    + (e.zone == cfg.zone() ? 0 : 0.5)
                    + (hasIdle(now, e) ? 0 : 0.3)
                    + (e.down ? 100 : 0)
                    + FAILED_COST * e.failRun
                    + (e.avoidUntil > now ? 50 : 0);
            if (cost < least) {
                least = cost;
                best = e;
            }
        }
        if (best != null) {
            send(now, m, best);
        }
    }

    /** Whether a call of this round has room; what may not join it goes there in another round. */
    private static boolean hasRoom(double now, Endpoint e) {
        Call c = e.round;
        return c != null && c.sentAt == now && !c.trial && c.items < e.kind.bundleMax();
    }

    /** A call has one time, which no message that joins may cut, or find shorter than it needs itself. */
    private boolean joins(double now, Endpoint e, Msg m) {
        Call c = e.round;
        if (!hasRoom(now, e) || c.lane != m.lane) {
            return false;
        }
        double most = most(now, m), own = patience(m, e, c.items + 1), need = need(m, c.items + 1);
        double time = timeout(now, m, e, c);
        // What is short of time itself may go with its like, but for what must not be repeated.
        double least = most < need && m.c.effect() != Effect.UNSAFE ? 0 : Math.min(own, need);
        return least <= time && time <= most;
    }

    private boolean hasIdle(double now, Endpoint e) {
        e.idle.removeIf(at -> now - at > cfg.limits().connectionIdleMs() - TICK_MS);
        return !e.idle.isEmpty();
    }

    /** Where few connections are taken, one that who calls seldom keeps serves nobody until the next call. */
    private boolean leavesRoom(double now, Endpoint e) {
        if (crowdedUntil[e.kindNo] <= now || e.dest.waiting > 0) {
            return false;
        }
        double rate = part(now, e.unit) / e.unit.active();
        return seldom(now, e) || now - turnedAt[e.kindNo] < TURNED_MS && rate * KEEP_MS / 1000 < 1;
    }

    /** Whether not all of the group could keep a connection in use there. */
    private boolean seldom(double now, Endpoint e) {
        return part(now, e.unit) / e.unit.active() * cfg.limits().connectionIdleMs() / 1000 < cfg.group();
    }

    private void closeIdle(Endpoint e) {
        if (!e.idle.isEmpty()) {
            act.closeIdle(e.name);
        }
        e.idle.clear();
    }

    /** Whether a new call may go to this endpoint now; asks for a wake-up when time alone will open it. */
    private boolean open(double now, Endpoint e, Lane lane) {
        Unit u = e.unit;
        if (u.waitUntil > now) {
            return later(u.waitUntil);
        }
        if (e.down) {
            boolean onTrial = u.endpoints.stream().anyMatch(x -> x.down && x.inflight > 0); // one at a time
            return !onTrial && (e.trialAt <= now || later(e.trialAt));
        }
        if (e.cold()) {
            if (e.coldSince < FOREVER && now - e.coldSince > cfg.rules().warmAfterMs()) {
                act.report("endpoint " + e.name + " held to be warm");
                e.coldSince = Double.NaN;
                e.trials = 0;
            } else {
                // The rate grows meanwhile: by its mean since then, or all who wait would gain by it at once.
                double since = e.coldSince == FOREVER ? 0 : now - e.coldSince;
                double waited = now - e.rampAt;
                double mean = coldRate(now, u, Math.max(0, since - waited / 2));
                double owed = e.rampOwed * u.active() * 1000 - mean * waited;
                if (owed > 0) {
                    return later(now + Math.min(owed / coldRate(now, u, since), RAMP_LOOK_MS));
                }
            }
        }
        if (!hasIdle(now, e) && now - e.awayAt < CROWDED_MS) {
            if (e.doorAt > now) {
                return later(e.doorAt);
            }
            if (e.inflight >= e.places) {
                return false;
            } // the next end opens it
        }
        return lane != null || paced(now, e) <= now || later(paced(now, e));
    }

    private void send(double now, Msg m, Endpoint e) {
        Call c;
        if (joins(now, e, m)) {
            c = e.round;
        } else {
            c = new Call();
            c.e = e;
            c.lane = m.lane;
            c.sentAt = now;
            c.trial = e.down;
            e.round = c;
            e.inflight++;
            e.dest.inflight++;
            slotsUsed++;
            c.stood = hasIdle(now, e) && now - e.idle.peekLast() > STOOD_MS;
            // What must not be repeated would be lost: for it a recent sign is enough.
            boolean sign = m.c.effect() == Effect.UNSAFE && stale > LEARN_STALE / 2;
            if (c.stood && (staleUntil > now || sign)) {
                closeIdle(e);
            }
            c.kept = !e.idle.isEmpty();
            if (c.kept) {
                e.idle.removeLast();
            }
            refill(now, e.unit);
            if (m.lane == null) {
                e.unit.tokens -= 1;
            } else {
                m.lane.used(now);
            }
        }
        c.timeoutMs = timeout(now, m, e, c);
        c.mostMs = Math.min(c.mostMs, most(now, m));
        c.items++;
        c.open++;
        if (e.cold()) {
            e.rampOwed = c.items == 1 ? 1 : e.rampOwed + EXTRA_ITEM;
            e.rampAt = now;
        }
        if (m.tries > 0) {
            m.dest.share = m.dest.share.repeated();
        }
        attempts.put(key(m.m.id(), m.tries++), new Attempt(m, c));
        m.out = true;
        m.dest.waiting--;
        if (m.ordered()) {
            orders.get(m.m.key()).out++;
        }
        act.send(m.m.id(), e.name, c.timeoutMs, leavesRoom(now, e));
    }

    /** The time of a call with one message more: as long as any of them wants and all of them allow. */
    private double timeout(double now, Msg m, Endpoint e, Call c) {
        double most = Math.min(c.mostMs, most(now, m));
        return Math.max(1, Math.max(c.timeoutMs, Math.min(patience(m, e, c.items + 1), most)));
    }

    /** How long an answer is worth waiting for. */
    private double patience(Msg m, Endpoint e, int items) {
        double usual = usual(m.dest, m.type) * (1 + EXTRA_ITEM * (items - 1));
        double patience = Math.max(LEAST_TIMEOUT_MS, TIMEOUT_CALLS * usual * Math.max(1, e.slowness / 2))
                * Math.pow(PAUSE_GROWTH, Math.min(m.pauses, e.failRun));
        // Answers get lost everywhere: waiting for them only fills the slots. Also against our own network if
        // it drops calls. Where an endpoint is slow or fails in a row its time-out stays long.
        return lost > MANY_LOST && e.failRun == 0 && e.slowness < LIVELY ? patience * LOST_SHARE : patience;
    }

    /** How long a message allows to wait: its time left, and a part of its key's window. */
    private double most(double now, Msg m) {
        double left = m.m.deadlineAt() - now;
        if (m.c.effect() != Effect.KEYED) {
            return left;
        }
        return Math.min(left, Math.max(WINDOW_SHARE * m.c.windowMs(), OUTLIER * usual(m.dest, m.type)));
    }

    /** What a call needs to be answered, but for such as are slow beyond all others. */
    private double need(Msg m, int n) {
        return OUTLIER * usual(m.dest, m.type) * (1 + EXTRA_ITEM * (n - 1));
    }

    private double jittered(double ms) {
        return ms * (1 - JITTER + 2 * JITTER * random.nextDouble());
    }

    private static long key(long id, int attempt) {
        return id << 20 | attempt;
    }
}
