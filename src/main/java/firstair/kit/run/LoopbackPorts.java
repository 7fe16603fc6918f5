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
 * Ports on loopback for processes that are started later: nobody else gets one of them in between. They lie outside the
 * system's ephemeral range, so that no connection and no bind to any free port takes them, and each of our processes
 * has a block of ports to itself, which it claims by a datagram socket at another loopback address.
 */
public final class LoopbackPorts {
    private static final LoopbackPorts SHARED = new LoopbackPorts();
    private static final Path EPHEMERAL = Path.of("/proc/sys/net/ipv4/ip_local_port_range");
    private static final String EPHEMERAL_BY_DEFAULT = "32768 60999";
    private static final String CLAIMS = "127.0.0.2";
    private static final int LOWEST = 10_000;
    private static final int HIGHEST = 65_535;
    private static final int BLOCK = 256;

    private DatagramSocket claim; // at the block's first port, until this process ends
    private int used;

    LoopbackPorts() {}

    /** The ports of this process. */
    public static LoopbackPorts shared() {
        return SHARED;
    }

    /**
     * The next address of this process whose port is free for UDP and TCP. An address comes again once all others of
     * the block have been handed out, unless it is in use.
     *
     * @throws IOException if no port is free
     */
    public synchronized InetSocketAddress next() throws IOException {
        if (claim == null) {
            claim = claimed();
        }
        for (int tries = 0; tries < BLOCK; tries++) {
            int port = claim.getLocalPort() + used;
            used = (used + 1) % BLOCK;
            InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
            if (isFree(address)) {
                return address;
            }
        }
        throw new IOException("no free port in the block at " + claim.getLocalPort());
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

    private static DatagramSocket claimed() throws IOException {
        for (int first : blocks()) {
            try {
                return new DatagramSocket(new InetSocketAddress(CLAIMS, first));
            } catch (IOException e) {
                // another process has it
            }
        }
        throw new IOException("no block of ports is left");
    }

    /** The first ports of all blocks outside the ephemeral range. */
    private static List<Integer> blocks() throws IOException {
        String[] ephemeral = ephemeral().trim().split("\\s+");
        int first = Integer.parseInt(ephemeral[0]);
        int last = Integer.parseInt(ephemeral[1]);
        List<Integer> blocks = new ArrayList<>();
        for (int port = LOWEST; port + BLOCK - 1 <= HIGHEST; port += BLOCK) {
            if (port + BLOCK <= first || port > last) {
                blocks.add(port);
            }
        }
        return blocks;
    }

    private static String ephemeral() throws IOException {
        if (!Files.exists(EPHEMERAL)) {
            return EPHEMERAL_BY_DEFAULT;
        }
        try (BufferedReader in = Files.newBufferedReader(EPHEMERAL)) { // such a file ends behind the first read
            return in.readLine();
        }
    }
}
