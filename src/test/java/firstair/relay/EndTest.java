package firstair.relay;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.config.Read;
import firstair.control.Control;
import firstair.control.Controller;
import firstair.kit.run.Node;
import firstair.relay.standin.Await;
import firstair.relay.standin.Platform;
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

/** The last moments of a relay that was told to end: who has sent a whole request hears of it, and it is kept. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class EndTest {
    private static final Map<String, String> SHORT =
            Map.of("drain.accept", "100ms", "drain.calls", "200ms", "drain.end", "400ms");

    @TempDir
    private Path folder;

    private final Semaphore reached = new Semaphore(0);
    private final Semaphore released = new Semaphore(0);

    /** Decides as usual, but takes long over a message to one destination. */
    private Controller slow(Controller.Settings s, long seed, Controller.Actions actions) {
        Controller real = new Control(s, seed, actions);
        return (Controller) Proxy.newProxyInstance(
                Controller.class.getClassLoader(), new Class<?>[] {Controller.class}, (self, method, args) -> {
                    if (method.getName().equals("accepted") && ((Controller.Message) args[1]).destination() == 8) {
                        reached.release();
                        released.acquire();
                    }
                    return method.invoke(real, args);
                });
    }

    private static String answer(Socket s) throws IOException {
        s.setSoTimeout(10_000);
        InputStream in = s.getInputStream();
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int b = in.read();
            if (b < 0) {
                break; // ended without an answer
            }
            head.append((char) b);
        }
        return head.toString();
    }

    /**
     * Its time to end comes while one round takes long. The next round is the one that ends it, and behind that a
     * request is read that nobody would look at.
     */
    @Test
    void aRequestThatIsReadBehindTheLastRoundIsTakenAndKept() throws Exception {
        String list = Platform.list(3, true, "a 7 127.0.0.1:1", "b 8 127.0.0.1:1");
        try (Platform platform = new Platform(list);
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
                            .with(Read.texts(
                                            SHORT,
                                            Map.of("drain.accept", "test", "drain.calls", "test", "drain.end", "test"),
                                            TunableSettings.schema())
                                    .values()),
                    this::slow);
            Thread serving = new Thread(() -> {
                try {
                    relay.run();
                } catch (Exception e) {
                    throw new IllegalStateException(e);
                }
            });
            serving.start();
            Await.until("ready", relay::ready);
            Socket[] all = {first, second, third};
            for (int i = 0; i < all.length; i++) { // each has begun a request, so that none is idle
                all[i].connect(relay.address());
                all[i].getOutputStream()
                        .write(node.handInText("m" + i, "safe", 9000, i < 2 ? "dest=8" : "dest=7", null, 1)
                                .getBytes(StandardCharsets.US_ASCII));
            }
            long told = System.nanoTime();
            Thread stopping = new Thread(relay::stop);
            stopping.start();
            Await.until("nothing new", () -> !relay.ready());
            first.getOutputStream().write('x');
            reached.acquire();
            second.getOutputStream().write('x');
            Await.until("its time is over", () -> System.nanoTime() - told > 800_000_000L);
            released.release();
            reached.acquire();
            third.getOutputStream().write('x');
            released.release();
            for (Socket s : all) {
                assertThat(answer(s)).contains(" 202 ");
            }
            stopping.join();
            serving.join();
            assertThat(Store.open(node.state(), 1_000_000, BootClock.SYSTEM).open().stream()
                            .map(o -> o.taken().requestId()))
                    .containsExactly("m0", "m1", "m2");
        } finally {
            released.release(2);
        }
    }
}
