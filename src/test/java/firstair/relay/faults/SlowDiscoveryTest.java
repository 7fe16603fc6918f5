package firstair.relay.faults;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.kit.standin.StandIn;
import firstair.relay.standin.StandInPlatform;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Where lists are pushed, discovery's current list binds a relay from the start of its process (row M4). */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class SlowDiscoveryTest {
    private static final int SLOW_MS = 700; // delay of the list; the shortest grace of a drain is 250 ms

    @TempDir
    private Path folder;

    /** While discovery can be reached, no endpoint is called by the list that the process was started with. */
    @Test
    void whileDiscoveryIsSlowNoEndpointIsCalledByAnOldList() throws Exception {
        List<String> successorCalls = new CopyOnWriteArrayList<>();
        try (RelayFixture fixture = new RelayFixture(folder);
                StandIn successor = new StandIn(r -> {
                    successorCalls.add(r.header("request-id"));
                    r.answer(200);
                })) {
            String list = StandInPlatform.list(
                    2, true, "s1 7 " + fixture.endpoint.hostPort() + " draining", "s2 7 " + successor.hostPort());
            StandIn slowDiscovery = new StandIn(r -> {
                if (r.target().contains("follow=1")) {
                    delay();
                    byte[] line = (list + "\n").getBytes(StandardCharsets.UTF_8);
                    r.write(("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(line.length)
                                    + "\r\n" + list + "\n\r\n")
                            .getBytes(StandardCharsets.UTF_8));
                } else {
                    r.answer(204);
                }
            });
            fixture.node.editConfig(c -> c.replace("\"discovery\":\"ask\"", "\"discovery\":\"push\""));
            fixture.behaviour = r -> {};
            fixture.node.start();
            double submittedAt = fixture.submitAccepted("m1", "safe", 20_000);
            fixture.awaitCalls("m1", 1, submittedAt + 2000);
            fixture.node.kill();
            fixture.calls.clear();
            fixture.node.discovery(slowDiscovery.hostPort());
            fixture.node.start();
            while (successorCalls.isEmpty()) {
                assertThat(fixture.now()).isLessThan(submittedAt + 10_000);
                TimeUnit.MILLISECONDS.sleep(10);
            }
            assertThat(fixture.calls).isEmpty();
            assertThat(successorCalls).contains("m1");
            slowDiscovery.close();
        }
    }

    private static void delay() {
        try {
            TimeUnit.MILLISECONDS.sleep(SLOW_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
