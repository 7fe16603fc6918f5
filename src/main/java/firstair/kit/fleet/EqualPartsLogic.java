package firstair.kit.fleet;

import firstair.fleet.talk.Envelope;
import java.util.Collection;

/** A relay that exchanges no messages and uses an equal part of each limit: the baseline for measuring sharing. */
final class EqualPartsLogic implements RelayLogic {
    private final SimulatedProcess process;
    private final Collection<Integer> destinations;

    EqualPartsLogic(SimulatedProcess process, Collection<Integer> destinations) {
        this.process = process;
        this.destinations = destinations;
    }

    @Override
    public void start(double now) {
        double equalPart = 1.0 / process.setup().members().size();
        destinations.forEach(destination -> process.share(destination, equalPart, Double.POSITIVE_INFINITY, equalPart));
    }

    @Override
    public void receive(double now, Envelope envelope) {
        // doesn't communicate
    }

    @Override
    public void timer(double now) {
        // sets no timers
    }
}
