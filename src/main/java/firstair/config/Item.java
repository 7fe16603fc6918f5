package firstair.config;

/**
 * One value that can be set.
 *
 * @param path     its table and name, with a dot between them
 * @param kind     what it is
 * @param usual    what holds where nobody sets it, as people write it
 * @param least    the least that is allowed, in the kind's unit; of texts, letters or how many
 * @param most     the most that is allowed
 * @param atReload whether a running program takes it over, or waits for its next start
 * @param meaning  what it does, a sentence without its full stop
 */
public record Item(String path, Kind kind, String usual, double least, double most, boolean atReload, String meaning) {
    /** An item must hold its own usual value. */
    public Item {
        double value = kind.read(usual);
        if (!(value >= least && value <= most)) {
            throw new IllegalArgumentException(path + ": usual value " + usual + " is not allowed");
        }
    }

    /** What may be written there, for people. */
    public String allowed() {
        return switch (kind) {
            case FLAG -> kind.form();
            case TEXT, NAMES -> kind.form() + ", " + (long) most + (kind == Kind.TEXT ? " letters" : "") + " at most";
            default -> kind.form() + " from " + kind.write(least) + " to " + kind.write(most);
        };
    }

    /** What holds where nobody sets it. */
    public Values.Value usually() {
        return value(usual, "", "");
    }

    /** What a text sets; its number is NaN if the text is none of this kind. */
    Values.Value value(String text, String origin, String overrode) {
        String kept = kind == Kind.TEXT ? text.strip() : kind == Kind.NAMES ? String.join(",", Kind.names(text)) : "";
        return new Values.Value(kind.read(text), kept, origin, overrode);
    }

    /** A value as people write it: in its unit, or as a text in quotes. */
    public String write(Values.Value value) {
        return kind.isText()
                ? '"' + value.text().replace("\\", "\\\\").replace("\"", "\\\"") + '"'
                : kind.write(value.value());
    }
}
