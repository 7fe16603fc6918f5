package firstair.relay.discovery;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class JsonObjectsTest {
    private static final int MOST = 100;
    private static final String INDENTED =
            "{\r\n\t\"a\" : [ 1,\n\n  {\"b\": \"\u00fc\ud83d\ude00 }]{\\\\\"} ,\n" + " true, -1.5E+3 ]\n}";
    private static final String COMPACT = "{\"c\":\"\\\"{\",\"d\":{}}";

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Test
    void objectsAreCutOutOfPiecesOfAnySizeAndHandedOnWithTheirLastBrace() {
        String text = " \n" + INDENTED + COMPACT + "\r\n\n\n" + COMPACT; // two without anything between, no end behind
        byte[] all = bytes(text);
        for (int first = 0; first <= all.length; first++) {
            for (int second = first; second <= all.length; second++) {
                List<String> objects = new ArrayList<>();
                JsonObjects o = new JsonObjects(MOST, objects::add);
                o.feed(all, 0, first);
                o.feed(all, first, second - first);
                o.feed(all, second, all.length - second);
                assertThat(objects).as("cut at %d and %d", first, second).containsExactly(INDENTED, COMPACT, COMPACT);
            }
        }
    }

    @Test
    void anEmptyLineSaysSomethingBetweenObjectsAndNothingWithinOne() {
        JsonObjects o = new JsonObjects(MOST, t -> {});
        assertThat(o.feed(bytes("\n"), 0, 1)).isTrue();
        assertThat(o.feed(bytes("\n{\"a\":"), 0, 6)).isTrue();
        assertThat(o.feed(bytes("\r\n\n"), 0, 3)).isFalse();
        assertThat(o.feed(bytes("1}\n"), 0, 3)).isTrue();
        assertThat(o.feed(bytes("\n"), 0, 1)).isTrue();
    }

    @Test
    void oneObjectHasABoundAndTheirSumHasNone() {
        List<String> objects = new ArrayList<>();
        JsonObjects o = new JsonObjects(COMPACT.length(), objects::add);
        byte[] fits = bytes(COMPACT.repeat(9) + "\n".repeat(99));
        o.feed(fits, 0, fits.length);
        assertThat(objects).hasSize(9);
        byte[] over = bytes("{ " + COMPACT.substring(1));
        assertThatThrownBy(() -> o.feed(over, 0, over.length)).hasMessageContaining("too long");
    }

    /** Whatever followed them, their end would never be found, or not where it is. */
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
    void whatCannotBecomeAnObjectIsToldAtOnce(String text) {
        byte[] all = bytes(text);
        assertThatThrownBy(() -> new JsonObjects(MOST, t -> {}).feed(all, 0, all.length))
                .isInstanceOf(IllegalArgumentException.class);
    }

    @Test
    void noneIsNestedForEver() {
        byte[] deep = bytes("{\"a\":" + "[".repeat(MOST));
        assertThatThrownBy(() -> new JsonObjects(deep.length, t -> {}).feed(deep, 0, deep.length))
                .hasMessageContaining("out of place");
    }
}
