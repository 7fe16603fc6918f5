package firstair.fleet.member;

import firstair.fleet.talk.Note;

/** The local view of one other member. */
final class Member {
    private static final double NEVER = Double.NEGATIVE_INFINITY;

    final String name;
    long incarnation; // 0 until heard of
    int refutation;
    Note.Status status = Note.Status.GONE; // until the first note or rumour about it
    double heardAt = NEVER; // latest note of this incarnation
    double answeredAt = NEVER; // latest answer to a request of ours: both directions work
    int pendingBroadcasts; // remaining times its rumour is sent with priority

    double suspectedAt;
    double suspicionEndsAt; // unless it is refuted before
    boolean detectedLocally; // our own probes of it failed
    boolean unpublished; // suspicion not gossiped: it began while our own health was degraded
    boolean confirming; // final phase of the suspicion, while a majority answers us
    int unansweredProbes; // since the suspicion or its final phase began
    double reprobedAt = NEVER;
    long reprobeNonce;

    Probe probe;

    /** A hello whose answer is pending. */
    static final class Probe {
        final long nonce;
        final double startedAt;
        final boolean affectsHealth; // whether a missing answer counts against our own health
        double deadline;
        int attempts = 1;

        Probe(long nonce, double startedAt, double endsAt, boolean counts) {
            this.nonce = nonce;
            this.startedAt = startedAt;
            this.deadline = endsAt;
            this.affectsHealth = counts;
        }
    }

    Member(String name) {
        this.name = name;
    }

    Note.Rumour rumour() {
        return new Note.Rumour(name, incarnation, refutation, status);
    }

    /** Whether a rumour is newer than the local view. */
    boolean supersededBy(Note.Rumour r) {
        if (r.incarnation() != incarnation) {
            return r.incarnation() > incarnation;
        } else if (r.refutation() != refutation) {
            return r.refutation() > refutation;
        }
        return r.status().compareTo(status) > 0;
    }

    /** Switches to a newer incarnation and discards the state of the earlier one. */
    void resetTo(long newer) {
        incarnation = newer;
        heardAt = NEVER;
        answeredAt = NEVER;
        probe = null;
    }
}
