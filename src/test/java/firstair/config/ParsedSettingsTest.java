package firstair.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Assume;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

class ParsedSettingsTest {
    private static final Schema SCHEMA = new Schema()
            .table("a", "First")
            .item("wait", Kind.DURATION, "1s", 10, 60_000, true, "waits")
            .item("room", Kind.SIZE, "64KiB", 0, 1 << 20, false, "room")
            .table("b.c", "Second")
            .item("many", Kind.COUNT, "8", 1, 100, true, "how many")
            .item("part", Kind.SHARE, "25%", 0, 1, true, "a part")
            .item("on", Kind.FLAG, "true", 0, 1, true, "whether")
            .table("d", "Third")
            .item("word", Kind.TEXT, "", 0, 8, false, "a word")
            .item("some", Kind.NAMES, "x", 1, 3, false, "some words");

    private static ParsedSettings read(String text) {
        return ParsedSettings.fromToml("f", text.getBytes(StandardCharsets.UTF_8), SCHEMA);
    }

    private static List<String> faults(String text) {
        return read(text).errors().stream().map(ConfigError::toString).toList();
    }

    @Test
    void everyKindIsParsedIntoItsUnit() {
        ParsedSettings result = read("\uFEFF[a]\r\nwait = \"1.5s\"\r\nroom = \"2KiB\"\r\n"
                + "[b.c]\r\nmany = 7\r\npart = \"12.5%\"\r\non = false\r\n");
        assertThat(result.errors()).isEmpty();
        assertThat(result.values().number("a.wait", 0)).isEqualTo(1500);
        assertThat(result.values().integer("a.room", 0)).isEqualTo(2048);
        assertThat(result.values().integer("b.c.many", 0)).isEqualTo(7);
        assertThat(result.values().number("b.c.part", 0)).isEqualTo(0.125);
        assertThat(result.values().number("b.c.on", 9)).isZero();
        assertThat(result.values().value("a.wait").origin()).isEqualTo("f:2");
    }

    @Test
    void allErrorsAreReportedAtOnceWithTheirPositions() {
        assertThat(faults("[a]\nwiat = \"1s\"\nroom = \"2MB\"\n[b.c]\nmany = 0\non = 1\npart = 3\n"))
                .containsExactly(
                        "f:2:1: a.wiat: no such name; did you mean a.wait?",
                        "f:3:1: a.room: found 2MB, allowed is a size such as \"64KiB\", "
                                + "\"4MiB\" or \"3MB\" from 0B to 1MiB",
                        "f:5:1: b.c.many: found 0, allowed is a whole number from 1 to 100",
                        "f:6:1: b.c.on: found 1, allowed is true or false",
                        "f:7:1: b.c.part: found 3, allowed is a share such as \"25%\" from 0% to 100%");
    }

    @Test
    void textsAreStrippedAndListsHaveTwoForms() {
        Values values =
                read("[d]\nword = \" 5 # x \"\nsome = [\"a=1:2\",\n  \" b\"]\n").values();
        assertThat(values.text("d.word", "")).isEqualTo("5 # x");
        assertThat(values.names("d.some")).containsExactly("a=1:2", "b");
        assertThat(values.value("d.some").origin()).isEqualTo("f:3");
        assertThat(read("[d]\nsome = 'a , b'\n").values().names("d.some")).containsExactly("a", "b");
        assertThat(values.overriddenBy(ParsedSettings.fromTexts(Map.of("d.some", "c"), Map.of("d.some", "flag"), SCHEMA)
                                .values())
                        .value("d.some"))
                .isEqualTo(new Values.Value(1, "c", "flag", "f:3"));
        assertThat(SCHEMA.item("d.word").format(new Values.Value(2, "\\\"", "", "")))
                .isEqualTo("\"\\\\\\\"\"");
    }

    @Test
    void aValueOfTheWrongTypeIsReportedWithItsPosition() {
        String allowed = ", allowed is a list of texts, 3 at most";
        assertThat(faults("[d]\nword = 5\nsome = [1]\n"))
                .containsExactly(
                        "f:2:1: d.word: found 5, allowed is a text, 8 letters at most",
                        "f:3:1: d.some: found a list" + allowed);
        assertThat(faults("[d]\nword = \"a\\nb\"\nsome = [\"a,b\"]\n"))
                .containsExactly(
                        "f:2:1: d.word: found a b, allowed is a text, 8 letters at most",
                        "f:3:1: d.some: found a list" + allowed);
        for (String invalid : List.of("[]", "'a,,b'", "'a,'", "[\"\"]", "'a,b,c,d'", "true", "{}")) {
            assertThat(faults("[d]\nsome = " + invalid + "\n"))
                    .as(invalid)
                    .singleElement()
                    .asString()
                    .startsWith("f:2:1: d.some: found ")
                    .endsWith(allowed);
        }
        assertThat(faults("[d.word]\nx = 1\n")).singleElement().asString().contains("d.word: found a table");
        assertThat(faults("[d]\nword = '123456789'\n")).hasSize(1);
    }

