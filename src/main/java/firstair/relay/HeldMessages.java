package firstair.relay;

import firstair.control.Controller.Outcome;
import firstair.relay.clients.ResponseStatus;
import firstair.relay.clients.Submission;
import firstair.relay.store.OpenMessage;
import firstair.relay.store.PendingNotice;
import firstair.relay.store.Store;
import firstair.relay.store.StoredMessage;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;

/**
 * The messages that this relay has accepted and that have no final answer yet, by the relay's own ids and by the
 * clients' request ids. A message is recorded in the store before its client is told that it was accepted. On the
 * loop's thread only.
 */
final class HeldMessages {

    /** A message without a final answer; {@code client} is null once its client has been answered. */
    static final class Held {
        final StoredMessage message;
        final double deadlineAt;
        final double graceUntil; // of a resumed message: until then its notice is in time; else negative infinity
        Submission client;

        Held(StoredMessage message, double deadlineAt, double graceUntil, Submission client) {
            this.message = message;
            this.deadlineAt = deadlineAt;
            this.graceUntil = graceUntil;
            this.client = client;
        }
    }

    private final Store store;
    private final Map<Long, Held> held = new LinkedHashMap<>();
    private final Map<String, Long> idsByRequestId = new HashMap<>();
    private final EndedMessages ended = new EndedMessages();
    private final List<Held> accepted = new ArrayList<>(); // in this round, not stored yet
    private long acceptedBytes; // space in the store for the messages accepted in this round and not recorded yet
    private final Deque<Held> unanswered = new ArrayDeque<>(); // stored, but their clients are not answered yet
    private long nextId;

    HeldMessages(Store store) {
        this.store = store;
        nextId = store.lastId() + 1;
    }

    long nextId() {
        return nextId++;
    }

    /** Whether there is space for one more message, beside those that were accepted in this round. */
    boolean fits(StoredMessage message) {
        return store.fits(acceptedBytes + Store.spaceFor(message));
    }

    /** The messages and notices that were pending when the last process ended. */
    Collection<OpenMessage> pendingAtStart() {
        return store.open();
    }

    /** Resumes a message of the last process; its notice is in time until {@code graceUntil} at least. */
    Held resume(StoredMessage message, double deadlineAt, double graceUntil) {
        Held resumed = new Held(message, deadlineAt, graceUntil, null);
        hold(resumed);
        return resumed;
    }

    /** Accepts a new message; it is stored and its client is answered at the end of the round. */
    void accept(StoredMessage message, Submission client) {
        Held added = new Held(message, client.deadlineAt(), Double.NEGATIVE_INFINITY, client);
        hold(added);
        accepted.add(added);
        acceptedBytes += Store.spaceFor(message);
    }

    private void hold(Held added) {
        held.put(added.message.id(), added);
        idsByRequestId.put(added.message.requestId(), added.message.id());
    }

    /** The message with this id, or null. */
    Held get(long id) {
        return held.get(id);
    }

    /** The message with this request id of its client, or null. */
    Held byRequestId(String requestId) {
        Long id = idsByRequestId.get(requestId);
        return id == null ? null : held.get(id);
    }

    Collection<Held> all() {
        return held.values();
    }

    boolean isEmpty() {
        return held.isEmpty();
    }

    int size() {
        return held.size();
    }

    /**
     * The status that answers a request whose message has ended and may have run, or null if none is known. A message
     * that certainly never ran may be accepted once more.
     */
    Integer endedStatus(String requestId) {
        return ended.status(requestId);
    }

    /** Removes a message that is given up, and returns it; null if it was removed before. */
    Held removeGivenUp(long id) {
        Held removed = remove(id);
        if (removed != null) {
            ended.add(removed.message.requestId(), ResponseStatus.GIVEN_UP);
        }
        return removed;
    }

    /** Removes a message that has its final answer, and returns it; null if it was removed before. */
    Held remove(long id) {
        Held removed = held.remove(id);
        if (removed != null) {
            idsByRequestId.remove(removed.message.requestId());
        }
        return removed;
    }

    /** Removes a message whose acceptance failed in this round, before it was stored. */
    void undoAccept(long id) {
        accepted.remove(remove(id));
    }

    /**
     * Records the end of an attempt, and the completion of its message if that ended too. An attempt that was not
     * recorded before is recorded now, so that it counts.
     */
    void attemptEnded(Outcome outcome, String zone, long nowMs) {
        if (store.attemptCount(outcome.id()) == outcome.attempt()) {
            store.attemptStarted(outcome.id(), outcome.endpoint(), zone, nowMs);
        }
        store.attemptEnded(outcome.id(), outcome.attempt(), outcome.result().maybeRan());
        if (outcome.messageEnded()) {
            Held over = held.get(outcome.id());
            if (over != null) {
                ended.add(over.message.requestId(), ResponseStatus.ACCEPTED);
            }
            complete(outcome.id());
        }
    }

    /** Records that a message is completed, with nothing left to send, and removes it. */
    void complete(long id) {
        store.complete(id);
        remove(id);
    }

    /** Records that only the notice of a message is pending. */
    void noticePending(long id, PendingNotice notice) {
        store.setPendingNotice(id, notice);
    }

    /** Number of recorded attempts of a message, which is the number of its next one; -1 if it is completed. */
    int recordedAttempts(long id) {
        return store.attemptCount(id);
    }

    /** Records that a call is about to be written; from now on it may have run. */
    void recordCall(long id, int attempt, String endpoint, String zone, long nowMs) {
        if (store.attemptCount(id) > attempt) {
            store.attemptEnded(id, attempt, true); // recorded before, for a connection that turned out to be stale
        } else {
            store.attemptStarted(id, endpoint, zone, nowMs);
        }
    }

    /** Records that a recorded call was not written after all; it may be written later. */
    void callNotWritten(long id, int attempt) {
        store.attemptEnded(id, attempt, false);
    }

    /** Records the messages accepted in this round; {@link #flush} writes them to the file. */
    void recordAccepted() {
        for (Held added : accepted) {
            if (held.containsKey(added.message.id())) {
                store.accept(added.message);
            }
        }
        acceptedBytes = 0; // the store counts them now
    }

    /** Writes all records since the last call; returns false if they could not be written. */
    boolean flush() {
        return store.flush();
    }

    /** Whether it is certain that the next process reads nothing of a failed {@link #flush}. */
    boolean failedFlushDiscarded() {
        return store.certain();
    }

    /** The messages that were accepted in this round and have no final answer yet. */
    List<Held> acceptedInRound() {
        return accepted.stream()
                .filter(added -> held.containsKey(added.message.id()))
                .toList();
    }

    /**
     * Answers the clients of accepted messages, which are stored by now, until {@code delayed} says that it takes too
     * long. The next call answers the rest, so that notices don't wait for all clients. A message may have its final
     * answer by then.
     *
     * @return whether all clients have been answered
     */
    boolean answerAccepted(BooleanSupplier delayed) {
        unanswered.addAll(acceptedInRound());
        accepted.clear();
        while (!unanswered.isEmpty()) {
            answerAccepted(unanswered.peek());
            if (delayed.getAsBoolean()) {
                break;
            }
        }
        return unanswered.isEmpty();
    }

    /** Answers the client of one message, unless it has been answered or the message is not stored. */
    void answerAccepted(Held stored) {
        if (unanswered.remove(stored)) {
            Submission client = stored.client;
            stored.client = null;
            client.respond(ResponseStatus.ACCEPTED, 0);
        }
    }

    void close() {
        store.close();
    }
}
