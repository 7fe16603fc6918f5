package firstair.relay;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class EndedMessagesTest {
    /** Guards against memory that grows with every request: the oldest ends are forgotten. */
    @Test
    void onlyTheLastEndsAreRemembered() {
        EndedMessages ended = new EndedMessages();
        for (int i = 0; i < 5000; i++) {
            ended.add("r" + i, 202);
        }
        assertThat(ended.status("r0")).isNull();
        assertThat(ended.status("r903")).isNull();
        assertThat(ended.status("r904")).isEqualTo(202);
        assertThat(ended.status("r4999")).isEqualTo(202);
    }
}
