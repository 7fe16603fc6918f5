package firstair.relay.endpoints;

import com.google.gson.Strictness;
import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import firstair.control.Controller.Load;
import firstair.control.Controller.Result;
import firstair.relay.http.MessageHead;
import java.io.IOException;
import java.io.StringReader;

/** Interprets endpoints' HTTP responses: how the attempts of a call ended, and the load reports they carry. */
final class Responses {
    /** Header with the time for which the endpoint wants no further calls. */
    static final String RETRY_AFTER = "retry-after";

    private static final double MS_PER_S = 1000;
    private static final int STATUS_OK = 200;

    /** How an attempt ended, and whether the message needs no further attempt. */
    record AttemptEnd(Result result, boolean messageDone) {}

    private Responses() {}

    /**
     * The end of all messages of a call by the status of its response; null if the body has the end of each message.
     *
     * @param bundle        whether the call was sent with several messages
     * @param newConnection whether the call was the first on its connection
     */
    static AttemptEnd fromStatus(MessageHead head, boolean bundle, boolean newConnection) {
        if (newConnection && connectionRejected(head)) {
            return new AttemptEnd(Result.CROWDED, false);
        }
        if (bundle && head.status() == STATUS_OK) {
            return null;
        }
        return switch (head.status()) {
            case STATUS_OK -> new AttemptEnd(Result.OK, true);
            case 429 -> new AttemptEnd(Result.FULL, false);
            case 503 -> new AttemptEnd("1".equals(head.header("x-over-slots")) ? Result.NOT_SENT : Result.FULL, false);
            case 504 -> new AttemptEnd(Result.NOT_SENT, false);
            case 410 -> new AttemptEnd(Result.NOT_SENT, true);
            // If the endpoint could not parse the body, or it has too many messages, none of them has run.
            case 400, 413 -> new AttemptEnd(bundle ? Result.NOT_SENT : Result.ERROR, false);
            default -> new AttemptEnd(Result.ERROR, false);
        };
    }

    /**
     * Whether a new connection was rejected, rather than the call on it: the endpoint closes it at once, and sends
     * neither a wait nor a limit, since it has not checked any. Treating this as a rejected call would slow down all
     * calls that the endpoint does serve.
     */
    private static boolean connectionRejected(MessageHead head) {
        return head.status() == 503
                && "close".equalsIgnoreCase(head.header("connection"))
                && head.header("retry-after") == null
                && head.header("server-load") == null
                && head.header("x-over-slots") == null;
    }

    /** The end of one message of several by its entry in the body; a message without an entry may have run. */
    static AttemptEnd fromEntry(String entry) {
        return switch (entry == null ? "" : entry) {
            case "ok" -> new AttemptEnd(Result.OK, true);
            case "later" -> new AttemptEnd(Result.FULL, false);
            case "gone" -> new AttemptEnd(Result.NOT_SENT, true);
            case "exhausted" -> new AttemptEnd(Result.NOT_SENT, false);
            default -> new AttemptEnd(Result.ERROR, false);
        };
    }

    /** The value of the header {@link #RETRY_AFTER} in milliseconds, 0 if there is none. */
    static double retryAfterMs(MessageHead head) {
        String text = head.header(RETRY_AFTER);
        return text == null ? 0 : retryAfterMs(text);
    }

    /** Parses one value of the header {@link #RETRY_AFTER}: milliseconds, 0 if it is not valid. */
    static double retryAfterMs(String text) {
        try {
            double seconds = Double.parseDouble(text);
            return seconds > 0 && seconds < Integer.MAX_VALUE ? seconds * MS_PER_S : 0;
        } catch (NumberFormatException e) {
            return 0; // the header may also hold a date, which no endpoint here sends
        }
    }

    /**
     * The load report in a response. It is read member by member: building a tree of whatever an endpoint sends, such
     * as thousands of nested brackets, could overflow the stack of the loop's thread and so terminate the relay.
     */
    static Load load(MessageHead head) {
        String text = head.header("server-load");
        if (text == null) {
            return Load.NONE;
        }
        double left = Double.NaN;
        double limit = Double.NaN;
        try (JsonReader reader = new JsonReader(new StringReader(text))) {
            reader.setStrictness(Strictness.LENIENT);
            reader.beginObject();
            while (reader.hasNext()) {
                String name = reader.nextName();
                if (name.equals("x0")) {
                    left = loadValue(reader);
                } else if (name.equals("x1")) {
                    limit = loadValue(reader);
                } else {
                    reader.skipValue();
                }
            }
            reader.endObject();
            return reader.peek() == JsonToken.END_DOCUMENT ? new Load(left, limit) : Load.NONE;
        } catch (IOException | IllegalStateException | NumberFormatException e) {
            return Load.NONE;
        }
    }

    /** One value of a report, NaN if it is not a valid limit: such a value would block all calls or limit none. */
    private static double loadValue(JsonReader reader) throws IOException {
        JsonToken kind = reader.peek();
        if (kind != JsonToken.NUMBER && kind != JsonToken.STRING) {
            reader.skipValue();
            return Double.NaN;
        }
        double value = reader.nextDouble();
        return value >= 0 && value < Integer.MAX_VALUE ? value : Double.NaN;
    }
}
