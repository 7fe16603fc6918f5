package firstair.fleet.ledger;

import firstair.fleet.Outbox;
import firstair.fleet.Setup;
import firstair.fleet.talk.Note;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * Replicates the committed state to a relay: polls a voter regularly, switches to another one if that one doesn't
 * answer or is not a leader with a quorum, and assembles newer versions from their chunks. The version held never
 * decreases. Times are milliseconds on the caller's monotonic clock.
 *
 * <p>An answer is <em>linearizable</em> if a leader received the request, was then confirmed by a majority, and was
 * still the leader. Its version was the newest at some moment after the request was sent, so a relay that holds this
 * version or a newer one has everything that was committed before {@code requestedAt}.
 */
public final class Follower {
    private static final int MAX_CHUNKS = 4096;
    private static final int MAX_STATE_BYTES = 64 << 20;
    private static final int MAX_OPEN_REQUESTS = 8; // answers to older ones are dropped
    private static final int MAX_PARTIAL_VERSIONS = 2; // versions that are assembled at a time

    /** Receives the committed state. */
    @FunctionalInterface
    public interface Listener {
        /**
         * Called when a newer version is held, or when the version held was confirmed.
         *
         * @param version      log index of the last operation in it; 0 before the first
         * @param state        to be decoded by {@link LedgerStateMachines#parts}; empty before the first operation
         * @param linearizable whether it contains everything that was committed before {@code requestedAt}
         * @param requestedAt  when the request was sent, on the caller's clock
         */
        void agreed(long version, byte[] state, boolean linearizable, double requestedAt);
    }

    private record Request(double sentAt, String voter) {}

    /** Chunks of one version from one voter. */
    private static final class Partial {
        private final String from;
        private final byte[][] chunks;
        private int missing;
        private int bytes;
        private double linearizableAt = Double.NEGATIVE_INFINITY;
        private double requestedAt = Double.NEGATIVE_INFINITY;

        private Partial(String from, int chunks) {
            this.from = from;
            this.chunks = new byte[chunks][];
            this.missing = chunks;
        }

        private byte[] assemble() {
            byte[] all = new byte[bytes];
            int at = 0;
            for (byte[] chunk : chunks) {
                System.arraycopy(chunk, 0, all, at, chunk.length);
                at += chunk.length;
            }
            return all;
        }
    }

    private final Setup setup;
    private final Outbox outbox;
    private final RandomGenerator random;
    private final Listener listener;
    private final double pollIntervalMs;
    private final double timeoutMs;
    private final Map<Long, Request> requests = new LinkedHashMap<>();
    private final TreeMap<Long, Partial> partials = new TreeMap<>();
    private long version;
    private byte[] state = new byte[0];
    private double linearizableAt = Double.NEGATIVE_INFINITY; // send time of the newest request answered so
    private int voterIndex;
    private int voterChanges; // since the last linearizable answer
    private boolean answered; // the newest request has had a linearizable answer
    private double nextPollAt;
    private double timeoutAt = Double.POSITIVE_INFINITY;
    private long dropped;

    /**
     * Creates a follower that holds nothing and sends its first request at the first {@link #timer}.
     *
     * @param pollIntervalMs time between requests if all are answered
     * @param timeoutMs      how long to wait for an answer before another voter is polled
     */
    public Follower(
            Setup setup,
            Outbox outbox,
            RandomGenerator random,
            Listener listener,
            double pollIntervalMs,
            double timeoutMs) {
        this.setup = setup;
        this.outbox = outbox;
        this.random = random;
        this.listener = listener;
        this.pollIntervalMs = pollIntervalMs;
        this.timeoutMs = timeoutMs;
        this.voterIndex = random.nextInt(setup.voters().size());
        this.nextPollAt = Double.NEGATIVE_INFINITY;
    }

    /** The version held; 0 if none. */
    public long version() {
        return version;
    }

    /** Number of answers so far that matched no request or were invalid. */
    public long dropped() {
        return dropped;
    }

