package firstair.relay.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.function.Predicate;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.nio.NIOConnection;

/**
 * The transport filter of clients' connections. Grizzly's own filter closes a connection as soon as its peer has shut
 * down its output; a client may do so after its request and still wait for the response.
 */
final class HalfCloseFilter extends TransportFilter {
    private final Predicate<Connection<?>> keepOpen;
    private final ByteBuffer buffer; // shared: one selector thread reads all connections

    /** @param keepOpen whether a connection still needs a response although its peer has shut down its output */
    HalfCloseFilter(int readBuffer, Predicate<Connection<?>> keepOpen) {
        this.keepOpen = keepOpen;
        this.buffer = ByteBuffer.allocate(readBuffer);
    }

    @Override
    public NextAction handleRead(FilterChainContext ctx) throws IOException {
        NIOConnection connection = (NIOConnection) ctx.getConnection();
        buffer.clear();
        int read;
        try {
            read = ((SocketChannel) connection.getChannel()).read(buffer);
        } catch (IOException e) {
            connection.terminateSilently();
            return ctx.getStopAction();
        }
        if (read > 0) {
            byte[] bytes = new byte[read];
            buffer.flip().get(bytes);
            ctx.setMessage(Buffers.wrap(ctx.getMemoryManager(), bytes));
            return ctx.getInvokeAction();
        }
        if (read < 0 && keepOpen.test(connection)) {
            connection.disableIOEvent(IOEvent.READ); // or the end of the input would be reported again and again
        } else if (read < 0) {
            connection.terminateSilently();
        }
        return ctx.getStopAction();
    }
}
