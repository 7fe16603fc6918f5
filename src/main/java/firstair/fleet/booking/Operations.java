package firstair.fleet.booking;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import firstair.fleet.Setup;
import firstair.fleet.fault.Fault;
import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.time.DayOfWeek;
import java.time.LocalDate;
import java.time.LocalDateTime;
import java.time.LocalTime;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** JSON form of operations, for the ledger and for clients; docs/reservations.md has an example of each. */
public final class Operations {
    private static final int MAX_BYTES = 256 * 1024;
    private static final int SHARE_DECIMALS = 6;
    private static final String LOCAL_TIME_FORMAT = "a local time such as 2026-12-31T18:00";

    private Operations() {}

    /**
     * Reads a single operation. Throws {@link Fault.BadRequest} that names the field, and {@link Fault.UnknownEntry}
     * for a kind that this version does not know.
     */
    public static Operation read(byte[] bytes) {
        JsonFields fields = parse(bytes);
        if (fields.has("repeat")) {
            throw new Fault.BadRequest("repeat", "has to be expanded by a calendar first");
        }
        return operation(fields);
    }

    /**
     * Reads what a client submits: a single operation, or a recurring request, which becomes one request for each
     * occurrence. It is expanded before it is proposed to the ledger, because calendars and their libraries may differ
     * between voters.
     *
     * @param calendars by name
     * @param nowMs     epoch ms; only occurrences that can still be requested now are returned
     */
    public static List<Operation> readAll(byte[] bytes, Map<String, Calendar> calendars, long nowMs) {
        JsonFields fields = parse(bytes);
        if (!fields.has("repeat")) {
            return List.of(operation(fields));
        }
        if (!fields.string("kind").equals("put")) {
            throw new Fault.BadRequest("repeat", "is for requests only");
        }
        JsonFields repeatFields = fields.object("repeat");
        Calendar calendar = calendars.get(repeatFields.string("calendar"));
        if (calendar == null) {
            throw new Fault.BadCalendar(repeatFields.string("calendar"), "is not among the settings");
        }
        Calendar.Repeat repeat = new Calendar.Repeat(
                repeatFields.string("rule"),
                repeatFields.parsed("first", "a date such as 2026-12-31", LocalDate::parse),
                repeatFields.parsed("from", "a time such as 18:00", LocalTime::parse),
                repeatFields.parsed("to", "a time such as 20:00", LocalTime::parse),
                repeatFields.parsed(
                        "shift", "before, after or skip", t -> Calendar.Shift.valueOf(t.toUpperCase(Locale.ROOT))),
                repeatFields.has("workday") ? repeatFields.intValue("workday") : 0,
                repeatFields.intValue("most"));
        repeatFields.rejectUnread();
        String id = fields.string("id");
        String team = fields.string("team");
        int rank = fields.intValue("rank");
        Map<Integer, Long> rates = fields.thousandthsByNumber("calls");
        boolean waits = fields.optionalBoolean("wait");
        fields.rejectUnread();
        List<Operation> all = new ArrayList<>();
        for (Calendar.Span span : calendar.expand(repeat, nowMs)) {
            all.add(Operation.Put.of(id + "." + span.day(), team, rank, rates, span.startMs(), span.endMs(), waits));
        }
        return all;
    }

    private static JsonFields parse(byte[] bytes) {
        if (bytes.length > MAX_BYTES) {
            throw new Fault.BadRequest("body", MAX_BYTES + " bytes at most");
        }
        return JsonFields.parse(new String(bytes, StandardCharsets.UTF_8));
    }

