package firstair.relay.endpoints;

import firstair.relay.net.Dialer;
import firstair.relay.net.HttpConnection;
import java.net.InetSocketAddress;

/** A dialer whose existing connections can turn stale: they seem to be alive until something is sent on them. */
final class StaleConnectionDialer implements Dialer {
    volatile boolean stale;
    private final Dialer real;

    StaleConnectionDialer(Dialer real) {
        this.real = real;
    }

    @Override
    public HttpConnection open(
            InetSocketAddress to, long maxBody, byte[] request, HttpConnection.Exchange first, Runnable closedIdle) {
        boolean openedWhileStale = stale;
        HttpConnection link = real.open(to, maxBody, request, first, closedIdle);
        return new HttpConnection() {
            @Override
            public boolean send(byte[] nextRequest, Exchange next) {
                if (stale && !openedWhileStale) {
                    link.abandon();
                    return false;
                }
                return link.send(nextRequest, next);
            }

            @Override
            public boolean idle() {
                return link.idle();
            }

            @Override
            public boolean keepIdle() {
                return link.keepIdle();
            }

            @Override
            public boolean connecting() {
                return link.connecting();
            }

            @Override
            public boolean abandon() {
                return link.abandon();
            }

            @Override
            public boolean halt() {
                return link.halt();
            }
        };
    }
}
