package firstair.relay.endpoints;

import firstair.relay.http.MultiMessageBody;
import firstair.relay.store.StoredMessage;

/**
 * One message in a call.
 *
 * @param attempt    number of this attempt among those of the message
 * @param timeoutMs  time limit for the response
 * @param deadlineAt deadline of the message, on the loop's clock
 * @param closeAfter whether to close the connection after the call rather than keep it
 */
public record Item(
        long id,
        int attempt,
        String requestId,
        String key,
        byte[] body,
        double timeoutMs,
        double deadlineAt,
        boolean closeAfter) {

    /** Size in bytes of a message within a call that carries several. */
    public static int bundledBytes(StoredMessage message) {
        return new MultiMessageBody.Part(message.requestId(), message.key(), message.body()).encodedLength();
    }

    /** Size in bytes within a call that carries several messages. */
    public int bundledBytes() {
        return part().encodedLength();
    }

    MultiMessageBody.Part part() {
        return new MultiMessageBody.Part(requestId, key, body);
    }
}
