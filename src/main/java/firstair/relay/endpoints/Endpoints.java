package firstair.relay.endpoints;

import firstair.control.Controller.Load;
import firstair.control.Controller.Outcome;
import firstair.control.Controller.Result;
import firstair.relay.HostPort;
import firstair.relay.Limits;
import firstair.relay.Loop;
import firstair.relay.http.Bundles;
import firstair.relay.http.Head;
import firstair.relay.http.HttpWriter;
import firstair.relay.net.Dialer;
import firstair.relay.net.Link;
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
 * Makes calls and tells how each message of them ended, exactly once. A call has a connection for itself; a
 * connection is kept for the next call and closed before the endpoint would. All methods run on the loop's
 * thread.
 */
public final class Endpoints {
    private static final Logger LOG = Logger.getLogger(Endpoints.class.getName());
    private static final int DELIVERED = 200;

    private final Dialer dialer;
    private final Limits limits;
    private final Loop loop;
    private final Told told;
    private final Map<String, InetSocketAddress> addresses = new HashMap<>();
    private final Map<String, ArrayDeque<Idle>> idle = new HashMap<>();
    private final List<Call> calls = new ArrayList<>(); // out
    private final List<Call> up = new ArrayList<>(); // of them, such that have a connection and are not written
    private final Set<Call> unheard = ConcurrentHashMap.newKeySet(); // have read a wait that has not been told on

    private record Idle(Link link, double since) {}

    /** Who hears of calls. */
    public interface Told {
        /** How a message of a call ended. */
        void ended(Outcome outcome);

        /** A wait was read at a moment, of an answer that may never be whole, to a call with such an attempt. */
        default void waits(double at, String endpoint, long id, int attempt, double waitMs) {}

        /** Whether a wait that one endpoint tells may bind calls to the other. */
        default boolean shareWaits(String endpoint, String other) {
            return endpoint.equals(other);
        }

        /** A message that was {@link #ready} has not been written: its connection was dead. It may be ready again. */
        default void unwritten(long id, int attempt) {}
    }

    /** Who decides whether a message goes, and with how much time; see {@link firstair.control.Controller#mayGo}. */
    public interface Decider {
        /**
         * Asked when the connection is there: for how many milliseconds its answer may be waited for, 0 if it may not
         * go.
         */
        double mayGo(long id, int attempt);
    }

    /** @param told hears how each message of a call ended */
    public Endpoints(Dialer dialer, Limits limits, Loop loop, Told told) {
        this.dialer = dialer;
        this.limits = limits;
        this.loop = loop;
        this.told = told;
    }

    /** Forgets endpoints that are no longer listed; calls that are out to them go on. */
    public void forget(Collection<String> gone) {
        gone.forEach(id -> {
            addresses.remove(id);
            closeIdle(id); // its address may be another one's by now
        });
    }

    /** Learns where endpoints are; those that are not named stay where they were. */
    public void learn(Map<String, InetSocketAddress> told) {
        told.forEach((id, at) -> {
            InetSocketAddress before = addresses.put(id, at);
            if (before != null && !before.equals(at)) {
                closeIdle(id);
            }
        });
    }

    /** Calls that are out. */
    public int out() {
        return calls.size();
    }

    /**
     * Takes or opens a connection for a call with one message or several. It is written by the first {@link #write}
     * for which the connection is there; if that is in a later round, {@link #ask} comes before.
     */
    public void call(String endpoint, List<Item> items) {
        new Call(endpoint, items).start();
    }

    /** Asks of all calls that have got their connection since they were asked for whether they may still go. */
    public void ask(Decider decider) {
        List.copyOf(up).forEach(c -> c.ask(decider));
    }

    /** Ends all calls of which nothing has been written, as such that never were. */
    public void withhold() {
        for (Call c : List.copyOf(calls)) {
            if (!c.written) {
                List.copyOf(c.items).forEach(c::withhold);
            }
        }
    }

    /** Names all that {@link #write} is about to write, by their endpoints. */
    public void ready(BiConsumer<String, Item> each) {
        up.forEach(c -> c.items.forEach(i -> each.accept(c.endpoint, i)));
    }

