package firstair.relay.store;

/**
 * A notice that the platform has not confirmed yet.
 *
 * @param handedBack   whether the message is handed back to its client; otherwise it is given up
 * @param retryAfterMs after how many milliseconds the client should retry, 0 to leave that out
 */
public record PendingNotice(boolean handedBack, double retryAfterMs) {}
