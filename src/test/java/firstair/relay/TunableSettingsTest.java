package firstair.relay;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.config.Values;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class TunableSettingsTest {
    @Test
    void changedTextsAreReportedAndFleetSettingsWaitForTheNextStart() {
        Values before = TunableSettings.read(Map.of(
                "FIRSTAIR_FLEET_NAME", "f", "FIRSTAIR_FLEET_PEERS", "a=x:1,b=x:2", "FIRSTAIR_PLATFORM_POSTS", "9"));
        Values after = TunableSettings.read(Map.of(
                "FIRSTAIR_FLEET_NAME",
                "g",
                "FIRSTAIR_FLEET_PEERS",
                "a=x:1 , b=x:2",
                "FIRSTAIR_FLEET_BOOKINGS",
                "true"));
        assertThat(TunableSettings.changes(before, after))
                .isEqualTo(List.of(
                        "settings: platform.posts is 8, was 9",
                        "settings: fleet.name is \"g\", was \"f\"; waits for the next start",
                        "settings: fleet.bookings is true, was false; waits for the next start"));
        assertThat(TunableSettings.changes(after, after)).isEmpty();
    }
}
