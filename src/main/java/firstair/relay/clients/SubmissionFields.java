package firstair.relay.clients;

import firstair.relay.http.Head;
import java.util.Locale;

/**
 * What the headers of a submission say.
 *
 * @param requestId    the client's id of this submission
 * @param messageClass number of the class
 * @param destination  number of the destination
 * @param key          the idempotency key, or null
 * @param timeMs       for how many milliseconds the message may still be delivered
 * @param again        whether it was submitted before and refused
 * @param fromDead     whether a relay had it that died or failed to answer
 * @param tenant       whose message it is, or null
 * @param booking      the booking that it draws on, or null
 */
record SubmissionFields(
        String requestId,
        int messageClass,
        int destination,
        String key,
        long timeMs,
        boolean again,
        boolean fromDead,
        String tenant,
        String booking) {

    static final String REQUEST_ID = "request-id";

    private static final int MAX_WORD_CHARS = 128;
    private static final int MAX_DIGITS = 15;
    private static final long NO_NUMBER = -1;

    /** Reads the headers; null if one that is needed is missing or cannot be used. */
    static SubmissionFields read(Head head, RequestHandler requests) {
        String id = head.header(REQUEST_ID);
        Integer messageClass = requests.classes().get(String.valueOf(head.header("request-class")));
        long timeMs = wholeNumber(head.header("request-timeout-ms"));
        String addressing = head.header("x-addressing");
        long destination = wholeNumber(part(addressing, "dest="));
        if (id == null || !isWord(id) || messageClass == null || timeMs == NO_NUMBER) {
            return null;
        }
        if (destination == NO_NUMBER || destination > Integer.MAX_VALUE) {
            return null;
        }
        String key = head.header("idempotency-key");
        if (key == null ? requests.keyed(messageClass) : !isWord(key)) {
            return null;
        }
        String retry = String.valueOf(head.header("client-retry")).trim().toLowerCase(Locale.ROOT);
        return new SubmissionFields(
                id,
                messageClass,
                (int) destination,
                key,
                timeMs,
                retry.equals("1"),
                retry.equals("again"),
                part(addressing, "tenant="),
                part(addressing, "booking="));
    }

    /** Whether a text can stand in a line of a call with several messages. */
    static boolean isWord(String text) {
        return !text.isEmpty()
                && text.length() <= MAX_WORD_CHARS
                && text.chars().allMatch(c -> c > 32 && c < 127);
    }

    private static String part(String addressing, String name) {
        if (addressing != null) {
            for (String part : addressing.split("[;,\\s]+")) {
                if (part.startsWith(name)) {
                    return part.substring(name.length());
                }
            }
        }
        return null;
    }

    private static long wholeNumber(String text) {
        if (text == null || text.isEmpty() || text.length() > MAX_DIGITS) {
            return NO_NUMBER;
        }
        return text.chars().allMatch(c -> c >= '0' && c <= '9') ? Long.parseLong(text) : NO_NUMBER;
    }
}
