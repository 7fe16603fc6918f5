package firstair;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class ReloadTriggerTest {
    private final BlockingQueue<Integer> reloads = new LinkedBlockingQueue<>();

    @Test
    void aSignalDuringTheStartReloadsOnceTheRelayServes() throws Exception {
        ReloadTrigger hangups = new ReloadTrigger();
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
        ReloadTrigger hangups = new ReloadTrigger();
        hangups.startServing(() -> reloads.add(1));
        assertThat(reloads).isEmpty();
        hangups.signal();
        assertThat(reloads).hasSize(1);
    }
}
