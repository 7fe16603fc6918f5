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
 * A fleet of relays in virtual time. Whatever happens comes out of one queue of events, and all draws out of one seed,
 * so that a seed tells a history; all invariants are checked after every event.
 */
public final class PlayedFleet {
    private static final double EPOCH = 1_000_000; // clocks of processes begin somewhere in this many ms

    /** How messages are written and read. */
    public interface Wire {
        /** As bytes, in pieces as they go out; each can be read alone. */
        List<byte[]> write(Envelope envelope);

        /** From bytes; a {@link Fault} if they are no message. */
        Envelope read(byte[] bytes);
    }

    /** What a watcher hears, beside the invariants. */
    interface Watcher {
        /** Before the share of a process changes from {@code before}, null if it had none. */
        default void shared(Life life, int destination, Life.Share before) {}

        /** A process has begun. */
        default void begun(Life life) {}
    }

    private final Setup pattern;
    private final Function<String, String> zones;
    private final long seed;
    private final Random random;
    private final Timeline timeline = new Timeline();
    private final VirtualNet net;
    private final Wire wire;
    private final Function<Life, Played> maker;
    private final List<Invariant> invariants = new ArrayList<>();
    private final List<Watcher> watchers = new ArrayList<>();
    private final Map<String, List<Life>> lives = new LinkedHashMap<>();
    private final Map<String, Folder> folders = new LinkedHashMap<>();
    private final Set<Integer> changed = new LinkedHashSet<>();
    private final Set<Integer> destinations = new TreeSet<>();
    private Life touched;
    private double skipped; // on walls
    private long incarnations = 1000;
    private final Map<String, Long> drops = new TreeMap<>();

    /**
     * A fleet in which nobody runs yet.
     *
     * @param pattern what its relays are told; {@code self} and {@code az} are each relay's own
     * @param zones   a relay's zone
     * @param maker   decisions of a process
     */
    public PlayedFleet(
            Setup pattern, Function<String, String> zones, long seed, Wire wire, Function<Life, Played> maker) {
        this.pattern = pattern;
        this.zones = zones;
        this.seed = seed;
        this.random = new Random(seed);
        this.wire = wire;
        this.maker = maker;
        this.net = new VirtualNet(timeline, new Random(random.nextLong()), this::come);
    }

    // ---- how it is made and asked ----

    /** One more thing that has to hold. */
    public PlayedFleet holds(Invariant invariant) {
        invariants.add(invariant);
        return this;
    }

    void watched(Watcher watcher) {
        watchers.add(watcher);
    }

    /** What relays are told, as relay {@code name} is told it. */
    public Setup setup(String name) {
        return new Setup(
                pattern.fleet(),
                name,
                zones.apply(name),
                pattern.members(),
                pattern.voters(),
                pattern.helloMs(),
                pattern.quietMs(),
                pattern.delayMs(),
                pattern.drift(),
                pattern.cut());
    }

    /** Names of all relays. */
    public List<String> members() {
        return pattern.members();
    }

    /** The network. */
    public VirtualNet net() {
        return net;
    }

    /** Virtual time, ms. */
    public double now() {
        return timeline.now();
    }

    /** How many events were played. */
    public long events() {
        return timeline.done();
    }

    /** A number that two equal histories share. */
    public long digest() {
        return timeline.digest();
    }

    /** Of all draws. */
    public long seed() {
        return seed;
    }

    /** Messages that were not acted on, by the code of the fault. */
    public Map<String, Long> drops() {
        return new TreeMap<>(drops);
    }

    /** Processes that run, stopped ones too, in the order of the members. */
    public List<Life> running() {
        List<Life> all = new ArrayList<>();
        lives.values().forEach(all::addAll);
        return all;
    }

    /** Processes that run under a name, oldest first. */
    public List<Life> running(String name) {
        return List.copyOf(lives.getOrDefault(name, List.of()));
    }

    /** The newest process that runs under a name. */
    public Life life(String name) {
        List<Life> all = running(name);
        if (all.isEmpty()) {
            throw new IllegalArgumentException(name + " does not run");
        }
        return all.get(all.size() - 1);
    }

    /** Sum of what all processes may use of a destination's limit now, each by its own clock; 1 is the whole. */
    public double parts(int destination) {
        double sum = 0;
        for (List<Life> seat : lives.values()) {
            for (Life life : seat) {
                sum += life.part(destination);
            }
        }
        return sum;
    }

    /** Destinations of which anybody was ever told a share. */
    Set<Integer> destinations() {
        return destinations;
    }

    /** Destinations of which a share changed in the last event: only there can sums have grown. */
    Set<Integer> changed() {
        return changed;
    }

    /** The process that had the last event, null if it was nobody's. */
    Life touched() {
        return touched;
    }

