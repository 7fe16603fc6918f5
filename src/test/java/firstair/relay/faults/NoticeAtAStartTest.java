package firstair.relay.faults;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Row R2. A notice is in time until 0.3 s behind its message's time, and until 1.5 s behind the ready of a relay that
 * was ended before: that is for what the last process left, for the first process of a relay there is no such time.
 *
 * <p>What happened: all notices of a process were planned as if they had until 1.5 s behind its ready. Those of a first
 * start waited for each post that was lost as if there were plenty of time. What showed it, in a soak beside busy
 * processes (seed 219, a notice 351 ms behind its message's time, 1.0 s behind the first ready): {@code message
 * s219c4-5: over with 504, 36 ms left} and {@code notices 4: post, 159 ms of patience}, where a third of what is left
 * is 112 ms.
 */
class NoticeAtAStartTest extends FaultTest {
    private static final int TIME_MS = 600;

    @Test
    void aNoticeIsInTimeBehindTheFirstStartThoughTwoPostsAreLost() throws Exception {
        stage.platform.silentPosts(2);
        stage.behaviour = r -> {}; // so that the message has its end with its time
        stage.node.start();
        double end = stage.take("m", "unsafe", TIME_MS) + TIME_MS;
        assertThat(stage.notice("m", end + 2000).atMs())
                .as("its time ended at %s", end)
                .isLessThan(end + 300);
    }
}
