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
 * Relays that were killed together start together, each with a full folder (rows D12, M3). The operators' case is
 * seventy of a hundred: {@code -Dstarts=70}, by hand.
 */
class ManyStartsTest extends FaultTest {
    private static final int STARTS = Integer.getInteger("starts", 8);
    private static final double READY_MS = 10_000;
    private static final int BODY_BYTES = 200;
    private static final int CLIENTS = 8;

    /** The folder is what limits it. */
    private static void roomy(Node node) {
        node.diskMb(3);
        node.adjust(c -> c.replace("\"maxOpen\":100", "\"maxOpen\":10000"));
    }

    /** Hands in messages until no more fits; returns how many were taken on. */
    private int fill() throws Exception {
        roomy(stage.node);
        stage.node.start();
        stage.behaviour = r -> r.answer(429, "Retry-After: 3");
        ExecutorService clients = Executors.newFixedThreadPool(CLIENTS);
        List<Future<Integer>> counts = new ArrayList<>();
        for (int c = 0; c < CLIENTS; c++) {
            String client = "c" + c + "-";
            counts.add(clients.submit(() -> {
                int taken = 0;
                while (stage.node
                        .handIn(client + taken, "unsafe", 600_000, "dest=7", null, new byte[BODY_BYTES])
                        .startsWith("HTTP/1.1 202")) {
                    taken++;
                }
                return taken;
            }));
        }
        int taken = 0;
        for (Future<Integer> count : counts) {
            taken += count.get();
        }
        clients.shutdown();
        stage.node.kill();
        return taken;
    }

    private Node copyOfTheFullOne(int number) throws IOException {
        Path own = Files.createDirectories(folder.resolve("n" + number));
        Node node = new Node(own, stage.platform.hostPort(), stage.list(1));
        roomy(node);
        Files.createDirectories(node.state());
        Path full = stage.node.file();
        Files.copy(full, node.state().resolve(full.getFileName()));
        return node;
    }

    @Test
    void startsWithFullFoldersAreReadyInTime() throws Exception {
        int messages = fill();
        assertThat(messages).isGreaterThan(500);
        List<Node> nodes = new ArrayList<>();
        ExecutorService starters = Executors.newFixedThreadPool(STARTS);
        List<Future<Double>> times = new ArrayList<>();
        try {
            for (int i = 0; i < STARTS; i++) {
                nodes.add(copyOfTheFullOne(i));
            }
            for (Node node : nodes) {
                times.add(starters.submit(() -> {
                    double launched = stage.now();
                    node.start();
                    return stage.now() - launched;
                }));
            }
            List<Double> took = new ArrayList<>();
            for (Future<Double> t : times) {
                took.add(t.get());
            }
            System.out.println(STARTS + " starts with " + messages + " messages each, ms until ready: "
                    + took.stream().sorted().map(Math::round).toList());
            assertThat(took).allSatisfy(ms -> assertThat(ms).isLessThan(READY_MS));
            assertThat(nodes)
                    .allSatisfy(n -> assertThat(n.line("ready at")).contains(messages + " messages and 0 notices"));
        } finally {
            starters.shutdown();
            for (Node n : nodes) {
                n.kill();
            }
        }
    }
}
