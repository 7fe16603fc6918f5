package firstair.kit.fleet;

import com.tngtech.jgiven.Stage;
import com.tngtech.jgiven.annotation.Quoted;
import com.tngtech.jgiven.annotation.ScenarioState;
import java.util.List;

/** Events of the scenarios of limits. */
public class WhenFaults extends Stage<WhenFaults> {
    @ScenarioState
    LimitFixture fixture;

    WhenFaults $IsCutOffFromAllOthers(@Quoted String name) {
        fixture.fleet.net().partition(List.of(name), fixture.others(name));
        return self();
    }

    WhenFaults noMessageReaches$AnyLonger(@Quoted String name) {
        fixture.fleet.net().cut(fixture.others(name), List.of(name));
        return self();
    }

    WhenFaults theLast$RelaysAreCutOffFromTheOthers(int relays) {
        fixture.fleet
                .net()
                .partition(
                        fixture.last(relays),
                        fixture.first(fixture.setup.members().size() - relays));
        return self();
    }

    WhenFaults allLinksAreRestored() {
        fixture.fleet.net().heal();
        return self();
    }

    WhenFaults $IsKilled(@Quoted String name) {
        fixture.fleet.kill(name);
        return self();
    }

    WhenFaults theLast$RelaysRestartWithoutTheirFolders(int relays) {
        for (String name : fixture.last(relays)) {
            fixture.fleet.kill(name);
            fixture.fleet.loseFolder(name);
            fixture.fleet.start(name);
        }
        return self();
    }

    WhenFaults $RestartsAtOnce(@Quoted String name) {
        fixture.fleet.start(name);
        return self();
    }

    WhenFaults $IsPausedFor$Seconds(@Quoted String name, double seconds) {
        fixture.fleet.pause(fixture.fleet.process(name), seconds * 1000);
        return self();
    }

    WhenFaults aSecondProcessStartsAs$(@Quoted String name) {
        fixture.fleet.start(name);
        return self();
    }

    WhenFaults $HasNoMoreDemand(@Quoted String name) {
        fixture.demandPerS.remove(name);
        return self();
    }

    WhenFaults $HasADemandOf$CallsASecond(@Quoted String name, double calls) {
        fixture.demandPerS.put(name, calls);
        return self();
    }

    WhenFaults anEndpointAsks$ToWait$Seconds(@Quoted String name, double seconds) {
        RealRelayLogic logic = (RealRelayLogic) fixture.fleet.process(name).logic();
        fixture.fleet.runNow(
                logic.process(),
                "asked to wait",
                () -> logic.endpointAskedToWait(LimitFixture.DESTINATION, seconds * 1000));
        return self();
    }

    WhenFaults $SecondsPass(double seconds) {
        fixture.fleet.run(seconds * 1000);
        return self();
    }

    WhenFaults itsLeasesExpire() {
        fixture.fleet.run(fixture.leaseExpiryMs() + 2 * fixture.setup.helloMs());
        return self();
    }
}
