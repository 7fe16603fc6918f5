package firstair.relay;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.kit.run.Node;
import firstair.kit.standin.StandIn;
import firstair.relay.standin.StandInPlatform;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Hundreds of clients at once that make the relay hold much of what they send, beside one that is sound. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ClientMemoryTest {
    private static final int CROWD = 300;
    private static final long PLAY_MS = 2500;
    private static final int BODY_BYTES = 65_536;
    private static final int FIELDS_BYTES = 15_000;
    private static final int VIRTUAL_MACHINE_MB = 96; // with the least heap; a smaller limit cannot be kept
    private static final int DEADLINE_MS = 1000; // of a sound request
    private static final int LATE_ANSWER_MS = 500; // behind the deadline; a request without an answer then is lost
    private static final long STEP_MS = 5;

    /** What each client of the crowd does on a connection. */
    private enum Crowd {
        HEAD_OF_MANY_SHORT_FIELDS((out, node) -> send(out, "POST /api HTTP/1.1\r\n" + shortFields())),
        MANY_SHORT_FIELDS_AND_HALF_A_BODY(
                (out, node) -> send(out, withFields(head(node)) + "x".repeat(BODY_BYTES - 1))),
        HALF_A_BODY((out, node) -> send(out, head(node) + "x".repeat(BODY_BYTES / 2))),
        SLOW_WRITES((out, node) -> {
            String request = withFields(head(node)) + "x".repeat(BODY_BYTES);
            for (int i = 0; i < request.length(); i += 500) {
                send(out, request.substring(i, Math.min(request.length(), i + 500)));
                Thread.sleep(STEP_MS);
            }
        }),
        TINY_CHUNKS((out, node) -> {
            send(out, head(node).replaceFirst("Content-Length: \\d+", "Transfer-Encoding: chunked"));
            while (true) { // until the relay ends the connection
                send(out, "1\r\nx\r\n".repeat(1000));
                Thread.sleep(STEP_MS);
            }
        }),
        UNREAD_RESPONSES((out, node) -> {
            while (true) { // as above
                send(out, "GET /other HTTP/1.1\r\n\r\n".repeat(40));
            }
        });

        private interface Step {
            void of(OutputStream out, Node node) throws IOException, InterruptedException;
        }

        private final Step step;

        Crowd(Step step) {
            this.step = step;
        }
    }

    @TempDir
    private Path folder;

    private StandIn endpoint;
    private StandInPlatform platform;
    private Node node;
    private volatile boolean over;

    @BeforeEach
    void prepare() throws Exception {
        endpoint = new StandIn(request -> request.answer(200));
        String list = StandInPlatform.list(1, true, "s1 7 " + endpoint.hostPort());
        platform = new StandInPlatform(list);
        node = new Node(folder, platform.hostPort(), list);
    }

    @AfterEach
    void stop() throws Exception {
        over = true;
        node.kill();
        endpoint.close();
        platform.close();
    }

    private static void send(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String head(Node node) {
        return node.submissionHead("r" + Thread.currentThread().getId(), "safe", 20_000, "dest=7", null, BODY_BYTES);
    }

    private static String withFields(String head) {
        return head.replaceFirst("\r\n", "\r\n" + shortFields());
    }

    /** Header fields of four bytes with different names. */
    private static String shortFields() {
        StringBuilder fields = new StringBuilder();
        for (char a = 'a'; a <= 'z'; a++) {
            for (char b = 'a'; b <= 'z'; b++) {
                for (char c = 'a'; c <= 'f' && fields.length() < FIELDS_BYTES; c++) {
                    fields.append(a).append(b).append(c).append(":\n");
                }
            }
        }
        return fields.toString();
    }

    /** Connects again and again, does the same on each connection, and waits there until the relay ends it. */
    private void crowd(Crowd kind) {
        while (!over) {
            try (Socket socket = new Socket()) {
                socket.connect(node.address());
                kind.step.of(socket.getOutputStream(), node);
                InputStream in = socket.getInputStream();
                while (in.read() >= 0 && !over) {
                    // until the end
                }
            } catch (IOException e) {
                // the relay has ended it
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Submits messages one after another; returns the status of each response. */
    private List<String> soundClient() throws Exception {
        List<String> statuses = new ArrayList<>();
        long startNs = System.nanoTime();
        for (int i = 0; System.nanoTime() - startNs < TimeUnit.MILLISECONDS.toNanos(PLAY_MS); i++) {
            long sentNs = System.nanoTime();
            String response = node.submit("sound" + i, "safe", DEADLINE_MS, "dest=7", null, new byte[200]);
            assertThat((System.nanoTime() - sentNs) / 1e6)
                    .as("ms until the response to a sound request")
                    .isLessThan(DEADLINE_MS + LATE_ANSWER_MS);
            statuses.add(response.substring(9, 12));
            Thread.sleep(STEP_MS);
        }
        return statuses;
    }

    /** Guards against a process that ends for want of memory, or that answers nobody while it lacks it. */
    @ParameterizedTest
    @CsvSource({
        "32, HEAD_OF_MANY_SHORT_FIELDS",
        "32, MANY_SHORT_FIELDS_AND_HALF_A_BODY",
        "32, HALF_A_BODY",
        "32, SLOW_WRITES",
        "32, TINY_CHUNKS",
        "32, UNREAD_RESPONSES",
        "192, HEAD_OF_MANY_SHORT_FIELDS",
        "192, MANY_SHORT_FIELDS_AND_HALF_A_BODY",
        "192, HALF_A_BODY",
        "192, SLOW_WRITES",
        "192, TINY_CHUNKS",
        "192, UNREAD_RESPONSES"
    })
    void aCrowdNeitherEndsTheProcessNorKeepsResponsesFromOthers(int memoryMb, Crowd kind) throws Exception {
        node.memoryMb(memoryMb);
        node.start();
        List<Thread> crowd = new ArrayList<>();
        for (int i = 0; i < CROWD; i++) {
            Thread client = new Thread(null, () -> crowd(kind), "crowd", 256 * 1024L);
            client.setDaemon(true);
            client.start();
            crowd.add(client);
        }
        List<String> statuses = soundClient();
        assertThat(statuses).isNotEmpty().isSubsetOf("202", "503");
        assertThat(statuses).filteredOn("202"::equals).hasSizeGreaterThan(statuses.size() / 2);
        assertThat(node.awaitExit(0)).as("ended by itself").isFalse();
        assertThat(node.mostMemoryKb()).isLessThan(1000L * Math.max(memoryMb, VIRTUAL_MACHINE_MB));
        over = true;
        node.kill(); // ends the connections of the crowd
        for (Thread client : crowd) {
            client.join();
        }
    }
}
