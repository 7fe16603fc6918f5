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

/** Root command: registers the subcommands and handles help, version, completion and exit statuses. */
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
    private static final int STATUS_FAILED = 1;
    private static final int STATUS_INVALID = 2;

    @Spec
    private CommandSpec spec;

    private Cli() {}

    /** Reads the version from the manifest of the jar. */
    static final class Version implements IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Cli.class.getPackage().getImplementationVersion();
            return new String[] {
                "firstair " + (version == null ? "(not from a jar)" : version) + ", Java " + Runtime.version()
            };
        }
    }

    /** Runs the command that the arguments name; returns the exit status: 0 done, 1 failed, 2 invalid input. */
    public static int run(String... args) {
        CommandLine commandLine = new CommandLine(new Cli());
        ServiceLoader.load(Part.class).forEach(commandLine::addSubcommand);
        commandLine.setExecutionExceptionHandler((exception, command, parsed) -> {
            if (exception instanceof ConfigException) {
                ((ConfigException) exception).lines().forEach(line -> command.getErr()
                        .println("firstair: " + line));
                return STATUS_INVALID;
            }
            command.getErr().println("firstair: " + exception);
            return STATUS_FAILED;
        });
        return commandLine.execute(args);
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "firstair: which command?");
    }
}
