package firstair.relay.net;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.relay.Limits;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.nio.NIOConnection;
import org.junit.jupiter.api.Test;

class WireTest {
    /** Small writes would wait for the other side's word on those before, and go with a reset. */
    @Test
    void requestsDoNotWaitInTheSystem() throws Exception {
        Wire wire = new Wire(Limits.of(0, 0, 64_000_000, 0, 0, 0));
        try (ServerSocket there = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Connection<?> c = wire.connect((InetSocketAddress) there.getLocalSocketAddress())
                    .get(10, TimeUnit.SECONDS);
            assertThat(((SocketChannel) ((NIOConnection) c).getChannel()).getOption(StandardSocketOptions.TCP_NODELAY))
                    .isTrue();
        } finally {
            wire.close();
        }
    }
}
