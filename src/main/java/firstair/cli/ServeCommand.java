package firstair.cli;

import firstair.Serve;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Runs a relay; flags override environment variables. */
@Command(
        name = "serve",
        mixinStandardHelpOptions = true,
        description = {
            "Runs one relay until SIGTERM.",
            "SIGHUP reads the configuration again. deploy/run.sh does the same with a heap that suits limits.memory_mb."
        })
public final class ServeCommand implements Part {
    @Mixin
    private FileOptions fileOptions;

    @Override
    public Integer call() throws InterruptedException {
        return Serve.run(fileOptions.applyTo(System.getenv()));
    }
}
