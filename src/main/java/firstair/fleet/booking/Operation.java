package firstair.fleet.booking;

import firstair.fleet.Setup;
import firstair.fleet.fault.Fault;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;

/**
 * What the ledger agrees on. Rates and limits are thousandths of a call a second, times epoch ms. Each checks its own
 * values and raises {@link Fault.BadRequest} that names the field.
 */
public sealed interface Operation {
    /** Longest name of a booking or a team. */
    int MOST_NAME = 64;
    /** Longest reason, characters. */
    int MOST_REASON = 200;
    /** Highest quota: calls of a month, thousandths. */
    long MOST_QUOTA = 1_000_000_000_000_000_000L;
    /** Last rank. */
    int MOST_RANK = 1000;
    /** Times are before the year 3000. */
    long MOST_MS = 32_503_680_000_000L;

    /**
     * Requests a booking. The same again changes nothing.
     *
     * @param rank  in the waiting list; lower ones go first
     * @param rates at each destination
     * @param waits whether it waits where there is no room, else it is refused
     */
    record Put(
            String id, String team, int rank, SortedMap<Integer, Long> rates, long startMs, long endMs, boolean waits)
            implements Operation {
        /** Checks it. */
        public Put {
            name("id", id);
            name("team", team);
            range("rank", rank, 0, MOST_RANK);
            rates = Rates.checked(rates);
            span(startMs, endMs);
        }

        /** One with rates in any order. */
        public static Put of(
                String id, String team, int rank, Map<Integer, Long> rates, long startMs, long endMs, boolean waits) {
            return new Put(id, team, rank, Rates.checked(rates), startMs, endMs, waits);
        }
    }

    /** The team takes what was offered. */
    record Confirm(String id, String team) implements Operation {
        /** Checks it. */
        public Confirm {
            name("id", id);
            name("team", team);
        }
    }

    /** The team's run has begun. */
    record ShowUp(String id, String team) implements Operation {
        /** Checks it. */
        public ShowUp {
            name("id", id);
            name("team", team);
        }
    }

    /** The team ends its running booking early, or gives up one that is not sealed. */
    record End(String id, String team, String reason) implements Operation {
        /** Checks it. */
        public End {
            name("id", id);
            name("team", team);
            reasoned(reason);
        }
    }

    /** The team needs its booking for longer. */
    record Extend(String id, String team, long endMs) implements Operation {
        /** Checks it. */
        public Extend {
            name("id", id);
            name("team", team);
            range("end", endMs, 0, MOST_MS);
        }
    }

    /** Operators move a booking that is not sealed. */
    record Move(String id, long startMs, long endMs, String reason) implements Operation {
        /** Checks it. */
        public Move {
            name("id", id);
            span(startMs, endMs);
            reasoned(reason);
        }
    }

    /** Operators drop a booking that is not sealed. */
    record Drop(String id, String reason) implements Operation {
        /** Checks it. */
        public Drop {
            name("id", id);
            reasoned(reason);
        }
    }

    /** A destination's limit is another one. */
    record Limit(int destination, long limit) implements Operation {
        /** Checks it. */
        public Limit {
            range("destination", destination, 0, Integer.MAX_VALUE);
            range("limit", limit, 0, Rates.MOST);
        }
    }

    /** Time has passed. */
    record Tick() implements Operation {}

    /**
     * Sets a team.
     *
     * @param quota calls that it may book in a calendar month, thousandths
     * @param zone  whose months
     */
    record SetTeam(String team, long quota, String zone) implements Operation {
        /** Checks it. */
        public SetTeam {
            name("team", team);
            range("quota", quota, 0, MOST_QUOTA);
            Zones.named(zone, "zone");
        }
    }

    /**
     * Sets a destination.
     *
     * @param bookable what part of the limit can be booked, millionths
     * @param closed   when nothing can be booked there
     */
    record SetDestination(int destination, long limit, int bookable, List<Closed> closed) implements Operation {
        private static final int MOST_CLOSED = 32;

        /** Checks it. */
        public SetDestination {
            range("destination", destination, 0, Integer.MAX_VALUE);
            range("limit", limit, 0, Rates.MOST);
            range("bookable", bookable, 0, Setup.WHOLE);
            closed = List.copyOf(closed);
            range("closed", closed.size(), 0, MOST_CLOSED);
        }
    }

    /** Other rules hold from now on; what is sealed stays as it is. */
    record SetRules(Rules rules) implements Operation {}

    private static void name(String field, String name) {
        if (name == null
                || name.isEmpty()
                || name.length() > MOST_NAME
                || !name.chars().allMatch(Operation::plain)) {
            throw new Fault.BadRequest(field, "1 to " + MOST_NAME + " letters, digits or . _ : - are needed");
        }
    }

    private static boolean plain(int c) {
        return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || "._:-".indexOf(c) >= 0;
    }

    private static void reasoned(String reason) {
        if (reason == null
                || reason.isBlank()
                || reason.length() > MOST_REASON
                || reason.chars().anyMatch(c -> Character.isISOControl(c) || Character.isSurrogate((char) c))) {
            throw new Fault.BadRequest("reason", "1 to " + MOST_REASON + " characters are needed");
        }
    }

    private static void range(String field, long value, long least, long most) {
        if (value < least || value > most) {
            throw new Fault.BadRequest(field, "has to be from " + least + " to " + most);
        }
    }

    private static void span(long startMs, long endMs) {
        range("start", startMs, 0, MOST_MS);
        range("end", endMs, 0, MOST_MS);
        if (endMs <= startMs) {
            throw new Fault.BadRequest("end", "has to be after the start");
        }
    }
}
