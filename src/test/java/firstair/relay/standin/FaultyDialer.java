package firstair.relay.standin;

import firstair.relay.net.Dialer;
import firstair.relay.net.Link;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicInteger;

/** Opens connections as another does, but for the first few, which fail below in a given way. */
public final class FaultyDialer implements Dialer {
    /** How. */
    public enum Fault {
        /** Opening throws. */
        THROWS,
        /** Fails within the call that opens it. */
        FAILS_AT_ONCE,
        /** Nothing is ever told of it. */
        NEVER_CALLS_BACK
    }

    private final Dialer real;
    private final Fault fault;
    private final AtomicInteger left;

    /** @param times how many connections fail */
    public FaultyDialer(Dialer real, Fault fault, int times) {
        this.real = real;
        this.fault = fault;
        this.left = new AtomicInteger(times);
    }

    @Override
    public Link open(InetSocketAddress to, long maxBody, byte[] request, Link.Exchange first, Runnable closedIdle) {
        if (left.getAndDecrement() <= 0) {
            return real.open(to, maxBody, request, first, closedIdle);
        }
        if (fault == Fault.THROWS) {
            throw new IllegalStateException("thrown by a test");
        }
        if (fault == Fault.FAILS_AT_ONCE) {
            first.broken(false);
        }
        return deaf();
    }

    /** A connection that does nothing. */
    public static Link deaf() {
        return new Link() {
            @Override
            public boolean send(byte[] again, Exchange next) {
                return false;
            }

            @Override
            public boolean idle() {
                return false;
            }

            @Override
            public boolean keep() {
                return false;
            }

            @Override
            public boolean connecting() {
                return true;
            }

            @Override
            public boolean leave() {
                return false;
            }

            @Override
            public boolean halt() {
                return false;
            }
        };
    }
}
