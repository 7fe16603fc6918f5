package firstair.fleet.residency;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.fleet.Outbox;
import firstair.fleet.Setup;
import firstair.fleet.talk.Note;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class ContractsTest {
    static final double TERM_MS = 1_000;
    static final Setup SETUP =
            new Setup("f", "r0", "a", List.of("r0", "r1", "r2"), List.of("r0", "r1", "r2"), 200, 2_000, 500, 0.01, 0.2);
    private final List<String> reports = new ArrayList<>();

    /** An outbox that collects reports; contracts never send. */
    static Outbox reportingTo(List<String> reports) {
        return new Outbox() {
            @Override
            public void send(String to, Note note) {
                throw new AssertionError("contracts send nothing");
            }

            @Override
            public void report(String text) {
                reports.add(text);
            }
        };
    }

    private static Map<String, Contract> acme(String zones, String always) {
        return Map.of("acme", ContractTest.contract("acme", letters(zones), letters(always)));
    }

    private static Set<String> letters(String text) {
        return text.isEmpty() ? Set.of() : Set.of(text.split(""));
    }

    private Contracts started(Map<String, Contract> file) {
        return new Contracts(SETUP, 0, 1_000_000, TERM_MS, file, false, reportingTo(reports));
    }

    /** A relay that holds version 1 with these zones, agreed everywhere and confirmed at 0. */
    private Contracts settled(String zones, String always) {
        Contracts c = started(acme(zones, always));
        c.acceptVersion(0, 1, acme(zones, always), true);
        c.settled(0, 1);
        c.confirmed(0, 0, 1);
        return c;
    }

    private static String zones(Contracts c, double now) {
        return String.join("", c.zones(now, "acme", "any"));
    }

    @Test
    void aStartingRelayUsesAlwaysUntilItsContractsAreConfirmedAndEarlierOnesExpired() {
        Contracts c = started(acme("abc", "a"));
        assertThat(zones(c, 1)).isEqualTo("a");
        c.confirmed(5, 2, 0); // a settings file is never agreed on
        assertThat(zones(c, 5)).isEqualTo("a");
        c.acceptVersion(10, 7, acme("ab", "ab"), true);
        c.confirmed(10, 5, 7);
        assertThat(zones(c, 10)).isEqualTo("a"); // a relay may still use the unknown version 6
        c.confirmed(1_000, 900, 7);
        assertThat(zones(c, 1_019)).isEqualTo("a");
        assertThat(zones(c, 1_020)).isEqualTo("ab");
        assertThat(zones(started(acme("abc", "")), 1)).isEmpty();
    }

    @Test
    void aRestrictionAppliesAtOnceAndAnExtensionOnceNoRelayUsesEarlierVersions() {
        Contracts c = settled("ab", "");
        c.acceptVersion(100, 2, acme("a", ""), true);
        assertThat(zones(c, 100)).isEqualTo("a"); // before it is confirmed
        c.acceptVersion(200, 3, acme("abc", ""), true); // removed and added again: other relays may still use version 2
        c.confirmed(1_100, 1_090, 3);
        assertThat(zones(c, 1_209)).isEqualTo("a");
        assertThat(zones(c, 1_210)).isEqualTo("abc");
        c.acceptVersion(1_300, 4, acme("abcd", ""), true);
        assertThat(zones(c, 1_300)).isEqualTo("abc");
        c.settled(1_310, 4);
        assertThat(zones(c, 1_310)).isEqualTo("abcd");
    }

    @Test
    void aMissedVersionLeavesOnlyAlwaysUntilItIsReceivedOrExpired() {
        Contracts c = settled("ab", "a");
        c.acceptVersion(100, 3, acme("abc", "ac"), true);
        c.confirmed(100, 90, 3);
        assertThat(zones(c, 100)).isEqualTo("a");
        c.acceptVersion(120, 2, acme("ab", "a"), true); // arrives late
        assertThat(zones(c, 120)).isEqualTo("ab");
        c.confirmed(1_100, 1_000, 3);
        assertThat(zones(c, 1_110)).isEqualTo("abc");
        c.acceptVersion(1_200, 6, acme("abcd", "acd"), true);
        c.settled(1_200, 5); // not received: version 3 stays binding
        assertThat(zones(c, 1_200)).isEqualTo("ac");
    }

    @Test
    void aConfirmationCountsFromItsQueryAndItsExpiryIsReportedOnce() {
        Contracts c = settled("ab", "a");
        c.confirmed(900, 300, 1);
        assertThat(zones(c, 1_289)).isEqualTo("ab");
        assertThat(c.zonesConfirmed(1_289)).isTrue();
        assertThat(zones(c, 1_290)).isEqualTo("a"); // 300 + 0.99 of the term
        c.timer(3_000);
        assertThat(reports).hasSize(1).allMatch(line -> line.startsWith("F306") && line.contains("version 1"));
        c.confirmed(3_100, 3_050, 1);
        assertThat(zones(c, 3_100)).isEqualTo("ab");
        c.confirmed(3_200, 3_060, 0);
        c.confirmed(3_200, 9_000, 1); // sent in the future
        c.acceptVersion(3_200, -4, Map.of(), true);
        assertThat(c.dropped()).isEqualTo(2);
        c.timer(4_039);
        assertThat(reports).hasSize(1);
        c.timer(4_040);
        assertThat(reports).hasSize(2);
    }

    @Test
    void aConfirmationMayArriveBeforeItsContractsWhileTheCurrentOneStaysValid() {
        Contracts c = settled("ab", "");
        c.confirmed(950, 900, 2);
        assertThat(zones(c, 980)).isEqualTo("ab");
        assertThat(zones(c, 990)).isEmpty();
        c.acceptVersion(1_000, 2, acme("b", ""), true);
        assertThat(zones(c, 1_000)).isEqualTo("b");
        c.confirmed(1_010, 1_005, 1); // a reply that is wrong or late
        assertThat(zones(c, 1_889)).isEqualTo("b");
        assertThat(zones(c, 1_890)).isEmpty();
    }

    @Test
    void aProvisionalVersionOnlyRestrictsUntilALaterConfirmation() {
        Contracts c = settled("ab", "");
        c.acceptVersion(100, 2, acme("bc", ""), false);
        assertThat(zones(c, 100)).isEqualTo("b");
        assertThat(c.version()).isEqualTo(1);
        c.confirmed(150, 99, 1);
        assertThat(zones(c, 150)).isEqualTo("b");
        c.confirmed(150, 101, 1);
        assertThat(zones(c, 150)).isEqualTo("ab");
    }

    @Test
    void aTenantUnknownToAnOlderVersionHasNoZonesUntilThatExpires() {
        Contracts c = started(Map.of());
        assertThat(c.inForce()).isFalse();
        c.acceptVersion(0, 1, Map.of(), true);
        c.settled(0, 1);
        c.acceptVersion(10, 2, acme("ab", "a"), true);
        c.confirmed(900, 890, 2);
        assertThat(c.inForce()).isTrue();
        assertThat(c.hasContract("acme")).isTrue();
        assertThat(zones(c, 1_019)).isEmpty();
        assertThat(zones(c, 1_020)).isEqualTo("ab");
        c.acceptVersion(1_030, 3, Map.of(), true);
        assertThat(c.hasContract("acme")).isFalse();
        assertThat(zones(c, 1_030)).isEmpty();
    }

    @Test
    void aContractThatIsNotYetInEffectRestrictsButExtendsNothing() {
        Contracts c = settled("ab", "");
        c.acceptVersion(
                10,
                2,
                Map.of(
                        "acme",
                        new Contract("acme", Set.of("b", "c"), Map.of("pay", Set.of("c")), Set.of(), 9, 1_005_000)),
                true);
        for (double now = 500; now <= 4_500; now += 500) {
            c.confirmed(now, now, 2);
            assertThat(zones(c, now)).isEqualTo("b");
        }
        c.confirmed(5_000, 5_000, 2);
        assertThat(zones(c, 5_000)).isEqualTo("bc");
        assertThat(c.zones(5_000, "acme", "pay")).containsExactly("c");
        c.setWallClock(5_000, 1_004_000); // the wall clock is set back
        assertThat(zones(c, 5_000)).isEqualTo("b");
    }

    @Test
    void manyChangesUseBoundedMemoryAndLeaveOnlyAlways() {
        Contracts c = settled("ab", "a");
        for (int v = 2; v <= 200; v++) {
            c.acceptVersion(10, v, acme("ab", "a"), true);
            c.acceptVersion(10, 1_000 + v, acme("ab", "a"), false);
        }
        c.confirmed(20, 15, 200);
        assertThat(zones(c, 20)).isEqualTo("a");
        c.confirmed(1_020, 1_000, 200);
        assertThat(zones(c, 1_020)).isEqualTo("ab");
    }
}
