package firstair.kit.fleet;

import firstair.control.Controller.Share;
import firstair.fleet.Fleet;
import firstair.fleet.Setup;
import firstair.fleet.Sharing;
import firstair.fleet.fault.Fault;
import firstair.fleet.ledger.InMemoryLedgerStore;
import firstair.fleet.ledger.LedgerState;
import firstair.fleet.talk.Envelope;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/** The real decision logic of a relay, run in a simulated process. */
public class RealRelayLogic implements RelayLogic, Fleet.Actions {
    private final SimulatedProcess process;
    private final Fleet fleet;
    private final double epochMs;
    private final List<Integer> destinations;
    private final Map<String, Double> waitUntilByEndpoint = new TreeMap<>(); // waits requested from other relays
    private boolean zonesChanged;

    /**
     * Creates the logic of a process that starts. A voter restores the ledger from its folder.
     *
     * @param epochMs wall-clock time at the start of virtual time, ms since 1970
     * @throws Fault.LedgerLost if a voter's folder is lost: it must not vote as if it had never voted
     */
    public RealRelayLogic(SimulatedProcess process, Sharing sharing, List<Integer> destinations, double epochMs) {
        this(process, sharing, destinations, epochMs, process.now());
    }

    /** @param startedAt when the process assumes it started, ms of its own clock */
    RealRelayLogic(
            SimulatedProcess process, Sharing sharing, List<Integer> destinations, double epochMs, double startedAt) {
        this.process = process;
        this.epochMs = epochMs;
        this.destinations = destinations;
        Setup setup = process.setup();
        LedgerState ledgerState = null;
        InMemoryLedgerStore ledgerStore = null;
        if (sharing.needsAgreement() && setup.voters().contains(setup.self())) {
            if (process.folder().lost()) {
                throw new Fault.LedgerLost(setup.self());
            }
            InMemoryLedgerStore earlierStore = process.folder().stored(InMemoryLedgerStore.class);
            ledgerState = earlierStore == null
                    ? LedgerState.initial(setup.fleet(), setup.self(), setup.voters())
                    : earlierStore.afterKill(new Random(process.seed()));
            ledgerStore = new InMemoryLedgerStore(ledgerState);
            process.folder().store(ledgerStore);
        }
        fleet = new Fleet(
                setup,
                sharing,
                process.incarnation(),
                process.seed(),
                ledgerState,
                ledgerStore,
                startedAt,
                wallTime() - process.now() + startedAt,
                this);
    }

    /** The real decision logic. */
    public Fleet fleet() {
        return fleet;
    }

    /** Its process. */
    public SimulatedProcess process() {
        return process;
    }

    /** Its wall clock, ms since 1970. */
    public double wallTime() {
        return epochMs + process.wallTime();
    }

    /** Whether zones of held messages may have changed since the last call of this method. */
    boolean takeZonesChanged() {
        boolean changed = zonesChanged;
        zonesChanged = false;
        return changed;
    }

    // ---- events ----

    @Override
    public void start(double now) {
        Set<String> endpoints = new LinkedHashSet<>();
        destinations.forEach(d -> endpoints.add(endpoint(d)));
        fleet.start(now);
        fleet.setListed(now, new LinkedHashSet<>(destinations), endpoints);
    }

    private static String endpoint(int destination) {
        return "e" + destination;
    }

    /** Simulates a response of a destination's endpoint that asks this relay to wait. */
    void endpointAskedToWait(int destination, double ms) {
        fleet.callEnded(process.now(), destination, endpoint(destination), false, false, ms, Double.NaN);
    }

    /** Remaining time for which it doesn't call a destination's endpoint because others were asked to wait, ms. */
    double remainingWaitMs(int destination) {
        return Math.max(0, waitUntilByEndpoint.getOrDefault(endpoint(destination), process.now()) - process.now());
    }

    @Override
    public void receive(double now, Envelope envelope) {
        fleet.receive(now, envelope);
    }

    @Override
    public void timer(double now) {
        fleet.timer(now, wallTime());
    }

    @Override
    public void refresh(double now) {
        fleet.refresh(now, wallTime());
    }

    @Override
    public void callRequested(double now, int destination) {
        fleet.accepted(now, destination);
    }

    @Override
    public void callSent(double now, int destination, double limit) {
        fleet.callStarted(now, destination, false);
        fleet.callEnded(now, destination, endpoint(destination), true, false, 0, limit);
    }

    // ---- actions of the logic ----

    @Override
    public void send(Envelope envelope) {
        process.send(envelope);
    }

    @Override
    public void wake(double inMs) {
        process.wake(inMs);
    }

    @Override
    public void share(int destination, Share share) {
        process.share(destination, share.part(), share.until(), share.guaranteed());
    }

    @Override
    public void warned(String endpoint, double waitUntil, double avoidUntil) {
        waitUntilByEndpoint.merge(endpoint, waitUntil, Math::max);
    }

    @Override
    public void recheckZones() {
        zonesChanged = true;
    }

    @Override
    public void report(String text) {
        process.report(text);
    }
}
