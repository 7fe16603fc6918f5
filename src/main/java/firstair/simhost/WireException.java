package firstair.simhost;

/** Input that violates the simulator's protocol; the message names the line and the field. */
public final class WireException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    WireException(String message) {
        super(message);
    }
}
