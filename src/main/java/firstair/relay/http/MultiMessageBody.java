package firstair.relay.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The body of a call with several messages, and the response body with the result of each. */
public final class MultiMessageBody {
    private static final byte[] CRLF = {'\r', '\n'};

    /**
     * One message of a call.
     *
     * @param id   its id
     * @param key  its key, or null
     * @param body its content
     */
    public record Part(String id, String key, byte[] body) {
        private String headerLine() {
            return id + " " + (key == null ? "-" : key) + " " + body.length;
        }

        /** The number of bytes that it adds to the body of a call. */
        public int encodedLength() {
            return headerLine().length() + body.length + 2 * CRLF.length;
        }
    }

    private MultiMessageBody() {}

    /** The body of a call with several messages. */
    public static byte[] write(List<Part> parts) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (Part part : parts) {
            out.writeBytes(part.headerLine().getBytes(StandardCharsets.ISO_8859_1));
            out.writeBytes(CRLF);
            out.writeBytes(part.body());
            out.writeBytes(CRLF);
        }
        return out.toByteArray();
    }

    /**
     * Reads the result of each message, by its id. Each message of the call has exactly one line, which ends with a
     * newline and holds the id and one word. A body that is truncated or has other lines is not trusted at all.
     *
     * @return null if the body is not valid
     */
    public static Map<String, String> readResults(byte[] body, Set<String> ids) {
        String text = new String(body, StandardCharsets.ISO_8859_1);
        if (!text.endsWith("\n")) {
            return null;
        }
        Map<String, String> results = new HashMap<>();
        for (String line : text.split("\n")) {
            String[] words = line.trim().split(" +");
            if (words.length != 2 || !ids.contains(words[0]) || results.put(words[0], words[1]) != null) {
                return null;
            }
        }
        return results.size() == ids.size() ? results : null;
    }
}
