package firstair.settings;

/** Named text values, with typed access to them. */
public abstract class Fields {
    /** The value of a name, or null if it is absent. */
    protected abstract String value(String name);

    /** Creates the exception of this source for an invalid field. */
    public abstract RuntimeException invalid(String name, String what);

    /** Whether the field is present. */
    public final boolean has(String name) {
        return value(name) != null;
    }

    /** A required field. */
    public final String text(String name) {
        String value = value(name);
        if (value == null) {
            throw invalid(name, "missing");
        }
        return value;
    }

    /** A field, or {@code absent} if there is none. */
    public final String text(String name, String absent) {
        String value = value(name);
        return value == null ? absent : value;
    }

    /** A required finite number. */
    public final double number(String name) {
        String value = text(name);
        double number;
        try {
            number = Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw invalid(name, "not a number: " + value);
        }
        if (!Double.isFinite(number)) {
            throw invalid(name, "not a finite number: " + value);
        }
        return number;
    }

    /** A finite number, or {@code absent} if there is none. */
    public final double number(String name, double absent) {
        return has(name) ? number(name) : absent;
    }

    /** A required whole number. */
    public final long whole(String name) {
        String value = text(name);
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw invalid(name, "not a whole number: " + value);
        }
    }

    /** A whole number, or {@code absent} if there is none. */
    public final long whole(String name, long absent) {
        return has(name) ? whole(name) : absent;
    }

    /** A required whole number from 0 to {@link Integer#MAX_VALUE}. */
    public final int index(String name) {
        long value = whole(name);
        if (value < 0 || value > Integer.MAX_VALUE) {
            throw invalid(name, "out of range: " + value);
        }
        return (int) value;
    }

    /** A boolean, or {@code absent} if there is none. */
    public final boolean flag(String name, boolean absent) {
        String value = value(name);
        if (value == null) {
            return absent;
        }
        return switch (value) {
            case "1", "true" -> true;
            case "0", "false" -> false;
            default -> throw invalid(name, "not a boolean: " + value);
        };
    }
}
