package firstair.relay.standin;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** What Linux tells of TCP connections of this machine. */
public final class Kernel {
    private static final List<Path> TABLES = List.of(Path.of("/proc/net/tcp"), Path.of("/proc/net/tcp6"));
    // columns of a line
    private static final int LOCAL = 1;
    private static final int PEER = 2;
    private static final int STATE = 3;
    private static final int QUEUES = 4;
    private static final int ESTABLISHED = 1;

    private Kernel() {}

    /** The other end of a connection of this process, which may be closed afterwards. */
    public static End otherEnd(Socket here) {
        return new End(here.getPort(), here.getLocalPort());
    }

    /** One end of a connection: its port, and the one that it is connected to. */
    public record End(int port, int peer) {
        /** Whether bytes, an end or a reset have come there; bytes and an end only while nobody has read them. */
        public boolean waits() {
            String[] line = line(port, peer);
            return line == null
                    || Integer.parseInt(line[STATE], 16) != ESTABLISHED
                    || Long.parseLong(line[QUEUES].split(":")[1], 16) > 0;
        }
    }

    /** The line of the end that has one port and is connected to another; null if there is none. */
    private static String[] line(int port, int peer) {
        try {
            for (Path table : TABLES) {
                for (String line : Files.readAllLines(table)) {
                    String[] columns = line.trim().split("\\s+");
                    if (columns[LOCAL].endsWith(String.format(":%04X", port))
                            && columns[PEER].endsWith(String.format(":%04X", peer))) {
                        return columns;
                    }
                }
            }
            return null;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
