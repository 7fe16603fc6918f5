package firstair.cli;

import firstair.config.Item;
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

/** Looks at a configuration without serving by it. */
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
    int check(@Mixin Files files) {
        Config c = read(files);
        spec.commandLine().getOut().println("relay " + c.name() + ": the configuration can be used");
        return 0;
    }

    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description = "Prints what a relay would serve by, a value a line, and where the files were named.")
    int show(@Mixin Files files) throws ReflectiveOperationException {
        Config c = read(files);
        PrintWriter out = spec.commandLine().getOut();
        out.println("# ROUTER_CONFIG: " + files.origin("ROUTER_CONFIG") + ", ROUTER_STATE: "
                + files.origin("ROUTER_STATE"));
        out.println("name = " + c.name());
        out.println("listen = " + HostPort.of(c.listen()));
        out.println("discovery = " + HostPort.of(c.discovery()));
        out.println("state = " + c.state());
        out.println("known = "
                + (c.known() == null
                        ? "none"
                        : c.known().entries().size() + " endpoints, version "
                                + c.known().version()));
        for (Item i : TunableSettings.schema().items()) {
            Values.Value v = c.own().value(i.path());
            out.println(i.path() + " = "
                    + (v == null
                            ? i.write(i.usually()) + "  # usual"
                            : i.write(v) + "  # " + v.origin()
                                    + (v.overrode().isEmpty() ? "" : ", not " + v.overrode())));
        }
        print(out, "limits.", c.limits().tuned(c.own()), Limits.class);
        print(
                out,
                "settings.limits.",
                c.settings().limits(),
                c.settings().limits().getClass());
        print(out, "settings.rules.", c.settings().rules(), c.settings().rules().getClass());
        c.settings().classes().forEach(k -> out.println("settings.classes." + k.name() + " = " + k));
        return 0;
    }

    @Command(
            name = "reference",
            mixinStandardHelpOptions = true,
            description = "Prints the reference of the settings that are ours, in Markdown.")
    int reference() {
        spec.commandLine().getOut().print(page());
        spec.commandLine().getOut().flush();
        return 0;
    }

    /** The reference page, {@code docs/configuration.md}. */
    static String page() {
        return TunableSettings.schema()
                .reference(
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

    private static Config read(Files files) {
        Map<String, String> env = files.over(System.getenv());
        Config c = Config.read(env).with(TunableSettings.read(env));
        FleetConfig.of(c.own(), c); // as serve does: what cannot be used ends here
        return c;
    }

    private static void print(PrintWriter out, String before, Object of, Class<?> type)
            throws ReflectiveOperationException {
        for (RecordComponent r : type.getRecordComponents()) {
            Object value = r.getAccessor().invoke(of);
            if (value instanceof Record) {
                print(out, before + r.getName() + ".", value, value.getClass());
            } else {
                out.println(before + r.getName() + " = " + value);
            }
        }
    }
}