    // ---- what happens to relays ----

    /**
     * A process begins under a name, beside those that run there, with what its folder keeps.
     *
     * @throws Fault where it cannot
     */
    public Life start(String name) {
        double drift = pattern.drift() * (2 * random.nextDouble() - 1);
        Clock clock = new Clock(now(), random.nextDouble() * EPOCH, 1 + drift, (random.nextDouble() - 0.5) * 1000);
        Folder folder = folders.computeIfAbsent(name, n -> new Folder(false));
        Life life = new Life(this, setup(name), ++incarnations, random.nextLong(), clock, folder);
        life.play(maker.apply(life));
        lives.computeIfAbsent(name, n -> new ArrayList<>()).add(life);
        watchers.forEach(w -> w.begun(life));
        later(life, now(), "starts", () -> life.played().start(life.now()));
        return life;
    }

    /** A process begins under each name. */
    public void startAll() {
        members().forEach(this::start);
    }

    /** A process ends without a word. */
    public void kill(Life life) {
        life.end();
        lives.get(life.name()).remove(life);
        timeline.mix(life.incarnation());
    }

    /** All processes under a name end without a word. */
    public void kill(String name) {
        running(name).forEach(this::kill);
    }

    /** What a relay keeps is lost; its processes must have ended. */
    public void forget(String name) {
        folders.put(name, new Folder(true));
    }

    /** A process stops for a while; what comes for it waits. */
    public void pause(Life life, double ms) {
        life.pause(now() + ms);
    }

    /** The advancing clock of a process runs at another rate, within what the setup allows. */
    public void drift(Life life, double share) {
        if (Math.abs(share) > pattern.drift()) {
            throw new IllegalArgumentException("no clock drifts by " + share);
        }
        life.clock().run(now(), 1 + share);
    }

    /** Somebody sets the clock on the wall of a process to so far ahead of the true one. */
    public void set(Life life, double aheadMs) {
        life.clock().set(aheadMs);
    }

    /** The true time on walls goes on by so much while nothing happens. */
    public void goOn(double ms) {
        skipped += ms;
    }

    /** The true time on walls, ms since the beginning. */
    public double wall() {
        return now() + skipped;
    }

    // ---- playing ----

    /** Something happens after a while, to nobody in particular. */
    public void in(double ms, String what, Runnable act) {
        timeline.at(now() + ms, "-", what, null, () -> {
            touched = null;
            act.run();
            check();
        });
    }

    /** Something happens to a process, once it runs. */
    void later(Life life, double at, String what, Runnable act) {
        timeline.at(at, life.toString(), what, null, () -> during(life, what, act));
    }

    /** Something happens to a process now, or when it runs again. */
    public void act(Life life, String what, Runnable act) {
        during(life, what, act);
    }

    private void during(Life life, String what, Runnable act) {
        if (life.over()) {
            return;
        }
        if (life.paused()) {
            timeline.at(life.pausedUntil(), life.toString(), what, null, () -> during(life, what, act));
            return;
        }
        touched = life;
        life.counted();
        act.run();
        check();
    }

    void send(Life life, Envelope envelope) {
        for (byte[] piece : wire.write(envelope)) {
            net.send(life.name(), envelope.to(), piece, envelope);
        }
    }

    private void come(String from, String to, byte[] bytes) {
        Envelope envelope;
        try {
            envelope = wire.read(bytes);
        } catch (Fault unreadable) {
            drops.merge(unreadable.code(), 1L, Long::sum);
            return;
        }
        for (Life life : running(to)) { // two processes under one name both hear it
            during(life, "hears", () -> heard(life, envelope));
        }
    }

    private void heard(Life life, Envelope envelope) {
        try {
            life.played().heard(life.now(), envelope);
        } catch (Fault dropped) {
            drops.merge(dropped.code(), 1L, Long::sum);
        }
    }

    /** Plays for so long, ms. */
    public void run(double ms) {
        double until = now() + ms;
        boolean more = true;
        while (more) {
            more = timeline.step(until);
        }
    }

    private void check() {
        for (Invariant invariant : invariants) {
            String wrong = invariant.check(this);
            if (wrong != null) {
                throw new Breach(invariant.name(), wrong, seed, now(), timeline.last());
            }
        }
        changed.clear();
    }

    void shared(Life life, int destination, Life.Share before) {
        watchers.forEach(w -> w.shared(life, destination, before));
        if (destination >= 0) {
            destinations.add(destination);
            changed.add(destination);
        } else {
            changed.addAll(destinations);
        }
        timeline.mix(destination);
        timeline.mix(Double.doubleToLongBits(life.share(destination).part()));
        timeline.mix(Double.doubleToLongBits(life.share(destination).until()));
    }
}
