package firstair.fleet.talk;

import firstair.fleet.Setup;
import firstair.fleet.fault.Fault;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What an envelope must pass before anybody acts on what it says: it comes from the newest process of another member
 * that we know of, and is meant for this process. What does not pass changes nothing but a count.
 */
public final class EnvelopeFilter {
    private final Setup setup;
    private final long incarnation;
    private final Map<String, Long> seen = new LinkedHashMap<>(); // members only
    private final Map<String, Long> counts = new TreeMap<>(); // codes of faults only

    /** @param incarnation of our own process */
    public EnvelopeFilter(Setup setup, long incarnation) {
        this.setup = setup;
        this.incarnation = incarnation;
        setup.members().forEach(m -> seen.put(m, 0L));
    }

    /**
     * The notes of an envelope that passes.
     *
     * @throws Fault.OtherFleet     where it names another fleet
     * @throws Fault.OtherVersion   where it is of a version that we do not speak
     * @throws Fault.Stranger       where its sender is no member
     * @throws Fault.NameTaken      where a later process than ours has sent under our name, or is known to the sender
     * @throws Fault.OldIncarnation where a later process than the sender's is known, or an earlier one of our name sent
     * @throws Fault.Echo           where it is our own
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
            throw new Fault.NameTaken(setup.self()); // this is how an earlier process hears of the one that follows it
        }
        if (e.toIncarnation() != 0 && e.toIncarnation() < incarnation) {
            throw new Fault.NotForUs(e.to(), e.toIncarnation());
        }
    }

    /** Counts something that was dropped elsewhere on its way here, such as bytes that could not be read. */
    public void dropped(Fault f) {
        counts.merge(f.code(), 1L, Long::sum);
    }

    /** The highest incarnation that has passed from a member, 0 if none has. */
    public long seen(String member) {
        return seen.getOrDefault(member, 0L);
    }

    /** How many were dropped, by the code of the fault. */
    public Map<String, Long> counts() {
        return new TreeMap<>(counts);
    }
}
