package firstair.relay.endpoints;

import com.google.gson.Strictness;
import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import firstair.control.Controller.Load;
import firstair.control.Controller.Result;
import firstair.relay.http.Head;
import java.io.IOException;
import java.io.StringReader;

/** What endpoints' answers mean in the field's words. */
final class Answers {
    /** The header that tells a wait. */
    static final String WAIT = "retry-after";

    private static final double MS_PER_S = 1000;
    private static final int DELIVERED = 200;

    /** How an attempt ended, and whether the message ended with it. */
    record End(Result result, boolean over) {}

    private Answers() {}

    /**
     * The meaning of a status for all messages of a call; null for the answer that tells each one's end.
     *
     * @param fresh whether the call was the first on its connection
     */
    static End of(Head head, boolean bundle, boolean fresh) {
        if (fresh && atTheDoor(head)) {
            return new End(Result.CROWDED, false);
        }
        if (bundle && head.status() == DELIVERED) {
            return null;
        }
        return switch (head.status()) {
            case DELIVERED -> new End(Result.OK, true);
            case 429 -> new End(Result.FULL, false);
            case 503 -> new End("1".equals(head.header("x-over-slots")) ? Result.NOT_SENT : Result.FULL, false);
            case 504 -> new End(Result.NOT_SENT, false);
            case 410 -> new End(Result.NOT_SENT, true);
            // A body that cannot be read, or with too many messages, has run none of them.
            case 400, 413 -> new End(bundle ? Result.NOT_SENT : Result.ERROR, false);
            default -> new End(Result.ERROR, false);
        };
    }

    /**
     * Whether a new connection was turned away, and not its call: the endpoint closes it at once, and tells neither a
     * wait nor its limit, which it has not looked at. Taken for a refused call, it would slow down all that are served.
     */
    private static boolean atTheDoor(Head head) {
        return head.status() == 503
                && "close".equalsIgnoreCase(head.header("connection"))
                && head.header("retry-after") == null
                && head.header("server-load") == null
                && head.header("x-over-slots") == null;
    }

    /** The end of one message of several; one that the answer does not name may have run. */
    static End of(String word) {
        return switch (word == null ? "" : word) {
            case "ok" -> new End(Result.OK, true);
            case "later" -> new End(Result.FULL, false);
            case "gone" -> new End(Result.NOT_SENT, true);
            case "exhausted" -> new End(Result.NOT_SENT, false);
            default -> new End(Result.ERROR, false);
        };
    }

    /** The wait that an answer tells, in milliseconds, 0 if none. */
    static double waitMs(Head head) {
        String text = head.header(WAIT);
        return text == null ? 0 : waitMs(text);
    }

    /** The wait that one line of the header {@link #WAIT} tells, in milliseconds, 0 if none. */
    static double waitMs(String text) {
        try {
            double s = Double.parseDouble(text);
            return s > 0 && s < Integer.MAX_VALUE ? s * MS_PER_S : 0;
        } catch (NumberFormatException e) {
            return 0; // a date: nothing here tells one
        }
    }

    /**
     * The report that an answer carries. Read member by member: a tree of what an endpoint may write, brackets in
     * brackets by the thousand, would overflow the loop's stack, and the relay would end by it.
     */
    static Load load(Head head) {
        String text = head.header("server-load");
        if (text == null) {
            return Load.NONE;
        }
        double left = Double.NaN;
        double limit = Double.NaN;
        try (JsonReader report = new JsonReader(new StringReader(text))) {
            report.setStrictness(Strictness.LENIENT);
            report.beginObject();
            while (report.hasNext()) {
                String name = report.nextName();
                if (name.equals("x0")) {
                    left = figure(report);
                } else if (name.equals("x1")) {
                    limit = figure(report);
                } else {
                    report.skipValue();
                }
            }
            report.endObject();
            return report.peek() == JsonToken.END_DOCUMENT ? new Load(left, limit) : Load.NONE;
        } catch (IOException | IllegalStateException | NumberFormatException e) {
            return Load.NONE;
        }
    }

    /** A figure of a report. One that no limit can have would stop all calls, or pace none. */
    private static double figure(JsonReader report) throws IOException {
        JsonToken kind = report.peek();
        if (kind != JsonToken.NUMBER && kind != JsonToken.STRING) {
            report.skipValue();
            return Double.NaN;
        }
        double x = report.nextDouble();
        return x >= 0 && x < Integer.MAX_VALUE ? x : Double.NaN;
    }
}
