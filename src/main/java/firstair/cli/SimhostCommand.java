package firstair.cli;

import firstair.Main;
import java.io.IOException;
import picocli.CommandLine.Command;

/** Runs the controller behind the simulator's wire protocol. */
@Command(
        name = "simhost",
        mixinStandardHelpOptions = true,
        description = "Hosts the decisions on the simulator's wire, over the standard streams.")
public final class SimhostCommand implements Part {
    @Override
    public Integer call() throws IOException {
        return Main.simhost();
    }
}
