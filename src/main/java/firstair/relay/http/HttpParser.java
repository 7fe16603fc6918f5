package firstair.relay.http;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Incremental parser of HTTP/1.1 messages (RFC 9112), which come in pieces of any size. It stops after the end of each
 * message, so that a pipelined request can wait until the one before it has been answered.
 */
public final class HttpParser {
    /** The kind of message that is parsed. */
    public enum Kind {
        REQUEST,
        ANSWER
    }

    /** Receives the parts of a message as they are parsed. */
    public interface Sink {
        /** The status line of a final (not interim) response; the rest of it may still turn out to be invalid. */
        default void status(int status) {}

        /**
         * A header line of a request or a final response, its name in lower case; the rest may still turn out to be
         * invalid.
         */
        default void header(String name, String value) {}

        /** Start line and headers are complete. */
        void head(MessageHead head) throws HttpException;

        /** A part of the body. The array is valid during the call only. */
        void body(byte[] bytes, int offset, int length) throws HttpException;

        /** The message is complete. */
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

    private static final int INITIAL_LINE_BYTES = 256;
    private static final int MAX_FIELDS = 128; // several times what any peer sends
    private static final int FIELD_BYTES = 144; // two strings and an entry of a map, beside their characters
    private static final int MAX_EXCESS_FRAMING_BYTES = 1024; // of chunks, over the bytes of their content
    private static final int MAX_EMPTY_LINES = 2; // before a request; a peer that sends more is not sending HTTP
    private static final String DELIMITERS = "\"(),/:;<=>?@[\\]{}"; // they are not part of a token
    private static final byte[] RESPONSE_PREFIX = {'H', 'T', 'T', 'P', '/', '1', '.'};

    private final Kind kind;
    private final int maxHead;
    private final long maxBody;
    private final Sink sink;
    private State state = State.START;
    private byte[] line = new byte[INITIAL_LINE_BYTES];
    private int lineLength;
    private int headBytes;
    private int fields; // in the head, and in interim responses before it
    private int headHeldBytes; // of the message that is being received
    private int emptyLines;
    private String[] startLine;
    private Map<String, String> headers = new LinkedHashMap<>();
    private long remaining;
    private long bodyBytes;
    private long chunkFramingBytes; // of a chunked body: what is not content

    /**
     * @param maxHead maximum size of start line and headers, and of trailers, in bytes
     * @param maxBody maximum size of a body, in bytes
     */
    public HttpParser(Kind kind, int maxHead, long maxBody, Sink sink) {
        this.kind = kind;
        this.maxHead = maxHead;
        this.maxBody = maxBody;
        this.sink = sink;
    }

    /** Whether no part of a message has been received since the end of the last one; empty lines do not count. */
    public boolean between() {
        return state == State.START && lineLength == 0 && headBytes == 0;
    }

    /** Whether a part of a message has been received; complete interim responses do not count. */
    public boolean begun() {
        return state != State.START || lineLength > 0;
    }

    /**
     * Parses bytes up to the end of a message at most.
     *
     * @return the number of bytes parsed
     * @throws HttpException if the bytes are not valid or not supported; the parser cannot be used after that
     */
    public int feed(byte[] bytes, int offset, int length) throws HttpException {
        int position = offset;
        int end = offset + length;
        while (position < end) {
            switch (state) {
                case FIXED, CHUNK, TO_CLOSE -> {
                    int count = (int) Math.min(end - position, remaining);
                    if (state == State.TO_CLOSE) {
                        countBody(count); // a body without a length could be endless
                    } else {
                        remaining -= count;
                    }
                    sink.body(bytes, position, count);
                    position += count;
                    if (remaining == 0) {
                        if (state == State.FIXED) {
                            finish();
                            return position - offset;
                        }
                        state = State.CHUNK_END;
                    }
                }
                default -> {
                    byte b = bytes[position++];
                    if (b != '\n') {
                        addToLine(b);
                    } else if (endLine()) {
                        return position - offset;
                    }
                }
            }
        }
        return length;
    }

