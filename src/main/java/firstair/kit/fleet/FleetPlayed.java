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

/** A relay's real decisions, played. */
public class FleetPlayed implements Played, Fleet.Actions {
    private final Life life;
    private final Fleet fleet;
    private final double epochMs;
    private final List<Integer> destinations;
    private final Map<String, Double> waits = new TreeMap<>(); // by endpoint, of those that others were told
    private boolean confined;

    /**
     * A process that begins. A voter takes up what its folder keeps of the ledger.
     *
     * @param epochMs what clocks on the wall show at the beginning of virtual time, ms since 1970
     * @throws Fault.LedgerLost where a voter's folder is lost: it must not vote as if it had never voted
     */
    public FleetPlayed(Life life, Sharing sharing, List<Integer> destinations, double epochMs) {
        this(life, sharing, destinations, epochMs, life.now());
    }

    /** @param bornAt when it takes itself to have begun, on its own clock */
    FleetPlayed(Life life, Sharing sharing, List<Integer> destinations, double epochMs, double bornAt) {
        this.life = life;
        this.epochMs = epochMs;
        this.destinations = destinations;
        Setup setup = life.setup();
        LedgerState memory = null;
        InMemoryLedgerStore keeper = null;
        if (sharing.needsAgreement() && setup.voters().contains(setup.self())) {
            if (life.folder().lost()) {
                throw new Fault.LedgerLost(setup.self());
            }
            InMemoryLedgerStore before = life.folder().kept(InMemoryLedgerStore.class);
            memory = before == null
                    ? LedgerState.initial(setup.fleet(), setup.self(), setup.voters())
                    : before.afterKill(new Random(life.seed()));
            keeper = new InMemoryLedgerStore(memory);
            life.folder().keep(keeper);
        }
        fleet = new Fleet(
                setup,
                sharing,
                life.incarnation(),
                life.seed(),
                memory,
                keeper,
                bornAt,
                wall() - life.now() + bornAt,
                this);
    }

    /** The real decisions. */
    public Fleet fleet() {
        return fleet;
    }

    /** Its process. */
    public Life life() {
        return life;
    }

    /** What its clock on the wall shows, ms since 1970. */
    public double wall() {
        return epochMs + life.wall();
    }

    /** Whether zones of held messages may have changed since this was last asked. */
    boolean confined() {
        boolean was = confined;
        confined = false;
        return was;
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

    /** The endpoint of a destination tells it to wait. */
    void toldToWait(int destination, double ms) {
        fleet.callEnded(life.now(), destination, endpoint(destination), false, false, ms, Double.NaN);
    }

    /** How long it waits yet with the endpoint of a destination because others were told to, ms. */
    double waits(int destination) {
        return Math.max(0, waits.getOrDefault(endpoint(destination), life.now()) - life.now());
    }

    @Override
    public void heard(double now, Envelope envelope) {
        fleet.receive(now, envelope);
    }

    @Override
    public void timer(double now) {
        fleet.timer(now, wall());
    }

    @Override
    public void refresh(double now) {
        fleet.refresh(now, wall());
    }

    @Override
    public void asked(double now, int destination) {
        fleet.accepted(now, destination);
    }

    @Override
    public void sent(double now, int destination, double limit) {
        fleet.callStarted(now, destination, false);
        fleet.callEnded(now, destination, endpoint(destination), true, false, 0, limit);
    }

    // ---- what follows ----

    @Override
    public void send(Envelope envelope) {
        life.send(envelope);
    }

    @Override
    public void wake(double inMs) {
        life.wake(inMs);
    }

    @Override
    public void share(int destination, Share share) {
        life.share(destination, share.part(), share.until(), share.guaranteed());
    }

    @Override
    public void warned(String endpoint, double waitUntil, double avoidUntil) {
        waits.merge(endpoint, waitUntil, Math::max);
    }

    @Override
    public void recheckZones() {
        confined = true;
    }

    @Override
    public void report(String text) {
        life.report(text);
    }
}
