package firstair.relay;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.control.Control;
import firstair.control.Controller;
import firstair.kit.run.Node;
import firstair.kit.standin.StandIn;
import firstair.relay.standin.Await;
import firstair.relay.standin.Platform;
import firstair.relay.store.Store;
import java.io.IOException;
import java.io.InputStream;
import java.lang.reflect.Proxy;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Hand-ins that cross each other or their own client's leaving: the loop's thread is held up at the step. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class HandOverTest {
    private static final int GATE = 8; // messages to this destination hold up the loop while they are taken
    private static final int ONCE = 9; // only one message to this destination can be taken, the next one finds a fault
    private static final int PLENTY = 1000;

    @TempDir
    private Path folder;

    private final Semaphore reached = new Semaphore(0);
    private final Semaphore released = new Semaphore(0);
    private final BlockingQueue<StandIn.Request> calls = new LinkedBlockingQueue<>();
    private final List<Socket> clients = new ArrayList<>();
    private volatile StandIn.Handler behaviour = r -> r.answer(200);
    private StandIn partner;
    private Platform platform;
    private Node node;
    private Relay relay;
    private Thread serving;
    private int once;

    @BeforeEach
    void start() throws Exception {
        partner = new StandIn(r -> {
            calls.add(r);
            behaviour.handle(r);
        });
        String list = Platform.list(1, true, "s1 7 " + partner.hostPort(), "s2 " + GATE + " " + partner.hostPort(),
                "s3 " + ONCE + " " + partner.hostPort());
        platform = new Platform(list);
        node = new Node(folder, platform.hostPort(), list);
        relay = new Relay(Config.read(Map.of("ROUTER_CONFIG", node.write().toString(), "ROUTER_STATE",
                node.state().toString())), this::gated);
        serving = new Thread(() -> {
            try {
                relay.run();
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
        serving.start();
        Await.until("ready", relay::ready);
        node.address(relay.address());
    }

    @AfterEach
    void stop() throws Exception {
        released.release(PLENTY);
        Thread stopping = new Thread(relay::stop);
        stopping.start();
        for (Socket s : clients) {
            s.close();
        }
        serving.join();
        stopping.join();
        partner.close();
        platform.close();
    }

    private Controller gated(Controller.Settings s, long seed, Controller.Actions actions) {
        Controller real = new Control(s, seed, actions);
        return (Controller) Proxy.newProxyInstance(Controller.class.getClassLoader(),
                new Class<?>[] {Controller.class}, (self, method, args) -> {
                    int to = method.getName().equals("taken") ? ((Controller.Message) args[1]).destination() : -1;
                    if (to == ONCE && ++once > 1) {
                        throw new IllegalStateException("thrown by a test");
                    }
                    Object done = method.invoke(real, args);
                    if (to == GATE) {
                        reached.release();
                        released.acquire();
                    }
                    return done;
                });
    }

    /** Sends a request for a message and returns its connection. */
    private Socket handIn(String id, String type, long timeoutMs, int destination, String more) throws IOException {
        Socket s = new Socket();
        clients.add(s);
        s.connect(relay.address());
        s.setSoTimeout(10_000);
        String head = node.handInText(id, type, timeoutMs, "dest=" + destination, "key", 1);
        s.getOutputStream().write((head.substring(0, head.length() - 2) + more + "\r\nx")
                .getBytes(StandardCharsets.US_ASCII));
        return s;
    }

    private static String answer(Socket s) throws IOException {
        InputStream in = s.getInputStream();
        StringBuilder head = new StringBuilder();
        for (int b = in.read(); b >= 0; b = in.read()) {
            head.append((char) b);
            if (head.indexOf("\r\n\r\n") >= 0) {
                break;
            }
        }
        return head.toString().split("\r\n")[0];
    }

    /** Returns once what clients have done so far is with the relay's loop: such requests are answered without it. */
    private void read() throws IOException {
        for (int i = 0; i < 2; i++) {
            assertThat(node.get("/-/ready")).contains(" 200 ");
        }
    }

    private void holdLoop() throws Exception {
        handIn("gate", "safe", 20_000, GATE, "");
        reached.acquire();
    }

    /** The gate's own call aside. */
    private StandIn.Request call() throws InterruptedException {
        StandIn.Request r = calls.poll(10, TimeUnit.SECONDS);
        assertThat(r).as("a call").isNotNull();
        return "gate".equals(r.header("request-id")) ? call() : r;
    }

    private long callsOf(String id) {
        return calls.stream().filter(r -> id.equals(r.header("request-id"))).count();
    }

    /** In one round, on two connections: one message, and each of its clients hears of it. */
    @ParameterizedTest
    @ValueSource(strings = {"", "Client-Retry: again\r\n", "Client-Retry: 1\r\n"})
    void twoHandInsOfOneIdAreOneMessage(String mark) throws Exception {
        behaviour = r -> { };
        holdLoop();
        Socket first = handIn("m1", "unsafe", 20_000, 7, "");
        read();
        Socket second = handIn("m1", "unsafe", 20_000, 7, mark);
        read();
        released.release();
        assertThat(answer(first)).contains(" 202 ");
        assertThat(answer(second)).contains(" 202 ");
        assertThat(call().header("request-id")).isEqualTo("m1");
        assertThat(answer(handIn("m1", "unsafe", 20_000, 7, mark))).as("while its call is out").contains(" 202 ");
        assertThat(answer(handIn("m2", "safe", 20_000, 7, ""))).contains(" 202 ");
        assertThat(call().header("request-id")).isEqualTo("m2");
        assertThat(callsOf("m1")).isZero();
    }

    /** What is refused in its round is refused to both, and is never sent. */
    @Test
    void twoHandInsOfOneIdThatIsRefusedAreBothRefused() throws Exception {
        holdLoop();
        Socket first = handIn("m1", "unsafe", 1, 7, "");
        Socket second = handIn("m1", "unsafe", 1, 7, "");
        read();
        released.release();
        assertThat(answer(first)).contains(" 503 ");
        assertThat(answer(second)).contains(" 503 ");
        assertThat(answer(handIn("m2", "safe", 20_000, 7, ""))).contains(" 202 ");
        assertThat(call().header("request-id")).isEqualTo("m2");
        assertThat(callsOf("m1")).isZero();
    }

    /** The second one is looked at once the first has its end; a fault under it must not leave its client waiting. */
    @Test
    void aFaultUnderTheSecondOfTwoHandInsOfOneIdRefusesIt() throws Exception {
        holdLoop();
        Socket first = handIn("m1", "unsafe", 1, ONCE, "");
        Socket second = handIn("m1", "unsafe", 1, ONCE, "");
        read();
        released.release();
        assertThat(answer(first)).contains(" 503 ");
        assertThat(answer(second)).contains(" 503 ");
        assertThat(answer(handIn("m2", "safe", 20_000, 7, ""))).contains(" 202 ");
    }

    /** A new id, since it is a new hand-in: nobody knows whether the first one ran, and it may be out right here. */
    @Test
    void anUnsafeMessageThatARelayFailedToAnswerIsNeverSentBesideItself() throws Exception {
        behaviour = r -> { };
        assertThat(answer(handIn("m1", "unsafe", 20_000, 7, ""))).contains(" 202 ");
        assertThat(call().header("request-id")).isEqualTo("m1");
        assertThat(answer(handIn("m1b", "unsafe", 20_000, 7, "Client-Retry: again\r\n"))).contains(" 504 ");
        assertThat(answer(handIn("m2", "safe", 20_000, 7, "Client-Retry: again\r\n"))).contains(" 202 ");
        assertThat(call().header("request-id")).isEqualTo("m2");
        assertThat(callsOf("m1b")).isZero();
    }

    /** It left before it was looked at: it may hand the message in elsewhere, and here nothing is kept of it. */
    @Test
    void aClientThatHasGoneBeforeItsMessageIsTakenLeavesNothing() throws Exception {
        holdLoop();
        handIn("m1", "unsafe", 20_000, 7, "").close();
        read();
        read();
        released.release();
        assertThat(answer(handIn("m2", "safe", 20_000, 7, ""))).contains(" 202 ");
        assertThat(call().header("request-id")).isEqualTo("m2");
        assertThat(callsOf("m1")).isZero();
        assertThat(platform.notices).isEmpty();
    }

    /** It left between its taking and its 202: the message is taken on, stored and ends as any other, once. */
    @Test
    void aClientThatGoesBeforeIts202LeavesOneMessageWithOneEnd() throws Exception {
        behaviour = StandIn.Request::reset;
        Socket gone = handIn("m1", "unsafe", 20_000, GATE, "");
        reached.acquire();
        gone.close();
        read();
        read();
        released.release();
        assertThat(call().header("request-id")).isEqualTo("m1");
        assertThat(platform.notices.poll(10, TimeUnit.SECONDS)).contains("\"m1\"").contains("given_up");
        behaviour = r -> r.answer(200);
        assertThat(answer(handIn("m2", "safe", 20_000, 7, ""))).contains(" 202 ");
        assertThat(call().header("request-id")).isEqualTo("m2");
        assertThat(callsOf("m1")).isZero();
        assertThat(platform.notices).isEmpty();
    }

    /** A second end of a relay that is ending changes nothing of the first one's times. */
    @Test
    void toldToEndTwiceItEndsOnceAndInTime() throws Exception {
        behaviour = r -> { };
        assertThat(answer(handIn("m1", "safe", 20_000, 7, ""))).contains(" 202 ");
        call();
        long told = System.nanoTime();
        List<Thread> stopping = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            stopping.add(new Thread(relay::stop));
            stopping.get(i).start();
        }
        for (Thread t : stopping) {
            t.join();
        }
        serving.join();
        assertThat((System.nanoTime() - told) / 1e6).isLessThan(3700);
        assertThat(Store.open(node.state(), 1_000_000).open().stream().map(o -> o.taken().requestId()))
                .containsExactly("m1");
    }
}
