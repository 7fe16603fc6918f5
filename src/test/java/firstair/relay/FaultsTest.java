package firstair.relay;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.control.Control;
import firstair.control.Controller;
import firstair.control.Controller.ListUpdate;
import firstair.control.Controller.Outcome;
import firstair.control.Controller.Result;
import firstair.kit.run.Node;
import firstair.kit.standin.StandIn;
import firstair.relay.discovery.EndpointListWatch;
import firstair.relay.discovery.Zones;
import firstair.relay.endpoints.Endpoints;
import firstair.relay.endpoints.Item;
import firstair.relay.net.NetworkTransport;
import firstair.relay.platform.Notices;
import firstair.relay.standin.Await;
import firstair.relay.standin.FaultyDialer;
import firstair.relay.standin.LoopThread;
import firstair.relay.standin.StandInPlatform;
import firstair.relay.store.PendingNotice;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The relay keeps its guarantees if a connection, or one of its own parts, fails in an unexpected way. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class FaultsTest {
    private static final String LIST = StandInPlatform.list(3, true, "a 7 127.0.0.1:1");
    private final Limits limits = Limits.of(0, 0, 64_000_000, 0, 0, 0);
    private NetworkTransport wire;
    private Loop loop;

    @BeforeEach
    void start() throws Exception {
        wire = new NetworkTransport(limits);
    }

    @AfterEach
    void stop() throws Exception {
        if (loop != null) {
            loop.end();
        }
        wire.close();
    }

    private static <T> T next(BlockingQueue<T> queue) throws InterruptedException {
        T element = queue.poll(10, TimeUnit.SECONDS);
        assertThat(element).isNotNull();
        return element;
    }

    @ParameterizedTest
    @EnumSource(FaultyDialer.Fault.class)
    void noticesAreRetriedAndFollowANewAddress(FaultyDialer.Fault fault) throws Exception {
        BlockingQueue<Long> confirmed = new LinkedBlockingQueue<>();
        try (StandIn platform = new StandIn(r -> r.answer(204));
                StandIn later = new StandIn(r -> r.answer(204))) {
            Notices[] notices = new Notices[1];
            loop = LoopThread.start(() -> {
                if (notices[0] != null) {
                    notices[0].flush();
                }
            });
            notices[0] = new Notices(
                    new FaultyDialer(wire, fault, 2),
                    limits,
                    loop,
                    platform.address(),
                    new Random(1),
                    confirmed::add,
                    () -> {});
            loop.post(() -> notices[0].add(1, "r1", new PendingNotice(false, 0), loop.now() + 300));
            assertThat(next(confirmed)).isEqualTo(1);
            loop.post(() -> notices[0].setAddress(later.address()));
            loop.post(() -> notices[0].add(2, "r2", new PendingNotice(false, 0), loop.now() + 300));
            assertThat(next(confirmed)).isEqualTo(2);
            assertThat(later.acceptedCount()).isPositive();
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = FaultyDialer.Fault.class,
            names = {"FAILS_AT_ONCE", "NEVER_CALLS_BACK"})
    void aWatchWhoseDialerFailsIsReportedAndCanBeRetried(FaultyDialer.Fault fault) throws Exception {
        BlockingQueue<ListUpdate> updates = new LinkedBlockingQueue<>();
        loop = LoopThread.start(() -> {});
        try (StandInPlatform platform = new StandInPlatform(LIST)) {
            EndpointListWatch watch = new EndpointListWatch(
                    new FaultyDialer(wire, fault, 1),
                    limits,
                    loop,
                    platform.address(),
                    List.of("one"),
                    new Zones(List.of("z")),
                    1,
                    (update, list) -> updates.add(update));
            loop.post(watch::listen);
            boolean timesOut = fault == FaultyDialer.Fault.NEVER_CALLS_BACK;
            assertThat(next(updates)).isEqualTo(timesOut ? ListUpdate.OVERDUE : ListUpdate.FAILED);
            loop.post(watch::listen);
            assertThat(next(updates)).isEqualTo(ListUpdate.COMPLETE);
        }
    }

    @Test
    void aWatchWhoseDialerThrowsFollowsANewAddress() throws Exception {
        BlockingQueue<ListUpdate> updates = new LinkedBlockingQueue<>();
        loop = LoopThread.start(() -> {});
        try (StandInPlatform platform = new StandInPlatform(LIST);
                StandInPlatform later = new StandInPlatform(LIST)) {
            EndpointListWatch watch = new EndpointListWatch(
                    new FaultyDialer(wire, FaultyDialer.Fault.THROWS, 1),
                    limits,
                    loop,
                    platform.address(),
                    List.of("one"),
                    new Zones(List.of("z")),
                    1,
                    (update, list) -> updates.add(update));
            loop.post(watch::listen);
            loop.post(() -> watch.setAddress(later.address()));
            assertThat(next(updates)).isEqualTo(ListUpdate.COMPLETE);
            assertThat(later.watched()).isTrue();
        }
    }

    @ParameterizedTest
    @EnumSource(FaultyDialer.Fault.class)
    void aCallWhoseDialerFailsEndsAsNotRun(FaultyDialer.Fault fault) throws Exception {
        BlockingQueue<Outcome> outcomes = new LinkedBlockingQueue<>();
        loop = LoopThread.start(() -> {});
        Endpoints endpoints = new Endpoints(new FaultyDialer(wire, fault, 1), limits, loop, outcomes::add);
        endpoints.updateAddresses(Map.of("a", unusedAddress()));
        loop.post(() ->
                endpoints.call("a", List.of(new Item(1, 0, "r1", null, new byte[0], 200, loop.now() + 5000, false))));
        assertThat(next(outcomes).result()).isEqualTo(Result.CONNECT_FAILED);
        loop.post(() -> assertThat(endpoints.callsInProgress()).isZero());
    }

    private static java.net.InetSocketAddress unusedAddress() {
        return new java.net.InetSocketAddress("127.0.0.1", 1);
    }

    /** A controller that loses every message, and throws at messages to destination 8. */
    private static Controller faultyController(Controller.Settings settings, long seed, Controller.Actions actions) {
        Controller real = new Control(settings, seed, actions);
        return (Controller) java.lang.reflect.Proxy.newProxyInstance(
                Controller.class.getClassLoader(), new Class<?>[] {Controller.class}, (self, method, args) -> {
                    if (method.getName().equals("accepted")) {
                        if (((Controller.Message) args[1]).destination() == 8) {
                            throw new IllegalStateException("thrown by a test");
                        }
                        return null;
                    }
                    return method.invoke(real, args);
                });
    }

    @Test
    void whatTheDecisionsLoseIsGivenUpInTimeAndWhatTheyThrowAtIsRefused(@TempDir Path folder) throws Exception {
        try (StandInPlatform platform =
                new StandInPlatform(StandInPlatform.list(3, true, "a 7 127.0.0.1:1", "b 8 127.0.0.1:1"))) {
            Node node = new Node(
                    folder, platform.hostPort(), StandInPlatform.list(3, true, "a 7 127.0.0.1:1", "b 8 127.0.0.1:1"));
            Relay relay = new Relay(
                    Config.read(Map.of(
                            "ROUTER_CONFIG",
                            node.write().toString(),
                            "ROUTER_STATE",
                            node.state().toString())),
                    FaultsTest::faultyController);
            Thread serving = new Thread(() -> {
                try {
                    relay.run();
                } catch (Exception e) {
                    throw new IllegalStateException(e);
                }
            });
            serving.start();
            Await.until("ready", relay::ready);
            node.address(relay.address());
            assertThat(node.submit("m0", "safe", 1000, "dest=8", null, new byte[3]))
                    .contains(" 503 ");
            long sent = System.nanoTime();
            assertThat(node.submit("m1", "safe", 2500, "dest=7", null, new byte[3]))
                    .contains(" 202 ");
            assertThat(platform.notices.poll(10, TimeUnit.SECONDS))
                    .contains("m1")
                    .contains("given_up");
            assertThat((System.nanoTime() - sent) / 1e6).isBetween(2500.0, 2500.0 + 300);
            relay.stop();
            serving.join();
        }
    }
}
