package firstair.relay.http;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Reads one HTTP/1.1 message after another (RFC 9112) from bytes in pieces of any size. It stops behind the
 * end of each message, so that what follows can wait for an answer.
 */
public final class HttpParser {
    /** What is parsed. */
    public enum Kind {
        REQUEST,
        ANSWER
    }

    /** Gets the parts of a message as they come. */
    public interface Sink {
        /** The first line of an answer that is no interim one: so much is sure, whatever follows. */
        default void first(int status) {}

        /** A header line of an answer that is no interim one, its name in lower case: sure, whatever follows. */
        default void field(String name, String value) {}

        /** Start line and headers are there. */
        void head(Head head) throws HttpException;

        /** A piece of the body, valid during the call only. */
        void body(byte[] bytes, int offset, int length) throws HttpException;

        /** The message is whole. */
        void end() throws HttpException;
    }

    private enum State {
        START,
        HEADERS,
        FIXED,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILERS,
        TO_CLOSE
    }

    private static final int FIRST_LINE_BYTES = 256;
    private static final int EMPTY_LINES = 2; // before a request; a peer that sends more says nothing
    private static final byte[] ANSWER_BEGINS = {'H', 'T', 'T', 'P', '/', '1', '.'};

    private final Kind kind;
    private final int maxHead;
    private final long maxBody;
    private final Sink sink;
    private State state = State.START;
    private byte[] line = new byte[FIRST_LINE_BYTES];
    private int lineLength;
    private int headBytes;
    private int emptyLines;
    private String[] start;
    private Map<String, String> headers = new LinkedHashMap<>();
    private long left;
    private long bodyBytes;

    /**
     * @param maxHead bytes of start line and headers, and of trailers, at most
     * @param maxBody bytes of a body at most
     */
    public HttpParser(Kind kind, int maxHead, long maxBody, Sink sink) {
        this.kind = kind;
        this.maxHead = maxHead;
        this.maxBody = maxBody;
        this.sink = sink;
    }

    /** Whether no part of a message has come since the last one ended; empty lines are none. */
    public boolean between() {
        return state == State.START && lineLength == 0 && headBytes == 0;
    }

    /** Whether a part of a message has come, interim answers that are over aside. */
    public boolean begun() {
        return state != State.START || lineLength > 0;
    }

    /** Takes bytes up to the end of a message and returns how many those are. */
    public int feed(byte[] bytes, int offset, int length) throws HttpException {
        int at = offset;
        int end = offset + length;
        while (at < end) {
            switch (state) {
                case FIXED, CHUNK, TO_CLOSE -> {
                    int n = (int) Math.min(end - at, left);
                    if (state == State.TO_CLOSE) {
                        grow(n); // without a length it could go on for ever
                    } else {
                        left -= n;
                    }
                    sink.body(bytes, at, n);
                    at += n;
                    if (left == 0) {
                        if (state == State.FIXED) {
                            finish();
                            return at - offset;
                        }
                        state = State.CHUNK_END;
                    }
                }
                default -> {
                    byte b = bytes[at++];
                    if (b != '\n') {
                        add(b);
                    } else if (line()) {
                        return at - offset;
                    }
                }
            }
        }
        return length;
    }

    /** The sender has closed; false if that cut a message short. */
    public boolean eof() throws HttpException {
        if (state == State.TO_CLOSE) {
            finish();
            return true;
        }
        return between();
    }

    private void add(byte b) throws HttpException {
        if (++headBytes > maxHead) {
            throw new HttpException(431, "header fields too large");
        }
        if (state == State.START && !begins(b)) {
            throw new HttpException(400, "not HTTP"); // at once: noise may hold no line end
        }
        if (lineLength == line.length) {
            line = java.util.Arrays.copyOf(line, line.length * 2);
        }
        line[lineLength++] = b;
    }

    /** Whether a byte can stand at this place of a first line. */
    private boolean begins(byte b) {
        if (kind == Kind.ANSWER && lineLength < ANSWER_BEGINS.length) {
            return b == ANSWER_BEGINS[lineLength];
        }
        return b >= ' ' && b < 127 || b == '\r' || b == '\t' || kind == Kind.ANSWER && b < 0;
    }

    /** A line is there; true if it ends the message. */
    private boolean line() throws HttpException {
        int length = lineLength > 0 && line[lineLength - 1] == '\r' ? lineLength - 1 : lineLength;
        String text = new String(line, 0, length, StandardCharsets.ISO_8859_1);
        lineLength = 0;
        switch (state) {
            case START -> {
                if (text.isEmpty() && kind == Kind.REQUEST && ++emptyLines <= EMPTY_LINES) {
                    headBytes = 0; // passed over
                } else {
                    startLine(text);
                    state = State.HEADERS;
                }
                return false;
            }
            case HEADERS -> {
                if (!text.isEmpty()) {
                    header(text);
                    return false;
                }
                return headDone();
            }
            case CHUNK_SIZE -> {
                headBytes = 0;
                left = chunkSize(text);
                state = left == 0 ? State.TRAILERS : State.CHUNK;
                return false;
            }
            case CHUNK_END -> {
                if (!text.isEmpty()) {
                    throw new HttpException(400, "a chunk is longer than its size");
                }
                state = State.CHUNK_SIZE;
                return false;
            }
            default -> {
                if (!text.isEmpty()) {
                    return false; // trailers are passed over
                }
                finish();
                return true;
            }
        }
    }

