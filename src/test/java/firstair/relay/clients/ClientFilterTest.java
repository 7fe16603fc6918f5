package firstair.relay.clients;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.relay.Limits;
import firstair.relay.net.Wire;
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

/** A request whose last byte a client has written is answered, whatever ends its connection meanwhile. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ClientFilterTest {
    /** Takes whatever comes. */
    private static final class Taking implements RequestHandler {
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
        public void handIn(Submission message) {
            message.answer(202, 0);
        }
    }

    private enum Cause {
        TOLD_TO_END((f, d) -> f.drain()),
        IDLE((f, d) -> {
            d.now += 60_000;
            f.sweep();
        }),
        GONE((f, d) -> f.end(() -> {}));

        private final BiConsumer<ClientFilter, Taking> step;

        Cause(BiConsumer<ClientFilter, Taking> step) {
            this.step = step;
        }
    }

    private final Taking desk = new Taking();
    private final Limits limits = Limits.of(0, 0, 64_000_000, 0, 0, 0);
    private final CountDownLatch read = new CountDownLatch(1);
    private final CountDownLatch released = new CountDownLatch(1);
    private volatile boolean holding;
    private Wire wire;
    private ClientFilter filter;
    private InetSocketAddress address;

    @BeforeEach
    void start() throws IOException {
        wire = new Wire(limits);
        filter = new ClientFilter(limits, desk);
        address = (InetSocketAddress)
                wire.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), new Holding(), filter::stays)
                        .getLocalAddress();
    }

    /** Passes all on, and can be held up between the reading of bytes and what is done with them. */
    private final class Holding extends BaseFilter {
        @Override
        public NextAction handleAccept(FilterChainContext ctx) {
            return filter.handleAccept(ctx);
        }

        @Override
        public NextAction handleRead(FilterChainContext ctx) {
            if (holding) {
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

    private static void ask(Socket s, String body) throws IOException {
        s.getOutputStream()
                .write(("POST /api HTTP/1.1\r\nRequest-Id: m\r\nRequest-Class: safe\r\n"
                                + "Request-Timeout-Ms: 9000\r\nX-Addressing: dest=7\r\nContent-Length: 1\r\n\r\n"
                                + body)
                        .getBytes(StandardCharsets.US_ASCII));
    }

    private static String answer(Socket s) throws IOException {
        s.setSoTimeout(10_000);
        InputStream in = s.getInputStream();
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

    /** One request has been read and not looked at, two wait to be read, when their connections are given up. */
    @ParameterizedTest
    @EnumSource
    void aRequestThatHasComeIsAnsweredBeforeItsConnectionEnds(Cause cause) throws Exception {
        try (Socket first = new Socket();
                Socket next = new Socket();
                Socket quiet = new Socket();
                Socket slow = new Socket()) {
            for (Socket s : new Socket[] {first, next, quiet}) {
                s.connect(address);
                ask(s, "x");
                assertThat(answer(s)).contains(" 202 ");
            }
            slow.connect(address);
            ask(slow, "");
            holding = true;
            ask(first, "x");
            read.await();
            ask(next, "x");
            slow.getOutputStream().write('x');
            cause.step.accept(filter, desk);
            released.countDown();
            for (Socket s : new Socket[] {first, next, slow}) {
                assertThat(answer(s)).contains(" 202 ");
            }
            assertThat(quiet.getInputStream().read()).isEqualTo(-1); // and one that says nothing just ends
        }
    }
}
