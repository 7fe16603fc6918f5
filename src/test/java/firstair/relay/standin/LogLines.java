package firstair.relay.standin;

import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Lines that a class writes to the log while this is open. */
public final class LogLines extends Handler implements AutoCloseable {
    private final Queue<String> lines = new ConcurrentLinkedQueue<>();
    private final Logger logger; // held, so that it is not collected with its handlers

    /** @param of the class that logs */
    public LogLines(Class<?> of) {
        logger = Logger.getLogger(of.getName());
        logger.addHandler(this);
    }

    /** Those that begin so. */
    public List<String> beginning(String text) {
        return lines.stream().filter(l -> l.startsWith(text)).toList();
    }

    @Override
    public void publish(LogRecord r) {
        lines.add(r.getMessage());
    }

    @Override
    public void flush() {
        // nothing waits
    }

    @Override
    public void close() {
        logger.removeHandler(this);
    }
}
