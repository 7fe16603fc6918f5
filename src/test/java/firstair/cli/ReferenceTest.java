package firstair.cli;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.config.ParsedSettings;
import firstair.config.Setting;
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
    void theReferencePageMatchesTheSchema() throws Exception {
        assertThat(Files.readString(Path.of("docs", "configuration.md"))).isEqualTo(ConfigCommand.referencePage());
    }

    /** On a heap large enough for the defaults; {@code LimitsTest} covers a small one. */
    @Test
    void setToTheirDefaultsTheSettingsChangeNoLimit() {
        Map<String, String> defaults = new HashMap<>();
        Map<String, String> origins = new HashMap<>();
        for (Setting item : TunableSettings.schema().items()) {
            defaults.put(item.path(), item.defaultText());
            origins.put(item.path(), "test");
        }
        Values values = ParsedSettings.fromTexts(defaults, origins, TunableSettings.schema())
                .values();
        Limits limits = Limits.of(0, 0, 256_000_000, 0, 0, 0);
        assertThat(limits.withLocalSettings(values)).isEqualTo(limits);
        assertThat(limits.withLocalSettings(Values.NONE)).isSameAs(limits);
    }

    @Test
    void everyItemChangesALimit() {
        Limits limits = Limits.of(0, 0, 64_000_000, 0, 0, 0);
        for (Setting item : TunableSettings.schema().items()) {
            if (item.path().startsWith("fleet.")) {
                continue; // FleetConfigTest covers these
            }
            String changed =
                    item.kind().format(item.kind().parse(item.defaultText()) == item.max() ? item.min() : item.max());
            Values single = ParsedSettings.fromTexts(
                            Map.of(item.path(), changed), Map.of(item.path(), "test"), TunableSettings.schema())
                    .values();
            assertThat(limits.withLocalSettings(single)).as(item.path()).isNotEqualTo(limits);
        }
    }

    @Test
    void theFileUnderDeployIsValidAndHoldsTheDefaults() throws Exception {
        Path file = Path.of("deploy", "settings.toml");
        ParsedSettings result =
                ParsedSettings.fromToml("settings.toml", Files.readAllBytes(file), TunableSettings.schema());
        assertThat(result.errors()).isEmpty();
        Limits limits = Limits.of(0, 0, 64_000_000, 0, 0, 0);
        assertThat(limits.withLocalSettings(result.values())).isEqualTo(limits);
    }
}
