package firstair.relay;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.kit.run.Node;
import firstair.kit.standin.StandIn;
import firstair.relay.standin.Await;
import firstair.relay.standin.Platform;
import firstair.relay.store.Owed;
import firstair.relay.store.Store;
import firstair.relay.store.Taken;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What a start makes of the folder that the last process left, on sockets. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ReturnTest {
    private static final int UNTRIED = 94; // as many as a relay holds of 100 that may be open
    private static final int NOTICES = 500;

    @TempDir
    private Path folder;

    private final Set<String> called = ConcurrentHashMap.newKeySet();
    private StandIn partner;
    private Relay relay;
    private Thread serving;

    @BeforeEach
    void partner() throws IOException {
        partner = new StandIn(r -> {
            called.add(r.header("request-id"));
            r.answer(200);
        });
    }

    @AfterEach
    void stop() throws Exception {
        relay.stop();
        serving.join();
        partner.close();
    }

    private static void leave(Node node, int untried, int notices) throws IOException {
        Store s = Store.open(node.state(), 3_000_000);
        for (int i = 0; i < untried + notices; i++) {
            s.taken(new Taken(i, "m" + i, "safe", 7, null, System.currentTimeMillis() + 20_000, false, false,
                    new byte[100]));
            if (i >= untried) {
                s.owed(i, new Owed(true, 0));
            }
        }
        s.close();
    }

    private void start(Node node) throws Exception {
        relay = new Relay(Config.read(Map.of("ROUTER_CONFIG", node.write().toString(), "ROUTER_STATE",
                node.state().toString())));
        serving = new Thread(() -> {
            try {
                relay.run();
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
        serving.start();
        Await.until("ready", relay::ready);
    }

    /** Nobody waits for long for what may never come, and what was taken on is tried. */
    @ParameterizedTest
    @ValueSource(strings = {"ask", "push"})
    void itIsReadySoonWithAFullFolderAndNoWordOfDiscoveryAndPlatform(String how) throws Exception {
        try (StandIn silent = new StandIn(r -> { })) {
            Node node = new Node(folder, silent.hostPort(), Platform.list(1, true, "s1 7 " + partner.hostPort()));
            node.config(Files.readString(node.write()).replace("\"discovery\":\"ask\"",
                    "\"discovery\":\"" + how + "\""));
            leave(node, UNTRIED, NOTICES);
            long from = System.nanoTime();
            start(node);
            assertThat((System.nanoTime() - from) / 1e9).isLessThan(5);
            Await.until("all have been called", () -> called.size() == UNTRIED);
        }
    }

    @Test
    void whatWasTakenOnForADestinationThatTheFirstListLacksWaitsForTheNext() throws Exception {
        String first = Platform.list(1, true, "s2 9 " + partner.hostPort());
        try (Platform platform = new Platform(first)) {
            Node node = new Node(folder, platform.hostPort(), first);
            leave(node, 1, 0);
            start(node);
            Await.until("a watch", platform::watched);
            assertThat(called).isEmpty();
            platform.tell(Platform.list(2, false, "s1 7 " + partner.hostPort()));
            Await.until("a call", () -> called.contains("m0"));
            assertThat(platform.notices).isEmpty();
        }
    }
}
