package firstair.relay.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import firstair.config.Item;
import firstair.config.Read;
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
    private static final String THREE = "c=127.0.0.1:7003,a=127.0.0.1:7001,b=127.0.0.1:7002";

    private static final String CONTRACTS = "version = 1\n[[contract]]\ntenant = 'acme'\nzones = ['east']\n";

    private static final String CALENDARS = "[[calendar]]\nname = 'bank'\nzone = 'Europe/Berlin'\n"
            + "countries = ['de']\nweekend = ['saturday', 'sunday']\nclosed = ['2026-12-24']\nopens = 08:00:00\n"
            + "closes = '18:00'\n";

    @TempDir
    Path folder;

    private Node node;
    private final Map<String, String> set = new LinkedHashMap<>();

    @BeforeEach
    void three() {
        node = new Node(folder, "127.0.0.1:1", "null");
        node.group("b", 3, 1);
        node.zones(List.of("east", "west"), "west");
        node.fleet("");
        set.put("fleet.name", "f");
        set.put("fleet.peers", THREE);
        set.put("fleet.voters", "a,b,c");
    }

    private Config config() throws Exception {
        return Config.read(Map.of("ROUTER_CONFIG", node.write().toString(), "ROUTER_STATE", folder.toString()));
    }

    private static Values values(Map<String, String> texts) {
        Map<String, String> origins = new HashMap<>();
        texts.keySet().forEach(k -> origins.put(k, "test"));
        Read r = Read.texts(texts, origins, TunableSettings.schema());
        assertThat(r.faults()).isEmpty();
        return r.values();
    }

    private FleetConfig fleet() throws Exception {
        return FleetConfig.of(values(set), config());
    }

    private void refused(String path, String text, String why) {
        String before = set.put(path, text);
        assertThatThrownBy(this::fleet)
                .isInstanceOf(ConfigException.class)
                .hasMessageStartingWith("config: field " + path + ": ")
                .hasMessageContaining(why)
                .hasMessageEndingWith(" (F203)")
                .satisfies(e -> assertThat(((ConfigException) e).lines()).hasSize(1));
        if (before == null) {
            set.remove(path);
        } else {
            set.put(path, before);
        }
    }

    @Test
    void aFleetMayHaveMoreThanAThousandRelays() throws Exception {
        StringBuilder peers = new StringBuilder(THREE);
        for (int i = 3; i < 1200; i++) {
            peers.append(",r")
                    .append(i)
                    .append("=10.0.")
                    .append(i / 200)
                    .append('.')
                    .append(i % 200)
                    .append(":7000");
        }
        set.put("fleet.peers", peers.toString());
        assertThat(fleet().setup().members())
                .hasSize(1200)
                .startsWith("c", "a", "b")
                .endsWith("r1199");
        assertThat(fleet().setup().sure()).isPositive();
    }

    @Test
    void aFileOfAProcessIsReadWhole() throws Exception {
        Path contracts = Files.writeString(folder.resolve("contracts.toml"), CONTRACTS);
        node.fleet("[fleet]\nname = 'f'\npeers = ['c=127.0.0.1:7003', 'a=127.0.0.1:7001',\n'b=127.0.0.1:7002']\n"
                + "voters = 'a, b, c'\nlisten = '127.0.0.1:7012'\nhello = '100ms'\nquiet = '1s'\ndelay = '200ms'\n"
                + "drift = '2%'\ncut = '40%'\ncontract_term = '5s'\ncontracts = '" + contracts + "'\n"
                + "bookings = true\nfirst = true\n");
        Config c = config();
        FleetConfig f = FleetConfig.of(
                TunableSettings.read(Map.of(
                        TunableSettings.FILE, folder.resolve("settings.toml").toString())),
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
    void usualValuesAreThoseOfTheSchema() throws Exception {
        FleetConfig briefly = fleet();
        TunableSettings.schema().items().stream()
                .filter(i -> i.path().startsWith("fleet."))
                .forEach(i -> set.putIfAbsent(i.path(), i.usual()));
        assertThat(fleet()).isEqualTo(briefly);
        assertThat(briefly.listen())
                .as("our address among the peers")
                .isEqualTo(briefly.addresses().get("b"));
        assertThat(briefly.sharing().agrees()).isFalse();
    }

    @Test
    void everyItemReachesIt() throws Exception {
        FleetConfig usual = fleet();
        Map<String, String> others = new HashMap<>(Map.of(
                "name",
                "g",
                "self",
                "a",
                "listen",
                "127.0.0.1:9",
                "peers",
                THREE + ",d=127.0.0.1:7004",
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
        for (Item i : TunableSettings.schema().items()) {
            if (i.path().startsWith("fleet.")) {
                assertThat(i.atReload()).as(i.path()).isFalse();
                String before = set.put(i.path(), others.get(i.path().substring("fleet.".length())));
                assertThat(fleet()).as(i.path()).isNotNull().isNotEqualTo(usual);
                set.put(i.path(), before == null ? i.usual() : before);
            }
        }
    }

    @Test
    void itTakesBothToSwitchItOn() throws Exception {
        set.put("fleet.name", "");
        set.put("fleet.voters", "nonsense");
        assertThat(fleet()).as("no name, whatever else stands there").isNull();
        set.put("fleet.name", "f");
        node = new Node(folder, "127.0.0.1:1", "null");
        assertThat(fleet()).as("limits.peers is false").isNull();
    }

    @Test
    void whatCannotHoldTogetherIsRefusedByItsField() {
        refused("fleet.name", "two words", "letters");
        refused("fleet.self", "z", "z is not among fleet.peers");
        refused("fleet.peers", "", "no relay");
        refused("fleet.peers", "a=127.0.0.1:7001,b=127.0.0.1:7002", "2 relays, but the platform runs 3");
        refused("fleet.peers", THREE + ",a=127.0.0.1:7009", "a stands there twice");
        refused("fleet.peers", THREE + ",d=127.0.0.1:7001", "d and a have one address");
        for (String bad : List.of(
                "127.0.0.1:7004", "d=127.0.0.1", "d=127.0.0.1:70000", "d=:7004", "d d=1:1", "=x:1", "d=127.0.0.1:0")) {
            refused("fleet.peers", THREE + "," + bad, "port");
        }
        refused("fleet.listen", "here", "not host:port: here");
        refused("fleet.listen", "[::1:7001", "no such host: [::1");
        refused("fleet.voters", "a,b", "2 names, 3 or 5");
        refused("fleet.voters", "", "0 names");
        refused("fleet.voters", "a,b,a", "twice");
        refused("fleet.voters", "a,b,x", "x not among fleet.peers");
        refused("fleet.quiet", "1499ms", "less than 3 times fleet.hello");
    }

    @Test
    void aQuietShorterThanTheWayIsRefused() {
        set.put("fleet.delay", "3s");
        refused("fleet.quiet", "3s", "not more than fleet.delay");
    }

    @Test
    void calendarsAreReadAndAFaultNamesTheCalendar() throws Exception {
        set.put(
                "fleet.calendars",
                Files.writeString(folder.resolve("k.toml"), CALENDARS).toString());
        Calendar bank = fleet().calendars().get("bank");
        assertThat(bank.works(LocalDate.of(2026, 12, 23))).isTrue();
        assertThat(List.of(24, 25, 27))
                .as("closed, a holiday, a Sunday")
                .noneMatch(day -> bank.works(LocalDate.of(2026, 12, day)));
        for (String bad : List.of(
                "closed = ['2026-12-24']", "weekend = ['someday']", "opens = 'soon'", "hours = 1", "zone = 'Mars'")) {
            Files.writeString(
                    folder.resolve("k.toml"),
                    CALENDARS
                            .replace("closed = ['2026-12-24']", bad)
                            .replace("closes = '18:00'", bad.startsWith("closed") ? "closes = '07:00'" : ""));
            assertThatThrownBy(this::fleet)
                    .as(bad)
                    .isInstanceOf(ConfigException.class)
                    .hasMessageContaining("fleet.calendars");
        }
    }

    @Test
    void contractsMustBeReadableAtTheStart() {
        refused("fleet.contracts", folder.resolve("none").toString(), "cannot be read");
        refused("fleet.contracts", folder.toString(), "cannot be read");
    }
}
