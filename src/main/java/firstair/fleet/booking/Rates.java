package firstair.fleet.booking;

import firstair.fleet.fault.Fault;
import java.math.BigDecimal;
import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/** Rates as whole thousandths of a call per second, so that sums are exact. */
final class Rates {
    /** Units of a rate per call: rates count thousandths. */
    static final int PARTS_PER_CALL = 1000;
    /** Maximum rate and limit, in thousandths: 100,000 calls per second. */
    static final long MAX_RATE = 100_000L * PARTS_PER_CALL;
    /** Maximum number of destinations of a booking. */
    static final int MAX_DESTINATIONS = 1000;
    /** Decimal places of a rate in calls per second. */
    static final int DECIMALS = 3;

    private Rates() {}

    /** Unmodifiable copy, sorted by destination. */
    static SortedMap<Integer, Long> copy(Map<Integer, Long> rates) {
        return Collections.unmodifiableSortedMap(new TreeMap<>(rates));
    }

    /** The rates of a request after validation; throws {@link Fault.BadRequest}. */
    static SortedMap<Integer, Long> validated(Map<Integer, Long> rates) {
        if (rates == null || rates.isEmpty() || rates.size() > MAX_DESTINATIONS) {
            throw new Fault.BadRequest("calls", "1 to " + MAX_DESTINATIONS + " destinations are needed");
        }
        for (Map.Entry<Integer, Long> e : rates.entrySet()) {
            if (e.getKey() == null || e.getKey() < 0) {
                throw new Fault.BadRequest("calls", "a destination is a number from 0 on");
            }
            if (e.getValue() == null || e.getValue() <= 0 || e.getValue() > MAX_RATE) {
                throw new Fault.BadRequest(
                        "calls." + e.getKey(), "0.001 to " + MAX_RATE / PARTS_PER_CALL + " calls a second");
            }
        }
        return copy(rates);
    }

    /** Thousandths of a call as a decimal number of calls, for JSON and for messages. */
    static BigDecimal toCalls(long thousandths) {
        BigDecimal calls = BigDecimal.valueOf(thousandths, DECIMALS).stripTrailingZeros();
        return calls.scale() < 0 ? calls.setScale(0) : calls;
    }
}
