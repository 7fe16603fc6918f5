package firstair.fleet.member;

import firstair.fleet.talk.Note;

/** What we hold of one other member. */
final class Member {
    private static final double NEVER = Double.NEGATIVE_INFINITY;

    final String name;
    long incarnation; // 0 until heard of
    int refutation;
    Note.Status status = Note.Status.GONE; // nobody is there before it is heard of
    double heardAt = NEVER; // any note of this incarnation
    double answeredAt = NEVER; // an answer to something that we asked, so both ways work
    int toTell; // how often its rumour goes out with preference

    double suspectedAt;
    double goneAt; // end of the suspicion, where nothing refutes it
    boolean ours; // we ourselves found no way to it
    boolean kept; // to ourselves: it began while we had doubts about ourselves
    boolean lastCall; // the second half of the suspicion, with a majority behind us
    int asks; // since then, without an answer
    double askedAt = NEVER;
    long askNonce;

    Probe probe;

    /** A hello that waits for its answer. */
    static final class Probe {
        final long nonce;
        final double startedAt;
        final boolean counts; // whether its outcome says something about ourselves
        double endsAt;
        int tries = 1;

        Probe(long nonce, double startedAt, double endsAt, boolean counts) {
            this.nonce = nonce;
            this.startedAt = startedAt;
            this.endsAt = endsAt;
            this.counts = counts;
        }
    }

    Member(String name) {
        this.name = name;
    }

    Note.Rumour rumour() {
        return new Note.Rumour(name, incarnation, refutation, status);
    }

    /** Whether a rumour says more than what is held. */
    boolean olderThan(Note.Rumour r) {
        if (r.incarnation() != incarnation) {
            return r.incarnation() > incarnation;
        } else if (r.refutation() != refutation) {
            return r.refutation() > refutation;
        }
        return r.status().compareTo(status) > 0;
    }

    /** Nothing of an earlier incarnation is kept. */
    void startAnew(long newer) {
        incarnation = newer;
        heardAt = NEVER;
        answeredAt = NEVER;
        probe = null;
    }
}
