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

/** Operations as JSON, for the ledger and for those who ask; docs/reservations.md has an example of each. */
public final class Operations {
    private static final int MOST_BYTES = 256 * 1024;
    private static final int DIGITS = 6;
    private static final String LOCAL = "a local time such as 2026-12-31T18:00";

    private Operations() {}

    /**
     * Reads one operation. Raises {@link Fault.BadRequest} that names the field, {@link Fault.UnknownEntry} for a kind
     * that this version does not know.
     */
    public static Operation read(byte[] bytes) {
        Fields f = fields(bytes);
        if (f.has("repeat")) {
            throw new Fault.BadRequest("repeat", "has to be expanded by a calendar first");
        }
        return operation(f);
    }

    /**
     * Reads what a team asks for: one operation, or a request that repeats by a calendar's rule, which becomes a
     * request for each time that it comes. It is expanded here, by whoever hands it to the ledger, since calendars
     * and their libraries may differ between voters.
     *
     * @param calendars by name
     * @param nowMs     epoch ms: only what a request that comes now can still ask for
     */
    public static List<Operation> readAll(byte[] bytes, Map<String, Calendar> calendars, long nowMs) {
        Fields f = fields(bytes);
        if (!f.has("repeat")) {
            return List.of(operation(f));
        }
        if (!f.text("kind").equals("put")) {
            throw new Fault.BadRequest("repeat", "is for requests only");
        }
        Fields r = f.inner("repeat");
        Calendar calendar = calendars.get(r.text("calendar"));
        if (calendar == null) {
            throw new Fault.BadCalendar(r.text("calendar"), "is not among the settings");
        }
        Calendar.Repeat repeat = new Calendar.Repeat(
                r.text("rule"),
                r.parsed("first", "a date such as 2026-12-31", LocalDate::parse),
                r.parsed("from", "a time such as 18:00", LocalTime::parse),
                r.parsed("to", "a time such as 20:00", LocalTime::parse),
                r.parsed("shift", "before, after or skip", t -> Calendar.Shift.valueOf(t.toUpperCase(Locale.ROOT))),
                r.has("workday") ? r.number("workday") : 0,
                r.number("most"));
        r.done();
        String id = f.text("id");
        String team = f.text("team");
        int rank = f.number("rank");
        Map<Integer, Long> rates = f.callsEach("calls");
        boolean wait = f.flag("wait");
        f.done();
        List<Operation> all = new ArrayList<>();
        for (Calendar.Span span : calendar.expand(repeat, nowMs)) {
            all.add(Operation.Put.of(id + "." + span.day(), team, rank, rates, span.startMs(), span.endMs(), wait));
        }
        return all;
    }

    private static Fields fields(byte[] bytes) {
        if (bytes.length > MOST_BYTES) {
            throw new Fault.BadRequest("body", MOST_BYTES + " bytes at most");
        }
        return Fields.of(new String(bytes, StandardCharsets.UTF_8));
    }

    static Operation operation(Fields f) {
        String kind = f.text("kind");
        Operation read =
                switch (kind) {
                    case "put" -> put(f);
                    case "confirm" -> new Operation.Confirm(f.text("id"), f.text("team"));
                    case "show-up" -> new Operation.ShowUp(f.text("id"), f.text("team"));
                    case "end" -> new Operation.End(f.text("id"), f.text("team"), f.text("reason"));
                    case "extend" -> new Operation.Extend(f.text("id"), f.text("team"), f.time("end"));
                    case "move" -> new Operation.Move(f.text("id"), f.time("start"), f.time("end"), f.text("reason"));
                    case "drop" -> new Operation.Drop(f.text("id"), f.text("reason"));
                    case "limit" -> new Operation.Limit(f.number("destination"), f.calls("limit"));
                    case "tick" -> new Operation.Tick();
                    case "set-team" -> new Operation.SetTeam(f.text("team"), f.calls("quota"), f.text("zone"));
                    case "set-destination" ->
                        new Operation.SetDestination(
                                f.number("destination"), f.calls("limit"), millionths(f), closed(f));
                    case "set-rules" -> new Operation.SetRules(rules(f));
                    default ->
                        throw new Fault.UnknownEntry(
                                kind.length() > Operation.MOST_NAME ? kind.substring(0, Operation.MOST_NAME) : kind);
                };
        f.done();
        return read;
    }

    /** Times with their offset, or local ones with a zone. */
    private static Operation.Put put(Fields f) {
        long start;
        long end;
        if (f.has("zone")) {
            ZoneId zone = Zones.named(f.text("zone"), "zone");
            start = f.parsed("start", LOCAL, t -> Zones.start(LocalDateTime.parse(t), zone));
            end = f.parsed("end", LOCAL, t -> Zones.end(LocalDateTime.parse(t), zone));
        } else {
            start = f.time("start");
            end = f.time("end");
        }
        return Operation.Put.of(
                f.text("id"), f.text("team"), f.number("rank"), f.callsEach("calls"), start, end, f.flag("wait"));
    }

    private static int millionths(Fields f) {
        long parts = f.millionths("bookable");
        if (parts < 0 || parts > Setup.WHOLE) {
            throw new Fault.BadRequest("bookable", "has to be from 0 to 1");
        }
        return (int) parts;
    }

    private static List<Closed> closed(Fields f) {
        List<Closed> all = new ArrayList<>();
        for (Fields c : f.has("closed") ? f.list("closed") : List.<Fields>of()) {
            Set<DayOfWeek> days = new HashSet<>(
                    c.parsedList("days", "days such as monday", t -> DayOfWeek.valueOf(t.toUpperCase(Locale.ROOT))));
            all.add(new Closed(
                    c.text("zone"),
                    days,
                    c.parsed("from", "a time such as 18:00", LocalTime::parse),
                    c.parsed("to", "a time such as 20:00", LocalTime::parse),
                    c.has("dates") ? c.parsedList("dates", "dates such as 2026-12-31", LocalDate::parse) : List.of()));
            c.done();
        }
        return all;
    }

