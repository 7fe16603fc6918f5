package firstair.relay.clients;

/** A message that a client has submitted, and the means to respond to it. */
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

    /** The client's id of this submission. */
    public String requestId() {
        return fields.requestId();
    }

    /** The number of the message class. */
    public int messageClass() {
        return fields.messageClass();
    }

    /** The number of the destination. */
    public int destination() {
        return fields.destination();
    }

    /** The idempotency key, or null. */
    public String key() {
        return fields.key();
    }

    /** The deadline of the message on the loop's clock, in milliseconds. */
    public double deadlineAt() {
        return deadlineAt;
    }

    /** Whether the message was submitted before and refused. */
    public boolean resubmitted() {
        return fields.previouslyRefused();
    }

    /** Whether the message was submitted to a relay that ended or did not respond. */
    public boolean fromCrashedRelay() {
        return fields.fromFailedRelay();
    }

    /** The content of the message. */
    public byte[] body() {
        return body;
    }

    /** The tenant that the message belongs to, or null. */
    public String tenant() {
        return fields.tenant();
    }

    /** The booking that the message uses, or null. */
    public String booking() {
        return fields.booking();
    }

    /** Whether the client has ended its side of the connection; it may submit the message again, this one is void. */
    public boolean clientGone() {
        return connection.clientGone();
    }

    /**
     * Responds. A message {@link #fromCrashedRelay} is given up where the status would refuse it.
     *
     * @param retryAfterMs milliseconds for {@code Retry-After}, or 0 to leave the header out
     */
    public void respond(int status, double retryAfterMs) {
        connection.respond(status, retryAfterMs, null);
    }

    /**
     * Responds.
     *
     * @param retryAfterMs milliseconds for {@code Retry-After}, or 0 to leave the header out
     * @param reason       one line of text for {@code X-Reason}, or null
     */
    public void respond(int status, double retryAfterMs, String reason) {
        connection.respond(status, retryAfterMs, reason);
    }
}
