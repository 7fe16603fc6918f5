package firstair.relay.platform;

import firstair.relay.Limits;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Decides which notices go in which post, when, and whether over a new connection. It does no I/O and has no clock
 * and no thread: {@link Notices} tells it what happened and carries out what it says. Times are milliseconds on the
 * caller's clock.
 *
 * <p>A notice is due a moment after its message's time, and a connection can fail in every way there is. So what a
 * post carries goes a second time, over a connection of its own, once the post has been out for a part of the time
 * that is left; what has waited longest goes first; and nothing waits behind a post that is slow. A notice that comes
 * twice does no harm.
 */
final class NoticePlan {
    private static final double ATTEMPTS_IN_TIME_LEFT = 3; // tries that the time left is divided among
    private static final double BACKOFF_FACTOR = 2; // each further pause is so many times longer
    private static final double JITTER = 0.25; // pauses vary by this share either way
    private static final int CONFIRMED = 204;
    private static final int BAD_REQUEST = 400;

    /** Status of a post that had no answer. */
    static final int NO_ANSWER = 0;

    /** One notice that has not been confirmed. */
    private static final class Notice {
        final long id;
        final byte[] text;
        final double dueAt;
        int inFlightPosts; // posts out that carry it and are not slow
        int attempts;
        int maxGroupSize = Integer.MAX_VALUE; // most notices in a post with it: a post with it could not be read
        double notBefore = Double.NEGATIVE_INFINITY;
        double backoffMs;
        boolean failedAlone; // it was alone in a post that could not be read
        boolean countedOverdue; // counted as overdue
        double waitUntil = Double.NaN; // for the end of a post that it is not in; known once it could have gone

        Notice(long id, byte[] text, double dueAt) {
            this.id = id;
            this.text = text;
            this.dueAt = dueAt;
        }
    }

    /** A post that is out. */
    static final class Post {
        private final List<Notice> notices = new ArrayList<>();
        private double startedAt;
        private double slowAfterMs;
        private boolean newConnection;
        private boolean full;
        private boolean slow;

        /** Whether it must go over a connection that has carried nothing yet. */
        boolean newConnection() {
            return newConnection;
        }

        /** After so long without an answer {@link NoticePlan#slow} is to be called. */
        double slowAfterMs() {
            return slowAfterMs;
        }

        /** What it says, a line a notice. */
        byte[] body() {
            byte[] all = new byte[notices.stream().mapToInt(n -> n.text.length).sum()];
            int at = 0;
            for (Notice n : notices) {
                System.arraycopy(n.text, 0, all, at, n.text.length);
                at += n.text.length;
            }
            return all;
        }
    }

    private Limits.Notices limits;
    private final RandomGenerator random;
    private final Map<Long, Notice> pending = new LinkedHashMap<>();
    private final List<Post> inFlight = new ArrayList<>();
    private double backoffUntil = Double.NEGATIVE_INFINITY; // after a failure of the place
    private double lastConfirmedAt = Double.NEGATIVE_INFINITY;
    private double backoffMs;
    private boolean failing; // the place, since it last confirmed
    private int overdueCount; // overdue since the platform last confirmed
    private double maxOverdueMs; // by how much at most a notice confirmed since then was

    NoticePlan(Limits.Notices limits, RandomGenerator random) {
        this.limits = limits;
        this.random = random;
        this.backoffMs = limits.pauseMs();
    }

    /** Other limits hold from now on; posts that are out keep the times that they were given. */
    void setLimits(Limits.Notices to) {
        limits = to;
        backoffMs = Math.min(backoffMs, to.pauseMostMs());
    }

    /** A notice is owed from now on, and is in time until {@code dueAt}. */
    void add(long id, byte[] text, double dueAt) {
        pending.putIfAbsent(id, new Notice(id, text, dueAt));
    }

    /** How many notices are not confirmed. */
    int pending() {
        return pending.size();
    }

    /** Posts that are out. */
    int inFlight() {
        return inFlight.size();
    }

    /**
     * The next post to be made now, or null. While one is out that is neither slow nor full, new notices wait for its
     * end: they would only share its fate over a second connection. None waits longer than for an answer of its own.
     */
    Post next(double now) {
        for (Notice n : pending.values()) {
            if (Double.isNaN(n.waitUntil)) {
                n.waitUntil = now + slowAfterMs(n.dueAt - now);
            }
        }
        if (pending.isEmpty() || backoffUntil > now || inFlight.size() >= limits.posts()) {
            return null;
        }
        if (answerExpected() && pending.values().stream().noneMatch(n -> n.inFlightPosts == 0 && n.waitUntil <= now)) {
            return null;
        }
        Post p = new Post();
        int bytes = 0;
        int most = Integer.MAX_VALUE;
        double dueAt = Double.POSITIVE_INFINITY;
        for (Notice n : pending.values()) { // in the order in which they came to be owed
            if (n.inFlightPosts > 0 || n.notBefore > now) {
                continue;
            }
            boolean fits = p.notices.isEmpty() || bytes + n.text.length <= limits.bytes();
            if (!fits || p.notices.size() >= Math.min(most, n.maxGroupSize)) {
                p.full = true;
                break;
            }
            p.notices.add(n);
            bytes += n.text.length;
            most = Math.min(most, n.maxGroupSize);
            p.newConnection |= n.attempts > 0;
            if (n.dueAt > now) {
                dueAt = Math.min(dueAt, n.dueAt);
            }
        }
        if (p.notices.isEmpty()) {
            return null;
        }
        for (Notice n : p.notices) {
            n.inFlightPosts++;
            n.attempts++;
        }
        p.startedAt = now;
        p.slowAfterMs = slowAfterMs(dueAt - now);
        inFlight.add(p);
        return p;
    }

