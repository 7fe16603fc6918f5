package firstair.relay.standin;

import firstair.relay.net.Dialer;
import firstair.relay.net.HttpConnection;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicInteger;

/** Opens connections by another dialer, except the first few, which fail in a given way. */
public final class FaultyDialer implements Dialer {
    /** How connections fail. */
    public enum Fault {
        /** {@link Dialer#open} throws. */
        THROWS,
        /** The exchange receives the failure before {@link Dialer#open} returns. */
        FAILS_AT_ONCE,
        /** The exchange is never called. */
        NEVER_CALLS_BACK
    }

    private final Dialer real;
    private final Fault fault;
    private final AtomicInteger remaining;

    /** @param failures how many connections fail */
    public FaultyDialer(Dialer real, Fault fault, int failures) {
        this.real = real;
        this.fault = fault;
        this.remaining = new AtomicInteger(failures);
    }

    @Override
    public HttpConnection open(
            InetSocketAddress to,
            long maxBody,
            byte[] request,
            HttpConnection.Exchange firstExchange,
            Runnable onIdleClose) {
        if (remaining.getAndDecrement() <= 0) {
            return real.open(to, maxBody, request, firstExchange, onIdleClose);
        }
        if (fault == Fault.THROWS) {
            throw new IllegalStateException("thrown by a test");
        }
        if (fault == Fault.FAILS_AT_ONCE) {
            firstExchange.failed(false);
        }
        return silentLink();
    }

    /** A connection that is never established and does nothing. */
    public static HttpConnection silentLink() {
        return new HttpConnection() {
            @Override
            public boolean send(byte[] request, Exchange next) {
                return false;
            }

            @Override
            public boolean idle() {
                return false;
            }

            @Override
            public boolean keepIdle() {
                return false;
            }

            @Override
            public boolean connecting() {
                return true;
            }

            @Override
            public boolean abandon() {
                return false;
            }

            @Override
            public boolean halt() {
                return false;
            }
        };
    }
}
