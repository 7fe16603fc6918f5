package firstair.relay;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.kit.run.Node;
import firstair.relay.standin.StandInPlatform;
import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * A message of a failed relay may have run there. A refusal would promise that it has not, and its client would submit
 * it again as a new one, which then runs a second time; it is answered 504, which promises nothing.
 */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class RefusalAfterCrashTest {
    private static final String LIST = StandInPlatform.list(3, true, "a 7 127.0.0.1:1");

    @TempDir
    private Path folder;

    private StandInPlatform platform;
    private Node node;

    @BeforeEach
    void prepare() throws Exception {
        platform = new StandInPlatform(LIST);
        node = new Node(folder, platform.hostPort(), LIST);
    }

    @AfterEach
    void stop() throws Exception {
        node.kill();
        platform.close();
    }

    /** Submits a message with a value of {@code Client-Retry}; returns the head of the response. */
    private String submit(String retry, String id, String type, int destination, int bytes) throws IOException {
        String head = node.submissionHead(id, type, 20_000, "dest=" + destination, "key-" + id, bytes);
        return node.sendText(head.replaceFirst("\r\n", "\r\nClient-Retry: " + retry + "\r\n") + "x".repeat(bytes));
    }

    /** Guards against review case 7: with no room in its folder a relay refused a message that may have run. */
    @Test
    void aMessageForWhichTheFolderHasNoRoomIsGivenUpIfItMayHaveRun() throws Exception {
        node.diskMb(1);
        node.start();
        String status = "";
        for (int i = 0; !status.startsWith("HTTP/1.1 503"); i++) {
            assertThat(i).as("messages taken on").isLessThan(60);
            status = submit("1", "filling" + i, "keyed", 7, 60_000);
        }
        for (String type : new String[] {"safe", "keyed", "unsafe"}) {
            assertThat(submit("again", type, type, 7, 60_000)).startsWith("HTTP/1.1 504");
        }
    }

    /** Guards against the same refusal for a destination that no list names, while discovery is down. */
    @Test
    void aMessageToAnUnknownDestinationIsGivenUpIfItMayHaveRun() throws Exception {
        platform.setDown(true);
        node.start();
        assertThat(submit("1", "fresh", "keyed", 99, 1)).startsWith("HTTP/1.1 503");
        assertThat(submit("Again", "first", "keyed", 99, 1)).startsWith("HTTP/1.1 504");
        assertThat(submit("1, again", "second", "keyed", 99, 1)).startsWith("HTTP/1.1 504");
    }
}
