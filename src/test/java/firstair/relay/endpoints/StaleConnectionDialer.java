package firstair.relay.endpoints;

import firstair.relay.net.Dialer;
import firstair.relay.net.Link;
import java.net.InetSocketAddress;

/** A dialer whose existing connections can turn stale: they seem to be alive until something is sent on them. */
final class StaleConnectionDialer implements Dialer {
    volatile boolean stale;
    private final Dialer real;

    StaleConnectionDialer(Dialer real) {
        this.real = real;
    }

    @Override
    public Link open(InetSocketAddress to, long maxBody, byte[] request, Link.Exchange first, Runnable closedIdle) {
        boolean openedWhileStale = stale;
        Link link = real.open(to, maxBody, request, first, closedIdle);
        return new Link() {
            @Override
            public boolean send(byte[] nextRequest, Exchange next) {
                if (stale && !openedWhileStale) {
                    link.leave();
                    return false;
                }
                return link.send(nextRequest, next);
            }

            @Override
            public boolean idle() {
                return link.idle();
            }

            @Override
            public boolean keep() {
                return link.keep();
            }

            @Override
            public boolean connecting() {
                return link.connecting();
            }

            @Override
            public boolean leave() {
                return link.leave();
            }

            @Override
            public boolean halt() {
                return link.halt();
            }
        };
    }
}
