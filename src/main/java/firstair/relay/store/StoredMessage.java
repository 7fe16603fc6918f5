package firstair.relay.store;

/**
 * A message that the relay has accepted.
 *
 * @param id         the relay's own number for it
 * @param requestId  the request id under which the client submitted it
 * @param className  name of its class
 * @param key        its key, or null
 * @param deadlineAt its deadline, by {@link BootClock#nowMs}
 * @param again      whether it was submitted before and refused
 * @param fromDead   whether a relay held it when that relay crashed
 * @param body       its bytes as received
 * @param tenant     the tenant that it belongs to, or null
 * @param booking    the booking that it is charged to, or null
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

    /** A message without a tenant and without a booking. */
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
