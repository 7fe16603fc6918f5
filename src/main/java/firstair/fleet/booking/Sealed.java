package firstair.fleet.booking;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import firstair.fleet.fault.Fault;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;

/**
 * What relays are told: all that is booked in a span of time. What is granted later starts after that span, and what
 * ends early stays booked in it, so that a relay which hears nothing more still agrees until its end.
 *
 * @param version   newer ones have a higher one
 * @param fromMs    nothing from here
 * @param throughMs to here is missing, epoch ms
 */
public record Sealed(long version, long fromMs, long throughMs, List<Entry> entries) {

    /**
     * One booking. Rates are thousandths of a call a second.
     *
     * @param rates      what its team may send at each destination; empty once it is over
     * @param leave      what others leave alone until {@code leaveToMs}; after it they leave {@code rates} alone
     * @param startMs    epoch ms
     * @param endMs      until when, epoch ms
     */
    public record Entry(
            String id,
            String team,
            SortedMap<Integer, Long> rates,
            SortedMap<Integer, Long> leave,
            long leaveToMs,
            long startMs,
            long endMs) {}

    /** Copies the entries. */
    public Sealed {
        entries = List.copyOf(entries);
    }

    /** As bytes, the same for the same content. */
    public byte[] bytes() {
        JsonObject all = new JsonObject();
        all.addProperty("version", version);
        all.addProperty("from", fromMs);
        all.addProperty("through", throughMs);
        JsonArray list = new JsonArray();
        for (Entry e : entries) {
            JsonObject o = new JsonObject();
            o.addProperty("id", e.id);
            o.addProperty("team", e.team);
            o.add("rates", Json.numbers(e.rates));
            o.add("leave", Json.numbers(e.leave));
            o.addProperty("leaveTo", e.leaveToMs);
            o.addProperty("start", e.startMs);
            o.addProperty("end", e.endMs);
            list.add(o);
        }
        all.add("entries", list);
        return all.toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Reads {@link #bytes}; raises {@link Fault.Unreadable}. */
    public static Sealed read(byte[] bytes) {
        try {
            Fields f = Fields.of(new String(bytes, StandardCharsets.UTF_8));
            List<Entry> entries = new ArrayList<>();
            for (Fields e : f.list("entries")) {
                entries.add(new Entry(
                        e.text("id"),
                        e.text("team"),
                        rates(e, "rates"),
                        rates(e, "leave"),
                        e.whole("leaveTo"),
                        e.whole("start"),
                        e.whole("end")));
            }
            return new Sealed(f.whole("version"), f.whole("from"), f.whole("through"), entries);
        } catch (Fault.BadRequest e) {
            throw new Fault.Unreadable("bookings, " + e.getMessage());
        }
    }

    private static SortedMap<Integer, Long> rates(Fields f, String name) {
        SortedMap<Integer, Long> rates = f.numbers(name);
        if (rates.values().stream().anyMatch(r -> r < 0 || r > Rates.MOST)) {
            throw new Fault.BadRequest(name, "has to be from 0 to " + Rates.MOST);
        }
        return rates;
    }
}
