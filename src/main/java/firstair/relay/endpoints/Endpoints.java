package firstair.relay.endpoints;

import firstair.control.Controller.Load;
import firstair.control.Controller.Outcome;
import firstair.control.Controller.Result;
import firstair.relay.HostPort;
import firstair.relay.Limits;
import firstair.relay.Loop;
import firstair.relay.http.HttpWriter;
import firstair.relay.http.MessageHead;
import firstair.relay.http.MultiMessageBody;
import firstair.relay.net.Dialer;
import firstair.relay.net.HttpConnection;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.LongPredicate;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.Collectors;

/**
 * Makes calls to endpoints and reports the outcome of each message exactly once. Each call has a connection to itself;
 * afterwards the connection is kept for a later call, and closed before the endpoint would close it. All methods run on
 * the loop's thread.
 */
public final class Endpoints {
    private static final Logger LOG = Logger.getLogger(Endpoints.class.getName());
    private static final int STATUS_OK = 200;

    private final Dialer dialer;
    private final Limits limits;
    private final Loop loop;
    private final Listener listener;
    private final Map<String, InetSocketAddress> addresses = new HashMap<>();
    private final Map<String, ArrayDeque<IdleConnection>> idle = new HashMap<>();
    private final List<Call> calls = new ArrayList<>(); // in progress
    private final List<Call> connected = new ArrayList<>(); // calls with a connection, not written yet
    // Calls that have read a Retry-After which has not been reported to the listener yet.
    private final Set<Call> unreportedWaits = ConcurrentHashMap.newKeySet();

    private record IdleConnection(HttpConnection link, double since) {}

    /** Receives the events of calls. */
    public interface Listener {
        /** A message of a call has ended. */
        void ended(Outcome outcome);

        /**
         * A Retry-After was read at the time {@code at}, in the response to a call with the given attempt. The response
         * may never be complete.
         */
        default void onRetryAfter(double at, String endpoint, long id, int attempt, double waitMs) {}

        /** Whether a Retry-After from one endpoint may also apply to calls to the other. */
        default boolean sharesRetryAfter(String endpoint, String other) {
            return endpoint.equals(other);
        }

        /**
         * A message reported by {@link #forEachReady} was not written, because its connection was dead; it may be
         * retried.
         */
        default void onNotWritten(long id, int attempt) {}
    }

    /**
     * Decides whether a message may be sent, and with what timeout; see {@link
     * firstair.control.Controller#timeoutAtWrite}.
     */
    public interface SendPolicy {
        /**
         * Called when the connection is available: the time limit for the response in milliseconds, or 0 if the message
         * must not be sent.
         */
        double timeoutAtWrite(long id, int attempt);
    }

    /** @param listener receives the outcome of each message */
    public Endpoints(Dialer dialer, Limits limits, Loop loop, Listener listener) {
        this.dialer = dialer;
        this.limits = limits;
        this.loop = loop;
        this.listener = listener;
    }

    /** Removes endpoints that are no longer listed; calls to them that are in progress continue. */
    public void removeEndpoints(Collection<String> removed) {
        removed.forEach(id -> {
            addresses.remove(id);
            closeIdle(id); // its address may belong to another endpoint by now
        });
    }

    /** Sets the addresses of endpoints; others keep theirs. */
    public void updateAddresses(Map<String, InetSocketAddress> changed) {
        changed.forEach((id, address) -> {
            InetSocketAddress previous = addresses.put(id, address);
            if (previous != null && !previous.equals(address)) {
                closeIdle(id);
            }
        });
    }

    /** Number of calls in progress. */
    public int callsInProgress() {
        return calls.size();
    }

    /**
     * Starts a call with one or more messages, on an idle connection or a new one. The first {@link #write} after the
     * connection is available sends it; if that is in a later round, {@link #recheckConnected} comes before.
     */
    public void call(String endpoint, List<Item> items) {
        new Call(endpoint, items).start();
    }

    /** Checks for all calls that have a connection and are not written whether their messages may still be sent. */
    public void recheckConnected(SendPolicy policy) {
        List.copyOf(connected).forEach(call -> call.recheck(policy));
    }

