package firstair.relay.store;

import firstair.fleet.fault.Fault;
import firstair.fleet.ledger.LedgerState;
import firstair.fleet.ledger.LedgerStore;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Logger;

/**
 * The persistent state of a voter, in one append-only file: records in {@link LengthFraming}, each with
 * one change of its {@link LedgerState}. When the file exceeds its size limit and twice the size of its live records,
 * the live records are written to a new file that replaces it.
 *
 * <p>{@link #force} syncs, where {@link Store} does not. A message that is lost with its machine has not been confirmed
 * to its client, which sends it again. But a voter that loses its vote may vote twice in one term, and one that loses
 * an entry that it confirmed lets a majority form without that entry, although the others hold it as agreed. So the
 * engine continues only after the change is on disk.
 *
 * <p>An incomplete record at the end of the file is a write that was interrupted; it was never confirmed to another
 * node, and it is dropped. Anything else that cannot be read is corruption, and a voter is never started from that:
 * confirmed entries could be missing. This includes a last record with its full length and a wrong checksum.
 *
 * <p>A voter with an empty folder looks like one that has never voted, but must not be treated as one: it could vote
 * again in a term in which it has voted, and for a candidate that lacks entries that this voter had confirmed. The
 * engine has no safe way to readmit it, because the leader still counts what the voter confirmed before. So a folder
 * without a ledger is accepted only if the settings declare the first start of this voter; otherwise opening fails
 * with {@link Fault.LedgerLost} and the node is not started. Three voters keep a quorum without one, five without two.
 * With {@code first start} the operator asserts that this voter has never had a ledger; the setting must be removed
 * once the voter has started. The only safe way to replace voters whose folders are lost is to stop the voters and to
 * found a fleet under a new name, entering the data of the remaining voters again.
 */
public final class LedgerFile implements LedgerStore {
    private static final Logger LOG = Logger.getLogger(LedgerFile.class.getName());
    private static final String FILE_NAME = "ledger.log";
    private static final String TEMP_NAME = "ledger.tmp";
    private static final String LOCK_NAME = "ledger.lock";

    private final Path folder;
    private final long maxBytes;
    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private FileChannel lock; // held while open: two writing processes would lose each other's records
    private LedgerState memory;
    private FileChannel file;
    private long size;
    private long liveBytes; // size of the live records when the file was opened or last rewritten
    private IOException failure;

    private LedgerFile(Path folder, long maxBytes) {
        this.folder = folder;
        this.maxBytes = maxBytes;
    }

    /**
     * Opens the ledger in a folder.
     *
     * @param fleet      name of the fleet
     * @param self       the voter that owns the ledger
     * @param voters     all voters
     * @param firstStart whether this is the first start of this voter ever: only then may the ledger be missing
     * @param maxBytes  size in bytes above which the file is rewritten
     * @throws Fault.LedgerLost      if there is no ledger and this is not the first start
     * @throws Fault.TornLedger      if it is damaged
     * @throws Fault.LedgerUnwritten if the folder cannot be read or written, or another process has it open
     */
    public static LedgerFile open(
            Path folder, String fleet, String self, List<String> voters, boolean firstStart, long maxBytes) {
        LedgerFile ledger = new LedgerFile(folder, maxBytes);
        boolean opened = false;
        try {
            Files.createDirectories(folder);
            ledger.lock();
            Files.deleteIfExists(
                    folder.resolve(TEMP_NAME)); // left by an interrupted rewrite; a complete one is renamed
            Path named = folder.resolve(FILE_NAME);
            if (Files.exists(named)) {
                ledger.read(named);
            } else if (firstStart) {
                ledger.memory = LedgerState.initial(fleet, self, voters);
                ledger.rewrite();
            } else {
                throw new Fault.LedgerLost(folder.toString());
            }
            opened = true;
            return ledger;
        } catch (IOException e) {
            throw new Fault.LedgerUnwritten(e.toString());
        } finally {
            if (!opened) {
                ledger.unlock();
            }
        }
    }

