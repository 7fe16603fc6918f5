package firstair.relay;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.util.logging.Handler;
import java.util.logging.LogManager;
import java.util.logging.Logger;
import java.util.logging.SimpleFormatter;

/** Sets up logging: to standard error, one line per record, without blocking, and until the process has exited. */
public final class Logs {
    private static final int MAX_PENDING_BYTES = 256 * 1024; // some thousand lines
    private static final long MAX_DRAIN_MS = 200; // a reader takes the remaining lines in less time
    private static AsyncLogHandler handler;

    private Logs() {}

    /** Keeps the handlers until the process exits; the default manager removes them when a shutdown begins. */
    public static final class Manager extends LogManager {
        @Override
        public void reset() {
            // lines are still logged while the relay drains
        }
    }

    /** Installs the handler; must be called before anything is logged. */
    public static synchronized void install() {
        System.setProperty("java.util.logging.manager", Manager.class.getName());
        System.setProperty("java.util.logging.SimpleFormatter.format", "%1$tT.%1$tL %4$s %5$s%6$s%n");
        Logger root = Logger.getLogger("");
        for (Handler defaultHandler : root.getHandlers()) {
            root.removeHandler(defaultHandler);
        }
        handler =
                new AsyncLogHandler(new FileOutputStream(FileDescriptor.err), new SimpleFormatter(), MAX_PENDING_BYTES);
        root.addHandler(handler);
    }

    /** Waits until all lines are written, for at most 200 ms; called at the end of the process. */
    public static synchronized void drain() {
        if (handler != null) {
            handler.drain(MAX_DRAIN_MS);
        }
    }
}
