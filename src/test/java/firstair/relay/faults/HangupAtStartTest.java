package firstair.relay.faults;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A SIGHUP that arrives while a relay starts does not terminate it (rows S11, D1). */
class HangupAtStartTest extends FaultTest {
    @ParameterizedTest
    @ValueSource(longs = {20, 50, 100, 150, 200, 300, 400})
    void aSignalDuringTheStartDoesNotEndTheRelay(long afterMs) throws Exception {
        double launchedAt = fixture.now();
        fixture.node.launch();
        fixture.sleepUntil(launchedAt + afterMs);
        fixture.node.sendSighup();
        fixture.node.awaitLine("ready at");
        assertThat(fixture.node.awaitExit(50)).isFalse();
    }

    /** The command in deploy/balancer.toml covers the time before the script runs as well. */
    @Test
    void theDeploymentIgnoresTheSignalBeforeItRunsTheScript() throws Exception {
        List<String> runLines = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .toList();
        assertThat(runLines).singleElement().asString().startsWith("run = \"trap '' HUP; exec sh deploy/run.sh ");
    }
}
