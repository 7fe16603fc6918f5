package firstair.relay.clients;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Counts the bytes of the heap that all connections of clients hold, and tells when they hold too many. A connection
 * may hold many times the bytes that it has received, so what counts is what is kept of them. Thread-safe.
 */
final class ClientMemory {
    private static final double PARTIAL_REQUEST_SHARE = 0.75; // the rest is for requests that are complete

    private final long limit;
    private final AtomicLong held = new AtomicLong();

    /** @param limit maximum number of bytes of all connections together */
    ClientMemory(long limit) {
        this.limit = limit;
    }

    /** A connection holds more bytes than before, or fewer if {@code bytes} is negative. */
    void add(long bytes) {
        held.addAndGet(bytes);
    }

    /** Whether no further partial request can be kept. */
    boolean crowded() {
        return held.get() > limit * PARTIAL_REQUEST_SHARE;
    }

    /** Whether no further complete request can be kept, either. */
    boolean full() {
        return held.get() > limit;
    }

    /** The bytes that all connections hold. */
    long held() {
        return held.get();
    }
}
