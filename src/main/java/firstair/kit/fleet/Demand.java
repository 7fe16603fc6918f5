package firstair.kit.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/**
 * Calls that wait at relays and are sent as far as each relay's share of the limit goes: a bucket of tokens for each
 * process and destination, filled at its share of the limit by its own clock, shortened by how far that may be wrong.
 * A bucket holds one call and what comes in between two looks.
 */
public final class Demand implements PlayedFleet.Watcher {
    private static final double LOOK_MS = 50;
    private static final double SECOND = 1000;

    /** A bucket holds what comes in so long, s, and one call. */
    static final double BURST_S = LOOK_MS / SECOND;

    /** Calls that come. */
    public interface Coming {
        /** Calls a second for a destination at a relay. */
        double rate(String name, int destination, double time);
    }

    /** Hears of each call sent. */
    interface Sent {
        /** A call went out at this moment of virtual time. */
        void sent(Life life, int destination, double time);
    }

    private static final class Queue {
        private final Deque<Double> waiting = new ArrayDeque<>();
        private double due; // arrivals that have not summed up to a whole call
        private double tokens;
        private double settledAt; // own clock
    }

    private static final class Bench {
        private final Map<Integer, Queue> queues = new TreeMap<>();
        private double lookedAt;
    }

    private final PlayedFleet fleet;
    private final Map<Integer, Double> limits;
    private final Coming coming;
    private final double patienceMs;
    private final Sent watch;
    private final Random random;
    private final IdentityHashMap<Life, Bench> benches = new IdentityHashMap<>(); // asked by key only, never iterated
    private final Map<Integer, Long> asked = new TreeMap<>();
    private final Map<Integer, Long> served = new TreeMap<>();

    /**
     * Calls for a fleet whose processes begin later.
     *
     * @param limits     calls a second that each destination takes, as all relays know them
     * @param patienceMs a call waits so long at most
     */
    public Demand(PlayedFleet fleet, Map<Integer, Double> limits, Coming coming, double patienceMs, Sent watch) {
        this.fleet = fleet;
        this.limits = new TreeMap<>(limits);
        this.coming = coming;
        this.patienceMs = patienceMs;
        this.watch = watch;
        this.random = new Random(fleet.seed() ^ 0x5EEDL);
        fleet.watched(this);
    }

    /** Calls that came for a destination. */
    public long asked(int destination) {
        return asked.getOrDefault(destination, 0L);
    }

    /** Calls for a destination that were sent in time. */
    public long served(int destination) {
        return served.getOrDefault(destination, 0L);
    }

    /** Share of all calls that were sent in time. */
    public double service() {
        double of = asked.values().stream().mapToLong(n -> n).sum();
        return of == 0 ? 1 : served.values().stream().mapToLong(n -> n).sum() / of;
    }

    /** Counts anew from now on. */
    public void recount() {
        asked.clear();
        served.clear();
    }

    /** A limit is another one from now on, for all relays. */
    public void limit(int destination, double calls) {
        limits.put(destination, calls);
    }

    /** Calls a second that a destination takes. */
    public double limit(int destination) {
        return limits.get(destination);
    }

    @Override
    public void begun(Life life) {
        Bench bench = new Bench();
        benches.put(life, bench);
        bench.lookedAt = life.now();
        limits.keySet().forEach(d -> {
            Queue queue = new Queue();
            queue.settledAt = life.now();
            bench.queues.put(d, queue);
        });
        fleet.later(life, fleet.now() + random.nextDouble() * LOOK_MS, "looks", () -> look(life, bench));
    }

    @Override
    public void shared(Life life, int destination, Life.Share before) {
        Queue queue = benches.get(life).queues.get(destination);
        if (queue != null) {
            settle(life, destination, queue, before);
        }
    }

    private void settle(Life life, int destination, Queue queue, Life.Share share) {
        double now = life.now();
        double from = queue.settledAt;
        queue.settledAt = now;
        if (share == null) {
            return;
        }
        double full = Math.max(0, Math.min(now, share.until()) - from);
        double parts = full * share.part() + (now - from - full) * share.sure();
        double perMs = limits.get(destination) / SECOND / (1 + life.setup().drift());
        double most = 1 + LOOK_MS * perMs * share.at(now);
        queue.tokens = Math.min(most, queue.tokens + parts * perMs);
    }

    private void look(Life life, Bench bench) {
        double now = life.now();
        double time = fleet.now();
        double since = now - bench.lookedAt;
        bench.lookedAt = now;
        life.played().refresh(now);
        bench.queues.forEach((d, queue) -> {
            double rate = coming.rate(life.name(), d, time);
            queue.due += rate * since / SECOND;
            for (; queue.due >= 1; queue.due--) {
                queue.waiting.add(time);
                asked.merge(d, 1L, Long::sum);
                life.played().asked(now, d);
            }
            while (!queue.waiting.isEmpty() && time - queue.waiting.peek() > patienceMs) {
                queue.waiting.remove();
            }
            settle(life, d, queue, life.share(d));
            for (; queue.tokens >= 1 && !queue.waiting.isEmpty(); queue.tokens--) {
                queue.waiting.remove();
                served.merge(d, 1L, Long::sum);
                watch.sent(life, d, time);
                life.played().sent(now, d, limits.get(d));
            }
        });
        fleet.later(life, time + LOOK_MS, "looks", () -> look(life, bench));
    }
}
