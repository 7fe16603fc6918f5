package firstair.fleet.ledger;

/**
 * A replicated state machine: every voter applies the same operations in the same order. It must be deterministic to
 * the last byte: no clock, no randomness, no iteration in unspecified order; timestamps come inside of operations. Its
 * state must be bounded in size, since {@link #snapshot} transfers all of it.
 */
public interface ReplicatedStateMachine {
    /**
     * Applies one committed operation.
     *
     * @param index     log index of the operation; increases from call to call
     * @param operation without the leading byte that gives its kind
     * @return the result, sent to the proposer
     * @throws firstair.fleet.fault.Fault if the operation is rejected: the state must be unchanged then, and all
     *         voters must reject it alike. {@code UnknownEntry} means that this version of the program does not know
     *         the operation: the voter then stops.
     */
    byte[] apply(long index, byte[] operation);

    /** The whole state as bytes; the same bytes after the same operations. */
    byte[] snapshot();

    /**
     * Replaces the whole state.
     *
     * @throws firstair.fleet.fault.Fault if the bytes are not a {@link #snapshot}
     */
    void restore(byte[] state);
}
