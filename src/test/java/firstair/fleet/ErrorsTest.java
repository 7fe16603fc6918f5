package firstair.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.fleet.fault.Fault;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Each kind of fault is listed in docs/errors.md, raised by the program and covered by a test. */
class ErrorsTest {
    private static String sources(String below) throws IOException {
        StringBuilder all = new StringBuilder();
        try (Stream<Path> files = Files.walk(Path.of(below))) {
            for (Path file : files.filter(f -> f.toString().endsWith(".java")).toList()) {
                if (!file.endsWith("Fault.java") && !file.endsWith("ErrorsTest.java")) {
                    all.append(Files.readString(file));
                }
            }
        }
        return all.toString();
    }

    @Test
    void everyTypeIsInTheTableRaisedAndTested() throws IOException {
        List<String> page = Files.readAllLines(Path.of("docs", "errors.md"));
        String program = sources("src/main/java");
        String tests = sources("src/test/java");
        for (Class<?> type : Fault.class.getPermittedSubclasses()) {
            String name = type.getSimpleName();
            assertThat(page).as(name + " in docs/errors.md").anyMatch(l -> l.contains("`" + name + "`"));
            assertThat(program).as(name + " raised").contains("new Fault." + name + "(");
            String code = page.stream()
                    .filter(l -> l.contains("`" + name + "`"))
                    .findFirst()
                    .orElse("")
                    .split(" ")[1];
            assertThat(tests)
                    .as(name + " covered by a test")
                    .containsPattern("Fault\\." + name + "\\b|\"" + code + "\\b");
        }
    }

    @Test
    void aFaultIsOneLineWithItsCodeAndAStep() {
        Fault fault = new Fault.TenantQuota("acme", 250);
        assertThat(fault.line())
                .isEqualTo("F305: tenant acme is over its quota; come again after the told wait, or raise the quota");
    }
}
