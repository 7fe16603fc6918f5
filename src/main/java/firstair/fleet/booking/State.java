package firstair.fleet.booking;

import java.util.EnumSet;
import java.util.Locale;
import java.util.Set;

/** State of a booking and its allowed transitions. */
public enum State {
    /** On the waiting list: not all of its destinations have enough capacity. */
    REQUESTED,
    /** Offered to its team, which must confirm it in time. */
    HELD,
    /** Confirmed by its team. */
    CONFIRMED,
    /** Unchangeable, because relays may already have received it. */
    SEALED,
    /** Between its start and its end. */
    RUNNING,
    /** Finished: its end was reached, or its team ended it early. */
    ENDED,
    /** Cancelled by its team, dropped by operators, or its run did not begin in time. */
    RELEASED,
    /** Not confirmed in time, or still on the waiting list when its start was too near. */
    LAPSED,
    /** Never granted. */
    REFUSED;

    /** Whether a booking in this state may change to another state. */
    public boolean canBecome(State to) {
        return next().contains(to);
    }

    private Set<State> next() {
        return switch (this) {
            case REQUESTED -> EnumSet.of(HELD, REFUSED, RELEASED, LAPSED);
            case HELD -> EnumSet.of(CONFIRMED, RELEASED, LAPSED);
            case CONFIRMED -> EnumSet.of(SEALED, RELEASED);
            case SEALED -> EnumSet.of(RUNNING);
            case RUNNING -> EnumSet.of(ENDED, RELEASED);
            case ENDED, RELEASED, LAPSED, REFUSED -> EnumSet.noneOf(State.class);
        };
    }

    /** Whether the state is final. */
    public boolean isFinal() {
        return next().isEmpty();
    }

    /** Whether the booking is sealed or running, and thus part of the set that relays receive. */
    boolean knownToRelays() {
        return this == SEALED || this == RUNNING;
    }

    /** The name used in JSON and in messages. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
