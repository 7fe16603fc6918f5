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
 * Proposes operations: sends them to a voter, tries the next voter if that one doesn't answer or reaches no quorum,
 * and reports the outcome. Each operation has an id, so that it is applied once however often it is sent. Times are
 * milliseconds on the caller's monotonic clock.
 */
public final class Proposer {
    /**
     * Half of the results that {@link LedgerStateMachines} keeps, so that none of an open proposal is evicted there.
     */
    static final int MAX_OPEN = LedgerStateMachines.MAX_RESULTS_PER_MEMBER / 2;

    private static final double RETRY_MS = 500; // an answer takes two round trips and two writes to disk
    private static final double TIMEOUT_MS = 8000; // a failed leader is replaced within this time
    private static final double RETRY_AFTER_MS = 2000; // about the time of an election

    private static final class OpenProposal {
        private final byte[] bytes;
        private final Consumer<Outcome> callback;
        private final double deadline;
        private double retryAt;

        private OpenProposal(byte[] bytes, Consumer<Outcome> callback, double deadline) {
            this.bytes = bytes;
            this.callback = callback;
            this.deadline = deadline;
        }
    }

    private final Setup setup;
    private final long incarnation;
    private final Outbox outbox;
    private final long nonceOffset; // random, so that nonces differ from those of our earlier processes
    private final Map<Long, OpenProposal> open = new LinkedHashMap<>();
    private long lastNumber;
    private int voterIndex;

    /** @param incarnation of this process, higher than that of all earlier ones with this name */
    public Proposer(Setup setup, long incarnation, Outbox outbox, RandomGenerator random) {
        this.setup = setup;
        this.incarnation = incarnation;
        this.outbox = outbox;
        this.nonceOffset = random.nextLong();
        int own = setup.voters().indexOf(setup.self());
        this.voterIndex = own >= 0 ? own : random.nextInt(setup.voters().size());
    }

    /**
     * Proposes an operation.
     *
     * @param operation its kind in the first byte, as {@link LedgerStateMachines#operation} writes it
     * @param callback  called once with the outcome; with {@link Outcome.NotNow} after 8 s at the latest
     * @throws Fault.TooLarge if the operation is too long
     */
    public void propose(double now, byte[] operation, Consumer<Outcome> callback) {
        if (operation.length == 0) {
            throw new Fault.Unreadable("an operation without a kind");
        }
        if (operation.length > Proposal.MAX_OPERATION_BYTES) {
            throw new Fault.TooLarge(operation.length, Proposal.MAX_OPERATION_BYTES);
        }
        if (!open.isEmpty() && lastNumber + 1 - open.keySet().iterator().next() >= MAX_OPEN) {
            callback.accept(new Outcome.NotNow(new Fault.NotNow(RETRY_AFTER_MS)));
            return;
        }
        lastNumber++;
        OpenProposal proposal = new OpenProposal(
                new Proposal(setup.self(), incarnation, lastNumber, operation).encode(), callback, now + TIMEOUT_MS);
        open.put(lastNumber, proposal);
        send(now, lastNumber, proposal);
    }

    private void send(double now, long id, OpenProposal proposal) {
        proposal.retryAt = Math.min(proposal.deadline, now + RETRY_MS);
        outbox.send(setup.voters().get(voterIndex), new Note.Propose(nonceOffset + id, proposal.bytes));
    }

    /**
     * Receives an answer; it is dropped if no open proposal matches.
     *
     * @throws Fault.Unreadable if its result cannot be decoded
     */
    public void receive(double now, String from, Note.Proposed note) {
        OpenProposal proposal = open.get(note.nonce() - nonceOffset);
        if (proposal == null || !setup.voters().contains(from)) {
            return;
        }
        if (note.done()) {
            final Outcome outcome = Outcome.decode(note.result());
            open.remove(note.nonce() - nonceOffset);
            voterIndex = setup.voters().indexOf(from);
            proposal.callback.accept(outcome);
        } else if (from.equals(setup.voters().get(voterIndex))) {
            nextVoter();
            double wait = note.retryAfterMs();
            proposal.retryAt = Math.min(proposal.retryAt, now + (wait >= 0 ? wait : RETRY_MS));
        }
    }

    private void nextVoter() {
        voterIndex = (voterIndex + 1) % setup.voters().size();
    }

    /** Sends unanswered proposals again, and fails those past their deadline. */
    public void timer(double now) {
        boolean switched = false;
        List<OpenProposal> expired = new ArrayList<>();
        for (Map.Entry<Long, OpenProposal> entry : List.copyOf(open.entrySet())) {
            OpenProposal proposal = entry.getValue();
            if (proposal.deadline <= now) {
                open.remove(entry.getKey());
                expired.add(proposal);
            } else if (proposal.retryAt <= now) {
                if (!switched) {
                    switched = true;
                    nextVoter();
                }
                send(now, entry.getKey(), proposal);
            }
        }
        expired.forEach(p -> p.callback.accept(new Outcome.NotNow(new Fault.NotNow(RETRY_AFTER_MS))));
    }

    /** When {@link #timer} has to be called next if no answer arrives before; infinite if never. */
    public double wakeAt() {
        double at = Double.POSITIVE_INFINITY;
        for (OpenProposal proposal : open.values()) {
            at = Math.min(at, Math.min(proposal.retryAt, proposal.deadline));
        }
        return at;
    }
}
