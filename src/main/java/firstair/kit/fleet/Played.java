package firstair.kit.fleet;

import firstair.fleet.talk.Envelope;

/** The decisions of one process as a fleet plays them. Times are milliseconds of the process's own clock. */
public interface Played {

    /** What a process can do. */
    interface Acts {
        /** Sends it once, with no promise that it arrives. */
        void send(Envelope envelope);

        /** Asks for {@link Played#timer} after a while. */
        void wake(double inMs);

        /**
         * What it may use of a destination's limit.
         *
         * @param destination -1 for all that are not told apart
         * @param part        1 is the whole; until then
         * @param sure        afterwards
         */
        void share(int destination, double part, double until, double sure);

        /** A line for the operators. */
        void report(String text);
    }

    /** It begins. */
    void start(double now);

    /** Something came for its name. */
    void heard(double now, Envelope envelope);

    /** A time that it asked for has come. */
    void timer(double now);

    /** Before it sends anything: a process that was stopped must not go by what it knew. */
    default void refresh(double now) {}

    /** Somebody wants a call to be made. */
    default void asked(double now, int destination) {}

    /** A call went out, and its answer told the limit, calls a second. */
    default void sent(double now, int destination, double limit) {}
}