    @Test
    void invalidTomlAndInvalidUtf8AreReportedWithTheirPosition() {
        assertThat(faults("[a]\nwait = \"1s\"\n[a]\nroom = \"1B\"\n"))
                .singleElement()
                .asString()
                .startsWith("f:3:");
        assertThat(faults("[a]\nwait = \"1s")).singleElement().asString().startsWith("f:2:");
        assertThat(ParsedSettings.fromToml("f", new byte[] {'[', 'a', ']', '\n', 'x', (byte) 0xC3, '('}, SCHEMA)
                        .errors())
                .singleElement()
                .asString()
                .isEqualTo("f:2:2: a byte that is no UTF-8");
        assertThat(ParsedSettings.fromToml("f", new byte[10 << 20], SCHEMA).errors())
                .singleElement()
                .asString()
                .contains("1048576 at most");
        assertThat(faults("a = " + "[".repeat(5000))).singleElement().asString().contains("brackets");
    }

    @Test
    void aKeyWithALineBreakCannotForgeALogLine() {
        assertThat(faults("\"x\\n14:00 INFO all is well\" = 1\n"))
                .singleElement()
                .asString()
                .doesNotContain("\n")
                .startsWith("f:1:1: x 14:00 INFO all is well");
    }

    @Test
    void oneSourceOverridesTheOtherAndBothOriginsAreKnown() {
        Values file = read("[a]\nwait = \"1s\"\nroom = \"1B\"\n").values();
        Values flags = ParsedSettings.fromTexts(Map.of("a.wait", "2s"), Map.of("a.wait", "flag"), SCHEMA)
                .values();
        Values merged = file.overriddenBy(flags);
        assertThat(merged.number("a.wait", 0)).isEqualTo(2000);
        assertThat(merged.value("a.wait").overriddenOrigin()).isEqualTo("f:2");
        assertThat(merged.integer("a.room", 0)).isEqualTo(1);
    }

    @Provide
    Arbitrary<String> almostValidFiles() {
        Arbitrary<String> fragments = Arbitraries.of(
                "[a]",
                "[b.c]",
                "[[a]]",
                "wait",
                "room",
                "many",
                " = ",
                "[d]",
                "word",
                "some",
                "\"1s\"",
                "'x'",
                "\n",
                "\r\n",
                "1",
                "-0.5",
                "true",
                "{",
                "}",
                "[",
                "]",
                "\"",
                "\"\"\"",
                "#",
                ".",
                "1979-05-27",
                "\u0000",
                "\\u",
                "\uD800",
                "é",
                "a.b.c.d = 1\n",
                ",",
                "nan",
                "0x",
                "_");
        return fragments.list().ofMaxSize(30).map(parts -> String.join("", parts));
    }

    @Property(tries = 2000)
    void anyAlmostValidFileGivesValuesOrErrorsOfOneLine(@ForAll("almostValidFiles") String text) {
        ParsedSettings result = read(text);
        for (ConfigError fault : result.errors()) {
            assertThat(fault.toString()).startsWith("f").doesNotContain("\n");
        }
    }

    @Property(tries = 2000)
    void anyBytesGiveValuesOrErrors(@ForAll byte[] bytes) {
        assertThat(ParsedSettings.fromToml("f", bytes, SCHEMA)).isNotNull();
    }

    @Property
    void aFormattedValueParsesToItself(@ForAll Kind kind, @ForAll("amounts") int amount) {
        Assume.that(!kind.isText());
        double value = kind == Kind.FLAG ? amount % 2 : kind == Kind.SHARE ? amount % 101 / 100.0 : amount;
        assertThat(kind.parse(kind.format(value))).isCloseTo(value, org.assertj.core.data.Offset.offset(1e-6));
    }

    @Provide
    Arbitrary<Integer> amounts() {
        return Arbitraries.integers().between(0, 1_000_000_000);
    }
}
