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
import firstair.relay.clients.ResponseStatus;
import firstair.relay.clients.Submission;
import firstair.relay.discovery.EndpointList;
import firstair.relay.discovery.EndpointListWatch;
import firstair.relay.endpoints.Endpoints;
import firstair.relay.endpoints.Item;
import firstair.relay.fleet.FleetDriver;
import firstair.relay.net.NetworkTransport;
import firstair.relay.platform.Notices;
import firstair.relay.store.BootClock;
import firstair.relay.store.OpenMessage;
import firstair.relay.store.PendingNotice;
import firstair.relay.store.Store;
import firstair.relay.store.StoredMessage;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
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

/**
 * One relay: passes events to the controller, carries out its actions, and stores what must survive a restart.
 * Everything runs on the loop's thread, except the methods of {@link RequestHandler} and those documented otherwise.
 */
public final class Relay implements Controller.Actions, RequestHandler, FleetPeers.Listener {
    private static final Logger LOG = Logger.getLogger(Relay.class.getName());
    private static final RateLimitedLogger FAULTS = new RateLimitedLogger(LOG, Level.SEVERE);

    /** An endpoint on the list: its destination and zone, and the maximum number of messages per call. */
    private record ListedEndpoint(int destination, int zone, int maxBatch) {}

    /** A call that the controller has requested for a message. */
    private record RequestedSend(long id, String endpoint, double timeoutMs, boolean last) {}

    private final Config config;
    private volatile Limits limits; // some of them can change at a reload
    private final Loop loop;
    private final BootClock clock = BootClock.SYSTEM;
    private final NetworkTransport wire;
    private final HeldMessages messages;
    private final Endpoints endpoints;
    private final EndpointListWatch watch;
    private final Notices notices;
    private final UnstoredNotices unstoredNotices;
    private final ClientFilter clients;
    private final ClientListener listener;
    private final Controller controller;
    private final FleetPeers peers;
    private final Map<String, Integer> classNumbers = new HashMap<>(); // by class name
    private final Map<String, ListedEndpoint> listedEndpoints = new HashMap<>(); // by id
    private final Map<Integer, Double> lastListedAt = new HashMap<>(); // when each destination last had an endpoint
    private final List<RequestedSend> requestedSends = new ArrayList<>(); // in this round
    private final RateLimitedLogger overdueLog = new RateLimitedLogger(LOG, Level.SEVERE);
    private final Object reloadLock = new Object();
    private final ConfigReloader reloader;
    private final CountDownLatch terminated = new CountDownLatch(1);
    private Runnable configCheck = () -> {};
    private boolean configCheckScheduled; // for a new address of the platform, sooner than the next sweep
    private boolean postponed; // the calls of the last round, because it was delayed
    private boolean watchRequested;
    private boolean callsAwaitList; // just started, and discovery has not pushed its list yet
    private Values localSettings; // in effect
    private String resumed; // counts of what was resumed at the start, for the log
    private boolean clientsDraining; // no new connections or messages; held messages are still sent
    private boolean callsStopped; // near the end of the drain: no further calls, the rest stays stored
    private boolean drainTimedOut; // the process must end, whatever is in progress
    private boolean closingClients; // clients' connections are being closed
    private boolean clientsClosed; // everything that they had sent has been handled
    private volatile boolean ended; // no further round

    /** Creates the controller; tests inject a faulty one. */
    interface ControllerFactory {
        Controller of(Controller.Settings settings, long seed, Controller.Actions actions);
    }

    /**
     * Opens the folder for persistent state and prepares everything except the address for clients.
     *
     * @throws IOException     if the folder or an address of the fleet cannot be used
     * @throws ConfigException if the fleet's settings are invalid
     */
    public Relay(Config config) throws IOException {
        this(config, Control::new);
    }

