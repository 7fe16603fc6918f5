package firstair.kit.fleet;

import com.tngtech.jgiven.Stage;
import com.tngtech.jgiven.annotation.Quoted;
import com.tngtech.jgiven.annotation.ScenarioState;
import java.util.List;

/** What befalls the fleet in stories of limits. */
public class WhenTrouble extends Stage<WhenTrouble> {
    @ScenarioState
    World world;

    WhenTrouble nothingPassesBetween$AndAllOthers(@Quoted String name) {
        world.fleet.net().part(List.of(name), world.others(name));
        return self();
    }

    WhenTrouble noAnswerReaches$AnyMore(@Quoted String name) {
        world.fleet.net().cut(world.others(name), List.of(name));
        return self();
    }

    WhenTrouble nothingPassesBetweenTheLast$AndTheRest(int relays) {
        world.fleet
                .net()
                .part(world.last(relays), world.first(world.setup.members().size() - relays));
        return self();
    }

    WhenTrouble allLinksAreMended() {
        world.fleet.net().heal();
        return self();
    }

    WhenTrouble $Dies(@Quoted String name) {
        world.fleet.kill(name);
        return self();
    }

    WhenTrouble all$LastRelaysReturnWithoutMemory(int relays) {
        for (String name : world.last(relays)) {
            world.fleet.kill(name);
            world.fleet.forget(name);
            world.fleet.start(name);
        }
        return self();
    }

    WhenTrouble $ReturnsAtOnce(@Quoted String name) {
        world.fleet.start(name);
        return self();
    }

    WhenTrouble $IsStoppedFor$Seconds(@Quoted String name, double seconds) {
        world.fleet.pause(world.fleet.life(name), seconds * 1000);
        return self();
    }

    WhenTrouble aSecondProcessStartsAs$(@Quoted String name) {
        world.fleet.start(name);
        return self();
    }

    WhenTrouble $WantsNothingMore(@Quoted String name) {
        world.wanted.remove(name);
        return self();
    }

    WhenTrouble $Wants$CallsASecond(@Quoted String name, double calls) {
        world.wanted.put(name, calls);
        return self();
    }

    WhenTrouble $IsToldToWait$Seconds(@Quoted String name, double seconds) {
        FleetPlayed played = (FleetPlayed) world.fleet.life(name).played();
        world.fleet.act(played.life(), "told", () -> played.toldToWait(World.DESTINATION, seconds * 1000));
        return self();
    }

    WhenTrouble $SecondsPass(double seconds) {
        world.fleet.run(seconds * 1000);
        return self();
    }

    WhenTrouble itsPromisesAreOver() {
        world.fleet.run(world.promise() + 2 * world.setup.helloMs());
        return self();
    }
}
