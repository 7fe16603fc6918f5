package firstair.fleet.booking;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import firstair.fleet.fault.Fault;
import java.nio.charset.StandardCharsets;
import java.util.SortedMap;
import java.util.TreeMap;

/** All bookings as bytes: JSON, so that people can read it, with everything in a fixed order. */
record Snapshot(
        Rules rules,
        long time,
        long horizon,
        long version,
        long nextNumber,
        SortedMap<String, Team> teams,
        SortedMap<Integer, Destination> destinations,
        SortedMap<String, Booking> bookings) {
    private static final String FORM = "bookings-1";

    byte[] bytes() {
        JsonObject all = new JsonObject();
        all.addProperty("form", FORM);
        all.add("rules", json(new Operation.SetRules(rules)));
        all.addProperty("time", time);
        all.addProperty("horizon", horizon);
        all.addProperty("version", version);
        all.addProperty("next", nextNumber);
        JsonArray list = new JsonArray();
        teams.forEach((name, t) -> {
            JsonObject o = new JsonObject();
            o.add("set", json(new Operation.SetTeam(name, t.quota, t.zone.getId())));
            o.add("used", Json.numbers(t.used));
            list.add(o);
        });
        all.add("teams", list);
        JsonArray places = new JsonArray();
        destinations.forEach(
                (n, d) -> places.add(json(new Operation.SetDestination(n, d.limit, d.bookable, d.closed))));
        all.add("destinations", places);
        JsonArray each = new JsonArray();
        bookings.values().forEach(b -> each.add(json(b)));
        all.add("bookings", each);
        return all.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static JsonObject json(Operation operation) {
        return JsonParser.parseString(new String(Operations.write(operation), StandardCharsets.UTF_8))
                .getAsJsonObject();
    }

    private static JsonObject json(Booking b) {
        JsonObject o = new JsonObject();
        o.add("put", json(b.request()));
        o.addProperty("number", b.number());
        o.add("rates", Json.numbers(b.rates()));
        o.addProperty("start", b.startMs());
        o.addProperty("end", b.endMs());
        o.addProperty("bookedTo", b.bookedToMs());
        o.add("before", Json.numbers(b.before()));
        o.addProperty("beforeTo", b.beforeToMs());
        o.addProperty("state", b.state().name());
        o.addProperty("since", b.sinceMs());
        o.addProperty("cause", b.cause());
        o.addProperty("holdTo", b.holdToMs());
        o.addProperty("shown", b.shown());
        o.add("charged", Json.numbers(b.charged()));
        return o;
    }

    static Snapshot read(byte[] bytes) {
        try {
            Fields f = Fields.of(new String(bytes, StandardCharsets.UTF_8));
            if (!FORM.equals(f.text("form"))) {
                throw new Fault.UnknownEntry("snapshot " + f.text("form"));
            }
            SortedMap<String, Team> teams = new TreeMap<>();
            for (Fields t : f.list("teams")) {
                Operation.SetTeam set = (Operation.SetTeam) Operations.operation(t.inner("set"));
                Team team = new Team(set);
                team.used.putAll(t.numbers("used"));
                teams.put(set.team(), team);
            }
            SortedMap<Integer, Destination> destinations = new TreeMap<>();
            for (Fields d : f.list("destinations")) {
                Operation.SetDestination set = (Operation.SetDestination) Operations.operation(d);
                destinations.put(set.destination(), new Destination(set, new Steps()));
            }
            SortedMap<String, Booking> bookings = new TreeMap<>();
            for (Fields b : f.list("bookings")) {
                Booking booking = booking(b);
                if (!teams.containsKey(booking.team())
                        || !destinations.keySet().containsAll(booking.rates().keySet())
                        || !booking.rates()
                                .keySet()
                                .equals(booking.request().rates().keySet())) {
                    throw torn();
                }
                bookings.put(booking.id(), booking);
            }
            return new Snapshot(
                    ((Operation.SetRules) Operations.operation(f.inner("rules"))).rules(),
                    f.whole("time"),
                    f.whole("horizon"),
                    f.whole("version"),
                    f.whole("next"),
                    teams,
                    destinations,
                    bookings);
        } catch (Fault.BadRequest | ClassCastException e) {
            throw torn();
        }
    }

    private static Booking booking(Fields f) {
        return new Booking(
                (Operation.Put) Operations.operation(f.inner("put")),
                f.whole("number"),
                f.numbers("rates"),
                f.whole("start"),
                f.whole("end"),
                f.whole("bookedTo"),
                f.numbers("before"),
                f.whole("beforeTo"),
                f.parsed("state", "a state", State::valueOf),
                f.whole("since"),
                f.text("cause"),
                f.whole("holdTo"),
                f.flag("shown"),
                f.numbers("charged"));
    }

    private static Fault torn() {
        return new Fault.TornLedger("snapshot of bookings", 0);
    }
}
