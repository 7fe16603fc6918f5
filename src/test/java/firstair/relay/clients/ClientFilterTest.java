package firstair.relay.clients;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.relay.Limits;
import firstair.relay.net.NetworkTransport;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.function.BiConsumer;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A request that a client has written completely is answered, whatever ends its connection meanwhile. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ClientFilterTest {
    /** Accepts every message. */
    private static final class AcceptingHandler implements RequestHandler {
        volatile double now;

        @Override
        public double now() {
            return now;
        }

        @Override
        public boolean ready() {
            return true;
        }

        @Override
        public Map<String, Integer> classes() {
            return Map.of("safe", 0);
        }

        @Override
        public boolean keyed(int messageClass) {
            return false;
        }

        @Override
        public void submit(Submission message) {
            message.respond(202, 0);
        }
    }

    private enum Cause {
        DRAINED((filter, handler) -> filter.drain()),
        IDLE((filter, handler) -> {
            handler.now += 60_000;
            filter.sweep();
        }),
        GONE((filter, handler) -> filter.end(() -> {}));

        private final BiConsumer<ClientFilter, AcceptingHandler> step;

        Cause(BiConsumer<ClientFilter, AcceptingHandler> step) {
            this.step = step;
        }
    }

    private final AcceptingHandler handler = new AcceptingHandler();
    private final Limits limits = Limits.of(0, 0, 64_000_000, 0, 0, 0);
    private final CountDownLatch read = new CountDownLatch(1);
    private final CountDownLatch released = new CountDownLatch(1);
    private volatile boolean blocking;
    private NetworkTransport wire;
    private ClientFilter filter;
    private InetSocketAddress address;

    @BeforeEach
    void start() throws IOException {
        wire = new NetworkTransport(limits);
        filter = new ClientFilter(limits, handler);
        address = (InetSocketAddress) wire.listen(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        new BlockingFilter(),
                        filter::keepsOpen)
                .getLocalAddress();
    }

    /** Delegates to the filter under test, and can block between reading bytes and passing them on. */
    private final class BlockingFilter extends BaseFilter {
        @Override
        public NextAction handleAccept(FilterChainContext ctx) {
            return filter.handleAccept(ctx);
        }

        @Override
        public NextAction handleRead(FilterChainContext ctx) {
            if (blocking) {
                read.countDown();
                try {
                    released.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
            return filter.handleRead(ctx);
        }

        @Override
        public NextAction handleClose(FilterChainContext ctx) {
            return filter.handleClose(ctx);
        }
    }

    @AfterEach
    void stop() throws IOException {
        released.countDown();
        wire.close();
    }

    private static void sendRequest(Socket socket, String body) throws IOException {
        socket.getOutputStream()
                .write(("POST /api HTTP/1.1\r\nRequest-Id: m\r\nRequest-Class: safe\r\n"
                                + "Request-Timeout-Ms: 9000\r\nX-Addressing: dest=7\r\nContent-Length: 1\r\n\r\n"
                                + body)
                        .getBytes(StandardCharsets.US_ASCII));
    }

    private static String response(Socket socket) throws IOException {
        socket.setSoTimeout(10_000);
        InputStream in = socket.getInputStream();
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int b = in.read();
            if (b < 0) {
                return head + "(ended)";
            }
            head.append((char) b);
        }
        return head.toString();
    }

    /** One request has been read and not parsed, two wait to be read, when their connections are ended. */
    @ParameterizedTest
    @EnumSource
    void aReceivedRequestIsAnsweredBeforeItsConnectionEnds(Cause cause) throws Exception {
        try (Socket first = new Socket();
                Socket next = new Socket();
                Socket idle = new Socket();
                Socket slow = new Socket()) {
            for (Socket socket : new Socket[] {first, next, idle}) {
                socket.connect(address);
                sendRequest(socket, "x");
                assertThat(response(socket)).contains(" 202 ");
            }
            slow.connect(address);
            sendRequest(slow, "");
            blocking = true;
            sendRequest(first, "x");
            read.await();
            sendRequest(next, "x");
            slow.getOutputStream().write('x');
            cause.step.accept(filter, handler);
            released.countDown();
            for (Socket socket : new Socket[] {first, next, slow}) {
                assertThat(response(socket)).contains(" 202 ");
            }
            assertThat(idle.getInputStream().read()).isEqualTo(-1); // an idle connection is just closed
        }
    }
}
