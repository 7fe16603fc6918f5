package firstair.relay.clients;

import java.nio.charset.StandardCharsets;

/** A client's request about a booking, and the means to respond to it. */
public final class BookingRequest {
    private final ClientConnection connection;
    private final String method;
    private final String booking;
    private final byte[] body;

    BookingRequest(ClientConnection connection, String method, String booking, byte[] body) {
        this.connection = connection;
        this.method = method;
        this.booking = booking;
        this.body = body;
    }

    /** {@code GET}, {@code PUT} or {@code DELETE}. */
    public String method() {
        return method;
    }

    /** The name of the booking, from the request path. */
    public String booking() {
        return booking;
    }

    /** The request body, unchecked; it should be JSON. */
    public byte[] body() {
        return body;
    }

    /**
     * Responds with JSON.
     *
     * @param retryAfterMs milliseconds for {@code Retry-After}, or 0 to leave the header out
     */
    public void respond(int status, double retryAfterMs, String json) {
        connection.respond(status, retryAfterMs, null, json.getBytes(StandardCharsets.UTF_8));
    }
}
