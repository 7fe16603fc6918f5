package firstair.cli;

import firstair.Serve;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Runs a relay, with flags in place of variables. */
@Command(
        name = "serve",
        mixinStandardHelpOptions = true,
        description = {
            "Runs one relay until SIGTERM.",
            "SIGHUP reads the configuration again. deploy/run.sh does the same with a heap that suits limits.memory_mb."
        })
public final class ServeCommand implements Part {
    @Mixin
    private Files files;

    @Override
    public Integer call() throws InterruptedException {
        return Serve.run(files.over(System.getenv()));
    }
}
