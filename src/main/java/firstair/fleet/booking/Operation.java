package firstair.fleet.booking;

import firstair.fleet.Setup;
import firstair.fleet.fault.Fault;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;

/**
 * An operation on bookings that the ledger agrees on. Rates and limits are thousandths of a call per second, times are
 * epoch ms. Each operation validates its values and throws {@link Fault.BadRequest} that names the field.
 */
public sealed interface Operation {
    /** Maximum length of the name of a booking or a team, characters. */
    int MAX_NAME_LENGTH = 64;
    /** Maximum length of a reason, characters. */
    int MAX_REASON_LENGTH = 200;
    /** Maximum quota, thousandths of a call per month. */
    long MAX_QUOTA = 1_000_000_000_000_000_000L;
    /** Maximum rank. */
    int MAX_RANK = 1000;
    /** Latest time, epoch ms: the year 3000. */
    long MAX_TIME_MS = 32_503_680_000_000L;

    /**
     * Requests a booking. A repeated identical request changes nothing.
     *
     * @param rank  priority on the waiting list; lower ranks are served first
     * @param rates by destination
     * @param waits whether the request joins the waiting list if there is not enough capacity; otherwise it is refused
     */
    record Put(
            String id, String team, int rank, SortedMap<Integer, Long> rates, long startMs, long endMs, boolean waits)
            implements Operation {
        /** Validates the values. */
        public Put {
            checkName("id", id);
            checkName("team", team);
            checkRange("rank", rank, 0, MAX_RANK);
            rates = Rates.validated(rates);
            checkSpan(startMs, endMs);
        }

        /** A request with rates in any order. */
        public static Put of(
                String id, String team, int rank, Map<Integer, Long> rates, long startMs, long endMs, boolean waits) {
            return new Put(id, team, rank, Rates.validated(rates), startMs, endMs, waits);
        }
    }

    /** The team confirms the booking that it was offered. */
    record Confirm(String id, String team) implements Operation {
        /** Validates the values. */
        public Confirm {
            checkName("id", id);
            checkName("team", team);
        }
    }

    /** The team reports that its run has begun. */
    record ShowUp(String id, String team) implements Operation {
        /** Validates the values. */
        public ShowUp {
            checkName("id", id);
            checkName("team", team);
        }
    }

    /** The team ends its running booking early, or cancels one that is not sealed yet. */
    record End(String id, String team, String reason) implements Operation {
        /** Validates the values. */
        public End {
            checkName("id", id);
            checkName("team", team);
            checkReason(reason);
        }
    }

    /** The team extends its booking. */
    record Extend(String id, String team, long endMs) implements Operation {
        /** Validates the values. */
        public Extend {
            checkName("id", id);
            checkName("team", team);
            checkRange("end", endMs, 0, MAX_TIME_MS);
        }
    }

    /** Operators move a booking that is not sealed yet. */
    record Move(String id, long startMs, long endMs, String reason) implements Operation {
        /** Validates the values. */
        public Move {
            checkName("id", id);
            checkSpan(startMs, endMs);
            checkReason(reason);
        }
    }

    /** Operators drop a booking that is not sealed yet. */
    record Drop(String id, String reason) implements Operation {
        /** Validates the values. */
        public Drop {
            checkName("id", id);
            checkReason(reason);
        }
    }

    /** Changes a destination's limit. */
    record Limit(int destination, long limit) implements Operation {
        /** Validates the values. */
        public Limit {
            checkRange("destination", destination, 0, Integer.MAX_VALUE);
            checkRange("limit", limit, 0, Rates.MAX_RATE);
        }
    }

    /** Only advances the time. */
    record Tick() implements Operation {}

    /**
     * Adds a team or changes its settings.
     *
     * @param quota calls that it may book per calendar month, thousandths
     * @param zone  time zone of the calendar months
     */
    record SetTeam(String team, long quota, String zone) implements Operation {
        /** Validates the values. */
        public SetTeam {
            checkName("team", team);
            checkRange("quota", quota, 0, MAX_QUOTA);
            Zones.parse(zone, "zone");
        }
    }

    /**
     * Adds a destination or changes its settings.
     *
     * @param bookable share of the limit that can be booked, millionths
     * @param closed   when the destination cannot be booked
     */
    record SetDestination(int destination, long limit, int bookable, List<ClosingHours> closed) implements Operation {
        private static final int MAX_CLOSING_HOURS = 32;

        /** Validates the values. */
        public SetDestination {
            checkRange("destination", destination, 0, Integer.MAX_VALUE);
            checkRange("limit", limit, 0, Rates.MAX_RATE);
            checkRange("bookable", bookable, 0, Setup.WHOLE);
            closed = List.copyOf(closed);
            checkRange("closed", closed.size(), 0, MAX_CLOSING_HOURS);
        }
    }

    /** Replaces the rules; sealed bookings stay as they are. */
    record SetRules(Rules rules) implements Operation {}

    private static void checkName(String field, String name) {
        if (name == null
                || name.isEmpty()
                || name.length() > MAX_NAME_LENGTH
                || !name.chars().allMatch(Operation::isNameCharacter)) {
            throw new Fault.BadRequest(field, "1 to " + MAX_NAME_LENGTH + " letters, digits or . _ : - are needed");
        }
    }

    private static boolean isNameCharacter(int c) {
        return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || "._:-".indexOf(c) >= 0;
    }

    private static void checkReason(String reason) {
        if (reason == null
                || reason.isBlank()
                || reason.length() > MAX_REASON_LENGTH
                || reason.chars().anyMatch(c -> Character.isISOControl(c) || Character.isSurrogate((char) c))) {
            throw new Fault.BadRequest("reason", "1 to " + MAX_REASON_LENGTH + " characters are needed");
        }
    }

    private static void checkRange(String field, long value, long min, long max) {
        if (value < min || value > max) {
            throw new Fault.BadRequest(field, "has to be from " + min + " to " + max);
        }
    }

    private static void checkSpan(long startMs, long endMs) {
        checkRange("start", startMs, 0, MAX_TIME_MS);
        checkRange("end", endMs, 0, MAX_TIME_MS);
        if (endMs <= startMs) {
            throw new Fault.BadRequest("end", "has to be after the start");
        }
    }
}
