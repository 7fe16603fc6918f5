package firstair.kit.soak;

import firstair.cli.Part;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs {@link RestartSoak} for a series of seeds; prints a line for each run and one for each violation. */
@Command(
        name = "restarts",
        mixinStandardHelpOptions = true,
        showDefaultValues = true,
        description = {
            "Holds relays to the rules over series of signals, kills and starts, on loopback, one relay a seed.",
            "Status 0 if every rule was kept; a breach begins with its row of docs/terms-audit.md."
        })
public final class RestartSoakCommand implements Part {
    @Option(names = "--seeds", defaultValue = "50", description = "how many runs")
    private int seeds;

    @Option(names = "--from", defaultValue = "1", description = "the first seed")
    private long from;

    @Option(names = "--seconds", defaultValue = "40", description = "how long messages are handed in, in each run")
    private double seconds;

    @Option(names = "--side-by-side", defaultValue = "2", description = "runs at a time")
    private int sideBySide;

    @Override
    public Integer call() throws Exception {
        ExecutorService pool = Executors.newFixedThreadPool(sideBySide);
        List<Future<RestartSoak.Result>> results = new ArrayList<>();
        for (long seed = from; seed < from + seeds; seed++) {
            RestartSoak soak = new RestartSoak(seed, seconds);
            results.add(pool.submit(soak::run));
        }
        pool.shutdown();
        int broken = 0;
        for (Future<RestartSoak.Result> future : results) {
            RestartSoak.Result result = future.get();
            System.out.println(result);
            result.violations().forEach(violation -> System.out.println("  " + violation));
            broken += result.violations().isEmpty() ? 0 : 1;
        }
        System.out.println(broken + " of " + seeds + " broken");
        return broken == 0 ? 0 : 1;
    }
}
