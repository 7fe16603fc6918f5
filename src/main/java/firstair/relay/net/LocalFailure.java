package firstair.relay.net;

import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.SocketException;
import java.util.Arrays;

/** Tells failures of this machine from those of a peer, where a connection did not come up. */
final class LocalFailure {
    private static final String CALL_OF_ANSWERS = "finishConnect";

    private LocalFailure() {}

    /**
     * Whether the system refused to ask for a connection at all: {@code socket} or {@code connect} failed itself, with
     * an error that is no answer of a peer. What comes of a connection later is told by {@code finishConnect}, with
     * errors of the same class.
     */
    static boolean is(Throwable why) {
        for (Throwable t = why; t != null; t = t.getCause()) {
            if (t instanceof ConnectException || t instanceof NoRouteToHostException) {
                return false;
            }
            if (t instanceof SocketException) {
                return Arrays.stream(t.getStackTrace())
                        .noneMatch(f -> f.getMethodName().equals(CALL_OF_ANSWERS));
            }
        }
        return false;
    }
}
