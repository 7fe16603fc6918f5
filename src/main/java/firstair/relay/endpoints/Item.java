package firstair.relay.endpoints;

import firstair.relay.http.MultiMessageBody;

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

    /** Size in bytes within a call that carries several messages. */
    public int bundledBytes() {
        return part().encodedLength();
    }

    MultiMessageBody.Part part() {
        return new MultiMessageBody.Part(requestId, key, body);
    }
}
