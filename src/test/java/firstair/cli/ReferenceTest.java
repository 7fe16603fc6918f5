package firstair.cli;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.config.Item;
import firstair.config.Read;
import firstair.config.Values;
import firstair.relay.Limits;
import firstair.relay.TunableSettings;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

class ReferenceTest {
    @Test
    void thePageIsWhatTheSchemaSays() throws Exception {
        assertThat(Files.readString(Path.of("docs", "configuration.md"))).isEqualTo(ConfigCommand.page());
    }

    /** On a heap that is large enough for them: {@code LimitsTest} has a small one. */
    @Test
    void usualValuesAreWhatHoldsWithoutThem() {
        Map<String, String> usual = new HashMap<>();
        Map<String, String> origins = new HashMap<>();
        for (Item i : TunableSettings.schema().items()) {
            usual.put(i.path(), i.usual());
            origins.put(i.path(), "test");
        }
        Values all = Read.texts(usual, origins, TunableSettings.schema()).values();
        Limits l = Limits.of(0, 0, 256_000_000, 0, 0, 0);
        assertThat(l.tuned(all)).isEqualTo(l);
        assertThat(l.tuned(Values.NONE)).isSameAs(l);
    }

    @Test
    void everyItemReachesALimit() {
        Limits l = Limits.of(0, 0, 64_000_000, 0, 0, 0);
        for (Item i : TunableSettings.schema().items()) {
            if (i.path().startsWith("fleet.")) {
                continue; // FleetConfigTest has these
            }
            String other = i.kind().write(i.kind().read(i.usual()) == i.most() ? i.least() : i.most());
            Values one = Read.texts(Map.of(i.path(), other), Map.of(i.path(), "test"), TunableSettings.schema())
                    .values();
            assertThat(l.tuned(one)).as(i.path()).isNotEqualTo(l);
        }
    }

    @Test
    void theFileUnderDeployCanBeUsedAndChangesNothing() throws Exception {
        Path file = Path.of("deploy", "settings.toml");
        Read r = Read.toml("settings.toml", Files.readAllBytes(file), TunableSettings.schema());
        assertThat(r.faults()).isEmpty();
        Limits l = Limits.of(0, 0, 64_000_000, 0, 0, 0);
        assertThat(l.tuned(r.values())).isEqualTo(l);
    }
}