    /**
     * Ends all calls that have not been written. They count as no attempt, unless they have been recorded as one.
     */
    public void withhold() {
        for (Call call : List.copyOf(calls)) {
            if (!call.written) {
                List.copyOf(call.items).forEach(call::withhold);
            }
        }
    }

    /** Passes all messages that {@link #write} is about to send to {@code action}, with their endpoints. */
    public void forEachReady(BiConsumer<String, Item> action) {
        connected.forEach(call -> call.items.forEach(item -> action.accept(call.endpoint, item)));
    }

    /**
     * Sends the messages that are {@link #forEachReady}, except those that could not be recorded. Some calls are left
     * to the
     * next round, which checks them again with {@link #recheckConnected}: those to which a Retry-After may apply that
     * was read since
     * this round began, and all that remain once {@code overrun} reports that writing takes too long.
     *
     * @param recorded whether the attempt of a message has been stored
     * @return false if calls remain because of {@code overrun}
     */
    public boolean write(LongPredicate recorded, BooleanSupplier overrun) {
        Deque<Call> remaining = new ArrayDeque<>(connected);
        connected.clear();
        while (!remaining.isEmpty()) {
            try {
                remaining.remove().write(recorded);
            } catch (RuntimeException e) { // must not affect the remaining calls
                LOG.log(Level.SEVERE, "unexpected exception while writing a call", e);
            }
            if (overrun.getAsBoolean()) {
                break;
            }
        }
        remaining.forEach(call -> call.recorded = true);
        connected.addAll(remaining);
        return remaining.isEmpty();
    }

    /**
     * Leaves the calls that are {@link #forEachReady}, and recorded by now, to the next round, which checks them again.
     */
    public void postpone() {
        connected.forEach(call -> call.recorded = true);
    }

    /** Cancels one message; a call ends when its last message has ended. */
    public void cancel(long id, int attempt) {
        for (Call call : List.copyOf(calls)) {
            call.cancel(id, attempt);
        }
    }

    /** Closes the idle connections to an endpoint. */
    public void closeIdle(String endpoint) {
        ArrayDeque<IdleConnection> kept = idle.remove(endpoint);
        if (kept != null) {
            kept.forEach(connection -> connection.link().abandon());
        }
    }

    /** Closes connections that have been idle for too long, and ends calls that exceeded all their timeouts. */
    public void sweep() {
        double now = loop.now();
        for (Call call : List.copyOf(calls)) {
            // If a fault elsewhere has lost the call's timers, its messages and its slot must not be lost with them.
            if (now > call.forcedEndAt) {
                LOG.severe("call to " + call.endpoint + " exceeded its time limit, ended by the sweep");
                call.forceEnd();
            }
        }
        double oldest = loop.now() - limits.idleMs();
        for (Iterator<ArrayDeque<IdleConnection>> all = idle.values().iterator(); all.hasNext(); ) {
            ArrayDeque<IdleConnection> kept = all.next();
            while (!kept.isEmpty() && kept.peekFirst().since() <= oldest) {
                kept.pollFirst().link().abandon();
            }
            if (kept.isEmpty()) {
                all.remove();
            }
        }
    }

    /** Closes the longest idle connections while the limit for open connections is exceeded. */
    private void evictIdle() {
        int kept = idle.values().stream().mapToInt(ArrayDeque::size).sum();
        while (kept > 0 && kept + calls.size() > limits.maxLinks()) {
            idle.values().stream()
                    .filter(connections -> !connections.isEmpty())
                    .min(Comparator.comparingDouble(
                            connections -> connections.peekFirst().since()))
                    .ifPresent(connections -> connections.pollFirst().link().abandon());
            kept--;
        }
    }

