package firstair.relay.faults;

import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** What tests of faults share: a relay as a process, beside one partner and the platform, in a folder of its own. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
abstract class FaultTest {
    @TempDir
    Path folder;

    Stage stage;

    @BeforeEach
    void openStage() throws Exception {
        stage = new Stage(folder);
    }

    @AfterEach
    void closeStage() throws Exception {
        stage.close();
    }

    /** The partner as rules of {@link Preload} name it. */
    String partnerPort() {
        return ":" + stage.partner.address().getPort();
    }
}
