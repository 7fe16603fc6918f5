package firstair.relay.clients;

import firstair.relay.http.MessageHead;
import java.util.Arrays;
import java.util.Locale;

/**
 * The headers of a submission.
 *
 * @param requestId         the client's id of this submission
 * @param messageClass      number of the class
 * @param destination       number of the destination
 * @param key               the idempotency key, or null
 * @param timeoutMs         for how many milliseconds the message may still be delivered
 * @param previouslyRefused whether it was submitted before and refused
 * @param fromFailedRelay   whether it was submitted to a relay that ended or did not respond
 * @param tenant            the tenant that it belongs to, or null
 * @param booking           the booking that it uses, or null
 */
record SubmissionFields(
        String requestId,
        int messageClass,
        int destination,
        String key,
        long timeoutMs,
        boolean previouslyRefused,
        boolean fromFailedRelay,
        String tenant,
        String booking) {

    static final String REQUEST_ID = "request-id";
    static final String CLIENT_RETRY = "client-retry";

    private static final int MAX_WORD_CHARS = 128;
    private static final int MAX_DIGITS = 15;
    private static final long NOT_A_NUMBER = -1;

    /** Reads the headers; null if a required one is missing or one is invalid. */
    static SubmissionFields read(MessageHead head, RequestHandler requests) {
        String id = head.header(REQUEST_ID);
        Integer messageClass = requests.classes().get(String.valueOf(head.header("request-class")));
        long timeoutMs = wholeNumber(head.header("request-timeout-ms"));
        String addressing = head.header("x-addressing");
        long destination = wholeNumber(addressingValue(addressing, "dest="));
        if (id == null || !isWord(id) || messageClass == null || timeoutMs == NOT_A_NUMBER) {
            return null;
        }
        if (destination == NOT_A_NUMBER || destination > Integer.MAX_VALUE) {
            return null;
        }
        String key = head.header("idempotency-key");
        if (key == null ? requests.keyed(messageClass) : !isWord(key)) {
            return null;
        }
        String retry = String.valueOf(head.header(CLIENT_RETRY));
        return new SubmissionFields(
                id,
                messageClass,
                (int) destination,
                key,
                timeoutMs,
                retry.trim().equals("1"),
                isFromFailedRelay(retry),
                addressingValue(addressing, "tenant="),
                addressingValue(addressing, "booking="));
    }

    /** Whether a value of {@link #CLIENT_RETRY} says that a relay had the message and failed; it may have run there. */
    static boolean isFromFailedRelay(String clientRetry) {
        return Arrays.stream(clientRetry.toLowerCase(Locale.ROOT).split(","))
                .anyMatch(mark -> mark.trim().equals("again"));
    }

    /** Whether a text can be one word in the header lines of a call with several messages. */
    static boolean isWord(String text) {
        return !text.isEmpty()
                && text.length() <= MAX_WORD_CHARS
                && text.chars().allMatch(c -> c > 32 && c < 127);
    }

    private static String addressingValue(String addressing, String name) {
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
            return NOT_A_NUMBER;
        }
        return text.chars().allMatch(c -> c >= '0' && c <= '9') ? Long.parseLong(text) : NOT_A_NUMBER;
    }
}
