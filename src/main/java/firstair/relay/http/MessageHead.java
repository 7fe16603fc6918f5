package firstair.relay.http;

import java.util.Locale;
import java.util.Map;

/**
 * Start line and headers of a message. Header names are in lower case; the values of a repeated header are joined by
 * commas.
 */
public final class MessageHead {
    private final String[] startLine;
    private final Map<String, String> headers;
    private final long contentLength;

    MessageHead(String[] startLine, Map<String, String> headers, long contentLength) {
        this.startLine = startLine;
        this.headers = headers;
        this.contentLength = contentLength;
    }

    /** The announced length of the body in bytes, or -1. */
    public long contentLength() {
        return contentLength;
    }

    /** The method of a request. */
    public String method() {
        return startLine[0];
    }

    /** The target of a request, without its query. */
    public String path() {
        int query = startLine[1].indexOf('?');
        return query < 0 ? startLine[1] : startLine[1].substring(0, query);
    }

    /** The status code of a response. */
    public int status() {
        return Integer.parseInt(startLine[1]);
    }

    /** The value of a header, or null. */
    public String header(String lowerCaseName) {
        return headers.get(lowerCaseName);
    }

    /** Whether the sender of this message keeps the connection open after it, according to version and headers. */
    public boolean keepAlive() {
        String version = startLine[0].startsWith("HTTP/") ? startLine[0] : startLine[2];
        return version.equals("HTTP/1.0") ? lists("connection", "keep-alive") : !lists("connection", "close");
    }

    /** Whether a header with a list of values has an element, which is given in lower case; case is ignored. */
    public boolean lists(String lowerCaseName, String element) {
        String value = headers.get(lowerCaseName);
        if (value == null) {
            return false;
        }
        for (String part : value.split(",")) {
            if (part.trim().toLowerCase(Locale.ROOT).equals(element)) {
                return true;
            }
        }
        return false;
    }
}
