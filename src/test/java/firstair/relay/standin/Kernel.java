package firstair.relay.standin;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** What the system holds of TCP connections, as Linux tells it. */
public final class Kernel {
    private static final List<Path> TABLES = List.of(Path.of("/proc/net/tcp"), Path.of("/proc/net/tcp6"));
    private static final int ESTABLISHED = 1;

    private Kernel() { }

    /** Whether it tells anything here. */
    public static boolean tells() {
        return Files.isReadable(TABLES.get(0));
    }

    /** The other side of a connection of this process, which may be closed afterwards. */
    public static Other other(Socket here) {
        return new Other(here.getPort(), here.getLocalPort());
    }

    /** One end of a connection: its port, and the one that it is connected to. */
    public record Other(int port, int peer) {
        /** Whether bytes, an end or a reset have come there; bytes and an end only while nobody has read them. */
        public boolean waits() {
            String[] line = line(port, peer);
            return line == null || Integer.parseInt(line[3], 16) != ESTABLISHED
                    || Long.parseLong(line[4].split(":")[1], 16) > 0;
        }
    }

    /** The line of the end that has one port and is connected to another; null if there is none. */
    private static String[] line(int port, int peer) {
        try {
            for (Path table : TABLES) {
                if (!Files.isReadable(table)) {
                    continue;
                }
                for (String l : Files.readAllLines(table)) {
                    String[] w = l.trim().split("\\s+");
                    if (w[1].endsWith(String.format(":%04X", port)) && w[2].endsWith(String.format(":%04X", peer))) {
                        return w;
                    }
                }
            }
            return null;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
