package firstair.relay.faults;

import static firstair.relay.faults.FaultInjector.rule;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Messages that come together and fill the store (row D8). */
class FullStoreTest extends FaultTest {
    private static final int BODY_BYTES = 60_000;
    private static final int MESSAGES = 15; // more than half of the space, and less than all of it
    private static final long DISK_BYTES = 1_000_000;
    private static final int TIMEOUT_MS = 15_000;
    private static final int SLOW_WRITE_MS = 600;

    /**
     * Guards against a round that takes on any number of messages that fit one by one: no record could be written
     * any more, no call was made, and messages were handed back without a record of it.
     */
    @Test
    void messagesOfOneRoundAreCountedTogether() throws Exception {
        FaultInjector preload = new FaultInjector(fixture.node, folder);
        fixture.node.diskMb(1);
        fixture.node.start();
        CountDownLatch folderRead = new CountDownLatch(1);
        fixture.behaviour = r -> {
            RelayFixture.await(folderRead);
            r.answer(200);
        };
        List<Socket> clients = submitAllButLastBytes();
        preload.rules(rule("file_write", 0, 1, -SLOW_WRITE_MS, "messages")); // what comes meanwhile shares a round
        List<String> accepted = finishDuring(clients, () -> fixture.submit("first", "unsafe", TIMEOUT_MS));
        assertThat(accepted).isNotEmpty();
        assertThat(folderBytes()).isLessThanOrEqualTo(DISK_BYTES / 2);
        folderRead.countDown();
        for (String id : accepted) {
            fixture.awaitCalls(id, 1, fixture.now() + 5000);
        }
        assertThat(fixture.notices).isEmpty();
        assertThat(fixture.node.logLines()).noneMatch(line -> line.contains("cannot write"));
    }

    private List<Socket> submitAllButLastBytes() throws IOException {
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < MESSAGES; i++) {
            Socket client = new Socket();
            client.connect(fixture.node.address());
            clients.add(client);
            String head = fixture.node.submissionHead("m" + i, "unsafe", TIMEOUT_MS, "dest=7", null, BODY_BYTES);
            client.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            client.getOutputStream().write(new byte[BODY_BYTES - 1]);
        }
        return clients;
    }

    /** Sends the last bytes while another submission is being stored; returns the ids that were accepted. */
    private static List<String> finishDuring(List<Socket> clients, Callable<Integer> other) throws Exception {
        ExecutorService thread = Executors.newSingleThreadExecutor();
        try {
            Future<Integer> status = thread.submit(other);
            TimeUnit.MILLISECONDS.sleep(SLOW_WRITE_MS / 2);
            for (Socket client : clients) {
                client.getOutputStream().write(0);
            }
            assertThat(status.get()).isEqualTo(202);
        } finally {
            thread.shutdown();
        }
        return accepted(clients);
    }

    private static List<String> accepted(List<Socket> clients) throws IOException {
        List<String> accepted = new ArrayList<>();
        for (int i = 0; i < MESSAGES; i++) {
            try (Socket client = clients.get(i)) {
                String status = new String(client.getInputStream().readNBytes(12), StandardCharsets.US_ASCII);
                if (status.endsWith("202")) {
                    accepted.add("m" + i);
                } else {
                    assertThat(status).endsWith("503");
                }
            }
        }
        return accepted;
    }

    private long folderBytes() throws IOException {
        try (Stream<Path> files = Files.list(fixture.node.state())) {
            return files.mapToLong(file -> file.toFile().length()).sum();
        }
    }
}
