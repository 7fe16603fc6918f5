package firstair.relay;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.kit.run.Node;
import firstair.relay.standin.StandInPlatform;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** An answer that the relay sent just before it exited must still reach its client. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class AnswerAfterExitTest {
    @TempDir
    private Path folder;

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /**
     * The client completes its request after SIGTERM, sends further bytes, and reads only after the process has exited.
     * If the relay closed its socket over unread bytes, the connection would be reset and the answer lost.
     */
    @Test
    void anAnswerCanBeReadAfterTheProcessHasExited() throws Exception {
        String list = StandInPlatform.list(3, true, "a 7 127.0.0.1:1");
        try (StandInPlatform platform = new StandInPlatform(list);
                Socket client = new Socket()) {
            Node node = new Node(folder, platform.hostPort(), list);
            try {
                node.start();
                client.connect(node.address());
                send(client, node.submissionHead("m", "safe", 9000, "dest=7", null, 1));
                node.terminate();
                node.awaitLine("draining");
                boolean accepting = true;
                while (accepting) {
                    try (Socket other = new Socket()) {
                        other.connect(node.address());
                    } catch (IOException e) {
                        accepting = false; // no new connections from now on
                    }
                }
                send(client, "x");
                send(client, "and more");
                assertThat(node.awaitExit(3700)).isTrue();
                client.setSoTimeout(1000);
                assertThat(new String(client.getInputStream().readAllBytes(), StandardCharsets.US_ASCII))
                        .startsWith("HTTP/1.1 202 ")
                        .contains("Connection: close")
                        .containsOnlyOnce("HTTP/1.1");
            } finally {
                node.kill();
            }
        }
    }
}
