package firstair.fleet.booking;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import firstair.fleet.fault.Fault;
import java.nio.charset.StandardCharsets;
import java.util.SortedMap;
import java.util.TreeMap;

/** Snapshot of all bookings as JSON, human-readable and in a fixed order. */
record Snapshot(
        Rules rules,
        long time,
        long horizon,
        long version,
        long nextNumber,
        SortedMap<String, Team> teams,
        SortedMap<Integer, Destination> destinations,
        SortedMap<String, Booking> bookings) {
    private static final String FORMAT = "bookings-1";

    byte[] bytes() {
        JsonObject root = new JsonObject();
        root.addProperty("form", FORMAT);
        root.add("rules", json(new Operation.SetRules(rules)));
        root.addProperty("time", time);
        root.addProperty("horizon", horizon);
        root.addProperty("version", version);
        root.addProperty("next", nextNumber);
        JsonArray teamArray = new JsonArray();
        teams.forEach((name, team) -> {
            JsonObject object = new JsonObject();
            object.add("set", json(new Operation.SetTeam(name, team.quota, team.zone.getId())));
            object.add("used", Json.numbers(team.used));
            teamArray.add(object);
        });
        root.add("teams", teamArray);
        JsonArray destinationArray = new JsonArray();
        destinations.forEach(
                (n, d) -> destinationArray.add(json(new Operation.SetDestination(n, d.limit, d.bookable, d.closed))));
        root.add("destinations", destinationArray);
        JsonArray bookingArray = new JsonArray();
        bookings.values().forEach(b -> bookingArray.add(json(b)));
        root.add("bookings", bookingArray);
        return root.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static JsonObject json(Operation operation) {
        return JsonParser.parseString(new String(Operations.write(operation), StandardCharsets.UTF_8))
                .getAsJsonObject();
    }

    private static JsonObject json(Booking booking) {
        JsonObject object = new JsonObject();
        object.add("put", json(booking.request()));
        object.addProperty("number", booking.number());
        object.add("rates", Json.numbers(booking.rates()));
        object.addProperty("start", booking.startMs());
        object.addProperty("end", booking.endMs());
        object.addProperty("bookedTo", booking.bookedToMs());
        object.add("before", Json.numbers(booking.uncutRates()));
        object.addProperty("beforeTo", booking.uncutUntilMs());
        object.addProperty("state", booking.state().name());
        object.addProperty("since", booking.sinceMs());
        object.addProperty("cause", booking.cause());
        object.addProperty("holdTo", booking.confirmByMs());
        object.addProperty("shown", booking.runStarted());
        object.add("charged", Json.numbers(booking.charged()));
        return object;
    }

    static Snapshot read(byte[] bytes) {
        try {
            JsonFields fields = JsonFields.parse(new String(bytes, StandardCharsets.UTF_8));
            if (!FORMAT.equals(fields.string("form"))) {
                throw new Fault.UnknownEntry("snapshot " + fields.string("form"));
            }
            SortedMap<String, Team> teams = new TreeMap<>();
            for (JsonFields teamFields : fields.objects("teams")) {
                Operation.SetTeam set = (Operation.SetTeam) Operations.operation(teamFields.object("set"));
                Team team = new Team(set);
                team.used.putAll(teamFields.longsByNumber("used"));
                teams.put(set.team(), team);
            }
            SortedMap<Integer, Destination> destinations = new TreeMap<>();
            for (JsonFields destinationFields : fields.objects("destinations")) {
                Operation.SetDestination set = (Operation.SetDestination) Operations.operation(destinationFields);
                destinations.put(set.destination(), new Destination(set, new RateTimeline()));
            }
            SortedMap<String, Booking> bookings = new TreeMap<>();
            for (JsonFields bookingFields : fields.objects("bookings")) {
                Booking booking = booking(bookingFields);
                if (!teams.containsKey(booking.team())
                        || !destinations.keySet().containsAll(booking.rates().keySet())
                        || !booking.rates()
                                .keySet()
                                .equals(booking.request().rates().keySet())) {
                    throw damaged();
                }
                bookings.put(booking.id(), booking);
            }
            return new Snapshot(
                    ((Operation.SetRules) Operations.operation(fields.object("rules"))).rules(),
                    fields.longValue("time"),
                    fields.longValue("horizon"),
                    fields.longValue("version"),
                    fields.longValue("next"),
                    teams,
                    destinations,
                    bookings);
        } catch (Fault.BadRequest | ClassCastException e) {
            throw damaged();
        }
    }

    private static Booking booking(JsonFields fields) {
        return new Booking(
                (Operation.Put) Operations.operation(fields.object("put")),
                fields.longValue("number"),
                fields.longsByNumber("rates"),
                fields.longValue("start"),
                fields.longValue("end"),
                fields.longValue("bookedTo"),
                fields.longsByNumber("before"),
                fields.longValue("beforeTo"),
                fields.parsed("state", "a state", State::valueOf),
                fields.longValue("since"),
                fields.string("cause"),
                fields.longValue("holdTo"),
                fields.optionalBoolean("shown"),
                fields.longsByNumber("charged"));
    }

    private static Fault damaged() {
        return new Fault.TornLedger("snapshot of bookings", 0);
    }
}
