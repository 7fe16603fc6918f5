package firstair.relay.store;

/** How the contents of records are laid out in a file, so that they can be told apart when it is read. */
interface Framing {
    /** Receives the contents of valid records, in the order of the file. */
    interface ContentReader {
        /** Reads one content; false if its type or its fields are unknown. */
        boolean read(byte[] content);
    }

    /**
     * What was found besides valid records.
     *
     * @param damaged        number of damaged places
     * @param truncatedBytes bytes of an incomplete record at the end
     */
    record ReadResult(int damaged, int truncatedBytes) {}

    /** The bytes of one record in the file. */
    byte[] frame(byte[] content);

    /** Reads all valid records; skips damaged ones and drops an incomplete one at the end. */
    ReadResult read(byte[] file, ContentReader reader);

    /** The framing of a file, by its first byte. New files are always written with {@link DelimiterFraming}. */
    static Framing of(byte[] file) {
        return LengthFraming.startsWithMark(file) ? LengthFraming.INSTANCE : DelimiterFraming.INSTANCE;
    }
}
