package firstair.relay.fleet;

import firstair.fleet.booking.Calendar;
import firstair.fleet.fault.Fault;
import java.time.DateTimeException;
import java.time.DayOfWeek;
import java.time.LocalDate;
import java.time.LocalTime;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;

/** Reads the file with the calendars for recurring bookings: one {@code [[calendar]]} table each. */
final class CalendarFile {
    private static final Set<String> FIELDS =
            new TreeSet<>(List.of("name", "zone", "countries", "weekend", "closed", "opens", "closes", "cut_off"));

    private CalendarFile() {}

    /**
     * Reads the calendars, by name; none if the path is empty.
     *
     * @throws Fault.BadSetup    if the file cannot be read
     * @throws Fault.BadCalendar if a calendar in it is invalid
     */
    static Map<String, Calendar> read(String path) {
        Map<String, Calendar> all = new LinkedHashMap<>();
        if (!path.isEmpty()) {
            TomlFile file = new TomlFile("fleet.calendars", path);
            for (Map<String, Object> table : file.tables("calendar")) {
                String name = String.valueOf(table.get("name"));
                if (!(table.get("name") instanceof String)) {
                    throw file.error("a calendar without a name");
                }
                if (all.put(name, new Calendar(parseTerms(name, table))) != null) {
                    throw new Fault.BadCalendar(name, "is defined twice");
                }
            }
        }
        return all;
    }

    private static Calendar.Terms parseTerms(String name, Map<String, Object> table) {
        for (String field : table.keySet()) {
            if (!FIELDS.contains(field)) {
                throw new Fault.BadCalendar(
                        name, "unknown field " + field + "; known fields: " + String.join(", ", FIELDS));
            }
        }
        return new Calendar.Terms(
                name,
                String.valueOf(table.getOrDefault("zone", "UTC")),
                List.copyOf(parseSet(name, table, "countries", c -> c)),
                parseSet(name, table, "weekend", d -> DayOfWeek.valueOf(d.toUpperCase(Locale.ROOT))),
                parseSet(name, table, "closed", LocalDate::parse),
                parseTime(name, table, "opens", LocalTime.MIDNIGHT),
                parseTime(name, table, "closes", LocalTime.MIDNIGHT),
                parseTime(name, table, "cut_off", LocalTime.MAX));
    }

    private static <T> Set<T> parseSet(
            String name, Map<String, Object> table, String field, Function<String, T> parser) {
        Set<T> all = new TreeSet<>();
        if (!(table.getOrDefault(field, List.of()) instanceof List<?> values)) {
            throw new Fault.BadCalendar(name, field + " must be a list");
        }
        for (Object value : values) {
            all.add(parse(name, field, value, parser));
        }
        return all;
    }

    private static LocalTime parseTime(String name, Map<String, Object> table, String field, LocalTime defaultTime) {
        return table.containsKey(field) ? parse(name, field, table.get(field), LocalTime::parse) : defaultTime;
    }

    private static <T> T parse(String name, String field, Object value, Function<String, T> parser) {
        try {
            return parser.apply(String.valueOf(value)); // dates and times may be TOML values or texts
        } catch (DateTimeException | IllegalArgumentException e) {
            throw new Fault.BadCalendar(name, field + " has the invalid value " + value);
        }
    }
}
