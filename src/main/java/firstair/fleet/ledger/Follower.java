package firstair.fleet.ledger;

import firstair.fleet.Outbox;
import firstair.fleet.Setup;
import firstair.fleet.talk.Note;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * Keeps up with what the voters have agreed: asks one of them every so often, another one where it is silent or
 * cannot be sure, and puts the pieces of what is new together. What it holds never goes back. Times are milliseconds
 * of the caller's own advancing clock.
 *
 * <p>An answer is <em>sure</em> if a leader has heard a majority after the ask had reached it and still led then.
 * What it tells was the newest at some moment after the ask was sent; so who holds that version, or a newer one,
 * knew at {@code askedAt} of all that had been agreed until then.
 */
public final class Follower {
    private static final int MOST_PIECES = 4096;
    private static final int MOST_BYTES = 64 << 20;
    private static final int ASKS = 8; // asks that an answer may still come to
    private static final int PARTIALS = 2; // versions that are put together at a time

    /** Is told what is held. */
    @FunctionalInterface
    public interface Listener {
        /**
         * Something new is held, or what is held was confirmed.
         *
         * @param version index of the last operation in it; 0 before the first
         * @param state   what {@link Agreements#parts} reads; empty before the first
         * @param sure    whether it held all that had been agreed when it was asked for
         * @param askedAt when that was, on the caller's clock
         */
        void agreed(long version, byte[] state, boolean sure, double askedAt);
    }

    private record Ask(double at, String of) {}

    /** Pieces of one version as one voter tells it. */
    private static final class Partial {
        private final String from;
        private final byte[][] pieces;
        private int missing;
        private int bytes;
        private double sureAt = Double.NEGATIVE_INFINITY;
        private double askedAt = Double.NEGATIVE_INFINITY;

        private Partial(String from, int pieces) {
            this.from = from;
            this.pieces = new byte[pieces][];
            this.missing = pieces;
        }

        private byte[] whole() {
            byte[] all = new byte[bytes];
            int at = 0;
            for (byte[] piece : pieces) {
                System.arraycopy(piece, 0, all, at, piece.length);
                at += piece.length;
            }
            return all;
        }
    }

    private final Setup setup;
    private final Outbox outbox;
    private final RandomGenerator random;
    private final Listener listener;
    private final double everyMs;
    private final double patienceMs;
    private final Map<Long, Ask> asks = new LinkedHashMap<>();
    private final TreeMap<Long, Partial> partials = new TreeMap<>();
    private long version;
    private byte[] state = new byte[0];
    private double sureAt = Double.NEGATIVE_INFINITY;
    private int voter;
    private int moves; // to another voter since the last answer that was sure
    private boolean told; // the newest ask has had a sure answer
    private double nextAt; // of the next ask
    private double silentAt = Double.POSITIVE_INFINITY;
    private long dropped;

    /**
     * A follower that holds nothing and asks at its first {@link #timer}.
     *
     * @param everyMs    pause between asks while all is well
     * @param patienceMs so long an answer may take before another voter is asked
     */
    public Follower(
            Setup setup, Outbox outbox, RandomGenerator random, Listener listener, double everyMs, double patienceMs) {
        this.setup = setup;
        this.outbox = outbox;
        this.random = random;
        this.listener = listener;
        this.everyMs = everyMs;
        this.patienceMs = patienceMs;
        this.voter = random.nextInt(setup.voters().size());
        this.nextAt = Double.NEGATIVE_INFINITY;
    }

    /** Version that is held; 0 if none. */
    public long version() {
        return version;
    }

    /** Answers that belonged to no ask or could not be used, so far. */
    public long dropped() {
        return dropped;
    }

    /** Asks where it is time. */
    public void timer(double now) {
        if (silentAt <= now) {
            if (!told) { // else only pieces were lost
                next();
            }
            ask(now);
        } else if (nextAt <= now) {
            moves = 0;
            ask(now);
        }
    }

    /** When {@link #timer} has something to do, if nothing is heard until then. */
    public double wakeAt() {
        return Math.min(nextAt, silentAt);
    }

    private void next() {
        voter = (voter + 1) % setup.voters().size();
        moves++;
    }

    private void ask(double now) {
        long nonce = random.nextLong();
        String of = setup.voters().get(voter);
        asks.put(nonce, new Ask(now, of));
        if (asks.size() > ASKS) {
            asks.remove(asks.keySet().iterator().next());
        }
        told = false;
        nextAt = now + everyMs;
        // With all of them silent or unsure there is nobody better to ask: the next round does.
        silentAt = moves < setup.voters().size() ? now + patienceMs : Double.POSITIVE_INFINITY;
        outbox.send(of, new Note.AgreedAsk(nonce, version));
    }

    /** An answer has come. */
    public void heard(double now, String from, Note.Agreed note) {
        Ask ask = asks.get(note.nonce());
        if (ask == null || !ask.of().equals(from) || note.version() < 0 || !fits(note)) {
            dropped++;
            return;
        }
        boolean confirmed = note.sure() && note.version() <= version;
        boolean newer = note.version() > version;
        if (newer && note.pieces() == 0) {
            dropped++; // it says that there is more and does not tell it
            return;
        }
        if (newer) {
            piece(from, ask, note);
        } else if (confirmed && ask.at() > sureAt) {
            sureAt = ask.at();
            listener.agreed(version, state.clone(), true, sureAt);
        }
        if (note.sure()) {
            moves = 0;
            told = true;
            if (note.version() <= version) {
                silentAt = Double.POSITIVE_INFINITY; // all of it is here; else the patience goes on for the rest
            }
        } else if (from.equals(setup.voters().get(voter))
                && note.piece() == 0
                && moves + 1 < setup.voters().size()) {
            next();
            ask(now);
        }
    }

    private static boolean fits(Note.Agreed note) {
        return note.pieces() == 0
                ? note.bytes().length == 0
                : note.pieces() > 0
                        && note.pieces() <= MOST_PIECES
                        && note.piece() >= 0
                        && note.piece() < note.pieces();
    }

    private void piece(String from, Ask ask, Note.Agreed note) {
        Partial p = partials.get(note.version());
        if (p == null || !p.from.equals(from) || p.pieces.length != note.pieces()) {
            p = new Partial(from, note.pieces());
            partials.put(note.version(), p);
            if (partials.size() > PARTIALS) {
                partials.pollFirstEntry();
            }
        }
        p.askedAt = Math.max(p.askedAt, ask.at());
        if (note.sure()) {
            p.sureAt = Math.max(p.sureAt, ask.at());
        }
        if (p.pieces[note.piece()] == null) {
            if (p.bytes + note.bytes().length > MOST_BYTES) {
                dropped++;
                partials.remove(note.version());
                return;
            }
            p.pieces[note.piece()] = note.bytes();
            p.bytes += note.bytes().length;
            p.missing--;
        }
        if (p.missing == 0) {
            version = note.version();
            state = p.whole();
            partials.headMap(version, true).clear();
            boolean sure = p.sureAt > sureAt;
            sureAt = Math.max(sureAt, p.sureAt);
            listener.agreed(version, state.clone(), sure, sure ? p.sureAt : p.askedAt);
        }
    }
}
