// The interface (settings, events, actions) is in Controller.java, the reasons are in docs/design.md.
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
    private static final double NEVER = Double.NEGATIVE_INFINITY; // of a time: has not happened yet
    private static final double INFINITE = Double.POSITIVE_INFINITY; // of a time or a rate: unbounded

    // Retries and slots.
    private static final double FIRST_BACKOFF_MS = 200; // of a message after its first failed attempt
    private static final double BACKOFF_FACTOR = 2; // from one backoff to the next
    private static final double JITTER = 0.25; // backoffs vary by this share either way
    private static final double SLOT_SHARE = 0.75; // share of the slots that one destination may hold
    private static final double UNHEALTHY_SLOT_SHARE = 0.5; // that all failing or slow ones may hold together

    // Call durations and time-outs.
    private static final double DEFAULT_CALL_MS = 300; // typical duration before any call was answered
    private static final double SMOOTHING = 0.1; // weight of a new value in a moving average
    private static final double SLOWNESS_WEIGHT = 0.3; // weight of a new call in an endpoint's slowness
    private static final double OUTLIER_FACTOR = 3; // a duration counts for at most so many typical ones
    private static final double TIMEOUT_FACTOR = 8; // time-out of a call in typical durations
    private static final double MIN_TIMEOUT_MS = 1000; // below it, calls would time out by chance alone
    private static final double LOST_WEIGHT = 0.05; // weight of a new call in the share of lost answers
    // Share of isolated time-outs from which answers count as being lost on the network.
    private static final double LOST_THRESHOLD = 0.15;
    private static final double MILD_SLOWNESS = 1.5; // above it, a call without answer may just be slow
    private static final double LOST_TIMEOUT_FACTOR = 0.5; // on time-outs while answers get lost
    private static final double WINDOW_SHARE = 0.6; // share of a key's window that one attempt may use up
    private static final double EXTRA_MESSAGE_COST = 0.15; // work of each further message in a call, in calls

    // Health of endpoints and connections.
    private static final double LOW_RATE = 0.5; // calls a second; a relay that calls less is one of many
    // Failures in a row at a low rate: the trials of all relays add up at a return.
    private static final int LOW_RATE_FAILURES_UNTIL_DOWN = 2;
    private static final double RECENT_ANSWER_MS = 700; // a destination that answered within it is not down
    // Share of a typical duration: a reused connection that is reset within it was dead before the call.
    private static final double DEAD_CONNECTION_SHARE = 0.1;
    private static final double LONG_IDLE_MS = 1000; // idle for longer, it may have been dropped unnoticed
    private static final double STALE_MS = 30_000; // connections idle for long are not reused for this time
    private static final double STALE_WEIGHT = 0.2; // weight of a new call in the share of dead connections
    private static final double STALE_THRESHOLD = 0.4; // share of dead connections that starts this time
    private static final double SLOW_FACTOR = 3; // an endpoint is slow at so many times its usual durations
    private static final int LOSSY_FAILURES_UNTIL_DOWN = 5; // the same while calls get lost everywhere
    private static final int FAILURES_UNTIL_DOWN = 3; // in a row, until an endpoint counts as down
    private static final double REJECTION_OUTAGE_MS = 2500; // rejections alone mean an outage after this time
    // Rejections in a row that an outage takes as well, where answers report no limit.
    private static final int REJECTION_OUTAGE_COUNT = 5;
    private static final double AMPLE_ALLOWANCE = 0.9; // share of an allowance left: no limit was reached
    private static final double OUTAGE_WAIT_MS = 2500; // a longer wait means an outage, not a limit's period

    // Trials of down endpoints, and slow start after their return.
    private static final double FIRST_TRIAL_MS = 500; // first pause before a trial call
    private static final double MAX_TRIAL_MS = 3000; // longest pause between trials
    private static final double RECHECK_MS = 250; // longest time until a slow start is checked again
    private static final double WEIGHT_ERROR_FACTOR = 1.5; // a rough weight may be so many times too high
    private static final double DEFAULT_RATE = 1; // calls a second of all relays where no limit is known
    private static final double DEMAND_SPAN_MS = 10_000; // least time to average this relay's demand over
    // Messages of an even demand that are added to the observed ones, so that few of them change little.
    private static final double PRIOR_COUNT = 2;
    // First trial of some relays where the next call of a relay's share would come later.
    private static final double EARLY_TRIAL_MS = 8000;
    private static final double MIN_START_CAPACITY = 0.01; // capacity at a return where the rules give none

    // Rates at limits.
    private static final double RATE_CUT = 0.8; // factor on the rate after a rejection above a limit
    private static final int MIN_RATE_RELAYS = 7; // a cut rate stays above that of one of so many relays,
    private static final double MIN_RATE_EVEN_SHARES = 2; // but not above so many even shares of one relay
    private static final double UNREPORTED_MIN_RATE = 4; // calls a second of all where no limit is reported
    private static final double RATE_CUT_INTERVAL_MS = 500; // rejections closer together are one event
    private static final double RATE_GROWTH = 0.15; // growth a second, in parts of this relay's share
    private static final double BATCH_SHARE = 0.8; // of an even share, where messages can share calls
    // Share of rejected calls from which a relay keeps to its even share.
    private static final double REJECTION_BOUND = 0.1;
    private static final double BURST_MS = 400; // the calls that the rate permits in it may be sent at once
    private static final double DEFAULT_WAIT_MS = 500; // first backoff where a rejection names no wait
    // On those and on early trials, up to the time of one call of this relay's share.
    private static final double LONG_BACKOFF_FACTOR = 4;
    private static final double WAIT_SPREAD_MS = 50; // relays with the same wait resume spread over it,
    private static final double LOW_RATE_WAIT_SPREAD_MS = 1000; // or over this where each has a low rate

    // Connection limits of endpoints, and connections that this machine cannot open.
    // An answer so soon after a failed connect: the endpoint is up, but at its connection limit.
    private static final double CONNECTION_LIMIT_MS = 2500;
    // So long after a lone failed connect idle ones are closed, and after a rejected one few are opened.
    private static final double CONNECTIONS_SHORT_MS = 5000;
    private static final double KEEP_IDLE_MS = 100; // two handshakes: kept unused longer, one is wasted
    // After a rejected connection, a kind of destinations is short of connections for so long.
    private static final double REJECTED_RECENTLY_MS = 10_000;
    private static final double CONNECT_BACKOFF_MS = 50; // first one after a rejected connection
    private static final double MAX_CONNECT_BACKOFF_MS = 800; // others may close theirs at any time
    private static final double CONNECTIONS_CUT = 0.5; // factor on the most connections after that
    private static final double CONNECTIONS_GROWTH = 0.25; // connections more with each answer
    private static final double LOCAL_BACKOFF_MS = 50; // first one after a local failure to connect
    private static final double MAX_LOCAL_BACKOFF_MS = 800; // this machine may recover at any time
    // Most time between reading the clock and the write of a call; from the operators.
    private static final double MAX_WRITE_DELAY_MS = 150;

    // Choice among waiting messages.
    private static final double FAILURE_COST = 0.2; // cost of an endpoint for each failure in a row
    private static final double LOOKAHEAD_MS = 1500; // the worth lost by waiting is that of so much waiting
    private static final double BASE_WORTH = 0.1; // weight of worth that waiting does not lose
    private static final double OVERLOAD_WORTH = 1; // the same where not all waiting messages can be sent
    // A message that is refused before this share of its time, without an attempt, costs this share of its
    // worth; both are from the operators.
    private static final double EARLY_SHARE = 0.7;
    private static final double EARLY_PRICE = 0.3;
    private static final double FREE_SHARE = 0.06; // share of the open messages that is kept free

    // List of endpoints and wake-ups.
    private static final double LIST_RETRY_MS = 400; // pause before asking for the list again
    private static final double FIRST_LIST_RETRY_MS = 100; // first one while calls wait for it; it doubles
    private static final double LIST_RETRY_OVERDUE_MS = 100; // the same after a call that itself took long
    private static final double TICK_MS = 5; // wake-ups are no closer than this
    private static final double FORGET_MS = 10_000; // an endpoint that is listed again sooner keeps its state

    /** A message without a final answer, and what is known of it. */
    private static final class Pending {
        Message message;
        MessageClass messageClass;
        Destination destination;
        int classIndex, attempts, backoffs;
        double firstAcceptedAt, acceptedAt; // by any relay; by this one
        double notBefore, priority; // of the next attempt
        double inDoubtSince = Double.NaN; // first send that may have run, NaN if none
        int inDoubtZone = EarlierAttempt.UNKNOWN_ZONE; // zone of that send
        boolean inFlight; // an attempt has not ended
        boolean finished; // the final answer is known
        Set<Integer> zones; // where it may be sent, null for everywhere
        BookedCapacity bookedCalls; // calls booked for it, null for none

        List<Endpoint> permittedEndpoints() {
            if (zones == null) {
                return destination.active;
            }
            return destination.active.stream()
                    .filter(e -> zones.contains(e.zone))
                    .toList();
        }

        boolean inDoubt() {
            return !Double.isNaN(inDoubtSince);
        }

        /** Until when a refusal is too early; what may have run is given up as soon as that is clear. */
        double earlyUntil() {
            return inDoubt() ? NEVER : acceptedAt + EARLY_SHARE * (message.deadlineAt() - acceptedAt);
        }

        boolean boundToZone() {
            return inDoubt() && messageClass.effect() == Effect.KEYED && messageClass.scope() == Scope.ZONE;
        }

        boolean ordered() {
            return messageClass.inOrder() && message.key() != null;
        }
    }

    /** One call to an endpoint; it may carry several messages, all of which have its time-out. */
    private static final class Call {
        Endpoint endpoint;
        double sentAt, timeoutMs;
        double maxTimeoutMs = INFINITE; // the longest that all its messages permit
        int messages, unanswered;
        int bytes; // of its messages
        boolean trial, recorded;
        BookedCapacity bookedCalls; // calls booked for its messages, null for none
        boolean reused, longIdle; // its connection: was used before; was idle for long
        boolean waitApplied; // the wait in its answer is in force already
    }

    private record Attempt(Pending pending, Call call) {}

    /** The endpoints that share one limit: all of a destination, or a single one where routes are apart. */
    private static final class Route {
        final Destination destination;
        final Kind kind;
        final List<Endpoint> endpoints = new ArrayList<>();
        double waitUntil = NEVER;
        double reportedWaitUntil = NEVER; // the same without the waits that this relay chose itself
        double answeredAt = NEVER, rateCutAt = NEVER;
        double limit; // calls a second reported, 0 if none
        double rate = INFINITE; // calls a second of this relay
        double tokens = 1; // calls that may be sent now
        double permittedRate = INFINITE; // the rate, at most this relay's share of the limit
        double refilledAt = Double.NaN;
        double rejectedShare; // of this relay's recent calls
        double rejectedSince = Double.NaN; // first of the rejections with no delivery between
        int failuresInRow, rejectionsInRow, rejectionsWithoutWait; // since the last delivery

        Route(Destination destination, Kind kind) {
            this.destination = destination;
            this.kind = kind;
        }

        int activeCount() {
            return kind.separateLimits() ? 1 : Math.max(1, destination.active.size());
        }
    }

    private static final class Endpoint {
        String name;
        Destination destination;
        Route route;
        Kind kind;
        int zone, kindIndex, openCalls, failuresInRow, trials;
        int connectionRejections; // since the last answer
        boolean active, down;
        final ArrayDeque<Double> idleSince = new ArrayDeque<>(); // of this relay's idle connections
        double weight, trialAt;
        double slowStartCallAt, owedCalls; // last call in slow start, and its weight in calls
        double connectFailedAt = NEVER;
        double answeredSentAt = NEVER; // latest send of a call that was answered
        double connectBackoffUntil = NEVER, connectionRejectedAt = NEVER;
        double maxConnections = INFINITE; // of this relay at once
        double renewAt = INFINITE; // when its idle connections are to be closed once
        double unlistedAt = INFINITE;
        double avoidUntil = NEVER; // until then other relays consider it unhealthy
        double slowStartBeganAt = Double.NaN; // INFINITE until its return, NaN outside a slow start
        double slowness = 1; // recent durations over the typical ones
        Call latestCall; // more messages may join it in its round

        boolean inSlowStart() {
            return !Double.isNaN(slowStartBeganAt);
        }
    }

    private final class Destination {
        final List<Endpoint> endpoints = new ArrayList<>();
        List<Endpoint> active = List.of(); // those that are listed as active
        Route destinationRoute; // of its endpoints that are no routes apart
        final double[] typicalMs = new double[settings.classes().size()]; // duration of a call, by class
        final int[] samples = new int[settings.classes().size()];
        boolean emptied; // had endpoints on the list, and has none now
        int openCalls;
        int accepted, due; // messages: all so far; those that may be sent soon
        Share share = defaultShare;
    }

    /** Messages of one key in their order. */
    private static final class KeyQueue {
        final ArrayDeque<Pending> messages = new ArrayDeque<>();
        int inFlight;
        double settledAt = NEVER; // until then an attempt that ended in doubt may still run
    }

    private final Settings settings;
    private final Actions actions;
    private final Random random, renewals; // apart, so that closing connections affects no message
    private final Map<Long, Pending> unfinishedMessages = new LinkedHashMap<>();
    private final Map<Long, Attempt> attempts = new HashMap<>();
    private final Map<String, Endpoint> endpoints = new LinkedHashMap<>();
    private final Map<Integer, Destination> destinations = new LinkedHashMap<>();
    private final Map<String, KeyQueue> keyQueues = new HashMap<>();
    private final double[] classTypicalMs;
    private final double[] closeIdleUntil; // by kind: until then idle connections are closed
    private final double[] connectionRejectedAt; // by kind: when an endpoint last rejected a connection
    private final Set<Endpoint> maybeIdle = new LinkedHashSet<>(); // may have idle connections to be closed
    private double staleUntil = NEVER; // until then idle connections are assumed to be dead
    private double staleShare; // recent share of calls on long idle connections that were dead
    private double lostShare; // recent share of time-outs at endpoints that did not fail before
    private int slotsUsed;
    // After connections that this machine failed to open.
    private double localBackoffUntil = NEVER, localBackoffMs = LOCAL_BACKOFF_MS;
    private Share defaultShare = Share.ALL; // of destinations without a share of their own
    private double wakeAt = INFINITE; // earliest wake-up that was requested
    private double askForListAt = INFINITE;
    private boolean listUnconfirmed; // others may have the addresses of endpoints by now: no calls
    private int listFailures; // since the last list
    private double nextWake; // earliest wake-up that this round needs
    private double startedAt = Double.NaN; // when the first message was accepted

    /** Makes one relay's decisions; the same events and seed give the same actions. */
    public Control(Settings settings, long seed, Actions actions) {
        this.settings = settings;
        this.actions = actions;
        random = new Random(seed);
        renewals = new Random(~seed);
        classTypicalMs = new double[settings.classes().size()];
        Arrays.fill(classTypicalMs, DEFAULT_CALL_MS);
        closeIdleUntil = new double[Math.max(1, settings.kinds().size())];
        Arrays.fill(closeIdleUntil, NEVER);
        connectionRejectedAt = closeIdleUntil.clone();
        if (this.settings.askForList()) {
            this.actions.watchList();
        }
    }

    // ---- events ----

    @Override
    public void list(double now, ListUpdate news, List<Entry> entries) {
        if (news == ListUpdate.OVERDUE) {
            askForListAt = now + jittered(LIST_RETRY_OVERDUE_MS);
            return;
        }
        if (news == ListUpdate.FAILED) {
            // A failure does not tell whether the watch is active, and changes matter once discovery is back.
            double most = settings.rules().askEveryMs() > 0 ? settings.rules().askEveryMs() / 8 : INFINITE;
            askForListAt = now + jittered(Math.min(most, listRetryMs()));
            return;
        }
        listUnconfirmed = news == ListUpdate.UNCONFIRMED;
        listFailures = 0;
        if (news != ListUpdate.CHANGES) {
            endpoints.values().forEach(e -> unlist(now, e));
        }
        for (Entry entry : entries) {
            Endpoint endpoint = endpoints.computeIfAbsent(entry.endpoint(), k -> add(now, entry));
            endpoint.active = entry.listing() == Listing.ACTIVE;
            endpoint.unlistedAt = INFINITE;
            endpoint.weight = entry.weight();
            if (entry.listing() == Listing.LEFT) {
                unlist(now, endpoint);
            }
        }
        // Endpoints change for as long as the relay runs: one that left is removed once nothing refers to it.
        endpoints.values().removeIf(e -> {
            boolean gone = now - e.unlistedAt > FORGET_MS && e.openCalls == 0 && e.route.waitUntil <= now;
            return gone && e.destination.endpoints.remove(e) && e.route.endpoints.remove(e);
        });
        destinations
                .values()
                .removeIf(d -> d.endpoints.isEmpty()
                        && unfinishedMessages.values().stream().noneMatch(p -> p.destination == d));
        destinations.values().forEach(d -> {
            boolean listed = !d.active.isEmpty();
            d.active = d.endpoints.stream().filter(e -> e.active).toList();
            d.emptied = d.active.isEmpty() && (d.emptied || listed);
        });
    }

    /** Pause after a failed request for the list, which grows while all calls wait for it. */
    private double listRetryMs() {
        return listUnconfirmed
                ? Math.min(LIST_RETRY_MS, FIRST_LIST_RETRY_MS * Math.pow(BACKOFF_FACTOR, listFailures++))
                : LIST_RETRY_MS;
    }

    private void unlist(double now, Endpoint endpoint) {
        endpoint.active = false;
        endpoint.unlistedAt = Math.min(endpoint.unlistedAt, now);
    }

    private Endpoint add(double now, Entry entry) {
        Endpoint added = new Endpoint();
        added.name = entry.endpoint();
        int size = settings.kinds().size();
        added.kind = size == 0 ? new Kind(false, 1) : settings.kinds().get(Math.min(entry.kind(), size - 1));
        added.kindIndex = Math.min(entry.kind(), Math.max(0, size - 1));
        added.zone = entry.zone();
        added.destination = destinations.computeIfAbsent(entry.destination(), k -> new Destination());
        added.destination.endpoints.add(added);
        if (added.destination.destinationRoute == null) {
            added.destination.destinationRoute = new Route(added.destination, added.kind);
        }
        added.route = added.kind.separateLimits()
                ? new Route(added.destination, added.kind)
                : added.destination.destinationRoute;
        boolean returning =
                added.destination.emptied || added.route.endpoints.stream().anyMatch(e -> e.down);
        added.route.endpoints.add(added);
        if (returning) {
            // All relays learn of it at the same time and would send all waiting messages at once.
            beginSlowStart(now, added);
        }
        return added;
    }

    @Override
    public void accepted(double now, Message message) {
        if (Double.isNaN(startedAt)) {
            startedAt = now;
        }
        Pending pending = new Pending();
        pending.message = message;
        pending.classIndex = message.messageClass();
        pending.messageClass = settings.classes().get(pending.classIndex);
        pending.destination = destinations.computeIfAbsent(message.destination(), k -> new Destination());
        pending.destination.accepted++;
        pending.firstAcceptedAt = Math.min(now, message.deadlineAt() - pending.messageClass.deadlineMs());
        pending.notBefore = pending.acceptedAt = now;
        // A refusal proves that a message never ran, whatever its class; a relay that died proves nothing.
        if (message.fromDeadRelay()) {
            // The earliest send in a history that this relay never saw.
            pending.inDoubtSince = pending.firstAcceptedAt;
        }
        pending.backoffs = pending.attempts = message.earlierAttempts().size();
        // Attempts before a restart of this relay: what may have run still may.
        for (EarlierAttempt earlier : message.earlierAttempts()) {
            if (!earlier.maybeRan() || pending.inDoubt()) {
                continue;
            }
            pending.inDoubtSince = earlier.sentAt();
            pending.inDoubtZone = zoneOf(earlier);
        }
        unfinishedMessages.put(message.id(), pending);
        if (pending.ordered()) {
            KeyQueue queue = keyQueues.computeIfAbsent(message.key(), k -> new KeyQueue());
            queue.messages.add(pending);
            if (message.earlierAttempts().stream().anyMatch(EarlierAttempt::maybeRan)) {
                queue.settledAt =
                        Math.max(queue.settledAt, now + settings.rules().settleAfterDoubtMs());
            }
        }
    }

    /** The zone of an earlier attempt; without a stored one, that of its endpoint if it is still listed. */
    private int zoneOf(EarlierAttempt earlier) {
        Endpoint listed = endpoints.get(earlier.endpoint());
        return earlier.zone() != EarlierAttempt.UNKNOWN_ZONE || listed == null ? earlier.zone() : listed.zone;
    }

    @Override
    public void withdrawn(double now, long id) {
        if (unfinishedMessages.containsKey(id)) {
            finish(unfinishedMessages.get(id));
        }
    }

    @Override
    public void share(double now, int destination, Share share) {
        if (destination < 0) {
            defaultShare = share;
        }
        Destination known = destinations.get(destination);
        if (known == null) {
            return;
        }
        // Tokens until now are those of the old share; before the first message there are none to count.
        if (!Double.isNaN(startedAt)) {
            known.endpoints.forEach(e -> refill(now, e.route));
        }
        known.share = share;
    }

    @Override
    public void peerWarning(double now, String endpoint, double waitUntil, double avoidUntil) {
        Endpoint known = endpoints.get(endpoint);
        if (known == null) {
            return;
        }
        known.route.waitUntil = Math.max(known.route.waitUntil, waitUntil);
        known.avoidUntil = avoidUntil;
    }

    @Override
    public void restrict(double now, long id, Set<Integer> zones, BookedCapacity lane) {
        if (!unfinishedMessages.containsKey(id)) {
            return;
        }
        unfinishedMessages.get(id).zones = zones;
        unfinishedMessages.get(id).bookedCalls = lane;
    }

    @Override
    public void timer(double now) {
        // Hosts round times: one that comes slightly early counts, or no later wake-up would be requested.
        if (now >= wakeAt - TICK_MS) {
            wakeAt = INFINITE;
        }
    }

    @Override
    public double timeoutAtWrite(double now, long id, int attempt) {
        Attempt sent = attempts.get(attemptKey(id, attempt));
        if (sent == null) {
            return 0;
        }
        Pending pending = sent.pending;
        Call call = sent.call;
        Endpoint endpoint = call.endpoint;
        // The endpoint went down meanwhile, and the call is neither its trial nor counted in its slow start.
        boolean wentDown = endpoint.down ? !call.trial : endpoint.slowStartBeganAt > call.sentAt;
        double rest = typicalMs(pending.destination, pending.classIndex) / 2; // connecting was part of it
        boolean inTime = now <= pending.message.deadlineAt() - rest
                && now <= repeatableUntil(pending) - Math.max(rest, MAX_WRITE_DELAY_MS);
        if (pending.finished
                || wentDown
                || !inTime
                || endpoint.route.waitUntil > now
                || !pending.permittedEndpoints().contains(endpoint)) {
            return 0;
        }
        // One with too little time left leaves the call to those that have enough, and is sent by itself.
        List<Pending> all = attempts.values().stream()
                .filter(a -> a.call == call)
                .map(a -> a.pending)
                .toList();
        double longest = all.stream().mapToDouble(p -> maxTimeout(now, p)).max().orElse(0);
        double least = Math.min(longest, Math.min(call.timeoutMs, neededTimeout(pending, call.messages)));
        if (maxTimeout(now, pending) < least) {
            return 0;
        }
        call.sentAt = now;
        if (endpoint.latestCall == call) {
            endpoint.latestCall = null; // no further message joins it
        }
        return all.stream()
                .mapToDouble(p -> maxTimeout(now, p))
                .filter(ms -> ms >= least)
                .reduce(call.timeoutMs, Math::min);
    }

    @Override
    public void waitReceived(double now, String endpoint, long id, int attempt, double waitMs) {
        Attempt sent = attempts.get(attemptKey(id, attempt));
        if (sent != null) {
            sent.call.waitApplied = true;
        }
        if (endpoints.containsKey(endpoint)) {
            applyWait(now, endpoints.get(endpoint).route, waitMs);
        }
    }

    /** A wait binds all messages, whichever received it; its end is randomized to spread the relays. */
    private void applyWait(double now, Route route, double waitMs) {
        double maxSpreadMs = ownShare(now, route) < LOW_RATE ? LOW_RATE_WAIT_SPREAD_MS : WAIT_SPREAD_MS;
        route.reportedWaitUntil =
                Math.max(route.reportedWaitUntil, now + waitMs + 1 + random.nextDouble() * maxSpreadMs);
        route.waitUntil = Math.max(route.waitUntil, route.reportedWaitUntil);
    }

    @Override
    public void ended(double now, Outcome outcome) {
        Attempt attempt = attempts.remove(attemptKey(outcome.id(), outcome.attempt()));
        if (attempt == null) {
            return;
        }
        Pending pending = attempt.pending;
        Call call = attempt.call;
        Endpoint endpoint = call.endpoint;
        pending.inFlight = false;
        Result howEnded = outcome.result();
        if (--call.unanswered == 0) {
            slotsUsed--;
            endpoint.openCalls--;
            endpoint.destination.openCalls--;
            if (howEnded == Result.OK
                    || howEnded == Result.ERROR
                    || howEnded == Result.FULL
                    || howEnded == Result.WITHHELD) {
                endpoint.idleSince.addLast(now);
                if (endpoint.renewAt == INFINITE) {
                    endpoint.renewAt = now + settings.limits().connectionIdleMs() * renewals.nextDouble();
                }
                maybeIdle.add(endpoint);
            }
        }
        KeyQueue keyQueue = pending.ordered() ? keyQueues.get(pending.message.key()) : null;
        if (keyQueue != null) {
            keyQueue.inFlight--;
        }
        if (!howEnded.counts()) { // no attempt: undone, and the message is due again at once
            pending.attempts--;
            if (--call.messages == 0 && call.bookedCalls == null) {
                endpoint.route.tokens++;
            }
            if (howEnded == Result.LOCAL_FAILURE) {
                pending.notBefore = afterLocalFailure(now);
            }
            return;
        }
        localBackoffMs = LOCAL_BACKOFF_MS;
        if (!Double.isNaN(outcome.load().limitPerS())) {
            endpoint.route.limit = outcome.load().limitPerS();
        }
        if (outcome.waitMs() > 0 && !call.waitApplied) {
            applyWait(now, endpoint.route, outcome.waitMs());
        }
        // A reused connection that died while idle does not mean that the endpoint is unhealthy. A reset at
        // once shows one; time-outs do only if many, where none failed before. Failed connects do count.
        double typical = typicalMs(pending.destination, pending.classIndex);
        boolean resetAtOnce =
                call.reused && howEnded == Result.RESET && outcome.tookMs() < DEAD_CONNECTION_SHARE * typical;
        boolean deadConnection = resetAtOnce
                || call.longIdle
                        && howEnded == Result.TIMEOUT
                        && endpoint.failuresInRow == 0
                        && endpoint.slowness < MILD_SLOWNESS;
        // The messages of a shared call end together: it is counted once, here and for its endpoint.
        if (call.longIdle && !call.recorded && (deadConnection || howEnded == Result.OK)) {
            staleShare += STALE_WEIGHT * ((deadConnection ? 1 : 0) - staleShare);
        }
        if (deadConnection && staleShare > STALE_THRESHOLD) {
            if (staleUntil < now) {
                actions.report("idle connections assumed to be dead after " + howEnded);
            }
            staleUntil = now + STALE_MS;
        }
        if (!call.recorded && !resetAtOnce) {
            recordResult(now, outcome, call, pending);
        }
        call.recorded = true;
        if (keyQueue != null
                && (howEnded == Result.TIMEOUT || howEnded == Result.RESET || howEnded == Result.CANCELLED)) {
            keyQueue.settledAt =
                    Math.max(keyQueue.settledAt, now + settings.rules().settleAfterDoubtMs());
        }
        if (outcome.messageEnded()) {
            finish(pending);
        }
        if (pending.finished) {
            return;
        }
        if (howEnded.maybeRan() && !pending.inDoubt()) {
            pending.inDoubtSince = call.sentAt;
            pending.inDoubtZone = endpoint.zone;
        }
        double wait = Math.max(now, endpoint.route.waitUntil) - now;
        double backoff = resetAtOnce && pending.attempts == 1
                ? 0
                : FIRST_BACKOFF_MS * Math.pow(BACKOFF_FACTOR, pending.backoffs++);
        double left = pending.message.deadlineAt() - now - wait - typical;
        pending.notBefore = now + wait + Math.max(0, Math.min(jittered(backoff), left / 2));
    }

    /** When to open connections again: one backoff for all that this machine failed to open together. */
    private double afterLocalFailure(double now) {
        if (now >= localBackoffUntil) {
            localBackoffUntil = now + jittered(localBackoffMs);
            localBackoffMs = Math.min(MAX_LOCAL_BACKOFF_MS, localBackoffMs * BACKOFF_FACTOR);
        }
        return localBackoffUntil;
    }

    /** Updates what is known of an endpoint and its route by the result of one call. */
    private void recordResult(double now, Outcome outcome, Call call, Pending pending) {
        Endpoint endpoint = call.endpoint;
        Route route = endpoint.route;
        route.rejectedShare += SMOOTHING * ((outcome.result() == Result.FULL ? 1 : 0) - route.rejectedShare);
        if (outcome.result() == Result.OK) {
            double took = outcome.tookMs() / (1 + EXTRA_MESSAGE_COST * (call.messages - 1));
            double typical = typicalMs(pending.destination, pending.classIndex);
            endpoint.slowness += SLOWNESS_WEIGHT * (took / typical - endpoint.slowness);
            learnDuration(pending, Math.min(took, OUTLIER_FACTOR * typical));
            if (endpoint.down) {
                actions.report("endpoint " + endpoint.name + " answers again, slow start begins");
            }
            if (endpoint.down || endpoint.slowStartBeganAt == INFINITE) {
                endpoint.slowStartBeganAt = now;
                route.endpoints.forEach(e -> e.trialAt = Math.min(e.trialAt, now + jittered(FIRST_TRIAL_MS)));
            }
            if (!endpoint.down && now - endpoint.connectFailedAt < CONNECTION_LIMIT_MS) {
                closeIdleUntil[endpoint.kindIndex] = INFINITE;
            }
            lostShare -= LOST_WEIGHT * lostShare;
            endpoint.maxConnections += CONNECTIONS_GROWTH; // INFINITE stays as it is
            endpoint.down = false;
            endpoint.answeredSentAt = Math.max(endpoint.answeredSentAt, call.sentAt);
            route.answeredAt = now;
            route.rejectedSince = Double.NaN;
            endpoint.connectionRejections = endpoint.failuresInRow =
                    route.failuresInRow = route.rejectionsWithoutWait = route.rejectionsInRow = 0;
            return;
        }
        if (outcome.result() == Result.NOT_SENT || outcome.result() == Result.CANCELLED) {
            return;
        }
        if (outcome.result() == Result.CROWDED) {
            // It has as many connections as it permits, from all relays together, so it is not down: retry
            // soon, with fewer, and close idle ones from now on. Idle connections of others end in time, so
            // that rejections that go on for longer are an outage.
            closeIdleUntil[endpoint.kindIndex] = INFINITE;
            maybeIdle.addAll(endpoints.values());
            endpoint.connectionRejectedAt = now;
            if (endpoint.openCalls == 0 && !hasIdle(now, endpoint)) {
                connectionRejectedAt[endpoint.kindIndex] = now; // not even one connection for each relay
            }
            endpoint.maxConnections =
                    Math.max(1, CONNECTIONS_CUT * Math.min(endpoint.maxConnections, endpoint.openCalls + 1));
            endpoint.connectBackoffUntil = now
                    + jittered(Math.min(
                            MAX_CONNECT_BACKOFF_MS,
                            CONNECT_BACKOFF_MS * Math.pow(BACKOFF_FACTOR, endpoint.connectionRejections++)));
            if (Double.isNaN(route.rejectedSince)) {
                route.rejectedSince = now;
            }
            if (endpoint.down) {
                endpoint.trialAt = now + jittered(FIRST_TRIAL_MS);
            }
            if (now - route.rejectedSince < settings.limits().connectionIdleMs() || endpoint.down) {
                return;
            }
        }
        boolean noAnswer = outcome.result() == Result.TIMEOUT || outcome.result() == Result.RESET;
        if (noAnswer && endpoint.failuresInRow == 0) {
            lostShare += LOST_WEIGHT * (1 - lostShare);
        }
        if (outcome.result() == Result.FULL) {
            handleRejection(now, outcome.waitMs(), endpoint);
            boolean belowLimit = settings.limitsTold()
                    && now - route.answeredAt > RECENT_ANSWER_MS
                    && (route.limit == 0 || outcome.load().allowanceLeft() > AMPLE_ALLOWANCE);
            boolean many = settings.limitsTold() || ++route.rejectionsInRow >= REJECTION_OUTAGE_COUNT;
            boolean outage = call.trial || many && now - route.rejectedSince >= REJECTION_OUTAGE_MS;
            if (outcome.waitMs() >= OUTAGE_WAIT_MS || (outage || belowLimit) && outcome.waitMs() > 0) {
                route.endpoints.forEach(e -> beginSlowStart(route.waitUntil, e));
                return;
            }
            // With most of the allowance left it is an outage as well.
            if (!outage && !(belowLimit && outcome.load().allowanceLeft() > AMPLE_ALLOWANCE)) {
                return;
            }
        }
        if (outcome.result() == Result.CONNECT_FAILED && !endpoint.down) {
            endpoint.connectFailedAt = now;
            closeIdleUntil[endpoint.kindIndex] =
                    Math.max(closeIdleUntil[endpoint.kindIndex], now + CONNECTIONS_SHORT_MS);
        }
        if (call.sentAt < endpoint.answeredSentAt) {
            return; // a call sent later was answered: this failure is out of date
        }
        endpoint.failuresInRow++;
        route.failuresInRow++;
        if (endpoint.inSlowStart()) {
            endpoint.slowStartBeganAt = INFINITE;
        }
        boolean lowRate = ownShare(now, route) < LOW_RATE && closeIdleUntil[endpoint.kindIndex] < INFINITE;
        int downAfter = lostShare > LOST_THRESHOLD
                ? LOSSY_FAILURES_UNTIL_DOWN
                : lowRate ? LOW_RATE_FAILURES_UNTIL_DOWN : FAILURES_UNTIL_DOWN;
        boolean routeFails = route.failuresInRow >= downAfter && now - route.answeredAt > RECENT_ANSWER_MS;
        if (!endpoint.down && (endpoint.failuresInRow >= downAfter || routeFails)) {
            actions.report("endpoint " + endpoint.name + " held to be sick after " + outcome.result());
        } else if (!call.trial) {
            return; // one of many calls in flight when the endpoint went down: no reason for longer pauses
        }
        // All relays share the budget of a return: each waits until a call of its share is due, and every
        // second one, at random, for less.
        double own = 1000 / slowStartRate(now, route, 0);
        double pause = Math.min(MAX_TRIAL_MS, FIRST_TRIAL_MS * Math.pow(BACKOFF_FACTOR, endpoint.trials++));
        double early = Math.min(own, EARLY_TRIAL_MS * Math.pow(LONG_BACKOFF_FACTOR, endpoint.trials - 1));
        pause = Math.max(pause, random.nextBoolean() ? own : early);
        for (Endpoint other : route.endpoints) {
            if (other == endpoint || routeFails && other.failuresInRow > 0 && !other.down) {
                other.down = true;
                other.slowStartBeganAt = INFINITE;
                other.trialAt = Math.max(route.waitUntil, now) + jittered(pause);
            }
        }
    }

    /** Begins a slow start at a time that all relays know: the first call of each is delayed at random. */
    private void beginSlowStart(double at, Endpoint endpoint) {
        endpoint.down = false;
        endpoint.slowStartBeganAt = at;
        // A random part of what a full call counts for.
        endpoint.owedCalls = random.nextDouble() * (1 + EXTRA_MESSAGE_COST * (endpoint.kind.maxBatch() - 1));
        endpoint.slowStartCallAt = at;
    }

    /** Backs off where a rejection names no wait, and cuts the rate, as a limit may be the reason. */
    private void handleRejection(double now, double waitMs, Endpoint endpoint) {
        Route route = endpoint.route;
        if (Double.isNaN(route.rejectedSince)) {
            route.rejectedSince = now;
        }
        if (waitMs <= 0) {
            // At most the time of one call of the share, so that all relays together go on at the known rate.
            double own = Math.min(
                    DEFAULT_WAIT_MS * Math.pow(LONG_BACKOFF_FACTOR, route.rejectionsWithoutWait++),
                    1000 / ownShare(now, route));
            route.waitUntil = Math.max(route.waitUntil, now + jittered(own));
        }
        if (now - route.rateCutAt > RATE_CUT_INTERVAL_MS && !endpoint.down) {
            route.rateCutAt = now;
            refill(now, route);
            route.rate = Math.max(minRate(route), RATE_CUT * Math.min(route.rate, ownShare(now, route)));
            route.tokens = Math.min(route.tokens, 1);
        }
    }

    // ---- limits and rates of routes ----

    /** Calls a second that the route accepts from all relays as far as that is known, 0 if not. */
    private double knownLimit(Route route) {
        if (route.limit > 0 || settings.weight() == Weight.NONE || route.endpoints.isEmpty()) {
            return route.limit;
        }
        double weight = route.endpoints.get(route.endpoints.size() - 1).weight;
        return weight / (settings.weight() == Weight.ESTIMATED ? WEIGHT_ERROR_FACTOR : 1);
    }

    /** Whether relays exceed the limit: unless reported, rejections, which use it up, are the only sign. */
    private boolean overloaded(Route route) {
        return !settings.limitsTold() && route.rejectedShare >= REJECTION_BOUND;
    }

    /** The least rate, calls a second: a fixed one of many relays together would be more than it accepts. */
    private double minRate(Route route) {
        if (!settings.limitsTold()) {
            return UNREPORTED_MIN_RATE / settings.group();
        }
        double least = DEFAULT_RATE / Math.min(settings.group(), MIN_RATE_RELAYS);
        return knownLimit(route) > 0
                ? Math.min(least, MIN_RATE_EVEN_SHARES * knownLimit(route) / settings.group())
                : least;
    }

    /** Updates the rate and the tokens of the route to now. */
    private void refill(double now, Route route) {
        double elapsed = Double.isNaN(route.refilledAt) ? 0 : now - route.refilledAt;
        route.refilledAt = now;
        // Without reports only calls show rejections: the rate grows more slowly where they are few.
        double share = ownShare(now, route);
        // INFINITE stays as it is.
        route.rate += RATE_GROWTH * share * (settings.limitsTold() ? 1 : Math.min(1, share)) * elapsed / 1000;
        double maxRate = settings.limitsTold() ? route.limit : knownLimit(route);
        if (maxRate > 0) {
            // An even share is enough where messages can share calls, or rejections use up the limit for all.
            boolean evenShare =
                    route.rejectedShare >= REJECTION_BOUND && route.kind.maxBatch() > 1 || overloaded(route);
            route.rate = Math.min(
                    route.rate,
                    evenShare ? Math.max(BATCH_SHARE * maxRate / settings.group(), minRate(route)) : maxRate);
        }
        route.permittedRate =
                maxRate > 0 ? Math.min(route.rate, route.destination.share.at(now) * maxRate) : route.rate;
        double burst = Math.max(1, route.permittedRate * BURST_MS / 1000);
        route.tokens = route.permittedRate == INFINITE
                ? 1
                : Math.min(burst, route.tokens + route.permittedRate * elapsed / 1000);
    }

    /** This relay's share of the route, calls a second: an even one, or its demand where that is more. */
    private double ownShare(double now, Route route) {
        double demand = 1000.0 * route.destination.accepted / Math.max(DEMAND_SPAN_MS, now - startedAt);
        if (route.kind.separateLimits()) {
            demand /= Math.max(1, route.destination.active.size());
        }
        double all = knownLimit(route) > 0 ? knownLimit(route) : DEFAULT_RATE;
        return Math.max(all / settings.group(), knownLimit(route) > 0 ? Math.min(all, demand) : demand);
    }

    /** Calls a second that this relay may send so long after the return: its share of the budget. */
    private double slowStartRate(double now, Route route, double since) {
        double start = Math.max(MIN_START_CAPACITY, settings.rules().startCapacity());
        double share = Math.min(
                1, start + (1 - start) * since / Math.max(1, settings.rules().warmAfterMs()));
        // Where the relays accept more than the route does, shares shrink; few messages tell little of that.
        double even = knownLimit(route) / settings.group() * Math.max(DEMAND_SPAN_MS, now - startedAt) / 1000;
        double excessDemand =
                even > 0 ? Math.max(1, (route.destination.accepted + PRIOR_COUNT) / (even + PRIOR_COUNT)) : 1;
        return Math.max(1, settings.rules().fallMultiple()) * share * ownShare(now, route) / excessDemand;
    }

    private double typicalMs(Destination destination, int index) {
        return destination.samples[index] > 0 ? destination.typicalMs[index] : classTypicalMs[index];
    }

    private void learnDuration(Pending pending, double ms) {
        int k = pending.classIndex;
        Destination destination = pending.destination;
        destination.typicalMs[k] = typicalMs(destination, k)
                + Math.max(SMOOTHING, 1.0 / (destination.samples[k] + 2)) * (ms - typicalMs(destination, k));
        destination.samples[k]++;
        classTypicalMs[k] += SMOOTHING / 2 * (ms - classTypicalMs[k]);
    }

    // ---- the round ----

    @Override
    public void decide(double now) {
        nextWake = INFINITE;
        if (askForListAt <= now) {
            askForListAt = INFINITE;
            actions.watchList();
        }
        requestWake(askForListAt);
        keyQueues.values().removeIf(k -> k.messages.isEmpty() && k.inFlight == 0 && k.settledAt <= now);
        List<Pending> ready = new ArrayList<>();
        destinations.values().forEach(d -> d.due = 0);
        for (Pending pending : new ArrayList<>(unfinishedMessages.values())) {
            if (pending.inFlight || answerIfHopeless(now, pending)) {
                continue;
            }
            if (pending.notBefore <= now + KEEP_IDLE_MS) {
                pending.destination.due++;
            }
            if ((pending.notBefore <= now || postpone(pending.notBefore)) && isNextOfKey(now, pending)) {
                ready.add(pending);
            }
        }
        shedMessages(now);
        ready.forEach(p -> p.priority = sendPriority(now, p));
        ready.sort(Comparator.comparingDouble((Pending p) -> -p.priority));
        ready.forEach(p -> {
            if (!p.finished && !listUnconfirmed) {
                trySend(now, p);
            }
        });
        maybeIdle.removeIf(e -> {
            // A relay with kept connections learns of rejected ones only by opening a new one now and then.
            if (hasIdle(now, e) && (releasesConnections(now, e) || now > e.renewAt && callsRarely(now, e))) {
                closeIdle(e);
                e.renewAt = now + settings.limits().connectionIdleMs() * (1 + JITTER * renewals.nextDouble());
            }
            return e.idleSince.isEmpty() || e.destination.due == 0;
        });
        if (nextWake < wakeAt - 1e-6 && nextWake < INFINITE) {
            double inMs = Math.max(TICK_MS / 2, nextWake - now);
            wakeAt = now + inMs;
            actions.wake(inMs);
        }
    }

    private void requestWake(double at) {
        nextWake = Math.min(nextWake, at);
    }

    /** Requests a wake-up for what is not possible now and may be at that time; always false. */
    private boolean postpone(double at) {
        requestWake(at);
        return false;
    }

    /** Order per key: a message is sent when all accepted before it with its key are over and settled. */
    private boolean isNextOfKey(double now, Pending pending) {
        if (!pending.ordered()) {
            return true;
        }
        KeyQueue keyQueue = keyQueues.get(pending.message.key());
        if (keyQueue.messages.peekFirst() != pending || keyQueue.inFlight > 0) {
            return false;
        }
        return pending.attempts > 0 || keyQueue.settledAt <= now || postpone(keyQueue.settledAt);
    }

    /** Gives the final answer if no further attempt can be made or arrive in time, unless it is too early. */
    private boolean answerIfHopeless(double now, Pending pending) {
        double lastSendAt = lastSendAt(pending);
        boolean noAttemptLeft = settings.limits().maxAttempts() > 0
                && pending.attempts >= settings.limits().maxAttempts();
        noAttemptLeft |= pending.inDoubt() && pending.messageClass.effect() == Effect.UNSAFE;
        if (pending.boundToZone()) {
            // The zone is unknown, or no longer permitted. Listed endpoints do not tell where others were.
            noAttemptLeft |= pending.inDoubtZone == EarlierAttempt.UNKNOWN_ZONE
                    || pending.zones != null && !pending.zones.contains(pending.inDoubtZone);
        }
        List<Endpoint> permitted = pending.permittedEndpoints();
        double earliest = permitted.isEmpty() ? now : INFINITE, reported = earliest;
        for (Endpoint endpoint : permitted) {
            double callAt = pending.bookedCalls == null || endpoint.down
                    ? nextCallAt(now, endpoint)
                    : pending.bookedCalls.nextCallAt(now);
            earliest = Math.min(earliest, Math.max(now, Math.max(endpoint.route.waitUntil, callAt)));
            reported = Math.min(reported, endpoint.route.reportedWaitUntil);
        }
        // This relay's own rate, backoff or slow start may allow a call sooner after all: for what never ran
        // they are no reason to refuse early.
        double until = earliest <= lastSendAt
                ? lastSendAt
                : reported > lastSendAt ? NEVER : Math.min(pending.earlyUntil(), lastSendAt);
        if (!noAttemptLeft && now <= until) {
            return postpone(until + 1);
        }
        answer(pending, earliest - now);
        return true;
    }

    /** The last time at which a call of it can be sent and arrive in time. */
    private double lastSendAt(Pending pending) {
        double typical = typicalMs(pending.destination, pending.classIndex);
        return Math.min(
                pending.message.deadlineAt() - typical,
                repeatableUntil(pending) - Math.max(typical, MAX_WRITE_DELAY_MS));
    }

    /** Until when its destination drops a repeat of what may have run. */
    private static double repeatableUntil(Pending pending) {
        return pending.inDoubt() && pending.messageClass.effect() == Effect.KEYED
                ? pending.inDoubtSince + pending.messageClass.windowMs()
                : INFINITE;
    }

    /** When the next trial is due, or the rate permits the next call. */
    private double nextCallAt(double now, Endpoint endpoint) {
        if (endpoint.down) {
            return endpoint.trialAt;
        }
        refill(now, endpoint.route);
        return endpoint.route.tokens >= 1
                ? now
                : now + (1 - endpoint.route.tokens) / endpoint.route.permittedRate * 1000;
    }

    /** Final answer: refused only if no attempt can have run, given up otherwise. */
    private void answer(Pending pending, double retryInMs) {
        double retryAfterMs = settings.limits().retryAfter()
                ? Math.min(retryInMs, settings.limits().maxRetryAfterMs())
                : 0;
        if (pending.inDoubt()) {
            actions.giveUp(pending.message.id());
        } else {
            actions.refuse(pending.message.id(), retryAfterMs);
        }
        finish(pending);
    }

    private void finish(Pending pending) {
        pending.finished = true;
        unfinishedMessages.remove(pending.message.id());
        if (pending.ordered() && keyQueues.containsKey(pending.message.key())) {
            keyQueues.get(pending.message.key()).messages.remove(pending);
        }
    }

    /** Makes room for new messages: ends those that lose the least by it, rather than refusing new ones. */
    private void shedMessages(double now) {
        int most = settings.limits().maxOpen();
        int excess = unfinishedMessages.size() - most + Math.max(1, (int) (most * FREE_SHARE));
        if (most <= 0 || excess <= 0) {
            return;
        }
        unfinishedMessages.values().forEach(p -> p.priority = keepPriority(now, p));
        unfinishedMessages.values().stream()
                .filter(p -> !p.inFlight)
                .sorted(Comparator.comparingDouble(p -> p.priority))
                .limit(excess)
                .toList()
                .forEach(p -> answer(p, MAX_TRIAL_MS));
    }

    /**
     * What is lost if a waiting message ends now: the worth that it may still earn, which is less where its
     * destination is unhealthy, and the price of an early refusal.
     */
    private double keepPriority(double now, Pending pending) {
        double delay = pending.permittedEndpoints().stream()
                .mapToDouble(e -> Math.max(0, e.route.waitUntil - now)
                        + (e.down ? MAX_TRIAL_MS * 2 : e.slowness > SLOW_FACTOR ? MAX_TRIAL_MS : 0))
                .min()
                .orElse(INFINITE);
        double earned = delay == INFINITE
                ? 0
                : worthAt(pending, now + delay + typicalMs(pending.destination, pending.classIndex));
        return now < pending.earlyUntil() ? earned + EARLY_PRICE * pending.messageClass.worth() : earned;
    }

    private double worthAt(Pending pending, double at) {
        double age = at - pending.firstAcceptedAt;
        MessageClass type = pending.messageClass;
        double aim = Math.min(type.deadlineMs(), type.aimMs() + type.aimStretch() * pending.message.workMs());
        if (age <= aim) {
            return type.worth();
        }
        if (at > pending.message.deadlineAt()) {
            return 0;
        }
        return type.worth()
                * (settings.late() == LateCurve.HALVING
                        ? Math.max(type.lateWorth(), Math.pow(0.5, (age - aim) / Math.max(1, aim)))
                        : 1 - (1 - type.lateWorth()) * (age - aim) / Math.max(1, type.deadlineMs() - aim));
    }

    /** Worth lost by waiting per slot time, and a small part of the worth that waiting does not lose. */
    private double sendPriority(double now, Pending pending) {
        double slowness = pending.destination.active.isEmpty() ? 1 : INFINITE;
        boolean overloaded = false;
        for (Endpoint endpoint : pending.destination.active) {
            slowness = Math.min(slowness, endpoint.slowness);
            overloaded |= overloaded(endpoint.route);
        }
        double callMs = typicalMs(pending.destination, pending.classIndex) * Math.max(1, slowness);
        double worth = worthAt(pending, now + callMs);
        return (worth
                        - worthAt(pending, now + callMs + LOOKAHEAD_MS)
                        + (overloaded ? OVERLOAD_WORTH : BASE_WORTH) * worth)
                / callMs;
    }

    // ---- sending ----

    private static boolean unhealthy(Destination destination) {
        for (Endpoint endpoint : destination.active) {
            if (!endpoint.down && endpoint.slowness < SLOW_FACTOR) {
                return false;
            }
        }
        return !destination.active.isEmpty();
    }

    private boolean hasSlot(Destination destination) {
        int slots = settings.limits().slots();
        boolean unhealthy = unhealthy(destination);
        int most = Math.max(1, (int) (slots * (unhealthy ? UNHEALTHY_SLOT_SHARE : SLOT_SHARE))),
                used = unhealthy ? 0 : destination.openCalls;
        for (Destination other : unhealthy ? destinations.values() : List.<Destination>of()) {
            used += unhealthy(other) ? other.openCalls : 0;
        }
        return slots <= 0 || slotsUsed < slots && used < most;
    }

    private void trySend(double now, Pending pending) {
        Endpoint best = null;
        double least = INFINITE;
        boolean slot = hasSlot(pending.destination);
        if (pending.attempts > 0 && pending.destination.share.repeats() <= 0) {
            return; // the fleet grants no repeat until the next share
        }
        double bookedAt = pending.bookedCalls == null ? now : pending.bookedCalls.nextCallAt(now);
        if (bookedAt > now && !postpone(bookedAt)) {
            return;
        }
        for (Endpoint endpoint : pending.permittedEndpoints()) {
            if (pending.boundToZone() && endpoint.zone != pending.inDoubtZone) {
                continue;
            }
            boolean joins = canJoin(now, endpoint, pending),
                    nextRound = !joins && callHasRoom(now, endpoint, pending) && !postpone(now + TICK_MS);
            if (!joins && (!slot || nextRound || !mayCall(now, endpoint, pending.bookedCalls))) {
                continue;
            }
            double cost = (endpoint.openCalls + 1.0) * Math.max(0.5, endpoint.slowness) * (joins ? 0.5 : 1)
                    + (endpoint.zone == settings.zone() ? 0 : 0.5)
                    + (hasIdle(now, endpoint) ? 0 : 0.3)
                    + (endpoint.down ? 100 : 0)
                    + FAILURE_COST * endpoint.failuresInRow
                    + (endpoint.avoidUntil > now ? 50 : 0);
            if (cost < least) {
                least = cost;
                best = endpoint;
            }
        }
        if (best != null) {
            send(now, pending, best);
        }
    }

    /** Whether a call of this round has room for a message; without room, the host makes another call. */
    private static boolean callHasRoom(double now, Endpoint endpoint, Pending pending) {
        Call call = endpoint.latestCall;
        return call != null
                && call.sentAt == now
                && !call.trial
                && call.messages < endpoint.kind.maxBatch()
                && call.bytes + pending.message.bytes() <= MAX_SHARED_CALL_BYTES;
    }

    /** A call has one time-out; a message that joins must not shorten it, nor need a longer one itself. */
    private boolean canJoin(double now, Endpoint endpoint, Pending pending) {
        Call call = endpoint.latestCall;
        if (!callHasRoom(now, endpoint, pending) || call.bookedCalls != pending.bookedCalls) {
            return false;
        }
        double most = maxTimeout(now, pending),
                preferred = preferredTimeout(pending, endpoint, call.messages + 1),
                need = neededTimeout(pending, call.messages + 1);
        double timeout = callTimeout(now, pending, endpoint, call);
        // Messages that are all short of time may share a call, except for those that must not be repeated.
        double leastTimeout =
                most < need && pending.messageClass.effect() != Effect.UNSAFE ? 0 : Math.min(preferred, need);
        return leastTimeout <= timeout && timeout <= most;
    }

    private boolean hasIdle(double now, Endpoint endpoint) {
        endpoint.idleSince.removeIf(at -> now - at > settings.limits().connectionIdleMs() - TICK_MS);
        return !endpoint.idleSince.isEmpty();
    }

    /**
     * Whether to close connections after use: where few are permitted, one that is kept by a relay that calls
     * rarely is of no use to any relay until its next call.
     */
    private boolean releasesConnections(double now, Endpoint endpoint) {
        if (closeIdleUntil[endpoint.kindIndex] <= now || endpoint.destination.due > 0) {
            return false;
        }
        double rate = ownShare(now, endpoint.route) / endpoint.route.activeCount();
        return callsRarely(now, endpoint)
                || now - connectionRejectedAt[endpoint.kindIndex] < REJECTED_RECENTLY_MS
                        && rate * KEEP_IDLE_MS / 1000 < 1;
    }

    /** Whether not all relays of the group could keep a connection in use there. */
    private boolean callsRarely(double now, Endpoint endpoint) {
        return ownShare(now, endpoint.route)
                        / endpoint.route.activeCount()
                        * settings.limits().connectionIdleMs()
                        / 1000
                < settings.group();
    }

    private void closeIdle(Endpoint endpoint) {
        if (!endpoint.idleSince.isEmpty()) {
            actions.closeIdle(endpoint.name);
        }
        endpoint.idleSince.clear();
    }

    /** Whether a new call may be sent to it now; requests a wake-up where time alone will permit one. */
    private boolean mayCall(double now, Endpoint endpoint, BookedCapacity bookedCalls) {
        Route route = endpoint.route;
        if (route.waitUntil > now) {
            return postpone(route.waitUntil);
        }
        if (endpoint.down) {
            // One trial at a time.
            boolean onTrial = route.endpoints.stream().anyMatch(e -> e.down && e.openCalls > 0);
            return !onTrial && (endpoint.trialAt <= now || postpone(endpoint.trialAt));
        }
        if (endpoint.inSlowStart()) {
            if (endpoint.slowStartBeganAt < INFINITE
                    && now - endpoint.slowStartBeganAt > settings.rules().warmAfterMs()) {
                actions.report("endpoint " + endpoint.name + " has completed its slow start");
                endpoint.slowStartBeganAt = Double.NaN;
                endpoint.trials = 0;
            } else {
                // Counts at the mean rate since the last call: at the present one, which grows meanwhile, all
                // relays that wait would gain at once.
                double since = endpoint.slowStartBeganAt == INFINITE ? 0 : now - endpoint.slowStartBeganAt;
                double waited = now - endpoint.slowStartCallAt;
                double mean = slowStartRate(now, route, Math.max(0, since - waited / 2));
                double owed = endpoint.owedCalls * route.activeCount() * 1000 - mean * waited;
                if (owed > 0) {
                    return postpone(now + Math.min(owed / slowStartRate(now, route, since), RECHECK_MS));
                }
            }
        }
        if (!hasIdle(now, endpoint) && now - endpoint.connectionRejectedAt < CONNECTIONS_SHORT_MS) {
            if (endpoint.connectBackoffUntil > now) {
                return postpone(endpoint.connectBackoffUntil);
            }
            if (endpoint.openCalls >= endpoint.maxConnections) {
                return false; // until a call ends
            }
        }
        return bookedCalls != null || nextCallAt(now, endpoint) <= now || postpone(nextCallAt(now, endpoint));
    }

    private void send(double now, Pending pending, Endpoint endpoint) {
        Call call;
        if (canJoin(now, endpoint, pending)) {
            call = endpoint.latestCall;
        } else {
            call = new Call();
            call.endpoint = endpoint;
            call.bookedCalls = pending.bookedCalls;
            call.sentAt = now;
            call.trial = endpoint.down;
            endpoint.latestCall = call;
            endpoint.openCalls++;
            endpoint.destination.openCalls++;
            slotsUsed++;
            call.longIdle = hasIdle(now, endpoint) && now - endpoint.idleSince.peekLast() > LONG_IDLE_MS;
            // A message that must not be repeated would be lost: for it one recent sign is enough.
            boolean sign = pending.messageClass.effect() == Effect.UNSAFE && staleShare > STALE_WEIGHT / 2;
            if (call.longIdle && (staleUntil > now || sign)) {
                closeIdle(endpoint);
            }
            call.reused = !endpoint.idleSince.isEmpty();
            if (call.reused) {
                endpoint.idleSince.removeLast();
            }
            refill(now, endpoint.route);
            if (pending.bookedCalls == null) {
                endpoint.route.tokens -= 1;
            } else {
                pending.bookedCalls.callSent(now);
            }
        }
        call.timeoutMs = callTimeout(now, pending, endpoint, call);
        call.maxTimeoutMs = Math.min(call.maxTimeoutMs, maxTimeout(now, pending));
        call.messages++;
        call.unanswered++;
        call.bytes += pending.message.bytes();
        if (endpoint.inSlowStart()) {
            endpoint.owedCalls = call.messages == 1 ? 1 : endpoint.owedCalls + EXTRA_MESSAGE_COST;
            endpoint.slowStartCallAt = now;
        }
        if (pending.attempts > 0) {
            pending.destination.share = pending.destination.share.withoutOneRepeat();
        }
        attempts.put(attemptKey(pending.message.id(), pending.attempts++), new Attempt(pending, call));
        pending.inFlight = true;
        pending.destination.due--;
        if (pending.ordered()) {
            keyQueues.get(pending.message.key()).inFlight++;
        }
        actions.send(pending.message.id(), endpoint.name, call.timeoutMs, releasesConnections(now, endpoint));
    }

    /** The time-out of a call with one message more: the longest that one prefers and all permit. */
    private double callTimeout(double now, Pending pending, Endpoint endpoint, Call call) {
        double maxPermitted = Math.min(call.maxTimeoutMs, maxTimeout(now, pending));
        return Math.max(
                1,
                Math.max(
                        call.timeoutMs,
                        Math.min(preferredTimeout(pending, endpoint, call.messages + 1), maxPermitted)));
    }

    /** How long it is worth waiting for an answer. */
    private double preferredTimeout(Pending pending, Endpoint endpoint, int count) {
        double typicalCallMs =
                typicalMs(pending.destination, pending.classIndex) * (1 + EXTRA_MESSAGE_COST * (count - 1));
        double preferredMs =
                Math.max(MIN_TIMEOUT_MS, TIMEOUT_FACTOR * typicalCallMs * Math.max(1, endpoint.slowness / 2))
                        * Math.pow(BACKOFF_FACTOR, Math.min(pending.backoffs, endpoint.failuresInRow));
        // Where answers get lost at all endpoints, perhaps in this relay's own network, waiting for them only
        // fills the slots. If the endpoint is slow or fails in a row, the time-out stays long.
        return lostShare > LOST_THRESHOLD && endpoint.failuresInRow == 0 && endpoint.slowness < MILD_SLOWNESS
                ? preferredMs * LOST_TIMEOUT_FACTOR
                : preferredMs;
    }

    /** The longest time-out that a message permits: its time left, and a part of its key's window. */
    private double maxTimeout(double now, Pending pending) {
        double left = pending.message.deadlineAt() - now;
        if (pending.messageClass.effect() != Effect.KEYED) {
            return left;
        }
        return Math.min(
                left,
                Math.max(
                        WINDOW_SHARE * pending.messageClass.windowMs(),
                        OUTLIER_FACTOR * typicalMs(pending.destination, pending.classIndex)));
    }

    /** The time in which all calls but exceptionally slow ones are answered. */
    private double neededTimeout(Pending pending, int messages) {
        return OUTLIER_FACTOR
                * typicalMs(pending.destination, pending.classIndex)
                * (1 + EXTRA_MESSAGE_COST * (messages - 1));
    }

    private double jittered(double ms) {
        return ms * (1 - JITTER + 2 * JITTER * random.nextDouble());
    }

    private static long attemptKey(long id, int attempt) {
        return id << 20 | attempt;
    }
}
