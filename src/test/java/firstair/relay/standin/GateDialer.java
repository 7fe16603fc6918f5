package firstair.relay.standin;

import firstair.relay.http.Head;
import firstair.relay.net.Dialer;
import firstair.relay.net.Link;
import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** Opens connections by another dialer, and can delay the reports that they are established until a test allows it. */
public final class GateDialer implements Dialer {
    private final Dialer real;
    private final BlockingQueue<Runnable> delayedReports = new LinkedBlockingQueue<>();
    private volatile boolean reportAtOnce = true;

    /** Creates a dialer that delays nothing until {@link #shut}. */
    public GateDialer(Dialer real) {
        this.real = real;
    }

    /** From now on the reports are delayed. */
    public void shut() {
        reportAtOnce = false;
    }

    /** Waits until the next connection is established, and reports it. */
    public void pass() throws InterruptedException {
        Runnable report = delayedReports.poll(10, TimeUnit.SECONDS);
        if (report == null) {
            throw new AssertionError("no connection was established");
        }
        report.run();
    }

    /** Waits until a connection is established and not reported yet. */
    public void awaitOne() {
        Await.until("a connection to be established", () -> !delayedReports.isEmpty());
    }

    @Override
    public Link open(
            InetSocketAddress to, long maxBody, byte[] request, Link.Exchange firstExchange, Runnable onIdleClose) {
        return real.open(
                to,
                maxBody,
                request,
                new Link.Exchange() {
                    @Override
                    public void up() {
                        if (reportAtOnce) {
                            firstExchange.up();
                        } else {
                            delayedReports.add(firstExchange::up);
                        }
                    }

                    @Override
                    public void begun() {
                        firstExchange.begun();
                    }

                    @Override
                    public void first(int status) {
                        firstExchange.first(status);
                    }

                    @Override
                    public void field(String name, String value) {
                        firstExchange.field(name, value);
                    }

                    @Override
                    public void head(Head head) {
                        firstExchange.head(head);
                    }

                    @Override
                    public void body(byte[] bytes, int offset, int length) {
                        firstExchange.body(bytes, offset, length);
                    }

                    @Override
                    public void done(boolean reusable, boolean alone) {
                        firstExchange.done(reusable, alone);
                    }

                    @Override
                    public void broken(boolean maybeArrived) {
                        firstExchange.broken(maybeArrived);
                    }
                },
                onIdleClose);
    }
}
