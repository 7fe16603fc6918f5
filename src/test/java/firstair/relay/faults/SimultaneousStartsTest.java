package firstair.relay.faults;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.kit.run.Node;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Test;

/**
 * Relays that were killed together start at the same time, each with a full folder (rows D12, M3). The operators' case
 * of seventy relays out of a hundred is run by hand with {@code -Dstarts=70}.
 */
class SimultaneousStartsTest extends FaultTest {
    private static final int STARTS = Integer.getInteger("starts", 8);
    private static final double READY_MS = 10_000;
    private static final int BODY_BYTES = 200;
    private static final int CLIENTS = 8;

    /** Raises the limit of open messages, so that the size of the folder is the limit that applies. */
    private static void limitByFolder(Node node) {
        node.diskMb(3);
        node.editConfig(c -> c.replace("\"maxOpen\":100", "\"maxOpen\":10000"));
    }

    /** Submits messages until the relay refuses one from each client; returns how many it accepted. */
    private int fillFolder() throws Exception {
        limitByFolder(fixture.node);
        fixture.node.start();
        fixture.behaviour = r -> r.answer(429, "Retry-After: 3");
        ExecutorService clients = Executors.newFixedThreadPool(CLIENTS);
        List<Future<Integer>> counts = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            String client = "c" + i + "-";
            counts.add(clients.submit(() -> {
                int accepted = 0;
                while (fixture.node
                        .submit(client + accepted, "unsafe", 600_000, "dest=7", null, new byte[BODY_BYTES])
                        .startsWith("HTTP/1.1 202")) {
                    accepted++;
                }
                return accepted;
            }));
        }
        int accepted = 0;
        for (Future<Integer> count : counts) {
            accepted += count.get();
        }
        clients.shutdown();
        fixture.node.kill();
        return accepted;
    }

    private Node copyOfTheFullNode(int number) throws IOException {
        Path copyFolder = Files.createDirectories(folder.resolve("n" + number));
        Node node = new Node(copyFolder, fixture.platform.hostPort(), fixture.endpointList(1));
        limitByFolder(node);
        Files.createDirectories(node.state());
        Path full = fixture.node.stateFile();
        Files.copy(full, node.state().resolve(full.getFileName()));
        return node;
    }

    @Test
    void relaysWithFullFoldersAreReadyInTime() throws Exception {
        int messages = fillFolder();
        assertThat(messages).isGreaterThan(500);
        List<Node> nodes = new ArrayList<>();
        ExecutorService starters = Executors.newFixedThreadPool(STARTS);
        List<Future<Double>> times = new ArrayList<>();
        try {
            for (int i = 0; i < STARTS; i++) {
                nodes.add(copyOfTheFullNode(i));
            }
            for (Node node : nodes) {
                times.add(starters.submit(() -> {
                    double launchedAt = fixture.now();
                    node.start();
                    return fixture.now() - launchedAt;
                }));
            }
            List<Double> readyMs = new ArrayList<>();
            for (Future<Double> time : times) {
                readyMs.add(time.get());
            }
            System.out.println(STARTS + " starts with " + messages + " messages each, ms until ready: "
                    + readyMs.stream().sorted().map(Math::round).toList());
            assertThat(readyMs).allSatisfy(ms -> assertThat(ms).isLessThan(READY_MS));
            assertThat(nodes).allSatisfy(node -> assertThat(node.awaitLine("ready at"))
                    .contains(messages + " messages and 0 notices"));
        } finally {
            starters.shutdown();
            for (Node node : nodes) {
                node.kill();
            }
        }
    }
}
