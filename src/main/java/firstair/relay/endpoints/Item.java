package firstair.relay.endpoints;

import firstair.relay.http.Bundles;

/**
 * One message in a call.
 *
 * @param attempt    number of this attempt among those of the message
 * @param timeoutMs  how long the answer is waited for
 * @param deadlineAt end of the message's time, on the loop's clock
 * @param last       whether the connection is not to be kept after the call
 */
public record Item(
        long id,
        int attempt,
        String requestId,
        String key,
        byte[] body,
        double timeoutMs,
        double deadlineAt,
        boolean last) {

    /** Its bytes in a call with several messages. */
    public int bundled() {
        return part().bytes();
    }

    Bundles.Part part() {
        return new Bundles.Part(requestId, key, body);
    }
}
