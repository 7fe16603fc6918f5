package firstair.relay.faults;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.kit.standin.StandIn;
import firstair.relay.standin.Platform;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Where lists are pushed, what discovery has counts as told from the first moment of a process (row M4). */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class SlowDiscoveryTest {
    private static final int SLOW_MS = 700; // its turn comes so late; the shortest grace of a drain is 250 ms

    @TempDir
    private Path folder;

    /** Nobody is called by the list that the process was started with while discovery can be reached. */
    @Test
    void whileDiscoveryIsSlowNobodyIsCalledByAnOldList() throws Exception {
        List<String> fresh = new CopyOnWriteArrayList<>();
        try (Stage stage = new Stage(folder);
                StandIn successor = new StandIn(r -> {
                    fresh.add(r.header("request-id"));
                    r.answer(200);
                })) {
            String list = Platform.list(
                    2, true, "s1 7 " + stage.partner.hostPort() + " draining", "s2 7 " + successor.hostPort());
            StandIn slow = new StandIn(r -> {
                if (r.target().contains("follow=1")) {
                    pause();
                    byte[] line = (list + "\n").getBytes(StandardCharsets.UTF_8);
                    r.write(("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(line.length)
                                    + "\r\n" + list + "\n\r\n")
                            .getBytes(StandardCharsets.UTF_8));
                } else {
                    r.answer(204);
                }
            });
            stage.node.adjust(c -> c.replace("\"discovery\":\"ask\"", "\"discovery\":\"push\""));
            stage.behaviour = r -> {};
            stage.node.start();
            double taken = stage.take("m1", "safe", 20_000);
            stage.called("m1", 1, taken + 2000);
            stage.node.kill();
            stage.calls.clear();
            stage.node.discovery(slow.hostPort());
            stage.node.start();
            while (fresh.isEmpty()) {
                assertThat(stage.now()).isLessThan(taken + 10_000);
                TimeUnit.MILLISECONDS.sleep(10);
            }
            assertThat(stage.calls).isEmpty();
            assertThat(fresh).contains("m1");
            slow.close();
        }
    }

    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(SLOW_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
