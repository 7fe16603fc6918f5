package firstair.fleet.residency;

import firstair.fleet.fault.Fault;
import java.time.DateTimeException;
import java.time.OffsetDateTime;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * In which zones a tenant's messages may be stored and sent.
 *
 * <p>{@code always} is a promise of the operators: these zones stay allowed for as long as any relay may know of them,
 * so a relay that can confirm nothing may go on there. {@link #follows} holds the fleet to it.
 *
 * @param tenant   its name, as in {@code X-Addressing}
 * @param zones    zones allowed, one at least
 * @param classes  zones allowed for a class of messages, instead of {@code zones}
 * @param always   zones that are allowed whatever is agreed later, none if empty
 * @param callsPerS calls a second over all relays, 0 if there is no quota
 * @param from     from when it allows what its forerunner did not, ms since 1970
 */
public record Contract(
        String tenant,
        Set<String> zones,
        Map<String, Set<String>> classes,
        Set<String> always,
        double callsPerS,
        long from) {
    private static final String NAME = "[A-Za-z0-9._-]{1,64}"; // it stands in a header and in names of budgets
    private static final Set<String> FIELDS =
            new TreeSet<>(List.of("tenant", "zones", "always", "classes", "calls_per_s", "from"));

    /**
     * A contract that holds together.
     *
     * @throws Fault.BadContract naming the field otherwise
     */
    public Contract {
        if (tenant == null || !tenant.matches(NAME)) {
            throw new Fault.BadContract(
                    String.valueOf(tenant), "tenant: has to be 1 to 64 letters, digits, dots, hyphens or underscores");
        }
        zones = names(tenant, "zones", zones);
        always = always == null || always.isEmpty() ? Set.of() : names(tenant, "always", always);
        if (zones.isEmpty()) {
            throw new Fault.BadContract(tenant, "zones: names none");
        }
        within(tenant, always, "zones", zones);
        Map<String, Set<String>> sorted = new TreeMap<>();
        for (Map.Entry<String, Set<String>> each :
                (classes == null ? Map.<String, Set<String>>of() : classes).entrySet()) {
            String field = "classes." + each.getKey();
            Set<String> allowed = names(tenant, field, each.getValue());
            if (each.getKey() == null || each.getKey().isBlank() || allowed.isEmpty()) {
                throw new Fault.BadContract(tenant, field + ": needs a name and one zone at least");
            }
            within(tenant, always, field, allowed);
            sorted.put(each.getKey(), allowed);
        }
        classes = Collections.unmodifiableMap(sorted);
        if (!(callsPerS >= 0) || Double.isInfinite(callsPerS)) {
            throw new Fault.BadContract(tenant, "calls_per_s: has to be 0 or more, is " + callsPerS);
        }
        if (from < 0) {
            throw new Fault.BadContract(tenant, "from: has to be 1970 or later");
        }
    }

    /** The zones allowed for a class of messages. */
    public Set<String> zones(String messageClass) {
        Set<String> own = messageClass == null ? null : classes.get(messageClass);
        return own == null ? zones : own;
    }

    /**
     * Contracts from plain values, as a settings file gives them, by tenant.
     *
     * @param tables     one for each contract
     * @param knownZones zones that exist
     * @throws Fault.BadContract naming the first field that is wrong
     */
    public static Map<String, Contract> read(List<Map<String, Object>> tables, Set<String> knownZones) {
        Map<String, Contract> all = new LinkedHashMap<>();
        for (Map<String, Object> table : tables) {
            String who = table.get("tenant") instanceof String s ? s : "number " + (all.size() + 1);
            for (String field : new TreeSet<>(table.keySet())) {
                if (!FIELDS.contains(field)) {
                    throw new Fault.BadContract(who, field + ": no such field, there are " + String.join(", ", FIELDS));
                }
            }
            if (!(table.get("tenant") instanceof String)) {
                throw new Fault.BadContract(who, "tenant: has to be text");
            }
            Contract c = new Contract(
                    who,
                    list(who, "zones", table.get("zones")),
                    classes(who, table.get("classes")),
                    list(who, "always", table.get("always")),
                    number(who, table.get("calls_per_s")),
                    moment(who, table.get("from")));
            c.checkKnown(knownZones);
            if (all.put(who, c) != null) {
                throw new Fault.BadContract(who, "tenant: has two contracts");
            }
        }
        return Collections.unmodifiableMap(all);
    }

    /**
     * Checks that contracts may be agreed after earlier ones: no zone that was promised by {@code always} is taken
     * away. To take one away it is first taken out of {@code always}; once every relay has that version, and no
     * settings file names it any more, it may be taken out of {@code zones}.
     *
     * @param earlier all versions that any relay may still know
     * @throws Fault.BadContract of the first tenant whose promise would be broken
     */
    public static void follows(Collection<Map<String, Contract>> earlier, Map<String, Contract> next) {
        for (Map<String, Contract> version : earlier) {
            for (Contract before : version.values()) {
                Contract after = next.get(before.tenant);
                for (String zone : before.always) {
                    if (after == null || !after.allowsEverywhere(zone)) {
                        throw new Fault.BadContract(
                                before.tenant,
                                "zones: leaves out " + zone
                                        + ", which always has promised; take it out of always first, everywhere");
                    }
                }
            }
        }
    }

    private boolean allowsEverywhere(String zone) {
        return zones.contains(zone) && classes.values().stream().allMatch(allowed -> allowed.contains(zone));
    }

    private void checkKnown(Set<String> known) {
        if (Collections.disjoint(zones, known)) {
            throw new Fault.BadContract(tenant, "zones: none of " + String.join(", ", zones) + " is known");
        }
        classes.forEach((name, allowed) -> {
            if (Collections.disjoint(allowed, known)) {
                throw new Fault.BadContract(
                        tenant, "classes." + name + ": none of " + String.join(", ", allowed) + " is known");
            }
        });
    }

    private static void within(String tenant, Set<String> always, String field, Set<String> allowed) {
        for (String zone : always) {
            if (!allowed.contains(zone)) {
                throw new Fault.BadContract(tenant, "always: names " + zone + ", which " + field + " leaves out");
            }
        }
    }

    /** Sorted, so that the same contracts give the same history. */
    private static Set<String> names(String tenant, String field, Collection<String> values) {
        Set<String> sorted = new TreeSet<>();
        for (String value : values == null ? List.<String>of() : values) {
            if (value == null || value.isBlank()) {
                throw new Fault.BadContract(tenant, field + ": names a blank zone");
            }
            sorted.add(value);
        }
        return Collections.unmodifiableSet(sorted);
    }

    private static Set<String> list(String tenant, String field, Object value) {
        if (value == null) {
            return Set.of();
        }
        if (!(value instanceof List<?> given)) {
            throw new Fault.BadContract(tenant, field + ": has to be a list of zones");
        }
        List<String> texts = new ArrayList<>();
        for (Object each : given) {
            if (!(each instanceof String text)) {
                throw new Fault.BadContract(tenant, field + ": has to be a list of zones");
            }
            texts.add(text);
        }
        return names(tenant, field, texts);
    }

    private static Map<String, Set<String>> classes(String tenant, Object value) {
        Map<String, Set<String>> all = new TreeMap<>();
        if (value != null && !(value instanceof Map<?, ?>)) {
            throw new Fault.BadContract(tenant, "classes: has to be a table of lists of zones");
        }
        if (value instanceof Map<?, ?> given) {
            given.forEach((name, zones) -> all.put(String.valueOf(name), list(tenant, "classes." + name, zones)));
        }
        return all;
    }

    private static double number(String tenant, Object value) {
        if (value != null && !(value instanceof Number)) {
            throw new Fault.BadContract(tenant, "calls_per_s: has to be a number");
        }
        return value == null ? 0 : ((Number) value).doubleValue();
    }

    private static long moment(String tenant, Object value) {
        if (value == null || value instanceof Long) {
            return value == null ? 0 : (Long) value;
        }
        try {
            return OffsetDateTime.parse(value.toString()).toInstant().toEpochMilli();
        } catch (DateTimeException | ArithmeticException e) {
            throw new Fault.BadContract(tenant, "from: has to be a date and time with its offset, or ms since 1970");
        }
    }
}
