package firstair.relay.platform;

import firstair.relay.Limits;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Decides which notices are sent in which POST request ("post"), when, and whether over a new connection. It does no
 * I/O and has no clock and no thread: {@link Notices} reports events to it and carries out its decisions. Times are
 * milliseconds on the caller's clock.
 *
 * <p>A notice is due shortly after its message's deadline, and a connection can fail in any way. So the notices of a
 * post are sent again, over a new connection, once the post has been in flight for a part of the time left; the oldest
 * notices are sent first; and no notice waits for a slow post. A notice that arrives twice is harmless.
 */
final class NoticePlan {
    private static final double ATTEMPTS_IN_TIME_LEFT = 3; // a post is slow after 1/3 of the time left
    private static final double BACKOFF_FACTOR = 2; // growth of each further backoff
    private static final double JITTER = 0.25; // backoffs vary by this share either way
    private static final int CONFIRMED = 204;
    private static final int BAD_REQUEST = 400;

    /** Status of a post that received no answer. */
    static final int NO_ANSWER = 0;

    /** One notice that has not been confirmed. */
    private static final class Notice {
        final long id;
        final byte[] text;
        final double dueAt;
        int inFlightPosts; // posts in flight that contain it and are not slow
        int attempts;
        int maxGroupSize =
                Integer.MAX_VALUE; // maximum number of notices in its post; halved when its post was answered with 400
        double notBefore = Double.NEGATIVE_INFINITY;
        double backoffMs;
        boolean failedAlone; // it was alone in a post that was answered with 400
        boolean countedOverdue; // counted as overdue
        double waitUntil = Double.NaN; // how long it waits for a post without it; NaN until next() has seen it

        Notice(long id, byte[] text, double dueAt) {
            this.id = id;
            this.text = text;
            this.dueAt = dueAt;
        }
    }

    /** A post in flight. */
    static final class Post {
        private final List<Notice> notices = new ArrayList<>();
        private double startedAt;
        private double slowAfterMs;
        private boolean newConnection;
        private boolean full;
        private boolean slow;

        /** Whether it must be sent over a new connection. */
        boolean newConnection() {
            return newConnection;
        }

        /** After this many milliseconds without an answer {@link NoticePlan#slow} must be called. */
        double slowAfterMs() {
            return slowAfterMs;
        }

        /** The request body, one line per notice. */
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
    private double backoffUntil = Double.NEGATIVE_INFINITY; // after a failure of the platform address
    private double lastConfirmedAt = Double.NEGATIVE_INFINITY;
    private double backoffMs;
    private boolean failing; // the platform has failed since it last confirmed
    private int overdueCount; // overdue since the platform last confirmed
    private double maxOverdueMs; // maximum lateness of a notice confirmed since then

    NoticePlan(Limits.Notices limits, RandomGenerator random) {
        this.limits = limits;
        this.random = random;
        this.backoffMs = limits.pauseMs();
    }

    /** Replaces the limits; posts in flight keep their times. */
    void setLimits(Limits.Notices to) {
        limits = to;
        backoffMs = Math.min(backoffMs, to.pauseMostMs());
    }

    /** Adds a pending notice, which is due at {@code dueAt}. */
    void add(long id, byte[] text, double dueAt) {
        pending.putIfAbsent(id, new Notice(id, text, dueAt));
    }

    /** Number of unconfirmed notices. */
    int pending() {
        return pending.size();
    }

    /** Number of posts in flight. */
    int inFlight() {
        return inFlight.size();
    }

    /**
     * The next post to be sent now, or null. While a post is in flight that is neither slow nor full, new notices wait
     * for it to complete: over a second connection they would only meet the same result. No notice waits longer than it
     * would for an answer to its own post.
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
        for (Notice n : pending.values()) { // in the order in which they were added
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

    /** How long to wait for an answer, given the time left, before the notices are sent again. */
    private double slowAfterMs(double leftMs) {
        return Math.max(limits.leastMs(), Math.min(limits.mostMs(), leftMs / ATTEMPTS_IN_TIME_LEFT));
    }

    /** Whether a post is in flight that is neither slow nor full. */
    private boolean answerExpected() {
        return inFlight.stream().anyMatch(p -> !p.slow && !p.full);
    }

    /** When {@link #next} may return a post even if no event occurs before; infinite if never. */
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

    /** The platform has a new address: posts in flight may never be answered, and earlier failures no longer count. */
    void addressChanged() {
        List.copyOf(inFlight).forEach(this::slow);
        backoffUntil = Double.NEGATIVE_INFINITY;
        failing = false;
        backoffMs = limits.pauseMs();
        pending.values().forEach(n -> n.notBefore = Double.NEGATIVE_INFINITY);
    }

    /** The oldest slow post if the limit of posts in flight is reached; else null. */
    Post postToAbandon() {
        if (inFlight.size() < limits.posts()) {
            return null;
        }
        return inFlight.stream().filter(p -> p.slow).findFirst().orElse(null);
    }

    /**
     * A post has completed, with a status or {@link #NO_ANSWER}.
     *
     * @return ids of the messages whose notices it confirms
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
            // The platform itself fails, not just a stale connection: back off.
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

    /** Whether the platform has not confirmed since it failed, and a notice can still be in time. */
    boolean pressing(double now) {
        return failing && urgent(now);
    }

    /**
     * One notice of the post cannot be parsed, or the connection is corrupted. The post is split in halves, so that a
     * bad notice does not delay others; a single notice is sent again over a new connection at once, and backs off if
     * that fails too.
     */
    private void handleBadRequest(Post p, double now) {
        int half = Math.max(1, p.notices.size() / 2);
        for (Notice n : p.notices) {
            if (p.notices.size() > 1) {
                n.maxGroupSize = Math.min(n.maxGroupSize, half);
            } else if (!n.failedAlone) {
                n.failedAlone = true;
            } else {
                n.backoffMs = Math.min(
                        limits.pauseMostMs(), n.backoffMs == 0 ? limits.pauseMs() : n.backoffMs * BACKOFF_FACTOR);
                n.notBefore = now + withJitter(n.backoffMs);
            }
        }
    }

    private double withJitter(double ms) {
        return ms * (1 - JITTER + 2 * JITTER * random.nextDouble());
    }

    /** Number of notices that have become overdue since the last call. */
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

    /** Whether notices were overdue and none is now. */
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
