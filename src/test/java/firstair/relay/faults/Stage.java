package firstair.relay.faults;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import firstair.kit.run.Node;
import firstair.kit.standin.StandIn;
import firstair.relay.standin.Platform;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** A relay as a process beside one partner and the platform; what these see is kept with its time. */
final class Stage implements AutoCloseable {
    /** A call that the partner got. */
    record Call(String id, double atMs) {}

    /** A notice that the platform got. */
    record Notice(String id, String outcome, double atMs) {}

    final List<Call> calls = new CopyOnWriteArrayList<>();
    final List<Notice> notices = new CopyOnWriteArrayList<>();
    final StandIn partner;
    final Platform platform;
    final Node node;
    volatile StandIn.Handler behaviour = r -> r.answer(200);

    private final long origin = System.nanoTime();
    private final Thread reader;

    Stage(Path folder) throws Exception {
        partner = new StandIn(r -> {
            for (String id : ids(r)) {
                calls.add(new Call(id, now()));
            }
            behaviour.handle(r);
        });
        platform = new Platform(list(1));
        node = new Node(folder, platform.hostPort(), list(1));
        reader = new Thread(this::readNotices, "notices");
        reader.setDaemon(true);
        reader.start();
    }

    private static List<String> ids(StandIn.Request r) {
        return r.header("request-id") == null ? List.of() : List.of(r.header("request-id"));
    }

    private void readNotices() {
        try {
            while (true) {
                String all = platform.notices.take();
                double at = now();
                for (String line : all.split("\n")) {
                    JsonObject o = JsonParser.parseString(line).getAsJsonObject();
                    notices.add(new Notice(
                            o.get("message").getAsString(), o.get("outcome").getAsString(), at));
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    String list(long version) {
        return Platform.list(version, true, "s1 7 " + partner.hostPort());
    }

    /** Milliseconds since the stage was made. */
    double now() {
        return (System.nanoTime() - origin) / 1e6;
    }

    /** Waits until a moment of {@link #now}. */
    void until(double atMs) throws InterruptedException {
        long left = (long) Math.ceil(atMs - now());
        if (left > 0) {
            TimeUnit.MILLISECONDS.sleep(left);
        }
    }

    /** Hands in a message for the partner and returns its status. */
    int handIn(String id, String type, long timeoutMs) throws Exception {
        String answer = node.handIn(
                id, type, timeoutMs, "dest=7", type.equals("keyed") ? "key-" + id : null, new byte[] {1, 2, 3});
        return Integer.parseInt(answer.substring(9, 12));
    }

    /** Hands one in that has to be taken on; returns the moment before. */
    double take(String id, String type, long timeoutMs) throws Exception {
        double before = now();
        assertThat(handIn(id, type, timeoutMs)).as("answer to %s", id).isEqualTo(202);
        return before;
    }

    /**
     * Has a message called and its call answered, and waits until the relay has stored how that call ended; returns the
     * moment before the message was taken on.
     */
    double answered(String id, String type, long timeoutMs, StandIn.Handler answer) throws Exception {
        CountDownLatch looked = new CountDownLatch(1);
        behaviour = r -> {
            await(looked);
            answer.handle(r);
        };
        double before = take(id, type, timeoutMs);
        called(id, 1, now() + 2000);
        long bytes = Files.size(node.file());
        behaviour = answer;
        looked.countDown();
        while (Files.size(node.file()) == bytes) {
            assertThat(now()).as("end of a call of %s", id).isLessThan(before + 5000);
            TimeUnit.MILLISECONDS.sleep(5);
        }
        return before;
    }

    /** Waits for as long as it takes, as a handler may. */
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

    /** The first notice of a message, which has to come by a moment. */
    Notice notice(String id, double byMs) throws InterruptedException {
        while (true) {
            for (Notice n : notices) {
                if (n.id().equals(id)) {
                    return n;
                }
            }
            assertThat(now())
                    .as("no notice of %s, calls %s, log %s", id, callsOf(id), node.lines())
                    .isLessThan(byMs);
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    /** Waits until a message has been called so many times. */
    void called(String id, int times, double byMs) throws InterruptedException {
        while (callsOf(id).size() < times) {
            assertThat(now())
                    .as("calls of %s: %s, log %s", id, callsOf(id), node.lines())
                    .isLessThan(byMs);
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    @Override
    public void close() throws Exception {
        node.kill();
        reader.interrupt();
        partner.close();
        platform.close();
    }
}
