package firstair.kit.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import firstair.relay.Loop;
import firstair.relay.fleet.PeerTransport;
import firstair.relay.standin.Await;
import firstair.relay.standin.LoopThread;
import java.io.BufferedReader;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class FaultyLinksTest {
    private static final int WAIT_S = 20;
    private static final long SEED = 7;

    private final Loop loop = LoopThread.start(() -> {});
    private final Map<String, InetSocketAddress> addresses = FaultyLinks.freeAddresses(List.of("a", "b", "c"));
    private final FaultyLinks links = new FaultyLinks(SEED, addresses);
    private final Map<String, PeerTransport> relays = new LinkedHashMap<>();
    private final Map<String, LinkedBlockingQueue<byte[]>> received = new LinkedHashMap<>();

    FaultyLinksTest() throws IOException {}

    @BeforeEach
    void startAll() throws IOException {
        for (String name : addresses.keySet()) {
            received.put(name, new LinkedBlockingQueue<>());
            start(name);
        }
    }

    private void start(String name) throws IOException {
        Map<String, InetSocketAddress> others = new LinkedHashMap<>();
        addresses.keySet().stream().filter(o -> !o.equals(name)).forEach(o -> others.put(o, links.address(name, o)));
        relays.put(
                name,
                new PeerTransport(
                        loop, addresses.get(name), others, PeerTransport.Bounds.of(3), received.get(name)::add));
    }

    @AfterEach
    void end() {
        relays.values().forEach(PeerTransport::close);
        loop.end();
        links.close();
    }

    private void send(String from, String to, int length, int mark) {
        byte[] bytes = new byte[length];
        bytes[0] = (byte) mark;
        loop.post(() -> relays.get(from).send(to, bytes));
    }

    private int next(String at) throws InterruptedException {
        byte[] bytes = received.get(at).poll(WAIT_S, TimeUnit.SECONDS);
        assertThat(bytes).as("a message at " + at).isNotNull();
        return bytes[0];
    }

    @Test
    void withoutFaultsEverythingArrivesOverItsOwnLink() throws Exception {
        send("a", "b", 10, 1);
        assertThat(next("b")).isEqualTo(1);
        send("b", "a", 1 << 20, 2);
        assertThat(next("a")).isEqualTo(2);
        send("c", "a", 10, 3);
        assertThat(next("a")).isEqualTo(3);
        assertThat(links.counts("a", "b")).isEqualTo(new FaultyLinks.Counts(1, 1, 0, 0, 0));
        assertThat(links.counts("b", "a")).isEqualTo(new FaultyLinks.Counts(0, 0, 0, (1 << 20) + 4, 1));
        assertThat(links.peersOf("b"))
                .isEqualTo("a=127.0.0.1:" + links.address("b", "a").getPort() + ",b=127.0.0.1:"
                        + addresses.get("b").getPort() + ",c=127.0.0.1:"
                        + links.address("b", "c").getPort());
        assertThatThrownBy(() -> links.address("a", "a")).isInstanceOf(IllegalArgumentException.class);
    }

    @Test
    void aOneWayCutLosesDatagramsAndStallsConnectionsInThatDirectionOnly() throws Exception {
        send("a", "b", 5000, 1);
        assertThat(next("b")).isEqualTo(1);
        links.setFaults("a", "b", LinkFaults.CUT);
        send("a", "b", 10, 2);
        send("a", "b", 5000, 3);
        Await.until(
                "the link received and lost the datagram",
                () -> links.counts("a", "b").lost() == 1);
        send("b", "a", 10, 4);
        send("b", "a", 5000, 5);
        assertThat(List.of(next("a"), next("a"))).containsExactlyInAnyOrder(4, 5);
        assertThat(links.counts("a", "b").bytes()).isEqualTo(5004);
        links.setFaults("a", "b", LinkFaults.NONE);
        assertThat(next("b"))
                .as("the message held back in the connection, not the datagram")
                .isEqualTo(3);
        send("a", "b", 10, 6);
        assertThat(next("b")).isEqualTo(6);
    }

    @Test
    void aGroupThatIsCutOffStillCommunicatesWithinItself() throws Exception {
        links.setFaultsBetween(List.of("a", "b"), LinkFaults.CUT);
        send("a", "c", 10, 1);
        send("c", "b", 10, 2);
        send("a", "b", 10, 3);
        assertThat(next("b")).isEqualTo(3);
        Await.until(
                "lost on both links",
                () -> links.counts("a", "c").lost() + links.counts("c", "b").lost() == 2);
        links.setAllFaults(LinkFaults.NONE);
        send("c", "b", 10, 4);
        assertThat(next("b")).isEqualTo(4);
    }

    @Test
    void theSeedDecidesWhatHappensToDatagrams() throws Exception {
        LinkFaults faults = new LinkFaults(0.3, 0.2, 0, 0, false);
        List<Integer> first = arrivals(links, faults);
        assertThat(links.counts("a", "b").lost()).as("seed %d", SEED).isBetween(10L, 60L);
        assertThat(first.size() - first.stream().distinct().count())
                .as("duplicated")
                .isGreaterThan(5);
        try (FaultyLinks same = new FaultyLinks(SEED, addresses);
                FaultyLinks other = new FaultyLinks(SEED + 1, addresses)) {
            assertThat(arrivals(same, faults)).isEqualTo(first);
            assertThat(arrivals(other, faults)).isNotEqualTo(first);
        }
    }

    /** Sends a hundred datagrams one after the other; returns their marks in the order of arrival. */
    private List<Integer> arrivals(FaultyLinks through, LinkFaults faults) throws Exception {
        through.setFaults("a", "b", faults);
        try (DatagramSocket socket = new DatagramSocket()) {
            for (int i = 0; i <= 100; i++) {
                int sent = i + 1;
                if (i == 100) {
                    through.setFaults("a", "b", LinkFaults.NONE);
                }
                socket.send(new DatagramPacket(new byte[] {(byte) i}, 1, through.address("a", "b")));
                Await.until(
                        "received by the link", () -> through.counts("a", "b").received() == sent);
            }
        }
        List<Integer> all = new ArrayList<>();
        for (int mark = next("b"); mark != 100; mark = next("b")) {
            all.add(mark);
        }
        return all;
    }

    @Test
    void delaysAreObservedAndReorderDatagramsOnly() throws Exception {
        links.setFaults("a", "b", LinkFaults.delay(80, 80));
        long before = System.nanoTime();
        send("a", "b", 10, 1);
        assertThat(next("b")).isEqualTo(1);
        assertThat(System.nanoTime() - before).isGreaterThanOrEqualTo(TimeUnit.MILLISECONDS.toNanos(80));
        links.setFaults("a", "b", LinkFaults.delay(0, 200));
        List<Integer> datagrams = new ArrayList<>();
        List<Integer> frames = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            send("a", "b", i % 2 == 0 ? 10 : 2000, i);
        }
        for (int i = 0; i < 30; i++) {
            int mark = next("b");
            (mark % 2 == 0 ? datagrams : frames).add(mark);
        }
        assertThat(datagrams)
                .as("seed %d", SEED)
                .hasSize(15)
                .isNotEqualTo(datagrams.stream().sorted().toList());
        assertThat(frames).hasSize(15).isSorted();
    }

    @Test
    void connectionsToAStoppedRelayEndAndARestartedOneIsReached() throws Exception {
        send("a", "b", 5000, 1);
        assertThat(next("b")).isEqualTo(1);
        relays.get("b").close();
        Await.until("the end of the connection was forwarded", () -> {
            send("a", "b", 5000, 2);
            return links.counts("a", "b").connections() > 1;
        });
        start("b");
        Await.until("reached again", () -> {
            send("a", "b", 5000, 3);
            return !received.get("b").isEmpty();
        });
    }

    /**
     * A free address is bound later by another process, so its port must not be assigned to anything else in between.
     *
     * <p>The failure: the addresses were ephemeral ports, released again before they were used. When all tests ran in
     * two processes, the constructor of this class failed with {@code Bind Address already in use}; the links of that
     * instance were never closed, and {@link #closeReleasesThePortsAndEndsTheThread} found their thread.
     */
    @Test
    void freeAddressesLieOutsideTheEphemeralPortRange() throws Exception {
        String[] range;
        try (BufferedReader ephemeral = Files.newBufferedReader(Path.of("/proc/sys/net/ipv4/ip_local_port_range"))) {
            range = ephemeral.readLine().split("\\s+");
        }
        int first = Integer.parseInt(range[0]);
        int last = Integer.parseInt(range[1]);
        assertThat(FaultyLinks.freeAddresses(List.of("d", "e", "f")).values())
                .allSatisfy(at -> assertThat(at.getPort() < first || at.getPort() > last)
                        .as("%s is outside %d to %d", at, first, last)
                        .isTrue());
    }

    @Test
    void closeReleasesThePortsAndEndsTheThread() throws Exception {
        InetSocketAddress at = links.address("a", "b");
        links.close();
        new ServerSocket(at.getPort(), 1, at.getAddress()).close();
        assertThat(Thread.getAllStackTraces().keySet())
                .noneMatch(t -> t.getName().equals("faulty-links"));
    }
}