    private final class Call implements HttpConnection.Exchange {
        private final String endpoint;
        private final InetSocketAddress address; // null if the endpoint left the list in the round that chose it
        private final List<Item> items;
        private final Item firstItem;
        private final double startedAt = loop.now();
        private final List<Loop.Timer> timers = new ArrayList<>();
        private Loop.Timer responseTimer; // limits the time from the start of the response to its end
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private Set<String> requestIds = Set.of(); // of all messages in the request
        private boolean bundle; // written with several messages
        private double timeoutMs; // for the response, counted from the write
        private double forcedEndAt; // its own timers end the call before that
        private HttpConnection link; // null until one has been chosen or opened
        private boolean newConnection; // opened for this call
        private boolean recorded; // stored as attempts; whatever is not stored must not have been written
        private boolean written;
        private boolean finished;
        private boolean timedOut; // halted, and the endpoint may not have noticed yet
        private boolean deliveredBeforeTimeout; // by a status line that was read before the timeout
        private volatile boolean exchangeEnded; // reported by the connection, not yet processed by the loop
        private double reportedWaitMs; // longest Retry-After reported to the listener
        private volatile int statusLineCode; // 0 until the status line has been read
        private volatile MessageHead head;
        private volatile double waitReadAt; // when waitMs was read
        private volatile double waitMs; // longest Retry-After in a complete header line

        Call(String endpoint, List<Item> items) {
            this.endpoint = endpoint;
            this.address = addresses.get(endpoint);
            this.items = new ArrayList<>(items);
            this.firstItem = items.get(0);
            // The timeout of a call grows as messages join it: the last one has the longest.
            this.timeoutMs = items.stream().mapToDouble(Item::timeoutMs).max().orElse(0);
            this.forcedEndAt = forcedEndAt(startedAt, timeoutMs);
        }

        /**
         * The time limit for the response to a request written now. The call ends by the earliest deadline of its
         * messages. Halting it after a timeout is over by then as well, unless that would leave the call less than
         * twice the time of a halt.
         */
        private double responseTimeoutMs(double now) {
            double least = items.stream()
                    .mapToDouble(item -> item.deadlineAt() - now)
                    .min()
                    .orElse(0);
            double halt = limits.haltMs();
            double beforeHalt = Math.max(least - halt, Math.min(least, 2 * halt));
            return Math.max(1, Math.min(timeoutMs, beforeHalt));
        }

        private double forcedEndAt(double now, double limitMs) {
            return now + limitMs + limits.haltMs() + limits.answerMs() + 2 * limits.sweepMs();
        }

        /** Replaces all timers by one that ends the call with all its messages. */
        private void startTimeout(double now, double limitMs) {
            timers.forEach(Loop.Timer::cancel);
            timers.clear();
            forcedEndAt = forcedEndAt(now, limitMs);
            timers.add(loop.after(limitMs, this::onTimeout));
        }

        /** Until the call is written, each message also ends at its own deadline, without affecting the others. */
        private void startUnwrittenTimeouts(double now) {
            double longest = items.stream()
                    .mapToDouble(item -> item.deadlineAt() - now)
                    .max()
                    .orElse(0);
            startTimeout(now, Math.max(1, Math.min(timeoutMs, longest)));
            for (Item item : items.size() > 1 ? items : List.<Item>of()) {
                timers.add(loop.after(
                        Math.max(1, item.deadlineAt() - now),
                        () -> finish(item, new Responses.AttemptEnd(Result.CONNECT_FAILED, false), 0, Load.NONE)));
            }
        }

        void start() {
            calls.add(this);
            if (address == null) {
                loop.post(() -> finishWithoutResponse(Result.CONNECT_FAILED));
            } else {
                connect();
            }
        }

        /** Chooses an idle connection, or opens a new one. */
        private void connect() {
            if (finished) {
                return;
            }
            double now = loop.now();
            ArrayDeque<IdleConnection> kept = idle.getOrDefault(endpoint, new ArrayDeque<>());
            IdleConnection resting = null;
            for (Iterator<IdleConnection> all = kept.descendingIterator(); all.hasNext(); ) {
                IdleConnection last = all.next();
                if (now - last.since() >= limits.idleMs()) {
                    all.remove(); // due for the sweep: the endpoint may close it at any moment
                    last.link().abandon();
                    continue;
                }
                if (now - last.since() < limits.restMs()) {
                    resting = last; // stray bytes after its last response must not be taken for the next one
                    continue;
                }
                all.remove();
                if (last.link().idle()) {
                    link = last.link();
                    connected.add(this);
                    return;
                }
            }
            startUnwrittenTimeouts(now);
            if (resting == null) {
                openConnection();
                return;
            }
            // Waiting is faster than a handshake, and the endpoint may have reached its connection limit.
            kept.remove(resting);
            link = resting.link();
            timers.add(loop.after(resting.since() + limits.restMs() - now, () -> connected.add(this)));
        }

