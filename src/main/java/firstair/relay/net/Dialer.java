package firstair.relay.net;

import java.net.InetSocketAddress;

/** Opens connections that carry requests: the seam at which a test takes the place of the network. */
public interface Dialer {
    /**
     * Opens a connection and sends a first request on it.
     *
     * @param maxBody    bytes of an answer's body at most
     * @param closedIdle told if the connection ends while no request is out on it
     */
    Link open(InetSocketAddress to, long maxBody, byte[] request, Link.Exchange first, Runnable closedIdle);
}
