package firstair.config;

/**
 * An error in a configuration: its position, what was found there and what is allowed.
 *
 * @param source the file, variable or flag
 * @param line   line in the file, counted from 1; 0 if there is none
 * @param column column in that line, counted from 1; 0 if there is none
 * @param what   description, kept to one line of limited length
 */
public record ConfigError(String source, int line, int column, String what) {
    private static final int MAX_LENGTH = 200;

    /** Shortens the description and removes its line breaks, so that a file cannot forge lines of our log. */
    public ConfigError {
        StringBuilder clean = new StringBuilder();
        what.codePoints()
                .limit(MAX_LENGTH)
                .forEach(c -> clean.appendCodePoint(Character.isISOControl(c) || c == 0x2028 || c == 0x2029 ? ' ' : c));
        what = clean.toString();
    }

    @Override
    public String toString() {
        return source + (line > 0 ? ":" + line + ":" + column : "") + ": " + what;
    }
}