        private void openConnection() {
            evictIdle();
            newConnection = true;
            HttpConnection[] opened = new HttpConnection[1];
            link = dialer.open(address, limits.maxBody(), null, this, () -> loop.post(() -> removeIdle(opened[0])));
            opened[0] = link;
            timers.add(loop.after(limits.connectMs(), () -> {
                if (link.connecting()) {
                    onTimeout();
                }
            }));
        }

        @Override
        public void connected() {
            loop.post(() -> {
                if (!finished) {
                    connected.add(this);
                }
            });
        }

        private void trace(String event) {
            if (LOG.isLoggable(Level.FINE)) {
                LOG.fine("call to " + endpoint + " with "
                        + items.stream().map(Item::requestId).toList() + ": " + event);
            }
        }

        void recheck(SendPolicy policy) {
            double least = timeoutMs;
            for (Item item : List.copyOf(items)) {
                double ms = policy.timeoutAtWrite(item.id(), item.attempt());
                if (ms > 0) {
                    least = Math.min(least, ms);
                } else {
                    withhold(item);
                }
            }
            timeoutMs = least;
            if (!finished && !address.equals(addresses.get(endpoint))) {
                link.abandon();
                finishWithoutResponse(Result.CONNECT_FAILED); // its old address may belong to another endpoint
            }
        }

        /** Once recorded, the attempt number is used up, so the message ends as an attempt that was not sent. */
        private void withhold(Item item) {
            finish(item, new Responses.AttemptEnd(recorded ? Result.NOT_SENT : Result.WITHHELD, false), 0, Load.NONE);
        }

        /** Sends the call, except for messages whose attempts could not be recorded. */
        void write(LongPredicate isRecorded) {
            for (Item item : List.copyOf(items)) {
                if (!isRecorded.test(item.id())) {
                    finish(item, new Responses.AttemptEnd(Result.NOT_SENT, false), 0, Load.NONE);
                    loop.post(() -> {}); // the control decides in the next round
                }
            }
            if (finished) {
                return;
            }
            recorded = true;
            if (unreportedWaits.stream().anyMatch(call -> listener.sharesRetryAfter(call.endpoint, endpoint))) {
                trace("left to the next round because of a Retry-After");
                connected.add(this);
                return;
            }
            bundle = items.size() > 1;
            requestIds = items.stream().map(Item::requestId).collect(Collectors.toSet());
            double now = loop.now();
            double responseTimeoutMs = responseTimeoutMs(now);
            written = link.send(request(responseTimeoutMs, HostPort.format(address)), this);
            trace((written ? "written, response timeout " : "not written, response timeout ")
                    + Math.round(responseTimeoutMs) + " ms");
            if (written) {
                startTimeout(now, responseTimeoutMs);
                return;
            }
            bundle = false;
            items.forEach(item -> listener.onNotWritten(item.id(), item.attempt()));
            if (!newConnection) {
                loop.post(this::connect); // a connection opened for this call reports its own end
            }
        }

        private byte[] request(double responseTimeoutMs, String host) {
            String timeout = String.valueOf((long) Math.ceil(responseTimeoutMs));
            if (!bundle) {
                Item item = items.get(0);
                HttpWriter writer = HttpWriter.request("POST", "/receive", host).header("Request-Id", item.requestId());
                if (item.key() != null) {
                    writer.header("Idempotency-Key", item.key());
                }
                return closeAfterIfRequested(writer.header("Request-Timeout-Ms", timeout))
                        .withBody(item.body());
            }
            return closeAfterIfRequested(
                            HttpWriter.request("POST", "/receive-many", host).header("Request-Timeout-Ms", timeout))
                    .withBody(MultiMessageBody.write(
                            items.stream().map(Item::part).toList()));
        }

