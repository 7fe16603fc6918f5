package firstair.config;

/**
 * One value that can be set.
 *
 * @param path     its table and name, with a dot between them
 * @param kind     what it is
 * @param usual    what holds where nobody sets it, as people write it
 * @param least    the least that is allowed, in the kind's unit
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
        return kind == Kind.FLAG ? kind.form() : kind.form() + " from " + kind.write(least) + " to " + kind.write(most);
    }
}
