package firstair.kit.soak;

import firstair.cli.Part;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs {@link Soak}; its fields name the parameters in the help text. */
@Command(
        name = "soak",
        mixinStandardHelpOptions = true,
        showDefaultValues = true,
        description = {
            "Holds a relay process to its promise for a while, on loopback, beside stand-ins of its peers.",
            "Status 0 if every message that was answered 202 was delivered or had its notice in time."
        })
public final class SoakCommand implements Part {
    @Option(names = "--seconds", defaultValue = "600", description = "how long messages are handed in")
    private double seconds;

    @Option(names = "--rate", defaultValue = "100", description = "messages a second")
    private int rate;

    @Option(
            names = "--hup",
            defaultValue = "1",
            description = "seconds between two SIGHUPs with a new place for the" + " platform, 0 for none")
    private double hup;

    @Option(
            names = "--faults",
            defaultValue = "true",
            arity = "1",
            description = "whether connections for notices fail")
    private boolean faults;

    @Option(names = "--nice", defaultValue = "0", description = "how far the relay's process stands back, 0 to 19")
    private int nice;

    @Option(names = "--burn", defaultValue = "0", description = "busy threads beside it")
    private int burn;

    @Option(names = "--seed", defaultValue = "1", description = "of all draws")
    private long seed;

    @Override
    public Integer call() throws Exception {
        return new Soak(new Soak.Plan(seconds, rate, hup, faults, nice, burn, seed)).run() ? 0 : 1;
    }
}
