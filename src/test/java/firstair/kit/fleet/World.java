package firstair.kit.fleet;

import firstair.fleet.Setup;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** What a story plays in: a fleet, the calls that its relays want to make, and the invariants over all of it. */
class World {
    static final int DESTINATION = 1;
    static final double LIMIT = 200; // calls a second

    final Setup setup;
    final PlayedFleet fleet;
    final Demand demand;
    final Map<String, Double> wanted = new TreeMap<>(); // calls a second, by relay

    World(int relays, long seed, Fleets.Maker maker) {
        setup = Fleets.setup(relays);
        Invariants.Rates rates = new Invariants.Rates(d -> LIMIT);
        fleet = new PlayedFleet(
                        setup, Fleets::zone, seed, Fleets.wire(), life -> maker.apply(life, List.of(DESTINATION)))
                .holds(Invariants.sums())
                .holds(rates);
        demand = new Demand(
                fleet, Map.of(DESTINATION, LIMIT), (name, d, time) -> wanted.getOrDefault(name, 0.0), 1000, rates);
    }

    /** Part of the limit that a relay may use now. */
    double part(String name) {
        return fleet.life(name).part(DESTINATION);
    }

    double even() {
        return (double) setup.equalParts() / Setup.WHOLE;
    }

    double sure() {
        return (double) setup.guaranteedParts() / Setup.WHOLE;
    }

    /** So long after the last promise a silent member's part may be somebody else's, ms. */
    double promise() {
        return setup.quietMs() * (1 + setup.drift()) / (1 - setup.drift());
    }

    /** All names but some. */
    List<String> others(String... names) {
        List<String> all = new ArrayList<>(setup.members());
        all.removeAll(List.of(names));
        return all;
    }

    List<String> first(int n) {
        return setup.members().subList(0, n);
    }

    List<String> last(int n) {
        return setup.members()
                .subList(setup.members().size() - n, setup.members().size());
    }
}
