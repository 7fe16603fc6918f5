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
 * Residency contract: the zones in which a tenant's messages may be stored and sent.
 *
 * <p>{@code always} is a guarantee of the operators: these zones stay allowed as long as any relay may hold a version
 * that names them, so a relay that cannot confirm its contracts may keep using them. {@link #checkKeepsGuarantees}
 * enforces this.
 *
 * @param tenant    name of the tenant, as in {@code X-Addressing}
 * @param zones     allowed zones, at least one
 * @param classes   allowed zones of a message class, overriding {@code zones}
 * @param always    zones that stay allowed whatever is agreed later, may be empty
 * @param callsPerS quota in calls per second over all relays, 0 if there is none
 * @param from      when the zones that the previous contract did not allow become allowed, epoch ms
 */
public record Contract(
        String tenant,
        Set<String> zones,
        Map<String, Set<String>> classes,
        Set<String> always,
        double callsPerS,
        long from) {
    private static final String NAME = "[A-Za-z0-9._-]{1,64}"; // used in a header and in names of budgets
    private static final Set<String> FIELDS =
            new TreeSet<>(List.of("tenant", "zones", "always", "classes", "calls_per_s", "from"));

    /**
     * Validates the contract.
     *
     * @throws Fault.BadContract naming the invalid field
     */
    public Contract {
        if (tenant == null || !tenant.matches(NAME)) {
            throw new Fault.BadContract(
                    String.valueOf(tenant), "tenant: has to be 1 to 64 letters, digits, dots, hyphens or underscores");
        }
        zones = sortedZones(tenant, "zones", zones);
        always = always == null || always.isEmpty() ? Set.of() : sortedZones(tenant, "always", always);
        if (zones.isEmpty()) {
            throw new Fault.BadContract(tenant, "zones: names none");
        }
        checkAlwaysWithin(tenant, always, "zones", zones);
        Map<String, Set<String>> sorted = new TreeMap<>();
        for (Map.Entry<String, Set<String>> entry :
                (classes == null ? Map.<String, Set<String>>of() : classes).entrySet()) {
            String field = "classes." + entry.getKey();
            Set<String> allowed = sortedZones(tenant, field, entry.getValue());
            if (entry.getKey() == null || entry.getKey().isBlank() || allowed.isEmpty()) {
                throw new Fault.BadContract(tenant, field + ": needs a name and one zone at least");
            }
            checkAlwaysWithin(tenant, always, field, allowed);
            sorted.put(entry.getKey(), allowed);
        }
        classes = Collections.unmodifiableMap(sorted);
        if (!(callsPerS >= 0) || Double.isInfinite(callsPerS)) {
            throw new Fault.BadContract(tenant, "calls_per_s: has to be 0 or more, is " + callsPerS);
        }
        if (from < 0) {
            throw new Fault.BadContract(tenant, "from: has to be 1970 or later");
        }
    }

    /** Allowed zones of a message class. */
    public Set<String> zones(String messageClass) {
        Set<String> own = messageClass == null ? null : classes.get(messageClass);
        return own == null ? zones : own;
    }

    /**
     * Reads contracts from the tables of a settings file, by tenant.
     *
     * @param tables     one table per contract
     * @param knownZones zones that exist
     * @throws Fault.BadContract naming the first invalid field
     */
    public static Map<String, Contract> read(List<Map<String, Object>> tables, Set<String> knownZones) {
        Map<String, Contract> all = new LinkedHashMap<>();
        for (Map<String, Object> table : tables) {
            String name = table.get("tenant") instanceof String s ? s : "number " + (all.size() + 1);
            for (String field : new TreeSet<>(table.keySet())) {
                if (!FIELDS.contains(field)) {
                    throw new Fault.BadContract(
                            name, field + ": no such field, there are " + String.join(", ", FIELDS));
                }
            }
            if (!(table.get("tenant") instanceof String)) {
                throw new Fault.BadContract(name, "tenant: has to be text");
            }
            Contract contract = new Contract(
                    name,
                    zoneList(name, "zones", table.get("zones")),
                    zonesByClass(name, table.get("classes")),
                    zoneList(name, "always", table.get("always")),
                    callRate(name, table.get("calls_per_s")),
                    epochMs(name, table.get("from")));
            contract.checkZonesExist(knownZones);
            if (all.put(name, contract) != null) {
                throw new Fault.BadContract(name, "tenant: has two contracts");
            }
        }
        return Collections.unmodifiableMap(all);
    }

    /**
     * Checks that contracts may follow earlier versions: they must keep every zone that an earlier version names in
     * {@code always}. To remove such a zone, first remove it from {@code always}; once every relay has that version,
     * and no settings file names the zone in {@code always} any more, it may be removed from {@code zones}.
     *
     * @param earlier all versions that any relay may still hold
     * @throws Fault.BadContract for the first tenant whose guarantee would be broken
     */
    public static void checkKeepsGuarantees(Collection<Map<String, Contract>> earlier, Map<String, Contract> next) {
        for (Map<String, Contract> version : earlier) {
            for (Contract before : version.values()) {
                Contract after = next.get(before.tenant);
                for (String zone : before.always) {
                    if (after == null || !after.allowsForAllClasses(zone)) {
                        throw new Fault.BadContract(
                                before.tenant,
                                "zones: leaves out " + zone
                                        + ", which always has promised; take it out of always first, everywhere");
                    }
                }
            }
        }
    }

    private boolean allowsForAllClasses(String zone) {
        return zones.contains(zone) && classes.values().stream().allMatch(allowed -> allowed.contains(zone));
    }

    private void checkZonesExist(Set<String> known) {
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

    private static void checkAlwaysWithin(String tenant, Set<String> always, String field, Set<String> allowed) {
        for (String zone : always) {
            if (!allowed.contains(zone)) {
                throw new Fault.BadContract(tenant, "always: names " + zone + ", which " + field + " leaves out");
            }
        }
    }

    /** Sorted, so that equal contracts lead to identical histories. */
    private static Set<String> sortedZones(String tenant, String field, Collection<String> values) {
        Set<String> sorted = new TreeSet<>();
        for (String value : values == null ? List.<String>of() : values) {
            if (value == null || value.isBlank()) {
                throw new Fault.BadContract(tenant, field + ": names a blank zone");
            }
            sorted.add(value);
        }
        return Collections.unmodifiableSet(sorted);
    }

    private static Set<String> zoneList(String tenant, String field, Object value) {
        if (value == null) {
            return Set.of();
        }
        if (!(value instanceof List<?> given)) {
            throw new Fault.BadContract(tenant, field + ": has to be a list of zones");
        }
        List<String> texts = new ArrayList<>();
        for (Object entry : given) {
            if (!(entry instanceof String text)) {
                throw new Fault.BadContract(tenant, field + ": has to be a list of zones");
            }
            texts.add(text);
        }
        return sortedZones(tenant, field, texts);
    }

    private static Map<String, Set<String>> zonesByClass(String tenant, Object value) {
        Map<String, Set<String>> all = new TreeMap<>();
        if (value != null && !(value instanceof Map<?, ?>)) {
            throw new Fault.BadContract(tenant, "classes: has to be a table of lists of zones");
        }
        if (value instanceof Map<?, ?> given) {
            given.forEach((name, zones) -> all.put(String.valueOf(name), zoneList(tenant, "classes." + name, zones)));
        }
        return all;
    }

    private static double callRate(String tenant, Object value) {
        if (value != null && !(value instanceof Number)) {
            throw new Fault.BadContract(tenant, "calls_per_s: has to be a number");
        }
        return value == null ? 0 : ((Number) value).doubleValue();
    }

    private static long epochMs(String tenant, Object value) {
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
