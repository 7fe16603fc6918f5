package firstair.fleet.ledger;

import firstair.fleet.fault.Fault;

/**
 * An operation with the id that makes it count once, however often it comes.
 *
 * @param by          the member that proposes it
 * @param incarnation of its process
 * @param number      grows by one with each proposal of a process
 * @param operation   its kind in the first byte, then what that kind's machine reads
 */
record Proposal(String by, long incarnation, long number, byte[] operation) {
    /** Longest operation, bytes. */
    static final int MOST_BYTES = 65_536;

    byte[] bytes() {
        return new Packed.Writer()
                .text(by)
                .number(incarnation)
                .number(number)
                .bytes(operation)
                .done();
    }

    static Proposal read(byte[] bytes) {
        Packed.Reader in = new Packed.Reader(bytes);
        Proposal proposal = new Proposal(in.text(), in.count(), in.count(), in.bytes());
        in.end();
        if (proposal.operation.length == 0) {
            throw new Fault.Unreadable("an operation without a kind");
        }
        if (proposal.operation.length > MOST_BYTES) {
            throw new Fault.TooLarge(proposal.operation.length, MOST_BYTES);
        }
        return proposal;
    }

    int kind() {
        return operation[0] & 0xFF;
    }
}