        /** Lets the endpoint close the connection after its response: closing it here would be a round trip later. */
        private HttpWriter closeAfterIfRequested(HttpWriter writer) {
            return items.stream().anyMatch(Item::closeAfter) ? writer.header("Connection", "close") : writer;
        }

        /** Limits the time of the response: one that never ends gives no more than its status line but holds a slot. */
        @Override
        public void responseBegun() {
            loop.post(() -> {
                if (!finished) {
                    responseTimer = loop.after(limits.answerMs(), () -> abandon(Result.RESET));
                    timers.add(responseTimer);
                }
            });
        }

        @Override
        public void interimEnded() {
            loop.post(() -> {
                if (responseTimer != null) {
                    responseTimer.cancel();
                }
            });
        }

        @Override
        public void status(int status) {
            statusLineCode = status;
        }

        /** A Retry-After applies from when it was read, even if the rest of the response or the call fails. */
        @Override
        public void header(String name, String value) {
            double ms = name.equals(Responses.RETRY_AFTER) ? Responses.retryAfterMs(value) : 0;
            if (ms > waitMs) {
                waitReadAt = loop.now();
                waitMs = ms;
                unreportedWaits.add(this);
                loop.post(this::reportWait);
            }
        }

        private void reportWait() {
            unreportedWaits.remove(this); // before reading waitMs: a later Retry-After posts its own report
            double ms = waitMs;
            if (ms > reportedWaitMs) {
                reportedWaitMs = ms;
                trace("Retry-After of " + ms + " ms, read " + Math.round(loop.now() - waitReadAt) + " ms ago");
                Item item = items.isEmpty() ? firstItem : items.get(0);
                listener.onRetryAfter(waitReadAt, endpoint, item.id(), item.attempt(), ms);
            }
        }

        @Override
        public void head(MessageHead received) {
            head = received;
        }

        @Override
        public void body(byte[] bytes, int offset, int length) {
            if (bundle) {
                body.write(bytes, offset, length);
            }
        }

        @Override
        public void completed(boolean reusable, boolean alone) {
            double at = loop.now();
            exchangeEnded = true;
            loop.post(() -> responseReceived(at, reusable, alone));
        }

        @Override
        public void failed(boolean maybeArrived) {
            exchangeEnded = true;
            loop.post(() -> finishWithoutResponse(
                    timedOut ? Result.TIMEOUT : maybeArrived ? Result.RESET : Result.CONNECT_FAILED));
        }

        /** As for {@link #withhold}: once recorded, the attempt number is used up. */
        @Override
        public void failedLocally() {
            exchangeEnded = true;
            loop.post(() -> finishWithoutResponse(recorded ? Result.NOT_SENT : Result.LOCAL_FAILURE));
        }

        private void responseReceived(double at, boolean reusable, boolean alone) {
            if (finished) {
                return;
            }
            if (timedOut) { // the call was halted before; to the endpoint it may have been over
                finishWithoutResponse(Result.TIMEOUT);
                return;
            }
            Responses.AttemptEnd all = Responses.fromStatus(head, bundle, newConnection);
            Map<String, String> ends =
                    all == null ? MultiMessageBody.readResults(body.toByteArray(), requestIds) : Map.of();
            if (ends == null || all != null && !alone && all.result() != Result.OK) {
                // The length does not match. Only a well-formed response can prove that nothing has run.
                link.abandon();
                finishWithoutResponse(Result.RESET);
                return;
            }
            if (reusable) {
                keepConnection(at);
            }
            double retryAfterMs = Responses.retryAfterMs(head);
            Load load = Responses.load(head);
            for (Item item : List.copyOf(items)) {
                finish(item, all != null ? all : Responses.fromEntry(ends.get(item.requestId())), retryAfterMs, load);
            }
        }