    Relay(Config config, ControllerFactory controllers) throws IOException {
        this.config = config;
        localSettings = config.localSettings();
        limits = config.limits().withLocalSettings(localSettings);
        loop = new Loop(limits.roundMs(), limits.heldUpMs(), limits.catchUpMs());
        reloader = new ConfigReloader(() -> limits.reloadMs(), limits.sweepMs());
        List<MessageClass> classes = config.settings().classes();
        for (int i = 0; i < classes.size(); i++) {
            classNumbers.put(classes.get(i).name(), i);
        }
        Store store = Store.open(config.state(), limits.diskBytes(), clock);
        messages = new HeldMessages(store);
        wire = new NetworkTransport(limits);
        endpoints = new Endpoints(wire, limits, loop, new CallListener());
        notices = new Notices(
                wire, limits, loop, config.discovery(), new Random(config.seed()), store::complete, this::platformLost);
        unstoredNotices = new UnstoredNotices(loop);
        EndpointList known = config.knownEndpoints();
        watch = new EndpointListWatch(
                wire,
                limits,
                loop,
                config.discovery(),
                config.kinds(),
                config.zones(),
                known == null ? -1 : known.version(),
                this::listUpdated);
        clients = new ClientFilter(limits, this);
        listener = new ClientListener(wire, limits, loop, config.listen(), clients, this::logReady);
        controller = controllers.of(config.settings(), config.seed(), this);
        boolean fleet = config.settings().limits().peers()
                || !localSettings.text("fleet.name", "").isEmpty();
        peers = fleet ? FleetDriver.of(config, localSettings, loop, this) : FleetPeers.NONE;
    }

    /**
     * Serves until {@link #stop}, on the calling thread.
     *
     * @throws IOException if the address for clients cannot be used, or closing the relay fails
     */
    public void run() throws IOException, InterruptedException {
        try {
            start();
            if (listener.failure() == null) {
                loop.run(this::round);
            }
            ended = true;
            messages.answerAccepted(() -> false); // clients that the last rounds left unanswered
            clients.refusePending(); // requests that were read after the last round were not handled
            watch.close();
            peers.close();
            wire.close();
            messages.close();
            if (listener.failure() != null) {
                throw listener.failure();
            }
            LOG.info("ended, " + messages.size() + " messages kept for the next start");
        } finally {
            terminated.countDown(); // also after a failed start: the signal handler's thread must not wait forever
        }
    }

    private void start() throws IOException {
        boolean listPushed = !config.settings().askForList();
        if (config.knownEndpoints() != null) {
            // A list that is pushed applies from the start on: no calls are made before it has arrived.
            listUpdated(listPushed ? ListUpdate.UNCONFIRMED : ListUpdate.STORED, config.knownEndpoints());
        }
        peers.start();
        if (listPushed) {
            // The controller requests a list that is pushed only after a failure, and only a watch delivers it.
            watch.requireList();
            watchRequested = true;
            callsAwaitList = true;
        }
        resumePending();
        round();
        loop.after(limits.sweepMs(), this::sweep);
        resumed = messages.size() + " messages and " + notices.pending() + " notices taken up again";
        if (listPushed) {
            listener.openAfter(limits.openMs());
        } else {
            listener.open();
        }
    }

    private void logReady(InetSocketAddress bound) {
        String address =
                HostPort.format(new InetSocketAddress(bound.getAddress().getHostAddress(), bound.getPort()));
        LOG.info("relay " + config.name() + " ready at " + address + ", " + resumed);
    }

    /** The address for clients, once the relay is ready. */
    InetSocketAddress address() {
        return listener.address();
    }

