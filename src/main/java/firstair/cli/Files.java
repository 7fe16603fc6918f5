package firstair.cli;

import firstair.relay.TunableSettings;
import java.util.HashMap;
import java.util.Map;
import picocli.CommandLine.Option;

/** The flags that name a relay's files; each goes before the variable of the environment that says the same. */
final class Files {
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

    /** The environment as the flags have it. */
    Map<String, String> over(Map<String, String> env) {
        Map<String, String> all = new HashMap<>(env);
        if (config != null) {
            all.put("ROUTER_CONFIG", config);
        }
        if (state != null) {
            all.put("ROUTER_STATE", state);
        }
        if (settings != null) {
            all.put(TunableSettings.FILE, settings);
        }
        set.forEach((name, value) -> all.put(TunableSettings.FLAG + name, value));
        return all;
    }

    /** Where what the variable says comes from. */
    String origin(String variable) {
        return (variable.equals("ROUTER_CONFIG") ? config : state) != null
                ? "flag"
                : System.getenv(variable) != null ? "environment" : "not set";
    }
}
