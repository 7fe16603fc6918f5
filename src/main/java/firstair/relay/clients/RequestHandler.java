package firstair.relay.clients;

import java.util.Map;

/** Handles the requests of clients. */
public interface RequestHandler {
    /** The current time on the clock of deadlines, in milliseconds. */
    double now();

    /** Whether the relay accepts messages. */
    boolean ready();

    /** The numbers of the message classes, by name. */
    Map<String, Integer> classes();

    /** Whether messages of a class must have a key. */
    boolean keyed(int messageClass);

    /** Handles a well-formed submission; the response follows later, from another thread. */
    void submit(Submission submission);

    /** Whether requests about bookings are supported. */
    default boolean bookingsEnabled() {
        return false;
    }

    /**
     * Handles a request about a booking, if {@link #bookingsEnabled}; the response follows later, from another thread.
     */
    default void requestBooking(BookingRequest request) {
        throw new IllegalStateException("bookings are not supported");
    }
}
