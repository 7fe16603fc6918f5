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
    private static final double PARTS = 3; // tries that the time left is divided among
    private static final double GROWTH = 2; // each further pause is so many times longer
    private static final double JITTER = 0.25; // pauses vary by this share either way
    private static final int OK = 204;
    private static final int UNREADABLE = 400;

    /** Status of a post that had no answer. */
    static final int NONE = 0;

    /** One notice that has not been confirmed. */
    private static final class Notice {
        final long id;
        final byte[] text;
        final double dueAt;
        int carriers; // posts out that carry it and are not slow
        int tries;
        int group = Integer.MAX_VALUE; // most notices in a post with it: a post with it could not be read
        double notBefore = Double.NEGATIVE_INFINITY;
        double pause;
        boolean doubted; // it was alone in a post that could not be read
        boolean late; // counted as overdue
        double waitsUntil = Double.NaN; // for the end of a post that it is not in; known once it could have gone

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
        private double patienceMs;
        private boolean fresh;
        private boolean full;
        private boolean slow;

        /** Whether it must go over a connection that has carried nothing yet. */
        boolean fresh() {
            return fresh;
        }

        /** After so long without an answer {@link NoticePlan#slow} is to be called. */
        double patienceMs() {
            return patienceMs;
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
    private final Map<Long, Notice> owed = new LinkedHashMap<>();
    private final List<Post> out = new ArrayList<>();
    private double quietUntil = Double.NEGATIVE_INFINITY; // after a failure of the place
    private double okAt = Double.NEGATIVE_INFINITY;
    private double pause;
    private boolean failing; // the place, since it last confirmed
    private int late; // overdue since the platform last confirmed
    private double latestMs; // by how much at most a notice confirmed since then was

    NoticePlan(Limits.Notices limits, RandomGenerator random) {
        this.limits = limits;
        this.random = random;
        this.pause = limits.pauseMs();
    }

    /** Other limits hold from now on; posts that are out keep the times that they were given. */
    void tune(Limits.Notices to) {
        limits = to;
        pause = Math.min(pause, to.pauseMostMs());
    }

    /** A notice is owed from now on, and is in time until {@code dueAt}. */
    void add(long id, byte[] text, double dueAt) {
        owed.putIfAbsent(id, new Notice(id, text, dueAt));
    }

    /** How many notices are not confirmed. */
    int owed() {
        return owed.size();
    }

    /** Posts that are out. */
    int out() {
        return out.size();
    }

    /**
     * The next post to be made now, or null. While one is out that is neither slow nor full, new notices wait for its
     * end: they would only share its fate over a second connection. None waits longer than for an answer of its own.
     */
    Post next(double now) {
        for (Notice n : owed.values()) {
            if (Double.isNaN(n.waitsUntil)) {
                n.waitsUntil = now + patience(n.dueAt - now);
            }
        }
        if (owed.isEmpty() || quietUntil > now || out.size() >= limits.posts()) {
            return null;
        }
        if (answerIsAwaited() && owed.values().stream().noneMatch(n -> n.carriers == 0 && n.waitsUntil <= now)) {
            return null;
        }
        Post p = new Post();
        int bytes = 0;
        int most = Integer.MAX_VALUE;
        double dueAt = Double.POSITIVE_INFINITY;
        for (Notice n : owed.values()) { // in the order in which they came to be owed
            if (n.carriers > 0 || n.notBefore > now) {
                continue;
            }
            boolean fits = p.notices.isEmpty() || bytes + n.text.length <= limits.bytes();
            if (!fits || p.notices.size() >= Math.min(most, n.group)) {
                p.full = true;
                break;
            }
            p.notices.add(n);
            bytes += n.text.length;
            most = Math.min(most, n.group);
            p.fresh |= n.tries > 0;
            if (n.dueAt > now) {
                dueAt = Math.min(dueAt, n.dueAt);
            }
        }
        if (p.notices.isEmpty()) {
            return null;
        }
        for (Notice n : p.notices) {
            n.carriers++;
            n.tries++;
        }
        p.startedAt = now;
        p.patienceMs = patience(dueAt - now);
        out.add(p);
        return p;
    }

    /** For how long an answer is waited for, with so much time left, before what it is to confirm goes once more. */
    private double patience(double leftMs) {
        return Math.max(limits.leastMs(), Math.min(limits.mostMs(), leftMs / PARTS));
    }

    /** Whether a post is out that may soon be answered, and was not full. */
    private boolean answerIsAwaited() {
        return out.stream().anyMatch(p -> !p.slow && !p.full);
    }

    /** When {@link #next} may have something to say though nothing happens until then; infinite if never. */
    double wakeAt() {
        double at = Double.POSITIVE_INFINITY;
        boolean awaited = answerIsAwaited();
        for (Notice n : owed.values()) {
            if (n.carriers == 0) {
                double waits = awaited && !Double.isNaN(n.waitsUntil) ? n.waitsUntil : Double.NEGATIVE_INFINITY;
                at = Math.min(at, Math.max(waits, Math.max(quietUntil, n.notBefore)));
            }
        }
        return at;
    }

    /** A post has had no answer for its patience: what it carries may go again, and it stays out for a late answer. */
    void slow(Post p) {
        if (out.contains(p) && !p.slow) {
            p.slow = true;
            p.notices.forEach(n -> n.carriers--);
        }
    }

    /** The platform is elsewhere from now on: what is out may never be answered, and what failed there is no sign. */
    void moved() {
        List.copyOf(out).forEach(this::slow);
        quietUntil = Double.NEGATIVE_INFINITY;
        failing = false;
        pause = limits.pauseMs();
        owed.values().forEach(n -> n.notBefore = Double.NEGATIVE_INFINITY);
    }

    /** The slow post that has been out longest, where the room for further ones is used up; else null. */
    Post surplus() {
        if (out.size() < limits.posts()) {
            return null;
        }
        return out.stream().filter(p -> p.slow).findFirst().orElse(null);
    }

    /**
     * A post is over: with a status, or {@link #NONE}.
     *
     * @return the messages whose notices are confirmed by it
     */
    List<Long> ended(Post p, double now, int status) {
        if (!out.remove(p)) {
            return List.of();
        }
        if (!p.slow) {
            p.notices.forEach(n -> n.carriers--);
        }
        if (status == OK) {
            okAt = now;
            failing = false;
            pause = limits.pauseMs();
            quietUntil = Double.NEGATIVE_INFINITY;
            List<Long> confirmed = new ArrayList<>();
            for (Notice n : p.notices) {
                if (owed.remove(n.id) != null) {
                    confirmed.add(n.id);
                    latestMs = Math.max(latestMs, now - n.dueAt);
                }
            }
            return confirmed;
        }
        if (status == UNREADABLE) {
            unreadable(p, now);
        } else if (p.fresh && okAt < p.startedAt) {
            // The place itself is in trouble, not one old connection of ours: leave it alone for a little.
            failing = true;
            pause = Math.min(pause, urgent(now) ? limits.urgentPauseMs() : limits.pauseMostMs());
            quietUntil = now + jittered(pause);
            pause *= GROWTH;
        }
        return List.of();
    }

    private boolean urgent(double now) {
        return owed.values().stream().anyMatch(n -> n.dueAt > now);
    }

    /** Whether the place has not answered since it failed, and a notice can still be in time. */
    boolean pressing(double now) {
        return failing && urgent(now);
    }

    /**
     * One notice among them cannot be read, or the connection is spoilt. Halves are tried, so that it holds up no
     * other; one that is alone goes over another connection at once, and pauses if that does not help.
     */
    private void unreadable(Post p, double now) {
        int half = Math.max(1, p.notices.size() / 2);
        for (Notice n : p.notices) {
            if (p.notices.size() > 1) {
                n.group = Math.min(n.group, half);
            } else if (!n.doubted) {
                n.doubted = true;
            } else {
                n.pause = Math.min(limits.pauseMostMs(), n.pause == 0 ? limits.pauseMs() : n.pause * GROWTH);
                n.notBefore = now + jittered(n.pause);
            }
        }
    }

    private double jittered(double ms) {
        return ms * (1 - JITTER + 2 * JITTER * random.nextDouble());
    }

    /** How many notices have become overdue since this was last asked. */
    int overdue(double now) {
        int more = 0;
        for (Notice n : owed.values()) {
            if (!n.late && n.dueAt < now) {
                n.late = true;
                more++;
            }
        }
        late += more;
        return more;
    }

    /** Whether notices were overdue and none is any more. */
    boolean recovered() {
        return late > 0 && owed.values().stream().noneMatch(n -> n.late);
    }

    /** What {@link #recovered} is about, once: how many were late, and by how many milliseconds at most. */
    double[] lateness() {
        double[] told = {late, latestMs};
        late = 0;
        latestMs = 0;
        return told;
    }
}
