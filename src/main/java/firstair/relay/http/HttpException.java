package firstair.relay.http;

/** Input that is not HTTP/1.1 as this relay supports it. {@link #status} is the status for the response to it. */
public final class HttpException extends Exception {
    private static final long serialVersionUID = 1L;
    private final int status;

    HttpException(int status, String message) {
        super(message);
        this.status = status;
    }

    /** The status of the response, if the input was a request. */
    public int status() {
        return status;
    }
}