    /** Drains and ends the relay. Called by a signal handler's thread, and blocks it until the relay has ended. */
    public void stop() {
        loop.post(this::drain);
        try {
            terminated.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Reads the configuration again and switches to the current address of discovery. Called by a signal handler's
     * thread, which it blocks. Held messages are not affected. An invalid file may still be in the middle of being
     * written, so reading is retried for a limited time; a file that stays invalid changes nothing. Other changes of a
     * valid one take effect at the next start.
     *
     * @param readConfig   reads the configuration
     * @param readSettings reads the local settings
     */
    public void reload(Supplier<Config> readConfig, Supplier<Values> readSettings) {
        synchronized (reloadLock) { // the last of several signals must win
            reloader.reload(readConfig, next -> loop.post(() -> applyConfig(next)), "configuration");
            reloader.reload(
                    readSettings,
                    next -> loop.post(() -> applyLocalSettings(next)),
                    "settings"); // second, so that invalid settings don't delay the switch to discovery
        }
    }

    /** Applies the local settings that can change while the relay runs, and logs all changes. */
    private void applyLocalSettings(Values next) {
        if (next.isEmpty() && localSettings.isEmpty()) {
            return;
        }
        TunableSettings.changes(localSettings, next).forEach(LOG::info);
        Limits nextLimits = config.limits().withLocalSettings(next);
        notices.setLimits(nextLimits.notices());
        limits = limits.withReloadable(nextLimits);
        localSettings = next;
    }

    /** Switches to the address of discovery in a configuration that was read again. */
    private void applyConfig(Config next) {
        if (!next.limits().equals(config.limits())
                || !next.settings().equals(config.settings())
                || !next.listen().equals(config.listen())) {
            LOG.warning("configuration read again: limits, settings and listen change with the next start only");
        }
        LOG.info("configuration read again, discovery at " + HostPort.format(next.discovery()));
        // Posted separately, so that an exception in one switch doesn't keep both at the old address.
        loop.post(() -> watch.setAddress(next.discovery()));
        notices.setAddress(next.discovery());
    }

    // ---- start and end ----

    /** Resumes what was pending when the last process ended: notices, and messages with their attempts so far. */
    private void resumePending() {
        double now = loop.now();
        RateLimitedLogger unknownClassLog = new RateLimitedLogger(LOG, Level.WARNING); // one line for all classes
        double graceUntil = now + limits.notices().returnMs();
        long bootNow = clock.nowMs();
        for (OpenMessage pending : messages.pendingAtStart()) {
            StoredMessage message = pending.message();
            if (pending.pendingNotice() != null) {
                notices.add(message.id(), message.requestId(), pending.pendingNotice(), graceUntil);
                continue;
            }
            Integer classNumber = classNumbers.get(message.className());
            Held held = messages.resume(message, now + (message.deadlineAt() - bootNow), graceUntil);
            if (classNumber == null) {
                unknownClassLog.log("class " + message.className() + " is no longer known, its messages are given up");
                giveUp(message.id());
                continue;
            }
            List<Controller.EarlierAttempt> earlierAttempts = pending.attempts().stream()
                    .map(attempt -> new Controller.EarlierAttempt(
                            attempt.endpoint(),
                            zoneNumber(attempt.zone()),
                            now + (attempt.sentAt() - bootNow),
                            attempt.maybeRan()))
                    .toList();
            controller.accepted(
                    now,
                    new Controller.Message(
                            message.id(),
                            classNumber,
                            message.destination(),
                            message.key(),
                            held.deadlineAt,
                            0,
                            message.resubmitted(),
                            message.fromCrashedRelay(),
                            earlierAttempts,
                            Item.bundledBytes(message)));
            applyRestrictions(message);
        }
    }

    private int zoneNumber(String stored) {
        return stored == null
                ? Controller.EarlierAttempt.UNKNOWN_ZONE
                : config.zones().number(stored);
    }

    /** Applies the restrictions of a held message beyond its class. */
    private void applyRestrictions(StoredMessage message) {
        if (message.tenant() != null || message.booking() != null) {
            FleetPeers.Admission terms =
                    peers.restrictions(message.tenant(), message.className(), message.destination(), message.booking());
            controller.restrict(loop.now(), message.id(), terms.zones(), terms.bookedCapacity());
        }
    }

    private void drain() {
        LOG.info("draining, " + messages.size() + " messages held");
        peers.leave();
        loop.after(limits.drainAcceptMs(), this::stopListening);
        // Held messages would wait seconds for the next process, so they are sent while calls can still be answered.
        loop.after(limits.drainCallsMs(), () -> callsStopped = true);
        loop.after(limits.drainMs(), () -> {
            callsStopped = true;
            drainTimedOut = true;
            loop.after(limits.answerMs(), loop::end); // even if clients' connections are still open
        });
    }

    /**
     * Stops accepting connections, and closes clients' connections only afterwards: clients reconnect at once, and
     * connections that the system completes for a listener that is no longer served would be reset without an answer.
     */
    private void stopListening() {
        listener.close(this::drainClients);
    }

    private void drainClients() {
        clientsDraining = true;
        clients.drain();
    }

    /**
     * Closes the clients' connections, and ends the loop after that: otherwise a request that arrives in between, or
     * that has been read and waits for the end of this round, would not be handled. What clients still send is handled
     * as before.
     */
    private void closeClients() {
        if (!closingClients) {
            closingClients = true;
            clients.end(() -> loop.post(() -> clientsClosed = true));
        } else if (clientsClosed && !clients.busy()) { // all answers have been sent, too
            loop.end();
        }
    }

    /**
     * Sets a task that checks whether the configuration has changed, for systems that send no signal when it does. It
     * must not block. It runs with each sweep, and more often while a notice waits for a platform that cannot be
     * reached. Must be called before {@link #run}.
     */
    public void setConfigCheck(Runnable task) {
        configCheck = task;
    }

    /** The platform may have a new address, which a changed configuration contains, and notices have little time. */
    private void platformLost() {
        if (configCheckScheduled || !notices.failingWithUrgentNotices()) {
            return;
        }
        configCheckScheduled = true;
        configCheck.run();
        loop.after(limits.lookMs(), () -> {
            configCheckScheduled = false;
            platformLost();
        });
    }

    private void sweep() {
        loop.after(limits.sweepMs(), this::sweep); // first, so that an exception in one sweep doesn't prevent the next
        configCheck.run();
        clients.sweep();
        endpoints.sweep();
        notices.logOverdue();
        giveUpOverdue();
    }

    /**
     * The controller and the endpoints end every message before its deadline. Should a bug lose one, its client would
     * never get a final answer: the message is given up, which promises nothing about its effect.
     */
    private void giveUpOverdue() {
        double before = loop.now() - limits.overdueMs();
        if (callsStopped) {
            return; // left to the next start
        }
        List<Held> overdue = messages.all().stream()
                .filter(held -> held.deadlineAt < before && held.graceUntil < before)
                .toList();
        if (overdue.isEmpty()) {
            return;
        }
        overdueLog.log(overdue.size() + " messages without an end " + Math.round(limits.overdueMs())
                + " ms after their time, the first is " + overdue.get(0).message.requestId() + "; given up");
        for (Held held : overdue) {
            controller.withdrawn(loop.now(), held.message.id());
            giveUp(held.message.id());
        }
    }

    // ---- events ----

    @Override
    public double now() {
        return loop.now();
    }

    @Override
    public boolean ready() {
        return listener.ready();
    }

    @Override
    public Map<String, Integer> classes() {
        return classNumbers;
    }

    @Override
    public boolean keyed(int messageClass) {
        return config.settings().classes().get(messageClass).effect() == Effect.KEYED;
    }

    @Override
    public void submit(Submission submission) {
        if (ended) {
            submission.respond(ResponseStatus.REFUSED, 0);
            return;
        }
        loop.post(() -> {
            try {
                accept(submission);
            } catch (RuntimeException e) {
                FAULTS.log("fault while accepting a message", e);
                undoAccept(submission);
            }
        });
    }

    /** Refuses a submission whose acceptance failed, and removes what is left of it: nothing has been sent yet. */
    private void undoAccept(Submission submission) {
        Held known = messages.byRequestId(submission.requestId());
        if (known != null && known.client == submission) {
            messages.undoAccept(known.message.id());
            controller.withdrawn(loop.now(), known.message.id());
        }
        submission.respond(ResponseStatus.REFUSED, 0);
    }

    private void accept(Submission submission) {
        if (submission.clientGone()) {
            // Its client may submit it elsewhere; a client that has only closed its sending side gets the answer.
            submission.respond(ResponseStatus.REFUSED, 0);
            return;
        }
        Held known = messages.byRequestId(submission.requestId());
        if (known != null) {
            if (known.client == null) {
                submission.respond(ResponseStatus.ACCEPTED, 0); // a repeat: the client did not get the first answer
            } else {
                loop.post(() -> accept(submission)); // not stored yet: its answer is known after this round
            }
            return;
        }
        Integer endedStatus = messages.endedStatus(submission.requestId());
        if (endedStatus != null) {
            submission.respond(endedStatus, 0); // its client left without the answer and sends it again
            return;
        }
        if (!lastListedAt.containsKey(submission.destination())) {
            // A destination that is not on the list cannot be reached: another relay, or a later list, may have it.
            submission.respond(watch.current() ? ResponseStatus.UNKNOWN_DESTINATION : ResponseStatus.REFUSED, 0);
            return;
        }
        double now = loop.now();
        MessageClass messageClass = config.settings().classes().get(submission.messageClass());
        StoredMessage message = storedMessage(submission, messageClass, now);
        if (!messages.fits(message)) {
            submission.respond(ResponseStatus.REFUSED, 0);
            return;
        }
        FleetPeers.Admission admission =
                peers.admit(submission.tenant(), messageClass.name(), submission.destination(), submission.booking());
        if (admission.status() != 0) {
            submission.respond(admission.status(), admission.retryAfterMs(), admission.reason());
            return;
        }
        messages.accept(message, submission);
        controller.accepted(
                now,
                new Controller.Message(
                        message.id(),
                        submission.messageClass(),
                        message.destination(),
                        message.key(),
                        submission.deadlineAt(),
                        0,
                        submission.resubmitted(),
                        submission.fromCrashedRelay(),
                        List.of(),
                        Item.bundledBytes(message)));
        if (admission.restricts()) {
            controller.restrict(now, message.id(), admission.zones(), admission.bookedCapacity());
        }
        peers.accepted(message.destination());
    }

    private StoredMessage storedMessage(Submission submission, MessageClass messageClass, double now) {
        return new StoredMessage(
                messages.nextId(),
                submission.requestId(),
                messageClass.name(),
                submission.destination(),
                submission.key(),
                clock.nowMs() + Math.round(submission.deadlineAt() - now),
                submission.resubmitted(),
                submission.fromCrashedRelay(),
                submission.body(),
                peers.enabled() ? submission.tenant() : null,
                peers.enabled() ? submission.booking() : null);
    }

    private void trace(Held held, String event) {
        if (LOG.isLoggable(Level.FINE)) {
            LOG.fine("message " + held.message.requestId() + ": " + event + ", "
                    + Math.round(held.deadlineAt - loop.now()) + " ms left");
        }
    }

    private void attemptEnded(Outcome outcome) {
        Held held = messages.get(outcome.id());
        if (held != null) {
            trace(
                    held,
                    "attempt " + outcome.attempt() + " at " + outcome.endpoint() + " ended with " + outcome.result());
        }
        if (held != null && outcome.result().counts()) {
            peers.ended(held.message.destination(), outcome);
        }
        if (outcome.result().counts()) {
            messages.attemptEnded(outcome, zoneName(outcome.endpoint()), clock.nowMs());
        }
        controller.ended(loop.now(), outcome);
    }

    /** Passes the events of calls to the controller, the store and the fleet. */
    private final class CallListener implements Endpoints.Listener {
        @Override
        public void ended(Outcome outcome) {
            attemptEnded(outcome);
        }

        @Override
        public void onRetryAfter(double at, String endpoint, long id, int attempt, double waitMs) {
            controller.waitReceived(at, endpoint, id, attempt, waitMs);
        }

        @Override
        public boolean sharesRetryAfter(String endpoint, String other) {
            ListedEndpoint listed = listedEndpoints.get(endpoint);
            ListedEndpoint otherListed = listedEndpoints.get(other);
            return endpoint.equals(other)
                    || listed != null && otherListed != null && listed.destination() == otherListed.destination();
        }

        @Override
        public void onNotWritten(long id, int attempt) {
            messages.callNotWritten(id, attempt);
        }
    }

    private void listUpdated(ListUpdate update, EndpointList list) {
        if (list == null) {
            listener.requestOpen(); // discovery's list is not available for now
            controller.list(loop.now(), update, List.of());
            return;
        }
        double now = loop.now();
        if (callsAwaitList) {
            LOG.info("list of discovery, version " + list.version() + ", " + Math.round(now)
                    + " ms after the start: calls begin");
        }
        callsAwaitList = false;
        listener.requestOpen();
        Set<String> removed = new HashSet<>(update == ListUpdate.CHANGES ? Set.of() : listedEndpoints.keySet());
        listedEndpoints.values().forEach(listed -> lastListedAt.put(listed.destination(), now));
        endpoints.updateAddresses(list.addresses());
        List<Controller.Kind> kinds = config.settings().kinds();
        for (Controller.Entry entry : list.entries()) {
            if (entry.listing() == Controller.Listing.LEFT) {
                removed.add(entry.endpoint());
                continue;
            }
            removed.remove(entry.endpoint());
            lastListedAt.put(entry.destination(), now);
            listedEndpoints.put(
                    entry.endpoint(),
                    new ListedEndpoint(
                            entry.destination(),
                            entry.zone(),
                            kinds.isEmpty()
                                    ? 1
                                    : kinds.get(Math.min(entry.kind(), kinds.size() - 1))
                                            .maxBatch()));
        }
        // Endpoints and addresses change all the time: nothing is kept of those that have left the list.
        endpoints.removeEndpoints(removed);
        listedEndpoints.keySet().removeAll(removed);
        lastListedAt.values().removeIf(at -> now - at > limits.emptyMs());
        controller.list(now, update, list.entries());
        peers.listUpdated(lastListedAt.keySet(), listedEndpoints.keySet());
    }

    // ---- the round ----

    /** Ends a round of events: decides, stores, and then sends notices, answers and calls. */
    private void round() {
        double startedAt = loop.now();
        peers.refresh();
        if (callsStopped) {
            endpoints.withhold(); // the next process finds them without an attempt
        } else {
            endpoints.recheckConnected((id, attempt) -> controller.timeoutAtWrite(loop.now(), id, attempt));
        }
        if (!callsStopped) {
            controller.decide(loop.now());
        }
        messages.recordAccepted();
        startCalls();
        // A recorded call may have run, and one that is not recorded certainly has not: calls that have no connection
        // yet are not recorded.
        long bootNow = clock.nowMs();
        endpoints.forEachReady((endpoint, item) -> {
            if (messages.get(item.id()) != null) {
                messages.recordCall(item.id(), item.attempt(), endpoint, zoneName(endpoint), bootNow);
            }
        });
        boolean stored = messages.flush() || refuseUnstored();
        unstoredNotices.release(stored);
        notices.flush(); // stored by now; they have the shortest time limit of all that a round sends
        if (!messages.answerAccepted(delayedFromNow())) {
            loop.post(() -> {}); // the other clients are answered in the next round
        }
        writeCalls(stored, startedAt);
        listener.openIfRequested();
        boolean nothingPending =
                callsStopped || messages.isEmpty() && notices.pending() == 0 && unstoredNotices.isEmpty();
        if (drainTimedOut || clientsDraining && nothingPending && endpoints.callsInProgress() == 0 && !clients.busy()) {
            closeClients();
        }
        if (watchRequested) {
            watchRequested = false;
            watch.listen();
        }
    }

    /** Starts the calls that the controller has requested in this round; none is written yet. */
    private void startCalls() {
        CallBatches batches = new CallBatches(this::maxItems, Controller.MAX_SHARED_CALL_BYTES, this::call);
        for (RequestedSend send : requestedSends) {
            Held held = messages.get(send.id());
            if (held == null) {
                continue; // it was ended meanwhile because of an exception
            }
            int attempt = messages.recordedAttempts(send.id());
            batches.add(send.endpoint(), item(send, held, attempt));
            peers.called(held.message.destination(), attempt > 0);
        }
        requestedSends.clear();
        batches.flush();
    }

    private static Item item(RequestedSend send, Held held, int attempt) {
        return new Item(
                send.id(),
                attempt,
                held.message.requestId(),
                held.message.key(),
                held.message.body(),
                send.timeoutMs(),
                held.deadlineAt,
                send.last());
    }

    /**
     * Writes the calls of this round, unless the decisions are outdated: if the store or the system has delayed the
     * round, endpoints may have sent a Retry-After, or discovery a drain, meanwhile. That is read first, and the calls
     * are checked again in the next round. If every round is delayed, calls are written all the same, except those to
     * which a Retry-After may apply that has been read by then.
     */
    private void writeCalls(boolean stored, double startedAt) {
        postponed = !postponed && loop.delayedSince(startedAt);
        if (postponed) {
            endpoints.postpone();
            loop.catchUp();
        } else {
            boolean allWritten = endpoints.write(id -> stored && messages.get(id) != null, delayedFromNow());
            if (!allWritten) {
                loop.catchUp(); // the remaining calls are as outdated as those of a delayed round
            }
        }
    }

    /** Returns a check for whether what starts now is delayed. */
    private BooleanSupplier delayedFromNow() {
        double startedAt = loop.now();
        return () -> loop.delayedSince(startedAt);
    }

    /**
     * Handles a failed write of the store: refuses the messages of this round, and tries again without them. If a part
     * of the write may have stayed in the file, the next process might send a message, and a refusal would promise too
     * much, so the answer is an error. Calls that could not be recorded are not made: after a restart nothing would be
     * known of them.
     */
    private boolean refuseUnstored() {
        for (Held held : messages.acceptedInRound()) {
            controller.withdrawn(loop.now(), held.message.id());
            messages.complete(held.message.id());
            held.client.respond(messages.failedFlushDiscarded() ? ResponseStatus.REFUSED : ResponseStatus.FAILED, 0);
        }
        return messages.flush();
    }

    /** Name of the zone of an endpoint, or null if it is not listed. */
    private String zoneName(String endpoint) {
        ListedEndpoint listed = listedEndpoints.get(endpoint);
        return listed == null ? null : config.zones().name(listed.zone());
    }

    private int maxItems(String endpoint) {
        ListedEndpoint listed = listedEndpoints.get(endpoint);
        return listed == null ? 1 : listed.maxBatch();
    }

    /**
     * Starts a call. An exception must neither prevent the calls after it nor leave the call's own messages without a
     * final answer.
     */
    private void call(String endpoint, List<Item> batch) {
        try {
            endpoints.call(endpoint, batch);
        } catch (RuntimeException e) {
            FAULTS.log("fault under a call", e);
        }
    }

    // ---- actions of the controller ----

    @Override
    public void send(long id, String endpoint, double timeoutMs, boolean last) {
        requestedSends.add(new RequestedSend(id, endpoint, timeoutMs, last));
    }

    @Override
    public void cancel(long id, int attempt) {
        loop.post(() -> endpoints.cancel(id, attempt));
    }

    @Override
    public void refuse(long id, double afterMs) {
        endMessage(id, messages.remove(id), ResponseStatus.REFUSED, new PendingNotice(true, afterMs));
    }

    @Override
    public void giveUp(long id) {
        endMessage(id, messages.removeGivenUp(id), ResponseStatus.GIVEN_UP, new PendingNotice(false, 0));
    }

    /** Sends a final answer: to the client if it still waits for its answer, otherwise by a notice. */
    private void endMessage(long id, Held held, int status, PendingNotice notice) {
        if (held == null) {
            return;
        }
        trace(held, "over with " + status);
        messages.answerAccepted(held); // a stored message is reported as accepted before its final answer
        if (held.client != null) {
            held.client.respond(status, notice.retryAfterMs());
            held.client = null;
        } else {
            messages.noticePending(id, notice);
            double dueAt = Math.max(held.deadlineAt + limits.notices().dueMs(), held.graceUntil);
            unstoredNotices.add(held.deadlineAt, () -> notices.add(id, held.message.requestId(), notice, dueAt));
        }
    }

    @Override
    public void closeIdle(String endpoint) {
        endpoints.closeIdle(endpoint);
    }

    @Override
    public void wake(double inMs) {
        loop.after(inMs, () -> controller.timer(loop.now()));
    }

    @Override
    public void watchList() {
        watchRequested = true;
    }

    @Override
    public void report(String text) {
        LOG.info(text);
    }

    // ---- events of the fleet ----

    @Override
    public void share(int destination, Controller.Share share) {
        controller.share(loop.now(), destination, share);
    }

    @Override
    public void peerWarning(String endpoint, double waitUntil, double avoidUntil) {
        controller.peerWarning(loop.now(), endpoint, waitUntil, avoidUntil);
    }

    @Override
    public void restrictionsChanged() {
        messages.all().forEach(held -> applyRestrictions(held.message));
    }

    @Override
    public boolean bookingsEnabled() {
        return peers.bookingsEnabled();
    }

    @Override
    public void requestBooking(BookingRequest request) {
        loop.post(() -> peers.handleBooking(request));
    }
}
