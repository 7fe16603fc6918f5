package firstair.relay;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.config.ParsedSettings;
import firstair.control.Control;
import firstair.control.Controller;
import firstair.kit.run.Node;
import firstair.relay.standin.Await;
import firstair.relay.standin.StandInPlatform;
import firstair.relay.store.BootClock;
import firstair.relay.store.Store;
import java.io.IOException;
import java.io.InputStream;
import java.lang.reflect.Proxy;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Semaphore;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The last rounds of a drain: each request that arrives complete is answered, and its message is stored. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class DrainTest {
    private static final Map<String, String> SHORT_DRAIN =
            Map.of("drain.accept", "100ms", "drain.calls", "200ms", "drain.end", "400ms");

    @TempDir
    private Path folder;

    private final Semaphore blocked = new Semaphore(0);
    private final Semaphore released = new Semaphore(0);

    /** A controller that blocks on messages to destination 8 until the test releases it. */
    private Controller blockingController(Controller.Settings settings, long seed, Controller.Actions actions) {
        Controller real = new Control(settings, seed, actions);
        return (Controller) Proxy.newProxyInstance(
                Controller.class.getClassLoader(), new Class<?>[] {Controller.class}, (self, method, args) -> {
                    if (method.getName().equals("accepted") && ((Controller.Message) args[1]).destination() == 8) {
                        blocked.release();
                        released.acquire();
                    }
                    return method.invoke(real, args);
                });
    }

    private static String answer(Socket client) throws IOException {
        client.setSoTimeout(10_000);
        InputStream in = client.getInputStream();
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int b = in.read();
            if (b < 0) {
                break; // closed without an answer
            }
            head.append((char) b);
        }
        return head.toString();
    }

    /**
     * The time for the drain ends during a long round. The next round would end the loop, and a request that is read
     * after it would not be handled.
     */
    @Test
    void aRequestThatIsReadAfterTheLastRoundIsAcceptedAndStored() throws Exception {
        String list = StandInPlatform.list(3, true, "a 7 127.0.0.1:1", "b 8 127.0.0.1:1");
        try (StandInPlatform platform = new StandInPlatform(list);
                Socket first = new Socket();
                Socket second = new Socket();
                Socket third = new Socket()) {
            Node node = new Node(folder, platform.hostPort(), list);
            Relay relay = new Relay(
                    Config.read(Map.of(
                                    "ROUTER_CONFIG",
                                    node.write().toString(),
                                    "ROUTER_STATE",
                                    node.state().toString()))
                            .withLocalSettings(ParsedSettings.fromTexts(
                                            SHORT_DRAIN,
                                            Map.of("drain.accept", "test", "drain.calls", "test", "drain.end", "test"),
                                            TunableSettings.schema())
                                    .values()),
                    this::blockingController);
            Thread serving = new Thread(() -> {
                try {
                    relay.run();
                } catch (Exception e) {
                    throw new IllegalStateException(e);
                }
            });
            serving.start();
            Await.until("ready", relay::ready);
            Socket[] clients = {first, second, third};
            for (int i = 0; i < clients.length; i++) { // each starts a request, so that none is idle
                clients[i].connect(relay.address());
                clients[i]
                        .getOutputStream()
                        .write(node.submissionHead("m" + i, "safe", 9000, i < 2 ? "dest=8" : "dest=7", null, 1)
                                .getBytes(StandardCharsets.US_ASCII));
            }
            long stoppedAt = System.nanoTime();
            Thread stopping = new Thread(relay::stop);
            stopping.start();
            Await.until("no new connections", () -> !relay.ready());
            first.getOutputStream().write('x');
            blocked.acquire();
            second.getOutputStream().write('x');
            Await.until("the end of the drain", () -> System.nanoTime() - stoppedAt > 800_000_000L);
            released.release();
            blocked.acquire();
            third.getOutputStream().write('x');
            released.release();
            for (Socket client : clients) {
                assertThat(answer(client)).contains(" 202 ");
            }
            stopping.join();
            serving.join();
            assertThat(Store.open(node.state(), 1_000_000, BootClock.SYSTEM).open().stream()
                            .map(open -> open.message().requestId()))
                    .containsExactly("m0", "m1", "m2");
        } finally {
            released.release(2);
        }
    }
}
