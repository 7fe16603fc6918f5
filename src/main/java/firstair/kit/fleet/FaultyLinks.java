package firstair.kit.fleet;

import firstair.kit.run.LoopbackPorts;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.StringJoiner;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Forwards the traffic between relays that run as processes, with faults. Each relay is configured with a proxy port in
 * place of each other relay; datagrams and connections to the port are forwarded to that relay with the faults given by
 * {@link #setFaults}. Everything runs on loopback and on one thread, until {@link #close}. What happens to the n-th
 * datagram of a link depends only on the seed and on the link's faults.
 */
public final class FaultyLinks implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(FaultyLinks.class.getName());
    private static final int MAX_RELAYS = 32;
    private static final double NS_PER_MS = 1e6;
    private static final long CLOSE_TIMEOUT_MS = 5000;

    /**
     * Traffic of one link.
     *
     * @param received    datagrams received
     * @param forwarded   datagrams forwarded, duplicated ones counted twice
     * @param lost        datagrams lost, through the link's faults or because too many were in transit
     * @param bytes       bytes of connections forwarded
     * @param connections connections accepted
     */
    public record Counts(long received, long forwarded, long lost, long bytes, long connections) {}

    private final Selector selector = Selector.open();
    private final Map<String, InetSocketAddress> relays;
    private final Map<String, FaultyLink> links = new LinkedHashMap<>();
    private final Thread thread = new Thread(this::run, "faulty-links");
    private volatile boolean closed;

    /**
     * Opens the links between all relays, in both directions.
     *
     * @param relays addresses at which the relays themselves listen, by name; see {@link #freeAddresses}
     * @throws IOException if the ports cannot be bound
     */
    public FaultyLinks(long seed, Map<String, InetSocketAddress> relays) throws IOException {
        if (relays.size() > MAX_RELAYS) {
            throw new IllegalArgumentException(relays.size() + " relays, " + MAX_RELAYS + " at most");
        }
        this.relays = new LinkedHashMap<>(relays);
        try {
            long number = 0;
            for (String from : relays.keySet()) {
                for (String to : relays.keySet()) {
                    number++;
                    if (!from.equals(to)) {
                        links.put(name(from, to), link(seed + number, relays.get(to)));
                    }
                }
            }
        } catch (IOException | RuntimeException e) {
            closeAll();
            throw e;
        }
        thread.setDaemon(true);
        thread.start();
    }

    private static String name(String from, String to) {
        return from + " to " + to;
    }

    private FaultyLink link(long seed, InetSocketAddress to) throws IOException {
        InetSocketAddress at = LoopbackPorts.shared().next();
        DatagramChannel udp = DatagramChannel.open();
        ServerSocketChannel tcp = ServerSocketChannel.open();
        try {
            udp.bind(at).configureBlocking(false);
            tcp.bind(at).configureBlocking(false);
        } catch (IOException e) {
            udp.close();
            tcp.close();
            throw e;
        }
        FaultyLink link = new FaultyLink(seed, selector, udp, tcp, to);
        udp.register(selector, SelectionKey.OP_READ, (FaultyLink.ReadyHandler) link::receiveDatagrams);
        tcp.register(selector, SelectionKey.OP_ACCEPT, (FaultyLink.ReadyHandler) link::accept);
        return link;
    }

    /** Free addresses on loopback for relays that are started later; see {@link LoopbackPorts}. */
    public static Map<String, InetSocketAddress> freeAddresses(List<String> names) throws IOException {
        Map<String, InetSocketAddress> all = new LinkedHashMap<>();
        for (String name : names) {
            all.put(name, LoopbackPorts.shared().next());
        }
        return all;
    }

    /** UDP and TCP address of the link from one relay to another. */
    public InetSocketAddress address(String from, String to) {
        return link(from, to).address();
    }

    /** Value of {@code fleet.peers} for one relay: its own address, and the links in place of the other relays. */
    public String peersOf(String self) {
        StringJoiner all = new StringJoiner(",");
        relays.forEach((name, own) -> {
            InetSocketAddress at = name.equals(self) ? own : address(self, name);
            all.add(name + "=" + at.getAddress().getHostAddress() + ":" + at.getPort());
        });
        return all.toString();
    }

    /** Sets the faults of one link; the opposite direction is unchanged. */
    public void setFaults(String from, String to, LinkFaults faults) {
        link(from, to).faults = faults;
        selector.wakeup(); // resumes stalled connections
    }

    /** Sets the faults between some relays and all others, in both directions, but not among themselves. */
    public void setFaultsBetween(List<String> group, LinkFaults faults) {
        for (String from : relays.keySet()) {
            for (String to : relays.keySet()) {
                if (group.contains(from) != group.contains(to)) {
                    setFaults(from, to, faults);
                }
            }
        }
    }

    /** Sets the faults of all links. */
    public void setAllFaults(LinkFaults faults) {
        links.values().forEach(link -> link.faults = faults);
        selector.wakeup();
    }

    /** Traffic of one link so far. */
    public Counts counts(String from, String to) {
        return link(from, to).counts();
    }

    private FaultyLink link(String from, String to) {
        FaultyLink link = links.get(name(from, to));
        if (link == null) {
            throw new IllegalArgumentException("no link from " + name(from, to));
        }
        return link;
    }

    private static double now() {
        return System.nanoTime() / NS_PER_MS;
    }

    private void run() {
        try {
            while (!closed) {
                double next = Double.POSITIVE_INFINITY;
                for (FaultyLink link : links.values()) {
                    next = Math.min(next, link.forwardDue(now()));
                }
                double wait = next - now();
                if (wait <= 0) {
                    selector.selectNow();
                } else {
                    selector.select(Double.isInfinite(wait) ? 0 : (long) Math.ceil(wait));
                }
                for (SelectionKey key : selector.selectedKeys()) {
                    if (key.isValid()) {
                        ((FaultyLink.ReadyHandler) key.attachment()).run(now());
                    }
                }
                selector.selectedKeys().clear();
            }
        } catch (IOException | RuntimeException e) {
            LOG.log(Level.SEVERE, "links between relays failed", e);
        } finally {
            closeAll();
        }
    }

    private void closeAll() {
        try {
            for (SelectionKey key : selector.keys()) {
                key.channel().close();
            }
            selector.close();
        } catch (IOException e) {
            LOG.log(Level.WARNING, "cannot close the links between relays", e);
        }
    }

    /** Closes all links; everything in transit is lost. */
    @Override
    public void close() {
        closed = true;
        selector.wakeup();
        try {
            thread.join(CLOSE_TIMEOUT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
