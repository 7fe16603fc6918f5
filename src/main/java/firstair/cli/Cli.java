package firstair.cli;

import firstair.relay.ConfigException;
import java.util.ServiceLoader;
import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.HelpCommand;
import picocli.CommandLine.IVersionProvider;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** The program's commands and what they share: help, version, completion, exit statuses. */
@Command(
        name = "firstair",
        mixinStandardHelpOptions = true,
        versionProvider = Cli.Version.class,
        description = "An outbound gateway: relays that deliver messages to many partners' systems.",
        subcommands = {HelpCommand.class, AutoComplete.GenerateCompletion.class},
        synopsisSubcommandLabel = "COMMAND",
        exitCodeListHeading = "%nExit status:%n",
        exitCodeList = {
            "0:done, or ended in order",
            "1:failed, with one line on standard error",
            "2:a flag, a file or a variable cannot be used"
        },
        footer = {
            "",
            "Flags go before the environment, the environment before the file.",
            "firstair COMMAND --help tells more of a command."
        })
public final class Cli implements Runnable {
    private static final int FAILED = 1;
    private static final int UNUSABLE = 2;

    @Spec
    private CommandSpec spec;

    private Cli() {}

    /** Tells the version that the build has written into the program. */
    static final class Version implements IVersionProvider {
        @Override
        public String[] getVersion() {
            String built = Cli.class.getPackage().getImplementationVersion();
            return new String[] {
                "firstair " + (built == null ? "(not from a jar)" : built) + ", Java " + Runtime.version()
            };
        }
    }

    /** Runs the command that the arguments name and returns its exit status. */
    public static int run(String... args) {
        CommandLine line = new CommandLine(new Cli());
        ServiceLoader.load(Part.class).forEach(line::addSubcommand);
        line.setExecutionExceptionHandler((e, at, parsed) -> {
            if (e instanceof ConfigException) {
                ((ConfigException) e).lines().forEach(l -> at.getErr().println("firstair: " + l));
                return UNUSABLE;
            }
            at.getErr().println("firstair: " + e);
            return FAILED;
        });
        return line.execute(args);
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "firstair: which command?");
    }
}
