package firstair.relay.http;

import java.util.Arrays;

/** Collects the parts of a message and passes the complete message to {@link #complete}. */
public abstract class MessageCollector implements HttpParser.Sink {
    private static final int INITIAL_BODY_BYTES = 512;

    private MessageHead head;
    private byte[] body;
    private int length;

    /** Called with each complete message. */
    protected abstract void complete(MessageHead head, byte[] body);

    @Override
    public void head(MessageHead received) {
        head = received;
        length = 0;
        // No more than the announced length, as hundreds of clients may send large bodies at the same time.
        body = new byte[received.contentLength() < 0 ? INITIAL_BODY_BYTES : (int) received.contentLength()];
    }

    @Override
    public void body(byte[] bytes, int offset, int count) {
        if (length + count > body.length) {
            body = Arrays.copyOf(body, Math.max(length + count, 2 * body.length));
        }
        System.arraycopy(bytes, offset, body, length, count);
        length += count;
    }

    @Override
    public void end() {
        byte[] complete = body.length == length ? body : Arrays.copyOf(body, length);
        body = null;
        complete(head, complete);
    }
}
