package firstair.fleet.ledger;

import firstair.fleet.fault.Fault;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Combines the ledger's state machines into one and removes duplicate proposals. The first byte of an operation selects
 * its state machine. A proposal that is sent again because its answer was lost is applied once: the last
 * {@value #MAX_RESULTS_PER_MEMBER} results of each member's newest process are kept, and a proposal that is older than
 * these, or from an earlier process, is rejected, whether it was applied or not. Members have at most half as many
 * proposals open at a time ({@link Proposer}).
 */
public final class LedgerStateMachines {
    /** Kind of operations on contracts. */
    public static final int CONTRACTS = 1;
    /** Kind of operations on bookings. */
    public static final int BOOKINGS = 2;

    static final int MAX_RESULTS_PER_MEMBER = 64;
    private static final int MAX_MEMBERS = 1800; // more than a fleet has members

    /** The latest proposals of one member and their results. */
    private static final class MemberResults {
        private long incarnation;
        private long lastEvicted; // proposals up to this number are rejected
        private long lastIndex; // log index of the last proposal that was applied
        private final TreeMap<Long, byte[]> byNumber = new TreeMap<>();
    }

    private final SortedMap<Integer, ReplicatedStateMachine> stateMachines;
    private final Map<String, MemberResults> resultsByMember = new TreeMap<>();
    private long version;

    /** @param stateMachines by the kind of the operations that they apply, 0 to 255 */
    public LedgerStateMachines(SortedMap<Integer, ReplicatedStateMachine> stateMachines) {
        this.stateMachines = new TreeMap<>(stateMachines);
    }

    /** Prefixes an operation with its kind. */
    public static byte[] operation(int kind, byte[] payload) {
        byte[] all = new byte[payload.length + 1];
        all[0] = (byte) kind;
        System.arraycopy(payload, 0, all, 1, payload.length);
        return all;
    }

    /** Log index of the last applied operation; identifies the state. */
    public long version() {
        return version;
    }

    boolean supports(int kind) {
        return stateMachines.containsKey(kind);
    }

    /**
     * Applies a proposal unless it has been applied, and returns its outcome encoded for {@link Outcome#decode}.
     *
     * @throws Fault.UnknownEntry if this version doesn't know the operation; the voter must apply nothing after it
     */
    byte[] apply(long index, byte[] bytes) {
        Proposal proposal = Proposal.decode(bytes);
        MemberResults results = resultsByMember.get(proposal.proposer());
        if (results != null) {
            byte[] result =
                    results.incarnation == proposal.incarnation() ? results.byNumber.get(proposal.number()) : null;
            if (result != null) {
                return result;
            }
            if (proposal.incarnation() < results.incarnation
                    || proposal.incarnation() == results.incarnation && proposal.number() <= results.lastEvicted) {
                return Outcome.encodeRefused(new Fault.OldIncarnation(proposal.proposer(), proposal.incarnation()));
            }
        }
        byte[] result = execute(index, proposal);
        keepResult(index, proposal, result);
        version = index;
        return result;
    }

    private byte[] execute(long index, Proposal proposal) {
        ReplicatedStateMachine stateMachine = stateMachines.get(proposal.kind());
        if (stateMachine == null) {
            throw new Fault.UnknownEntry(Integer.toString(proposal.kind()));
        }
        byte[] operation = proposal.operation();
        try {
            return Outcome.encodeAgreed(stateMachine.apply(index, Arrays.copyOfRange(operation, 1, operation.length)));
        } catch (Fault.UnknownEntry e) {
            throw e;
        } catch (Fault e) {
            return Outcome.encodeRefused(e);
        }
    }

    private void keepResult(long index, Proposal proposal, byte[] result) {
        MemberResults results = resultsByMember.computeIfAbsent(proposal.proposer(), b -> new MemberResults());
        if (results.incarnation != proposal.incarnation()) {
            results.incarnation = proposal.incarnation();
            results.lastEvicted = 0;
            results.byNumber.clear();
        }
        results.lastIndex = index;
        results.byNumber.put(proposal.number(), result);
        while (results.byNumber.size() > MAX_RESULTS_PER_MEMBER) {
            results.lastEvicted = results.byNumber.pollFirstEntry().getKey();
        }
        if (resultsByMember.size() > MAX_MEMBERS) {
            String oldest = null;
            for (Map.Entry<String, MemberResults> e : resultsByMember.entrySet()) {
                if (oldest == null || e.getValue().lastIndex < resultsByMember.get(oldest).lastIndex) {
                    oldest = e.getKey();
                }
            }
            resultsByMember.remove(oldest);
        }
    }

    /** The state of all state machines, without the results kept for deduplication; decoded by {@link #parts}. */
    public byte[] state() {
        MessagePackFormat.Writer out = new MessagePackFormat.Writer().number(stateMachines.size());
        stateMachines.forEach((kind, stateMachine) -> out.number(kind).bytes(stateMachine.snapshot()));
        return out.toBytes();
    }

    /**
     * Decodes a {@link #state} into the snapshots of the state machines, by kind.
     *
     * @throws Fault.Unreadable if the bytes are not such a state
     */
    public static Map<Integer, byte[]> parts(byte[] state) {
        MessagePackFormat.Reader in = new MessagePackFormat.Reader(state);
        Map<Integer, byte[]> parts = new LinkedHashMap<>();
        for (int n = in.listSize(); n > 0; n--) {
            parts.put(in.nonNegativeInt(), in.bytes());
        }
        in.expectEnd();
        return parts;
    }

    /** The state of all state machines and the results kept for deduplication, for snapshots of the Raft log. */
    byte[] snapshot() {
        MessagePackFormat.Writer out =
                new MessagePackFormat.Writer().number(version).bytes(state()).number(resultsByMember.size());
        resultsByMember.forEach((member, results) -> {
            out.text(member)
                    .number(results.incarnation)
                    .number(results.lastEvicted)
                    .number(results.lastIndex)
                    .number(results.byNumber.size());
            results.byNumber.forEach((number, result) -> out.number(number).bytes(result));
        });
        return out.toBytes();
    }

    /**
     * Replaces everything by a {@link #snapshot}.
     *
     * @throws Fault.Unreadable   if the bytes are not a snapshot
     * @throws Fault.UnknownEntry if it contains a state machine that this version doesn't have
     */
    void restore(byte[] snapshot) {
        MessagePackFormat.Reader in = new MessagePackFormat.Reader(snapshot);
        final long at = in.nonNegativeLong();
        Map<Integer, byte[]> parts = parts(in.bytes());
        Map<String, MemberResults> read = new TreeMap<>();
        for (int n = in.listSize(); n > 0; n--) {
            MemberResults results = new MemberResults();
            read.put(in.text(), results);
            results.incarnation = in.nonNegativeLong();
            results.lastEvicted = in.nonNegativeLong();
            results.lastIndex = in.nonNegativeLong();
            for (int m = in.listSize(); m > 0; m--) {
                results.byNumber.put(in.nonNegativeLong(), in.bytes());
            }
        }
        in.expectEnd();
        for (int kind : parts.keySet()) {
            if (!stateMachines.containsKey(kind)) {
                throw new Fault.UnknownEntry(Integer.toString(kind));
            }
        }
        parts.forEach((kind, part) -> stateMachines.get(kind).restore(part));
        resultsByMember.clear();
        resultsByMember.putAll(read);
        version = at;
    }
}
