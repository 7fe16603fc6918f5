package firstair.relay.net;

import firstair.relay.RateLimitedLogger;
import firstair.relay.http.HttpException;
import firstair.relay.http.HttpParser;
import firstair.relay.http.MessageHead;
import java.net.InetSocketAddress;
import java.util.function.Supplier;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.GrizzlyFuture;

/** A {@link HttpConnection} that speaks HTTP/1.1 over a Grizzly connection. */
final class GrizzlyHttpConnection implements HttpConnection {
    private static final RateLimitedLogger FAULTS =
            new RateLimitedLogger(Logger.getLogger(GrizzlyHttpConnection.class.getName()), Level.SEVERE);

    private enum Phase {
        CONNECTING,
        UP, // established, and nothing has been sent on it yet
        WRITING,
        WAITING,
        IDLE,
        CLOSED
    }

    private final HttpParser parser;
    private final Runnable onIdleClose;

    @SuppressWarnings("rawtypes") // Grizzly's future is declared so
    private final GrizzlyFuture<Connection> connectFuture;

    private Connection<?> connection;
    private Phase phase = Phase.CONNECTING;
    private Exchange exchange;
    private MessageHead head;
    private boolean responseComplete;
    private boolean responseBegun;
    private boolean halted;

    /** Opens a connection, and sends a first request on it if there is one; see {@link Dialer#open}. */
    GrizzlyHttpConnection(
            NetworkTransport wire,
            int maxHead,
            InetSocketAddress to,
            long maxBody,
            byte[] request,
            Exchange firstExchange,
            Runnable onIdleClose) {
        this.parser = new HttpParser(HttpParser.Kind.ANSWER, maxHead, maxBody, new ResponseSink());
        this.exchange = firstExchange;
        this.onIdleClose = onIdleClose;
        // The library may throw instead of reporting a failure, but the opener must be notified of the end of the link.
        connectFuture = callLibrary(() -> wire.connect(to));
        if (connectFuture == null) {
            notSent();
            return;
        }
        connectFuture.addCompletionHandler(new EmptyCompletionHandler<>() {
            @Override
            @SuppressWarnings("rawtypes") // Grizzly's handler is declared so
            public void completed(Connection established) {
                connected(established, request);
            }

            @Override
            public void failed(Throwable cause) {
                if (LocalFailure.isLocal(cause)) {
                    failedLocally();
                } else {
                    notSent();
                }
            }

            @Override
            public void cancelled() {
                notSent();
            }
        });
    }

    private static <T> T callLibrary(Supplier<T> step) {
        try {
            return step.get();
        } catch (RuntimeException e) {
            FAULTS.log("unexpected exception in the connection library", e);
            return null;
        }
    }

    private synchronized void connected(Connection<?> established, byte[] request) {
        if (phase == Phase.CLOSED) {
            established.closeSilently(); // established after its call was given up
            return;
        }
        connection = established;
        HttpConnectionFilter.LINK.set(established, this);
        if (request != null) {
            write(request);
            return;
        }
        phase = Phase.UP;
        exchange.connected();
    }

    @Override
    public synchronized boolean send(byte[] request, Exchange next) {
        if (phase == Phase.UP && (responseBegun || !connection.isOpen())) {
            fail(false); // unsolicited data was received, or the connection ended before the library could report it
        }
        if (phase != Phase.UP && !idle()) {
            return false;
        }
        if (phase == Phase.IDLE && !NetworkTransport.hasNothingUnread(connection)) {
            // The peer has ended it or sent unsolicited data, which the selector has not processed yet: a request would
            // be lost on it or would be taken for answered by that data.
            close();
            return false;
        }
        exchange = next;
        responseBegun = false;
        write(request);
        return true;
    }

    @Override
    public synchronized boolean idle() {
        return phase == Phase.IDLE && connection.isOpen();
    }

    @Override
    public synchronized boolean keepIdle() {
        if (phase == Phase.UP && !responseBegun) {
            phase = Phase.IDLE;
            exchange = null;
        }
        return idle();
    }

    @Override
    public synchronized boolean connecting() {
        return phase == Phase.CONNECTING;
    }

