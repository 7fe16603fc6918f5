package firstair.relay.platform;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.kit.standin.StandIn;
import firstair.relay.Limits;
import firstair.relay.Loop;
import firstair.relay.net.NetworkTransport;
import firstair.relay.standin.LogLines;
import firstair.relay.standin.LoopThread;
import firstair.relay.store.PendingNotice;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class NoticesTest {
    private final BlockingQueue<Long> confirmed = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> posts = new LinkedBlockingQueue<>();
    private final AtomicInteger calls = new AtomicInteger();
    private Limits limits;
    private Loop loop;
    private NetworkTransport wire;
    private StandIn platform;
    private volatile Notices notices;

    @BeforeEach
    void start() throws IOException {
        limits = Limits.of(0, 0, 64_000_000, 0, 0, 0);
        wire = new NetworkTransport(limits);
        loop = LoopThread.start(() -> {
            if (notices != null) {
                notices.flush();
            }
        });
    }

    @AfterEach
    void stop() throws IOException {
        loop.end();
        wire.close();
        platform.close();
    }

    /** Each notice is posted until it is confirmed; the rejections are logged only once. */
    @Test
    void aPlatformThatConfirmsNothingDoesNotFillTheLog() throws Exception {
        platform(r -> r.answer(calls.get() <= 12 ? 503 : 204));
        try (LogLines lines = new LogLines(Notices.class)) {
            loop.post(() -> notices.add(1, "r1", new PendingNotice(false, 0), loop.now() + 20_000));
            assertThat(confirmed.poll(20, TimeUnit.SECONDS)).isEqualTo(1);
            assertThat(calls.get()).isGreaterThan(12);
            assertThat(lines.startingWith("platform answered a notice with 503"))
                    .hasSize(1);
        }
    }

    private void platform(StandIn.Handler handler) throws IOException {
        platform = new StandIn(r -> {
            posts.add(r.method() + " " + r.target() + " " + new String(r.body(), StandardCharsets.UTF_8));
            calls.incrementAndGet();
            handler.handle(r);
        });
        notices = new Notices(wire, limits, loop, platform.address(), new Random(1), confirmed::add, () -> {});
    }

    private void addNotice(long id, boolean handedBack, double afterMs) {
        loop.post(() -> notices.add(id, "r" + id, new PendingNotice(handedBack, afterMs), loop.now() + 300));
    }

    private <T> T next(BlockingQueue<T> queue) throws InterruptedException {
        T t = queue.poll(10, TimeUnit.SECONDS);
        assertThat(t).isNotNull();
        return t;
    }

    @Test
    void theTwoKindsOfNotice() throws Exception {
        platform(r -> r.answer(204));
        addNotice(1, false, 0);
        assertThat(next(confirmed)).isEqualTo(1);
        assertThat(next(posts)).isEqualTo("POST /status {\"message\":\"r1\",\"outcome\":\"given_up\"}\n");
        addNotice(2, true, 500.2);
        assertThat(next(confirmed)).isEqualTo(2);
        assertThat(next(posts))
                .isEqualTo("POST /status {\"message\":\"r2\",\"outcome\":\"handed_back\",\"retry_in_ms\":500}\n");
        addNotice(3, true, 0);
        assertThat(next(confirmed)).isEqualTo(3);
        assertThat(next(posts)).doesNotContain("retry_in_ms");
    }

    @Test
    void aNoticeIsRepeatedUntilItIsConfirmed() throws Exception {
        platform(r -> {
            switch (calls.get()) {
                case 1 -> r.reset();
                case 2 -> r.answer(503);
                case 3 -> {}
                default -> r.answer(204);
            }
        });
        addNotice(1, false, 0);
        assertThat(next(confirmed)).isEqualTo(1);
        assertThat(calls.get()).isEqualTo(4);
        assertThat(confirmed).isEmpty();
    }

    @Test
    void anUnreadableNoticeDelaysNoOther() throws Exception {
        platform(r -> r.answer(new String(r.body(), StandardCharsets.UTF_8).contains("r1") ? 400 : 204));
        loop.post(() -> {
            notices.add(1, "r1", new PendingNotice(false, 0), loop.now() + 300);
            notices.add(2, "r2", new PendingNotice(false, 0), loop.now() + 300);
        });
        assertThat(next(confirmed)).isEqualTo(2);
    }
}