    static Operation operation(JsonFields fields) {
        String kind = fields.string("kind");
        Operation read =
                switch (kind) {
                    case "put" -> put(fields);
                    case "confirm" -> new Operation.Confirm(fields.string("id"), fields.string("team"));
                    case "show-up" -> new Operation.ShowUp(fields.string("id"), fields.string("team"));
                    case "end" ->
                        new Operation.End(fields.string("id"), fields.string("team"), fields.string("reason"));
                    case "extend" ->
                        new Operation.Extend(fields.string("id"), fields.string("team"), fields.epochMs("end"));
                    case "move" ->
                        new Operation.Move(
                                fields.string("id"),
                                fields.epochMs("start"),
                                fields.epochMs("end"),
                                fields.string("reason"));
                    case "drop" -> new Operation.Drop(fields.string("id"), fields.string("reason"));
                    case "limit" -> new Operation.Limit(fields.intValue("destination"), fields.thousandths("limit"));
                    case "tick" -> new Operation.Tick();
                    case "set-team" ->
                        new Operation.SetTeam(
                                fields.string("team"), fields.thousandths("quota"), fields.string("zone"));
                    case "set-destination" ->
                        new Operation.SetDestination(
                                fields.intValue("destination"),
                                fields.thousandths("limit"),
                                bookableShare(fields),
                                closingHours(fields));
                    case "set-rules" -> new Operation.SetRules(rules(fields));
                    default ->
                        throw new Fault.UnknownEntry(
                                kind.length() > Operation.MAX_NAME_LENGTH
                                        ? kind.substring(0, Operation.MAX_NAME_LENGTH)
                                        : kind);
                };
        fields.rejectUnread();
        return read;
    }

    /** A request; its times have an offset, or are local with a separate zone. */
    private static Operation.Put put(JsonFields fields) {
        long start;
        long end;
        if (fields.has("zone")) {
            ZoneId zone = Zones.parse(fields.string("zone"), "zone");
            start = fields.parsed("start", LOCAL_TIME_FORMAT, t -> Zones.startMs(LocalDateTime.parse(t), zone));
            end = fields.parsed("end", LOCAL_TIME_FORMAT, t -> Zones.endMs(LocalDateTime.parse(t), zone));
        } else {
            start = fields.epochMs("start");
            end = fields.epochMs("end");
        }
        return Operation.Put.of(
                fields.string("id"),
                fields.string("team"),
                fields.intValue("rank"),
                fields.thousandthsByNumber("calls"),
                start,
                end,
                fields.optionalBoolean("wait"));
    }

    private static int bookableShare(JsonFields fields) {
        long parts = fields.millionths("bookable");
        if (parts < 0 || parts > Setup.WHOLE) {
            throw new Fault.BadRequest("bookable", "has to be from 0 to 1");
        }
        return (int) parts;
    }

    private static List<ClosingHours> closingHours(JsonFields fields) {
        List<ClosingHours> all = new ArrayList<>();
        for (JsonFields entry : fields.has("closed") ? fields.objects("closed") : List.<JsonFields>of()) {
            Set<DayOfWeek> days = new HashSet<>(entry.parsedList(
                    "days", "days such as monday", text -> DayOfWeek.valueOf(text.toUpperCase(Locale.ROOT))));
            all.add(new ClosingHours(
                    entry.string("zone"),
                    days,
                    entry.parsed("from", "a time such as 18:00", LocalTime::parse),
                    entry.parsed("to", "a time such as 20:00", LocalTime::parse),
                    entry.has("dates")
                            ? entry.parsedList("dates", "dates such as 2026-12-31", LocalDate::parse)
                            : List.of()));
            entry.rejectUnread();
        }
        return all;
    }

    private static Rules rules(JsonFields fields) {
        try {
            return new Rules(
                    fields.longValue("sealBeforeMs"),
                    fields.longValue("leadMs"),
                    fields.longValue("longestMs"),
                    fields.longValue("aheadMs"),
                    fields.longValue("holdMs"),
                    fields.longValue("showUpMs"),
                    fields.longValue("forgetMs"),
                    fields.intValue("most"));
        } catch (Fault.BadSetup e) {
            throw new Fault.BadRequest("rules", e.getMessage());
        }
    }

