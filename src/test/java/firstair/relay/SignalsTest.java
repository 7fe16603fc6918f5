package firstair.relay;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.kit.run.Node;
import firstair.kit.standin.StandIn;
import firstair.relay.standin.Await;
import firstair.relay.standin.Platform;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Signals that cross each other or the start: the process ends in time, and what it took on is kept. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class SignalsTest {
    private static final long MOST_MS = 3700;

    @TempDir
    private Path folder;

    private final BlockingQueue<StandIn.Request> calls = new LinkedBlockingQueue<>();
    private volatile StandIn.Handler behaviour = r -> r.answer(200);
    private StandIn partner;
    private Platform platform;
    private Node node;

    @BeforeEach
    void start() throws Exception {
        partner = new StandIn(r -> {
            calls.add(r);
            behaviour.handle(r);
        });
        platform = new Platform(list(1));
        node = new Node(folder, platform.hostPort(), list(1));
    }

    @AfterEach
    void stop() throws Exception {
        node.kill();
        partner.close();
        platform.close();
    }

    private String list(long version) {
        return Platform.list(version, true, "s1 7 " + partner.hostPort());
    }

    private StandIn.Request call() throws InterruptedException {
        StandIn.Request r = calls.poll(20, TimeUnit.SECONDS);
        assertThat(r).as("a call").isNotNull();
        return r;
    }

    /** The call that is out ends, nothing is sent twice, and the second signal of a kind changes nothing. */
    @ParameterizedTest
    @ValueSource(strings = {"TERM TERM", "HUP TERM", "TERM HUP", "HUP HUP TERM TERM", "TERM HUP TERM HUP",
        "HALF TERM HUP"})
    void inAnyOrderItEndsOnceAndInTime(String signals) throws Exception {
        LinkedBlockingQueue<StandIn.Request> held = new LinkedBlockingQueue<>();
        behaviour = held::add;
        node.start();
        node.handIn("m1", "unsafe", 20_000, "dest=7", null, new byte[1]);
        StandIn.Request out = held.poll(20, TimeUnit.SECONDS);
        assertThat(out).isNotNull();
        try (Platform later = new Platform(list(2))) {
            node.discovery(later.hostPort());
            long told = System.nanoTime();
            for (String s : signals.split(" ")) {
                switch (s) {
                    case "TERM" -> node.terminate();
                    case "HUP" -> node.hangUp();
                    default -> { // a file that is read again for a second
                        node.config("{\"name\":\"n0\",\"listen\":\"127.0");
                        node.hangUp();
                    }
                }
            }
            node.line("draining");
            out.answer(200);
            assertThat(node.ended(MOST_MS - (System.nanoTime() - told) / 1_000_000)).as("ended").isTrue();
        }
        assertThat(node.log()).filteredOn(l -> l.contains("draining")).hasSize(1);
        assertThat(node.log()).filteredOn(l -> l.contains("ended, 0 messages kept")).hasSize(1);
        assertThat(node.log()).noneMatch(l -> l.contains("fault") || l.contains("Exception"));
        calls.clear();
        node.config(null);
        node.discovery(platform.hostPort());
        behaviour = r -> r.answer(200);
        node.start();
        assertThat(node.line("ready")).contains("0 messages and 0 notices");
    }

    /** Whatever it had begun by then: at the next start the message is there, and is sent once. */
    @ParameterizedTest
    @ValueSource(strings = {"launched", "store read", "posting what is owed", "ready"})
    void toldToEndDuringItsStartItKeepsWhatItHolds(String step) throws Exception {
        String drains = Platform.list(1, true, "s1 7 " + partner.hostPort(),
                "s2 8 " + partner.hostPort() + " draining");
        platform.down(true); // nothing is told of the destination whose only endpoint drains
        platform.noticeStatus(503);
        node.known(drains);
        node.start();
        assertThat(node.handIn("m1", "unsafe", 30_000, "dest=8", null, new byte[1])).contains(" 202 ");
        behaviour = StandIn.Request::reset;
        assertThat(node.handIn("m2", "unsafe", 30_000, "dest=7", null, new byte[1])).contains(" 202 ");
        assertThat(call().header("request-id")).isEqualTo("m2");
        assertThat(platform.notices.poll(20, TimeUnit.SECONDS)).contains("m2");
        node.kill();
        String before = state();
        platform.notices.clear();
        behaviour = r -> r.answer(200);
        node.launch();
        switch (step) {
            case "store read" -> Await.until("its file", () -> !state().equals(before));
            case "posting what is owed" -> assertThat(platform.notices.poll(20, TimeUnit.SECONDS)).contains("m2");
            case "ready" -> node.line("ready at");
            default -> { }
        }
        node.terminate();
        assertThat(node.ended(MOST_MS)).as("ended").isTrue();
        assertThat(node.log()).noneMatch(l -> l.contains("fault") || l.contains("Exception"));
        assertThat(calls).isEmpty();
        node.known(Platform.list(2, true, "s1 7 " + partner.hostPort(), "s2 8 " + partner.hostPort()));
        node.start();
        assertThat(node.line("ready")).contains("1 messages and 1 notices");
        assertThat(call().header("request-id")).isEqualTo("m1");
        platform.notices.clear();
        platform.noticeStatus(204);
        assertThat(platform.notices.poll(20, TimeUnit.SECONDS)).contains("m2");
        assertThat(calls).isEmpty();
    }

    private String state() {
        try (Stream<Path> all = Files.list(node.state())) {
            return all.map(p -> p.getFileName().toString()).filter(n -> n.endsWith(".log")).sorted().toList()
                    .toString();
        } catch (IOException e) {
            return "none";
        }
    }

    /** The file that it has just read is old: it serves by the new one, though nobody signals again. */
    @Test
    void aHangUpDuringTheStartIsFollowed() throws Exception {
        try (Platform later = new Platform(list(2))) {
            node.launch();
            Await.until("its file", () -> !state().equals("none") && !state().equals("[]"));
            node.discovery(later.hostPort());
            node.hangUp();
            Await.until("a watch at the new place", later::watched);
            node.line("ready at");
        }
    }

    /** The same, and told to end before it serves. */
    @Test
    void aHangUpAndAnEndDuringTheStartEndItInTime() throws Exception {
        try (Platform later = new Platform(list(2))) {
            node.launch();
            Await.until("its file", () -> !state().equals("none") && !state().equals("[]"));
            node.discovery(later.hostPort());
            node.hangUp();
            node.terminate();
            node.signalHangUp();
            assertThat(node.ended(MOST_MS)).as("ended").isTrue();
        }
    }
}
