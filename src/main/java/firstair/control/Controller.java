package firstair.control;

import java.util.List;
import java.util.Set;

/**
 * What decides for one relay. The host hands in events as they happen and calls {@link #decide} once for
 * each round of events; the answers go to {@link Actions}. Times are milliseconds on the host's clock.
 * A setting that the host has no value for is 0, false or empty, and then imposes nothing.
 */
public interface Controller {

    /** Whether a message may be sent more than once. */
    enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** The endpoints among which a destination drops repeats of a key. */
    enum Scope {
        ALL,
        ZONE
    }

    /** How the worth of a message falls after its aim. */
    enum LateCurve {
        LINEAR,
        HALVING
    }

    /** What the weight of an endpoint holds: nothing, calls a second, or a rough figure of them. */
    enum Weight {
        NONE,
        NOMINAL,
        ROUGH
    }

    /**
     * How an attempt ended. {@code CROWDED}: the endpoint answered, but took no further connection; nothing ran.
     * {@code WITHHELD}: nothing of it was written, by {@link #mayGo}; it counts as none, and its number is free again.
     * {@code LOCAL_FAILURE}: the same, by a failure of this machine, which says nothing of the endpoint.
     */
    enum Result {
        OK,
        ERROR,
        FULL,
        TIMEOUT,
        CONNECT_FAILED,
        CROWDED,
        RESET,
        CANCELLED,
        NOT_SENT,
        WITHHELD,
        LOCAL_FAILURE;

        /** Whether the message may have run: it has not where the call was turned away or never got there. */
        public boolean maybeRan() {
            return switch (this) {
                case OK, ERROR, TIMEOUT, RESET, CANCELLED -> true;
                case FULL, CONNECT_FAILED, CROWDED, NOT_SENT, WITHHELD, LOCAL_FAILURE -> false;
            };
        }

        /** Whether it counts as an attempt; if not, its number is free again. */
        public boolean counts() {
            return this != WITHHELD && this != LOCAL_FAILURE;
        }
    }

    /** State of an endpoint on the list; it tells nothing of its health. */
    enum Listing {
        ACTIVE,
        LEAVING,
        LEFT
    }

    /** What a piece of news of the list brings. */
    enum News {
        CHANGES,
        COMPLETE,
        STORED,
        /** A call for the list failed soon, or what it told has ended. */
        FAILED,
        /** A call for the list failed, or has not been answered, after a wait that was pause enough. */
        OVERDUE
    }

    /** A class of message. */
    record MessageClass(
            String name,
            Effect effect,
            Scope scope,
            boolean inOrder,
            boolean streaming,
            double aimMs,
            double aimStretch,
            double deadlineMs,
            double windowMs,
            double worth,
            double lateWorth) {}

    /** A kind of destination: whether its endpoints are routes apart, and how many messages a call carries. */
    record Kind(boolean routesApart, int bundleMax) {}

    /** What the site permits. */
    record Limits(
            int slots,
            int maxOpen,
            int maxAttempts,
            boolean cancel,
            boolean probes,
            boolean peers,
            boolean retryAfter,
            double maxRetryAfterMs,
            boolean secondCopies,
            int callsPerConnection,
            double connectTimeoutMs,
            double connectionIdleMs) {}

    /** Figures of the rules. */
    record Rules(
            double answerSlackMs,
            double askEveryMs,
            double drainGraceMs,
            double startCapacity,
            double warmAfterMs,
            double fallMultiple,
            double overloadForMs,
            double settleAfterDoubtMs) {}

    /**
     * Settings of one relay; {@code group} is the number of relays that share the destinations, and with
     * {@code limitsTold} answers report the limit of a destination, 0 where it has none.
     */
    record Settings(
            int group,
            int index,
            int zone,
            boolean askForList,
            Weight weight,
            boolean limitsTold,
            LateCurve late,
            List<MessageClass> classes,
            List<Kind> kinds,
            Limits limits,
            Rules rules) {}

    /** A line of the list of endpoints. */
    record Entry(String endpoint, int destination, int kind, int zone, double weight, Listing listing) {}

    /** A call that was made before a restart; {@code maybeRan} unless it is known that it never ran. */
    record Try(String endpoint, double sentAt, boolean maybeRan) {}

