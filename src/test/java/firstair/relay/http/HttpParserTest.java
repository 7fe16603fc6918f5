package firstair.relay.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class HttpParserTest {
    private static final int MAX_HEAD = 400;
    private static final int MAX_BODY = 100;

    /** Records what a parser reports. */
    private static final class RecordingSink implements HttpParser.Sink {
        final List<String> messages = new ArrayList<>();
        MessageHead head;
        int status;
        private final StringBuilder body = new StringBuilder();

        @Override
        public void status(int received) {
            status = received;
        }

        @Override
        public void head(MessageHead received) {
            head = received;
        }

        @Override
        public void body(byte[] bytes, int offset, int length) {
            body.append(new String(bytes, offset, length, StandardCharsets.ISO_8859_1));
        }

        @Override
        public void end() {
            messages.add(body.toString());
            body.setLength(0);
        }
    }

    private static byte[] bytes(String text) {
        return text.replace("\n", "\r\n").getBytes(StandardCharsets.ISO_8859_1);
    }

    private static void feed(HttpParser parser, byte[] all, int from, int to) throws HttpException {
        int at = from;
        while (at < to) {
            at += parser.feed(all, at, to - at);
        }
    }

    /** Parses the messages of a text and checks that they do not depend on how the bytes are split. */
    private static List<String> parse(HttpParser.Kind kind, String text) throws HttpException {
        byte[] all = bytes(text);
        RecordingSink whole = new RecordingSink();
        feed(new HttpParser(kind, MAX_HEAD, MAX_BODY, whole), all, 0, all.length);
        for (int split = 0; split <= all.length; split++) {
            RecordingSink sink = new RecordingSink();
            HttpParser parser = new HttpParser(kind, MAX_HEAD, MAX_BODY, sink);
            feed(parser, all, 0, split);
            feed(parser, all, split, all.length);
            assertThat(sink.messages).as("split at %d", split).isEqualTo(whole.messages);
        }
        RecordingSink byteByByte = new RecordingSink();
        HttpParser parser = new HttpParser(kind, MAX_HEAD, MAX_BODY, byteByByte);
        for (int i = 0; i < all.length; i++) {
            feed(parser, all, i, i + 1);
        }
        assertThat(byteByByte.messages).as("byte by byte").isEqualTo(whole.messages);
        return whole.messages;
    }

    @Test
    void bodiesWithALengthAreParsedHoweverTheyAreSplit() throws HttpException {
        assertThat(parse(
                        HttpParser.Kind.REQUEST,
                        "POST /api HTTP/1.1\nContent-Length: 5\n\nhello" + "GET /-/ready HTTP/1.1\nHost: x\n\n"))
                .containsExactly("hello", "");
    }

    @Test
    void chunkedBodiesAreParsedHoweverTheyAreSplit() throws HttpException {
        assertThat(parse(
                        HttpParser.Kind.ANSWER,
                        "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n"
                                + "3\nabc\nA;x=y\n0123456789\n0\nTrailer: z\n\nHTTP/1.1 204 No Content\n\n"))
                .containsExactly("abc0123456789", "");
    }

    @Test
    void aResponseWithoutALengthLastsUntilTheConnectionEnds() throws HttpException {
        RecordingSink sink = new RecordingSink();
        HttpParser parser = new HttpParser(HttpParser.Kind.ANSWER, MAX_HEAD, MAX_BODY, sink);
        byte[] all = bytes("HTTP/1.0 200 OK\n\nall of it");
        feed(parser, all, 0, all.length);
        assertThat(sink.messages).isEmpty();
        assertThat(parser.eof()).isTrue();
        assertThat(sink.messages).containsExactly("all of it");
    }

    @Test
    void anEndInsideAMessageIsDistinguishedFromOneBetweenMessages() throws HttpException {
        HttpParser parser = new HttpParser(HttpParser.Kind.ANSWER, MAX_HEAD, MAX_BODY, new RecordingSink());
        assertThat(parser.eof()).isTrue();
        byte[] all = bytes("HTTP/1.1 200 OK\nContent-Length: 5\n\nhel");
        feed(parser, all, 0, all.length);
        assertThat(parser.eof()).isFalse();
    }

    @Test
    void interimResponsesAreSkipped() throws HttpException {
        assertThat(parse(HttpParser.Kind.ANSWER, "HTTP/1.1 100 Continue\n\nHTTP/1.1 200 OK\nContent-Length: 2\n\nok"))
                .containsExactly("ok");
    }

    @Test
    void feedingStopsAfterEachMessage() throws HttpException {
        HttpParser parser = new HttpParser(HttpParser.Kind.REQUEST, MAX_HEAD, MAX_BODY, new RecordingSink());
        byte[] first = bytes("GET / HTTP/1.1\n\n");
        byte[] both = bytes("GET / HTTP/1.1\n\nGET / HTTP/1.1\n\n");
        assertThat(parser.feed(both, 0, both.length)).isEqualTo(first.length);
        assertThat(parser.between()).isTrue();
    }

    @Test
    void headersAreFoundInAnyCaseAndRepeatedOnesJoined() throws HttpException {
        RecordingSink sink = new RecordingSink();
        byte[] all = bytes("POST /api?x=1 HTTP/1.1\nREQUEST-id:  a b \nConnection: x\nconnection: Close\n\n");
        feed(new HttpParser(HttpParser.Kind.REQUEST, MAX_HEAD, MAX_BODY, sink), all, 0, all.length);
        assertThat(sink.head.header("request-id")).isEqualTo("a b");
        assertThat(sink.head.path()).isEqualTo("/api");
        assertThat(sink.head.keepAlive()).isFalse();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "400 | GET / HTTP/1.1\\nnocolon\\n\\n",
                "400 | GET /HTTP/1.1\\n\\n",
                "400 | G@T / HTTP/1.1\\n\\n",
                "505 | GET / HTTP/2.0\\n\\n",
                "400 | GET / HTTP/1.1\\nbad name: x\\n\\n",
                "400 | POST / HTTP/1.1\\nContent-Length: 1\\nContent-Length: 2\\n\\n",
                "400 | POST / HTTP/1.1\\nContent-Length: -1\\n\\n",
                "400 | POST / HTTP/1.1\\nContent-Length: 1\\nTransfer-Encoding: chunked\\n\\n",
                "501 | POST / HTTP/1.1\\nTransfer-Encoding: gzip\\n\\n",
                "400 | POST / HTTP/1.1\\nTransfer-Encoding: chunked\\n\\nxyz\\n",
                "400 | POST / HTTP/1.1\\nTransfer-Encoding: chunked\\n\\n1\\nab\\n",
                "413 | POST / HTTP/1.1\\nContent-Length: 101\\n\\n",
                "413 | POST / HTTP/1.1\\nTransfer-Encoding: chunked\\n\\n40\\n0123456789012345678901234567890123456789"
                        + "012345678901234567890123\\n40\\n",
            })
    void invalidRequestsAreRejectedWithTheMatchingStatus(int status, String text) {
        assertThatThrownBy(() -> parse(HttpParser.Kind.REQUEST, text.replace("\\n", "\n")))
                .isInstanceOfSatisfying(
                        HttpException.class, e -> assertThat(e.status()).isEqualTo(status));
    }

    /** Invalid input may contain no line end, and a call that waits for one occupies a slot of its endpoint. */
    @Test
    void invalidResponsesAreRejectedByTheirFirstBytes() {
        for (String invalid : new String[] {"\0\1\2", "HTTX", "\r\n\r\n", "HTTP/2", "ok"}) {
            byte[] all = invalid.getBytes(StandardCharsets.ISO_8859_1);
            assertThatThrownBy(() -> feed(
                            new HttpParser(HttpParser.Kind.ANSWER, MAX_HEAD, MAX_BODY, new RecordingSink()),
                            all,
                            0,
                            all.length))
                    .as(invalid)
                    .isInstanceOf(HttpException.class);
        }
    }

    @Test
    void invalidBytesOfARequestAreRejectedBeforeTheLineEnds() {
        byte[] all = {'P', 'O', 0, 7};
        assertThatThrownBy(() -> feed(
                        new HttpParser(HttpParser.Kind.REQUEST, MAX_HEAD, MAX_BODY, new RecordingSink()),
                        all,
                        0,
                        all.length))
                .isInstanceOfSatisfying(
                        HttpException.class, e -> assertThat(e.status()).isEqualTo(400));
    }

    @Test
    void onlyAFewEmptyLinesBeforeARequestAreSkipped() throws HttpException {
        assertThat(parse(HttpParser.Kind.REQUEST, "\n\nGET / HTTP/1.1\n\n\nGET / HTTP/1.1\n\n"))
                .hasSize(2);
        assertThatThrownBy(() -> parse(HttpParser.Kind.REQUEST, "\n\n\n")).isInstanceOf(HttpException.class);
    }

    @Test
    void theStatusLineIsReportedEvenIfTheHeadersAreInvalid() throws HttpException {
        RecordingSink sink = new RecordingSink();
        HttpParser parser = new HttpParser(HttpParser.Kind.ANSWER, MAX_HEAD, MAX_BODY, sink);
        byte[] interim = bytes("HTTP/1.1 102 Wait\n\n");
        feed(parser, interim, 0, interim.length);
        assertThat(sink.status).isZero();
        byte[] all = bytes("HTTP/1.1 200 OK\nno head\n");
        assertThatThrownBy(() -> feed(parser, all, 0, all.length)).isInstanceOf(HttpException.class);
        assertThat(sink.status).isEqualTo(200);
    }

    @Test
    void endlessResponsesAreRejected() {
        assertThatThrownBy(() -> parse(HttpParser.Kind.ANSWER, "HTTP/1.1 200 OK\n\n" + "x".repeat(MAX_BODY + 1)))
                .isInstanceOf(HttpException.class);
        assertThatThrownBy(() -> parse(HttpParser.Kind.ANSWER, "HTTP/1.1 100 Continue\n\n".repeat(MAX_HEAD / 20)))
                .isInstanceOf(HttpException.class);
    }

    @Test
    void endlessHeadersAreRejected() {
        assertThatThrownBy(() -> parse(HttpParser.Kind.REQUEST, "GET / HTTP/1.1\nx: " + "y".repeat(MAX_HEAD)))
                .isInstanceOfSatisfying(
                        HttpException.class, e -> assertThat(e.status()).isEqualTo(431));
    }

    /** Guards against heads of very many short fields, each of which takes many times its bytes on the wire. */
    @Test
    void aHeadHasALimitedNumberOfFields() throws HttpException {
        for (HttpParser.Kind kind : HttpParser.Kind.values()) {
            String start = kind == HttpParser.Kind.REQUEST ? "POST / HTTP/1.1\n" : "HTTP/1.1 204 x\n";
            byte[] most = bytes(start + "a:\n".repeat(128) + "\n");
            RecordingSink sink = new RecordingSink();
            HttpParser parser = new HttpParser(kind, 1000, MAX_BODY, sink);
            for (int i = 0; i < 3; i++) {
                feed(parser, most, 0, most.length);
            }
            assertThat(sink.messages).as("%s", kind).hasSize(3);
            byte[] tooMany = bytes(start + "a:\n".repeat(129));
            assertThatThrownBy(() -> feed(new HttpParser(kind, 1000, MAX_BODY, sink), tooMany, 0, tooMany.length))
                    .isInstanceOf(HttpException.class)
                    .hasMessageContaining("fields");
        }
    }

    /** Guards against bodies in tiny chunks, which take far more time than their content; usual ones are accepted. */
    @Test
    void chunksMayNotBeMuchSmallerThanTheirFraming() throws HttpException {
        String head = "POST / HTTP/1.1\nTransfer-Encoding: chunked\n\n";
        byte[] usual = bytes(head + "8\nabcdefgh\n".repeat(2000) + "0\n\n");
        RecordingSink sink = new RecordingSink();
        feed(new HttpParser(HttpParser.Kind.REQUEST, MAX_HEAD, 16_000, sink), usual, 0, usual.length);
        assertThat(sink.messages).hasSize(1);
        byte[] tiny = bytes(head + "1\na\n".repeat(2000));
        assertThatThrownBy(() ->
                        feed(new HttpParser(HttpParser.Kind.REQUEST, MAX_HEAD, 16_000, sink), tiny, 0, tiny.length))
                .isInstanceOf(HttpException.class)
                .hasMessageContaining("chunks");
    }

    /** Guards against memory that is not counted, or that is kept behind the end of a message. */
    @Test
    void whatIsHeldIsCountedAndReleased() throws HttpException {
        HttpParser parser = new HttpParser(HttpParser.Kind.REQUEST, 16_384, MAX_BODY, new RecordingSink());
        int idle = parser.heldBytes();
        byte[] first = bytes("GET / HTTP/1.1\n" + "a: b\n".repeat(100) + "c: " + "d".repeat(5000));
        feed(parser, first, 0, first.length);
        assertThat(parser.heldBytes()).isGreaterThan(15_000);
        byte[] rest = bytes("\n\n");
        feed(parser, rest, 0, rest.length);
        assertThat(parser.heldBytes()).isEqualTo(idle);
    }
}
