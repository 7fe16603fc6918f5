package firstair.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

import firstair.kit.run.Node;
import firstair.kit.standin.StandIn;
import firstair.relay.standin.Await;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Sends lists of many servers, indented and in chunks, to a relay with the smallest heap that {@code deploy/run.sh}
 * sets. {@code -Dfirstair.largeList.seconds=60} runs for a minute, {@code -Dfirstair.largeList.seed=7} with another
 * seed.
 */
@Timeout(value = 180, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class LargeListTest {
    private static final int SECONDS = Integer.getInteger("firstair.largeList.seconds", 20);
    private static final long SEED = Long.getLong("firstair.largeList.seed", 1);
    private static final int MEMORY_MB = 96; // results in the minimum heap, 24 MB
    private static final int SERVERS = 1200;
    private static final int TOO_MANY_SERVERS = 100_000;
    private static final int DESTINATIONS = 40;
    private static final int CHANGED = 12; // servers removed from list to list, and as many added
    private static final int MARKER = 1_000_000; // plus the version: a destination that only that list has
    private static final int MAX_CHUNK = 16_384;
    private static final long LIST_INTERVAL_NS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long WARM_UP_NS = TimeUnit.SECONDS.toNanos(6);
    private static final long CLIENT_PAUSE_NS = TimeUnit.MILLISECONDS.toNanos(4);
    private static final double CLIENT_TIMEOUT_MS = 400;

    @TempDir
    private Path folder;

    private final Random random = new Random(SEED);
    private final AtomicInteger delivered = new AtomicInteger();
    private final AtomicInteger watches = new AtomicInteger();
    private volatile StandIn.Request watch;
    private volatile byte[] initialList; // sent when a watch starts
    private StandIn endpoint;
    private StandIn discovery;
    private Node node;

    @BeforeEach
    void start() throws Exception {
        endpoint = new StandIn(r -> {
            delivered.incrementAndGet();
            r.answer(200);
        });
        discovery = new StandIn(this::discover);
        node = new Node(folder, discovery.hostPort(), list(1, SERVERS));
        node.memoryMb(MEMORY_MB);
        initialList = bytes(list(1, SERVERS));
    }

    @AfterEach
    void stop() throws Exception {
        node.kill();
        endpoint.close();
        discovery.close();
    }

    private void discover(StandIn.Request request) throws IOException {
        if (!request.target().contains("follow=1")) {
            request.answer(204); // a notice
            return;
        }
        watches.incrementAndGet();
        request.socket().setTcpNoDelay(true);
        request.write(bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
        chunk(request, initialList, 0, initialList.length);
        watch = request;
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static void chunk(StandIn.Request request, byte[] bytes, int offset, int length) throws IOException {
        request.write(bytes(Integer.toHexString(length) + "\r\n"));
        request.socket().getOutputStream().write(bytes, offset, length);
        request.write(bytes("\r\n"));
    }

    /** A full list, indented as by tools, with names and times of the greatest length that occurs. */
    private String list(int version, int servers) {
        StringBuilder json =
                new StringBuilder("{\n    \"version\": " + version + ",\n    \"full\": true,\n" + "    \"servers\": [");
        for (int i = 0; i < servers; i++) {
            int number = i + version * CHANGED;
            int cell = i == 0 ? MARKER + version : number % DESTINATIONS;
            String[] fields = {
                "\"id\": \"" + String.format(Locale.ROOT, "s-%08x", number * 0x9e3779b1) + '"',
                "\"addr\": \"" + endpoint.hostPort() + '"',
                "\"zone\": \"z\"",
                "\"kind\": \"one\"",
                "\"cell\": " + cell,
                "\"state\": \"" + (i % 50 == 49 ? "draining" : "up") + '"',
                "\"weight\": 1.0",
                "\"started_ms\": 1764651862000"
            };
            json.append(i == 0 ? "" : ",")
                    .append("\n        {\n            ")
                    .append(String.join(",\n            ", fields))
                    .append("\n        }");
        }
        return json.append("\n    ]\n}\n").toString();
    }

    /** A client that submits messages one by one on one connection, and measures the latency of each answer. */
    private final class Client implements AutoCloseable {
        private final Socket socket = new Socket();
        private final List<Double> latenciesMs = new ArrayList<>();
        private int submissions;

        Client() throws IOException {
            socket.connect(node.address());
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(20_000);
        }

        int submit(int destination) throws IOException {
            byte[] text = bytes(
                    node.submissionHead("m" + submissions++, "safe", 20_000, "dest=" + destination, null, 1) + "x");
            long startNs = System.nanoTime();
            socket.getOutputStream().write(text);
            InputStream in = socket.getInputStream();
            StringBuilder head = new StringBuilder();
            while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
                int b = in.read();
                assertThat(b)
                        .as("an answer to submission %s, %s so far", submissions, head)
                        .isNotNegative();
                head.append((char) b);
            }
            latenciesMs.add((System.nanoTime() - startNs) / 1e6);
            return Integer.parseInt(head.substring(9, 12));
        }

        /** The latencies since the last call, sorted. */
        double[] takeLatencies() {
            double[] sorted = latenciesMs.stream().mapToDouble(d -> d).sorted().toArray();
            latenciesMs.clear();
            return sorted;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private static double quantile(double[] sorted, double q) {
        return sorted[(int) Math.min(sorted.length - 1, q * sorted.length)];
    }

    private static String summary(String phase, double[] sortedMs) {
        return String.format(
                Locale.ROOT,
                "%s: %d answers, median %.1f ms, 99%% %.1f ms, longest %.1f ms",
                phase,
                sortedMs.length,
                quantile(sortedMs, 0.5),
                quantile(sortedMs, 0.99),
                sortedMs[sortedMs.length - 1]);
    }

    /** Sends a list in chunks over most of the interval until the next one, while a client submits messages. */
    private void sendList(Client client, int version) throws IOException {
        byte[] list = bytes(list(version, SERVERS));
        long startNs = System.nanoTime();
        int written = 0;
        while (System.nanoTime() - startNs < LIST_INTERVAL_NS) {
            double due = Math.min(1, 1.25 * (System.nanoTime() - startNs) / LIST_INTERVAL_NS) * list.length;
            while (written < due) {
                int length = Math.min(list.length - written, 1 + random.nextInt(MAX_CHUNK));
                chunk(watch, list, written, length);
                written += length;
            }
            assertThat(client.submit(random.nextInt(DESTINATIONS))).isEqualTo(202);
            LockSupport.parkNanos(CLIENT_PAUSE_NS);
        }
        assertThat(client.submit(MARKER + version))
                .as("list %s is in use", version)
                .isEqualTo(202);
    }

    @Test
    void largeListsInChunksLeaveMemoryAndLatencyFlat() throws Exception {
        System.out.println(
                "large list: seed " + SEED + ", " + SECONDS + " s, " + bytes(list(9, SERVERS)).length + " bytes each");
        node.start();
        Await.until("a watch", () -> watch != null);
        try (Client client = new Client()) {
            int version = 2;
            long startNs = System.nanoTime();
            while (System.nanoTime() - startNs < WARM_UP_NS) {
                sendList(client, version++);
            }
            client.takeLatencies();
            List<double[]> thirds = new ArrayList<>();
            List<Long> heapKb = new ArrayList<>(List.of(node.liveHeapKb()));
            List<Long> memoryKb = new ArrayList<>(List.of(node.memoryKb()));
            for (int third = 1; third <= 3; third++) {
                startNs = System.nanoTime();
                while (System.nanoTime() - startNs < TimeUnit.SECONDS.toNanos(SECONDS) / 3) {
                    sendList(client, version++);
                }
                thirds.add(client.takeLatencies());
                System.out.println(summary("large list, third " + third, thirds.get(third - 1)));
                heapKb.add(node.liveHeapKb());
                memoryKb.add(node.memoryKb());
            }
            System.out.println("large list: " + (version - 2) + " lists, heap in use " + heapKb + " KiB, memory "
                    + memoryKb + " KiB, most " + node.mostMemoryKb() + " KiB, " + delivered + " delivered");
            double[] before = thirds.get(0);
            double[] after = thirds.get(2);
            assertThat(watches).as("one watch carried all").hasValue(1);
            assertThat(quantile(after, 0.5)).isLessThan(1.5 * quantile(before, 0.5) + 2);
            assertThat(quantile(after, 0.99)).isLessThan(1.5 * quantile(before, 0.99) + 20);
            assertThat(Arrays.stream(after).max().orElseThrow()).isLessThan(CLIENT_TIMEOUT_MS);
            assertThat(heapKb.get(3)).isLessThan(heapKb.get(1) + 1024);
            assertThat(memoryKb.get(3)).isLessThan(memoryKb.get(1) + 3072);
            assertThat(node.mostMemoryKb()).isLessThan(MEMORY_MB * 1000L);
        }
    }

    @Test
    void aListThatIsTooLongIsLoggedOnceAndTheOldOneStaysInUse() throws Exception {
        node.start();
        Await.until("a watch", () -> watch != null);
        byte[] tooLong = bytes(list(2, TOO_MANY_SERVERS));
        initialList = tooLong;
        try (Client client = new Client()) {
            int watchesBefore = watches.get();
            assertThat(catchThrowable(() -> chunk(watch, tooLong, 0, tooLong.length)))
                    .as("the relay closes the connection before the end")
                    .isInstanceOf(IOException.class);
            int sent = 0;
            while (watches.get() < watchesBefore + 4) { // each new watch is sent the same list
                assertThat(client.submit(sent % DESTINATIONS)).isEqualTo(202);
                sent++;
                LockSupport.parkNanos(CLIENT_PAUSE_NS);
            }
            int expected = sent;
            Await.until("all delivered by the old list", () -> delivered.get() >= expected);
            assertThat(node.logLines().stream().filter(l -> l.contains("list lost")))
                    .singleElement()
                    .asString()
                    .contains("an object is too long");
            initialList = bytes(list(3, SERVERS));
            node.awaitLine("list found again, version 3");
            assertThat(client.submit(MARKER + 3)).isEqualTo(202);
            System.out.println(
                    summary("list too long", client.takeLatencies()) + ", memory " + node.mostMemoryKb() + " KiB");
            assertThat(node.mostMemoryKb()).isLessThan(MEMORY_MB * 1000L);
        }
    }
}
