package firstair.fleet.ledger;

import firstair.fleet.fault.Fault;
import java.util.ArrayList;
import java.util.List;

/**
 * Replicated state machine for the versions of the contracts. Contracts are opaque here: a version is a list of texts
 * (one JSON object each). A new version is accepted only if it names the current version as its predecessor, so that
 * one of two concurrent updates is rejected.
 *
 * <p>Superseded versions are retained for a while, because relays that could not confirm the newest version apply the
 * strictest that they know. Timestamps come with the operations, from the wall clock of the proposer, and are made
 * monotonic here. As such a clock may be wrong, at least {@value #MIN_VERSIONS} versions are kept whatever their age,
 * and at most {@value #MAX_VERSIONS}.
 */
public final class AgreedContracts implements ReplicatedStateMachine {
    static final int MIN_VERSIONS = 8;
    static final int MAX_VERSIONS = 64;

    /**
     * One committed version of all contracts.
     *
     * @param number    1 for the first, then one more each
     * @param atMs      when it was proposed, milliseconds since 1970 by the proposer's clock; never less than for the
     *                  previous version
     * @param contracts one text each, in the order in which they were proposed
     */
    public record Version(long number, long atMs, List<String> contracts) {}

    /**
     * The result of a {@link #put}.
     *
     * @param accepted   whether the new version was accepted
     * @param version the number in force: the new one, or the current one if the put named another predecessor
     */
    public record Put(boolean accepted, long version) {}

    private final double retentionMs;
    private List<Version> versions = List.of();

    /** @param retentionMs how long a superseded version is kept, ms; must be the same at all voters */
    public AgreedContracts(double retentionMs) {
        this.retentionMs = retentionMs;
    }

    /** Encodes the operation that makes contracts current if version {@code follows} is; 0 if there is none yet. */
    public static byte[] put(long follows, long atMs, List<String> contracts) {
        return LedgerStateMachines.operation(
                LedgerStateMachines.CONTRACTS,
                new MessagePackFormat.Writer()
                        .number(follows)
                        .number(atMs)
                        .texts(contracts)
                        .toBytes());
    }

    /**
     * Decodes the result of {@link #put}.
     *
     * @throws Fault.Unreadable if the bytes are not such a result
     */
    public static Put result(byte[] bytes) {
        MessagePackFormat.Reader in = new MessagePackFormat.Reader(bytes);
        Put put = new Put(in.flag(), in.nonNegativeLong());
        in.expectEnd();
        return put;
    }

    @Override
    public byte[] apply(long index, byte[] operation) {
        MessagePackFormat.Reader in = new MessagePackFormat.Reader(operation);
        long follows = in.nonNegativeLong();
        long atMs = in.nonNegativeLong();
        List<String> contracts = in.texts();
        in.expectEnd();
        long newest = versions.isEmpty() ? 0 : versions.get(versions.size() - 1).number();
        if (follows != newest) {
            return new MessagePackFormat.Writer().flag(false).number(newest).toBytes();
        }
        long at = versions.isEmpty()
                ? atMs
                : Math.max(atMs, versions.get(versions.size() - 1).atMs());
        List<Version> next = new ArrayList<>(versions);
        next.add(new Version(newest + 1, at, List.copyOf(contracts)));
        // A version ends when the next one begins, so its age is counted from the next one's timestamp.
        while (next.size() > MAX_VERSIONS
                || next.size() > MIN_VERSIONS && at - next.get(1).atMs() > retentionMs) {
            next.remove(0);
        }
        versions = List.copyOf(next);
        return new MessagePackFormat.Writer().flag(true).number(newest + 1).toBytes();
    }

    /** The retained versions, the newest last. */
    public List<Version> versions() {
        return versions;
    }

    @Override
    public byte[] snapshot() {
        MessagePackFormat.Writer out = new MessagePackFormat.Writer().number(versions.size());
        versions.forEach(v -> out.number(v.number()).number(v.atMs()).texts(v.contracts()));
        return out.toBytes();
    }

    @Override
    public void restore(byte[] state) {
        versions = read(state);
    }

    /**
     * Decodes a {@link #snapshot}, as relays that are not voters receive it.
     *
     * @throws Fault.Unreadable if the bytes are not a snapshot
     */
    public static List<Version> read(byte[] state) {
        MessagePackFormat.Reader in = new MessagePackFormat.Reader(state);
        List<Version> read = new ArrayList<>();
        for (int n = in.listSize(); n > 0; n--) {
            read.add(new Version(in.nonNegativeLong(), in.nonNegativeLong(), List.copyOf(in.texts())));
        }
        in.expectEnd();
        return List.copyOf(read);
    }
}
