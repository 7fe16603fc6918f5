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

    /** The bytes of the heap that the body takes which is being received. */
    public int heldBytes() {
        return body == null ? 0 : body.length;
    }

    /** Drops what has been received of a message; no part of it may follow. */
    public void discard() {
        head = null;
        body = null;
    }

    @Override
    public void head(MessageHead received) {
        head = received;
        length = 0;
        body = new byte[(int) Math.min(INITIAL_BODY_BYTES, maxLength())];
    }

    /** The announced length of the body. */
    private long maxLength() {
        return head.contentLength() < 0 ? Long.MAX_VALUE : head.contentLength();
    }

    /** The array grows with what is received, not with what is announced, and never beyond that. */
    @Override
    public void body(byte[] bytes, int offset, int count) {
        if (length + count > body.length) {
            body = Arrays.copyOf(body, (int) Math.min(maxLength(), Math.max(length + count, 2 * body.length)));
        }
        System.arraycopy(bytes, offset, body, length, count);
        length += count;
    }

    @Override
    public void end() {
        MessageHead completeHead = head;
        byte[] complete = body.length == length ? body : Arrays.copyOf(body, length);
        discard(); // an idle connection keeps nothing of its last message
        complete(completeHead, complete);
    }
}
