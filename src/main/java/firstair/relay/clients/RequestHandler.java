package firstair.relay.clients;

import java.util.Map;

/** What the client side needs to know of the relay. */
public interface RequestHandler {
    /** Now, on the clock of deadlines. */
    double now();

    /** Whether the relay takes messages. */
    boolean ready();

    /** Numbers of the classes by name. */
    Map<String, Integer> classes();

    /** Whether messages of a class carry a key. */
    boolean keyed(int messageClass);

    /** A well-formed message has come; it is answered later, from another thread. */
    void handIn(Submission message);

    /** Whether bookings can be asked for here. */
    default boolean asks() {
        return false;
    }

    /** Somebody asks for a booking, where {@link #asks}; it is answered later, from another thread. */
    default void ask(BookingRequest ask) {
        throw new IllegalStateException("bookings are off");
    }
}
