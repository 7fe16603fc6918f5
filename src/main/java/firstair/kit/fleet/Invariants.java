package firstair.kit.fleet;

import firstair.fleet.Setup;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.IntToDoubleFunction;

/** Invariants of a whole fleet. */
public final class Invariants {
    private static final double ROUNDING = 1e-9;

    private Invariants() {}

    /**
     * The parts of a limit that all processes may use, each by its own clock, never add up to more than the whole
     * limit. Sums only grow when a process gets a new share, so only those destinations are checked. The guaranteed
     * part counts once for several processes of one name: while they receive no messages, nothing can distinguish them.
     */
    public static Invariant sumOfParts() {
        return new Invariant() {
            @Override
            public String name() {
                return "parts of a limit";
            }

            @Override
            public String check(SimulatedFleet fleet) {
                for (int destination : fleet.changedDestinations()) {
                    double sum = sum(fleet, destination);
                    if (sum > 1 + ROUNDING) {
                        return sum + " of destination " + destination + " in use: " + describe(fleet, destination);
                    }
                }
                return null;
            }
        };
    }

    private static double sum(SimulatedFleet fleet, int destination) {
        double sum = 0;
        for (String name : fleet.members()) {
            double guaranteed = 0;
            for (SimulatedProcess process : fleet.running(name)) {
                double part = process.part(destination);
                double guaranteedPart = Math.min((double) process.setup().guaranteedParts() / Setup.WHOLE, part);
                sum += part - guaranteedPart;
                guaranteed = Math.max(guaranteed, guaranteedPart);
            }
            sum += guaranteed;
        }
        return sum;
    }

    private static String describe(SimulatedFleet fleet, int destination) {
        StringBuilder description = new StringBuilder();
        for (SimulatedProcess process : fleet.running()) {
            SimulatedProcess.Share share = process.share(destination);
            description.append(String.format(
                    Locale.ROOT,
                    "%s=%.6f for %.0f ms%s, ",
                    process,
                    process.part(destination),
                    share == null ? 0 : share.until() - process.now(),
                    process.paused() ? " (stopped)" : ""));
        }
        return description.toString();
    }

    /** No more calls are sent in any second than the limit and the tokens saved up in buckets allow. */
    public static final class CallRates implements Invariant, Demand.CallListener {
        private static final double SECOND = 1000;

        private record Call(SimulatedProcess process, double at) {}

        private static final class RecentCalls {
            private final Deque<Call> calls = new ArrayDeque<>();
            private double highestLimit; // highest limit of the last second
            private double highestLimitAt = Double.NEGATIVE_INFINITY;
        }

        private final IntToDoubleFunction limits;
        private final double burstS;
        private final int buckets;
        private final Map<Integer, RecentCalls> recentCalls = new TreeMap<>();
        private final Set<Integer> destinationsWithNewCalls = new LinkedHashSet<>();

        /** @param limits limit of each destination, calls a second */
        public CallRates(IntToDoubleFunction limits) {
            this(limits, Demand.BURST_S, 1);
        }

        /**
         * @param limits  limit of each destination, calls a second
         * @param burstS  capacity of buckets, as seconds of the limit
         * @param buckets buckets of a process for one destination; each holds at least one call
         */
        CallRates(IntToDoubleFunction limits, double burstS, int buckets) {
            this.limits = limits;
            this.burstS = burstS;
            this.buckets = buckets;
        }

        @Override
        public String name() {
            return "calls in a second";
        }

        @Override
        public void sent(SimulatedProcess process, int destination, double time) {
            RecentCalls recent = recentCalls.computeIfAbsent(destination, d -> new RecentCalls());
            recent.calls.add(new Call(process, time));
            destinationsWithNewCalls.add(destination);
        }

        @Override
        public String check(SimulatedFleet fleet) {
            String violation = null;
            for (int destination : destinationsWithNewCalls) {
                RecentCalls recent = recentCalls.get(destination);
                double now = fleet.now();
                while (recent.calls.peek().at() <= now - SECOND) {
                    recent.calls.remove();
                }
                double limit = limits.applyAsDouble(destination);
                if (limit >= recent.highestLimit || now - recent.highestLimitAt > SECOND) {
                    recent.highestLimit = limit; // calls of the last second may still fall under a higher limit
                    recent.highestLimitAt = now;
                }
                if (recent.calls.size() > recent.highestLimit) {
                    double maxCalls =
                            maxCalls(recent, fleet.setup(fleet.members().get(0)));
                    if (recent.calls.size() > maxCalls) {
                        violation = recent.calls.size() + " calls to destination " + destination + " in a second, "
                                + maxCalls + " at most";
                    }
                }
            }
            destinationsWithNewCalls.clear();
            return violation;
        }

        private double maxCalls(RecentCalls recent, Setup setup) {
            long processes = recent.calls.stream().map(Call::process).distinct().count();
            long names = recent.calls.stream()
                    .map(call -> call.process().name())
                    .distinct()
                    .count();
            double guaranteed = recent.highestLimit
                    * setup.guaranteedParts()
                    / Setup.WHOLE; // again for each further process of a name
            return recent.highestLimit * (1 + burstS) + (processes - names) * guaranteed + processes * buckets;
        }
    }

    /** After the last fault every relay has its equal part again, or has lent some of it: most parts are in use. */
    static final class Recovered implements Invariant {
        private static final double MIN_PARTS = 0.9; // parts whose loan is in transit or has just ended are unused

        @Override
        public String name() {
            return "all parts in use after the last fault";
        }

        @Override
        public String check(SimulatedFleet fleet) {
            for (int destination : fleet.destinations()) {
                if (fleet.parts(destination) < MIN_PARTS) {
                    return fleet.parts(destination) + " of destination " + destination + ": "
                            + describe(fleet, destination);
                }
            }
            return null;
        }
    }
}