    /** The bytes of the heap that the message takes which is being received, except its body. */
    public int heldBytes() {
        return line.length + headHeldBytes;
    }

    /** Drops what has been received of a message; the parser cannot be used after that. */
    public void discard() {
        line = new byte[0];
        headers = Map.of();
        headHeldBytes = 0;
    }

    /** Called when the sender has closed the connection; false if that truncated a message. */
    public boolean eof() throws HttpException {
        if (state == State.TO_CLOSE) {
            finish();
            return true;
        }
        return between();
    }

    private void addToLine(byte b) throws HttpException {
        if (++headBytes > maxHead) {
            throw new HttpException(431, "header fields too large");
        }
        if (state == State.START && !isValidInStartLine(b)) {
            throw new HttpException(400, "not HTTP"); // at once, as such input may never contain a line end
        }
        if (lineLength == line.length) {
            line = java.util.Arrays.copyOf(line, line.length * 2);
        }
        line[lineLength++] = b;
    }

    /** Whether a byte is valid at this position of a start line. */
    private boolean isValidInStartLine(byte b) {
        if (kind == Kind.ANSWER && lineLength < RESPONSE_PREFIX.length) {
            return b == RESPONSE_PREFIX[lineLength];
        }
        return b >= ' ' && b < 127 || b == '\r' || b == '\t' || kind == Kind.ANSWER && b < 0;
    }

    /** Handles a complete line; true if it ends the message. */
    private boolean endLine() throws HttpException {
        int length = lineLength > 0 && line[lineLength - 1] == '\r' ? lineLength - 1 : lineLength;
        String text = new String(line, 0, length, StandardCharsets.ISO_8859_1);
        lineLength = 0;
        switch (state) {
            case START -> {
                if (text.isEmpty() && kind == Kind.REQUEST && ++emptyLines <= MAX_EMPTY_LINES) {
                    headBytes = 0; // the empty line is skipped
                } else {
                    parseStartLine(text);
                    state = State.HEADERS;
                }
                return false;
            }
            case HEADERS -> {
                if (!text.isEmpty()) {
                    parseHeader(text);
                    return false;
                }
                return endHead();
            }
            case CHUNK_SIZE -> {
                chunkFramingBytes += headBytes;
                headBytes = 0;
                remaining = parseChunkSize(text);
                if (chunkFramingBytes > MAX_EXCESS_FRAMING_BYTES + bodyBytes) {
                    throw new HttpException(400, "chunks too small"); // each costs far more time than its content
                }
                state = remaining == 0 ? State.TRAILERS : State.CHUNK;
                return false;
            }
            case CHUNK_END -> {
                if (!text.isEmpty()) {
                    throw new HttpException(400, "chunk data longer than the chunk size");
                }
                state = State.CHUNK_SIZE;
                return false;
            }
            default -> {
                if (!text.isEmpty()) {
                    return false; // trailers are ignored
                }
                finish();
                return true;
            }
        }
    }

    private void parseStartLine(String text) throws HttpException {
        startLine = text.split(" ", 3);
        if (kind == Kind.REQUEST) {
            if (startLine.length != 3 || !isToken(startLine[0]) || startLine[1].isEmpty()) {
                throw new HttpException(400, "malformed request line");
            }
            checkVersion(startLine[2]);
        } else {
            if (startLine.length < 2 || startLine[1].length() != 3 || !areDigits(startLine[1], 10)) {
                throw new HttpException(400, "malformed status line");
            }
            checkVersion(startLine[0]);
            int status = Integer.parseInt(startLine[1]);
            if (status >= 200) {
                sink.status(status);
            }
        }
    }

    private static void checkVersion(String text) throws HttpException {
        if (!text.startsWith("HTTP/")) {
            throw new HttpException(400, "HTTP version missing");
        }
        if (!text.equals("HTTP/1.1") && !text.equals("HTTP/1.0")) {
            throw new HttpException(505, "HTTP version not supported");
        }
    }

