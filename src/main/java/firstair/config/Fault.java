package firstair.config;

/**
 * One thing that is wrong with a configuration: where it stands, what was found there, what is allowed.
 *
 * @param source the file, variable or flag
 * @param line   line in a file from 1 on, 0 where there is none
 * @param column column in that line from 1 on, 0 where there is none
 */
public record Fault(String source, int line, int column, String what) {
    private static final int LONGEST = 200;

    /** Cuts what is long and makes one line of it: a file must not forge lines of our log. */
    public Fault {
        StringBuilder clean = new StringBuilder();
        what.codePoints()
                .limit(LONGEST)
                .forEach(c -> clean.appendCodePoint(Character.isISOControl(c) || c == 0x2028 || c == 0x2029 ? ' ' : c));
        what = clean.toString();
    }

    @Override
    public String toString() {
        return source + (line > 0 ? ":" + line + ":" + column : "") + ": " + what;
    }
}