    /**
     * Writes what is {@link #ready}, but for messages that could not be noted: those are not sent. A call that a wait
     * may bind which has been read since its round began is left to the next round, whose {@link #ask} comes first. So
     * is what follows a write behind which {@code heldUp} says that writing takes too long.
     *
     * @return whether nothing was left because of that
     */
    public boolean write(LongPredicate noted, BooleanSupplier heldUp) {
        Deque<Call> left = new ArrayDeque<>(up);
        up.clear();
        while (!left.isEmpty()) {
            try {
                left.remove().write(noted);
            } catch (RuntimeException e) { // must not take the calls behind it along
                LOG.log(Level.SEVERE, "fault under a call", e);
            }
            if (heldUp.getAsBoolean()) {
                break;
            }
        }
        left.forEach(c -> c.noted = true);
        up.addAll(left);
        return left.isEmpty();
    }

    /** Leaves what is {@link #ready} and noted to the next round, whose {@link #ask} comes first. */
    public void postpone() {
        up.forEach(c -> c.noted = true);
    }

    /** Abandons the wait for one message; its call ends with its last message. */
    public void cancel(long id, int attempt) {
        for (Call c : List.copyOf(calls)) {
            c.cancel(id, attempt);
        }
    }

    /** Closes the connections to an endpoint that carry no call. */
    public void closeIdle(String endpoint) {
        ArrayDeque<Idle> kept = idle.remove(endpoint);
        if (kept != null) {
            kept.forEach(i -> i.link().leave());
        }
    }

    /** Closes connections that have stood idle for too long, and ends calls that outlived their time. */
    public void sweep() {
        double now = loop.now();
        for (Call c : List.copyOf(calls)) {
            // A fault below may have eaten a call's own timers: its messages and its slot would be lost with them.
            if (now > c.latestAt) {
                LOG.severe("call to " + c.endpoint + " outlived its time, ended by a sweep");
                c.outlived();
            }
        }
        double oldest = loop.now() - limits.idleMs();
        for (Iterator<ArrayDeque<Idle>> all = idle.values().iterator(); all.hasNext(); ) {
            ArrayDeque<Idle> kept = all.next();
            while (!kept.isEmpty() && kept.peekFirst().since() <= oldest) {
                kept.pollFirst().link().leave();
            }
            if (kept.isEmpty()) {
                all.remove();
            }
        }
    }

    /** Closes the connection that has been idle longest while all that may be open are. */
    private void makeRoom() {
        int kept = idle.values().stream().mapToInt(ArrayDeque::size).sum();
        while (kept > 0 && kept + calls.size() > limits.maxLinks()) {
            idle.values().stream()
                    .filter(q -> !q.isEmpty())
                    .min(Comparator.comparingDouble(q -> q.peekFirst().since()))
                    .ifPresent(q -> q.pollFirst().link().leave());
            kept--;
        }
    }

    private final class Call implements Link.Exchange {
        private final String endpoint;
        private final InetSocketAddress to; // null if it left the list in the round that chose it
        private final List<Item> items;
        private final Item lead;
        private final double startedAt = loop.now();
        private final List<Loop.Timer> timers = new ArrayList<>();
        private Loop.Timer answerTimer; // until an answer that has begun must be whole
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private Set<String> ids = Set.of(); // all that it was written with
        private boolean bundle; // it was written with several
        private double timeoutMs; // of all its messages, from its write on
        private double latestAt; // by then its own timers have ended it
        private Link link; // that carries it or is to, null until there is one
        private boolean fresh; // on a connection of its own making
        private boolean noted; // somebody relies on it that what is not noted was not written
        private boolean written;
        private boolean over;
        private boolean expired; // given up, and the endpoint may not know it yet
        private boolean settled; // delivered by a first line that came before that
        private volatile boolean ending; // its connection has told its end, and the loop is yet to hear it
        private double toldMs; // the wait that has been told on
        private volatile int first; // status of a first line that has come
        private volatile Head head;
        private volatile double waitAt; // when the wait was read
        private volatile double waitMs; // longest wait that a whole line told

        Call(String endpoint, List<Item> items) {
            this.endpoint = endpoint;
            this.to = addresses.get(endpoint);
            this.items = new ArrayList<>(items);
            this.lead = items.get(0);
            this.timeoutMs = items.stream().mapToDouble(Item::timeoutMs).max().orElse(0); // what the last one joined
            this.latestAt = latest(startedAt, timeoutMs);
        }

