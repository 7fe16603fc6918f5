package firstair.kit.fleet;

import firstair.fleet.Setup;
import firstair.fleet.fault.Fault;
import firstair.fleet.talk.Envelope;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;

/**
 * A simulated fleet of relays in virtual time. All events come from one queue and all random draws from one seed, so
 * that a seed determines a history. All invariants are checked after every event.
 */
public final class SimulatedFleet {
    private static final double MAX_CLOCK_START_MS = 1_000_000; // monotonic clocks start at random readings below this

    /** Encoding of messages. */
    public interface Wire {
        /** Encodes a message as one or more datagrams, each of which can be read on its own. */
        List<byte[]> write(Envelope envelope);

        /**
         * Decodes a datagram.
         *
         * @throws Fault if it is not a message
         */
        Envelope read(byte[] bytes);
    }

    /** Is notified of changes of processes. */
    interface ProcessListener {
        /** The share of a process has changed from {@code before}, null if it had none. */
        default void shareChanged(SimulatedProcess process, int destination, SimulatedProcess.Share before) {}

        /** A process has been created; its logic starts next. */
        default void processStarted(SimulatedProcess process) {}
    }

    private final Setup baseSetup;
    private final Function<String, String> zones;
    private final long seed;
    private final Random random;
    private final Timeline timeline = new Timeline();
    private final VirtualNet net;
    private final Wire wire;
    private final Function<SimulatedProcess, RelayLogic> logicFactory;
    private final List<Invariant> invariants = new ArrayList<>();
    private final List<ProcessListener> listeners = new ArrayList<>();
    private final Map<String, List<SimulatedProcess>> processes = new LinkedHashMap<>();
    private final Map<String, Folder> folders = new LinkedHashMap<>();
    private final Set<Integer> changedDestinations = new LinkedHashSet<>();
    private final Set<Integer> destinations = new TreeSet<>();
    private SimulatedProcess lastProcess;
    private double wallSkippedMs; // by which advanceWallTime has moved the wall time, ms
    private long incarnations = 1000;
    private final Map<String, Long> drops = new TreeMap<>();

    /**
     * Creates a fleet in which no process runs yet.
     *
     * @param baseSetup    setup of the relays; name and zone are replaced by those of each relay
     * @param zones        zone of a relay by its name
     * @param seed         seed of all random draws
     * @param logicFactory creates the decision logic of a process
     */
    public SimulatedFleet(
            Setup baseSetup,
            Function<String, String> zones,
            long seed,
            Wire wire,
            Function<SimulatedProcess, RelayLogic> logicFactory) {
        this.baseSetup = baseSetup;
        this.zones = zones;
        this.seed = seed;
        this.random = new Random(seed);
        this.wire = wire;
        this.logicFactory = logicFactory;
        this.net = new VirtualNet(timeline, new Random(random.nextLong()), this::deliver);
    }

    // ---- setup and state ----

    /** Adds an invariant that is checked after every event. */
    public SimulatedFleet addInvariant(Invariant invariant) {
        invariants.add(invariant);
        return this;
    }

    void addListener(ProcessListener listener) {
        listeners.add(listener);
    }

    /** Setup of a relay. */
    public Setup setup(String name) {
        return new Setup(
                baseSetup.fleet(),
                name,
                zones.apply(name),
                baseSetup.members(),
                baseSetup.voters(),
                baseSetup.helloMs(),
                baseSetup.quietMs(),
                baseSetup.delayMs(),
                baseSetup.drift(),
                baseSetup.cut());
    }

    /** Names of all relays. */
    public List<String> members() {
        return baseSetup.members();
    }

    /** The network between the relays. */
    public VirtualNet net() {
        return net;
    }

    /** Virtual time, ms. */
    public double now() {
        return timeline.now();
    }

    /** Number of events executed. */
    public long events() {
        return timeline.executed();
    }

    /** Hash of the history so far; equal histories have equal digests. */
    public long digest() {
        return timeline.digest();
    }

    /** Seed of all random draws. */
    public long seed() {
        return seed;
    }

    /** Number of messages that were dropped, by the code of the fault. */
    public Map<String, Long> drops() {
        return new TreeMap<>(drops);
    }

    /** Running processes, including paused ones, in the order of the members. */
    public List<SimulatedProcess> running() {
        List<SimulatedProcess> all = new ArrayList<>();
        processes.values().forEach(all::addAll);
        return all;
    }

    /** Running processes of a relay, oldest first. */
    public List<SimulatedProcess> running(String name) {
        return List.copyOf(processes.getOrDefault(name, List.of()));
    }

    /**
     * The newest running process of a relay.
     *
     * @throws IllegalArgumentException if none runs
     */
    public SimulatedProcess process(String name) {
        List<SimulatedProcess> all = running(name);
        if (all.isEmpty()) {
            throw new IllegalArgumentException(name + " does not run");
        }
        return all.get(all.size() - 1);
    }

    /** Sum of the parts of a destination's limit that all processes may use now by their own clocks; 1 is all of it. */
    public double parts(int destination) {
        double sum = 0;
        for (List<SimulatedProcess> ofRelay : processes.values()) {
            for (SimulatedProcess process : ofRelay) {
                sum += process.part(destination);
            }
        }
        return sum;
    }

    /** Destinations of which any process ever had a share. */
    Set<Integer> destinations() {
        return destinations;
    }

    /** Destinations of which a share changed during the last event: sums cannot have grown elsewhere. */
    Set<Integer> changedDestinations() {
        return changedDestinations;
    }

    /** The process that handled the last event, null if it belonged to no process. */
    SimulatedProcess lastProcess() {
        return lastProcess;
    }

