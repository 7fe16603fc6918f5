package firstair.relay.faults;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.kit.standin.StandIn;
import firstair.relay.standin.StandInPlatform;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A keyed message may have run at an endpoint that has left the list when the relay starts again; repeats of its key
 * are dropped in that endpoint's zone alone (row R11).
 */
class ZoneAfterRestartTest extends FaultTest {
    private static final long TIMEOUT_MS = 20_000;
    private static final long LIST_MS = 300; // until the relay has read a change of the list

    private StandIn south;

    @BeforeEach
    void startWithTwoZones() throws Exception {
        south = new StandIn(r -> {
            fixture.calls.add(new RelayFixture.Call("south " + r.header("request-id"), fixture.now()));
            r.answer(200);
        });
        fixture.node.zones(List.of("north", "south"), "north");
        fixture.node.editConfig(text -> text.replace("\"group\":\"all\"", "\"group\":\"zone\""));
        setList(1, north("s1"), southern());
        fixture.node.start();
    }

    @AfterEach
    void closeSouth() throws Exception {
        south.close();
    }

    private String north(String id) {
        return id + " 7 " + fixture.endpoint.hostPort() + " up one north";
    }

    private String southern() {
        return "s2 7 " + south.hostPort() + " up one south";
    }

    private void setList(long version, String... endpoints) {
        String list = StandInPlatform.list(version, true, endpoints);
        fixture.platform.setList(list);
        fixture.platform.sendChanges(list);
        fixture.node.initialList(list);
    }

    /** Guards against a second run in the zone that is left, after one restart or several. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2})
    void aKeyedMessageIsRepeatedInItsZoneOnly(int restarts) throws Exception {
        fixture.submitAndAnswer("m1", "keyed", TIMEOUT_MS, r -> {
            setList(2, southern()); // before the outcome is known, so that no repeat goes to the endpoint
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(LIST_MS));
            r.reset();
        });
        for (int i = 0; i < restarts; i++) {
            fixture.node.kill();
            fixture.node.start();
        }
        fixture.behaviour = r -> r.answer(200);
        fixture.sleepUntil(fixture.now() + 1000);
        assertThat(fixture.calls).extracting(RelayFixture.Call::id).containsExactly("m1");
        setList(3, southern(), north("s3"));
        fixture.awaitCalls("m1", 2, fixture.now() + 5000);
        assertThat(fixture.callsOf("south m1")).isEmpty();
        assertThat(fixture.notices).isEmpty();
    }
}
