package firstair.fleet.residency;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import firstair.control.Controller.Effect;
import firstair.control.Controller.Scope;
import firstair.fleet.Setup;
import firstair.fleet.fault.Fault;
import java.util.ArrayList;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ResidencyTest {
    private static Contracts contracts(Map<String, Contract> all, boolean required) {
        Contracts c = new Contracts(
                ContractsTest.SETUP, 0, 0, 1e9, all, required, ContractsTest.reportingTo(new ArrayList<>()));
        c.acceptVersion(0, 1, all, true);
        c.settled(0, 1);
        c.confirmed(0, 0, 1);
        return c;
    }

    private static Residency residency(Contract... all) {
        Map<String, Contract> byName = new TreeMap<>();
        for (Contract c : all) {
            byName.put(c.tenant(), c);
        }
        return new Residency(ContractsTest.SETUP, contracts(byName, false), 0, 2_000);
    }

    @Test
    void nothingIsRestrictedWithoutContracts() {
        Residency none = residency();
        assertThat(none.inForce()).isFalse();
        assertThat(none.admit(0, null, "any")).isEmpty();
        assertThat(none.zones(0, "acme", "any")).isEmpty();
        Residency required = new Residency(ContractsTest.SETUP, contracts(Map.of(), true), 0, 2_000);
        assertThatThrownBy(() -> required.admit(0, "acme", "any")).isInstanceOf(Fault.UnknownTenant.class);
    }

    @Test
    void aRejectionNamesTheAllowedZones() {
        Residency r = residency(
                ContractTest.contract("acme", Set.of("a", "b"), Set.of()),
                new Contract("far", Set.of("a"), Map.of("pay", Set.of("c", "b")), Set.of(), 0, 0));
        assertThat(r.admit(0, "acme", "pay")).contains(Set.of("a", "b"));
        assertThatThrownBy(() -> r.admit(0, null, "pay")).isInstanceOf(Fault.MissingTenant.class);
        assertThatThrownBy(() -> r.admit(0, "nobody", "pay")).isInstanceOf(Fault.UnknownTenant.class);
        assertThat(r.admit(0, "far", "other")).contains(Set.of("a"));
        assertThatThrownBy(() -> r.admit(0, "far", "pay"))
                .isInstanceOf(Fault.OutsideContract.class)
                .isInstanceOfSatisfying(Fault.class, f -> assertThat(f.line()).endsWith("b, c"));
        assertThat(r.zones(0, null, "pay")).isEmpty(); // admitted before contracts were in force
    }

    @Test
    void thisRelaysShareLimitsTheQuotaAndAnExpiredLeaseEarnsNothing() {
        Residency r = residency(new Contract("acme", Set.of("a"), Map.of(), Set.of(), 10, 0));
        r.setQuotaShare(0, "acme", Setup.WHOLE / 2, 3_000, Setup.WHOLE / 10); // 5 a second, later 1 a second
        r.setQuotaShare(0, "nobody", Setup.WHOLE, 1e9, 0);
        assertThatThrownBy(() -> r.admit(0, "acme", "any"))
                .isInstanceOfSatisfying(Fault.TenantQuota.class, f -> assertThat(f.afterMs())
                        .isEqualTo(200)); // a relay that starts has no unused quota
        r.admit(200, "acme", "any");
        assertThat(admitted(r, 200, 10_000)).isEqualTo(14 + 7);
        assertThat(admitted(r, 100_000, 100_010)).isEqualTo(2); // the quota of two seconds
        r.setQuotaShare(100_010, "acme", 0, 1e9, 0);
        assertThatThrownBy(() -> r.admit(100_010, "acme", "any"))
                .isInstanceOfSatisfying(
                        Fault.TenantQuota.class, f -> assertThat(f.afterMs()).isEqualTo(60_000));
    }

    private static int admitted(Residency r, double from, double to) {
        int admitted = 0;
        for (double now = from; now <= to; now += 5) {
            try {
                r.admit(now, "acme", "any");
                admitted++;
            } catch (Fault.TenantQuota f) {
                assertThat(f.afterMs()).isBetween(0.0, 1_000.0);
            }
        }
        return admitted;
    }

    @ParameterizedTest
    @CsvSource(
            nullValues = "-",
            value = {
                // effect, scope, in doubt, zone in doubt, contract, allowed, available, expected decision
                "SAFE,   ALL,  false, -, ab, ab, bc,  GO b",
                "UNSAFE, ALL,  false, -, ab, ab, ab,  GO ab",
                "KEYED,  ZONE, false, -, a,  a,  bc,  WAIT", // no failover to other zones
                "UNSAFE, ALL,  false, -, '', '', abc, WAIT", // waits until its deadline
                "UNSAFE, ALL,  true,  a, ab, ab, ab,  GIVE_UP",
                "SAFE,   ZONE, true,  c, ab, ab, abc, GO ab", // repeating is safe in any zone
                "KEYED,  ALL,  true,  c, ab, ab, abc, GO ab", // its key is known there too
                "KEYED,  ALL,  true,  c, ab, ab, c,   WAIT",
                "KEYED,  ALL,  true,  c, '', '', abc, GIVE_UP",
                "SAFE,   ALL,  true,  c, '', '', abc, GIVE_UP",
                "KEYED,  ZONE, true,  a, ab, ab, abc, GO a",
                "KEYED,  ZONE, true,  a, ab, ab, b,   WAIT", // its zone is unavailable, and no other zone knows the key
                "KEYED,  ZONE, true,  c, ab, ab, abc, GIVE_UP", // no longer allowed by the contract
                "KEYED,  ZONE, true,  b, ab, a,  abc, WAIT", // allowed by the contract, but not yet on this relay
                "KEYED,  ZONE, true,  -, ab, ab, abc, GIVE_UP",
                "KEYED,  ALL,  true,  b, ab, '', abc, WAIT"
            })
    void decidesAboutAHeldMessage(
            Effect effect,
            Scope scope,
            boolean doubt,
            String zone,
            String contract,
            String allowed,
            String available,
            String expected) {
        HeldMessagePolicy.Decision decision = HeldMessagePolicy.decide(
                new HeldMessagePolicy.HeldMessage(effect, scope, doubt, zone),
                zones(contract),
                zones(allowed),
                zones(available));
        assertThat((decision.action() + " " + String.join("", decision.zones())).trim())
                .isEqualTo(expected);
    }

    @Test
    void aMessageInDoubtInAZoneThatTheContractNoLongerAllowsIsGivenUp() {
        Residency r = residency(ContractTest.contract("acme", Set.of("a"), Set.of()));
        assertThatThrownBy(() -> r.decideHeld(
                        0,
                        "acme",
                        "any",
                        new HeldMessagePolicy.HeldMessage(Effect.KEYED, Scope.ZONE, true, "b"),
                        Set.of("a", "b")))
                .isInstanceOf(Fault.NoZoneLeft.class);
        assertThat(r.decideHeld(
                                0,
                                "acme",
                                "any",
                                new HeldMessagePolicy.HeldMessage(Effect.KEYED, Scope.ALL, true, "b"),
                                Set.of("a", "b"))
                        .zones())
                .containsExactly("a");
    }

    private static Set<String> zones(String letters) {
        return letters.isEmpty() ? Set.of() : Set.of(letters.split(""));
    }
}
