package firstair.relay.store;

/**
 * A call that was made, or was about to be made when the process ended.
 *
 * @param zone     name of the endpoint's zone, which the list no longer tells once the endpoint has left it; null if
 *                 unknown
 * @param sentAt   when it was sent, by {@link BootClock#nowMs}
 * @param maybeRan false only if the outcome is known and proves that the endpoint did not process it
 */
public record StoredAttempt(String endpoint, String zone, long sentAt, boolean maybeRan) {
    StoredAttempt withSentAt(long at) {
        return new StoredAttempt(endpoint, zone, at, maybeRan);
    }

    StoredAttempt withMaybeRan(boolean ran) {
        return new StoredAttempt(endpoint, zone, sentAt, ran);
    }
}
