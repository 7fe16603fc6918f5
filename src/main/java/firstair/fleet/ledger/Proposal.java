package firstair.fleet.ledger;

import firstair.fleet.fault.Fault;

/**
 * An operation with an id, by which it is applied once however often it is sent.
 *
 * @param proposer    name of the member that proposes it
 * @param incarnation of the proposer's process
 * @param number      increases by one with each proposal of a process
 * @param operation   its kind in the first byte, then the payload for the state machine of that kind
 */
record Proposal(String proposer, long incarnation, long number, byte[] operation) {
    static final int MAX_OPERATION_BYTES = 65_536;

    byte[] encode() {
        return new MessagePackFormat.Writer()
                .text(proposer)
                .number(incarnation)
                .number(number)
                .bytes(operation)
                .toBytes();
    }

    static Proposal decode(byte[] bytes) {
        MessagePackFormat.Reader in = new MessagePackFormat.Reader(bytes);
        Proposal proposal = new Proposal(in.text(), in.nonNegativeLong(), in.nonNegativeLong(), in.bytes());
        in.expectEnd();
        if (proposal.operation.length == 0) {
            throw new Fault.Unreadable("an operation without a kind");
        }
        if (proposal.operation.length > MAX_OPERATION_BYTES) {
            throw new Fault.TooLarge(proposal.operation.length, MAX_OPERATION_BYTES);
        }
        return proposal;
    }

    int kind() {
        return operation[0] & 0xFF;
    }
}
