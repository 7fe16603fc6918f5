package firstair.relay.endpoints;

import firstair.relay.net.Dialer;
import firstair.relay.net.Link;
import java.net.InetSocketAddress;

/** Opens connections as another does; kept ones seem to be alive until something is sent on them. */
final class DyingDialer implements Dialer {
    volatile boolean dead;
    private final Dialer real;

    DyingDialer(Dialer real) {
        this.real = real;
    }

    @Override
    public Link open(InetSocketAddress to, long maxBody, byte[] request, Link.Exchange first, Runnable closedIdle) {
        boolean before = dead;
        Link link = real.open(to, maxBody, request, first, closedIdle);
        return new Link() {
            @Override
            public boolean send(byte[] again, Exchange next) {
                if (dead && !before) {
                    link.leave();
                    return false;
                }
                return link.send(again, next);
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
