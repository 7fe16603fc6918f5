package firstair.relay;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.config.Read;
import firstair.config.Values;
import firstair.relay.fleet.PeerTransport;
import java.util.Map;
import org.junit.jupiter.api.Test;

class LimitsTest {
    private static final long HEAP = 80_000_000;

    @Test
    void connectionsOfBothSidesAndOtherFilesStayWithinTheDescriptors() {
        for (int sockets : new int[] {96, 128, 1024, 4096}) {
            Limits l = Limits.of(sockets, 3, HEAP, 5, 1000, 10_000);
            assertThat(l.maxLinks()).as("with %s", sockets).isGreaterThan(30); // or every call opens one
            assertThat(l.maxClients() + l.maxLinks()).isLessThanOrEqualTo(sockets - 20);
        }
    }

    /**
     * A relay of a fleet has connections from and to the other relays as well, by {@link PeerTransport}. Found by
     * reading:
     * they were outside the descriptors that are shared out.
     */
    @Test
    void connectionsOfOtherRelaysStayWithinTheDescriptorsToo() {
        for (int[] shape : new int[][] {{128, 5}, {1024, 32}, {4096, 100}}) {
            int sockets = shape[0];
            int members = shape[1];
            Values own = Read.texts(
                            Map.of("fleet.name", "f", "fleet.peers", "r=127.0.0.1:7000" + ",r".repeat(members - 1)),
                            Map.of("fleet.name", "test", "fleet.peers", "test"),
                            TunableSettings.schema())
                    .values();
            Limits l = Limits.of(sockets, 3, HEAP, 5, 1000, 10_000).tuned(own);
            int peers = PeerTransport.Bounds.of(members).connections() + members;
            assertThat(l.maxClients() + l.maxLinks() + peers)
                    .as("%s members, %s descriptors", members, sockets)
                    .isLessThanOrEqualTo(sockets - 20);
            assertThat(l.maxClients()).isPositive();
        }
    }

    @Test
    void asManyMayWaitToBeAcceptedAsMayBeOpen() {
        for (int sockets : new int[] {96, 1024, 4096}) {
            Limits l = Limits.of(sockets, 3, 1_000_000_000, 5, 1000, 10_000);
            assertThat(l.backlog()).as("with %s", sockets).isGreaterThanOrEqualTo(Math.max(512, l.maxClients()));
        }
    }

    @Test
    void connectionsAreClosedBeforeTheEndpointWouldHoweverShortThatIs() {
        for (double idle : new double[] {100, 300, 10_000}) {
            Limits l = Limits.of(0, 0, HEAP, 0, 0, idle);
            assertThat(l.idleMs() + l.sweepMs()).as("idle for %s", idle).isLessThanOrEqualTo(Math.max(idle, 200));
            assertThat(l.idleMs()).isPositive();
        }
    }

    @Test
    void whatIsNotToldHasAUsualFigure() {
        Limits l = Limits.of(0, 0, HEAP, 0, 0, 0);
        assertThat(l.sockets()).isPositive();
        assertThat(l.diskBytes()).isPositive();
        assertThat(l.connectMs()).isPositive();
        assertThat(l.idleMs()).isPositive();
        assertThat(l.roundMs()).isZero();
    }

    @Test
    void anEndTakesLessThanTheTimeUntilTheKill() {
        Limits l = Limits.of(0, 0, HEAP, 0, 0, 0);
        assertThat(l.drainAcceptMs()).isGreaterThan(400);
        assertThat(l.drainMs()).isLessThan(3700 - 500);
    }

    /** Read, an object of the list takes some fifteen times its length, and clients may take half of the heap. */
    @Test
    void anObjectOfTheListLeavesRoomInTheHeap() {
        for (long heap : new long[] {24_000_000, HEAP, 1_000_000_000}) {
            assertThat(Limits.of(0, 0, heap, 0, 0, 0).listLine() * 16L)
                    .as("with %s", heap)
                    .isBetween(8_000_000L, heap / 2);
        }
    }
}
