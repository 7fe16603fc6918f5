package firstair;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class HangupsTest {
    private final BlockingQueue<Integer> reloads = new LinkedBlockingQueue<>();

    @Test
    void aSignalDuringTheStartReloadsOnceTheRelayServes() throws Exception {
        Hangups hangups = new Hangups();
        hangups.signal();
        hangups.signal();
        assertThat(reloads).isEmpty();
        hangups.startServing(() -> reloads.add(1));
        assertThat(reloads.poll(10, TimeUnit.SECONDS)).isEqualTo(1);
        hangups.signal();
        assertThat(reloads).hasSize(1);
    }

    @Test
    void withoutASignalNothingIsReloaded() {
        Hangups hangups = new Hangups();
        hangups.startServing(() -> reloads.add(1));
        assertThat(reloads).isEmpty();
        hangups.signal();
        assertThat(reloads).hasSize(1);
    }
}
