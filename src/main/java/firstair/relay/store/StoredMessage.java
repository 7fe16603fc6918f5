package firstair.relay.store;

/**
 * A message that the relay has accepted.
 *
 * @param id               the relay's own number for it
 * @param requestId        the request id under which the client submitted it
 * @param className        name of its class
 * @param key              its key, or null
 * @param deadlineAt       its deadline, by {@link BootClock#nowMs}
 * @param resubmitted      whether it was submitted before and refused
 * @param fromCrashedRelay whether a relay held it when that relay crashed
 * @param body             its bytes as received
 * @param tenant           the tenant that it belongs to, or null
 * @param booking          the booking that it is charged to, or null
 */
public record StoredMessage(
        long id,
        String requestId,
        String className,
        int destination,
        String key,
        long deadlineAt,
        boolean resubmitted,
        boolean fromCrashedRelay,
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
            boolean resubmitted,
            boolean fromCrashedRelay,
            byte[] body) {
        this(id, requestId, className, destination, key, deadlineAt, resubmitted, fromCrashedRelay, body, null, null);
    }

    StoredMessage withDeadlineAt(long at) {
        return new StoredMessage(
                id, requestId, className, destination, key, at, resubmitted, fromCrashedRelay, body, tenant, booking);
    }

    StoredMessage withoutBody() {
        return new StoredMessage(
                id,
                requestId,
                className,
                destination,
                key,
                deadlineAt,
                resubmitted,
                fromCrashedRelay,
                new byte[0],
                tenant,
                booking);
    }
}
