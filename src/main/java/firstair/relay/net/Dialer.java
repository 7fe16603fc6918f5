package firstair.relay.net;

import java.net.InetSocketAddress;

/** Opens connections that carry requests: the seam at which a test takes the place of the network. */
public interface Dialer {
    /**
     * Opens a connection and sends a first request on it as soon as it is up. A connection takes its time, up to
     * seconds where the other side is in trouble: who would have to decide anew by then opens it without a request.
     *
     * @param request    null to send nothing: {@link Link.Exchange#up} tells that the connection is there
     * @param maxBody    bytes of an answer's body at most
     * @param closedIdle told if the connection ends while no request is out on it
     */
    Link open(InetSocketAddress to, long maxBody, byte[] request, Link.Exchange first, Runnable closedIdle);
}
