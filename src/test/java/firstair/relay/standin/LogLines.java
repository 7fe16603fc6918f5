package firstair.relay.standin;

import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Collects the messages that a class logs while this is open. */
public final class LogLines extends Handler implements AutoCloseable {
    private final Queue<String> lines = new ConcurrentLinkedQueue<>();
    private final Logger logger; // a strong reference, or it could be garbage-collected together with its handlers

    /** @param loggingClass the class whose logger is observed */
    public LogLines(Class<?> loggingClass) {
        logger = Logger.getLogger(loggingClass.getName());
        logger.addHandler(this);
    }

    /** The messages that begin with a text. */
    public List<String> startingWith(String text) {
        return lines.stream().filter(line -> line.startsWith(text)).toList();
    }

    @Override
    public void publish(LogRecord logRecord) {
        lines.add(logRecord.getMessage());
    }

    @Override
    public void flush() {
        // nothing is buffered
    }

    @Override
    public void close() {
        logger.removeHandler(this);
    }
}
