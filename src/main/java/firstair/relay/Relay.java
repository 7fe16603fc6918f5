package firstair.relay;

import firstair.config.Values;
import firstair.control.Control;
import firstair.control.Controller;
import firstair.control.Controller.Effect;
import firstair.control.Controller.ListUpdate;
import firstair.control.Controller.MessageClass;
import firstair.control.Controller.Outcome;
import firstair.relay.HeldMessages.Held;
import firstair.relay.clients.BookingRequest;
import firstair.relay.clients.ClientFilter;
import firstair.relay.clients.RequestHandler;
import firstair.relay.clients.Submission;
import firstair.relay.discovery.EndpointList;
import firstair.relay.discovery.EndpointListWatch;
import firstair.relay.endpoints.Endpoints;
import firstair.relay.endpoints.Item;
import firstair.relay.fleet.FleetDriver;
import firstair.relay.net.Wire;
import firstair.relay.platform.Notices;
import firstair.relay.store.BootClock;
import firstair.relay.store.OwedNotice;
import firstair.relay.store.Store;
import firstair.relay.store.StoredMessage;
import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.glassfish.grizzly.Connection;

/**
 * One relay: hands events to the decisions, carries out what they ask for, and keeps what it owes. Everything
 * but {@link RequestHandler} runs on the loop's thread.
 */
public final class Relay implements Controller.Actions, RequestHandler, FleetPeers.Listener {
    private static final Logger LOG = Logger.getLogger(Relay.class.getName());
    private static final RateLimitedLogger FAULTS = new RateLimitedLogger(LOG, Level.SEVERE);
    private static final int ACCEPTED = 202;
    private static final int REFUSED = 503;
    private static final int UNKNOWN = 404;
    private static final int GIVEN_UP = 504;
    private static final int FAILED = 500;

    /** What the list tells of an endpoint: its destination, and the most messages of a call. */
    private record Place(int destination, int bundleMax) {}

    private record Send(long id, String endpoint, double timeoutMs, boolean last) {}

    private final Config config;
    private volatile Limits limits; // of them a running relay takes over what the schema says
    private final Loop loop;
    private final BootClock clock = BootClock.SYSTEM;
    private final Wire wire;
    private final HeldMessages held;
    private final Endpoints endpoints;
    private final EndpointListWatch watch;
    private final Notices notices;
    private final ClientFilter clients;
    private final Controller control;
    private final FleetPeers peers;
    private final Map<String, Integer> classes = new HashMap<>();
    private final Map<String, Place> places = new HashMap<>(); // endpoints by their ids
    private final Map<Integer, Double> destinations = new HashMap<>(); // when each last had an endpoint
    private final List<Send> sends = new ArrayList<>(); // asked for in this round
    private final RateLimitedLogger overdueLog = new RateLimitedLogger(LOG, Level.SEVERE);
    private final Object reloading = new Object();
    private final ConfigReloader reloader;
    private final CountDownLatch ended = new CountDownLatch(1);
    private Runnable lookForChanges = () -> {};
    private boolean looking; // for a new place of the platform, though it is not time for a sweep
    private boolean postponed; // the last round's calls, since it was held up
    private boolean listen;
    private boolean unlisted; // just started, and what discovery pushes has not come yet
    private Connection<?> listener;
    private Loop.Timer opening; // until clients may come
    private Loop.Timer listenAgain; // where the system had no socket for the listener
    private Values own; // in force
    private IOException failure;
    private String takenUp;
    private volatile boolean ready;
    private boolean closing; // draining: nothing new is taken, what is held goes on
    private boolean resting; // at the end of that: no further calls, the rest stays stored
    private boolean late; // it is time to go, whatever is out
    private boolean parting; // clients' connections are being ended
    private boolean parted; // all that they brought has been taken
    private volatile boolean over; // no round follows

    /** Makes what decides; a test puts a broken one in its place. */
    interface Decisions {
        Controller of(Controller.Settings settings, long seed, Controller.Actions actions);
    }

    /** Reads what the last process left and prepares everything but the clients' address. */
    public Relay(Config config) throws IOException {
        this(config, Control::new);
    }

