package firstair.kit.fleet;

/** Persistent state of a relay, which outlives its processes. */
public final class Folder {
    private final boolean lost;
    private Object stored;

    /** @param lost whether an earlier folder of the relay was lost */
    Folder(boolean lost) {
        this.lost = lost;
    }

    /** The stored state, null if there is none. */
    public <T> T stored(Class<T> type) {
        return type.cast(stored);
    }

    /** Stores a state in place of the previous one. */
    public void store(Object state) {
        stored = state;
    }

    /** Whether the folder is empty because an earlier one was lost. */
    public boolean lost() {
        return lost && stored == null;
    }
}
