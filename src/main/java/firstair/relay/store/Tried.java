package firstair.relay.store;

/**
 * A call that was made, or was about to be made when the process ended.
 *
 * @param sentAt   Unix time in milliseconds
 * @param maybeRan unless its outcome is known and proves that it never ran
 */
public record Tried(String endpoint, long sentAt, boolean maybeRan) {}
