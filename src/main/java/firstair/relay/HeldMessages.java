package firstair.relay;

import firstair.control.Controller.Outcome;
import firstair.relay.clients.Submission;
import firstair.relay.store.OwedNotice;
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
 * The messages that this relay has taken and that are not over: found by its own numbers and by the clients' ids, and
 * noted in the store before anybody hears that they are taken. On the loop's thread only.
 */
final class HeldMessages {
    private static final int ACCEPTED = 202;

    /** A message that is not over; {@code client} until it has been answered. */
    static final class Held {
        final StoredMessage taken;
        final double deadlineAt;
        final double graceUntil; // until then its end is in time, since the last process took it; else long past
        Submission client;

        Held(StoredMessage taken, double deadlineAt, double graceUntil, Submission client) {
            this.taken = taken;
            this.deadlineAt = deadlineAt;
            this.graceUntil = graceUntil;
            this.client = client;
        }
    }

    private final Store store;
    private final Map<Long, Held> held = new LinkedHashMap<>();
    private final Map<String, Long> ids = new HashMap<>(); // of held messages, by the clients' ids
    private final List<Held> fresh = new ArrayList<>(); // taken in this round, not stored yet
    private final Deque<Held> unconfirmed = new ArrayDeque<>(); // stored, and their clients are not told yet
    private long nextId;

    HeldMessages(Store store) {
        this.store = store;
        nextId = store.lastId() + 1;
    }

    long nextId() {
        return nextId++;
    }

    /** Whether one more message of so many bytes can be taken. */
    boolean fits(int bytes) {
        return store.fits(bytes);
    }

    /** What the last process left. */
    Collection<Store.Open> left() {
        return store.open();
    }

    /** Takes up what the last process left; its end is in time until {@code graceUntil} at the least. */
    Held resume(StoredMessage taken, double deadlineAt, double graceUntil) {
        Held one = new Held(taken, deadlineAt, graceUntil, null);
        hold(one);
        return one;
    }

    /** Takes a new one; it is stored and its client answered with the end of the round. */
    void take(StoredMessage taken, Submission client) {
        Held one = new Held(taken, client.deadlineAt(), Double.NEGATIVE_INFINITY, client);
        hold(one);
        fresh.add(one);
    }

    private void hold(Held one) {
        held.put(one.taken.id(), one);
        ids.put(one.taken.requestId(), one.taken.id());
    }

    /** One by our number, or null. */
    Held get(long id) {
        return held.get(id);
    }

    /** One by the client's id, or null. */
    Held of(String requestId) {
        Long id = ids.get(requestId);
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

    /** It is over for us; returns it, or null if it was before. */
    Held release(long id) {
        Held h = held.remove(id);
        if (h != null) {
            ids.remove(h.taken.requestId());
        }
        return h;
    }

    /** One whose taking has failed: nobody keeps a part of it. */
    void untake(long id) {
        fresh.remove(release(id));
    }

    /** An attempt has ended, and with it perhaps the message. One that was never noted counts among its calls now. */
    void ended(Outcome o, long nowMs) {
        if (store.tries(o.id()) == o.attempt()) {
            store.called(o.id(), o.endpoint(), nowMs);
        }
        store.ended(o.id(), o.attempt(), o.result().maybeRan());
        if (o.messageEnded()) {
            over(o.id());
        }
    }

    /** Nothing more is owed. */
    void over(long id) {
        store.over(id);
        release(id);
    }

    /** A notice is owed, and nothing else. */
    void owed(long id, OwedNotice notice) {
        store.owed(id, notice);
    }

    /** How many calls of a message have been noted: the number of its next one. */
    int tries(long id) {
        return store.tries(id);
    }

    /** A call is about to be written, and may have run from now on. */
    void called(long id, int attempt, String endpoint, long nowMs) {
        if (store.tries(id) > attempt) {
            store.ended(id, attempt, true); // noted before, for a connection that had died by then
        } else {
            store.called(id, endpoint, nowMs);
        }
    }

    /** A call that was noted has not been written after all; it may be later. */
    void unwritten(long id, int attempt) {
        store.ended(id, attempt, false);
    }

    /** Notes what this round has taken; it is in the file with {@link #flush}. */
    void note() {
        for (Held h : fresh) {
            if (held.containsKey(h.taken.id())) {
                store.taken(h.taken);
            }
        }
    }

    boolean flush() {
        return store.flush();
    }

    /** Whether the next process will surely not find what a failed {@link #flush} was to write. */
    boolean certain() {
        return store.certain();
    }

    /** What this round has taken and not ended. */
    List<Held> fresh() {
        return fresh.stream().filter(h -> held.containsKey(h.taken.id())).toList();
    }

    /**
     * Tells clients of what has been taken, which is stored by now, until {@code heldUp} says that it takes too long:
     * the rest is told by the next call, so that no notice waits for all of them. A message may be over by then.
     *
     * @return whether all have been told
     */
    boolean confirm(BooleanSupplier heldUp) {
        unconfirmed.addAll(fresh());
        fresh.clear();
        while (!unconfirmed.isEmpty()) {
            confirm(unconfirmed.peek());
            if (heldUp.getAsBoolean()) {
                break;
            }
        }
        return unconfirmed.isEmpty();
    }

    /** Tells the client of one message, unless it has been told or the message is not stored. */
    void confirm(Held h) {
        if (unconfirmed.remove(h)) {
            Submission client = h.client;
            h.client = null;
            client.answer(ACCEPTED, 0);
        }
    }

    void close() {
        store.close();
    }
}
