package firstair.relay.store;

/**
 * A message that the relay has taken on.
 *
 * @param id         the relay's own number for it
 * @param requestId  the id under which it was handed in
 * @param className  name of its class
 * @param key        its key, or null
 * @param deadlineAt end of its time, by {@link BootClock#nowMs}
 * @param again      it was handed in before and refused
 * @param fromDead   a relay had it when that relay died
 * @param body       its bytes as they came
 * @param tenant     whose it is, or null
 * @param booking    what it draws on, or null
 */
public record StoredMessage(
        long id,
        String requestId,
        String className,
        int destination,
        String key,
        long deadlineAt,
        boolean again,
        boolean fromDead,
        byte[] body,
        String tenant,
        String booking) {

    /** One of no tenant and on no booking. */
    public StoredMessage(
            long id,
            String requestId,
            String className,
            int destination,
            String key,
            long deadlineAt,
            boolean again,
            boolean fromDead,
            byte[] body) {
        this(id, requestId, className, destination, key, deadlineAt, again, fromDead, body, null, null);
    }

    StoredMessage withDeadlineAt(long at) {
        return new StoredMessage(
                id, requestId, className, destination, key, at, again, fromDead, body, tenant, booking);
    }

    StoredMessage withoutBody() {
        return new StoredMessage(
                id, requestId, className, destination, key, deadlineAt, again, fromDead, new byte[0], tenant, booking);
    }
}