    /**
     * A message handed to this relay, or taken up again after a restart with what was {@code tried} for it in
     * that order. {@code again} and {@code fromDeadRelay} tell that it may have a history
     * that this relay never saw; {@code workMs} is a guess of its work, 0 if none is given.
     */
    record Message(
            long id,
            int messageClass,
            int destination,
            String key,
            double deadlineAt,
            double workMs,
            boolean again,
            boolean fromDeadRelay,
            List<Try> tried) {}

    /** What a destination reported of its limit; NaN where it told nothing. */
    record Load(double allowanceLeft, double limitPerS) {
        /** No report came. */
        public static final Load NONE = new Load(Double.NaN, Double.NaN);
    }

    /**
     * A part of a destination's limit until a moment and {@code sure} afterwards, and how many repeats may go there
     * from now on.
     */
    record Share(double part, double until, double sure, int repeats) {
        /** Nothing imposed. */
        public static final Share ALL =
                new Share(Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY, 0, Integer.MAX_VALUE);

        /** The part at a moment. */
        public double at(double now) {
            return now < until ? part : sure;
        }

        /** What is left when one repeat has gone. */
        public Share repeated() {
            return repeats == Integer.MAX_VALUE ? this : new Share(part, until, sure, repeats - 1);
        }
    }

    /** Calls that were booked at a destination; what goes there counts against nothing else. */
    interface Lane {
        /** When the next call may go: not after {@code now} if it may go now, infinite if none will. */
        double opensAt(double now);

        /** A call goes. */
        void used(double now);
    }

    /** The end of an attempt; {@code over} if the message ended with it, {@code waitMs} 0 if no wait was told. */
    record Outcome(
            long id,
            int attempt,
            String endpoint,
            Result result,
            double tookMs,
            boolean over,
            double waitMs,
            Load load) {}

    /** What a relay may ask of its host. */
    interface Actions {
        /**
         * Calls an endpoint with a message; {@code last} if its connection is not to be kept afterwards. What is sent
         * to one endpoint in one round shares calls in that order; a call's time is the longest told with it.
         */
        void send(long id, String endpoint, double timeoutMs, boolean last);

        /** Abandons the wait for an attempt. */
        void cancel(long id, int attempt);

        /** Final answer: handed back, and handing it in again is harmless; {@code afterMs} 0 gives no guidance. */
        void refuse(long id, double afterMs);

        /** Final answer: given up, with no promise about its effect. */
        void giveUp(long id);

        /** Closes the connections to an endpoint that carry no call. */
        void closeIdle(String endpoint);

        /** Asks for {@link Controller#timer} after a while. */
        void wake(double inMs);

        /** Asks to be told of changes of the list from now on. */
        void watchList();

        /** A line for the operators. */
        void report(String text);
    }

    /** News of the list of endpoints; no entries come with {@link News#FAILED} and {@link News#OVERDUE}. */
    void list(double now, News news, List<Entry> entries);

    /** A message was handed in; one final answer is owed. */
    void taken(double now, Message message);

    /**
     * The connection for an attempt is there, later than the round that asked for it: for how many milliseconds its
     * answer may be waited for, 0 if it may not be written any more. Asked right before the write, from which it counts
     * then; one that may not has to end as {@link Result#WITHHELD}. A call has the least time of those that go.
     */
    default double mayGo(double now, long id, int attempt) {
        return Double.POSITIVE_INFINITY;
    }

    /** An attempt ended. */
    void ended(double now, Outcome outcome);

    /**
     * A wait was read at {@code now} in an answer to an attempt, before its end; the attempt may be over by now. The
     * wait of its outcome is the same one.
     */
    default void waits(double now, String endpoint, long id, int attempt, double waitMs) {}

    /** The answer to an attempt of a streamed class has begun. */
    default void begun(double now, long id, int attempt) {}

    /** Nobody wants the message any more; its attempts run on. */
    void withdrawn(double now, long id);

    /** A wake-up that was asked for. */
    void timer(double now);

    /**
     * What others of the fleet leave to this relay of a destination, or with -1 of all of which nothing is told. Where
     * that was never told either, the relay judges by itself alone.
     */
    default void share(double now, int destination, Share share) {}

    /** Others were told to wait with an endpoint, which binds here as well, or hold it to be sick. */
    default void warned(double now, String endpoint, double waitUntil, double avoidUntil) {}

    /**
     * What binds a message beyond its class, from now on; none of it until told.
     *
     * @param zones zones in which it may be sent, or null for all
     * @param lane  what was booked for it, or null
     */
    default void terms(double now, long id, Set<Integer> zones, Lane lane) {}

    /** All events of this round were handed in: act. */
    void decide(double now);
}
