package firstair.fleet.talk;

import firstair.fleet.Setup;
import firstair.fleet.fault.Fault;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Validates envelopes before their notes are handled: the sender must be the newest known process of another member and
 * the receiver this process. A rejected envelope changes nothing but a counter.
 */
public final class EnvelopeFilter {
    private final Setup setup;
    private final long incarnation;
    private final Map<String, Long> seen = new LinkedHashMap<>(); // newest incarnations, by member only
    private final Map<String, Long> counts = new TreeMap<>(); // rejected envelopes by fault code only

    /** @param incarnation of our own process */
    public EnvelopeFilter(Setup setup, long incarnation) {
        this.setup = setup;
        this.incarnation = incarnation;
        setup.members().forEach(m -> seen.put(m, 0L));
    }

    /**
     * Returns the notes of a valid envelope.
     *
     * @throws Fault.OtherFleet     where it names another fleet
     * @throws Fault.OtherVersion   where its version is not supported
     * @throws Fault.Stranger       where its sender is not a member
     * @throws Fault.NameTaken      where a later process than ours has sent under our name, or is known to the sender
     * @throws Fault.OldIncarnation where a later process than the sender's is known, or an earlier one of our name sent
     * @throws Fault.Echo           where we sent it ourselves
     * @throws Fault.NotForUs       where it is for another member or an earlier process of ours
     */
    public List<Note> accept(Envelope e) {
        try {
            check(e);
        } catch (Fault f) {
            dropped(f);
            throw f;
        }
        seen.put(e.from(), e.incarnation());
        return e.notes();
    }

    private void check(Envelope e) {
        if (!e.fleet().equals(setup.fleet())) {
            throw new Fault.OtherFleet(e.fleet());
        }
        if (e.version() != Envelope.VERSION) {
            throw new Fault.OtherVersion(e.version());
        }
        Long newest = seen.get(e.from());
        if (newest == null) {
            throw new Fault.Stranger(e.from());
        }
        if (e.from().equals(setup.self())) {
            if (e.incarnation() > incarnation) {
                throw new Fault.NameTaken(setup.self());
            }
            throw e.incarnation() < incarnation
                    ? new Fault.OldIncarnation(e.from(), e.incarnation())
                    : new Fault.Echo(e.from());
        }
        if (e.incarnation() < newest) {
            throw new Fault.OldIncarnation(e.from(), e.incarnation());
        }
        if (!e.to().equals(setup.self())) {
            throw new Fault.NotForUs(e.to(), e.toIncarnation());
        }
        if (e.toIncarnation() > incarnation) {
            throw new Fault.NameTaken(setup.self()); // so an earlier process learns of its successor
        }
        if (e.toIncarnation() != 0 && e.toIncarnation() < incarnation) {
            throw new Fault.NotForUs(e.to(), e.toIncarnation());
        }
    }

    /** Counts input that was dropped before it got here, such as bytes that could not be decoded. */
    public void dropped(Fault f) {
        counts.merge(f.code(), 1L, Long::sum);
    }

    /** The highest incarnation accepted from a member, 0 if none. */
    public long seen(String member) {
        return seen.getOrDefault(member, 0L);
    }

    /** Number of dropped envelopes by fault code. */
    public Map<String, Long> counts() {
        return new TreeMap<>(counts);
    }
}
