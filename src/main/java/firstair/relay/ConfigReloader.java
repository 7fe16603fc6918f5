package firstair.relay;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import java.util.logging.Logger;

/**
 * Reads a file again while the relay serves. One that cannot be used may be one that is still being written: it is read
 * again for a little, and one that stays so changes nothing.
 */
final class ConfigReloader {
    private static final Logger LOG = Logger.getLogger(ConfigReloader.class.getName());
    private static final double NS_PER_MS = 1e6;

    private final DoubleSupplier patienceMs;
    private final long pauseMs;

    /**
     * Reads files on the threads of signals.
     *
     * @param patienceMs for how long a file that cannot be used is read again
     * @param pauseMs    between two readings
     */
    ConfigReloader(DoubleSupplier patienceMs, double pauseMs) {
        this.patienceMs = patienceMs;
        this.pauseMs = (long) pauseMs;
    }

    /**
     * Reads until what is read can be used, and hands that on; tells in the log why it could not.
     *
     * @param name what the log calls it
     */
    <T> void until(Supplier<T> read, Consumer<T> use, String name) {
        long end = System.nanoTime() + (long) (patienceMs.getAsDouble() * NS_PER_MS);
        while (true) {
            List<String> why;
            try {
                use.accept(read.get());
                return;
            } catch (ConfigException e) {
                why = e.lines();
            } catch (RuntimeException e) {
                why = List.of(name + ": " + e);
            }
            if (System.nanoTime() > end || !paused()) {
                why.forEach(l -> LOG.warning(l + "; the " + name + " read before stays"));
                return;
            }
        }
    }

    private boolean paused() {
        try {
            TimeUnit.MILLISECONDS.sleep(pauseMs);
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
