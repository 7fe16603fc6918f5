package firstair.relay;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.config.ParsedSettings;
import firstair.config.Values;
import firstair.relay.fleet.PeerTransport;
import java.util.Map;
import org.junit.jupiter.api.Test;

class LimitsTest {
    private static final long HEAP = 80_000_000;

    @Test
    void connectionsAndOtherFilesStayWithinTheDescriptors() {
        for (int sockets : new int[] {96, 128, 1024, 4096}) {
            Limits limits = Limits.of(sockets, 3, HEAP, 5, 1000, 10_000);
            // With fewer connections, every call would have to open one.
            assertThat(limits.maxLinks()).as("with %s", sockets).isGreaterThan(30);
            assertThat(limits.maxClients() + limits.maxLinks()).isLessThanOrEqualTo(sockets - 20);
        }
    }

    /**
     * In a fleet, {@link PeerTransport} also has connections from and to the other relays. They were not counted
     * against the descriptors at first.
     */
    @Test
    void connectionsOfOtherRelaysStayWithinTheDescriptors() {
        for (int[] fleet : new int[][] {{128, 5}, {1024, 32}, {4096, 100}}) {
            int sockets = fleet[0];
            int members = fleet[1];
            Values localSettings = ParsedSettings.fromTexts(
                            Map.of("fleet.name", "f", "fleet.peers", "r=127.0.0.1:7000" + ",r".repeat(members - 1)),
                            Map.of("fleet.name", "test", "fleet.peers", "test"),
                            TunableSettings.schema())
                    .values();
            Limits limits = Limits.of(sockets, 3, HEAP, 5, 1000, 10_000).withLocalSettings(localSettings);
            int peers = PeerTransport.Bounds.of(members).connections() + members;
            assertThat(limits.maxClients() + limits.maxLinks() + peers)
                    .as("%s members, %s descriptors", members, sockets)
                    .isLessThanOrEqualTo(sockets - 20);
            assertThat(limits.maxClients()).isPositive();
        }
    }

    @Test
    void theBacklogHoldsAsManyConnectionsAsMayBeOpen() {
        for (int sockets : new int[] {96, 1024, 4096}) {
            Limits limits = Limits.of(sockets, 3, 1_000_000_000, 5, 1000, 10_000);
            assertThat(limits.backlog())
                    .as("with %s", sockets)
                    .isGreaterThanOrEqualTo(Math.max(512, limits.maxClients()));
        }
    }

    @Test
    void idleConnectionsAreClosedBeforeTheEndpointClosesThem() {
        for (double idle : new double[] {100, 300, 10_000}) {
            Limits limits = Limits.of(0, 0, HEAP, 0, 0, idle);
            assertThat(limits.idleMs() + limits.sweepMs())
                    .as("idle for %s", idle)
                    .isLessThanOrEqualTo(Math.max(idle, 200));
            assertThat(limits.idleMs()).isPositive();
        }
    }

    @Test
    void unspecifiedValuesHaveDefaults() {
        Limits limits = Limits.of(0, 0, HEAP, 0, 0, 0);
        assertThat(limits.sockets()).isPositive();
        assertThat(limits.diskBytes()).isPositive();
        assertThat(limits.connectMs()).isPositive();
        assertThat(limits.idleMs()).isPositive();
        assertThat(limits.roundMs()).isZero();
    }

    @Test
    void aDrainEndsBeforeTheKill() {
        Limits limits = Limits.of(0, 0, HEAP, 0, 0, 0);
        assertThat(limits.drainAcceptMs()).isGreaterThan(400);
        assertThat(limits.drainMs()).isLessThan(3700 - 500);
    }

    /** A parsed object of the list takes some fifteen times its length, and clients may use half of the heap. */
    @Test
    void anObjectOfTheListFitsIntoTheHeap() {
        for (long heap : new long[] {24_000_000, HEAP, 1_000_000_000}) {
            assertThat(Limits.of(0, 0, heap, 0, 0, 0).listLine() * 16L)
                    .as("with %s", heap)
                    .isBetween(8_000_000L, heap / 2);
        }
    }
}