        /**
         * How long the answer to a request that is written now is waited for: no message of it outlives the call. Nor
         * does the halt that follows, where a message leaves the call twice as long at the least.
         */
        private double patience(double now) {
            double least =
                    items.stream().mapToDouble(i -> i.deadlineAt() - now).min().orElse(0);
            double halt = limits.haltMs();
            double beforeHalt = Math.max(least - halt, Math.min(least, 2 * halt));
            return Math.max(1, Math.min(timeoutMs, beforeHalt));
        }

        private double latest(double now, double patience) {
            return now + patience + limits.haltMs() + limits.answerMs() + 2 * limits.sweepMs();
        }

        /** Ends it when its time is up, with all its messages. */
        private void limit(double now, double patience) {
            timers.forEach(Loop.Timer::cancel);
            timers.clear();
            latestAt = latest(now, patience);
            timers.add(loop.after(patience, this::expire));
        }

        /** While nothing of it is written, a message whose own time is up leaves the others alone. */
        private void limitUnwritten(double now) {
            double longest =
                    items.stream().mapToDouble(i -> i.deadlineAt() - now).max().orElse(0);
            limit(now, Math.max(1, Math.min(timeoutMs, longest)));
            for (Item i : items.size() > 1 ? items : List.<Item>of()) {
                timers.add(loop.after(
                        Math.max(1, i.deadlineAt() - now),
                        () -> end(i, new Answers.End(Result.CONNECT_FAILED, false), 0, Load.NONE)));
            }
        }

        void start() {
            calls.add(this);
            if (to == null) {
                loop.post(() -> ended(Result.CONNECT_FAILED));
            } else {
                connect();
            }
        }

        /** Takes a connection that is kept, or opens one. */
        private void connect() {
            if (over) {
                return;
            }
            double now = loop.now();
            ArrayDeque<Idle> kept = idle.getOrDefault(endpoint, new ArrayDeque<>());
            Idle rests = null;
            for (Iterator<Idle> all = kept.descendingIterator(); all.hasNext(); ) {
                Idle last = all.next();
                if (now - last.since() >= limits.idleMs()) {
                    all.remove(); // a sweep would have ended it: the endpoint may do so at any moment
                    last.link().leave();
                    continue;
                }
                if (now - last.since() < limits.restMs()) {
                    rests = last; // what is still to come behind its last answer must not be taken for the next one
                    continue;
                }
                all.remove();
                if (last.link().idle()) {
                    link = last.link();
                    up.add(this);
                    return;
                }
            }
            limitUnwritten(now);
            if (rests == null) {
                open();
                return;
            }
            // The rest is shorter than a handshake, and an endpoint may have no place for a further connection.
            kept.remove(rests);
            link = rests.link();
            timers.add(loop.after(rests.since() + limits.restMs() - now, () -> up.add(this)));
        }

        private void open() {
            makeRoom();
            fresh = true;
            Link[] made = new Link[1];
            link = dialer.open(to, limits.maxBody(), null, this, () -> loop.post(() -> forget(made[0])));
            made[0] = link;
            timers.add(loop.after(limits.connectMs(), () -> {
                if (link.connecting()) {
                    expire();
                }
            }));
        }

        @Override
        public void up() {
            loop.post(() -> {
                if (!over) {
                    up.add(this);
                }
            });
        }

        private void trace(String what) {
            if (LOG.isLoggable(Level.FINE)) {
                LOG.fine("call to " + endpoint + " with "
                        + items.stream().map(Item::requestId).toList() + ": " + what);
            }
        }

        void ask(Decider decider) {
            double least = timeoutMs;
            for (Item i : List.copyOf(items)) {
                double ms = decider.mayGo(i.id(), i.attempt());
                if (ms > 0) {
                    least = Math.min(least, ms);
                } else {
                    withhold(i);
                }
            }
            timeoutMs = least;
            if (!over && !to.equals(addresses.get(endpoint))) {
                link.leave();
                ended(Result.CONNECT_FAILED); // it has moved: another one may be there by now
            }
        }

        /** Once noted, its number is taken: then it is an attempt that was not made. */
        private void withhold(Item i) {
            end(i, new Answers.End(noted ? Result.NOT_SENT : Result.WITHHELD, false), 0, Load.NONE);
        }