    private void lock() throws IOException {
        lock = FileChannel.open(folder.resolve(LOCK_NAME), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        try {
            if (lock.tryLock() != null) {
                return;
            }
        } catch (OverlappingFileLockException e) {
            LOG.fine("ledger: already open in this process"); // reported to the caller like another process
        }
        throw new Fault.LedgerUnwritten("another process uses " + folder);
    }

    private void unlock() {
        try {
            if (lock != null) {
                lock.close();
            }
        } catch (IOException e) {
            LOG.warning("ledger: cannot unlock " + folder + ": " + e);
        }
    }

    private void read(Path named) throws IOException {
        byte[] all = Files.readAllBytes(named);
        List<byte[]> changes = new ArrayList<>();
        int at = 0;
        for (int length = 0; at < all.length; at += LengthFraming.HEADER + length) {
            length = LengthFraming.validLength(all, at);
            if (length < 0) {
                break;
            }
            byte[] change = new byte[length];
            System.arraycopy(all, at + LengthFraming.HEADER, change, 0, length);
            changes.add(change);
        }
        if (at < all.length && (!LengthFraming.isTruncatedRecord(all, at) || anyRecordAfter(all, at))) {
            throw new Fault.TornLedger(named.toString(), at);
        }
        try {
            memory = LedgerState.of(changes);
        } catch (Fault.Unreadable e) {
            throw new Fault.TornLedger(named.toString(), at); // valid records, but not of a ledger
        }
        if (at < all.length) {
            LOG.info("ledger: incomplete last record, " + (all.length - at) + " bytes dropped");
        }
        file = FileChannel.open(named, StandardOpenOption.WRITE);
        file.truncate(at);
        file.position(at);
        file.force(true);
        size = at;
        liveBytes = memory.changes().stream()
                .mapToLong(c -> LengthFraming.HEADER + c.length)
                .sum();
    }

    /** Whether a valid record follows an offset: then the bytes at the offset were not the last ones written. */
    private static boolean anyRecordAfter(byte[] all, int at) {
        for (int i = at + 1; i < all.length; i++) {
            if (LengthFraming.validLength(all, i) >= 0) {
                return true;
            }
        }
        return false;
    }

    /** The state of the voter; updated as the engine records changes. */
    public LedgerState memory() {
        return memory;
    }

    /** Size of the file, bytes. */
    public long size() {
        return size;
    }

    @Override
    public void append(byte[] change) throws IOException {
        checkUsable();
        pending.writeBytes(LengthFraming.INSTANCE.frame(change));
    }

    @Override
    public void force() throws IOException {
        checkUsable();
        try {
            if (size + pending.size() > Math.max(maxBytes, 2 * liveBytes)) {
                rewrite();
                return;
            }
            ByteBuffer buffer = ByteBuffer.wrap(pending.toByteArray());
            size += buffer.remaining();
            pending.reset();
            while (buffer.hasRemaining()) {
                file.write(buffer);
            }
            file.force(false);
        } catch (IOException e) {
            failure = e; // it is unknown whether the data is on disk, and a retry would not reveal it
            throw e;
        }
    }

    private void checkUsable() throws IOException {
        if (failure != null) {
            throw new IOException(failure.getMessage());
        }
    }

    /** Writes all live records to a new file. The memory includes the pending changes. */
    private void rewrite() throws IOException {
        pending.reset();
        Path draft = folder.resolve(TEMP_NAME);
        FileChannel next = FileChannel.open(
                draft, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING);
        long written = 0;
        try {
            for (byte[] change : memory.changes()) {
                append(change);
                written += pending.size();
                ByteBuffer buffer = ByteBuffer.wrap(pending.toByteArray());
                pending.reset();
                while (buffer.hasRemaining()) {
                    next.write(buffer);
                }
            }
            next.force(true);
            Files.move(draft, folder.resolve(FILE_NAME), StandardCopyOption.ATOMIC_MOVE);
            try (FileChannel names = FileChannel.open(folder, StandardOpenOption.READ)) {
                names.force(true); // the rename must be durable too
            }
        } catch (IOException e) {
            next.close();
            throw e;
        }
        if (file != null) {
            file.close();
        }
        file = next;
        size = written;
        liveBytes = written;
    }

    /** Closes the file; changes that were not forced are discarded. */
    public void close() throws IOException {
        pending.reset();
        failure = new IOException("closed");
        unlock();
        file.close();
    }
}