    private void startLine(String text) throws HttpException {
        start = text.split(" ", 3);
        if (kind == Kind.REQUEST) {
            if (start.length != 3 || !token(start[0]) || start[1].isEmpty()) {
                throw new HttpException(400, "malformed request line");
            }
            version(start[2]);
        } else {
            if (start.length < 2 || start[1].length() != 3 || !digits(start[1], 10)) {
                throw new HttpException(400, "malformed status line");
            }
            version(start[0]);
            int status = Integer.parseInt(start[1]);
            if (status >= 200) {
                sink.first(status);
            }
        }
    }

    private static void version(String text) throws HttpException {
        if (!text.startsWith("HTTP/")) {
            throw new HttpException(400, "no HTTP version");
        }
        if (!text.equals("HTTP/1.1") && !text.equals("HTTP/1.0")) {
            throw new HttpException(505, "HTTP version not supported");
        }
    }

    private void header(String text) throws HttpException {
        int colon = text.indexOf(':');
        if (colon <= 0 || !token(text.substring(0, colon))) {
            throw new HttpException(400, "malformed header field");
        }
        String name = text.substring(0, colon).toLowerCase(Locale.ROOT);
        String value = text.substring(colon + 1).trim();
        headers.merge(name, value, (a, b) -> a + "," + b);
        if (kind == Kind.ANSWER && start[1].charAt(0) != '1') {
            sink.field(name, value);
        }
    }

    private boolean headDone() throws HttpException {
        String coding = headers.get("transfer-encoding");
        String announced = headers.get("content-length");
        if (kind == Kind.ANSWER && start[1].charAt(0) == '1') {
            headers = new LinkedHashMap<>();
            state = State.START; // an interim answer: the real one follows, in the room of one head for all of them
            return false;
        }
        left = announced == null ? 0 : length(announced);
        Head head = new Head(start, headers, announced == null ? -1 : left);
        headers = new LinkedHashMap<>();
        headBytes = 0;
        bodyBytes = 0;
        int status = kind == Kind.ANSWER ? head.status() : 0;
        if (coding != null) {
            if (!coding.toLowerCase(Locale.ROOT).equals("chunked")) {
                throw new HttpException(501, "transfer coding not supported");
            }
            if (announced != null) {
                throw new HttpException(400, "both a length and a transfer coding");
            }
        }
        if (left > maxBody) {
            throw new HttpException(413, "content too large");
        }
        sink.head(head);
        if (status == 204 || status == 304) {
            finish();
            return true;
        }
        if (coding != null) {
            state = State.CHUNK_SIZE;
        } else if (left > 0) {
            state = State.FIXED;
        } else if (announced == null && kind == Kind.ANSWER) {
            state = State.TO_CLOSE;
            left = Long.MAX_VALUE;
        } else {
            finish();
            return true;
        }
        return false;
    }

    private static long length(String text) throws HttpException {
        String[] all = text.split(",");
        for (String one : all) {
            if (!one.trim().equals(all[0].trim())) {
                throw new HttpException(400, "lengths that differ");
            }
        }
        String one = all.length == 0 ? "" : all[0].trim();
        if (one.isEmpty() || one.length() > 18 || !digits(one, 10)) {
            throw new HttpException(400, "malformed length");
        }
        return Long.parseLong(one);
    }

    private long chunkSize(String text) throws HttpException {
        int extension = text.indexOf(';');
        String size = (extension < 0 ? text : text.substring(0, extension)).trim();
        if (size.isEmpty() || size.length() > 8 || !digits(size, 16)) {
            throw new HttpException(400, "malformed chunk size");
        }
        long n = Long.parseLong(size, 16);
        grow(n);
        return n;
    }

    private void grow(long n) throws HttpException {
        bodyBytes += n;
        if (bodyBytes > maxBody) {
            throw new HttpException(413, "content too large");
        }
    }

    private void finish() throws HttpException {
        state = State.START;
        headBytes = 0;
        emptyLines = 0;
        sink.end();
    }

    private static boolean digits(String text, int radix) {
        return text.chars().allMatch(c -> c < 128 && Character.digit(c, radix) >= 0);
    }

    /** Whether a text is a token of RFC 9110. */
    private static boolean token(String text) {
        return !text.isEmpty() && text.chars().allMatch(c -> c > 32 && c < 127 && "\"(),/:;<=>?@[\\]{}".indexOf(c) < 0);
    }
}
