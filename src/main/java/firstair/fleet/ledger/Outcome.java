package firstair.fleet.ledger;

import firstair.fleet.fault.Fault;

/** The outcome of a proposal. */
public sealed interface Outcome {

    /** The operation was committed and applied once; {@code result} is what the state machine returned. */
    record Committed(byte[] result) implements Outcome {}

    /** The operation was rejected and changed nothing: code, message and remedy of the state machine's fault. */
    record Refused(String code, String what, String step) implements Outcome {}

    /**
     * No quorum was reachable in time. The proposal may still be committed later, at most once; whoever proposes the
     * same again should make the operation idempotent.
     */
    record NotNow(Fault.NotNow fault) implements Outcome {}

    /** Encodes {@link Committed}. */
    static byte[] encodeAgreed(byte[] result) {
        return new MessagePackFormat.Writer().flag(true).bytes(result).toBytes();
    }

    /** Encodes {@link Refused}. */
    static byte[] encodeRefused(Fault fault) {
        return new MessagePackFormat.Writer()
                .flag(false)
                .text(fault.code())
                .text(fault.getMessage())
                .text(fault.step())
                .toBytes();
    }

    /**
     * Decodes what {@link #encodeAgreed} or {@link #encodeRefused} wrote.
     *
     * @throws Fault.Unreadable if the bytes are neither
     */
    static Outcome decode(byte[] bytes) {
        MessagePackFormat.Reader in = new MessagePackFormat.Reader(bytes);
        Outcome outcome = in.flag() ? new Committed(in.bytes()) : new Refused(in.text(), in.text(), in.text());
        in.expectEnd();
        return outcome;
    }
}
