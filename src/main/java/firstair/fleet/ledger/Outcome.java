package firstair.fleet.ledger;

import firstair.fleet.fault.Fault;

/** What came of a proposal. */
public sealed interface Outcome {

    /** It is agreed, once, and this is the machine's result. */
    record Agreed(byte[] result) implements Outcome {}

    /** It is agreed that it changes nothing: the code, the text and the step of the fault that the machine raised. */
    record Refused(String code, String what, String step) implements Outcome {}

    /**
     * No majority could be heard in time. The proposal may still come to be agreed later, once at most; who proposes
     * the same again should name things so that doing it twice does no harm.
     */
    record NotNow(Fault.NotNow fault) implements Outcome {}

    /** The bytes in which voters tell what came of a proposal. */
    static byte[] agreed(byte[] result) {
        return new Packed.Writer().flag(true).bytes(result).done();
    }

    /** The bytes in which voters tell that a proposal is refused. */
    static byte[] refused(Fault fault) {
        return new Packed.Writer()
                .flag(false)
                .text(fault.code())
                .text(fault.getMessage())
                .text(fault.step())
                .done();
    }

    /**
     * Reads what {@link #agreed} or {@link #refused} wrote.
     *
     * @throws Fault.Unreadable if it is neither
     */
    static Outcome read(byte[] bytes) {
        Packed.Reader in = new Packed.Reader(bytes);
        Outcome outcome = in.flag() ? new Agreed(in.bytes()) : new Refused(in.text(), in.text(), in.text());
        in.end();
        return outcome;
    }
}
