package firstair.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** What the operators require of the source of the controller. */
class ModuleTest {
    private static final Path MODULE = Path.of("src/main/java/firstair/control/Control.java");
    private static final int WIDEST = 110;

    private static List<String> lines(Path file) throws IOException {
        return Files.readAllLines(file);
    }

    @Test
    void itsLinesCanBePrinted() throws IOException {
        assertThat(lines(MODULE)).noneMatch(l -> l.length() > WIDEST);
    }

    /** The operators review the files named in the deploy file; a decision in another file would be missed. */
    @Test
    void everyFileThatDecidesIsNamedByTheDeployFile() throws IOException {
        String policy = lines(Path.of("deploy/balancer.toml")).stream()
                .filter(l -> l.startsWith("policy = "))
                .findFirst()
                .orElseThrow();
        try (Stream<Path> all = Files.list(MODULE.getParent())) {
            assertThat(all.map(Path::toString))
                    .filteredOn(f -> !f.endsWith("/Controller.java") && !f.endsWith("package-info.java"))
                    .allSatisfy(f -> assertThat(policy).contains('"' + f + '"'));
        }
    }

    @Test
    void theModuleAndItsInterfaceUseTheLanguageAlone() throws IOException {
        for (String name : List.of("Control.java", "Controller.java")) {
            assertThat(lines(MODULE.resolveSibling(name)).stream().filter(l -> l.startsWith("import ")))
                    .allMatch(l -> l.startsWith("import java.util."));
        }
        assertThat(Files.readString(MODULE))
                .doesNotContain("firstair.simhost", "System.", "Thread", "java.io", "java.time", "Math.random");
    }

    @Test
    void theHeadNamesTheInterface() throws IOException {
        assertThat(lines(MODULE).subList(0, 12)).anyMatch(l -> l.contains("Controller.java"));
    }

    @Test
    void instancesShareNothingThatChanges() throws IOException {
        assertThat(lines(MODULE).stream().filter(l -> l.strip().startsWith("private static ") && l.contains(" = ")))
                .allMatch(l -> l.contains(" static final "));
    }
}
