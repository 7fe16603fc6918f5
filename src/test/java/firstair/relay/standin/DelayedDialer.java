package firstair.relay.standin;

import firstair.relay.http.MessageHead;
import firstair.relay.net.Dialer;
import firstair.relay.net.HttpConnection;
import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** Opens connections by another dialer, and can delay the reports that they are established until a test allows it. */
public final class DelayedDialer implements Dialer {
    private final Dialer real;
    private final BlockingQueue<Runnable> delayedReports = new LinkedBlockingQueue<>();
    private volatile boolean reportAtOnce = true;

    /** Creates a dialer that delays nothing until {@link #delayReports}. */
    public DelayedDialer(Dialer real) {
        this.real = real;
    }

    /** From now on the reports are delayed. */
    public void delayReports() {
        reportAtOnce = false;
    }

    /** Waits until the next connection is established, and reports it. */
    public void reportNext() throws InterruptedException {
        Runnable report = delayedReports.poll(10, TimeUnit.SECONDS);
        if (report == null) {
            throw new AssertionError("no connection was established");
        }
        report.run();
    }

    /** Waits until a connection is established and not reported yet. */
    public void awaitConnection() {
        Await.until("a connection to be established", () -> !delayedReports.isEmpty());
    }

    @Override
    public HttpConnection open(
            InetSocketAddress to,
            long maxBody,
            byte[] request,
            HttpConnection.Exchange firstExchange,
            Runnable onIdleClose) {
        return real.open(
                to,
                maxBody,
                request,
                new HttpConnection.Exchange() {
                    @Override
                    public void connected() {
                        if (reportAtOnce) {
                            firstExchange.connected();
                        } else {
                            delayedReports.add(firstExchange::connected);
                        }
                    }

                    @Override
                    public void responseBegun() {
                        firstExchange.responseBegun();
                    }

                    @Override
                    public void status(int status) {
                        firstExchange.status(status);
                    }

                    @Override
                    public void header(String name, String value) {
                        firstExchange.header(name, value);
                    }

                    @Override
                    public void head(MessageHead head) {
                        firstExchange.head(head);
                    }

                    @Override
                    public void body(byte[] bytes, int offset, int length) {
                        firstExchange.body(bytes, offset, length);
                    }

                    @Override
                    public void completed(boolean reusable, boolean alone) {
                        firstExchange.completed(reusable, alone);
                    }

                    @Override
                    public void failed(boolean maybeArrived) {
                        firstExchange.failed(maybeArrived);
                    }
                },
                onIdleClose);
    }
}
