package firstair.relay.store;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * A clock that runs on while no process does. The wall clock may be stepped by an operator or a time service, and a
 * deadline that was stored by it would move along; the system's monotonic clock is not stepped and, within one boot of
 * the machine, is the same for all processes. Java does not promise that of {@link System#nanoTime}: on Linux it reads
 * {@code CLOCK_MONOTONIC}, of which the kernel does.
 */
public interface BootClock {
    /** The clocks of this machine. */
    BootClock SYSTEM = new SystemClock();

    /** Which boot of which machine {@link #nowMs} belongs to; empty where the system does not tell. */
    String boot();

    /** Milliseconds since some moment of this boot; never goes back and is never stepped. */
    long nowMs();

    /** Unix time in milliseconds, which may be stepped at any moment. */
    long wallMs();

    /** {@link System}'s clocks, and the kernel's name for its boot. */
    final class SystemClock implements BootClock {
        private static final Path BOOT_ID = Path.of("/proc/sys/kernel/random/boot_id");
        private static final long NS_PER_MS = 1_000_000;

        private final String boot = readBootId();

        private static String readBootId() {
            try {
                return Files.readString(BOOT_ID).strip();
            } catch (IOException | RuntimeException e) {
                return ""; // another system: stored times are then taken up as after a boot
            }
        }

        @Override
        public String boot() {
            return boot;
        }

        @Override
        public long nowMs() {
            return System.nanoTime() / NS_PER_MS;
        }

        @Override
        public long wallMs() {
            return System.currentTimeMillis();
        }
    }
}
