package firstair.relay.endpoints;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.control.Controller.Load;
import firstair.control.Controller.Result;
import firstair.relay.http.HttpException;
import firstair.relay.http.HttpParser;
import firstair.relay.http.MessageCollector;
import firstair.relay.http.MessageHead;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ResponsesTest {
    private static MessageHead head(int status, String... headers) throws HttpException {
        MessageHead[] found = new MessageHead[1];
        HttpParser parser = new HttpParser(HttpParser.Kind.ANSWER, 16_384, 0, new MessageCollector() {
            @Override
            protected void complete(MessageHead head, byte[] body) {
                found[0] = head;
            }
        });
        byte[] all = ("HTTP/1.1 " + status + " x\r\n" + String.join("\r\n", headers)
                        + (headers.length > 0 ? "\r\n" : "") + "Content-Length: 0\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
        parser.feed(all, 0, all.length);
        return found[0];
    }

    @ParameterizedTest
    @CsvSource({
        "200,OK,true",
        "500,ERROR,false",
        "429,FULL,false",
        "503,FULL,false",
        "504,NOT_SENT,false",
        "410,NOT_SENT,true",
        "400,ERROR,false",
        "302,ERROR,false"
    })
    void theStatusDeterminesTheEndOfTheAttempt(int status, Result result, boolean messageDone) throws HttpException {
        assertThat(Responses.fromStatus(head(status), false, true))
                .isEqualTo(new Responses.AttemptEnd(result, messageDone));
    }

    @Test
    void aCallBeyondTheSlotsWasNotSent() throws HttpException {
        assertThat(Responses.fromStatus(head(503, "X-Over-Slots: 1"), false, true)
                        .result())
                .isEqualTo(Result.NOT_SENT);
    }

    /** Only the first call on a connection can fail by a rejected connection, and only without further headers. */
    @ParameterizedTest
    @CsvSource({
        "true,Connection: close,X: y,CROWDED",
        "false,Connection: close,X: y,FULL",
        "true,X: y,X: y,FULL",
        "true,Connection: close,Retry-After: 1,FULL",
        "true,Connection: close,Server-Load: {},FULL",
        "true,Connection: close,X-Over-Slots: 1,NOT_SENT"
    })
    void aRejectedNewConnectionIsNotARejectedCall(boolean newConnection, String one, String two, Result result)
            throws HttpException {
        assertThat(Responses.fromStatus(head(503, one, two), false, newConnection)
                        .result())
                .isEqualTo(result);
    }

    @Test
    void aBundleThatTheEndpointCannotParseHasRunNoMessage() throws HttpException {
        assertThat(Responses.fromStatus(head(400), true, true).result()).isEqualTo(Result.NOT_SENT);
        assertThat(Responses.fromStatus(head(413), true, true).result()).isEqualTo(Result.NOT_SENT);
        assertThat(Responses.fromStatus(head(200), true, true)).isNull();
    }

    @ParameterizedTest
    @CsvSource({
        "ok,OK,true",
        "error,ERROR,false",
        "later,FULL,false",
        "gone,NOT_SENT,true",
        "exhausted,NOT_SENT,false",
        "whatever,ERROR,false"
    })
    void theEntryOfAMessageDeterminesItsEnd(String entry, Result result, boolean messageDone) {
        assertThat(Responses.fromEntry(entry)).isEqualTo(new Responses.AttemptEnd(result, messageDone));
    }

    @Test
    void aMessageWithoutAnEntryMayHaveRun() {
        assertThat(Responses.fromEntry((String) null).result()).isEqualTo(Result.ERROR);
    }

    @Test
    void retryAfterIsInSecondsWithDecimals() throws HttpException {
        assertThat(Responses.retryAfterMs(head(429, "Retry-After: 0.75"))).isEqualTo(750);
        assertThat(Responses.retryAfterMs(head(429))).isZero();
        assertThat(Responses.retryAfterMs(head(429, "Retry-After: Wed, 21 Oct 2015 07:28:00 GMT")))
                .isZero();
        assertThat(Responses.retryAfterMs(head(429, "Retry-After: -3"))).isZero();
    }

    @Test
    void invalidLoadReportsAreIgnored() throws HttpException {
        assertThat(Responses.load(head(200, "Server-Load: {\"x0\":0.4,\"x1\":25}")))
                .isEqualTo(new Load(0.4, 25));
        assertThat(Responses.load(head(200, "Server-Load: {\"x1\":25}")).allowanceLeft())
                .isNaN();
        assertThat(Responses.load(head(200, "Server-Load: nonsense"))).isEqualTo(Load.NONE);
        assertThat(Responses.load(head(200, "Server-Load: {\"x0\":\"a\"}"))).isEqualTo(Load.NONE);
        assertThat(Responses.load(head(200))).isEqualTo(Load.NONE);
        // As a limit, each of these would block all calls or limit none.
        for (String value : new String[] {"-5", "1e999", "NaN", "1e300", "[[[", "null"}) {
            assertThat(Responses.load(head(200, "Server-Load: {\"x0\":" + value + ",\"x1\":" + value + "}")))
                    .as(value)
                    .isEqualTo(Load.NONE);
        }
    }

    /** Reports may have other fields, in any order, and none of those that matter here. */
    @Test
    void loadReportsMayHaveOtherFields() throws HttpException {
        assertThat(Responses.load(head(200, "Server-Load: {\"x1\":9.5,\"inflight\":3,\"x0\":1}")))
                .isEqualTo(new Load(1, 9.5));
        assertThat(Responses.load(head(200, "Server-Load: {\"queue\":[1,{\"x1\":2}],\"x0\":0.25}"))
                        .allowanceLeft())
                .isEqualTo(0.25);
        assertThat(Responses.load(head(200, "Server-Load: {\"util\":0.5}"))).isEqualTo(Load.NONE);
        assertThat(Responses.load(head(200, "Server-Load: {}"))).isEqualTo(Load.NONE);
        assertThat(Responses.load(head(200, "Server-Load: {\"x1\":5} {}"))).isEqualTo(Load.NONE);
    }

    /** Runs on a stack as small as that of the loop's thread in production, where an overflow terminates the relay. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {"''|''", "{\"x1\":|}", "{\"q\":|}", "{\"x0\":0.5,\"x1\":|"})
    void deeplyNestedLoadReportsAreIgnored(String prefix, String suffix) throws Exception {
        for (String open : new String[] {"[", "{\"x1\":"}) {
            int times = 15_000 / open.length();
            String text = prefix + open.repeat(times) + "1" + (open.equals("[") ? "]" : "}").repeat(times / 20)
                    + (suffix == null ? "" : suffix);
            String closed = prefix + "[".repeat(7_000) + "1" + "]".repeat(7_000) + (suffix == null ? "" : suffix);
            for (String report : new String[] {text, closed}) {
                MessageHead head = head(200, "Server-Load: " + report);
                AtomicReference<Load> load = new AtomicReference<>();
                AtomicReference<Throwable> fault = new AtomicReference<>();
                Thread loop = new Thread(null, () -> load.set(Responses.load(head)), "small", 256 * 1024);
                loop.setUncaughtExceptionHandler((t, e) -> fault.set(e));
                loop.start();
                loop.join();
                assertThat(fault.get()).as(prefix + open).isNull();
                assertThat(load.get().limitPerS()).as(prefix + open).isNaN();
            }
        }
    }
}
