package firstair.fleet.booking;

import firstair.fleet.fault.Fault;
import java.math.BigDecimal;
import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/** Rates are thousandths of a call a second, whole numbers, so that sums are exact. */
final class Rates {
    /** Parts of a call a second that a rate counts in. */
    static final int PARTS = 1000;
    /** Highest rate and limit: 100,000 calls a second. */
    static final long MOST = 100_000L * PARTS;
    /** Most destinations of one booking. */
    static final int MOST_DESTINATIONS = 1000;
    /** Decimals of a rate. */
    static final int DIGITS = 3;

    private Rates() {}

    /** A copy that nobody changes, in the order of destinations. */
    static SortedMap<Integer, Long> copy(Map<Integer, Long> rates) {
        return Collections.unmodifiableSortedMap(new TreeMap<>(rates));
    }

    /** The rates of a request, checked. */
    static SortedMap<Integer, Long> checked(Map<Integer, Long> rates) {
        if (rates == null || rates.isEmpty() || rates.size() > MOST_DESTINATIONS) {
            throw new Fault.BadRequest("calls", "1 to " + MOST_DESTINATIONS + " destinations are needed");
        }
        for (Map.Entry<Integer, Long> e : rates.entrySet()) {
            if (e.getKey() == null || e.getKey() < 0) {
                throw new Fault.BadRequest("calls", "a destination is a number from 0 on");
            }
            if (e.getValue() == null || e.getValue() <= 0 || e.getValue() > MOST) {
                throw new Fault.BadRequest("calls." + e.getKey(), "0.001 to " + MOST / PARTS + " calls a second");
            }
        }
        return copy(rates);
    }

    /** Calls a second, for JSON and for people. */
    static BigDecimal calls(long thousandths) {
        BigDecimal calls = BigDecimal.valueOf(thousandths, DIGITS).stripTrailingZeros();
        return calls.scale() < 0 ? calls.setScale(0) : calls;
    }
}
