package firstair.relay.clients;

/** A message that a client has handed in, and the way to answer it. */
public final class Submission {
    private final ClientConnection connection;
    private final SubmissionFields fields;
    private final double deadlineAt;
    private final byte[] body;

    Submission(ClientConnection connection, SubmissionFields fields, double deadlineAt, byte[] body) {
        this.connection = connection;
        this.fields = fields;
        this.deadlineAt = deadlineAt;
        this.body = body;
    }

    /** The client's id of this hand-in. */
    public String requestId() {
        return fields.requestId();
    }

    /** Number of the class. */
    public int messageClass() {
        return fields.messageClass();
    }

    /** Number of the destination. */
    public int destination() {
        return fields.destination();
    }

    /** The key, or null. */
    public String key() {
        return fields.key();
    }

    /** End of its time on the loop's clock. */
    public double deadlineAt() {
        return deadlineAt;
    }

    /** Whether it was handed in before and refused. */
    public boolean again() {
        return fields.again();
    }

    /** Whether a relay had it that died or failed to answer. */
    public boolean fromDead() {
        return fields.fromDead();
    }

    /** The bytes as they came. */
    public byte[] body() {
        return body;
    }

    /** Whose message it is, or null. */
    public String tenant() {
        return fields.tenant();
    }

    /** The booking that it draws on, or null. */
    public String booking() {
        return fields.booking();
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
