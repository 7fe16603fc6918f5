package firstair.fleet.booking;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import firstair.fleet.fault.Fault;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;

/**
 * The set of bookings that relays receive: all bookings within a span of time. Later grants start after that span, and
 * the capacity of bookings that end early stays booked within it, so a relay that receives no newer set still agrees
 * with the others until the end of the span.
 *
 * @param version   increases with each set
 * @param fromMs    start of the span for which the set is complete, epoch ms
 * @param throughMs end of that span, epoch ms
 */
public record SealedBookings(long version, long fromMs, long throughMs, List<Entry> entries) {

    /**
     * A booking. Rates are thousandths of a call per second.
     *
     * @param rates           rate that its team may use, by destination; empty once it is over
     * @param reserved        rate reserved from other traffic until {@code reservedUntilMs}, by destination; after that
     *                        {@code rates} are reserved
     * @param reservedUntilMs epoch ms
     * @param startMs         epoch ms
     * @param endMs           epoch ms, exclusive
     */
    public record Entry(
            String id,
            String team,
            SortedMap<Integer, Long> rates,
            SortedMap<Integer, Long> reserved,
            long reservedUntilMs,
            long startMs,
            long endMs) {}

    /** Takes an immutable copy of the entries. */
    public SealedBookings {
        entries = List.copyOf(entries);
    }

    /** JSON encoding, identical for equal content. */
    public byte[] bytes() {
        JsonObject root = new JsonObject();
        root.addProperty("version", version);
        root.addProperty("from", fromMs);
        root.addProperty("through", throughMs);
        JsonArray entryArray = new JsonArray();
        for (Entry entry : entries) {
            JsonObject object = new JsonObject();
            object.addProperty("id", entry.id);
            object.addProperty("team", entry.team);
            object.add("rates", Json.numbers(entry.rates));
            object.add("leave", Json.numbers(entry.reserved));
            object.addProperty("leaveTo", entry.reservedUntilMs);
            object.addProperty("start", entry.startMs);
            object.addProperty("end", entry.endMs);
            entryArray.add(object);
        }
        root.add("entries", entryArray);
        return root.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Reads {@link #bytes}; throws {@link Fault.Unreadable}. */
    public static SealedBookings read(byte[] bytes) {
        try {
            JsonFields fields = JsonFields.parse(new String(bytes, StandardCharsets.UTF_8));
            List<Entry> entries = new ArrayList<>();
            for (JsonFields entry : fields.objects("entries")) {
                entries.add(new Entry(
                        entry.string("id"),
                        entry.string("team"),
                        rates(entry, "rates"),
                        rates(entry, "leave"),
                        entry.longValue("leaveTo"),
                        entry.longValue("start"),
                        entry.longValue("end")));
            }
            return new SealedBookings(
                    fields.longValue("version"), fields.longValue("from"), fields.longValue("through"), entries);
        } catch (Fault.BadRequest e) {
            throw new Fault.Unreadable("bookings, " + e.getMessage());
        }
    }

    private static SortedMap<Integer, Long> rates(JsonFields fields, String name) {
        SortedMap<Integer, Long> rates = fields.longsByNumber(name);
        if (rates.values().stream().anyMatch(r -> r < 0 || r > Rates.MAX_RATE)) {
            throw new Fault.BadRequest(name, "has to be from 0 to " + Rates.MAX_RATE);
        }
        return rates;
    }
}
