package firstair.relay.discovery;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * Cuts bytes that come in pieces of any size into JSON objects. Each is handed on when its last brace has come, for
 * nothing may follow it; white space around it, line ends too, is passed over.
 *
 * <p>Only the end of an object is looked for here, and Gson reads the whole: its own readers wait on their source until
 * a value is there, and these pieces come on the selector's thread, which must not wait. What could put that end off
 * for ever is told at once: Gson tells any other fault when the object is whole.
 */
final class JsonObjects {
    private static final int DEEPEST = Long.SIZE;

    private final int most;
    private final Consumer<String> each;
    private final ByteArrayOutputStream object = new ByteArrayOutputStream();
    private int depth; // braces and brackets that are open, 0 between objects
    private long brackets; // a bit for each of them, the innermost lowest: set for a bracket
    private boolean inText;
    private boolean escaped; // behind a backslash
    private byte before; // last byte of the object that is no white space

    /** @param most bytes of an object at most */
    JsonObjects(int most, Consumer<String> each) {
        this.most = most;
        this.each = each;
    }

    /**
     * Takes a piece.
     *
     * @return false if all of it was white space within an object: that says nothing, as an empty line between two does
     * @throws IllegalArgumentException if this cannot be objects, or one is too long; what follows cannot be told apart
     */
    boolean feed(byte[] bytes, int offset, int length) {
        boolean says = false;
        for (int i = offset; i < offset + length; i++) {
            byte b = bytes[i];
            boolean space = !inText && (b == ' ' || b == '\n' || b == '\r' || b == '\t');
            says |= !space || depth == 0;
            if (space && depth == 0) {
                continue;
            }
            if (object.size() == most) {
                throw new IllegalArgumentException("an object is too long");
            }
            object.write(b);
            if (inText) {
                text(b);
            } else if (!space) {
                outside(b);
                before = b;
            }
            if (depth == 0) {
                String whole = object.toString(StandardCharsets.UTF_8);
                object.reset();
                each.accept(whole);
            }
        }
        return says;
    }

    /** Whether an object has begun whose rest has not come. */
    boolean amid() {
        return depth > 0;
    }

    private void text(byte b) {
        if (b >= 0 && b < ' ') {
            throw new IllegalArgumentException("a text does not end");
        }
        inText = escaped || b != '"';
        escaped = !escaped && b == '\\';
    }

    private void outside(byte b) {
        switch (b) {
            case '{', '[', '"' -> {
                boolean begins = depth == 0 ? b == '{' : "{[,:".indexOf(before) >= 0;
                if (!begins || depth == DEEPEST) {
                    throw stray(b);
                }
                if (b == '"') {
                    inText = true;
                } else {
                    depth++;
                    brackets = brackets << 1 | (b == '[' ? 1 : 0);
                }
            }
            case '}', ']' -> {
                if (depth == 0 || (brackets & 1) != (b == ']' ? 1 : 0)) {
                    throw stray(b);
                }
                depth--;
                brackets >>>= 1;
            }
            default -> {
                if (depth == 0 || !(b >= '0' && b <= '9' || b >= 'a' && b <= 'z' || ",:.+-E".indexOf(b) >= 0)) {
                    throw stray(b);
                }
            }
        }
    }

    private static IllegalArgumentException stray(byte b) {
        return new IllegalArgumentException(String.format("no JSON object: byte %02x out of place", b & 0xff));
    }
}
