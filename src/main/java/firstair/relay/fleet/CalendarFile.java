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

/** The file with the calendars that requests for bookings may repeat by: a {@code [[calendar]]} each. */
final class CalendarFile {
    private static final Set<String> FIELDS =
            new TreeSet<>(List.of("name", "zone", "countries", "weekend", "closed", "opens", "closes", "cut_off"));

    private CalendarFile() {}

    /**
     * The calendars by name; no path is none.
     *
     * @throws Fault.BadSetup    if the file cannot be read
     * @throws Fault.BadCalendar if a calendar in it cannot be used
     */
    static Map<String, Calendar> read(String path) {
        Map<String, Calendar> all = new LinkedHashMap<>();
        if (!path.isEmpty()) {
            Tables file = new Tables("fleet.calendars", path);
            for (Map<String, Object> table : file.each("calendar")) {
                String name = String.valueOf(table.get("name"));
                if (!(table.get("name") instanceof String)) {
                    throw file.bad("a calendar without a name");
                }
                if (all.put(name, new Calendar(terms(name, table))) != null) {
                    throw new Fault.BadCalendar(name, "stands there twice");
                }
            }
        }
        return all;
    }

    private static Calendar.Terms terms(String name, Map<String, Object> table) {
        for (String field : table.keySet()) {
            if (!FIELDS.contains(field)) {
                throw new Fault.BadCalendar(name, "no field " + field + ", there are " + String.join(", ", FIELDS));
            }
        }
        return new Calendar.Terms(
                name,
                String.valueOf(table.getOrDefault("zone", "UTC")),
                List.copyOf(each(name, table, "countries", c -> c)),
                each(name, table, "weekend", d -> DayOfWeek.valueOf(d.toUpperCase(Locale.ROOT))),
                each(name, table, "closed", LocalDate::parse),
                time(name, table, "opens", LocalTime.MIDNIGHT),
                time(name, table, "closes", LocalTime.MIDNIGHT),
                time(name, table, "cut_off", LocalTime.MAX));
    }

    private static <T> Set<T> each(String name, Map<String, Object> table, String field, Function<String, T> read) {
        Set<T> all = new TreeSet<>();
        if (!(table.getOrDefault(field, List.of()) instanceof List<?> given)) {
            throw new Fault.BadCalendar(name, field + " has to be a list");
        }
        for (Object one : given) {
            all.add(read(name, field, one, read));
        }
        return all;
    }

    private static LocalTime time(String name, Map<String, Object> table, String field, LocalTime usual) {
        return table.containsKey(field) ? read(name, field, table.get(field), LocalTime::parse) : usual;
    }

    private static <T> T read(String name, String field, Object value, Function<String, T> read) {
        try {
            return read.apply(String.valueOf(value)); // dates and times may be TOML's own or texts
        } catch (DateTimeException | IllegalArgumentException e) {
            throw new Fault.BadCalendar(name, field + " has " + value);
        }
    }
}