    /** For how long an answer is waited for, with so much time left, before what it is to confirm goes once more. */
    private double slowAfterMs(double leftMs) {
        return Math.max(limits.leastMs(), Math.min(limits.mostMs(), leftMs / ATTEMPTS_IN_TIME_LEFT));
    }

    /** Whether a post is out that may soon be answered, and was not full. */
    private boolean answerExpected() {
        return inFlight.stream().anyMatch(p -> !p.slow && !p.full);
    }

    /** When {@link #next} may have something to say though nothing happens until then; infinite if never. */
    double wakeAt() {
        double at = Double.POSITIVE_INFINITY;
        boolean awaited = answerExpected();
        for (Notice n : pending.values()) {
            if (n.inFlightPosts == 0) {
                double waits = awaited && !Double.isNaN(n.waitUntil) ? n.waitUntil : Double.NEGATIVE_INFINITY;
                at = Math.min(at, Math.max(waits, Math.max(backoffUntil, n.notBefore)));
            }
        }
        return at;
    }

    /** A post has had no answer for its patience: what it carries may go again, and it stays out for a late answer. */
    void slow(Post p) {
        if (inFlight.contains(p) && !p.slow) {
            p.slow = true;
            p.notices.forEach(n -> n.inFlightPosts--);
        }
    }

    /** The platform is elsewhere from now on: what is out may never be answered, and what failed there is no sign. */
    void addressChanged() {
        List.copyOf(inFlight).forEach(this::slow);
        backoffUntil = Double.NEGATIVE_INFINITY;
        failing = false;
        backoffMs = limits.pauseMs();
        pending.values().forEach(n -> n.notBefore = Double.NEGATIVE_INFINITY);
    }

    /** The slow post that has been out longest, where the room for further ones is used up; else null. */
    Post postToAbandon() {
        if (inFlight.size() < limits.posts()) {
            return null;
        }
        return inFlight.stream().filter(p -> p.slow).findFirst().orElse(null);
    }

    /**
     * A post is over: with a status, or {@link #NO_ANSWER}.
     *
     * @return the messages whose notices are confirmed by it
     */
    List<Long> complete(Post p, double now, int status) {
        if (!inFlight.remove(p)) {
            return List.of();
        }
        if (!p.slow) {
            p.notices.forEach(n -> n.inFlightPosts--);
        }
        if (status == CONFIRMED) {
            lastConfirmedAt = now;
            failing = false;
            backoffMs = limits.pauseMs();
            backoffUntil = Double.NEGATIVE_INFINITY;
            List<Long> confirmed = new ArrayList<>();
            for (Notice n : p.notices) {
                if (pending.remove(n.id) != null) {
                    confirmed.add(n.id);
                    maxOverdueMs = Math.max(maxOverdueMs, now - n.dueAt);
                }
            }
            return confirmed;
        }
        if (status == BAD_REQUEST) {
            handleBadRequest(p, now);
        } else if (p.newConnection && lastConfirmedAt < p.startedAt) {
            // The place itself is in trouble, not one old connection of ours: leave it alone for a little.
            failing = true;
            backoffMs = Math.min(backoffMs, urgent(now) ? limits.urgentPauseMs() : limits.pauseMostMs());
            backoffUntil = now + withJitter(backoffMs);
            backoffMs *= BACKOFF_FACTOR;
        }
        return List.of();
    }

    private boolean urgent(double now) {
        return pending.values().stream().anyMatch(n -> n.dueAt > now);
    }

    /** Whether the place has not answered since it failed, and a notice can still be in time. */
    boolean pressing(double now) {
        return failing && urgent(now);
    }

    /**
     * One notice among them cannot be read, or the connection is spoilt. Halves are tried, so that it holds up no
     * other; one that is alone goes over another connection at once, and pauses if that does not help.
     */
    private void handleBadRequest(Post p, double now) {
        int half = Math.max(1, p.notices.size() / 2);
        for (Notice n : p.notices) {
            if (p.notices.size() > 1) {
                n.maxGroupSize = Math.min(n.maxGroupSize, half);
            } else if (!n.failedAlone) {
                n.failedAlone = true;
            } else {
                n.backoffMs = Math.min(limits.pauseMostMs(), n.backoffMs == 0 ? limits.pauseMs() : n.backoffMs * BACKOFF_FACTOR);
                n.notBefore = now + withJitter(n.backoffMs);
            }
        }
    }

    private double withJitter(double ms) {
        return ms * (1 - JITTER + 2 * JITTER * random.nextDouble());
    }

    /** How many notices have become overdue since this was last asked. */
    int countOverdue(double now) {
        int more = 0;
        for (Notice n : pending.values()) {
            if (!n.countedOverdue && n.dueAt < now) {
                n.countedOverdue = true;
                more++;
            }
        }
        overdueCount += more;
        return more;
    }

    /** Whether notices were overdue and none is any more. */
    boolean recovered() {
        return overdueCount > 0 && pending.values().stream().noneMatch(n -> n.countedOverdue);
    }

    /** What {@link #recovered} is about, once: how many were late, and by how many milliseconds at most. */
    double[] takeOverdueStats() {
        double[] told = {overdueCount, maxOverdueMs};
        overdueCount = 0;
        maxOverdueMs = 0;
        return told;
    }
}
