package firstair.relay.discovery;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * Splits a byte stream, fed in pieces of any size, into JSON objects. Each object is handed to the consumer as soon as
 * its closing brace has been read, without waiting for further input, since there may be none. White space between
 * objects, line ends included, is skipped.
 *
 * <p>Only the end of each object is detected here; Gson then parses the complete text. Gson's own readers block until a
 * value is available, and the pieces arrive on the selector's thread, which must not block. Errors that could hide the
 * end of an object for ever are rejected at once; Gson reports all others when the object is complete.
 */
final class JsonObjectSplitter {
    private static final int MAX_DEPTH = Long.SIZE; // one bit of openBrackets for each level

    private final int maxBytes;
    private final Consumer<String> consumer;
    private final ByteArrayOutputStream object = new ByteArrayOutputStream();
    private int depth; // open braces and brackets, 0 between objects
    private long openBrackets; // one bit for each open level, the innermost lowest: set for a bracket
    private boolean inString;
    private boolean escaped; // the previous byte was a backslash
    private byte previous; // last byte of the object that is not white space

    /** @param maxBytes size limit of one object */
    JsonObjectSplitter(int maxBytes, Consumer<String> consumer) {
        this.maxBytes = maxBytes;
        this.consumer = consumer;
    }

    /**
     * Reads the next piece of the stream.
     *
     * @return false if all of it was white space inside an object, which is no sign of progress; an empty line between
     *     two objects is one
     * @throws IllegalArgumentException if the bytes cannot be a sequence of objects, or an object is too long; what
     *     follows cannot be split any more
     */
    boolean feed(byte[] bytes, int offset, int length) {
        boolean progress = false;
        for (int i = offset; i < offset + length; i++) {
            byte b = bytes[i];
            boolean space = !inString && (b == ' ' || b == '\n' || b == '\r' || b == '\t');
            progress |= !space || depth == 0;
            if (space && depth == 0) {
                continue;
            }
            if (object.size() == maxBytes) {
                throw new IllegalArgumentException("an object is too long");
            }
            object.write(b);
            if (inString) {
                readInString(b);
            } else if (!space) {
                readOutsideString(b);
                previous = b;
            }
            if (depth == 0) {
                String complete = object.toString(StandardCharsets.UTF_8);
                object.reset();
                consumer.accept(complete);
            }
        }
        return progress;
    }

    /** Whether an object has begun and is not complete yet. */
    boolean insideObject() {
        return depth > 0;
    }

    private void readInString(byte b) {
        if (b >= 0 && b < ' ') {
            throw new IllegalArgumentException("control character in a string");
        }
        inString = escaped || b != '"';
        escaped = !escaped && b == '\\';
    }

    private void readOutsideString(byte b) {
        switch (b) {
            case '{', '[', '"' -> {
                boolean mayBegin = depth == 0 ? b == '{' : "{[,:".indexOf(previous) >= 0;
                if (!mayBegin || depth == MAX_DEPTH) {
                    throw unexpected(b);
                }
                if (b == '"') {
                    inString = true;
                } else {
                    depth++;
                    openBrackets = openBrackets << 1 | (b == '[' ? 1 : 0);
                }
            }
            case '}', ']' -> {
                if (depth == 0 || (openBrackets & 1) != (b == ']' ? 1 : 0)) {
                    throw unexpected(b);
                }
                depth--;
                openBrackets >>>= 1;
            }
            default -> {
                if (depth == 0 || !(b >= '0' && b <= '9' || b >= 'a' && b <= 'z' || ",:.+-E".indexOf(b) >= 0)) {
                    throw unexpected(b);
                }
            }
        }
    }

    private static IllegalArgumentException unexpected(byte b) {
        return new IllegalArgumentException(String.format("not a JSON object: unexpected byte %02x", b & 0xff));
    }
}