    Relay(Config config, Decisions decisions) throws IOException {
        this.config = config;
        own = config.own();
        limits = config.limits().tuned(own);
        loop = new Loop(limits.roundMs(), limits.heldUpMs(), limits.catchUpMs());
        reloader = new ConfigReloader(() -> limits.reloadMs(), limits.sweepMs());
        List<MessageClass> all = config.settings().classes();
        for (int i = 0; i < all.size(); i++) {
            classes.put(all.get(i).name(), i);
        }
        Store store = Store.open(config.state(), limits.diskBytes(), clock);
        held = new HeldMessages(store);
        wire = new Wire(limits);
        endpoints = new Endpoints(wire, limits, loop, new Calls());
        notices = new Notices(
                wire, limits, loop, config.discovery(), new Random(config.seed()), store::over, this::platformLost);
        EndpointList known = config.known();
        watch = new EndpointListWatch(
                wire,
                limits,
                loop,
                config.discovery(),
                config.kinds(),
                config.zones(),
                known == null ? -1 : known.version(),
                this::news);
        clients = new ClientFilter(limits, this);
        control = decisions.of(config.settings(), config.seed(), this);
        boolean fleet = config.settings().limits().peers()
                || !own.text("fleet.name", "").isEmpty();
        peers = fleet ? FleetDriver.of(config, own, loop, this) : FleetPeers.NONE;
    }

    /** Serves until {@link #stop}. */
    public void run() throws IOException, InterruptedException {
        try {
            start();
            if (failure == null) {
                loop.run(this::round);
            }
            over = true;
            held.confirm(() -> false); // those that the last rounds left
            clients.refuse(); // what was read behind the last round has been taken by nobody
            watch.close();
            peers.close();
            wire.close();
            held.close();
            if (failure != null) {
                throw failure;
            }
            LOG.info("ended, " + held.size() + " messages kept for the next start");
        } finally {
            ended.countDown(); // also where the start failed: a signal's thread must not wait for ever
        }
    }

    private void start() throws IOException {
        if (config.known() != null) {
            news(ListUpdate.STORED, config.known());
        }
        peers.start();
        if (!config.settings().askForList()) {
            // Nobody asks for a list that is pushed, and here it comes by a watch alone. What it holds counts from our
            // first moment on: before it has come we call nobody, unless it takes too long.
            listen = true;
            unlisted = true;
            loop.after(limits.listWaitMs(), () -> unlisted = false);
        }
        resume();
        round();
        loop.after(limits.sweepMs(), this::sweep);
        takenUp = held.size() + " messages and " + notices.owed() + " notices taken up again";
        if (!unlisted) {
            open();
        } else {
            opening = loop.after(limits.openMs(), this::open);
        }
    }

    private void open() {
        opening = null;
        try {
            listener = wire.listen(config.listen(), clients, clients::stays);
        } catch (IOException e) {
            if (e instanceof BindException || loop.now() > limits.listenMs()) {
                failure = e;
                loop.end();
            } else {
                FAULTS.log("cannot listen, trying again: " + e.getMessage());
                listenAgain = loop.after(limits.sweepMs(), this::open);
            }
            return;
        }
        ready = true;
        InetSocketAddress bound = (InetSocketAddress) listener.getLocalAddress();
        String at = HostPort.of(new InetSocketAddress(bound.getAddress().getHostAddress(), bound.getPort()));
        LOG.info("relay " + config.name() + " ready at " + at + ", " + takenUp);
    }

