package firstair.fleet.ledger;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/** Keeps changes in memory, for fleets simulated in one process. Can lose unforced changes like a killed process. */
public final class InMemoryLedgerStore implements LedgerStore {
    private List<byte[]> changes;
    private int forcedCount;
    private int forceCalls;

    /** Starts with all changes of the memory, as if forced. */
    public InMemoryLedgerStore(LedgerState memory) {
        changes = new ArrayList<>(memory.changes());
        forcedCount = changes.size();
    }

    @Override
    public void append(byte[] change) {
        changes.add(change);
    }

    @Override
    public void force() {
        forcedCount = changes.size();
        forceCalls++;
        if (changes.size() > 4096) { // compacts to the fewest changes with the same state
            changes = new ArrayList<>(LedgerState.of(changes).changes());
            forcedCount = changes.size();
        }
    }

    /** Number of calls to {@link #force}. */
    public int forceCalls() {
        return forceCalls;
    }

    /** What the next process finds after a kill: all forced changes, and a random number of the others. */
    public LedgerState afterKill(RandomGenerator random) {
        int survivors = forcedCount + random.nextInt(changes.size() - forcedCount + 1);
        return LedgerState.of(changes.subList(0, survivors));
    }
}
