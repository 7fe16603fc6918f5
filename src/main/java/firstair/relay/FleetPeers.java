package firstair.relay;

import firstair.control.Controller.BookedCapacity;
import firstair.control.Controller.Outcome;
import firstair.control.Controller.Share;
import firstair.relay.clients.BookingRequest;
import java.util.Set;

/**
 * The other relays of the fleet, as the delivery of messages sees them: answers which restrictions apply to a message,
 * and is informed of what happens to it. Without a fleet this is {@link #NONE}, which imposes no restriction and loads
 * no code. On the loop's thread only.
 */
public interface FleetPeers {
    /** No fleet. */
    FleetPeers NONE = new FleetPeers() {};

    /** Receives what the fleet changes for this relay's decisions. */
    interface Listener {
        /** This relay's share of a destination's limit; -1 stands for all destinations without a share of their own. */
        void share(int destination, Share share);

        /**
         * Other relays received a wait of an endpoint, or consider it unhealthy.
         *
         * @param waitUntil  end of the wait, on the loop's clock
         * @param avoidUntil until when the endpoint is to be avoided, on the loop's clock
         */
        void peerWarning(String endpoint, double waitUntil, double avoidUntil);

        /**
         * The zones of held messages may have changed: {@link FleetPeers#restrictions} must be called again for each.
         */
        void restrictionsChanged();
    }

    /**
     * Whether a message may be accepted, and its restrictions if so.
     *
     * @param status         0 if it may be accepted, otherwise the HTTP status of the answer to its client
     * @param retryAfterMs   after how many milliseconds the client should retry, 0 to leave that out
     * @param reason         the reason in the answer, or null
     * @param zones          zones in which it may be sent, or null for all
     * @param bookedCapacity calls that were booked for it, or null
     */
    record Admission(
            int status, double retryAfterMs, String reason, Set<Integer> zones, BookedCapacity bookedCapacity) {
        /** Accepted without restrictions. */
        public static final Admission UNRESTRICTED = new Admission(0, 0, null, null, null);

        /** Whether any restriction applies. */
        public boolean restricts() {
            return zones != null || bookedCapacity != null;
        }
    }

    /** Whether this relay belongs to a fleet. */
    default boolean enabled() {
        return false;
    }

    /** Starts the exchange with the other relays. */
    default void start() {}

    /** Called before each round of decisions, to report what has expired since the last one. */
    default void refresh() {}

    /** Decides whether a submitted message may be accepted. */
    default Admission admit(String tenant, String className, int destination, String booking) {
        return Admission.UNRESTRICTED;
    }

    /** Returns the restrictions of a held message. */
    default Admission restrictions(String tenant, String className, int destination, String booking) {
        return Admission.UNRESTRICTED;
    }

    /** A message was accepted. */
    default void accepted(int destination) {}

    /** A message is sent; {@code repeat} unless it is the first attempt. */
    default void called(int destination, boolean repeat) {}

    /** An attempt at a message has ended. */
    default void ended(int destination, Outcome outcome) {}

    /** The list of endpoints has changed; these destinations and endpoints are on it now. */
    default void listUpdated(Set<Integer> destinations, Set<String> endpoints) {}

    /** Whether requests for bookings are handled. */
    default boolean bookingsEnabled() {
        return false;
    }

    /** Handles a request for a booking; only called if {@link #bookingsEnabled}. */
    default void handleBooking(BookingRequest request) {}

    /** The process is about to end: returns at once what other relays can use. */
    default void leave() {}

    /** Ends the exchange. */
    default void close() {}
}
