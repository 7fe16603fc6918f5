package firstair.kit.fleet;

import firstair.fleet.talk.Envelope;

/** The decision logic of one process in a simulated fleet. Times are milliseconds of the process's own clock. */
public interface RelayLogic {

    /** What the logic can have its process do. */
    interface Actions {
        /** Sends a message once; delivery is not guaranteed. */
        void send(Envelope envelope);

        /** Requests a call of {@link RelayLogic#timer} after {@code inMs}. */
        void wake(double inMs);

        /**
         * Sets which part of a destination's limit the process may use; 1 is the whole limit.
         *
         * @param destination -1 for all destinations without a share of their own
         * @param part        usable before {@code until}
         * @param until       ms of the process's own clock
         * @param guaranteed  usable from {@code until} on
         */
        void share(int destination, double part, double until, double guaranteed);

        /** Reports a line to the operators. */
        void report(String text);
    }

    /** The process starts. */
    void start(double now);

    /** A message arrived for the relay's name. */
    void receive(double now, Envelope envelope);

    /** A requested timer expired. */
    void timer(double now);

    /** Called before calls are sent: a process that was paused must not rely on what it knew before. */
    default void refresh(double now) {}

    /** A call for a destination was requested. */
    default void callRequested(double now, int destination) {}

    /** A call was sent, and its response stated the limit, calls a second. */
    default void callSent(double now, int destination, double limit) {}
}
