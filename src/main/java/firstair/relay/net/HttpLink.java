package firstair.relay.net;

import firstair.relay.Limits;
import firstair.relay.http.Head;
import firstair.relay.http.HttpException;
import firstair.relay.http.HttpParser;
import java.net.InetSocketAddress;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.GrizzlyFuture;

/**
 * One connection that the relay opens to a peer, with one request at a time on it. Calls to an exchange come
 * from the selector's thread or from the thread that sends, and must not block.
 */
public final class HttpLink {
    /** What comes of one request. Exactly one of {@link #done} and {@link #broken} comes, unless it was left. */
    public interface Exchange {
        /** Something of an answer has come, and not yet all of it. */
        default void begun() { }

        /** The answer's first line says so, whatever follows it. */
        default void first(int status) { }

        /** Start line and headers of the answer. */
        void head(Head head);

        /** A piece of the answer's body, valid during the call only. */
        void body(byte[] bytes, int offset, int length);

        /**
         * The answer is whole.
         *
         * @param reusable the connection can carry another request
         * @param alone    nothing came behind it
         */
        void done(boolean reusable, boolean alone);

        /**
         * The connection never came up or broke, or what came is no answer and the connection has been closed;
         * {@code maybeArrived} unless the last byte was not written.
         */
        void broken(boolean maybeArrived);
    }

    private enum Phase { CONNECTING, WRITING, WAITING, IDLE, CLOSED }

    private final HttpParser parser;
    private final Runnable closedIdle;
    @SuppressWarnings("rawtypes") // Grizzly's future is declared so
    private final GrizzlyFuture<Connection> opening;
    private Connection<?> connection;
    private Phase phase = Phase.CONNECTING;
    private Exchange exchange;
    private Head head;
    private boolean answered;
    private boolean begun;
    private boolean halted;

    /**
     * Opens a connection and sends a first request on it.
     *
     * @param maxBody    bytes of an answer's body at most
     * @param closedIdle told if the connection ends while no request is out on it
     */
    public HttpLink(Wire wire, Limits limits, InetSocketAddress to, long maxBody, byte[] request, Exchange first,
            Runnable closedIdle) {
        this.parser = new HttpParser(HttpParser.Kind.ANSWER, limits.maxHead(), maxBody, new Answer());
        this.exchange = first;
        this.closedIdle = closedIdle;
        opening = wire.connect(to);
        opening.addCompletionHandler(new EmptyCompletionHandler<>() {
            @Override
            @SuppressWarnings("rawtypes") // Grizzly's handler is declared so
            public void completed(Connection c) {
                connected(c, request);
            }

            @Override
            public void failed(Throwable why) {
                unwritten();
            }

            @Override
            public void cancelled() {
                unwritten();
            }
        });
    }

    private synchronized void connected(Connection<?> c, byte[] request) {
        if (phase == Phase.CLOSED) {
            c.closeSilently(); // it came up after its call was given up
            return;
        }
        connection = c;
        LinkFilter.LINK.set(c, this);
        write(request);
    }

    /** Sends a further request; false if the connection has ended meanwhile. */
    public synchronized boolean send(byte[] request, Exchange next) {
        if (phase != Phase.IDLE || !connection.isOpen()) {
            return false;
        }
        exchange = next;
        begun = false;
        write(request);
        return true;
    }

    /** Whether the connection has not come up yet. */
    public synchronized boolean connecting() {
        return phase == Phase.CONNECTING;
    }

    private void write(byte[] request) {
        phase = Phase.WRITING;
        Wire.write(connection, request, this::written, this::unwritten);
    }

    private synchronized void written() {
        if (phase == Phase.WRITING) {
            phase = Phase.WAITING;
        }
    }

    /** The connection never came up, or the last byte could not be handed to the system. */
    private synchronized void unwritten() {
        if (phase == Phase.CONNECTING || phase == Phase.WRITING) {
            fail(false);
        }
    }

    synchronized void received(byte[] bytes) {
        if (phase == Phase.IDLE) {
            close(); // nothing was asked: this peer is out of step
            closedIdle.run();
            return;
        }
        if (phase == Phase.CLOSED) {
            return;
        }
        try {
            answered = false;
            int used = parser.feed(bytes, 0, bytes.length);
            if (answered) {
                answered(used == bytes.length && head.keepAlive(), used == bytes.length);
            } else if (!begun) {
                begun = true;
                exchange.begun();
            }
        } catch (HttpException e) {
            fail(true);
        }
    }

    private void answered(boolean keep, boolean alone) {
        Exchange over = exchange;
        exchange = null;
        boolean reusable = keep && phase == Phase.WAITING && !halted;
        if (reusable) {
            phase = Phase.IDLE;
        } else {
            close();
        }
        over.done(reusable, alone);
    }

    synchronized void closed() {
        if (phase == Phase.CLOSED) {
            return;
        }
        if (phase == Phase.IDLE) {
            phase = Phase.CLOSED;
            closedIdle.run();
            return;
        }
        try {
            answered = false;
            if (parser.eof() && answered) {
                answered(false, true);
                return;
            }
        } catch (HttpException e) {
            // falls through: an answer cut short is a broken one
        }
        // While a write is not complete, its last byte is not with the system: completion is told under our lock
        // or on the thread that runs here. Grizzly tells the end of a connection before that of its writes.
        fail(phase == Phase.WAITING);
    }

    private void fail(boolean maybeArrived) {
        Exchange over = exchange;
        exchange = null;
        close();
        if (over != null) {
            over.broken(maybeArrived);
        }
    }

    /**
     * Ends the connection and the wait for an answer; nothing more is told of the exchange.
     *
     * @return whether the request may have arrived
     */
    public synchronized boolean leave() {
        boolean sent = phase == Phase.WRITING || phase == Phase.WAITING;
        exchange = null;
        close();
        return sent;
    }

    /**
     * Gives up a request whose answer is waited for, by ending our sending. The exchange goes on until the peer
     * ends the connection too, so that both sides agree on when the request was over.
     *
     * @return false if no whole request is out; then nothing has been done
     */
    public synchronized boolean halt() {
        if (phase != Phase.WAITING) {
            return false;
        }
        halted = true;
        Wire.endSending(connection, this::closed);
        return true;
    }

    private void close() {
        phase = Phase.CLOSED;
        if (connection != null) {
            connection.closeSilently();
        } else {
            opening.cancel(true); // or its descriptor would be held until the system gives the connection up
        }
    }

    private final class Answer implements HttpParser.Sink {
        @Override
        public void first(int status) {
            exchange.first(status);
        }

        @Override
        public void head(Head h) {
            head = h;
            exchange.head(h);
        }

        @Override
        public void body(byte[] bytes, int offset, int length) {
            exchange.body(bytes, offset, length);
        }

        @Override
        public void end() {
            answered = true;
        }
    }
}
