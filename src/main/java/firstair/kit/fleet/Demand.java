package firstair.kit.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/**
 * Calls that queue at relays and are sent as each relay's share of the limit allows: each process has a token bucket
 * for each destination, filled at its share of the limit by its own clock, less the largest drift of that clock. A
 * bucket holds one call plus the tokens of one poll interval.
 */
public final class Demand implements SimulatedFleet.ProcessListener {
    private static final double POLL_MS = 50;
    private static final double SECOND = 1000;

    /** A bucket holds the tokens of this time, s, plus one call. */
    static final double BURST_S = POLL_MS / SECOND;

    /** Rate at which calls arrive. */
    public interface ArrivalRate {
        /** Calls a second for a destination at a relay at a virtual time, ms. */
        double rate(String relay, int destination, double time);
    }

    /** Is notified of each call sent. */
    interface CallListener {
        /** A process sent a call at a virtual time, ms. */
        void sent(SimulatedProcess process, int destination, double time);
    }

    private static final class Queue {
        private final Deque<Double> waiting = new ArrayDeque<>();
        private double partialCall; // fraction of a call that has arrived so far
        private double tokens;
        private double tokensAddedAt; // when tokens were last added, ms of the process's own clock
    }

    private static final class ProcessQueues {
        private final Map<Integer, Queue> queues = new TreeMap<>();
        private double polledAt;
    }

    private final SimulatedFleet fleet;
    private final Map<Integer, Double> limits;
    private final ArrivalRate arrivalRate;
    private final double maxWaitMs;
    private final CallListener callListener;
    private final Random random;
    private final IdentityHashMap<SimulatedProcess, ProcessQueues> queuesByProcess =
            new IdentityHashMap<>(); // never iterated: no fixed order
    private final Map<Integer, Long> arrived = new TreeMap<>();
    private final Map<Integer, Long> served = new TreeMap<>();

    /**
     * Creates demand for a fleet that hasn't been started yet.
     *
     * @param limits    limit of each destination, calls a second, known to all relays
     * @param maxWaitMs how long a call waits before it is dropped
     */
    public Demand(
            SimulatedFleet fleet,
            Map<Integer, Double> limits,
            ArrivalRate arrivalRate,
            double maxWaitMs,
            CallListener callListener) {
        this.fleet = fleet;
        this.limits = new TreeMap<>(limits);
        this.arrivalRate = arrivalRate;
        this.maxWaitMs = maxWaitMs;
        this.callListener = callListener;
        this.random = new Random(fleet.seed() ^ 0x5EEDL);
        fleet.addListener(this);
    }

    /** Number of calls that arrived for a destination. */
    public long arrived(int destination) {
        return arrived.getOrDefault(destination, 0L);
    }

    /** Number of calls for a destination that were sent in time. */
    public long served(int destination) {
        return served.getOrDefault(destination, 0L);
    }

    /** Share of all calls that were sent in time, 0 to 1. */
    public double servedShare() {
        double total = arrived.values().stream().mapToLong(n -> n).sum();
        return total == 0 ? 1 : served.values().stream().mapToLong(n -> n).sum() / total;
    }

    /** Resets the numbers of calls to 0. */
    public void resetCounts() {
        arrived.clear();
        served.clear();
    }

    /** Changes a limit for all relays. */
    public void limit(int destination, double calls) {
        limits.put(destination, calls);
    }

    /** Limit of a destination, calls a second. */
    public double limit(int destination) {
        return limits.get(destination);
    }

    @Override
    public void processStarted(SimulatedProcess process) {
        ProcessQueues processQueues = new ProcessQueues();
        queuesByProcess.put(process, processQueues);
        processQueues.polledAt = process.now();
        limits.keySet().forEach(destination -> {
            Queue queue = new Queue();
            queue.tokensAddedAt = process.now();
            processQueues.queues.put(destination, queue);
        });
        fleet.schedule(
                process, fleet.now() + random.nextDouble() * POLL_MS, "looks", () -> poll(process, processQueues));
    }

    @Override
    public void shareChanged(SimulatedProcess process, int destination, SimulatedProcess.Share before) {
        Queue queue = queuesByProcess.get(process).queues.get(destination);
        if (queue != null) {
            addTokens(process, destination, queue, before);
        }
    }

    private void addTokens(SimulatedProcess process, int destination, Queue queue, SimulatedProcess.Share share) {
        double now = process.now();
        double since = queue.tokensAddedAt;
        queue.tokensAddedAt = now;
        if (share == null) {
            return;
        }
        double beforeUntilMs = Math.max(0, Math.min(now, share.until()) - since);
        double shareMs = beforeUntilMs * share.part() + (now - since - beforeUntilMs) * share.guaranteed();
        double perMs = limits.get(destination) / SECOND / (1 + process.setup().drift());
        double maxTokens = 1 + POLL_MS * perMs * share.at(now);
        queue.tokens = Math.min(maxTokens, queue.tokens + shareMs * perMs);
    }

    private void poll(SimulatedProcess process, ProcessQueues processQueues) {
        double now = process.now();
        double time = fleet.now();
        double elapsed = now - processQueues.polledAt;
        processQueues.polledAt = now;
        process.logic().refresh(now);
        processQueues.queues.forEach((destination, queue) -> {
            double rate = arrivalRate.rate(process.name(), destination, time);
            queue.partialCall += rate * elapsed / SECOND;
            for (; queue.partialCall >= 1; queue.partialCall--) {
                queue.waiting.add(time);
                arrived.merge(destination, 1L, Long::sum);
                process.logic().callRequested(now, destination);
            }
            while (!queue.waiting.isEmpty() && time - queue.waiting.peek() > maxWaitMs) {
                queue.waiting.remove();
            }
            addTokens(process, destination, queue, process.share(destination));
            for (; queue.tokens >= 1 && !queue.waiting.isEmpty(); queue.tokens--) {
                queue.waiting.remove();
                served.merge(destination, 1L, Long::sum);
                callListener.sent(process, destination, time);
                process.logic().callSent(now, destination, limits.get(destination));
            }
        });
        fleet.schedule(process, time + POLL_MS, "looks", () -> poll(process, processQueues));
    }
}
