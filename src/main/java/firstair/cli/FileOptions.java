package firstair.cli;

import firstair.relay.TunableSettings;
import java.util.HashMap;
import java.util.Map;
import picocli.CommandLine.Option;

/** Flags that name a relay's files; each overrides the corresponding environment variable. */
final class FileOptions {
    @Option(
            names = "--config",
            paramLabel = "FILE",
            description = "the platform's configuration, JSON;" + " in place of $$ROUTER_CONFIG")
    private String config;

    @Option(names = "--state", paramLabel = "FOLDER", description = "the folder that lasts; in place of $$ROUTER_STATE")
    private String state;

    @Option(
            names = "--settings",
            paramLabel = "FILE",
            description = "settings of ours, TOML; in place of" + " $$FIRSTAIR_SETTINGS")
    private String settings;

    @Option(
            names = "--set",
            paramLabel = "NAME=VALUE",
            mapFallbackValue = "",
            description = "one setting of ours," + " such as platform.answer=500ms; goes before variables and the file")
    private Map<String, String> set = Map.of();

    /** Returns a copy of the environment in which the flags override its variables. */
    Map<String, String> applyTo(Map<String, String> env) {
        Map<String, String> variables = new HashMap<>(env);
        if (config != null) {
            variables.put("ROUTER_CONFIG", config);
        }
        if (state != null) {
            variables.put("ROUTER_STATE", state);
        }
        if (settings != null) {
            variables.put(TunableSettings.FILE_VARIABLE, settings);
        }
        set.forEach((name, value) -> variables.put(TunableSettings.FLAG_PREFIX + name, value));
        return variables;
    }

    /** Where the value of {@code ROUTER_CONFIG} or {@code ROUTER_STATE} was set. */
    String origin(String variable) {
        return (variable.equals("ROUTER_CONFIG") ? config : state) != null
                ? "flag"
                : System.getenv(variable) != null ? "environment" : "not set";
    }
}
