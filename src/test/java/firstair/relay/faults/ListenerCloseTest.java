package firstair.relay.faults;

import static firstair.relay.faults.FaultInjector.rule;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.RepeatedTest;

/**
 * Rows R4 and R5. On SIGTERM a relay accepts the waiting connections until there are no more, then closes its listener.
 * The kernel completes connections between the last accept and the close, and resets them at the close: their clients
 * have connected, have written a request, and get no answer. The gap is a few microseconds long, but lasts milliseconds
 * if the thread is preempted in it.
 *
 * <p>On a machine with eight cores, clients that connect for each request lost 17 requests in 24 stops, all 470 to
 * 495 ms after SIGTERM, in two bursts and two single ones. Here closing the listener takes {@value #GAP_MS} ms, so that
 * every stop has the gap.
 */
class ListenerCloseTest extends FaultTest {
    private static final int GAP_MS = 60;
    private static final int CLIENTS_MS = 900; // from the signal until long after the close
    private static final int INTERVAL_MS = 4; // between the starts of two clients
    private static final int ANSWER_TIMEOUT_MS = 400;
    private static final byte[] REQUEST =
            "GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private final AtomicInteger answered = new AtomicInteger();
    private final List<String> unanswered = new CopyOnWriteArrayList<>();

    @RepeatedTest(3)
    void noConnectionIsResetWhenTheListenerClosesSlowly() throws Exception {
        FaultInjector preload = new FaultInjector(fixture.node, folder);
        fixture.node.start();
        preload.rules(rule("listener_close", 0, 1, -GAP_MS, ""));
        double terminatedAt = fixture.now();
        fixture.node.terminate();
        List<Thread> clients = new ArrayList<>();
        for (int ms = 0; ms < CLIENTS_MS; ms += INTERVAL_MS) {
            fixture.sleepUntil(terminatedAt + ms);
            Thread client = new Thread(this::connectAndRequest);
            client.start();
            clients.add(client);
        }
        for (Thread client : clients) {
            client.join();
        }
        assertThat(answered).hasPositiveValue();
        assertThat(unanswered).as("SIGTERM at %.0f ms", terminatedAt).isEmpty();
    }

    private void connectAndRequest() {
        try (Socket socket = new Socket()) {
            socket.connect(fixture.node.address(), ANSWER_TIMEOUT_MS);
            socket.setSoTimeout(ANSWER_TIMEOUT_MS);
            double connectedAt = fixture.now();
            if (isAnswered(socket)) {
                answered.incrementAndGet();
            } else {
                unanswered.add(String.format("port %d, connected at %.0f ms", socket.getLocalPort(), connectedAt));
            }
        } catch (IOException e) {
            // refused: a real client connects to another relay
        }
    }

    private static boolean isAnswered(Socket socket) {
        try {
            socket.getOutputStream().write(REQUEST);
            return socket.getInputStream().read() >= 0;
        } catch (IOException e) {
            return false;
        }
    }
}
