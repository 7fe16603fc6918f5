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
 * The transport's end of the clients' chain. Grizzly's own closes a connection as soon as its peer has ended its
 * sending; a client may do so behind its request and still wait for the answer.
 */
final class HalfCloseFilter extends TransportFilter {
    private final Predicate<Connection<?>> stays;
    private final ByteBuffer buffer; // all connections are read on one selector's thread

    /** @param stays whether a connection whose peer has ended its sending is still owed something */
    HalfCloseFilter(int readBuffer, Predicate<Connection<?>> stays) {
        this.stays = stays;
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
        if (read < 0 && stays.test(connection)) {
            connection.disableIOEvent(IOEvent.READ); // there is nothing more to come, again and again
        } else if (read < 0) {
            connection.terminateSilently();
        }
        return ctx.getStopAction();
    }
}
