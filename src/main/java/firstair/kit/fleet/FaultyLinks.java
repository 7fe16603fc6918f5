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
 * The ways between relays that run as processes: each relay is told a port of ours in place of each other relay, by
 * which its datagrams and connections go on to that one, as well or as badly as {@link #set} says. All on loopback, on
 * one thread, until {@link #close}. The fate of the n-th datagram of a way depends on the seed and its trouble alone.
 */
public final class FaultyLinks implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(FaultyLinks.class.getName());
    private static final int MOST_RELAYS = 32;
    private static final double NS_PER_MS = 1e6;
    private static final long END_MS = 5000;

    /**
     * What a way has carried.
     *
     * @param came      datagrams that came to it
     * @param went      datagrams that it handed on, doubled ones twice
     * @param lost      datagrams that it lost, by its trouble or because too many were under way
     * @param bytes     bytes of connections that it handed on
     * @param connected connections that it took
     */
    public record Counts(long came, long went, long lost, long bytes, long connected) {}

    private final Selector selector = Selector.open();
    private final Map<String, InetSocketAddress> relays;
    private final Map<String, FaultyLink> links = new LinkedHashMap<>();
    private final Thread thread = new Thread(this::run, "faulty-links");
    private volatile boolean closed;

    /**
     * Opens all ways.
     *
     * @param relays where the relays themselves listen, by name; see {@link #places}
     * @throws IOException if the ports cannot be had
     */
    public FaultyLinks(long seed, Map<String, InetSocketAddress> relays) throws IOException {
        if (relays.size() > MOST_RELAYS) {
            throw new IllegalArgumentException(relays.size() + " relays, " + MOST_RELAYS + " at most");
        }
        this.relays = new LinkedHashMap<>(relays);
        try {
            long number = 0;
            for (String from : relays.keySet()) {
                for (String to : relays.keySet()) {
                    number++;
                    if (!from.equals(to)) {
                        links.put(way(from, to), link(seed + number, relays.get(to)));
                    }
                }
            }
        } catch (IOException | RuntimeException e) {
            end();
            throw e;
        }
        thread.setDaemon(true);
        thread.start();
    }

    private static String way(String from, String to) {
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
        udp.register(selector, SelectionKey.OP_READ, (FaultyLink.Ready) link::datagrams);
        tcp.register(selector, SelectionKey.OP_ACCEPT, (FaultyLink.Ready) link::accept);
        return link;
    }

    /** Addresses on loopback for relays that are started later: see {@link LoopbackPorts}. */
    public static Map<String, InetSocketAddress> places(List<String> names) throws IOException {
        Map<String, InetSocketAddress> all = new LinkedHashMap<>();
        for (String name : names) {
            all.put(name, LoopbackPorts.shared().next());
        }
        return all;
    }

    /** Where {@code from} finds {@code to}, by UDP and TCP. */
    public InetSocketAddress between(String from, String to) {
        return link(from, to).address();
    }

    /** What {@code fleet.peers} says at one relay: its own address, and ours in place of all others. */
    public String peers(String self) {
        StringJoiner all = new StringJoiner(",");
        relays.forEach((name, own) -> {
            InetSocketAddress at = name.equals(self) ? own : between(self, name);
            all.add(name + "=" + at.getAddress().getHostAddress() + ":" + at.getPort());
        });
        return all.toString();
    }

    /** From now on so much goes wrong on one way; the other direction stays as it is. */
    public void set(String from, String to, Trouble trouble) {
        link(from, to).trouble = trouble;
        selector.wakeup(); // what stood still goes on
    }

    /** So much goes wrong between some and all others, in both directions; not among themselves. */
    public void around(List<String> some, Trouble trouble) {
        for (String a : relays.keySet()) {
            for (String b : relays.keySet()) {
                if (some.contains(a) != some.contains(b)) {
                    set(a, b, trouble);
                }
            }
        }
    }

    /** So much goes wrong everywhere. */
    public void everywhere(Trouble trouble) {
        links.values().forEach(l -> l.trouble = trouble);
        selector.wakeup();
    }

    /** What one way has carried so far. */
    public Counts counts(String from, String to) {
        return link(from, to).counts();
    }

    private FaultyLink link(String from, String to) {
        FaultyLink link = links.get(way(from, to));
        if (link == null) {
            throw new IllegalArgumentException("no way from " + way(from, to));
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
                for (FaultyLink l : links.values()) {
                    next = Math.min(next, l.move(now()));
                }
                double wait = next - now();
                if (wait <= 0) {
                    selector.selectNow();
                } else {
                    selector.select(Double.isInfinite(wait) ? 0 : (long) Math.ceil(wait));
                }
                for (SelectionKey key : selector.selectedKeys()) {
                    if (key.isValid()) {
                        ((FaultyLink.Ready) key.attachment()).run(now());
                    }
                }
                selector.selectedKeys().clear();
            }
        } catch (IOException | RuntimeException e) {
            LOG.log(Level.SEVERE, "fault in the links between relays", e);
        } finally {
            end();
        }
    }

    private void end() {
        try {
            for (SelectionKey key : selector.keys()) {
                key.channel().close();
            }
            selector.close();
        } catch (IOException e) {
            LOG.log(Level.WARNING, "links did not close in order", e);
        }
    }

    /** Ends all ways; what is under way is lost. */
    @Override
    public void close() {
        closed = true;
        selector.wakeup();
        try {
            thread.join(END_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
