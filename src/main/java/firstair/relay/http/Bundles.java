package firstair.relay.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Several messages in one body, and the answer that tells how each one ended. */
public final class Bundles {
    private static final byte[] CRLF = {'\r', '\n'};

    /** One message: its id, its key or null, its bytes. */
    public record Part(String id, String key, byte[] body) {
        private String line() {
            return id + " " + (key == null ? "-" : key) + " " + body.length;
        }

        /** Its bytes in the body of a call. */
        public int bytes() {
            return line().length() + body.length + 2 * CRLF.length;
        }
    }

    private Bundles() {}

    /** The body of a call with several messages. */
    public static byte[] write(List<Part> parts) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (Part p : parts) {
            out.writeBytes(p.line().getBytes(StandardCharsets.ISO_8859_1));
            out.writeBytes(CRLF);
            out.writeBytes(p.body());
            out.writeBytes(CRLF);
        }
        return out.toByteArray();
    }

    /**
     * How each message ended, by its id. Null if the text is not whole: each message of the call has one line with
     * one word, and each line an end. What is cut short or padded cannot be trusted in what is left of it either.
     */
    public static Map<String, String> read(byte[] body, Set<String> ids) {
        String text = new String(body, StandardCharsets.ISO_8859_1);
        if (!text.endsWith("\n")) {
            return null;
        }
        Map<String, String> ends = new HashMap<>();
        for (String line : text.split("\n")) {
            String[] words = line.trim().split(" +");
            if (words.length != 2 || !ids.contains(words[0]) || ends.put(words[0], words[1]) != null) {
                return null;
            }
        }
        return ends.size() == ids.size() ? ends : null;
    }
}
