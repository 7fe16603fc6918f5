package firstair.fleet.ledger;

import firstair.fleet.fault.Fault;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * All machines of the ledger as one. An operation's first byte says whose it is. A proposal that comes twice, because
 * its answer was lost, counts once: the results of the last {@value #KEPT} of each member's newest process are kept,
 * and a proposal that is older than these, or of an earlier process, is refused, applied or not. Members propose no
 * more than half as many at a time ({@link Proposer}).
 */
public final class Agreements {
    /** Kind of operations on contracts. */
    public static final int CONTRACTS = 1;
    /** Kind of operations on bookings. */
    public static final int BOOKINGS = 2;

    static final int KEPT = 64;
    private static final int MOST_PROPOSERS = 1800; // more than a fleet has members

    /** What is known of the proposals of one member. */
    private static final class Proposer {
        private long incarnation;
        private long forgotten; // proposals up to this number are refused
        private long usedAt; // index of the last one that counted
        private final TreeMap<Long, byte[]> answers = new TreeMap<>();
    }

    private final SortedMap<Integer, Agreement> machines;
    private final Map<String, Proposer> proposers = new TreeMap<>();
    private long version;

    /** @param machines by the kind of the operations that they run, 0 to 255 */
    public Agreements(SortedMap<Integer, Agreement> machines) {
        this.machines = new TreeMap<>(machines);
    }

    /** An operation of a kind. */
    public static byte[] operation(int kind, byte[] rest) {
        byte[] all = new byte[rest.length + 1];
        all[0] = (byte) kind;
        System.arraycopy(rest, 0, all, 1, rest.length);
        return all;
    }

    /** Index of the last operation that a machine has run; what the state is called by. */
    public long version() {
        return version;
    }

    boolean knows(int kind) {
        return machines.containsKey(kind);
    }

    /**
     * Runs a proposal unless it has been run, and says what came of it as {@link Outcome#read} reads it.
     *
     * @throws Fault.UnknownEntry if this program doesn't know what it does; the voter must go no further
     */
    byte[] apply(long index, byte[] bytes) {
        Proposal proposal = Proposal.read(bytes);
        Proposer known = proposers.get(proposal.by());
        if (known != null) {
            byte[] answer = known.incarnation == proposal.incarnation() ? known.answers.get(proposal.number()) : null;
            if (answer != null) {
                return answer;
            }
            if (proposal.incarnation() < known.incarnation
                    || proposal.incarnation() == known.incarnation && proposal.number() <= known.forgotten) {
                return Outcome.refused(new Fault.OldIncarnation(proposal.by(), proposal.incarnation()));
            }
        }
        byte[] answer = run(index, proposal);
        remember(index, proposal, answer);
        version = index;
        return answer;
    }

    private byte[] run(long index, Proposal proposal) {
        Agreement machine = machines.get(proposal.kind());
        if (machine == null) {
            throw new Fault.UnknownEntry(Integer.toString(proposal.kind()));
        }
        byte[] operation = proposal.operation();
        try {
            return Outcome.agreed(machine.apply(index, Arrays.copyOfRange(operation, 1, operation.length)));
        } catch (Fault.UnknownEntry e) {
            throw e;
        } catch (Fault e) {
            return Outcome.refused(e);
        }
    }

    private void remember(long index, Proposal proposal, byte[] answer) {
        Proposer known = proposers.computeIfAbsent(proposal.by(), b -> new Proposer());
        if (known.incarnation != proposal.incarnation()) {
            known.incarnation = proposal.incarnation();
            known.forgotten = 0;
            known.answers.clear();
        }
        known.usedAt = index;
        known.answers.put(proposal.number(), answer);
        while (known.answers.size() > KEPT) {
            known.forgotten = known.answers.pollFirstEntry().getKey();
        }
        if (proposers.size() > MOST_PROPOSERS) {
            String oldest = null;
            for (Map.Entry<String, Proposer> e : proposers.entrySet()) {
                if (oldest == null || e.getValue().usedAt < proposers.get(oldest).usedAt) {
                    oldest = e.getKey();
                }
            }
            proposers.remove(oldest);
        }
    }

    /** What all machines know, without what is kept to tell doubled proposals; {@link #parts} reads it. */
    public byte[] state() {
        Packed.Writer out = new Packed.Writer().number(machines.size());
        machines.forEach((kind, machine) -> out.number(kind).bytes(machine.snapshot()));
        return out.done();
    }

    /**
     * The snapshots of the machines in a {@link #state}, by kind.
     *
     * @throws Fault.Unreadable if it is none
     */
    public static Map<Integer, byte[]> parts(byte[] state) {
        Packed.Reader in = new Packed.Reader(state);
        Map<Integer, byte[]> parts = new LinkedHashMap<>();
        for (int n = in.size(); n > 0; n--) {
            parts.put(in.whole(), in.bytes());
        }
        in.end();
        return parts;
    }

    /** Everything, for the ledger's own snapshots. */
    byte[] snapshot() {
        Packed.Writer out = new Packed.Writer().number(version).bytes(state()).number(proposers.size());
        proposers.forEach((by, p) -> {
            out.text(by)
                    .number(p.incarnation)
                    .number(p.forgotten)
                    .number(p.usedAt)
                    .number(p.answers.size());
            p.answers.forEach((number, answer) -> out.number(number).bytes(answer));
        });
        return out.done();
    }

    /**
     * Takes the place of everything.
     *
     * @throws Fault.Unreadable   if it is no snapshot
     * @throws Fault.UnknownEntry if it has a machine that this program has not
     */
    void restore(byte[] snapshot) {
        Packed.Reader in = new Packed.Reader(snapshot);
        final long at = in.count();
        Map<Integer, byte[]> parts = parts(in.bytes());
        Map<String, Proposer> read = new TreeMap<>();
        for (int n = in.size(); n > 0; n--) {
            Proposer p = new Proposer();
            read.put(in.text(), p);
            p.incarnation = in.count();
            p.forgotten = in.count();
            p.usedAt = in.count();
            for (int m = in.size(); m > 0; m--) {
                p.answers.put(in.count(), in.bytes());
            }
        }
        in.end();
        for (int kind : parts.keySet()) {
            if (!machines.containsKey(kind)) {
                throw new Fault.UnknownEntry(Integer.toString(kind));
            }
        }
        parts.forEach((kind, part) -> machines.get(kind).restore(part));
        proposers.clear();
        proposers.putAll(read);
        version = at;
    }
}