    /** Sends requests that are due. */
    public void timer(double now) {
        if (timeoutAt <= now) {
            if (!answered) { // otherwise only chunks were lost
                nextVoter();
            }
            poll(now);
        } else if (nextPollAt <= now) {
            voterChanges = 0;
            poll(now);
        }
    }

    /** When {@link #timer} has to be called next if no answer arrives before. */
    public double wakeAt() {
        return Math.min(nextPollAt, timeoutAt);
    }

    private void nextVoter() {
        voterIndex = (voterIndex + 1) % setup.voters().size();
        voterChanges++;
    }

    private void poll(double now) {
        long nonce = random.nextLong();
        String voter = setup.voters().get(voterIndex);
        requests.put(nonce, new Request(now, voter));
        if (requests.size() > MAX_OPEN_REQUESTS) {
            requests.remove(requests.keySet().iterator().next());
        }
        answered = false;
        nextPollAt = now + pollIntervalMs;
        // Once all voters have been tried without a linearizable answer, wait for the next poll.
        timeoutAt = voterChanges < setup.voters().size() ? now + timeoutMs : Double.POSITIVE_INFINITY;
        outbox.send(voter, new Note.StateRequest(nonce, version));
    }

    /** Receives an answer. */
    public void receive(double now, String from, Note.StateChunk note) {
        Request request = requests.get(note.nonce());
        if (request == null || !request.voter().equals(from) || note.version() < 0 || !isValid(note)) {
            dropped++;
            return;
        }
        boolean confirmed = note.linearizable() && note.version() <= version;
        boolean newer = note.version() > version;
        if (newer && note.chunks() == 0) {
            dropped++; // announces a newer version without its state
            return;
        }
        if (newer) {
            addChunk(from, request, note);
        } else if (confirmed && request.sentAt() > linearizableAt) {
            linearizableAt = request.sentAt();
            listener.agreed(version, state.clone(), true, linearizableAt);
        }
        if (note.linearizable()) {
            voterChanges = 0;
            answered = true;
            if (note.version() <= version) {
                timeoutAt = Double.POSITIVE_INFINITY; // complete; otherwise the timeout goes on for the other chunks
            }
        } else if (from.equals(setup.voters().get(voterIndex))
                && note.chunk() == 0
                && voterChanges + 1 < setup.voters().size()) {
            nextVoter();
            poll(now);
        }
    }

    private static boolean isValid(Note.StateChunk note) {
        return note.chunks() == 0
                ? note.bytes().length == 0
                : note.chunks() > 0 && note.chunks() <= MAX_CHUNKS && note.chunk() >= 0 && note.chunk() < note.chunks();
    }

    private void addChunk(String from, Request request, Note.StateChunk note) {
        Partial partial = partials.get(note.version());
        if (partial == null || !partial.from.equals(from) || partial.chunks.length != note.chunks()) {
            partial = new Partial(from, note.chunks());
            partials.put(note.version(), partial);
            if (partials.size() > MAX_PARTIAL_VERSIONS) {
                partials.pollFirstEntry();
            }
        }
        partial.requestedAt = Math.max(partial.requestedAt, request.sentAt());
        if (note.linearizable()) {
            partial.linearizableAt = Math.max(partial.linearizableAt, request.sentAt());
        }
        if (partial.chunks[note.chunk()] == null) {
            if (partial.bytes + note.bytes().length > MAX_STATE_BYTES) {
                dropped++;
                partials.remove(note.version());
                return;
            }
            partial.chunks[note.chunk()] = note.bytes();
            partial.bytes += note.bytes().length;
            partial.missing--;
        }
        if (partial.missing == 0) {
            version = note.version();
            state = partial.assemble();
            partials.headMap(version, true).clear();
            boolean linearizable = partial.linearizableAt > linearizableAt;
            linearizableAt = Math.max(linearizableAt, partial.linearizableAt);
            listener.agreed(
                    version, state.clone(), linearizable, linearizable ? partial.linearizableAt : partial.requestedAt);
        }
    }
}
