package firstair.relay.discovery;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class JsonObjectSplitterTest {
    private static final int MAX_BYTES = 100;
    private static final String INDENTED =
            "{\r\n\t\"a\" : [ 1,\n\n  {\"b\": \"\u00fc\ud83d\ude00 }]{\\\\\"} ,\n" + " true, -1.5E+3 ]\n}";
    private static final String COMPACT = "{\"c\":\"\\\"{\",\"d\":{}}";

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Test
    void objectsAreSplitFromPiecesOfAnySizeAndPassedOnWithTheirClosingBrace() {
        String text = " \n" + INDENTED + COMPACT + "\r\n\n\n" + COMPACT; // also without a separator or a last line end
        byte[] all = bytes(text);
        for (int first = 0; first <= all.length; first++) {
            for (int second = first; second <= all.length; second++) {
                List<String> objects = new ArrayList<>();
                JsonObjectSplitter splitter = new JsonObjectSplitter(MAX_BYTES, objects::add);
                splitter.feed(all, 0, first);
                splitter.feed(all, first, second - first);
                splitter.feed(all, second, all.length - second);
                assertThat(objects).as("cut at %d and %d", first, second).containsExactly(INDENTED, COMPACT, COMPACT);
            }
        }
    }

    @Test
    void anEmptyLineIsProgressBetweenObjectsButNotInsideOne() {
        JsonObjectSplitter splitter = new JsonObjectSplitter(MAX_BYTES, t -> {});
        assertThat(splitter.feed(bytes("\n"), 0, 1)).isTrue();
        assertThat(splitter.feed(bytes("\n{\"a\":"), 0, 6)).isTrue();
        assertThat(splitter.feed(bytes("\r\n\n"), 0, 3)).isFalse();
        assertThat(splitter.feed(bytes("1}\n"), 0, 3)).isTrue();
        assertThat(splitter.feed(bytes("\n"), 0, 1)).isTrue();
    }

    @Test
    void theSizeLimitAppliesToEachObjectNotToTheirSum() {
        List<String> objects = new ArrayList<>();
        JsonObjectSplitter splitter = new JsonObjectSplitter(COMPACT.length(), objects::add);
        byte[] fits = bytes(COMPACT.repeat(9) + "\n".repeat(99));
        splitter.feed(fits, 0, fits.length);
        assertThat(objects).hasSize(9);
        byte[] over = bytes("{ " + COMPACT.substring(1));
        assertThatThrownBy(() -> splitter.feed(over, 0, over.length)).hasMessageContaining("too long");
    }

    /** Whatever followed these, the end of the object would be found in the wrong place or never. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "7",
                "\"a\"",
                "[",
                "}",
                "nonsense",
                "{\"a\":1}}",
                "{\"a\":1},",
                "{\"a\":1}\u00e9",
                "{]",
                "{\"a\":[}",
                "{\"a\":{]",
                "{\"a\":[{\"b\":1}{",
                "{\"a\":1 \"",
                "{\"a\":[1[",
                "{\"a\":\"b\n",
                "{\"a\":\"b\"\"",
                "{\"a\":<",
                "{\u00e9",
                "{\"a\":'"
            })
    void malformedObjectsAreRejectedAtOnce(String text) {
        byte[] all = bytes(text);
        assertThatThrownBy(() -> new JsonObjectSplitter(MAX_BYTES, t -> {}).feed(all, 0, all.length))
                .isInstanceOf(IllegalArgumentException.class);
    }

    @Test
    void nestingIsLimited() {
        byte[] deep = bytes("{\"a\":" + "[".repeat(MAX_BYTES));
        assertThatThrownBy(() -> new JsonObjectSplitter(deep.length, t -> {}).feed(deep, 0, deep.length))
                .hasMessageContaining("unexpected byte");
    }
}
