package firstair.relay.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class MultiMessageBodyTest {
    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    @Test
    void eachMessageHasAHeaderLineAndItsUnchangedBytes() {
        byte[] binary = {0, '\r', '\n', (byte) 0xff};
        byte[] body = MultiMessageBody.write(List.of(
                new MultiMessageBody.Part("9b1f", null, bytes("hello")),
                new MultiMessageBody.Part("9b20", "k1", binary)));
        assertThat(body).isEqualTo(bytes("9b1f - 5\r\nhello\r\n9b20 k1 4\r\n\0\r\n\u00ff\r\n"));
    }

    @Test
    void resultsAreReadWithEitherLineEnd() {
        assertThat(MultiMessageBody.readResults(bytes("a ok\r\nb later\nc gone\r\n"), Set.of("a", "b", "c")))
                .isEqualTo(Map.of("a", "ok", "b", "later", "c", "gone"));
    }

    /** A wrong length truncates the body or appends other bytes to it, so the rest may be wrong as well. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "a ok\r\nb lat",
                "a ok\r\n",
                "a ok\r\nb ok",
                "a ok\r\nb ok\r\nnoise\r\n",
                "",
                "a ok\r\na ok\r\nb ok\r\n",
                "a ok\r\nc ok\r\n",
                "a ok yes\r\nb ok\r\n"
            })
    void anInvalidBodyHasNoResults(String text) {
        assertThat(MultiMessageBody.readResults(bytes(text), Set.of("a", "b"))).isNull();
    }
}
