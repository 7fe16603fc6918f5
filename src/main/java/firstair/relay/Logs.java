package firstair.relay;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.util.logging.Handler;
import java.util.logging.LogManager;
import java.util.logging.Logger;
import java.util.logging.SimpleFormatter;

/** How the program logs: one line each on standard error, also while it ends, and without waiting for its reader. */
public final class Logs {
    private static final int MOST_BYTES = 256 * 1024; // some thousand lines
    private static final long END_MS = 200; // a reader takes what is left in less
    private static LineHandler handler;

    private Logs() {}

    /** Keeps the handlers until the process is gone; the usual manager drops them as soon as an end begins. */
    public static final class Manager extends LogManager {
        @Override
        public void reset() {
            // the drain still has something to say
        }
    }

    /** To be called before anything logs. */
    public static synchronized void install() {
        System.setProperty("java.util.logging.manager", Manager.class.getName());
        System.setProperty("java.util.logging.SimpleFormatter.format", "%1$tT.%1$tL %4$s %5$s%6$s%n");
        Logger root = Logger.getLogger("");
        for (Handler usual : root.getHandlers()) {
            root.removeHandler(usual);
        }
        handler = new LineHandler(new FileOutputStream(FileDescriptor.err), new SimpleFormatter(), MOST_BYTES);
        root.addHandler(handler);
    }

    /** Waits for what has been logged to be written, 0.2 s at most: at the end of the process. */
    public static synchronized void drain() {
        if (handler != null) {
            handler.drain(END_MS);
        }
    }
}
