package firstair.relay.store;

/**
 * A notice that the platform has not confirmed yet.
 *
 * @param handedBack the message is handed back; otherwise given up
 * @param afterMs    when its client should come again, 0 to say nothing of it
 */
public record OwedNotice(boolean handedBack, double afterMs) {}
