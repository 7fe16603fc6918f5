package firstair.kit.fleet;

import firstair.fleet.Setup;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Fixture of scenarios of limits: a fleet, its demand, and the invariants. */
class LimitFixture {
    static final int DESTINATION = 1;
    static final double LIMIT = 200; // calls a second

    final Setup setup;
    final SimulatedFleet fleet;
    final Demand demand;
    final Map<String, Double> demandPerS = new TreeMap<>(); // calls a second, by relay

    LimitFixture(int relays, long seed, FleetDefaults.LogicFactory logicFactory) {
        setup = FleetDefaults.setup(relays);
        Invariants.CallRates rates = new Invariants.CallRates(d -> LIMIT);
        fleet = new SimulatedFleet(
                        setup,
                        FleetDefaults::zone,
                        seed,
                        FleetDefaults.wire(),
                        process -> logicFactory.apply(process, List.of(DESTINATION)))
                .addInvariant(Invariants.sumOfParts())
                .addInvariant(rates);
        demand = new Demand(
                fleet,
                Map.of(DESTINATION, LIMIT),
                (relay, destination, time) -> demandPerS.getOrDefault(relay, 0.0),
                1000,
                rates);
    }

    /** Part of the limit that a relay may use now; 1 is the whole limit. */
    double part(String name) {
        return fleet.process(name).part(DESTINATION);
    }

    double equalPart() {
        return (double) setup.equalParts() / Setup.WHOLE;
    }

    double guaranteed() {
        return (double) setup.guaranteedParts() / Setup.WHOLE;
    }

    /** Time after the last grant of a silent relay's lease until others may use its part, ms. */
    double leaseExpiryMs() {
        return setup.quietMs() * (1 + setup.drift()) / (1 - setup.drift());
    }

    /** All relays except some. */
    List<String> others(String... names) {
        List<String> all = new ArrayList<>(setup.members());
        all.removeAll(List.of(names));
        return all;
    }

    List<String> first(int relays) {
        return setup.members().subList(0, relays);
    }

    List<String> last(int relays) {
        return setup.members()
                .subList(setup.members().size() - relays, setup.members().size());
    }
}