        /**
         * Ends the call without a complete response. A status line with 200 is enough to deliver a call with one
         * message, unless it came after the call was halted. Any other part of a response proves nothing, but its
         * Retry-After applies.
         */
        private void finishWithoutResponse(Result result) {
            if (finished) {
                return;
            }
            boolean delivered = timedOut ? deliveredBeforeTimeout : statusLineDelivers();
            for (Item item : List.copyOf(items)) {
                finish(
                        item,
                        delivered ? new Responses.AttemptEnd(Result.OK, true) : new Responses.AttemptEnd(result, false),
                        waitMs,
                        head == null ? Load.NONE : Responses.load(head));
            }
        }

        private boolean statusLineDelivers() {
            return statusLineCode == STATUS_OK && !bundle;
        }

        /**
         * Halts the call and waits for the endpoint to notice, because until then it counts the call as running. If the
         * timeout were reported earlier, a call sent in its place would often find all slots taken, and its message
         * would lose an attempt.
         */
        private void onTimeout() {
            if (finished || timedOut || exchangeEnded) {
                return;
            }
            boolean delivered = statusLineDelivers();
            if (link != null && link.halt()) {
                timedOut = true;
                deliveredBeforeTimeout = delivered;
                timers.add(loop.after(limits.haltMs(), () -> abandon(Result.TIMEOUT)));
            } else {
                abandon(Result.TIMEOUT);
            }
        }

        /**
         * Closes the connection and ends the call, unless the connection has reported the end of the call already and
         * the loop has yet to process it. In that case {@link HttpConnection#abandon} would find no request in
         * progress, which does not mean that the request never arrived.
         */
        private void abandon(Result resultIfSent) {
            boolean arrived = !exchangeEnded && link != null && link.abandon();
            if (!exchangeEnded) {
                finishWithoutResponse(arrived ? resultIfSent : Result.CONNECT_FAILED);
            }
        }

        /** Ends a call whose state is unknown; only a call that was not written is known not to have run. */
        private void forceEnd() {
            boolean neverRan = !written;
            if (link != null) {
                link.abandon();
            }
            finishWithoutResponse(neverRan ? Result.CONNECT_FAILED : Result.RESET);
        }

        void cancel(long id, int attempt) {
            for (Item item : List.copyOf(items)) {
                if (item.id() == id && item.attempt() == attempt) {
                    finish(
                            item,
                            new Responses.AttemptEnd(written ? Result.CANCELLED : Result.NOT_SENT, false),
                            0,
                            Load.NONE);
                }
            }
        }

        /** Ends one message. Whatever arrives before the request is written delivers nothing, and nothing has run. */
        private void finish(Item item, Responses.AttemptEnd end, double retryAfterMs, Load load) {
            if (!items.remove(item)) {
                return;
            }
            reportWait(); // must precede the outcome
            Result result = written || !end.result().maybeRan() ? end.result() : Result.CONNECT_FAILED;
            if (items.isEmpty()) {
                finished = true;
                calls.remove(this);
                connected.remove(this);
                timers.forEach(Loop.Timer::cancel);
                boolean abandoned = result == Result.TIMEOUT || result == Result.CANCELLED;
                boolean unsent = !written && (result == Result.NOT_SENT || result == Result.WITHHELD);
                if (unsent && link != null && link.keepIdle()) {
                    keepConnection(loop.now() - limits.restMs()); // unused, so it need not rest
                } else if ((abandoned || !written) && link != null) {
                    link.abandon();
                }
            }
            listener.ended(new Outcome(
                    item.id(),
                    item.attempt(),
                    endpoint,
                    result,
                    loop.now() - startedAt,
                    written && end.messageDone(),
                    retryAfterMs,
                    load));
        }

        /** Keeps the connection for a later call, if the endpoint still has the same address. */
        private void keepConnection(double idleSince) {
            if (address.equals(addresses.get(endpoint))) {
                idle.computeIfAbsent(endpoint, key -> new ArrayDeque<>()).addLast(new IdleConnection(link, idleSince));
            } else {
                link.abandon();
            }
        }

        private void removeIdle(HttpConnection closed) {
            ArrayDeque<IdleConnection> kept = idle.get(endpoint);
            if (kept != null) {
                kept.removeIf(connection -> connection.link() == closed);
            }
        }
    }
}
