package firstair.relay.faults;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import firstair.kit.run.Node;
import firstair.kit.standin.StandIn;
import firstair.relay.standin.StandInPlatform;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** A relay in its own process, an endpoint and the platform; records the calls and notices that these receive. */
final class RelayFixture implements AutoCloseable {
    /** A call received by the endpoint. */
    record Call(String id, double atMs) {}

    /** A notice received by the platform. */
    record Notice(String id, String outcome, double atMs) {}

    final List<Call> calls = new CopyOnWriteArrayList<>();
    final List<Notice> notices = new CopyOnWriteArrayList<>();
    final StandIn endpoint;
    final StandInPlatform platform;
    final Node node;
    volatile StandIn.Handler behaviour = r -> r.answer(200);

    private final long createdNanos = System.nanoTime();
    private final Thread noticeReader;

    RelayFixture(Path folder) throws Exception {
        endpoint = new StandIn(request -> {
            for (String id : requestIds(request)) {
                calls.add(new Call(id, now()));
            }
            behaviour.handle(request);
        });
        platform = new StandInPlatform(endpointList(1));
        node = new Node(folder, platform.hostPort(), endpointList(1));
        noticeReader = new Thread(this::readNotices, "notices");
        noticeReader.setDaemon(true);
        noticeReader.start();
    }

    private static List<String> requestIds(StandIn.Request request) {
        return request.header("request-id") == null ? List.of() : List.of(request.header("request-id"));
    }

    private void readNotices() {
        try {
            while (true) {
                String lines = platform.notices.take();
                double receivedMs = now();
                for (String line : lines.split("\n")) {
                    JsonObject notice = JsonParser.parseString(line).getAsJsonObject();
                    notices.add(new Notice(
                            notice.get("message").getAsString(),
                            notice.get("outcome").getAsString(),
                            receivedMs));
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** A complete list that holds the one endpoint, for destination 7. */
    String endpointList(long version) {
        return StandInPlatform.list(version, true, "s1 7 " + endpoint.hostPort());
    }

    /** Milliseconds since the fixture was created. */
    double now() {
        return (System.nanoTime() - createdNanos) / 1e6;
    }

    /** Sleeps until a time of {@link #now}. */
    void sleepUntil(double atMs) throws InterruptedException {
        long leftMs = (long) Math.ceil(atMs - now());
        if (leftMs > 0) {
            TimeUnit.MILLISECONDS.sleep(leftMs);
        }
    }

    /** Submits a message for the endpoint; returns the status of the answer. */
    int submit(String id, String type, long timeoutMs) throws Exception {
        String answer = node.submit(
                id, type, timeoutMs, "dest=7", type.equals("keyed") ? "key-" + id : null, new byte[] {1, 2, 3});
        return Integer.parseInt(answer.substring(9, 12));
    }

    /** Submits a message that the relay has to accept; returns the time before the submission. */
    double submitAccepted(String id, String type, long timeoutMs) throws Exception {
        double submittedAt = now();
        assertThat(submit(id, type, timeoutMs)).as("answer to %s", id).isEqualTo(202);
        return submittedAt;
    }

    /**
     * Submits a message, answers its call, and waits until the relay has stored the outcome of that call; returns the
     * time before the submission.
     */
    double submitAndAnswer(String id, String type, long timeoutMs, StandIn.Handler answer) throws Exception {
        CountDownLatch sizeRead = new CountDownLatch(1);
        behaviour = r -> {
            await(sizeRead);
            answer.handle(r);
        };
        double submittedAt = submitAccepted(id, type, timeoutMs);
        awaitCalls(id, 1, now() + 2000);
        long bytes = Files.size(node.stateFile());
        behaviour = answer;
        sizeRead.countDown();
        while (Files.size(node.stateFile()) == bytes) {
            assertThat(now()).as("end of a call of %s", id).isLessThan(submittedAt + 5000);
            TimeUnit.MILLISECONDS.sleep(5);
        }
        return submittedAt;
    }

    /** Waits for a latch without a limit; for use in handlers, which may throw only {@link IOException}. */
    static void await(CountDownLatch latch) throws IOException {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    List<Call> callsOf(String id) {
        return calls.stream().filter(c -> c.id().equals(id)).toList();
    }

    /** Waits for the first notice of a message; fails if it has not arrived by a time of {@link #now}. */
    Notice awaitNotice(String id, double byMs) throws InterruptedException {
        while (true) {
            for (Notice notice : notices) {
                if (notice.id().equals(id)) {
                    return notice;
                }
            }
            assertThat(now())
                    .as("no notice of %s, calls %s, log %s", id, callsOf(id), node.logLines())
                    .isLessThan(byMs);
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    /** Waits for a number of calls of a message; fails if they have not arrived by a time of {@link #now}. */
    void awaitCalls(String id, int times, double byMs) throws InterruptedException {
        while (callsOf(id).size() < times) {
            assertThat(now())
                    .as("calls of %s: %s, log %s", id, callsOf(id), node.logLines())
                    .isLessThan(byMs);
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    @Override
    public void close() throws Exception {
        node.kill();
        noticeReader.interrupt();
        endpoint.close();
        platform.close();
    }
}
