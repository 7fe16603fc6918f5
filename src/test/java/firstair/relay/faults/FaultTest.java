package firstair.relay.faults;

import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Base of the fault tests: a relay in its own process and folder, one endpoint and the platform. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
abstract class FaultTest {
    @TempDir
    Path folder;

    RelayFixture fixture;

    @BeforeEach
    void openFixture() throws Exception {
        fixture = new RelayFixture(folder);
    }

    @AfterEach
    void closeFixture() throws Exception {
        fixture.close();
    }

    /** Matches the endpoint's address in a rule of {@link FaultInjector}. */
    String endpointPort() {
        return ":" + fixture.endpoint.address().getPort();
    }
}
