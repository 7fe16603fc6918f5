package firstair.relay.clients;

/** A message that a client has handed in, and the way to answer it. */
public final class Submission {
    private final ClientConnection connection;
    private final String requestId;
    private final int messageClass;
    private final int destination;
    private final String key;
    private final double deadlineAt;
    private final boolean again;
    private final boolean fromDead;
    private final byte[] body;
    private final String tenant;
    private final String booking;

    Submission(
            ClientConnection connection,
            String requestId,
            int messageClass,
            int destination,
            String key,
            double deadlineAt,
            boolean again,
            boolean fromDead,
            byte[] body,
            String tenant,
            String booking) {
        this.connection = connection;
        this.requestId = requestId;
        this.messageClass = messageClass;
        this.destination = destination;
        this.key = key;
        this.deadlineAt = deadlineAt;
        this.again = again;
        this.fromDead = fromDead;
        this.body = body;
        this.tenant = tenant;
        this.booking = booking;
    }

    /** The client's id of this hand-in. */
    public String requestId() {
        return requestId;
    }

    /** Number of the class. */
    public int messageClass() {
        return messageClass;
    }

    /** Number of the destination. */
    public int destination() {
        return destination;
    }

    /** The key, or null. */
    public String key() {
        return key;
    }

    /** End of its time on the loop's clock. */
    public double deadlineAt() {
        return deadlineAt;
    }

    /** Whether it was handed in before and refused. */
    public boolean again() {
        return again;
    }

    /** Whether a relay had it that died or failed to answer. */
    public boolean fromDead() {
        return fromDead;
    }

    /** The bytes as they came. */
    public byte[] body() {
        return body;
    }

    /** Whose message it is, or null. */
    public String tenant() {
        return tenant;
    }

    /** The booking that it draws on, or null. */
    public String booking() {
        return booking;
    }

    /** Whether the client has left: it may hand the message in again, and this one counts for nothing. */
    public boolean gone() {
        return connection.gone();
    }

    /** Answers; a wait of 0 ms is not told. */
    public void answer(int status, double retryAfterMs) {
        connection.answer(status, retryAfterMs, null);
    }

    /** Answers with the reason, one line. */
    public void answer(int status, double retryAfterMs, String reason) {
        connection.answer(status, retryAfterMs, reason);
    }
}
