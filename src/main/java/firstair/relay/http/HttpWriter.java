package firstair.relay.http;

import java.nio.charset.StandardCharsets;

/** Encodes HTTP/1.1 messages. */
public final class HttpWriter {
    private final StringBuilder head = new StringBuilder(256);

    private HttpWriter(String startLine) {
        head.append(startLine).append("\r\n");
    }

    /** Starts a request with its start line and the {@code Host} header. */
    public static HttpWriter request(String method, String target, String host) {
        return new HttpWriter(method + " " + target + " HTTP/1.1").header("Host", host);
    }

    /** Starts a response with its status line. */
    public static HttpWriter response(int status) {
        return new HttpWriter("HTTP/1.1 " + status + " " + reasonPhrase(status));
    }

    /** Adds a header. */
    public HttpWriter header(String name, String value) {
        head.append(name).append(": ").append(value).append("\r\n");
        return this;
    }

    /** Returns the message with a body and its {@code Content-Length}. */
    public byte[] withBody(byte[] body) {
        header("Content-Length", String.valueOf(body.length));
        byte[] headBytes = withoutBody();
        byte[] message = java.util.Arrays.copyOf(headBytes, headBytes.length + body.length);
        System.arraycopy(body, 0, message, headBytes.length, body.length);
        return message;
    }

    /** Returns the message without a body and without {@code Content-Length}. */
    public byte[] withoutBody() {
        return head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    private static String reasonPhrase(int status) {
        return switch (status) {
            case 100 -> "Continue";
            case 200 -> "OK";
            case 202 -> "Accepted";
            case 400 -> "Bad Request";
            case 404 -> "Not Found";
            case 405 -> "Method Not Allowed";
            case 408 -> "Request Timeout";
            case 411 -> "Length Required";
            case 413 -> "Content Too Large";
            case 429 -> "Too Many Requests";
            case 431 -> "Request Header Fields Too Large";
            case 501 -> "Not Implemented";
            case 503 -> "Service Unavailable";
            case 504 -> "Gateway Timeout";
            case 505 -> "HTTP Version Not Supported";
            default -> "Status";
        };
    }
}
