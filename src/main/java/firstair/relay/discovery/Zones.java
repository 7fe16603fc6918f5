package firstair.relay.discovery;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Maps zone names to numbers: the zones of the settings in their order, then any other in the order of its first
 * appearance. Two names never share a number: otherwise a keyed message that may have run in one zone could be sent
 * again in another, where its key is not known.
 */
public final class Zones {
    private final List<String> names;

    /** @param configured zones of the settings, in the order of their numbers */
    public Zones(List<String> configured) {
        names = new ArrayList<>(configured);
    }

    /** All zone names known so far. */
    public Set<String> names() {
        return new LinkedHashSet<>(names);
    }

    /** The name of a zone, or its number as text if it is not known. */
    public String name(int number) {
        return number >= 0 && number < names.size() ? names.get(number) : String.valueOf(number);
    }

    /** The number of a zone; a new name gets the next free number. */
    public int number(String name) {
        int index = names.indexOf(name);
        if (index < 0) {
            index = names.size();
            names.add(name);
        }
        return index;
    }
}