    /** Where clients reach it, once it is ready. */
    InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalAddress();
    }

    /** Ends the relay in order: for a signal's thread, which waits here until that is done. */
    public void stop() {
        loop.post(this::drain);
        try {
            ended.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Reads the configuration again and follows discovery to where it is now: for a signal's thread. What was taken
     * on is not touched. A file that cannot be used may be one that is being written: it is read again for a little.
     * One that stays so changes nothing; what else a usable one changes waits for the next start.
     */
    public void reload(Supplier<Config> read, Supplier<Values> ours) {
        synchronized (reloading) { // the last of several signals must win
            reloader.until(read, next -> loop.post(() -> moved(next)), "configuration");
            reloader.until(
                    ours, next -> loop.post(() -> tuned(next)), "settings"); // behind it: discovery has moved by now
        }
    }

    /** Takes over what a running relay can of settings of ours, and tells what waits for the next start. */
    private void tuned(Values next) {
        if (next.isEmpty() && own.isEmpty()) {
            return;
        }
        TunableSettings.changes(own, next).forEach(LOG::info);
        Limits all = config.limits().tuned(next);
        notices.tune(all.notices());
        limits = limits.reloaded(all);
        own = next;
    }

    private void moved(Config next) {
        if (!next.limits().equals(config.limits())
                || !next.settings().equals(config.settings())
                || !next.listen().equals(config.listen())) {
            LOG.warning("configuration read again: limits, settings and listen change with the next start only");
        }
        LOG.info("configuration read again, discovery at " + HostPort.of(next.discovery()));
        loop.post(() ->
                watch.setAddress(next.discovery())); // by itself: a fault in one must not leave both at the old place
        notices.move(next.discovery());
    }

    // ---- start and end ----

    /** What the last process had not ended: what is owed by now, and what goes on with its history. */
    private void resume() {
        double now = loop.now();
        RateLimitedLogger unknown = new RateLimitedLogger(LOG, Level.WARNING); // a line for all of them
        double graceUntil = now + limits.notices().returnMs();
        long bootNow = clock.nowMs();
        for (Store.Open o : held.left()) {
            StoredMessage t = o.taken();
            if (o.owed() != null) {
                notices.add(t.id(), t.requestId(), o.owed(), graceUntil);
                continue;
            }
            Integer type = classes.get(t.className());
            Held h = held.resume(t, now + (t.deadlineAt() - bootNow), graceUntil);
            if (type == null) {
                unknown.log("class " + t.className() + " is no longer known, its messages are given up");
                giveUp(t.id());
                continue;
            }
            List<Controller.EarlierAttempt> tried = o.tries().stream()
                    .map(x -> new Controller.EarlierAttempt(x.endpoint(), now + (x.sentAt() - bootNow), x.maybeRan()))
                    .toList();
            control.accepted(
                    now,
                    new Controller.Message(
                            t.id(), type, t.destination(), t.key(), h.deadlineAt, 0, t.again(), t.fromDead(), tried));
            bind(t);
        }
    }

    /** What binds a held message beyond its class. */
    private void bind(StoredMessage t) {
        if (t.tenant() != null || t.booking() != null) {
            FleetPeers.Admission a = peers.terms(t.tenant(), t.className(), t.destination(), t.booking());
            control.restrict(loop.now(), t.id(), a.zones(), a.lane());
        }
    }

    private void drain() {
        LOG.info("draining, " + held.size() + " messages held");
        peers.leave();
        loop.after(limits.drainAcceptMs(), this::stopListening);
        // What is held would wait for the next process, seconds from now: it is sent for as long as it can be answered.
        loop.after(limits.drainCallsMs(), () -> resting = true);
        loop.after(limits.drainMs(), () -> {
            resting = true;
            late = true;
            loop.after(limits.answerMs(), loop::end); // whatever becomes of the clients
        });
    }

    /**
     * Takes no further connection, and only then ends those that clients have: they come again at once, and whom the
     * system takes by then for a listener that nobody serves any more is reset without an answer. New connections are
     * refused a little before the listener closes, so that none is completed between our last accept and the close.
     */
    private void stopListening() {
        ready = false;
        for (Loop.Timer early : Arrays.asList(opening, listenAgain)) { // told to end before clients could come
            if (early != null) {
                early.cancel();
            }
        }
        opening = null;
        if (listener == null) {
            drainClients();
        } else {
            Wire.refuseNew(listener);
            loop.after(
                    limits.handshakeMs(),
                    () -> wire.unlisten(
                            listener, () -> loop.post(() -> loop.after(limits.restMs(), this::drainClients))));
        }
    }

    private void drainClients() {
        closing = true;
        clients.drain();
    }

    /**
     * Ends the loop, but first the clients' connections: a request that comes in between, or that has been read and
     * waits behind what this round does, would find nobody. What they still bring is taken as before.
     */
    private void part() {
        if (!parting) {
            parting = true;
            clients.end(() -> loop.post(() -> parted = true));
        } else if (parted && !clients.busy()) { // who has been answered has seen it, too
            loop.end();
        }
    }

    /**
     * Where nobody signals that the configuration has changed: a short task that looks whether it has, run with each
     * sweep, and more often while a notice waits for a platform that cannot be reached. To be told before {@link #run}.
     */
    public void lookForChanges(Runnable task) {
        lookForChanges = task;
    }

    /** The platform may have moved, which is told by a change of the configuration, and notices have little time. */
    private void platformLost() {
        if (looking || !notices.pressing()) {
            return;
        }
        looking = true;
        lookForChanges.run();
        loop.after(limits.lookMs(), () -> {
            looking = false;
            platformLost();
        });
    }

    private void sweep() {
        loop.after(limits.sweepMs(), this::sweep); // first, so that a fault in one sweep is not the end of all
        lookForChanges.run();
        clients.sweep();
        endpoints.sweep();
        notices.sweep();
        endOverdue();
    }

    /**
     * Decisions and peers end every message before its time. Should a fault of ours lose one between them, its
     * client waits for an end that nobody would tell: it is given up, which promises nothing about its effect.
     */
    private void endOverdue() {
        double before = loop.now() - limits.overdueMs();
        if (resting) {
            return; // the next start's
        }
        List<Held> overdue = held.all().stream()
                .filter(h -> h.deadlineAt < before && h.graceUntil < before)
                .toList();
        if (overdue.isEmpty()) {
            return;
        }
        overdueLog.log(overdue.size() + " messages without an end " + Math.round(limits.overdueMs())
                + " ms after their time, the first is " + overdue.get(0).taken.requestId() + "; given up");
        for (Held h : overdue) {
            control.withdrawn(loop.now(), h.taken.id());
            giveUp(h.taken.id());
        }
    }

    // ---- events ----

    @Override
    public double now() {
        return loop.now();
    }

    @Override
    public boolean ready() {
        return ready;
    }

    @Override
    public Map<String, Integer> classes() {
        return classes;
    }

    @Override
    public boolean keyed(int messageClass) {
        return config.settings().classes().get(messageClass).effect() == Effect.KEYED;
    }

    @Override
    public void handIn(Submission h) {
        if (over) {
            h.answer(REFUSED, 0);
            return;
        }
        loop.post(() -> {
            try {
                take(h);
            } catch (RuntimeException e) {
                FAULTS.log("fault while taking a message", e);
                untaken(h);
            }
        });
    }

    /** Nothing has been sent for it yet: its client is refused, and nobody keeps a part of it. */
    private void untaken(Submission h) {
        Held known = held.of(h.requestId());
        if (known != null && known.client == h) {
            held.untake(known.taken.id());
            control.withdrawn(loop.now(), known.taken.id());
        }
        h.answer(REFUSED, 0);
    }

    private void take(Submission h) {
        if (h.gone()) {
            h.answer(REFUSED, 0); // its client may hand it in elsewhere; one that has only ended its sending hears it
            return;
        }
        Held known = held.of(h.requestId());
        if (known != null) {
            if (known.client == null) {
                h.answer(ACCEPTED, 0); // the client did not hear it
            } else {
                loop.post(() -> take(h)); // not stored yet: its fate is known after this round
            }
            return;
        }
        if (!destinations.containsKey(h.destination())) {
            // Who lists no such destination cannot deliver to it either: another relay, or a later moment, may.
            h.answer(watch.current() ? UNKNOWN : REFUSED, 0);
            return;
        }
        if (!held.fits(h.body().length)) {
            h.answer(REFUSED, 0);
            return;
        }
        double now = loop.now();
        MessageClass c = config.settings().classes().get(h.messageClass());
        FleetPeers.Admission may = peers.admit(h.tenant(), c.name(), h.destination(), h.booking());
        if (may.status() != 0) {
            h.answer(may.status(), may.afterMs(), may.reason());
            return;
        }
        StoredMessage t = new StoredMessage(
                held.nextId(),
                h.requestId(),
                c.name(),
                h.destination(),
                h.key(),
                clock.nowMs() + Math.round(h.deadlineAt() - now),
                h.again(),
                h.fromDead(),
                h.body(),
                peers.talk() ? h.tenant() : null,
                peers.talk() ? h.booking() : null);
        held.take(t, h);
        control.accepted(
                now,
                new Controller.Message(
                        t.id(),
                        h.messageClass(),
                        t.destination(),
                        t.key(),
                        h.deadlineAt(),
                        0,
                        h.again(),
                        h.fromDead(),
                        List.of()));
        if (may.binds()) {
            control.restrict(now, t.id(), may.zones(), may.lane());
        }
        peers.taken(t.destination());
    }

    private void trace(Held h, String what) {
        if (LOG.isLoggable(Level.FINE)) {
            LOG.fine("message " + h.taken.requestId() + ": " + what + ", " + Math.round(h.deadlineAt - loop.now())
                    + " ms left");
        }
    }

    private void ended(Outcome o) {
        Held h = held.get(o.id());
        if (h != null) {
            trace(h, "attempt " + o.attempt() + " at " + o.endpoint() + " ended with " + o.result());
        }
        if (h != null && o.result().counts()) {
            peers.ended(h.taken.destination(), o);
        }
        if (o.result().counts()) {
            held.ended(o, clock.nowMs());
        }
        control.ended(loop.now(), o);
    }

    /** What calls tell, which the decisions and the store have to hear. */
    private final class Calls implements Endpoints.Listener {
        @Override
        public void ended(Outcome o) {
            Relay.this.ended(o);
        }

        @Override
        public void onRetryAfter(double at, String endpoint, long id, int attempt, double waitMs) {
            control.waitReceived(at, endpoint, id, attempt, waitMs);
        }

        @Override
        public boolean sharesRetryAfter(String endpoint, String other) {
            Place place = places.get(endpoint);
            Place otherPlace = places.get(other);
            return endpoint.equals(other)
                    || place != null && otherPlace != null && place.destination() == otherPlace.destination();
        }

        @Override
        public void onNotWritten(long id, int attempt) {
            held.unwritten(id, attempt);
        }
    }

    private void news(ListUpdate news, EndpointList listed) {
        if (listed == null) {
            unlisted = false; // what discovery has cannot be had for now
            control.list(loop.now(), news, List.of());
            return;
        }
        unlisted &= news == ListUpdate.STORED;
        double now = loop.now();
        Set<String> gone = new HashSet<>(news == ListUpdate.CHANGES ? Set.of() : places.keySet());
        places.values().forEach(p -> destinations.put(p.destination(), now));
        endpoints.updateAddresses(listed.addresses());
        List<Controller.Kind> kinds = config.settings().kinds();
        for (Controller.Entry e : listed.entries()) {
            if (e.listing() == Controller.Listing.LEFT) {
                gone.add(e.endpoint());
                continue;
            }
            gone.remove(e.endpoint());
            destinations.put(e.destination(), now);
            places.put(
                    e.endpoint(),
                    new Place(
                            e.destination(),
                            kinds.isEmpty()
                                    ? 1
                                    : kinds.get(Math.min(e.kind(), kinds.size() - 1))
                                            .maxBatch()));
        }
        // Endpoints and their addresses are ever new: nothing is kept of those that have left.
        endpoints.removeEndpoints(gone);
        places.keySet().removeAll(gone);
        destinations.values().removeIf(at -> now - at > limits.emptyMs());
        control.list(now, news, listed.entries());
        peers.listed(destinations.keySet(), places.keySet());
    }

    // ---- the round ----

    private void round() {
        double begunAt = loop.now();
        peers.refresh();
        if (resting) {
            endpoints.withhold(); // the next process finds them untried
        } else {
            endpoints.recheckConnected((id, attempt) -> control.mayGo(loop.now(), id, attempt));
        }
        if (!resting && !unlisted) {
            control.decide(loop.now());
        }
        held.note();
        callDecided();
        // What is noted may have run, and what is not surely has not: a call that has no connection yet is not.
        long bootNow = clock.nowMs();
        endpoints.forEachReady((endpoint, i) -> {
            if (held.get(i.id()) != null) {
                held.called(i.id(), i.attempt(), endpoint, bootNow);
            }
        });
        boolean written = held.flush() || unwritten();
        notices.flush(); // stored by now; they have the least time of all that a round does
        if (!held.confirm(heldUpFromNow())) {
            loop.post(() -> {}); // the other clients are told in the next round
        }
        write(written, begunAt);
        if (opening != null && !unlisted) {
            opening.cancel();
            open();
        }
        boolean nothingLeft = resting || held.isEmpty() && notices.owed() == 0;
        if (late || closing && nothingLeft && endpoints.callsInProgress() == 0 && !clients.busy()) {
            part();
        }
        if (listen) {
            listen = false;
            watch.listen();
        }
    }

    /** Begins the calls that the decisions of this round have asked for; none is written yet. */
    private void callDecided() {
        CallBatches batches = new CallBatches(this::mostItems, limits.maxBody(), this::call);
        for (Send s : sends) {
            Held h = held.get(s.id());
            if (h == null) {
                continue; // a fault has ended it meanwhile
            }
            int attempt = held.tries(s.id());
            batches.add(s.endpoint(), item(s, h, attempt));
            peers.called(h.taken.destination(), attempt > 0);
        }
        sends.clear();
        batches.flush();
    }

    private static Item item(Send s, Held h, int attempt) {
        return new Item(
                s.id(),
                attempt,
                h.taken.requestId(),
                h.taken.key(),
                h.taken.body(),
                s.timeoutMs(),
                h.deadlineAt,
                s.last());
    }

    /**
     * Writes the calls that this round has decided, unless they are old by now: where the store or the system has held
     * the round up, peers may have told a wait or a drain meanwhile. That is read first, and the calls are asked about
     * in the next round. Where every round is held up they go all the same, but for those that a wait may bind which
     * has been read by then.
     */
    private void write(boolean written, double begunAt) {
        postponed = !postponed && loop.heldUpSince(begunAt);
        if (postponed) {
            endpoints.postpone();
            loop.catchUp();
        } else {
            boolean all = endpoints.write(id -> written && held.get(id) != null, heldUpFromNow());
            if (!all) {
                loop.catchUp(); // what is left is as old as what follows a round that was held up
            }
        }
    }

    /** Whether what begins now is held up, each time that it is asked. */
    private BooleanSupplier heldUpFromNow() {
        double begunAt = loop.now();
        return () -> loop.heldUpSince(begunAt);
    }

    /**
     * The store does not take what this round brought: what came in it is refused, then it is tried again. Where a part
     * of a write may have stayed in the file, the next process might send it, and a refusal would promise too much.
     * Calls that it could not note are not made: after a restart nobody would know of them.
     */
    private boolean unwritten() {
        for (Held h : held.fresh()) {
            control.withdrawn(loop.now(), h.taken.id());
            held.over(h.taken.id());
            h.client.answer(held.certain() ? REFUSED : FAILED, 0);
        }
        return held.flush();
    }

    private int mostItems(String endpoint) {
        Place place = places.get(endpoint);
        return place == null ? 1 : place.bundleMax();
    }

    /** A fault under one call must not take the calls behind it along, nor leave its own messages without an end. */
    private void call(String endpoint, List<Item> batch) {
        try {
            endpoints.call(endpoint, batch);
        } catch (RuntimeException e) {
            FAULTS.log("fault under a call", e);
        }
    }

    // ---- what the decisions ask for ----

    @Override
    public void send(long id, String endpoint, double timeoutMs, boolean last) {
        sends.add(new Send(id, endpoint, timeoutMs, last));
    }

    @Override
    public void cancel(long id, int attempt) {
        loop.post(() -> endpoints.cancel(id, attempt));
    }

    @Override
    public void refuse(long id, double afterMs) {
        end(id, REFUSED, new OwedNotice(true, afterMs));
    }

    @Override
    public void giveUp(long id) {
        end(id, GIVEN_UP, new OwedNotice(false, 0));
    }

    /** A message that its client has not been told of yet is answered there, any other one by a notice. */
    private void end(long id, int status, OwedNotice notice) {
        Held h = held.release(id);
        if (h == null) {
            return;
        }
        trace(h, "over with " + status);
        held.confirm(h); // it is stored by now, so it is taken before it is over
        if (h.client != null) {
            h.client.answer(status, notice.afterMs());
            h.client = null;
        } else {
            held.owed(id, notice);
            double dueAt = Math.max(h.deadlineAt + limits.notices().dueMs(), h.graceUntil);
            notices.add(id, h.taken.requestId(), notice, dueAt);
        }
    }

    @Override
    public void closeIdle(String endpoint) {
        endpoints.closeIdle(endpoint);
    }

    @Override
    public void wake(double inMs) {
        loop.after(inMs, () -> control.timer(loop.now()));
    }

    @Override
    public void watchList() {
        listen = true;
    }

    @Override
    public void report(String text) {
        LOG.info(text);
    }

    // ---- what the fleet tells ----

    @Override
    public void share(int destination, Controller.Share share) {
        control.share(loop.now(), destination, share);
    }

    @Override
    public void warned(String endpoint, double waitUntil, double avoidUntil) {
        control.peerWarning(loop.now(), endpoint, waitUntil, avoidUntil);
    }

    @Override
    public void confine() {
        held.all().forEach(h -> bind(h.taken));
    }

    @Override
    public boolean asks() {
        return peers.books();
    }

    @Override
    public void ask(BookingRequest ask) {
        loop.post(() -> peers.handleBooking(ask));
    }
}