        /** Writes it, but for messages that could not be noted. */
        void write(LongPredicate isNoted) {
            for (Item i : List.copyOf(items)) {
                if (!isNoted.test(i.id())) {
                    end(i, new Answers.End(Result.NOT_SENT, false), 0, Load.NONE);
                    loop.post(() -> {}); // decisions come in the next round
                }
            }
            if (over) {
                return;
            }
            noted = true;
            if (unheard.stream().anyMatch(c -> told.shareWaits(c.endpoint, endpoint))) {
                trace("left to the next round, a wait has been read");
                up.add(this);
                return;
            }
            bundle = items.size() > 1;
            ids = items.stream().map(Item::requestId).collect(Collectors.toSet());
            double now = loop.now();
            double patience = patience(now);
            written = link.send(request(patience, HostPort.of(to)), this);
            trace((written ? "written, " : "not written, ") + Math.round(patience) + " ms of patience");
            if (written) {
                limit(now, patience);
                return;
            }
            bundle = false;
            items.forEach(i -> told.unwritten(i.id(), i.attempt()));
            if (!fresh) {
                loop.post(this::connect); // one that it opened itself tells its end
            }
        }

        private byte[] request(double patience, String host) {
            String wait = String.valueOf((long) Math.ceil(patience));
            if (!bundle) {
                Item i = items.get(0);
                HttpWriter w = HttpWriter.request("POST", "/receive", host).header("Request-Id", i.requestId());
                if (i.key() != null) {
                    w.header("Idempotency-Key", i.key());
                }
                return ending(w.header("Request-Timeout-Ms", wait)).body(i.body());
            }
            return ending(HttpWriter.request("POST", "/receive-many", host).header("Request-Timeout-Ms", wait))
                    .body(Bundles.write(items.stream().map(Item::part).toList()));
        }

        /** Has the endpoint close behind its answer: our own end would come a way there and back later. */
        private HttpWriter ending(HttpWriter w) {
            return items.stream().anyMatch(Item::last) ? w.header("Connection", "close") : w;
        }

        /** An answer that begins and does not end says no more than its first line, and keeps a slot. */
        @Override
        public void begun() {
            loop.post(() -> {
                if (!over) {
                    answerTimer = loop.after(limits.answerMs(), () -> leave(Result.RESET));
                    timers.add(answerTimer);
                }
            });
        }

        @Override
        public void interim() {
            loop.post(() -> {
                if (answerTimer != null) {
                    answerTimer.cancel();
                }
            });
        }

        @Override
        public void first(int status) {
            first = status;
        }

        /** A wait binds from when it was read, whatever becomes of the rest of its answer or of the call. */
        @Override
        public void field(String name, String value) {
            double ms = name.equals(Answers.WAIT) ? Answers.waitMs(value) : 0;
            if (ms > waitMs) {
                waitAt = loop.now();
                waitMs = ms;
                unheard.add(this);
                loop.post(this::tellWait);
            }
        }

        private void tellWait() {
            unheard.remove(this); // before it is looked at: one that is read from now on is told by itself
            double ms = waitMs;
            if (ms > toldMs) {
                toldMs = ms;
                trace("told to wait for " + ms + " ms, read " + Math.round(loop.now() - waitAt) + " ms ago");
                Item of = items.isEmpty() ? lead : items.get(0);
                told.waits(waitAt, endpoint, of.id(), of.attempt(), ms);
            }
        }

        @Override
        public void head(Head h) {
            head = h;
        }

        @Override
        public void body(byte[] bytes, int offset, int length) {
            if (bundle) {
                body.write(bytes, offset, length);
            }
        }

        @Override
        public void done(boolean reusable, boolean alone) {
            double at = loop.now();
            ending = true;
            loop.post(() -> answered(at, reusable, alone));
        }

        @Override
        public void broken(boolean maybeArrived) {
            ending = true;
            loop.post(() -> ended(expired ? Result.TIMEOUT : maybeArrived ? Result.RESET : Result.CONNECT_FAILED));
        }

        /** Once noted, its number is taken: then it is an attempt that was not made. */
        @Override
        public void unasked() {
            ending = true;
            loop.post(() -> ended(noted ? Result.NOT_SENT : Result.LOCAL_FAILURE));
        }

