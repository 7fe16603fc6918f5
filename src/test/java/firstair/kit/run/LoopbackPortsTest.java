package firstair.kit.run;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

class LoopbackPortsTest {
    private static final int BLOCK_SIZE = 256;

    @Test
    void twoInstancesNeverReturnTheSamePort() throws Exception {
        LoopbackPorts one = new LoopbackPorts();
        LoopbackPorts other = new LoopbackPorts();
        Set<InetSocketAddress> returned = new HashSet<>();
        for (int i = 0; i < BLOCK_SIZE; i++) {
            assertThat(returned.add(one.next())).isTrue();
            assertThat(returned.add(other.next())).isTrue();
        }
    }

    @Test
    void aPortInUseIsSkipped() throws Exception {
        LoopbackPorts ports = new LoopbackPorts();
        InetSocketAddress first = ports.next();
        try (ServerSocket occupied = new ServerSocket(first.getPort(), 1, first.getAddress())) {
            for (int i = 0; i < 2 * BLOCK_SIZE; i++) {
                assertThat(ports.next().getPort()).isNotEqualTo(occupied.getLocalPort());
            }
        }
    }
}
