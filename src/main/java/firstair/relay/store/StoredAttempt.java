package firstair.relay.store;

/**
 * A call that was made, or was about to be made when the process ended.
 *
 * @param sentAt   when it was sent, by {@link BootClock#nowMs}
 * @param maybeRan false only if the outcome is known and proves that the endpoint did not process it
 */
public record StoredAttempt(String endpoint, long sentAt, boolean maybeRan) {}
