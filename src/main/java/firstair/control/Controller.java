package firstair.control;

import java.util.List;
import java.util.Set;

/**
 * Makes the decisions of one relay. The host passes events as they happen and calls {@link #decide} once for
 * each round of events; decisions go to {@link Actions}. Times are milliseconds on the host's clock.
 * A setting without a value is 0, false or empty, and then imposes nothing.
 */
public interface Controller {
    /** Most bytes of a call that several messages share; from the protocol. A message alone may have any size. */
    int MAX_SHARED_CALL_BYTES = 64 * 1024;

    /** Whether a message may be sent more than once: always, with its key, or never. */
    enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** The endpoints among which a destination drops repeats of a key: all, or those of one zone. */
    enum Scope {
        ALL,
        ZONE
    }

    /** How the worth of a message falls after its target time. */
    enum LateCurve {
        LINEAR,
        HALVING
    }

    /** What the weight of an endpoint means: nothing, calls a second, or a rough estimate of them. */
    enum Weight {
        NONE,
        NOMINAL,
        ESTIMATED
    }

    /**
     * How an attempt ended. {@code FULL}: the endpoint rejected the call. {@code CROWDED}: it answered, but is at its
     * connection limit and rejected a new connection; nothing ran. {@code WITHHELD}: nothing was written, as
     * {@link #timeoutAtWrite} did not permit it; it does not count as an attempt, and its number is used again.
     * {@code LOCAL_FAILURE}: the same after a failure of this machine, which says nothing of the endpoint.
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

        /** Whether the message may have run: not if the call was rejected or never reached the endpoint. */
        public boolean maybeRan() {
            return switch (this) {
                case OK, ERROR, TIMEOUT, RESET, CANCELLED -> true;
                case FULL, CONNECT_FAILED, CROWDED, NOT_SENT, WITHHELD, LOCAL_FAILURE -> false;
            };
        }

