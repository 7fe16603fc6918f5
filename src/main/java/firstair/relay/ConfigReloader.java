package firstair.relay;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import java.util.logging.Logger;

/**
 * Reloads a file while the relay serves. An invalid file may still be in the middle of being written, so reading is
 * retried for a limited time; a file that stays invalid changes nothing.
 */
final class ConfigReloader {
    private static final Logger LOG = Logger.getLogger(ConfigReloader.class.getName());
    private static final double NS_PER_MS = 1e6;

    private final DoubleSupplier retryForMs;
    private final long pauseMs;

    /**
     * Creates a reloader. Its reads block the calling thread, a signal handler's.
     *
     * @param retryForMs how long reading an invalid file is retried
     * @param pauseMs    pause between two reads
     */
    ConfigReloader(DoubleSupplier retryForMs, double pauseMs) {
        this.retryForMs = retryForMs;
        this.pauseMs = (long) pauseMs;
    }

    /**
     * Reads until the result is valid and passes it to {@code use}. Logs the errors if the time for retries is over.
     *
     * @param name what the log calls the file
     */
    <T> void reload(Supplier<T> read, Consumer<T> use, String name) {
        long deadlineNs = System.nanoTime() + (long) (retryForMs.getAsDouble() * NS_PER_MS);
        while (true) {
            List<String> errors;
            try {
                use.accept(read.get());
                return;
            } catch (ConfigException e) {
                errors = e.lines();
            } catch (RuntimeException e) {
                errors = List.of(name + ": " + e);
            }
            if (System.nanoTime() > deadlineNs || !pause()) {
                errors.forEach(line -> LOG.warning(line + "; the " + name + " read before stays"));
                return;
            }
        }
    }

    /** Returns false if the thread was interrupted. */
    private boolean pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(pauseMs);
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
