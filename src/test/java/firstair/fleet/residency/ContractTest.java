package firstair.fleet.residency;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import firstair.fleet.fault.Fault;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class ContractTest {
    private static final Set<String> ZONES = Set.of("a", "b", "c");

    static Contract contract(String tenant, Set<String> zones, Set<String> always) {
        return new Contract(tenant, zones, Map.of(), always, 0, 0);
    }

    private static Map<String, Object> table(Object... changes) {
        Map<String, Object> all = new TreeMap<>(Map.of(
                "tenant",
                "acme",
                "zones",
                List.of("a", "b"),
                "always",
                List.of("a"),
                "classes",
                Map.of("pay", List.of("a")),
                "calls_per_s",
                20L,
                "from",
                "2026-12-01T00:00:00+05:30"));
        for (int i = 0; i < changes.length; i += 2) {
            all.put((String) changes[i], changes[i + 1]);
        }
        return all;
    }

    @Test
    void readsAContractFromATable() {
        Contract c = Contract.read(List.of(table()), ZONES).get("acme");
        assertThat(c.zones("pay")).containsExactly("a");
        assertThat(c.zones("other")).containsExactly("a", "b");
        assertThat(c.always()).containsExactly("a");
        assertThat(c.callsPerS()).isEqualTo(20);
        assertThat(c.from()).isEqualTo(1_796_063_400_000L);
        Contract minimal = Contract.read(List.of(Map.of("tenant", "b", "zones", List.of("c", "new"))), ZONES)
                .get("b");
        assertThat(minimal).isEqualTo(contract("b", Set.of("c", "new"), Set.of()));
    }

    static List<Object[]> faults() {
        return List.of(
                fault("tenant", " "),
                fault("tenant", 7L),
                fault("tenant", "a;b"),
                fault("zones", List.of()),
                fault("zones", List.of("x"), "always", List.of(), "classes", Map.of()),
                fault("zones", "a"),
                fault("zones", List.of(1L)),
                fault("always", List.of("c")),
                fault("classes", List.of()),
                fault("calls_per_s", -1L),
                fault("calls_per_s", Double.NaN),
                fault("calls_per_s", "many"),
                fault("from", "2026-12-01"),
                fault("from", -1L),
                fault("zone", "a"),
                new Object[] {"always", table("classes", Map.of("pay", List.of("b")))},
                new Object[] {"classes.pay", table("classes", Map.of("pay", List.of("x")), "always", List.of())},
                new Object[] {"classes.pay", table("classes", Map.of("pay", List.of()))});
    }

    private static Object[] fault(Object... changes) {
        return new Object[] {changes[0], table(changes)};
    }

    @ParameterizedTest
    @MethodSource("faults")
    void aFaultIsOneLineNamingTheField(String field, Map<String, Object> table) {
        assertThatThrownBy(() -> Contract.read(List.of(table), ZONES))
                .isInstanceOfSatisfying(Fault.BadContract.class, f -> assertThat(f.line())
                        .contains(": " + field + ": ")
                        .startsWith("F303")
                        .doesNotContain("\n"));
        assertThatThrownBy(() -> Contract.read(List.of(table(), table()), ZONES))
                .hasMessageContaining("two contracts");
    }

    @Test
    void noVersionRemovesAZoneThatAnEarlierOneGuarantees() {
        Map<String, Contract> first = Map.of("t", contract("t", Set.of("a", "b"), Set.of("a")));
        Map<String, Contract> second = Map.of("t", contract("t", Set.of("a", "b"), Set.of()));
        Map<String, Contract> third = Map.of("t", contract("t", Set.of("b"), Set.of()));
        Contract.checkKeepsGuarantees(List.of(first), second);
        assertThatThrownBy(() -> Contract.checkKeepsGuarantees(List.of(first, second), third))
                .isInstanceOf(Fault.BadContract.class)
                .hasMessageContaining("always has promised");
        assertThatThrownBy(() -> Contract.checkKeepsGuarantees(List.of(first), Map.of()))
                .isInstanceOf(Fault.BadContract.class);
        assertThatThrownBy(() -> Contract.checkKeepsGuarantees(
                        List.of(first),
                        Map.of("t", new Contract("t", Set.of("a"), Map.of("pay", Set.of("b")), Set.of(), 0, 0))))
                .isInstanceOf(Fault.BadContract.class);
        Contract.checkKeepsGuarantees(List.of(second), third); // once no relay holds the first version any more
    }
}
