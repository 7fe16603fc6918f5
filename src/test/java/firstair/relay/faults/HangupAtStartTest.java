package firstair.relay.faults;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A new configuration that crosses a start ends no process (rows S11, D1). */
class HangupAtStartTest extends FaultTest {
    @ParameterizedTest
    @ValueSource(longs = {20, 50, 100, 150, 200, 300, 400})
    void aSignalInTheFirstMomentsEndsNothing(long afterMs) throws Exception {
        double launched = stage.now();
        stage.node.launch();
        stage.until(launched + afterMs);
        stage.node.signalHangUp();
        stage.node.line("ready at");
        assertThat(stage.node.ended(50)).isFalse();
    }

    /** The operators' own line covers the moments before the script as well. */
    @Test
    void theDeploymentsLineIgnoresTheSignalBeforeAnythingElse() throws Exception {
        List<String> run = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(l -> l.startsWith("run = "))
                .toList();
        assertThat(run).singleElement().asString().startsWith("run = \"trap '' HUP; exec sh deploy/run.sh ");
    }
}
