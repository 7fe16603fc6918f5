package firstair.relay.store;

/**
 * A call that was made, or was about to be made when the process ended.
 *
 * @param sentAt   when, by {@link BootClock#nowMs}
 * @param maybeRan unless its outcome is known and proves that it never ran
 */
public record StoredAttempt(String endpoint, long sentAt, boolean maybeRan) {}
