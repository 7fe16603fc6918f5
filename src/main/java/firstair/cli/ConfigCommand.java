package firstair.cli;

import firstair.config.Setting;
import firstair.config.Values;
import firstair.relay.Config;
import firstair.relay.HostPort;
import firstair.relay.Limits;
import firstair.relay.TunableSettings;
import firstair.relay.fleet.FleetConfig;
import java.io.PrintWriter;
import java.lang.reflect.RecordComponent;
import java.util.Map;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Checks, shows, documents or migrates a configuration without starting a relay. */
@Command(
        name = "config",
        mixinStandardHelpOptions = true,
        description = "Checks or shows a relay's configuration.",
        synopsisSubcommandLabel = "COMMAND",
        subcommands = MigrateCommand.class)
public final class ConfigCommand implements Part {
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return 2;
    }

    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description = {
                "Reads the configuration as serve would.",
                "Status 0 if a relay could start with it; else status 2 and one line" + " that names the field."
            })
    int check(@Mixin FileOptions fileOptions) {
        Config config = read(fileOptions);
        spec.commandLine().getOut().println("relay " + config.name() + ": the configuration can be used");
        return 0;
    }

    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description = "Prints what a relay would serve by, a value a line, and where the files were named.")
    int show(@Mixin FileOptions fileOptions) throws ReflectiveOperationException {
        Config config = read(fileOptions);
        PrintWriter out = spec.commandLine().getOut();
        out.println("# ROUTER_CONFIG: " + fileOptions.origin("ROUTER_CONFIG") + ", ROUTER_STATE: "
                + fileOptions.origin("ROUTER_STATE"));
        out.println("name = " + config.name());
        out.println("listen = " + HostPort.format(config.listen()));
        out.println("discovery = " + HostPort.format(config.discovery()));
        out.println("state = " + config.state());
        out.println("known = "
                + (config.knownEndpoints() == null
                        ? "none"
                        : config.knownEndpoints().entries().size() + " endpoints, version "
                                + config.knownEndpoints().version()));
        for (Setting item : TunableSettings.schema().items()) {
            Values.Value value = config.localSettings().value(item.path());
            out.println(item.path() + " = "
                    + (value == null
                            ? item.format(item.defaultValue()) + "  # usual"
                            : item.format(value) + "  # " + value.origin()
                                    + (value.overriddenOrigin().isEmpty() ? "" : ", not " + value.overriddenOrigin())));
        }
        print(out, "limits.", config.limits().withLocalSettings(config.localSettings()), Limits.class);
        print(
                out,
                "settings.limits.",
                config.settings().limits(),
                config.settings().limits().getClass());
        print(
                out,
                "settings.rules.",
                config.settings().rules(),
                config.settings().rules().getClass());
        config.settings()
                .classes()
                .forEach(messageClass -> out.println("settings.classes." + messageClass.name() + " = " + messageClass));
        return 0;
    }

    @Command(
            name = "reference",
            mixinStandardHelpOptions = true,
            description = "Prints the reference of the settings that are ours, in Markdown.")
    int reference() {
        spec.commandLine().getOut().print(referencePage());
        spec.commandLine().getOut().flush();
        return 0;
    }

    /** Renders the reference page, {@code docs/configuration.md}. */
    static String referencePage() {
        return TunableSettings.schema()
                .referencePage(
                        """
                # Settings of ours

                This page is made by `bin/firstair config reference > docs/configuration.md`; a test compares the two.

                The platform's configuration (`ROUTER_CONFIG`, JSON) stays as it is. What is ours stands in a file in
                TOML that `--settings FILE` or `FIRSTAIR_SETTINGS` names, such as `deploy/settings.toml`. A variable
                sets one value (`FIRSTAIR_PLATFORM_ANSWER=500ms`), and so does a flag (`--set platform.answer=500ms`):
                flags go before variables, variables before the file. `bin/firstair config show` tells each value and
                where it came from.

                A file is wrong as a whole: every fault is told, with line and column, what was found and what is
                allowed, and a start ends with status 2. At SIGHUP a faulty or missing file is read again for
                `start.reload`, then the settings read before stay in force. Without any of this nothing here is even
                loaded.
                """);
    }

    private static Config read(FileOptions fileOptions) {
        Map<String, String> env = fileOptions.applyTo(System.getenv());
        Config config = Config.read(env).withLocalSettings(TunableSettings.read(env));
        FleetConfig.of(config.localSettings(), config); // serve validates the fleet's settings as well
        return config;
    }

    /** Prints each component of a record on a line; components of nested records get the name of the outer one. */
    private static void print(PrintWriter out, String prefix, Object object, Class<?> type)
            throws ReflectiveOperationException {
        for (RecordComponent component : type.getRecordComponents()) {
            Object value = component.getAccessor().invoke(object);
            if (value instanceof Record) {
                print(out, prefix + component.getName() + ".", value, value.getClass());
            } else {
                out.println(prefix + component.getName() + " = " + value);
            }
        }
    }
}
