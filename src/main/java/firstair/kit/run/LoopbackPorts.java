package firstair.kit.run;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Reserves loopback ports for processes that are started later, so that no other process takes them in the meantime.
 * The ports are outside the system's ephemeral range, which outgoing connections and binds to port 0 use. Each process
 * that uses this class has its own block of ports, which it reserves by binding a datagram socket to the first port of
 * the block on another loopback address.
 */
public final class LoopbackPorts {
    private static final LoopbackPorts SHARED = new LoopbackPorts();
    private static final Path EPHEMERAL_FILE = Path.of("/proc/sys/net/ipv4/ip_local_port_range");
    private static final String DEFAULT_EPHEMERAL = "32768 60999";
    private static final String RESERVATION_HOST = "127.0.0.2";
    private static final int MIN_PORT = 10_000;
    private static final int MAX_PORT = 65_535;
    private static final int BLOCK_SIZE = 256;

    private DatagramSocket reservation; // bound to the block's first port until this process exits
    private int nextOffset;

    LoopbackPorts() {}

    /** The instance that all of this process shares. */
    public static LoopbackPorts shared() {
        return SHARED;
    }

    /**
     * Returns the next address of the block whose port is free for UDP and TCP. An address is returned again only after
     * all others of the block.
     *
     * @throws IOException if no port is free
     */
    public synchronized InetSocketAddress next() throws IOException {
        if (reservation == null) {
            reservation = reserveBlock();
        }
        for (int tries = 0; tries < BLOCK_SIZE; tries++) {
            int port = reservation.getLocalPort() + nextOffset;
            nextOffset = (nextOffset + 1) % BLOCK_SIZE;
            InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
            if (isFree(address)) {
                return address;
            }
        }
        throw new IOException("no free port in the block at " + reservation.getLocalPort());
    }

    private static boolean isFree(InetSocketAddress address) {
        try (ServerSocket tcp = new ServerSocket();
                DatagramSocket udp = new DatagramSocket(null)) {
            tcp.bind(address);
            udp.bind(address);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private static DatagramSocket reserveBlock() throws IOException {
        for (int first : firstPortsOfBlocks()) {
            try {
                return new DatagramSocket(new InetSocketAddress(RESERVATION_HOST, first));
            } catch (IOException e) {
                // reserved by another process
            }
        }
        throw new IOException("no block of ports is left");
    }

    /** The first ports of all blocks outside the ephemeral range. */
    private static List<Integer> firstPortsOfBlocks() throws IOException {
        String[] ephemeral = ephemeralRange().trim().split("\\s+");
        int first = Integer.parseInt(ephemeral[0]);
        int last = Integer.parseInt(ephemeral[1]);
        List<Integer> blocks = new ArrayList<>();
        for (int port = MIN_PORT; port + BLOCK_SIZE - 1 <= MAX_PORT; port += BLOCK_SIZE) {
            if (port + BLOCK_SIZE <= first || port > last) {
                blocks.add(port);
            }
        }
        return blocks;
    }

    private static String ephemeralRange() throws IOException {
        if (!Files.exists(EPHEMERAL_FILE)) {
            return DEFAULT_EPHEMERAL;
        }
        // One buffered read: the kernel answers a second read of this file with end of file.
        try (BufferedReader in = Files.newBufferedReader(EPHEMERAL_FILE)) {
            return in.readLine();
        }
    }
}
