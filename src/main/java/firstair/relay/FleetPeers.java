package firstair.relay;

import firstair.control.Controller.BookedCapacity;
import firstair.control.Controller.Outcome;
import firstair.control.Controller.Share;
import firstair.relay.clients.BookingRequest;
import java.util.Set;

/**
 * The other relays of a fleet, as far as this one's messages go: what it may do is asked, what it did is told. Where
 * relays do not talk it is {@link #NONE}, which imposes nothing and loads nothing. On the loop's thread only.
 */
public interface FleetPeers {
    /** Nobody to talk to. */
    FleetPeers NONE = new FleetPeers() {};

    /** What follows for our own decisions. */
    interface Listener {
        /** Our share of a destination; -1 for all that are not told apart. */
        void share(int destination, Share share);

        /** What others say of an endpoint. */
        void warned(String endpoint, double waitUntil, double avoidUntil);

        /** Zones of held messages may have changed: {@link FleetPeers#terms} is to be asked again. */
        void confine();
    }

    /**
     * Whether a message may be taken, and what binds it then.
     *
     * @param status  0 if it may; else the answer to its client, with a wait and a reason
     * @param afterMs 0 if no wait is told
     * @param zones   zones in which it may be sent, or null for all
     * @param lane    what was booked for it, or null
     */
    record Admission(int status, double afterMs, String reason, Set<Integer> zones, BookedCapacity lane) {
        /** Nothing imposed. */
        public static final Admission FREE = new Admission(0, 0, null, null, null);

        /** Whether anything binds it. */
        public boolean binds() {
            return zones != null || lane != null;
        }
    }

    /** Whether there is anybody to talk to. */
    default boolean talk() {
        return false;
    }

    /** Begins to talk. */
    default void start() {}

    /** Before each round of decisions: what has run out meanwhile is told first. */
    default void refresh() {}

    /** Whether a message that was handed in may be taken. */
    default Admission admit(String tenant, String className, int destination, String booking) {
        return Admission.FREE;
    }

    /** What binds a message that is held. */
    default Admission terms(String tenant, String className, int destination, String booking) {
        return Admission.FREE;
    }

    /** A message was taken. */
    default void taken(int destination) {}

    /** A call with it is made. */
    default void called(int destination, boolean repeat) {}

    /** A call with it has ended. */
    default void ended(int destination, Outcome outcome) {}

    /** Destinations and endpoints that are listed. */
    default void listed(Set<Integer> destinations, Set<String> endpoints) {}

    /** Whether bookings can be asked for. */
    default boolean books() {
        return false;
    }

    /** Somebody asks for a booking, where {@link #books}. */
    default void handleBooking(BookingRequest ask) {}

    /** Our process is about to end: what others could use goes back at once. */
    default void leave() {}

    /** Ends the talk. */
    default void close() {}
}