        private void answered(double at, boolean reusable, boolean alone) {
            if (over) {
                return;
            }
            if (expired) { // it answers a call that we had ended, which the endpoint may not count any more
                ended(Result.TIMEOUT);
                return;
            }
            Answers.End all = Answers.of(head, bundle, fresh);
            Map<String, String> ends = all == null ? Bundles.read(body.toByteArray(), ids) : Map.of();
            if (ends == null || all != null && !alone && all.result() != Result.OK) {
                // Its length does not fit: that nothing ran is believed of an answer without a fault only.
                link.leave();
                ended(Result.RESET);
                return;
            }
            if (reusable) {
                keep(at);
            }
            double waitMs = Answers.waitMs(head);
            Load load = Answers.load(head);
            for (Item i : List.copyOf(items)) {
                end(i, all != null ? all : Answers.of(ends.get(i.requestId())), waitMs, load);
            }
        }

        /**
         * The call ended without a whole answer. A first line alone delivers a call with one message; anything else
         * that it says proves nothing, but a wait that was told is kept. Behind our own end nothing delivers.
         */
        private void ended(Result result) {
            if (over) {
                return;
            }
            boolean delivered = expired ? settled : firstLineDelivers();
            for (Item i : List.copyOf(items)) {
                end(
                        i,
                        delivered ? new Answers.End(Result.OK, true) : new Answers.End(result, false),
                        waitMs,
                        head == null ? Load.NONE : Answers.load(head));
            }
        }

        private boolean firstLineDelivers() {
            return first == DELIVERED && !bundle;
        }

        /**
         * The endpoint counts the call until it has seen its end. Were the time-out told before, a call sent in
         * its place would often find all slots taken and cost its message an attempt.
         */
        private void expire() {
            if (over || expired || ending) {
                return;
            }
            boolean before = firstLineDelivers();
            if (link != null && link.halt()) {
                expired = true;
                settled = before;
                timers.add(loop.after(limits.haltMs(), () -> leave(Result.TIMEOUT)));
            } else {
                leave(Result.TIMEOUT);
            }
        }

        /**
         * Waits no longer. A connection that has told the end of the call by now, behind the events of this round, is
         * not asked: it has nothing out any more, which is no sign that the request never arrived.
         */
        private void leave(Result sent) {
            boolean arrived = !ending && link != null && link.leave();
            if (!ending) {
                ended(arrived ? sent : Result.CONNECT_FAILED);
            }
        }

        /** What became of it is not known; it never ran only where nothing of it was written. */
        private void outlived() {
            boolean never = !written;
            if (link != null) {
                link.leave();
            }
            ended(never ? Result.CONNECT_FAILED : Result.RESET);
        }

        void cancel(long id, int attempt) {
            for (Item i : List.copyOf(items)) {
                if (i.id() == id && i.attempt() == attempt) {
                    end(i, new Answers.End(written ? Result.CANCELLED : Result.NOT_SENT, false), 0, Load.NONE);
                }
            }
        }

        /** What comes before a request is written answers none: it delivers nothing, and nothing has run. */
        private void end(Item i, Answers.End how, double wait, Load load) {
            if (!items.remove(i)) {
                return;
            }
            tellWait(); // before its outcome
            Result result = written || !how.result().maybeRan() ? how.result() : Result.CONNECT_FAILED;
            if (items.isEmpty()) {
                over = true;
                calls.remove(this);
                up.remove(this);
                timers.forEach(Loop.Timer::cancel);
                boolean given = result == Result.TIMEOUT || result == Result.CANCELLED;
                boolean unsent = !written && (result == Result.NOT_SENT || result == Result.WITHHELD);
                if (unsent && link != null && link.keep()) {
                    keep(loop.now() - limits.restMs()); // whole, and nothing is to come on it
                } else if ((given || !written) && link != null) {
                    link.leave();
                }
            }
            told.ended(new Outcome(
                    i.id(), i.attempt(), endpoint, result, loop.now() - startedAt, written && how.over(), wait, load));
        }

        /** Keeps its connection for a further call, if the endpoint is still there. */
        private void keep(double since) {
            if (to.equals(addresses.get(endpoint))) {
                idle.computeIfAbsent(endpoint, k -> new ArrayDeque<>()).addLast(new Idle(link, since));
            } else {
                link.leave();
            }
        }

        private void forget(Link closed) {
            ArrayDeque<Idle> kept = idle.get(endpoint);
            if (kept != null) {
                kept.removeIf(i -> i.link() == closed);
            }
        }
    }
}