    private static Rules rules(Fields f) {
        try {
            return new Rules(
                    f.whole("sealBeforeMs"),
                    f.whole("leadMs"),
                    f.whole("longestMs"),
                    f.whole("aheadMs"),
                    f.whole("holdMs"),
                    f.whole("showUpMs"),
                    f.whole("forgetMs"),
                    f.number("most"));
        } catch (Fault.BadSetup e) {
            throw new Fault.BadRequest("rules", e.getMessage());
        }
    }

    /** An operation as JSON, the same bytes for the same operation. */
    public static byte[] write(Operation operation) {
        JsonObject o = new JsonObject();
        if (operation instanceof Operation.Put p) {
            put(o, p);
        } else if (operation instanceof Operation.Confirm c) {
            named(o, "confirm", c.id()).addProperty("team", c.team());
        } else if (operation instanceof Operation.ShowUp s) {
            named(o, "show-up", s.id()).addProperty("team", s.team());
        } else if (operation instanceof Operation.End e) {
            named(o, "end", e.id()).addProperty("team", e.team());
            o.addProperty("reason", e.reason());
        } else if (operation instanceof Operation.Extend e) {
            named(o, "extend", e.id()).addProperty("team", e.team());
            o.addProperty("end", Json.time(e.endMs()));
        } else if (operation instanceof Operation.Move m) {
            named(o, "move", m.id()).addProperty("start", Json.time(m.startMs()));
            o.addProperty("end", Json.time(m.endMs()));
            o.addProperty("reason", m.reason());
        } else if (operation instanceof Operation.Drop d) {
            named(o, "drop", d.id()).addProperty("reason", d.reason());
        } else if (operation instanceof Operation.Limit l) {
            o.addProperty("kind", "limit");
            o.addProperty("destination", l.destination());
            o.addProperty("limit", Rates.calls(l.limit()));
        } else if (operation instanceof Operation.Tick) {
            o.addProperty("kind", "tick");
        } else if (operation instanceof Operation.SetTeam t) {
            o.addProperty("kind", "set-team");
            o.addProperty("team", t.team());
            o.addProperty("quota", Rates.calls(t.quota()));
            o.addProperty("zone", t.zone());
        } else if (operation instanceof Operation.SetDestination d) {
            destination(o, d);
        } else if (operation instanceof Operation.SetRules r) {
            o.addProperty("kind", "set-rules");
            rules(o, r.rules());
        }
        return o.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static JsonObject named(JsonObject o, String kind, String id) {
        o.addProperty("kind", kind);
        o.addProperty("id", id);
        return o;
    }

    private static void put(JsonObject o, Operation.Put p) {
        named(o, "put", p.id()).addProperty("team", p.team());
        o.addProperty("rank", p.rank());
        o.add("calls", Json.calls(p.rates()));
        o.addProperty("start", Json.time(p.startMs()));
        o.addProperty("end", Json.time(p.endMs()));
        o.addProperty("wait", p.waits());
    }

    private static void destination(JsonObject o, Operation.SetDestination d) {
        o.addProperty("kind", "set-destination");
        o.addProperty("destination", d.destination());
        o.addProperty("limit", Rates.calls(d.limit()));
        BigDecimal share = BigDecimal.valueOf(d.bookable(), DIGITS).stripTrailingZeros();
        o.addProperty("bookable", share.scale() < 0 ? share.setScale(0) : share);
        JsonArray closed = new JsonArray();
        for (Closed c : d.closed()) {
            JsonObject hours = new JsonObject();
            hours.addProperty("zone", c.zone());
            hours.add(
                    "days",
                    Json.texts(c.days().stream()
                            .map(v -> v.name().toLowerCase(Locale.ROOT))
                            .toList()));
            hours.addProperty("from", c.from().toString());
            hours.addProperty("to", c.to().toString());
            hours.add(
                    "dates",
                    Json.texts(c.dates().stream().map(LocalDate::toString).toList()));
            closed.add(hours);
        }
        o.add("closed", closed);
    }

    private static void rules(JsonObject o, Rules r) {
        o.addProperty("sealBeforeMs", r.sealBeforeMs());
        o.addProperty("leadMs", r.leadMs());
        o.addProperty("longestMs", r.longestMs());
        o.addProperty("aheadMs", r.aheadMs());
        o.addProperty("holdMs", r.holdMs());
        o.addProperty("showUpMs", r.showUpMs());
        o.addProperty("forgetMs", r.forgetMs());
        o.addProperty("most", r.most());
    }

    /** A booking as JSON for those who ask. */
    public static byte[] show(Booking b) {
        JsonObject o = new JsonObject();
        o.addProperty("id", b.id());
        o.addProperty("team", b.team());
        o.addProperty("state", b.state().word());
        o.addProperty("since", Json.time(b.sinceMs()));
        o.addProperty("cause", b.cause());
        o.addProperty("rank", b.request().rank());
        o.add("asked", Json.calls(b.request().rates()));
        o.add("calls", Json.calls(b.rates()));
        o.addProperty("start", Json.time(b.startMs()));
        o.addProperty("end", Json.time(b.endMs()));
        if (b.state() == State.HELD) {
            o.addProperty("confirmBefore", Json.time(b.holdToMs()));
        }
        return o.toString().getBytes(StandardCharsets.UTF_8);
    }
}
