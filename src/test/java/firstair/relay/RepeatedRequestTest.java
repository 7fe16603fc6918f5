package firstair.relay;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.kit.run.Node;
import firstair.kit.standin.StandIn;
import firstair.relay.standin.Await;
import firstair.relay.standin.StandInPlatform;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A request that comes a second time, as its client left without the answer, has no second effect. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class RepeatedRequestTest {
    private static final int REQUESTS = 20;

    @TempDir
    private Path folder;

    private final List<String> calls = new CopyOnWriteArrayList<>(); // request ids
    private volatile StandIn.Handler handler = request -> request.answer(200);
    private StandIn endpoint;
    private StandInPlatform platform;
    private Node node;

    @BeforeEach
    void start() throws Exception {
        endpoint = new StandIn(request -> {
            calls.add(request.header("request-id"));
            handler.handle(request);
        });
        String list = StandInPlatform.list(1, true, "s1 7 " + endpoint.hostPort());
        platform = new StandInPlatform(list);
        node = new Node(folder, platform.hostPort(), list);
        node.start();
    }

    @AfterEach
    void stop() throws Exception {
        node.kill();
        endpoint.close();
        platform.close();
    }

    private String submit(String id, long timeoutMs) throws IOException {
        return node.submit(id, "unsafe", timeoutMs, "dest=7", null, new byte[1]).substring(9, 12);
    }

    /** Writes a whole request and leaves, with a reset or in order, before the response. */
    private void submitAndLeave(String id, boolean reset) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(node.address());
            socket.setSoLinger(reset, 0);
            String head = node.submissionHead(id, "unsafe", 20_000, "dest=7", null, 1);
            socket.getOutputStream().write((head + "x").getBytes(StandardCharsets.US_ASCII));
        }
    }

    /** Guards against an id that runs twice when it comes again after its client had left. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aRequestWhoseClientHasLeftRunsOnceWhenItComesAgain(boolean reset) throws Exception {
        for (int i = 0; i < REQUESTS; i++) {
            submitAndLeave("m" + i, reset);
        }
        assertThat(submit("last", 20_000)).isEqualTo("202");
        Await.until("the last call", () -> calls.contains("last")); // those before it have ended as well
        for (int i = 0; i < REQUESTS; i++) {
            assertThat(submit("m" + i, 20_000)).isEqualTo("202");
        }
        assertThat(submit("behind", 20_000)).isEqualTo("202");
        Await.until("all calls", () -> calls.contains("behind") && calls.size() >= REQUESTS + 2);
        assertThat(calls).doesNotHaveDuplicates();
    }

    /** Guards against the same for a message that may have run and was given up. */
    @Test
    void aRequestThatWasGivenUpIsNotRunAgain() throws Exception {
        handler = StandIn.Request::reset;
        assertThat(submit("m", 20_000)).isEqualTo("202");
        assertThat(platform.notices.take()).contains("given_up");
        handler = request -> request.answer(200);
        assertThat(submit("m", 20_000)).isEqualTo("504");
        assertThat(submit("other", 20_000)).isEqualTo("202");
        Await.until("another call", () -> calls.contains("other"));
        assertThat(calls).containsExactly("m", "other");
    }

    /** What certainly never ran may be submitted again under its id. */
    @Test
    void aRequestThatWasHandedBackIsAcceptedAgain() throws Exception {
        handler = request -> request.answer(503);
        assertThat(submit("m", 1000)).isEqualTo("202");
        assertThat(platform.notices.take()).contains("handed_back");
        handler = request -> request.answer(200);
        int before = calls.size();
        assertThat(submit("m", 20_000)).isEqualTo("202");
        Await.until("a further call", () -> calls.size() > before);
    }
}
