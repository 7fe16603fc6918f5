package firstair.relay.store;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * A monotonic clock that is shared by all processes within one boot of the machine, so that stored deadlines survive a
 * restart. The wall clock may be stepped by an operator or a time service, and a deadline stored in it would move with
 * it. Java does not guarantee a shared origin for {@link System#nanoTime}; on Linux it reads {@code CLOCK_MONOTONIC},
 * for which the kernel does.
 */
public interface BootClock {
    /** The clocks of this machine. */
    BootClock SYSTEM = new SystemClock();

    /** Identifies the boot that {@link #nowMs} belongs to; empty if the system does not provide an identifier. */
    String boot();

    /** Milliseconds since a fixed point of this boot; never decreases and is never stepped. */
    long nowMs();

    /** Unix time in milliseconds; may be stepped at any moment. */
    long wallMs();

    /** The clocks of {@link System}, with the kernel's boot id. */
    final class SystemClock implements BootClock {
        private static final Path BOOT_ID = Path.of("/proc/sys/kernel/random/boot_id");
        private static final long NS_PER_MS = 1_000_000;

        private final String boot = readBootId();

        private static String readBootId() {
            try {
                return Files.readString(BOOT_ID).strip();
            } catch (IOException | RuntimeException e) {
                return ""; // not Linux: stored times are then converted as after a reboot
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
