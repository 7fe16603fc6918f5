package firstair.fleet.ledger;

import firstair.fleet.fault.Fault;
import java.util.ArrayList;
import java.util.List;

/**
 * The versions of the contracts, as the voters agree on them. What a contract says is not read here: a version is a
 * list of texts (one JSON object each). A new version counts only if it names the version that it follows, so that
 * of two written at the same time one is refused.
 *
 * <p>Versions that have been followed by another one are kept for a span, because relays that could not confirm the
 * newest act by the strictest that they know. Moments are those that the operations tell, from the wall clock of
 * whoever proposed, and never run back here; as such a clock may be wrong, {@value #LEAST} versions stay whatever
 * their age, and at most {@value #MOST}.
 */
public final class AgreedContracts implements Agreement {
    static final int LEAST = 8;
    static final int MOST = 64;

    /**
     * Contracts that were agreed together.
     *
     * @param number    1 for the first, then one more each
     * @param atMs      when, milliseconds since 1970 by the clock of who proposed them; never lower than of the one
     *                  before
     * @param contracts one text each, in the order in which they were proposed
     */
    public record Version(long number, long atMs, List<String> contracts) {}

    /**
     * What came of a {@link #put}.
     *
     * @param taken   whether it is in force
     * @param version the number in force: its own, or that of the version that it did not name
     */
    public record Put(boolean taken, long version) {}

    private final double keepMs;
    private List<Version> versions = List.of();

    /** @param keepMs how long a version that has been followed is kept, ms; the same at all voters */
    public AgreedContracts(double keepMs) {
        this.keepMs = keepMs;
    }

    /** The operation that puts contracts in force if the version before is the one named; 0 if there is none yet. */
    public static byte[] put(long follows, long atMs, List<String> contracts) {
        return Agreements.operation(
                Agreements.CONTRACTS,
                new Packed.Writer()
                        .number(follows)
                        .number(atMs)
                        .texts(contracts)
                        .done());
    }

    /**
     * Reads the result of {@link #put}.
     *
     * @throws Fault.Unreadable if it is none
     */
    public static Put result(byte[] bytes) {
        Packed.Reader in = new Packed.Reader(bytes);
        Put put = new Put(in.flag(), in.count());
        in.end();
        return put;
    }

    @Override
    public byte[] apply(long index, byte[] operation) {
        Packed.Reader in = new Packed.Reader(operation);
        long follows = in.count();
        long atMs = in.count();
        List<String> contracts = in.texts();
        in.end();
        long newest = versions.isEmpty() ? 0 : versions.get(versions.size() - 1).number();
        if (follows != newest) {
            return new Packed.Writer().flag(false).number(newest).done();
        }
        long at = versions.isEmpty()
                ? atMs
                : Math.max(atMs, versions.get(versions.size() - 1).atMs());
        List<Version> next = new ArrayList<>(versions);
        next.add(new Version(newest + 1, at, List.copyOf(contracts)));
        // A version is over when its follower comes: its follower's age counts, not its own.
        while (next.size() > MOST || next.size() > LEAST && at - next.get(1).atMs() > keepMs) {
            next.remove(0);
        }
        versions = List.copyOf(next);
        return new Packed.Writer().flag(true).number(newest + 1).done();
    }

    /** The versions that are kept, the newest last. */
    public List<Version> versions() {
        return versions;
    }

    @Override
    public byte[] snapshot() {
        Packed.Writer out = new Packed.Writer().number(versions.size());
        versions.forEach(v -> out.number(v.number()).number(v.atMs()).texts(v.contracts()));
        return out.done();
    }

    @Override
    public void restore(byte[] state) {
        versions = read(state);
    }

    /**
     * Reads a {@link #snapshot}: what a relay that is no voter gets.
     *
     * @throws Fault.Unreadable if it is none
     */
    public static List<Version> read(byte[] state) {
        Packed.Reader in = new Packed.Reader(state);
        List<Version> read = new ArrayList<>();
        for (int n = in.size(); n > 0; n--) {
            read.add(new Version(in.count(), in.count(), List.copyOf(in.texts())));
        }
        in.end();
        return List.copyOf(read);
    }
}
