package firstair.kit.fleet;

import firstair.cli.Part;
import java.io.PrintWriter;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.stream.LongStream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Plays fleets in memory. */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        showDefaultValues = true,
        description = {
            "Plays fleets of relays in memory and virtual time, under faults, and checks every "
                    + "invariant after every event.",
            "Without seeds: measures what sharing brings and costs. Status 0 if every history kept every invariant."
        })
public final class FleetCommand implements Part {
    private static final long MEASURED = 1;

    @Option(names = "--seeds", defaultValue = "0", description = "histories to play, from seed 1 on")
    private long seeds;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        PrintWriter out = spec.commandLine().getOut();
        if (seeds == 0) {
            new Measures(Fleets.sharing(), Fleets.wire(), MEASURED).table().forEach(out::println);
            out.flush();
            return 0;
        }
        RandomHistories histories = new RandomHistories(Fleets.sharing(), Fleets.agreeing(), Fleets.wire());
        List<String> broken = LongStream.rangeClosed(1, seeds)
                .parallel()
                .mapToObj(seed -> {
                    try {
                        histories.play(seed);
                        return null;
                    } catch (Breach b) {
                        return b.getMessage();
                    }
                })
                .filter(Objects::nonNull)
                .toList();
        broken.forEach(out::println);
        out.printf(Locale.ROOT, "%d histories, %d broken%n", seeds, broken.size());
        out.flush();
        return broken.isEmpty() ? 0 : 1;
    }
}