    private void write(byte[] request) {
        phase = Phase.WRITING;
        boolean accepted = callLibrary(() -> {
                    NetworkTransport.write(connection, request, this::written, this::notSent);
                    return true;
                })
                != null;
        if (!accepted) {
            notSent();
        }
    }

    private synchronized void written() {
        if (phase == Phase.WRITING) {
            phase = Phase.WAITING;
        }
    }

    /** The connection was not established, or the last byte could not be handed to the system. */
    private synchronized void notSent() {
        if (phase == Phase.CONNECTING || phase == Phase.WRITING) {
            fail(false);
        }
    }

    private synchronized void failedLocally() {
        if (phase == Phase.CONNECTING) {
            Exchange ended = exchange;
            exchange = null;
            close();
            ended.failedLocally();
        }
    }

    synchronized void received(byte[] bytes) {
        if (phase == Phase.IDLE) {
            close(); // unsolicited data: the peer is out of step
            onIdleClose.run();
            return;
        }
        if (phase == Phase.CLOSED) {
            return;
        }
        try {
            responseComplete = false;
            int used = parser.feed(bytes, 0, bytes.length);
            if (responseComplete) {
                responseEnded(used == bytes.length && head.keepAlive(), used == bytes.length);
            } else {
                reportProgress();
            }
        } catch (HttpException e) {
            fail(true);
        } catch (RuntimeException e) {
            FAULTS.log("unexpected exception while handling a response", e);
            fail(true); // the exchange must still be notified of its end
        }
    }

    /** Reports that a response has begun, or that what had begun was an interim response, which is skipped. */
    private void reportProgress() {
        boolean hasBegun = phase == Phase.UP || parser.begun();
        if (hasBegun && !responseBegun) {
            responseBegun = true;
            exchange.responseBegun();
        } else if (!hasBegun && responseBegun) {
            responseBegun = false; // what had been received was part of an interim response
            exchange.interimEnded();
        }
    }

    private void responseEnded(boolean keepAlive, boolean alone) {
        Exchange ended = exchange;
        exchange = null;
        boolean reusable = keepAlive && phase == Phase.WAITING && !halted;
        if (reusable) {
            phase = Phase.IDLE;
        } else {
            close();
        }
        ended.completed(reusable, alone);
    }

    synchronized void closed() {
        if (phase == Phase.CLOSED) {
            return;
        }
        if (phase == Phase.IDLE) {
            phase = Phase.CLOSED;
            onIdleClose.run();
            return;
        }
        try {
            responseComplete = false;
            if (parser.eof() && responseComplete) {
                responseEnded(false, true);
                return;
            }
        } catch (HttpException e) {
            // falls through: a truncated response is a failed one
        } catch (RuntimeException e) {
            FAULTS.log("unexpected exception at the end of a response", e);
        }
        // In phase WRITING the last byte has not been handed to the system: completion of a write is reported under
        // our lock or on this thread. Grizzly reports the end of a connection before the end of its writes.
        fail(phase == Phase.WAITING);
    }

    private void fail(boolean maybeArrived) {
        Exchange ended = exchange;
        exchange = null;
        close();
        if (ended != null) {
            ended.failed(maybeArrived);
        }
    }

    @Override
    public synchronized boolean abandon() {
        boolean sent = phase == Phase.WRITING || phase == Phase.WAITING;
        exchange = null;
        close();
        return sent;
    }

    @Override
    public synchronized boolean halt() {
        if (phase != Phase.WAITING) {
            return false;
        }
        halted = true;
        NetworkTransport.shutdownOutput(connection, this::closed);
        return true;
    }

    private void close() {
        phase = Phase.CLOSED;
        callLibrary(() -> {
            if (connection != null) {
                connection.closeSilently();
            } else if (connectFuture != null) {
                connectFuture.cancel(true); // or its descriptor stays in use until the system gives up connecting
            }
            return true;
        });
    }

    private final class ResponseSink implements HttpParser.Sink {
        @Override
        public void status(int status) {
            exchange.status(status);
        }

        @Override
        public void header(String name, String value) {
            exchange.header(name, value);
        }

        @Override
        public void head(MessageHead received) {
            head = received;
            exchange.head(received);
        }

        @Override
        public void body(byte[] bytes, int offset, int length) {
            exchange.body(bytes, offset, length);
        }

        @Override
        public void end() {
            responseComplete = true;
        }
    }
}
