package firstair.relay;

import java.util.List;

/** A configuration that cannot be used; the message names the field, or all the places of a file that are wrong. */
public final class ConfigException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient List<String> lines;

    /** Names the field and what is wrong with it. */
    public ConfigException(String field, String what) {
        this(List.of(("config: field " + field + ": " + what).replaceAll("\\s+", " ")));
    }

    /** Names several places, a line each. */
    public ConfigException(List<String> lines) {
        super(String.join("; ", lines));
        this.lines = lines;
    }

    /** What is wrong, a line for each place. */
    public List<String> lines() {
        return lines;
    }
}
