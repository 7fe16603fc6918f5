package firstair.relay.net;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.GrizzlyFuture;

/**
 * A connection that carries frames to another relay. No method throws or waits; a frame that was taken may be lost with
 * the connection all the same. Who sends watches {@link #waiting} and {@link #stillMs}.
 */
public final class Pipe {
    private static final Logger LOG = Logger.getLogger(Pipe.class.getName());
    private static final double NS_PER_MS = 1e6;

    private enum Phase {
        CONNECTING,
        OPEN,
        CLOSED
    }

    @SuppressWarnings("rawtypes") // Grizzly's future is declared so
    private final GrizzlyFuture<Connection> opening;

    private final Queue<byte[]> before = new ArrayDeque<>();
    private Connection<?> connection;
    private Phase phase = Phase.CONNECTING;
    private long waiting;
    private long movedAt = System.nanoTime();

    /** Begins to connect; see {@link Frames#open}. */
    Pipe(Frames frames, InetSocketAddress to) {
        opening = connect(frames, to);
        if (opening == null) {
            close();
            return;
        }
        opening.addCompletionHandler(new EmptyCompletionHandler<>() {
            @Override
            @SuppressWarnings("rawtypes") // Grizzly's handler is declared so
            public void completed(Connection c) {
                connected(c);
            }

            @Override
            public void failed(Throwable why) {
                close();
            }

            @Override
            public void cancelled() {
                close();
            }
        });
    }

    @SuppressWarnings("rawtypes") // Grizzly's future is declared so
    private static GrizzlyFuture<Connection> connect(Frames frames, InetSocketAddress to) {
        try {
            return frames.connect(to);
        } catch (RuntimeException e) {
            LOG.log(Level.FINE, "no connection to another relay", e);
            return null;
        }
    }

    private synchronized void connected(Connection<?> c) {
        if (phase == Phase.CLOSED) {
            c.closeSilently(); // it came up after it was given up
            return;
        }
        connection = c;
        phase = Phase.OPEN;
        movedAt = System.nanoTime();
        Frames.belongs(c, this);
        while (phase == Phase.OPEN && !before.isEmpty()) {
            write(before.remove());
        }
        if (!c.isOpen()) {
            close(); // it ended before its end could be told to us
        }
    }

    /** Hands in a frame; false if the connection has ended and it was not taken. */
    public synchronized boolean send(byte[] frame) {
        if (phase == Phase.CLOSED) {
            return false;
        }
        byte[] all = ByteBuffer.allocate(Integer.BYTES + frame.length)
                .putInt(frame.length)
                .put(frame)
                .array();
        if (waiting == 0) {
            movedAt = System.nanoTime();
        }
        waiting += all.length;
        if (phase == Phase.CONNECTING) {
            before.add(all);
        } else {
            write(all);
        }
        return true;
    }

    private void write(byte[] bytes) {
        try {
            Wire.write(connection, bytes, () -> written(bytes.length), this::close);
        } catch (RuntimeException e) {
            LOG.log(Level.FINE, "a frame was not written", e);
            close();
        }
    }

    private synchronized void written(int bytes) {
        if (phase != Phase.CLOSED) {
            waiting -= bytes;
            movedAt = System.nanoTime();
        }
    }

    /** Bytes taken that are not with the system yet. */
    public synchronized long waiting() {
        return waiting;
    }

    /** Milliseconds since anything was last taken, opened or written. */
    public synchronized double stillMs() {
        return (System.nanoTime() - movedAt) / NS_PER_MS;
    }

    /** Whether it is open or may still come up. */
    public synchronized boolean alive() {
        return phase != Phase.CLOSED;
    }

    /** Whether it ever came up. */
    public synchronized boolean cameUp() {
        return connection != null;
    }

    /** Ends it; what waits is lost. */
    public synchronized void close() {
        if (phase == Phase.CLOSED) {
            return;
        }
        phase = Phase.CLOSED;
        before.clear();
        waiting = 0;
        try {
            if (connection != null) {
                connection.closeSilently();
            } else if (opening != null) {
                opening.cancel(true); // or its descriptor would be held until the system gives the connection up
            }
        } catch (RuntimeException e) {
            LOG.log(Level.FINE, "fault at the end of a connection", e);
        }
    }
}
