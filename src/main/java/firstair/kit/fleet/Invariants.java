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

/** What has to hold over a whole fleet. */
public final class Invariants {
    private static final double ROUNDING = 1e-9;

    private Invariants() {}

    /**
     * What all processes may use of a limit together is never more than all of it, each judged by its own clock. Sums
     * grow only where a process is told a new share, so that those are summed. Of several processes under one name the
     * parts that they may always use count once: nothing can tell two relays apart that hear nobody.
     */
    public static Invariant sums() {
        return new Invariant() {
            @Override
            public String name() {
                return "parts of a limit";
            }

            @Override
            public String check(PlayedFleet fleet) {
                for (int destination : fleet.changed()) {
                    double sum = sum(fleet, destination);
                    if (sum > 1 + ROUNDING) {
                        return sum + " of destination " + destination + " in use: " + spelled(fleet, destination);
                    }
                }
                return null;
            }
        };
    }

    private static double sum(PlayedFleet fleet, int destination) {
        double sum = 0;
        for (String name : fleet.members()) {
            double sure = 0;
            for (Life life : fleet.running(name)) {
                double part = life.part(destination);
                double own = Math.min((double) life.setup().guaranteedParts() / Setup.WHOLE, part);
                sum += part - own;
                sure = Math.max(sure, own);
            }
            sum += sure;
        }
        return sum;
    }

    private static String spelled(PlayedFleet fleet, int destination) {
        StringBuilder text = new StringBuilder();
        for (Life life : fleet.running()) {
            Life.Share share = life.share(destination);
            text.append(String.format(
                    Locale.ROOT,
                    "%s=%.6f for %.0f ms%s, ",
                    life,
                    life.part(destination),
                    share == null ? 0 : share.until() - life.now(),
                    life.paused() ? " (stopped)" : ""));
        }
        return text.toString();
    }

    /** Calls sent in any second are no more than the limit and what lay in buckets; hears of calls as they go out. */
    public static final class Rates implements Invariant, Demand.Sent {
        private static final double SECOND = 1000;

        private record Call(Life life, double at) {}

        private static final class Last {
            private final Deque<Call> calls = new ArrayDeque<>();
            private double highest; // limit in force at some moment of this second
            private double changedAt = Double.NEGATIVE_INFINITY;
        }

        private final IntToDoubleFunction limits;
        private final double burstS;
        private final int buckets;
        private final Map<Integer, Last> last = new TreeMap<>();
        private final Set<Integer> fresh = new LinkedHashSet<>();

        /** @param limits calls a second that a destination takes */
        public Rates(IntToDoubleFunction limits) {
            this(limits, Demand.BURST_S, 1);
        }

        /**
         * @param burstS  buckets hold what comes in so long, s
         * @param buckets how many a process has for one destination; each holds one call at least
         */
        Rates(IntToDoubleFunction limits, double burstS, int buckets) {
            this.limits = limits;
            this.burstS = burstS;
            this.buckets = buckets;
        }

        @Override
        public String name() {
            return "calls in a second";
        }

        @Override
        public void sent(Life life, int destination, double time) {
            Last of = last.computeIfAbsent(destination, d -> new Last());
            of.calls.add(new Call(life, time));
            fresh.add(destination);
        }

        @Override
        public String check(PlayedFleet fleet) {
            String wrong = null;
            for (int destination : fresh) {
                Last of = last.get(destination);
                double now = fleet.now();
                while (of.calls.peek().at() <= now - SECOND) {
                    of.calls.remove();
                }
                double limit = limits.applyAsDouble(destination);
                if (limit >= of.highest || now - of.changedAt > SECOND) {
                    of.highest = limit; // a limit that was lowered still covers calls of the second before
                    of.changedAt = now;
                }
                if (of.calls.size() > of.highest) {
                    double most = most(of, fleet.setup(fleet.members().get(0)));
                    if (of.calls.size() > most) {
                        wrong = of.calls.size() + " calls to destination " + destination + " in a second, " + most
                                + " at most";
                    }
                }
            }
            fresh.clear();
            return wrong;
        }

        private double most(Last of, Setup setup) {
            long processes = of.calls.stream().map(Call::life).distinct().count();
            long names = of.calls.stream().map(c -> c.life().name()).distinct().count();
            double sure =
                    of.highest * setup.guaranteedParts() / Setup.WHOLE; // once more for each further process of a name
            return of.highest * (1 + burstS) + (processes - names) * sure + processes * buckets;
        }
    }

    /** Every relay has its own even part, or has lent of it: all parts of each limit are somebody's. */
    static final class Recovered implements Invariant {
        private static final double ENOUGH = 0.9; // a loan that is on its way, or has just ended, counts nowhere

        @Override
        public String name() {
            return "all parts in use after the last fault";
        }

        @Override
        public String check(PlayedFleet fleet) {
            for (int destination : fleet.destinations()) {
                if (fleet.parts(destination) < ENOUGH) {
                    return fleet.parts(destination) + " of destination " + destination + ": "
                            + spelled(fleet, destination);
                }
            }
            return null;
        }
    }
}
