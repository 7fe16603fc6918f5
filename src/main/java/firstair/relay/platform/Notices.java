package firstair.relay.platform;

import com.google.gson.JsonObject;
import firstair.relay.HostPort;
import firstair.relay.Limits;
import firstair.relay.Loop;
import firstair.relay.RateLimitedLogger;
import firstair.relay.http.HttpWriter;
import firstair.relay.http.MessageHead;
import firstair.relay.net.Dialer;
import firstair.relay.net.HttpConnection;
import firstair.relay.store.PendingNotice;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongConsumer;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.random.RandomGenerator;

/**
 * Notifies the platform of messages that end without being delivered, and repeats each notice until it is confirmed.
 * {@link NoticePlan} decides; this class opens connections and sets timers. All methods run on the loop's thread.
 */
public final class Notices {
    private static final Logger LOG = Logger.getLogger(Notices.class.getName());
    private static final int CONFIRMED = 204;

    private final Dialer dialer;
    private final int maxBody;
    private Limits.Notices limits;
    private final Loop loop;
    private final LongConsumer confirmed;
    private final Runnable unreachable;
    private final NoticePlan plan;
    private final Map<NoticePlan.Post, Post> inFlight = new HashMap<>();
    private InetSocketAddress address;
    private HttpConnection idle;
    private Loop.Timer wakeTimer;
    private double wakeAt = Double.POSITIVE_INFINITY; // when wakeTimer is due
    private final RateLimitedLogger overdueLog = new RateLimitedLogger(LOG, Level.WARNING);
    private final RateLimitedLogger answerLog = new RateLimitedLogger(LOG, Level.WARNING);
    private final RateLimitedLogger faultLog = new RateLimitedLogger(LOG, Level.SEVERE);
    private boolean overdueLogged;
    private long postCount;

    /**
     * Starts without pending notices.
     *
     * @param confirmed   receives the id of each message whose notice has been confirmed
     * @param unreachable called when a connection for notices broke or could not be opened
     */
    public Notices(
            Dialer dialer,
            Limits limits,
            Loop loop,
            InetSocketAddress address,
            RandomGenerator random,
            LongConsumer confirmed,
            Runnable unreachable) {
        this.dialer = dialer;
        this.maxBody = limits.maxBody();
        this.limits = limits.notices();
        this.loop = loop;
        this.address = address;
        this.confirmed = confirmed;
        this.unreachable = unreachable;
        this.plan = new NoticePlan(limits.notices(), random);
    }

    /**
     * Adds a pending notice.
     *
     * @param dueAt when it is due, on the loop's clock
     */
    public void add(long id, String requestId, PendingNotice notice, double dueAt) {
        JsonObject o = new JsonObject();
        o.addProperty("message", requestId);
        o.addProperty("outcome", notice.handedBack() ? "handed_back" : "given_up");
        if (notice.handedBack() && notice.retryAfterMs() > 0) {
            o.addProperty("retry_in_ms", Math.round(notice.retryAfterMs()));
        }
        plan.add(id, (o + "\n").getBytes(StandardCharsets.UTF_8), dueAt);
    }

    /**
     * Sends notices to a new address from now on. Notices in flight to the old address are posted again at once: their
     * answers may never arrive, so a notice may arrive twice.
     */
    public void setAddress(InetSocketAddress to) {
        if (to.equals(address)) {
            return;
        }
        address = to;
        keepIdle(null);
        plan.addressChanged();
        flush();
    }

    /** Replaces the limits. */
    public void setLimits(Limits.Notices to) {
        limits = to;
        plan.setLimits(to);
    }

    /** Number of unconfirmed notices. */
    public int pending() {
        return plan.pending();
    }

    /** Whether the platform has not confirmed since it failed, and a notice can still be in time. */
    public boolean failingWithUrgentNotices() {
        return plan.pressing(loop.now());
    }