        /** Whether it counts as an attempt; if not, its number is used again. */
        public boolean counts() {
            return this != WITHHELD && this != LOCAL_FAILURE;
        }
    }

    /** State of an endpoint on the list, independent of its health. */
    enum Listing {
        ACTIVE,
        LEAVING,
        LEFT
    }

    /** Kind of an update of the list. */
    enum ListUpdate {
        CHANGES,
        COMPLETE,
        STORED,
        /** The stored list, while discovery's own is under way: no call is made before that has come. */
        UNCONFIRMED,
        /** A request for the list failed soon, or its watch has ended. */
        FAILED,
        /** A request for the list failed, or has no answer, after so long that no further pause is needed. */
        OVERDUE
    }

    /**
     * A class of messages. Until the target time {@code aimMs}, longer by {@code aimStretch} for each millisecond of
     * work, a message has its full {@code worth}; later it falls to {@code lateWorth} as {@link LateCurve} says. For
     * {@code windowMs} the destination drops repeats of a key.
     */
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

    /** A kind of destination: whether each endpoint has a limit of its own, and the most messages of a call. */
    record Kind(boolean separateLimits, int maxBatch) {}

    /** Limits of the installation. */
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

    /** Parameters of the safety rules. */
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
     * Settings of one relay. {@code group} is the number of relays that share the destinations; with
     * {@code limitsTold}, answers report the limit of a destination, 0 if it has none.
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

    /** An entry of the list of endpoints. */
    record Entry(String endpoint, int destination, int kind, int zone, double weight, Listing listing) {}

    /**
     * An attempt before a restart; {@code maybeRan} unless it is known that it never ran. The {@code zone} is that of
     * its endpoint, which may have left the list since, or {@link #UNKNOWN_ZONE}.
     */
    record EarlierAttempt(String endpoint, int zone, double sentAt, boolean maybeRan) {
        /** Of an attempt that was stored without its zone. */
        public static final int UNKNOWN_ZONE = -1;
    }

    /**
     * A message accepted by this relay, or resumed after a restart with its {@code earlierAttempts}, in order.
     * {@code resubmitted} and {@code fromDeadRelay} say that it may have a history that this relay never saw: its
     * client submits it again, or the relay that had it died. {@code workMs} is an estimate of its work, 0 if none.
     * {@code bytes} is what it takes of a shared call, 0 if calls have no bytes.
     */
    record Message(
            long id,
            int messageClass,
            int destination,
            String key,
            double deadlineAt,
            double workMs,
            boolean resubmitted,
            boolean fromDeadRelay,
            List<EarlierAttempt> earlierAttempts,
            int bytes) {
        /** A message without bytes. */
        public Message(
                long id,
                int messageClass,
                int destination,
                String key,
                double deadlineAt,
                double workMs,
                boolean resubmitted,
                boolean fromDeadRelay,
                List<EarlierAttempt> earlierAttempts) {
            this(
                    id,
                    messageClass,
                    destination,
                    key,
                    deadlineAt,
                    workMs,
                    resubmitted,
                    fromDeadRelay,
                    earlierAttempts,
                    0);
        }
    }

    /** What a destination reported of its limit; NaN if nothing. */
    record Load(double allowanceLeft, double limitPerS) {
        /** Nothing was reported. */
        public static final Load NONE = new Load(Double.NaN, Double.NaN);
    }

    /**
     * This relay's share of a destination's limit: {@code part} of it until a time and the guaranteed part
     * {@code guaranteed} afterwards, and how many repeats may be sent there from now on.
     */
    record Share(double part, double until, double guaranteed, int repeats) {
        /** No restriction. */
        public static final Share ALL =
                new Share(Double.POSITIVE_INFINITY, Double.POSITIVE_INFINITY, 0, Integer.MAX_VALUE);

        /** The part of the limit at a time. */
        public double at(double now) {
            return now < until ? part : guaranteed;
        }

        /** The share after one repeat was sent. */
        public Share withoutOneRepeat() {
            return repeats == Integer.MAX_VALUE ? this : new Share(part, until, guaranteed, repeats - 1);
        }
    }

    /** Calls that were booked at a destination; they count against no other limit. */
    interface BookedCapacity {
        /** When the next call may be sent: not after {@code now} if it may be now, infinite if never. */
        double nextCallAt(double now);

        /** A call is sent. */
        void callSent(double now);
    }

    /**
     * The end of an attempt; {@code messageEnded} if the message ended with it, {@code waitMs} 0 if it named no wait.
     */
    record Outcome(
            long id,
            int attempt,
            String endpoint,
            Result result,
            double tookMs,
            boolean messageEnded,
            double waitMs,
            Load load) {}

    /** What the controller asks of its host. */
    interface Actions {
        /**
         * Sends a message to an endpoint; {@code last} if the connection is not to be kept afterwards. Messages for one
         * endpoint in one round share calls in this order: each joins the call of the one before it unless that call
         * has {@link Kind#maxBatch} messages, or would exceed {@link #MAX_SHARED_CALL_BYTES}. The controller counts
         * calls in the same way. A call has the longest time-out of its messages.
         */
        void send(long id, String endpoint, double timeoutMs, boolean last);

        /** Stops waiting for the answer to an attempt. */
        void cancel(long id, int attempt);

        /** Final answer: not run, and safe to submit again after {@code afterMs}; with 0 no time is suggested. */
        void refuse(long id, double afterMs);

        /** Final answer: given up, and it may or may not have run. */
        void giveUp(long id);

        /** Closes the idle connections to an endpoint. */
        void closeIdle(String endpoint);

        /** Requests {@link Controller#timer} after a time. */
        void wake(double inMs);

        /** Subscribes to changes of the list. */
        void watchList();

        /** Logs a line for the operators. */
        void report(String text);
    }

    /**
     * An update of the list of endpoints; without entries for {@link ListUpdate#FAILED} and {@link ListUpdate#OVERDUE}.
     */
    void list(double now, ListUpdate news, List<Entry> entries);

    /** A message was accepted; it must get exactly one final answer. */
    void accepted(double now, Message message);

    /**
     * The connection for an attempt was opened later than in the round that asked for it. Returns the time-out for its
     * answer in milliseconds, or 0 if it must no longer be written. Called right before the write, when the time-out
     * begins; an attempt that is not permitted must end as {@link Result#WITHHELD}. A call has the shortest time-out of
     * its messages that are permitted.
     */
    default double timeoutAtWrite(double now, long id, int attempt) {
        return Double.POSITIVE_INFINITY;
    }

    /** An attempt ended. */
    void ended(double now, Outcome outcome);

    /**
     * A wait was read at {@code now} in an answer to an attempt, before the answer's end; the attempt may have ended
     * by now. Its outcome repeats the same wait.
     */
    default void waitReceived(double now, String endpoint, long id, int attempt, double waitMs) {}

    /** The answer to an attempt of a streaming class has begun. */
    default void answerBegun(double now, long id, int attempt) {}

    /** The message was withdrawn; its attempts continue. */
    void withdrawn(double now, long id);

    /** A requested wake-up. */
    void timer(double now);

    /**
     * The share of a destination's limit that the fleet grants this relay; destination -1 stands for all without a
     * share of their own. Until the first such event for it, the relay decides by itself alone.
     */
    default void share(double now, int destination, Share share) {}

    /** Other relays received a wait of an endpoint, which binds here as well, or consider it unhealthy. */
    default void peerWarning(double now, String endpoint, double waitUntil, double avoidUntil) {}

    /**
     * Restrictions of a message beyond its class, from now on; without this event it has none.
     *
     * @param zones zones in which it may be sent, or null for all
     * @param lane  calls that were booked for it, or null
     */
    default void restrict(double now, long id, Set<Integer> zones, BookedCapacity lane) {}

    /** All events of this round were passed: decides, and calls the actions. */
    void decide(double now);
}
