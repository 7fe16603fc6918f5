package firstair.relay.clients;

import java.nio.charset.StandardCharsets;

/** A question about a booking, or a request for one, and the way to answer it. */
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

    /** Which one. */
    public String booking() {
        return booking;
    }

    /** The bytes as they came, JSON if they are any good. */
    public byte[] body() {
        return body;
    }

    /** Answers with JSON; a wait of 0 ms is not told. */
    public void answer(int status, double retryAfterMs, String json) {
        connection.answer(status, retryAfterMs, null, json.getBytes(StandardCharsets.UTF_8));
    }
}
