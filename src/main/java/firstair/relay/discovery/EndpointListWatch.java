package firstair.relay.discovery;

import firstair.control.Controller.ListUpdate;
import firstair.relay.HostPort;
import firstair.relay.Limits;
import firstair.relay.Loop;
import firstair.relay.RateLimitedLogger;
import firstair.relay.http.HttpWriter;
import firstair.relay.http.MessageHead;
import firstair.relay.net.Dialer;
import firstair.relay.net.HttpConnection;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Follows the list of endpoints in discovery: fetches the full list if there is none yet, and then watches for changes
 * since the current version.
 *
 * <p>A response that falls silent is replaced by a new call at once. Any other failure, and a response that is overdue,
 * is only reported to the {@link Listener}, which decides when to call {@link #listen} again. An overdue call stays
 * open next to its successor, because its connection may still come up and its response may still arrive: the first
 * call that is answered closes the others. All methods run on the loop's thread.
 */
public final class EndpointListWatch {
    private static final Logger LOG = Logger.getLogger(EndpointListWatch.class.getName());
    private static final String PATH = "/api/targets";

    /** Receives updates of the list, on the loop's thread. */
    public interface Listener {
        /** Called with {@code listed} null for {@link ListUpdate#FAILED} and {@link ListUpdate#OVERDUE}. */
        void news(ListUpdate news, EndpointList listed);
    }

    private final Dialer dialer;
    private final Limits limits;
    private final Loop loop;
    private InetSocketAddress address;
    private final List<String> kinds;
    private final Zones zones;
    private final Listener listener;
    private long version;
    private final List<Call> calls = new ArrayList<>(); // in progress
    private final RateLimitedLogger lossLog = new RateLimitedLogger(LOG, Level.WARNING);
    private boolean lossLogged; // since the last list was received
    private boolean listRequired; // a watch without a list is overdue
    private boolean fullListNeeded; // such a watch has been overdue

    /** @param version version of the list that the caller already has, or -1 */
    public EndpointListWatch(
            Dialer dialer,
            Limits limits,
            Loop loop,
            InetSocketAddress address,
            List<String> kinds,
            Zones zones,
            long version,
            Listener listener) {
        this.dialer = dialer;
        this.limits = limits;
        this.loop = loop;
        this.address = address;
        this.kinds = kinds;
        this.zones = zones;
        this.version = version;
        this.listener = listener;
    }

    /** Starts a call for the list or its changes, unless one is in progress that is not overdue. */
    public void listen() {
        if (calls.stream().allMatch(c -> c.overdue)) {
            startCall();
        }
    }

    /**
     * The caller's list must not be used before discovery has sent one. Until then a watch that has been answered, but
     * sends no object, is overdue like a call without an answer, and the next call fetches the full list.
     */
    public void requireList() {
        listRequired = true;
    }

    private void startCall() {
        Call next = new Call(version >= 0 && !fullListNeeded);
        calls.add(next);
        next.start();
    }

    /** Changes the address of discovery: calls to the old address are closed, and a new call starts at once. */
    public void setAddress(InetSocketAddress to) {
        if (!to.equals(address)) {
            address = to;
            close();
            startCall();
        }
    }

    /** Whether a watch is open and has delivered something, so that the list matches what discovery has. */
    public boolean current() {
        return calls.stream().anyMatch(c -> c.watching && c.listReceived);
    }

    /** Closes all calls in progress. */
    public void close() {
        List.copyOf(calls).forEach(this::close);
    }

    private void close(Call call) {
        calls.remove(call);
        if (call.link != null) {
            call.link.abandon();
        }
    }

    private void callFailed(Call call, String reason) {
        if (calls.contains(call)) {
            close(call);
            notifyFailure(call, call.waitedLongEnough() ? ListUpdate.OVERDUE : ListUpdate.FAILED, reason);
        }
    }

    /** Always reported as {@link ListUpdate#FAILED}: an immediate retry would most likely get the same response. */
    private void invalidResponse(Call call, String reason) {
        if (calls.contains(call)) {
            close(call);
            notifyFailure(call, ListUpdate.FAILED, reason);
        }
    }

    /** Reports the failure of a call once: an overdue call has been reported and retried already. */
    private void notifyFailure(Call call, ListUpdate news, String reason) {
        if (!call.overdue) {
            call.overdue = true;
            logLoss(reason);
            listener.news(news, null);
        }
    }

    private void logLoss(String reason) {
        lossLogged = lossLogged || lossLog.log("list lost: " + reason);
    }

    /** This call has been answered: it is not overdue any more, and the others are closed. */
    private void keepOnly(Call answered) {
        if (calls.contains(answered)) {
            answered.overdue = false;
            List.copyOf(calls).stream().filter(c -> c != answered).forEach(this::close);
        }
    }

    private void objectReceived(Call from, String text) {
        if (!calls.contains(from)) {
            return;
        }
        EndpointList listed;
        try {
            listed = EndpointList.read(text, kinds, zones);
        } catch (IllegalArgumentException e) {
            invalidResponse(from, e.getMessage());
            return;
        }
        if (lossLogged) {
            LOG.info("list found again, version " + listed.version());
        }
        lossLogged = false;
        from.listReceived = true;
        listRequired = false;
        fullListNeeded = false;
        version = listed.version();
        keepOnly(from);
        listener.news(listed.full() ? ListUpdate.COMPLETE : ListUpdate.CHANGES, listed);
        if (!from.watching) {
            close();
            startCall();
        }
    }

    /** One call to discovery. */
    private final class Call implements HttpConnection.Exchange {
        final boolean watching;
        final JsonObjectSplitter splitter = new JsonObjectSplitter(limits.listLine(), this::objectComplete);
        HttpConnection link; // null until it has been opened
        boolean listReceived;
        boolean overdue; // its head, or the rest of an object, is late and the listener has been notified
        private final double startedAt = loop.now();
        private boolean suspected; // has been silent for too long at one check
        private volatile double lastDataAt = loop.now();
        private volatile boolean headReceived;
        private volatile double objectStartedAt = Double.NaN; // start of the incomplete object, NaN between objects

        Call(boolean watching) {
            this.watching = watching;
        }

        void start() {
            String target = watching ? PATH + "?follow=1&since=" + version : PATH;
            byte[] request =
                    HttpWriter.request("GET", target, HostPort.format(address)).withoutBody();
            // The timeouts start before the dialer, which may fail: the relay must not wait forever for such a call.
            loop.after(limits.parallelListCallMs(), () -> checkOverdue(!headReceived, "no response yet"));
            loop.after(Math.min(limits.listSilenceMs(), limits.listAnswerMs()), this::checkSilence);
            link = dialer.open(address, Long.MAX_VALUE, request, this, () -> {});
        }

        /** Whether it took so long without a result that the next call needs no further pause. */
        private boolean waitedLongEnough() {
            return !listReceived && loop.now() - startedAt >= limits.parallelListCallMs() / 2;
        }

        private void answered() {
            keepOnly(this);
            if (listRequired) {
                loop.after(limits.parallelListCallMs(), this::checkListReceived);
            }
        }

        private void checkListReceived() {
            if (listRequired && calls.contains(this)) {
                fullListNeeded = true;
                checkOverdue(true, "answered without a list");
            }
        }

        private void checkOverdue(boolean waiting, String state) {
            if (waiting && calls.contains(this)) {
                notifyFailure(
                        this, ListUpdate.OVERDUE, state + ", for " + Math.round(limits.parallelListCallMs()) + " ms");
            }
        }

        /**
         * Detects a connection that is dead without having been closed: even the empty lines that discovery sends
         * regularly are missing, or the rest of an object is.
         */
        private void checkSilence() {
            if (!calls.contains(this)) {
                return;
            }
            double silentMs = loop.now() - lastDataAt;
            double maxSilentMs = headReceived ? limits.listSilenceMs() : limits.listAnswerMs();
            if (silentMs < maxSilentMs) {
                suspected = false;
                loop.after(maxSilentMs - silentMs, this::checkSilence);
            } else if (!suspected) {
                suspected = true; // a process short of CPU may not have read bytes that have arrived
                loop.after(limits.sweepMs(), this::checkSilence);
            } else {
                // Reconnects at once: missed changes matter soon, and after this long a silence, which unlike a refusal
                // calls for no backoff, no further pause is needed.
                close(this);
                logLoss("no data for " + Math.round(silentMs) + " ms");
                if (headReceived) {
                    listen();
                }
            }
        }

        @Override
        public void head(MessageHead head) {
            lastDataAt = loop.now();
            headReceived = true;
            loop.post(head.status() == 200 ? this::answered : () -> callFailed(this, "status " + head.status()));
        }

        @Override
        public void body(byte[] bytes, int offset, int length) {
            try {
                if (splitter.feed(bytes, offset, length)) {
                    lastDataAt = loop.now();
                }
                if (splitter.insideObject() && Double.isNaN(objectStartedAt)) {
                    double beganAt = loop.now();
                    objectStartedAt = beganAt;
                    loop.post(() -> loop.after(
                            limits.parallelListCallMs(),
                            () -> checkOverdue(objectStartedAt == beganAt, "incomplete object")));
                }
            } catch (IllegalArgumentException e) {
                loop.post(() -> invalidResponse(this, e.getMessage()));
            }
        }

        private void objectComplete(String text) {
            objectStartedAt = Double.NaN;
            loop.post(() -> objectReceived(this, text));
        }

        @Override
        public void completed(boolean reusable, boolean alone) {
            loop.post(() -> callFailed(this, "ended"));
        }

        @Override
        public void failed(boolean maybeArrived) {
            loop.post(() -> callFailed(this, "connection failed"));
        }
    }
}