    /** JSON of an operation, identical for equal operations. */
    public static byte[] write(Operation operation) {
        JsonObject json = new JsonObject();
        if (operation instanceof Operation.Put p) {
            put(json, p);
        } else if (operation instanceof Operation.Confirm c) {
            addKindAndId(json, "confirm", c.id()).addProperty("team", c.team());
        } else if (operation instanceof Operation.ShowUp s) {
            addKindAndId(json, "show-up", s.id()).addProperty("team", s.team());
        } else if (operation instanceof Operation.End e) {
            addKindAndId(json, "end", e.id()).addProperty("team", e.team());
            json.addProperty("reason", e.reason());
        } else if (operation instanceof Operation.Extend e) {
            addKindAndId(json, "extend", e.id()).addProperty("team", e.team());
            json.addProperty("end", Json.timestamp(e.endMs()));
        } else if (operation instanceof Operation.Move m) {
            addKindAndId(json, "move", m.id()).addProperty("start", Json.timestamp(m.startMs()));
            json.addProperty("end", Json.timestamp(m.endMs()));
            json.addProperty("reason", m.reason());
        } else if (operation instanceof Operation.Drop d) {
            addKindAndId(json, "drop", d.id()).addProperty("reason", d.reason());
        } else if (operation instanceof Operation.Limit l) {
            json.addProperty("kind", "limit");
            json.addProperty("destination", l.destination());
            json.addProperty("limit", Rates.toCalls(l.limit()));
        } else if (operation instanceof Operation.Tick) {
            json.addProperty("kind", "tick");
        } else if (operation instanceof Operation.SetTeam t) {
            json.addProperty("kind", "set-team");
            json.addProperty("team", t.team());
            json.addProperty("quota", Rates.toCalls(t.quota()));
            json.addProperty("zone", t.zone());
        } else if (operation instanceof Operation.SetDestination d) {
            destination(json, d);
        } else if (operation instanceof Operation.SetRules r) {
            json.addProperty("kind", "set-rules");
            rules(json, r.rules());
        }
        return json.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static JsonObject addKindAndId(JsonObject json, String kind, String id) {
        json.addProperty("kind", kind);
        json.addProperty("id", id);
        return json;
    }

    private static void put(JsonObject json, Operation.Put p) {
        addKindAndId(json, "put", p.id()).addProperty("team", p.team());
        json.addProperty("rank", p.rank());
        json.add("calls", Json.calls(p.rates()));
        json.addProperty("start", Json.timestamp(p.startMs()));
        json.addProperty("end", Json.timestamp(p.endMs()));
        json.addProperty("wait", p.waits());
    }

    private static void destination(JsonObject json, Operation.SetDestination d) {
        json.addProperty("kind", "set-destination");
        json.addProperty("destination", d.destination());
        json.addProperty("limit", Rates.toCalls(d.limit()));
        BigDecimal share = BigDecimal.valueOf(d.bookable(), SHARE_DECIMALS).stripTrailingZeros();
        json.addProperty("bookable", share.scale() < 0 ? share.setScale(0) : share);
        JsonArray closedArray = new JsonArray();
        for (ClosingHours closing : d.closed()) {
            JsonObject hours = new JsonObject();
            hours.addProperty("zone", closing.zone());
            hours.add(
                    "days",
                    Json.strings(closing.days().stream()
                            .map(day -> day.name().toLowerCase(Locale.ROOT))
                            .toList()));
            hours.addProperty("from", closing.from().toString());
            hours.addProperty("to", closing.to().toString());
            hours.add(
                    "dates",
                    Json.strings(
                            closing.dates().stream().map(LocalDate::toString).toList()));
            closedArray.add(hours);
        }
        json.add("closed", closedArray);
    }

    private static void rules(JsonObject json, Rules rules) {
        json.addProperty("sealBeforeMs", rules.sealBeforeMs());
        json.addProperty("leadMs", rules.leadMs());
        json.addProperty("longestMs", rules.longestMs());
        json.addProperty("aheadMs", rules.aheadMs());
        json.addProperty("holdMs", rules.holdMs());
        json.addProperty("showUpMs", rules.showUpMs());
        json.addProperty("forgetMs", rules.forgetMs());
        json.addProperty("most", rules.maxBookings());
    }

    /** JSON of a booking, as clients receive it. */
    public static byte[] writeBooking(Booking booking) {
        JsonObject json = new JsonObject();
        json.addProperty("id", booking.id());
        json.addProperty("team", booking.team());
        json.addProperty("state", booking.state().label());
        json.addProperty("since", Json.timestamp(booking.sinceMs()));
        json.addProperty("cause", booking.cause());
        json.addProperty("rank", booking.request().rank());
        json.add("asked", Json.calls(booking.request().rates()));
        json.add("calls", Json.calls(booking.rates()));
        json.addProperty("start", Json.timestamp(booking.startMs()));
        json.addProperty("end", Json.timestamp(booking.endMs()));
        if (booking.state() == State.HELD) {
            json.addProperty("confirmBefore", Json.timestamp(booking.confirmByMs()));
        }
        return json.toString().getBytes(StandardCharsets.UTF_8);
    }
}
