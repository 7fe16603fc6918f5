package firstair.relay.net;

import java.net.InetSocketAddress;

/** Opens connections that carry requests. Tests implement it in place of the network. */
public interface Dialer {
    /**
     * Opens a connection and sends the first request as soon as it is established. That may take seconds if the peer
     * is overloaded; a caller that would have to decide again by then opens the connection without a request.
     *
     * @param maxBody       maximum size of a response body, in bytes
     * @param request       null to send nothing; {@link HttpConnection.Exchange#connected} then reports the established
     *                      connection
     * @param firstExchange receives the events of the first request
     * @param onIdleClose   run if the connection ends while no request is in progress on it
     */
    HttpConnection open(
            InetSocketAddress to,
            long maxBody,
            byte[] request,
            HttpConnection.Exchange firstExchange,
            Runnable onIdleClose);
}
