package firstair.fleet.ledger;

import java.io.IOException;

/**
 * Durable storage for the changes of a {@link LedgerState}. An appended change may be lost until the next
 * {@link #force}, but then all later ones are lost too. After a failure every further call fails, because it is unknown
 * what a failed write or sync left on disk.
 */
public interface LedgerStore {
    /** Appends a change. */
    void append(byte[] change) throws IOException;

    /** Returns once all appended changes are durable; the engine then answers other voters on that basis. */
    void force() throws IOException;
}
