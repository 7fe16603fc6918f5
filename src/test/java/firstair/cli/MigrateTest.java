package firstair.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class MigrateTest {
    private static final Path EXAMPLE = Path.of("examples", "config.json");

    @TempDir
    private Path folder;

    /** Runs the command; the status, then what it told, then what it found wrong. */
    private static List<String> migrate(Object... words) {
        PrintStream out = System.out;
        PrintStream err = System.err;
        ByteArrayOutputStream told = new ByteArrayOutputStream();
        ByteArrayOutputStream wrong = new ByteArrayOutputStream();
        System.setOut(new PrintStream(told, true, StandardCharsets.UTF_8));
        System.setErr(new PrintStream(wrong, true, StandardCharsets.UTF_8));
        try {
            List<String> line = new ArrayList<>(List.of("config", "migrate"));
            Stream.of(words).map(Object::toString).forEach(line::add);
            int status = Cli.run(line.toArray(new String[0]));
            return List.of(String.valueOf(status), told.toString(StandardCharsets.UTF_8),
                    wrong.toString(StandardCharsets.UTF_8));
        } finally {
            System.setOut(out);
            System.setErr(err);
        }
    }

    private static JsonObject settings(Path file) throws IOException {
        return JsonParser.parseString(Files.readString(file)).getAsJsonObject().getAsJsonObject("settings");
    }

    @Test
    void theCounterpartSaysWhatTheOldFileLeftOutAndKeepsTheRest() throws Exception {
        Path old = folder.resolve("old.json");
        Files.writeString(old, Files.readString(EXAMPLE).replaceFirst("\\{", "{\"ours\": 7,"));
        String before = Files.readString(old);
        Path out = folder.resolve("new.json");
        List<String> told = migrate(old, "--out", out, "--reports", "none", "--weights", "nominal",
                "--drain-grace", 250);
        assertThat(told.get(0)).as(told.toString()).isEqualTo("0");
        assertThat(told.get(1)).contains("written: settings.loadReport.how = none", "weightKind = nominal",
                "drainGrace = 250", "not carried over: settings.accounts", "not carried over: ours: not known");
        assertThat(settings(out).getAsJsonObject("loadReport").get("how").getAsString()).isEqualTo("none");
        assertThat(settings(out).getAsJsonObject("familyInfo")).isEqualTo(settings(old).getAsJsonObject("familyInfo"));
        assertThat(Files.readString(out)).contains("\"ours\": 7");
        assertThat(Files.readString(old)).isEqualTo(before);
    }

    @Test
    void onItsOwnOutputItChangesNothing() throws Exception {
        Path once = folder.resolve("once.json");
        Path twice = folder.resolve("twice.json");
        assertThat(migrate(EXAMPLE, "--out", once).get(0)).isEqualTo("0");
        List<String> told = migrate(once, "--out", twice);
        assertThat(told.get(1)).doesNotContain("written:");
        assertThat(Files.readString(twice)).isEqualTo(Files.readString(once));
    }

    @Test
    void aDryRunWritesNothingAndPrintsTheCounterpart() throws Exception {
        List<String> told = migrate(EXAMPLE, "--dry-run", "--out", folder.resolve("new.json"));
        assertThat(told.get(0)).isEqualTo("0");
        assertThat(told.get(1)).contains("\"loadReport\"", "# written:", "# not carried over:");
        assertThat(folder).isEmptyDirectory();
    }

    @Test
    void itWritesOverNothingUnlessToldAndNeverOverItsInput() throws Exception {
        Path old = Files.copy(EXAMPLE, folder.resolve("old.json"));
        Path out = Files.writeString(folder.resolve("new.json"), "mine");
        assertThat(migrate(old, "--out", out).get(0)).isEqualTo("2");
        assertThat(out).hasContent("mine");
        assertThat(migrate(old, "--out", folder.resolve("./old.json"), "--force").get(0)).isEqualTo("2");
        assertThat(Files.readString(old)).isEqualTo(Files.readString(EXAMPLE));
        assertThat(migrate(old, "--out", out, "--force").get(0)).isEqualTo("0");
        assertThat(settings(out).has("loadReport")).isTrue();
    }

    @ParameterizedTest
    @CsvSource({"'',not a JSON object", "'{\"name\":',not JSON", "'{}',settings: missing",
        "'{\"settings\":{\"classes\":[{}],\"loadReport\":{\"how\":\"shout\"}}}',loadReport.how"})
    void whatNoRelayCouldUseIsOneLine(String text, String fault) throws Exception {
        Path old = Files.writeString(folder.resolve("old.json"), text);
        List<String> told = migrate(old, "--out", folder.resolve("new.json"));
        assertThat(told.get(0)).isEqualTo("2");
        assertThat(told.get(2).lines()).singleElement().asString().contains(fault);
        assertThat(folder.resolve("new.json")).doesNotExist();
    }

    @Test
    void placesThatCannotBeReadOrWrittenAreOneLine() {
        assertThat(migrate(folder, "--dry-run").get(2).lines()).singleElement().asString().contains("cannot be read");
        assertThat(migrate(folder.resolve("none"), "--dry-run").get(0)).isEqualTo("2");
        List<String> told = migrate(EXAMPLE, "--out", folder.resolve("none").resolve("new.json"));
        assertThat(told.get(0)).isEqualTo("2");
        assertThat(told.get(2).lines()).singleElement().asString().contains("cannot be written");
        assertThat(migrate(EXAMPLE, "--dry-run", "--reports", "shout").get(2)).contains("settings.loadReport.how");
    }
}
