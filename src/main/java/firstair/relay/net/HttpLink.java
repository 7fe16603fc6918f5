package firstair.relay.net;

import firstair.relay.RateLimitedLogger;
import firstair.relay.http.Head;
import firstair.relay.http.HttpException;
import firstair.relay.http.HttpParser;
import java.net.InetSocketAddress;
import java.util.function.Supplier;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.GrizzlyFuture;

/** A {@link Link} that speaks HTTP/1.1 over a connection of Grizzly's. */
final class HttpLink implements Link {
    private static final RateLimitedLogger FAULTS =
            new RateLimitedLogger(Logger.getLogger(HttpLink.class.getName()), Level.SEVERE);

    private enum Phase {
        CONNECTING,
        UP,
        WRITING,
        WAITING,
        IDLE,
        CLOSED
    } // UP: nothing has been sent on it yet

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

    /** Opens a connection, and sends a first request on it if there is one; see {@link Dialer#open}. */
    HttpLink(
            Wire wire,
            int maxHead,
            InetSocketAddress to,
            long maxBody,
            byte[] request,
            Exchange first,
            Runnable closedIdle) {
        this.parser = new HttpParser(HttpParser.Kind.ANSWER, maxHead, maxBody, new Answer());
        this.exchange = first;
        this.closedIdle = closedIdle;
        // Guards against a library that throws in place of telling a failure: who opened the link waits for its end.
        opening = guarded(() -> wire.connect(to));
        if (opening == null) {
            unwritten();
            return;
        }
        opening.addCompletionHandler(new EmptyCompletionHandler<>() {
            @Override
            @SuppressWarnings("rawtypes") // Grizzly's handler is declared so
            public void completed(Connection c) {
                connected(c, request);
            }

            @Override
            public void failed(Throwable why) {
                if (LocalFailure.is(why)) {
                    unasked();
                } else {
                    unwritten();
                }
            }

            @Override
            public void cancelled() {
                unwritten();
            }
        });
    }

    private static <T> T guarded(Supplier<T> step) {
        try {
            return step.get();
        } catch (RuntimeException e) {
            FAULTS.log("fault under a connection", e);
            return null;
        }
    }

    private synchronized void connected(Connection<?> c, byte[] request) {
        if (phase == Phase.CLOSED) {
            c.closeSilently(); // it came up after its call was given up
            return;
        }
        connection = c;
        LinkFilter.LINK.set(c, this);
        if (request != null) {
            write(request);
            return;
        }
        phase = Phase.UP;
        exchange.up();
    }

    @Override
    public synchronized boolean send(byte[] request, Exchange next) {
        if (phase == Phase.UP && (begun || !connection.isOpen())) {
            fail(false); // what has come answers no request, and an end before we knew the connection was not told
        }
        if (phase != Phase.UP && !idle()) {
            return false;
        }
        if (phase == Phase.IDLE && !Wire.isQuiet(connection)) {
            // It has ended or is out of step, and the selector has not come to it: a request would be lost on it, or
            // get
            // the answer that nobody asked for.
            close();
            return false;
        }
        exchange = next;
        begun = false;
        write(request);
        return true;
    }

    @Override
    public synchronized boolean idle() {
        return phase == Phase.IDLE && connection.isOpen();
    }

    @Override
    public synchronized boolean keep() {
        if (phase == Phase.UP && !begun) {
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
        boolean handed = guarded(() -> {
                    Wire.write(connection, request, this::written, this::unwritten);
                    return true;
                })
                != null;
        if (!handed) {
            unwritten();
        }
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

    private synchronized void unasked() {
        if (phase == Phase.CONNECTING) {
            Exchange over = exchange;
            exchange = null;
            close();
            over.unasked();
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
            } else {
                tellBegin();
            }
        } catch (HttpException e) {
            fail(true);
        } catch (RuntimeException e) {
            FAULTS.log("fault in an answer", e); // its exchange must still hear that it is over
            fail(true);
        }
    }

    /** An answer has begun once a part of it has come; interim ones, which are passed over, are no part of it. */
    private void tellBegin() {
        boolean begins = phase == Phase.UP || parser.begun();
        if (begins && !begun) {
            begun = true;
            exchange.begun();
        } else if (!begins && begun) {
            begun = false; // what had come was a part of an interim answer
            exchange.interim();
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
        } catch (RuntimeException e) {
            FAULTS.log("fault at the end of an answer", e);
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

    @Override
    public synchronized boolean leave() {
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
        Wire.endSending(connection, this::closed);
        return true;
    }

    private void close() {
        phase = Phase.CLOSED;
        guarded(() -> {
            if (connection != null) {
                connection.closeSilently();
            } else if (opening != null) {
                opening.cancel(true); // or its descriptor would be held until the system gives the connection up
            }
            return true;
        });
    }

    private final class Answer implements HttpParser.Sink {
        @Override
        public void first(int status) {
            exchange.first(status);
        }

        @Override
        public void field(String name, String value) {
            exchange.field(name, value);
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
