package firstair.relay.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import firstair.config.ParsedSettings;
import firstair.config.Setting;
import firstair.config.Values;
import firstair.fleet.Setup;
import firstair.fleet.booking.Calendar;
import firstair.kit.run.Node;
import firstair.relay.Config;
import firstair.relay.ConfigException;
import firstair.relay.TunableSettings;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.LocalDate;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class FleetConfigTest {
    private static final String THREE_PEERS = "c=127.0.0.1:7003,a=127.0.0.1:7001,b=127.0.0.1:7002";

    private static final String CONTRACTS = "version = 1\n[[contract]]\ntenant = 'acme'\nzones = ['east']\n";

    private static final String CALENDARS = "[[calendar]]\nname = 'bank'\nzone = 'Europe/Berlin'\n"
            + "countries = ['de']\nweekend = ['saturday', 'sunday']\nclosed = ['2026-12-24']\nopens = 08:00:00\n"
            + "closes = '18:00'\n";

    @TempDir
    Path folder;

    private Node node;
    private final Map<String, String> settings = new LinkedHashMap<>();

    @BeforeEach
    void threeRelays() {
        node = new Node(folder, "127.0.0.1:1", "null");
        node.relayGroup("b", 3, 1);
        node.zones(List.of("east", "west"), "west");
        node.fleet("");
        settings.put("fleet.name", "f");
        settings.put("fleet.peers", THREE_PEERS);
        settings.put("fleet.voters", "a,b,c");
    }

    private Config config() throws Exception {
        return Config.read(Map.of("ROUTER_CONFIG", node.write().toString(), "ROUTER_STATE", folder.toString()));
    }

    private static Values values(Map<String, String> texts) {
        Map<String, String> origins = new HashMap<>();
        texts.keySet().forEach(k -> origins.put(k, "test"));
        ParsedSettings r = ParsedSettings.fromTexts(texts, origins, TunableSettings.schema());
        assertThat(r.errors()).isEmpty();
        return r.values();
    }

    private FleetConfig fleet() throws Exception {
        return FleetConfig.of(values(settings), config());
    }

    private void assertRejected(String path, String text, String why) {
        String before = settings.put(path, text);
        assertThatThrownBy(this::fleet)
                .isInstanceOf(ConfigException.class)
                .hasMessageStartingWith("config: field " + path + ": ")
                .hasMessageContaining(why)
                .hasMessageEndingWith(" (F203)")
                .satisfies(e -> assertThat(((ConfigException) e).lines()).hasSize(1));
        if (before == null) {
            settings.remove(path);
        } else {
            settings.put(path, before);
        }
    }

    @Test
    void aFleetMayHaveMoreThanAThousandRelays() throws Exception {
        StringBuilder peers = new StringBuilder(THREE_PEERS);
        for (int i = 3; i < 1200; i++) {
            peers.append(",r")
                    .append(i)
                    .append("=10.0.")
                    .append(i / 200)
                    .append('.')
                    .append(i % 200)
                    .append(":7000");
        }
        settings.put("fleet.peers", peers.toString());
        assertThat(fleet().setup().members())
                .hasSize(1200)
                .startsWith("c", "a", "b")
                .endsWith("r1199");
        assertThat(fleet().setup().guaranteedParts()).isPositive();
    }

    @Test
    void allFieldsOfASettingsFileAreRead() throws Exception {
        Path contracts = Files.writeString(folder.resolve("contracts.toml"), CONTRACTS);
        node.fleet("[fleet]\nname = 'f'\npeers = ['c=127.0.0.1:7003', 'a=127.0.0.1:7001',\n'b=127.0.0.1:7002']\n"
                + "voters = 'a, b, c'\nlisten = '127.0.0.1:7012'\nhello = '100ms'\nquiet = '1s'\ndelay = '200ms'\n"
                + "drift = '2%'\ncut = '40%'\ncontract_term = '5s'\ncontracts = '" + contracts + "'\n"
                + "bookings = true\nfirst = true\n");
        Config c = config();
        FleetConfig f = FleetConfig.of(
                TunableSettings.read(Map.of(
                        TunableSettings.FILE_VARIABLE,
                        folder.resolve("settings.toml").toString())),
                c);
        assertThat(f.setup())
                .isEqualTo(new Setup(
                        "f", "b", "west", List.of("c", "a", "b"), List.of("a", "b", "c"), 100, 1000, 200, 0.02, 0.4));
        assertThat(f.listen()).isEqualTo(new InetSocketAddress("127.0.0.1", 7012));
        assertThat(f.addresses())
                .containsEntry("c", new InetSocketAddress("127.0.0.1", 7003))
                .hasSize(3);
        assertThat(f.sharing().contractTermMs()).isEqualTo(5000);
        assertThat(f.sharing().contracts().keySet()).containsExactly("acme");
        assertThat(f.sharing().tenants() && f.sharing().bookings() && f.first()).isTrue();
    }

    @Test
    void defaultValuesAreThoseOfTheSchema() throws Exception {
        FleetConfig defaults = fleet();
        TunableSettings.schema().items().stream()
                .filter(i -> i.path().startsWith("fleet."))
                .forEach(i -> settings.putIfAbsent(i.path(), i.defaultText()));
        assertThat(fleet()).isEqualTo(defaults);
        assertThat(defaults.listen())
                .as("own address among the peers")
                .isEqualTo(defaults.addresses().get("b"));
        assertThat(defaults.sharing().needsAgreement()).isFalse();
    }

    @Test
    void everySettingOfTheFleetHasAnEffect() throws Exception {
        FleetConfig defaults = fleet();
        Map<String, String> others = new HashMap<>(Map.of(
                "name",
                "g",
                "self",
                "a",
                "listen",
                "127.0.0.1:9",
                "peers",
                THREE_PEERS + ",d=127.0.0.1:7004",
                "voters",
                "c,b,a",
                "hello",
                "400ms",
                "quiet",
                "4s",
                "delay",
                "900ms",
                "drift",
                "2%",
                "cut",
                "10%"));
        others.putAll(Map.of(
                "contract_term",
                "9s",
                "bookings",
                "true",
                "first",
                "true",
                "repeats",
                "20%",
                "bookable",
                "10%",
                "skew",
                "2s",
                "contracts",
                Files.writeString(folder.resolve("c.toml"), CONTRACTS).toString(),
                "calendars",
                Files.writeString(folder.resolve("k.toml"), CALENDARS).toString()));
        for (Setting item : TunableSettings.schema().items()) {
            if (item.path().startsWith("fleet.")) {
                assertThat(item.appliedAtReload()).as(item.path()).isFalse();
                String before = settings.put(item.path(), others.get(item.path().substring("fleet.".length())));
                assertThat(fleet()).as(item.path()).isNotNull().isNotEqualTo(defaults);
                settings.put(item.path(), before == null ? item.defaultText() : before);
            }
        }
    }

    @Test
    void theFleetNeedsANameAndThePlatformsConsent() throws Exception {
        settings.put("fleet.name", "");
        settings.put("fleet.voters", "nonsense");
        assertThat(fleet()).as("no name, whatever else is set").isNull();
        settings.put("fleet.name", "f");
        node = new Node(folder, "127.0.0.1:1", "null");
        assertThat(fleet()).as("limits.peers is false").isNull();
    }

    @Test
    void inconsistentSettingsAreRejectedWithTheirField() {
        assertRejected("fleet.name", "two words", "letters");
        assertRejected("fleet.self", "z", "z is not among fleet.peers");
        assertRejected("fleet.peers", "", "no relay is listed");
        assertRejected("fleet.peers", "a=127.0.0.1:7001,b=127.0.0.1:7002", "2 relays, but the platform runs 3");
        assertRejected("fleet.peers", THREE_PEERS + ",a=127.0.0.1:7009", "a is listed twice");
        assertRejected("fleet.peers", THREE_PEERS + ",d=127.0.0.1:7001", "d and a have the same address");
        for (String invalid : List.of(
                "127.0.0.1:7004", "d=127.0.0.1", "d=127.0.0.1:70000", "d=:7004", "d d=1:1", "=x:1", "d=127.0.0.1:0")) {
            assertRejected("fleet.peers", THREE_PEERS + "," + invalid, "port");
        }
        assertRejected("fleet.listen", "here", "not host:port: here");
        assertRejected("fleet.listen", "[::1:7001", "no such host: [::1");
        assertRejected("fleet.voters", "a,b", "2 names, 3 or 5");
        assertRejected("fleet.voters", "", "0 names");
        assertRejected("fleet.voters", "a,b,a", "twice");
        assertRejected("fleet.voters", "a,b,x", "x not among fleet.peers");
        assertRejected("fleet.quiet", "1499ms", "less than 3 times fleet.hello");
    }

    @Test
    void aQuietTimeNotLongerThanTheDelayIsRejected() {
        settings.put("fleet.delay", "3s");
        assertRejected("fleet.quiet", "3s", "not more than fleet.delay");
    }

    @Test
    void calendarsAreReadAndAnErrorNamesTheSetting() throws Exception {
        settings.put(
                "fleet.calendars",
                Files.writeString(folder.resolve("k.toml"), CALENDARS).toString());
        Calendar bank = fleet().calendars().get("bank");
        assertThat(bank.isWorkingDay(LocalDate.of(2026, 12, 23))).isTrue();
        assertThat(List.of(24, 25, 27))
                .as("closed, a holiday, a Sunday")
                .noneMatch(day -> bank.isWorkingDay(LocalDate.of(2026, 12, day)));
        for (String invalid : List.of(
                "closed = ['2026-12-24']", "weekend = ['someday']", "opens = 'soon'", "hours = 1", "zone = 'Mars'")) {
            Files.writeString(
                    folder.resolve("k.toml"),
                    CALENDARS
                            .replace("closed = ['2026-12-24']", invalid)
                            .replace("closes = '18:00'", invalid.startsWith("closed") ? "closes = '07:00'" : ""));
            assertThatThrownBy(this::fleet)
                    .as(invalid)
                    .isInstanceOf(ConfigException.class)
                    .hasMessageContaining("fleet.calendars");
        }
    }

    @Test
    void anUnreadableContractFileIsRejected() {
        assertRejected("fleet.contracts", folder.resolve("none").toString(), "cannot be read");
        assertRejected("fleet.contracts", folder.toString(), "cannot be read");
    }
}