    private void parseHeader(String text) throws HttpException {
        int colon = text.indexOf(':');
        if (colon <= 0 || !isToken(text.substring(0, colon))) {
            throw new HttpException(400, "malformed header field");
        }
        if (++fields > MAX_FIELDS) {
            throw new HttpException(431, "too many header fields");
        }
        headHeldBytes += FIELD_BYTES + text.length();
        String name = text.substring(0, colon).toLowerCase(Locale.ROOT);
        String value = text.substring(colon + 1).trim();
        headers.merge(name, value, (a, b) -> a + "," + b);
        if (!isInterimResponse()) {
            sink.header(name, value);
        }
    }

    private boolean isInterimResponse() {
        return kind == Kind.ANSWER && startLine[1].charAt(0) == '1';
    }

    private boolean endHead() throws HttpException {
        String transferCoding = headers.get("transfer-encoding");
        String contentLength = headers.get("content-length");
        if (isInterimResponse()) {
            headers = new LinkedHashMap<>();
            state = State.START; // the response follows; maxHead applies to it and its interim responses together
            return false;
        }
        remaining = contentLength == null ? 0 : parseContentLength(contentLength);
        MessageHead head = new MessageHead(startLine, headers, contentLength == null ? -1 : remaining);
        headers = new LinkedHashMap<>();
        releaseLine();
        headBytes = 0;
        bodyBytes = 0;
        chunkFramingBytes = 0;
        int status = kind == Kind.ANSWER ? head.status() : 0;
        if (transferCoding != null) {
            if (!transferCoding.toLowerCase(Locale.ROOT).equals("chunked")) {
                throw new HttpException(501, "transfer coding not supported");
            }
            if (contentLength != null) {
                throw new HttpException(400, "both Content-Length and Transfer-Encoding");
            }
        }
        if (remaining > maxBody) {
            throw new HttpException(413, "content too large");
        }
        sink.head(head);
        if (status == 204 || status == 304) {
            finish();
            return true;
        }
        if (transferCoding != null) {
            state = State.CHUNK_SIZE;
        } else if (remaining > 0) {
            state = State.FIXED;
        } else if (contentLength == null && kind == Kind.ANSWER) {
            state = State.TO_CLOSE;
            remaining = Long.MAX_VALUE;
        } else {
            finish();
            return true;
        }
        return false;
    }

    private static long parseContentLength(String text) throws HttpException {
        String[] values = text.split(",");
        for (String value : values) {
            if (!value.trim().equals(values[0].trim())) {
                throw new HttpException(400, "Content-Length values differ");
            }
        }
        String length = values.length == 0 ? "" : values[0].trim();
        if (length.isEmpty() || length.length() > 18 || !areDigits(length, 10)) {
            throw new HttpException(400, "malformed Content-Length");
        }
        return Long.parseLong(length);
    }

    private long parseChunkSize(String text) throws HttpException {
        int extension = text.indexOf(';');
        String size = (extension < 0 ? text : text.substring(0, extension)).trim();
        if (size.isEmpty() || size.length() > 8 || !areDigits(size, 16)) {
            throw new HttpException(400, "malformed chunk size");
        }
        long count = Long.parseLong(size, 16);
        countBody(count);
        return count;
    }

    private void countBody(long count) throws HttpException {
        bodyBytes += count;
        if (bodyBytes > maxBody) {
            throw new HttpException(413, "content too large");
        }
    }

    private void finish() throws HttpException {
        state = State.START;
        headBytes = 0;
        fields = 0;
        headHeldBytes = 0;
        emptyLines = 0;
        releaseLine();
        sink.end();
    }

    /** A connection may be idle for long behind a long line. */
    private void releaseLine() {
        if (line.length > INITIAL_LINE_BYTES) {
            line = new byte[INITIAL_LINE_BYTES];
        }
    }

    private static boolean areDigits(String text, int radix) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) >= 128 || Character.digit(text.charAt(i), radix) < 0) {
                return false;
            }
        }
        return true;
    }

    /** Whether a text is a token of RFC 9110. */
    private static boolean isToken(String text) {
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c <= ' ' || c >= 127 || DELIMITERS.indexOf(c) >= 0) {
                return false;
            }
        }
        return !text.isEmpty();
    }
}
