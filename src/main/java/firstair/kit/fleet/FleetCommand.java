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

/** Simulates fleets in memory. */
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
    private static final long MEASUREMENT_SEED = 1;

    @Option(names = "--seeds", defaultValue = "0", description = "histories to play, from seed 1 on")
    private long seeds;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        PrintWriter out = spec.commandLine().getOut();
        if (seeds == 0) {
            new Measurements(FleetDefaults.limitsOnly(), FleetDefaults.wire(), MEASUREMENT_SEED)
                    .table()
                    .forEach(out::println);
            out.flush();
            return 0;
        }
        RandomHistories histories =
                new RandomHistories(FleetDefaults.limitsOnly(), FleetDefaults.withSettings(), FleetDefaults.wire());
        List<String> violations = LongStream.rangeClosed(1, seeds)
                .parallel()
                .mapToObj(seed -> {
                    try {
                        histories.run(seed);
                        return null;
                    } catch (InvariantViolation violation) {
                        return violation.getMessage();
                    }
                })
                .filter(Objects::nonNull)
                .toList();
        violations.forEach(out::println);
        out.printf(Locale.ROOT, "%d histories, %d broken%n", seeds, violations.size());
        out.flush();
        return violations.isEmpty() ? 0 : 1;
    }
}
