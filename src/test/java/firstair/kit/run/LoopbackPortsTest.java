package firstair.kit.run;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

class LoopbackPortsTest {
    private static final int BLOCK = 256;

    @Test
    void twoProcessesGetNoPortTwice() throws Exception {
        LoopbackPorts one = new LoopbackPorts();
        LoopbackPorts other = new LoopbackPorts();
        Set<InetSocketAddress> all = new HashSet<>();
        for (int i = 0; i < BLOCK; i++) {
            assertThat(all.add(one.next())).isTrue();
            assertThat(all.add(other.next())).isTrue();
        }
    }

    @Test
    void aPortInUseIsPassedOver() throws Exception {
        LoopbackPorts ports = new LoopbackPorts();
        InetSocketAddress first = ports.next();
        try (ServerSocket used = new ServerSocket(first.getPort(), 1, first.getAddress())) {
            for (int i = 0; i < 2 * BLOCK; i++) {
                assertThat(ports.next().getPort()).isNotEqualTo(used.getLocalPort());
            }
        }
    }
}
