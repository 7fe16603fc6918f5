package firstair.relay.standin;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** The TCP connections of this machine, as reported by Linux. */
public final class TcpTable {
    private static final List<Path> TABLES = List.of(Path.of("/proc/net/tcp"), Path.of("/proc/net/tcp6"));
    // Columns of a line of the tables
    private static final int LOCAL = 1;
    private static final int PEER = 2;
    private static final int STATE = 3;
    private static final int QUEUE_SIZES = 4;
    private static final int ESTABLISHED = 1;

    private TcpTable() {}

    /** The peer's end of a connection of this process. The socket may be closed afterwards. */
    public static End otherEnd(Socket local) {
        return new End(local.getPort(), local.getLocalPort());
    }

    /**
     * One end of a connection.
     *
     * @param port its own port
     * @param peer the port that it is connected to
     */
    public record End(int port, int peer) {
        /** Whether bytes, an end or a reset have arrived there; bytes and an end only until they are read. */
        public boolean hasUnread() {
            String[] line = line(port, peer);
            return line == null
                    || Integer.parseInt(line[STATE], 16) != ESTABLISHED
                    || Long.parseLong(line[QUEUE_SIZES].split(":")[1], 16) > 0;
        }
    }

    /** The columns of the line for an end; null if there is none. */
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
