package firstair.relay.net;

import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.SocketException;
import java.util.Arrays;

/** Distinguishes failures of this machine from those of a peer when a connection was not established. */
final class LocalFailure {
    private static final String COMPLETION_METHOD = "finishConnect";

    private LocalFailure() {}

    /**
     * Whether the system did not start to connect at all: {@code socket} or {@code connect} itself failed, with an
     * error that is not a reaction of the peer. Later failures, which may come from the peer, are exceptions of the
     * same class but are thrown by {@code finishConnect}.
     */
    static boolean isLocal(Throwable failure) {
        for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
            if (cause instanceof ConnectException || cause instanceof NoRouteToHostException) {
                return false;
            }
            if (cause instanceof SocketException) {
                return Arrays.stream(cause.getStackTrace())
                        .noneMatch(frame -> frame.getMethodName().equals(COMPLETION_METHOD));
            }
        }
        return false;
    }
}
