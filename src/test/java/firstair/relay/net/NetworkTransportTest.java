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

class NetworkTransportTest {
    /** Without TCP_NODELAY a small write waits for the acknowledgement of the one before, and a reset discards it. */
    @Test
    void requestsAreWrittenWithTcpNoDelay() throws Exception {
        NetworkTransport wire = new NetworkTransport(Limits.of(0, 0, 64_000_000, 0, 0, 0));
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Connection<?> connection = wire.connect((InetSocketAddress) server.getLocalSocketAddress())
                    .get(10, TimeUnit.SECONDS);
            assertThat(((SocketChannel) ((NIOConnection) connection).getChannel())
                            .getOption(StandardSocketOptions.TCP_NODELAY))
                    .isTrue();
        } finally {
            wire.close();
        }
    }
}
