package firstair.relay;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.kit.run.Node;
import firstair.relay.standin.Platform;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** What a process that was told to end has answered outlives it on the way. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class AfterTheEndTest {
    @TempDir
    private Path folder;

    private static void send(Socket s, String text) throws IOException {
        s.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Its request ends behind the signal, more follows, and it reads only once the process is gone. */
    @Test
    void anAnswerIsReadAfterTheProcessHasEnded() throws Exception {
        String list = Platform.list(3, true, "a 7 127.0.0.1:1");
        try (Platform platform = new Platform(list);
                Socket s = new Socket()) {
            Node node = new Node(folder, platform.hostPort(), list);
            try {
                node.start();
                s.connect(node.address());
                send(s, node.handInText("m", "safe", 9000, "dest=7", null, 1));
                node.terminate();
                node.line("draining");
                boolean open = true;
                while (open) {
                    try (Socket other = new Socket()) {
                        other.connect(node.address());
                    } catch (IOException e) {
                        open = false; // nothing new is taken from now on
                    }
                }
                send(s, "x");
                send(s, "and more");
                assertThat(node.ended(3700)).isTrue();
                s.setSoTimeout(1000);
                assertThat(new String(s.getInputStream().readAllBytes(), StandardCharsets.US_ASCII))
                        .startsWith("HTTP/1.1 202 ")
                        .contains("Connection: close")
                        .containsOnlyOnce("HTTP/1.1");
            } finally {
                node.kill();
            }
        }
    }
}
