package firstair.kit.fleet;

import firstair.fleet.Setup;
import firstair.fleet.talk.Envelope;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** One simulated process of a relay, from its start to its end. */
public final class SimulatedProcess implements RelayLogic.Actions {
    private static final int MAX_REPORTS = 200;
    private static final int OTHER_DESTINATIONS = -1; // all destinations without a share of their own

    /** Usable share of a limit: {@code part} before {@code until} (ms, own clock), {@code guaranteed} from then on. */
    public record Share(double part, double until, double guaranteed) {
        /** The usable part at a time of the process's own clock; 1 is the whole limit. */
        public double at(double ownTime) {
            return ownTime < until ? part : guaranteed;
        }
    }

    private final SimulatedFleet fleet;
    private final Setup setup;
    private final long incarnation;
    private final long seed;
    private final Clock clock;
    private final Folder folder;
    private final Map<Integer, Share> shares = new TreeMap<>();
    private final List<String> reports = new ArrayList<>();
    private RelayLogic logic;
    private double pausedUntil = Double.NEGATIVE_INFINITY;
    private double wakeAt = Double.POSITIVE_INFINITY; // virtual time, ms
    private long events;
    private boolean ended;

    SimulatedProcess(SimulatedFleet fleet, Setup setup, long incarnation, long seed, Clock clock, Folder folder) {
        this.fleet = fleet;
        this.setup = setup;
        this.incarnation = incarnation;
        this.seed = seed;
        this.clock = clock;
        this.folder = folder;
    }

    /** Sets the decision logic of the process. */
    void setLogic(RelayLogic newLogic) {
        logic = newLogic;
    }

    // ---- properties ----

    /** Its configuration of the fleet. */
    public Setup setup() {
        return setup;
    }

    /** Name of its relay. */
    public String name() {
        return setup.self();
    }

    /** Number that distinguishes this process from others of the same name. */
    public long incarnation() {
        return incarnation;
    }

    /** Seed for its own random draws. */
    public long seed() {
        return seed;
    }

    /** Persistent state of its relay. */
    public Folder folder() {
        return folder;
    }

    /** Its decision logic. */
    public RelayLogic logic() {
        return logic;
    }

    /** Its own monotonic clock, ms. */
    public double now() {
        return clock.read(fleet.now());
    }

    /** Its wall clock, ms since the start of the history. */
    public double wallTime() {
        return fleet.wallTime() + clock.wallOffset();
    }

    Clock clock() {
        return clock;
    }

    /** Whether it has ended. */
    public boolean ended() {
        return ended;
    }

    /** Whether it is paused; its events wait until it resumes. */
    public boolean paused() {
        return pausedUntil > fleet.now();
    }

    /** Number of events that it has handled. */
    public long events() {
        return events;
    }

    /** The last lines reported to the operators. */
    public List<String> reports() {
        return List.copyOf(reports);
    }

    /** Part of a destination's limit that it may use now by its own clock; 1 is the whole limit, 0 after its end. */
    public double part(int destination) {
        Share share = share(destination);
        return ended || share == null ? 0 : share.at(now());
    }

    /** Its latest share of a destination's limit, null if it has none. */
    public Share share(int destination) {
        Share own = shares.get(destination);
        return own == null ? shares.get(OTHER_DESTINATIONS) : own;
    }

    // ---- control by the fleet ----

    void pause(double untilTime) {
        pausedUntil = Math.max(pausedUntil, untilTime);
    }

    double pausedUntil() {
        return pausedUntil;
    }

    void end() {
        ended = true;
    }

    void countEvent() {
        events++;
    }

    // ---- actions of its logic ----

    @Override
    public void send(Envelope envelope) {
        if (!ended) {
            fleet.send(this, envelope);
        }
    }

    @Override
    public void report(String text) {
        if (reports.size() == MAX_REPORTS) {
            reports.remove(0);
        }
        reports.add(text);
    }

    @Override
    public void wake(double inMs) {
        double at = fleet.now() + clock.virtualDuration(Math.max(0, inMs));
        // Only the earliest request counts; when that timer expires, the logic requests a later one again.
        if (at < wakeAt) {
            wakeAt = at;
            fleet.schedule(this, at, "timer", () -> {
                if (wakeAt == at) {
                    wakeAt = Double.POSITIVE_INFINITY;
                    logic.timer(now());
                }
            });
        }
    }

    @Override
    public void share(int destination, double part, double until, double guaranteed) {
        Share before = share(destination);
        Share after = new Share(part, until, guaranteed);
        shares.put(destination, after);
        if (!after.equals(before)) {
            fleet.shareChanged(this, destination, before);
        }
    }

    @Override
    public String toString() {
        return name() + "#" + incarnation;
    }
}