    // ---- control of processes ----

    /**
     * Starts a process of a relay, in addition to those already running, with the relay's folder.
     *
     * @throws Fault if the process cannot start
     */
    public SimulatedProcess start(String name) {
        double drift = baseSetup.drift() * (2 * random.nextDouble() - 1);
        Clock clock = new Clock(
                now(), random.nextDouble() * MAX_CLOCK_START_MS, 1 + drift, (random.nextDouble() - 0.5) * 1000);
        Folder folder = folders.computeIfAbsent(name, n -> new Folder(false));
        SimulatedProcess process =
                new SimulatedProcess(this, setup(name), ++incarnations, random.nextLong(), clock, folder);
        process.setLogic(logicFactory.apply(process));
        processes.computeIfAbsent(name, n -> new ArrayList<>()).add(process);
        listeners.forEach(listener -> listener.processStarted(process));
        schedule(process, now(), "starts", () -> process.logic().start(process.now()));
        return process;
    }

    /** Starts a process of each relay. */
    public void startAll() {
        members().forEach(this::start);
    }

    /** Kills a process; it sends nothing any more. */
    public void kill(SimulatedProcess process) {
        process.end();
        processes.get(process.name()).remove(process);
        timeline.addToDigest(process.incarnation());
    }

    /** Kills all processes of a relay. */
    public void kill(String name) {
        running(name).forEach(this::kill);
    }

    /** Deletes the folder of a relay, whose processes must have ended. */
    public void loseFolder(String name) {
        folders.put(name, new Folder(true));
    }

    /** Pauses a process; its events wait until it resumes. */
    public void pause(SimulatedProcess process, double ms) {
        process.pause(now() + ms);
    }

    /**
     * Changes the rate of a process's monotonic clock.
     *
     * @param share deviation from virtual time; 0.01 is one percent faster
     * @throws IllegalArgumentException if the setup allows less drift
     */
    public void setDrift(SimulatedProcess process, double share) {
        if (Math.abs(share) > baseSetup.drift()) {
            throw new IllegalArgumentException("drift exceeds the bound of the setup: " + share);
        }
        process.clock().setRate(now(), 1 + share);
    }

    /** Sets how far the wall clock of a process is ahead of the true time, ms. */
    public void setWallOffset(SimulatedProcess process, double offsetMs) {
        process.clock().setWallOffset(offsetMs);
    }

    /** Advances the true wall time without advancing virtual time. */
    public void advanceWallTime(double ms) {
        wallSkippedMs += ms;
    }

    /** The true wall time, ms since the start of the history. */
    public double wallTime() {
        return now() + wallSkippedMs;
    }

    // ---- simulation ----

    /** Schedules an action that belongs to no process. */
    public void scheduleAfter(double ms, String label, Runnable action) {
        timeline.schedule(now() + ms, "-", label, null, () -> {
            lastProcess = null;
            action.run();
            check();
        });
    }

    /** Schedules an action of a process, which is delayed further while the process is paused. */
    void schedule(SimulatedProcess process, double at, String label, Runnable action) {
        timeline.schedule(at, process.toString(), label, null, () -> runUnlessPaused(process, label, action));
    }

    /** Runs an action of a process now, or when the process resumes. */
    public void runNow(SimulatedProcess process, String label, Runnable action) {
        runUnlessPaused(process, label, action);
    }

    private void runUnlessPaused(SimulatedProcess process, String label, Runnable action) {
        if (process.ended()) {
            return;
        }
        if (process.paused()) {
            timeline.schedule(
                    process.pausedUntil(),
                    process.toString(),
                    label,
                    null,
                    () -> runUnlessPaused(process, label, action));
            return;
        }
        lastProcess = process;
        process.countEvent();
        action.run();
        check();
    }

    void send(SimulatedProcess process, Envelope envelope) {
        for (byte[] datagram : wire.write(envelope)) {
            net.send(process.name(), envelope.to(), datagram, envelope);
        }
    }

    private void deliver(String from, String to, byte[] bytes) {
        Envelope envelope;
        try {
            envelope = wire.read(bytes);
        } catch (Fault undecodable) {
            drops.merge(undecodable.code(), 1L, Long::sum);
            return;
        }
        for (SimulatedProcess process : running(to)) { // all processes of the name receive it
            runUnlessPaused(process, "hears", () -> receive(process, envelope));
        }
    }

    private void receive(SimulatedProcess process, Envelope envelope) {
        try {
            process.logic().receive(process.now(), envelope);
        } catch (Fault dropped) {
            drops.merge(dropped.code(), 1L, Long::sum);
        }
    }

    /** Simulates for {@code ms} of virtual time. */
    public void run(double ms) {
        double until = now() + ms;
        boolean more = true;
        while (more) {
            more = timeline.step(until);
        }
    }

    private void check() {
        for (Invariant invariant : invariants) {
            String violation = invariant.check(this);
            if (violation != null) {
                throw new InvariantViolation(invariant.name(), violation, seed, now(), timeline.lastEvents());
            }
        }
        changedDestinations.clear();
    }

    void shareChanged(SimulatedProcess process, int destination, SimulatedProcess.Share before) {
        listeners.forEach(listener -> listener.shareChanged(process, destination, before));
        if (destination >= 0) {
            destinations.add(destination);
            changedDestinations.add(destination);
        } else {
            changedDestinations.addAll(destinations);
        }
        timeline.addToDigest(destination);
        timeline.addToDigest(Double.doubleToLongBits(process.share(destination).part()));
        timeline.addToDigest(Double.doubleToLongBits(process.share(destination).until()));
    }
}
