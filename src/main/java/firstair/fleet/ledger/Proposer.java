package firstair.fleet.ledger;

import firstair.fleet.Outbox;
import firstair.fleet.Setup;
import firstair.fleet.fault.Fault;
import firstair.fleet.talk.Note;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Has operations agreed on: hands them to a voter, to another one where that is silent or hears no majority, and
 * says what came of them. Each has an id, so that it counts once however often it is handed over. Times are
 * milliseconds of the caller's own advancing clock.
 */
public final class Proposer {
    /** Open at a time; half of what {@link Agreements} remembers, so that no open one is forgotten there. */
    static final int MOST = Agreements.KEPT / 2;

    private static final double RETRY_MS = 500; // an answer takes two round trips and two writes to disk
    private static final double PATIENCE_MS = 8000; // a leader that died is followed by another one in this time
    private static final double AGAIN_MS = 2000; // an election later

    private static final class Open {
        private final byte[] bytes;
        private final Consumer<Outcome> done;
        private final double until;
        private double retryAt;

        private Open(byte[] bytes, Consumer<Outcome> done, double until) {
            this.bytes = bytes;
            this.done = done;
            this.until = until;
        }
    }

    private final Setup setup;
    private final long incarnation;
    private final Outbox outbox;
    private final long offset; // nonces of another process of ours differ
    private final Map<Long, Open> open = new LinkedHashMap<>();
    private long number;
    private int voter;

    /** @param incarnation of this process, higher than of all before it under our name */
    public Proposer(Setup setup, long incarnation, Outbox outbox, RandomGenerator random) {
        this.setup = setup;
        this.incarnation = incarnation;
        this.outbox = outbox;
        this.offset = random.nextLong();
        int own = setup.voters().indexOf(setup.self());
        this.voter = own >= 0 ? own : random.nextInt(setup.voters().size());
    }

    /**
     * Proposes an operation.
     *
     * @param operation its kind in the first byte, as {@link Agreements#operation} writes it
     * @param done      is told once what came of it, {@link Outcome.NotNow} at the latest after 8 s
     * @throws Fault.TooLarge if it is longer than operations may be
     */
    public void propose(double now, byte[] operation, Consumer<Outcome> done) {
        if (operation.length == 0) {
            throw new Fault.Unreadable("an operation without a kind");
        }
        if (operation.length > Proposal.MOST_BYTES) {
            throw new Fault.TooLarge(operation.length, Proposal.MOST_BYTES);
        }
        if (!open.isEmpty() && number + 1 - open.keySet().iterator().next() >= MOST) {
            done.accept(new Outcome.NotNow(new Fault.NotNow(AGAIN_MS)));
            return;
        }
        number++;
        Open o = new Open(new Proposal(setup.self(), incarnation, number, operation).bytes(), done, now + PATIENCE_MS);
        open.put(number, o);
        send(now, number, o);
    }

    private void send(double now, long id, Open o) {
        o.retryAt = Math.min(o.until, now + RETRY_MS);
        outbox.send(setup.voters().get(voter), new Note.Propose(offset + id, o.bytes));
    }

    /**
     * An answer has come; one to nothing that is open is dropped.
     *
     * @throws Fault.Unreadable if its result is none
     */
    public void heard(double now, String from, Note.Proposed note) {
        Open o = open.get(note.nonce() - offset);
        if (o == null || !setup.voters().contains(from)) {
            return;
        }
        if (note.done()) {
            final Outcome outcome = Outcome.read(note.result());
            open.remove(note.nonce() - offset);
            voter = setup.voters().indexOf(from);
            o.done.accept(outcome);
        } else if (from.equals(setup.voters().get(voter))) {
            next();
            double wait = note.againAfterMs();
            o.retryAt = Math.min(o.retryAt, now + (wait >= 0 ? wait : RETRY_MS));
        }
    }

    private void next() {
        voter = (voter + 1) % setup.voters().size();
    }

    /** Tries again what has had no answer, and gives up what has had none for too long. */
    public void timer(double now) {
        boolean silent = false;
        List<Open> over = new ArrayList<>();
        for (Map.Entry<Long, Open> e : List.copyOf(open.entrySet())) {
            Open o = e.getValue();
            if (o.until <= now) {
                open.remove(e.getKey());
                over.add(o);
            } else if (o.retryAt <= now) {
                if (!silent) {
                    silent = true;
                    next();
                }
                send(now, e.getKey(), o);
            }
        }
        over.forEach(o -> o.done.accept(new Outcome.NotNow(new Fault.NotNow(AGAIN_MS))));
    }

    /** When {@link #timer} has something to do, if nothing is heard until then; infinite if never. */
    public double wakeAt() {
        double at = Double.POSITIVE_INFINITY;
        for (Open o : open.values()) {
            at = Math.min(at, Math.min(o.retryAt, o.until));
        }
        return at;
    }
}
