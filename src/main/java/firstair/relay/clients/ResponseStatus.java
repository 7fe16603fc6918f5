package firstair.relay.clients;

/** The HTTP statuses that answer the submission of a message, and what they tell its client. */
public final class ResponseStatus {
    /** Accepted and stored: the relay owes the message its end. */
    public static final int ACCEPTED = 202;
    /** Failed: its destination does not exist. */
    public static final int UNKNOWN_DESTINATION = 404;
    /** Failed: its request did not come in time. */
    public static final int REQUEST_TIMEOUT = 408;
    /** Refused: it has not run, and its client may submit it again later. */
    public static final int TOO_MANY_REQUESTS = 429;
    /** Failed by a fault of the relay; it may have run. */
    public static final int FAILED = 500;
    /** Refused: it has not run, and its client may submit it again, here or elsewhere. */
    public static final int REFUSED = 503;
    /** Given up: it may have run. */
    public static final int GIVEN_UP = 504;

    private ResponseStatus() {}

    /** Whether a status promises that the message has not run. */
    static boolean isRefusal(int status) {
        return status == TOO_MANY_REQUESTS || status == REFUSED;
    }
}
