package firstair.relay;

import java.util.List;

/** An invalid configuration. The message names the field, or lists every error of a file. */
public final class ConfigException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient List<String> lines;

    /** Reports one error, in one line that names the field. */
    public ConfigException(String field, String problem) {
        this(List.of(("config: field " + field + ": " + problem).replaceAll("\\s+", " ")));
    }

    /** Reports several errors, one line each. */
    public ConfigException(List<String> lines) {
        super(String.join("; ", lines));
        this.lines = lines;
    }

    /** The errors, one line each. */
    public List<String> lines() {
        return lines;
    }
}
