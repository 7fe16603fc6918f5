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
 * A connection that carries frames to another relay. No method throws or waits. A frame that was accepted may still be
 * lost with the connection; senders check {@link #unwrittenBytes} and {@link #msSinceProgress}.
 */
public final class FrameConnection {
    private static final Logger LOG = Logger.getLogger(FrameConnection.class.getName());
    private static final double NS_PER_MS = 1e6;

    private enum Phase {
        CONNECTING,
        OPEN,
        CLOSED
    }

    @SuppressWarnings("rawtypes") // Grizzly's future is declared so
    private final GrizzlyFuture<Connection> connectFuture;

    private final Queue<byte[]> queuedFrames = new ArrayDeque<>();
    private Connection<?> connection;
    private Phase phase = Phase.CONNECTING;
    private long unwrittenBytes;
    private long lastProgressAt = System.nanoTime();

    /** Starts to connect; see {@link FrameTransport#open}. */
    FrameConnection(FrameTransport frames, InetSocketAddress to) {
        connectFuture = connect(frames, to);
        if (connectFuture == null) {
            close();
            return;
        }
        connectFuture.addCompletionHandler(new EmptyCompletionHandler<>() {
            @Override
            @SuppressWarnings("rawtypes") // Grizzly's handler is declared so
            public void completed(Connection established) {
                connected(established);
            }

            @Override
            public void failed(Throwable cause) {
                close();
            }

            @Override
            public void cancelled() {
                close();
            }
        });
    }

    @SuppressWarnings("rawtypes") // Grizzly's future is declared so
    private static GrizzlyFuture<Connection> connect(FrameTransport frames, InetSocketAddress to) {
        try {
            return frames.connect(to);
        } catch (RuntimeException e) {
            LOG.log(Level.FINE, "cannot connect to another relay", e);
            return null;
        }
    }

    private synchronized void connected(Connection<?> established) {
        if (phase == Phase.CLOSED) {
            established.closeSilently(); // established after it was closed here
            return;
        }
        connection = established;
        phase = Phase.OPEN;
        lastProgressAt = System.nanoTime();
        FrameTransport.setPipe(established, this);
        while (phase == Phase.OPEN && !queuedFrames.isEmpty()) {
            write(queuedFrames.remove());
        }
        if (!established.isOpen()) {
            close(); // it ended before its end could be reported to this pipe
        }
    }

    /** Queues a frame; false if the connection has ended and the frame was not accepted. */
    public synchronized boolean send(byte[] frame) {
        if (phase == Phase.CLOSED) {
            return false;
        }
        byte[] framed = ByteBuffer.allocate(Integer.BYTES + frame.length)
                .putInt(frame.length)
                .put(frame)
                .array();
        if (unwrittenBytes == 0) {
            lastProgressAt = System.nanoTime();
        }
        unwrittenBytes += framed.length;
        if (phase == Phase.CONNECTING) {
            queuedFrames.add(framed);
        } else {
            write(framed);
        }
        return true;
    }

    private void write(byte[] bytes) {
        try {
            NetworkTransport.write(connection, bytes, () -> written(bytes.length), this::close);
        } catch (RuntimeException e) {
            LOG.log(Level.FINE, "failed to write a frame", e);
            close();
        }
    }

    private synchronized void written(int bytes) {
        if (phase != Phase.CLOSED) {
            unwrittenBytes -= bytes;
            lastProgressAt = System.nanoTime();
        }
    }

    /** Bytes that were accepted and have not been handed to the system yet. */
    public synchronized long unwrittenBytes() {
        return unwrittenBytes;
    }

    /** Milliseconds since bytes were last written, the connection was established or sending began anew. */
    public synchronized double msSinceProgress() {
        return (System.nanoTime() - lastProgressAt) / NS_PER_MS;
    }

    /** Whether the connection is open or still being established. */
    public synchronized boolean isUsable() {
        return phase != Phase.CLOSED;
    }

    /** Whether the connection was ever established. */
    public synchronized boolean wasConnected() {
        return connection != null;
    }

    /** Closes the connection; frames that are not written yet are lost. */
    public synchronized void close() {
        if (phase == Phase.CLOSED) {
            return;
        }
        phase = Phase.CLOSED;
        queuedFrames.clear();
        unwrittenBytes = 0;
        try {
            if (connection != null) {
                connection.closeSilently();
            } else if (connectFuture != null) {
                connectFuture.cancel(true); // or its descriptor stays in use until the system gives up connecting
            }
        } catch (RuntimeException e) {
            LOG.log(Level.FINE, "unexpected exception while closing a connection", e);
        }
    }
}