    /** Sends the posts that are ready by the plan; called at the end of each loop round. */
    public void flush() {
        NoticePlan.Post surplus = plan.postToAbandon();
        if (surplus != null) {
            inFlight.get(surplus).end(NoticePlan.NO_ANSWER, false);
        }
        double now = loop.now();
        for (NoticePlan.Post next = plan.next(now); next != null; next = plan.next(now)) {
            Post p = new Post(next);
            inFlight.put(next, p);
            p.start();
        }
        double at = plan.pending() > 0 ? plan.wakeAt() : Double.POSITIVE_INFINITY;
        if (at > now && at < wakeAt) {
            if (wakeTimer != null) {
                wakeTimer.cancel();
            }
            wakeAt = at;
            wakeTimer = loop.after(at - now, () -> {
                wakeTimer = null;
                wakeAt = Double.POSITIVE_INFINITY;
                flush();
            });
        }
    }

    /** Logs overdue notices, once until all of them have been confirmed. */
    public void logOverdue() {
        int late = plan.countOverdue(loop.now());
        if (late > 0 && !overdueLogged) {
            overdueLogged = overdueLog.log(late + " notices are overdue: the platform at " + HostPort.format(address)
                    + " has not confirmed them");
        }
        if (overdueLogged && plan.recovered()) {
            overdueLogged = false;
            double[] all = plan.takeOverdueStats();
            LOG.warning("the platform confirms again: " + (long) all[0] + " notices were overdue, by "
                    + Math.round(all[1]) + " ms at most");
        }
    }

    private void keepIdle(HttpConnection link) {
        HttpConnection before = idle;
        idle = link;
        if (before != null && before != link) {
            before.abandon();
        }
    }

    /** One post. Its timers are set before a connection is opened, so no exception can keep it in flight forever. */
    private final class Post implements HttpConnection.Exchange {
        private final NoticePlan.Post planned;
        private final InetSocketAddress to = address;
        private HttpConnection link;
        private Loop.Timer slowTimer;
        private Loop.Timer answerTimer;
        private volatile int status;
        private final long number = postCount++;

        Post(NoticePlan.Post planned) {
            this.planned = planned;
        }

        void start() {
            slowTimer = loop.after(planned.slowAfterMs(), () -> {
                plan.slow(planned);
                flush();
            });
            answerTimer = loop.after(limits.answerMs(), () -> end(status, false));
            byte[] request = HttpWriter.request("POST", "/status", HostPort.format(to))
                    .header("Content-Type", "application/x-ndjson")
                    .withBody(planned.body());
            trace((planned.newConnection() ? "post over a new connection, " : "post, ") + planned.slowAfterMs()
                    + " ms until slow: " + new String(planned.body(), StandardCharsets.UTF_8).replace('\n', ' '));
            try {
                HttpConnection kept = planned.newConnection() ? null : idle;
                if (kept != null) {
                    idle = null;
                    if (kept.send(request, this)) {
                        link = kept;
                        return;
                    }
                }
                link = dialer.open(to, maxBody, request, this, () -> {});
            } catch (RuntimeException e) {
                faultLog.log("unexpected exception while posting notices", e);
                loop.post(() -> end(NoticePlan.NO_ANSWER, false));
            }
        }

        private void trace(String what) {
            if (LOG.isLoggable(Level.FINE)) {
                LOG.fine("notices " + number + " to " + HostPort.format(to) + ": " + what);
            }
        }

        private void end(int how, boolean reusable) {
            if (inFlight.remove(planned) == null) {
                return; // completed before: abandoned for another post, or timed out
            }
            slowTimer.cancel();
            answerTimer.cancel();
            trace("post ended with status " + how);
            if (reusable && how == CONFIRMED && to.equals(address)) {
                keepIdle(link);
            } else if (link != null) {
                link.abandon();
            }
            if (how != NoticePlan.NO_ANSWER && how != CONFIRMED) {
                answerLog.log("platform answered a notice with " + how);
            }
            List<Long> over = plan.complete(planned, loop.now(), how);
            over.forEach(confirmed::accept);
        }

        @Override
        public void head(MessageHead head) {
            status = head.status();
        }

        @Override
        public void body(byte[] bytes, int offset, int length) {
            // only the status is relevant
        }

        @Override
        public void completed(boolean reusable, boolean alone) {
            loop.post(() -> end(status, reusable && alone));
        }

        @Override
        public void failed(boolean maybeArrived) {
            loop.post(() -> {
                trace("connection broke");
                end(NoticePlan.NO_ANSWER, false);
                unreachable.run();
            });
        }
    }
}
