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
 * What a voter must not forget, in one file that is only appended to: records as in {@link Store}'s file, each with
 * one change of its {@link LedgerState}. When the file has grown beyond its bound, and beyond twice what is still
 * needed, what is needed goes to a new file that takes its place.
 *
 * <p>{@link #force} syncs, where {@link Store} does not. A message that is lost with its machine is one that its
 * client has not heard the end of, and sends again. But a voter that forgets its vote votes twice in one term, and
 * one that forgets an entry that it confirmed lets a majority form without it: the others have agreed on what then
 * never was. So the engine goes on only when the disk has it.
 *
 * <p>At the end of the file the beginning of a record may stand whose write was cut off; nobody was told of it, and
 * it is dropped. Anything else that cannot be read is damage, and a voter is never started from that: what was
 * confirmed could be missing. That is also so for a record at the very end that has its whole length and a wrong
 * checksum.
 *
 * <p>A voter whose folder is empty looks like one that has never voted, and must not be taken for one: it would vote
 * again in a term in which it has voted, and for a candidate that lacks what this voter had confirmed. The engine
 * offers nothing that makes its return safe by itself, for the leader still counts what the voter confirmed before.
 * So a folder without a ledger is accepted only where the settings say that this voter starts for the first time;
 * else opening fails with {@link Fault.LedgerLost} and the node is not started. Three voters agree without one, five
 * without two. To say {@code first start} is the operator's word that no ledger of this voter has ever been; it has
 * to be taken back once the voter has started. The one safe way to replace voters whose folders are gone is to stop
 * the voters and to found a fleet with a new name, with what the others hold put in anew.
 */
public final class LedgerFile implements LedgerStore {
    private static final Logger LOG = Logger.getLogger(LedgerFile.class.getName());
    private static final String NAME = "ledger.log";
    private static final String DRAFT = "ledger.tmp";
    private static final String LOCK = "ledger.lock";

    private final Path folder;
    private final long mostBytes;
    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private FileChannel lock; // held while open: two processes that write would both forget
    private LedgerState memory;
    private FileChannel file;
    private long size;
    private long needed; // bytes of the memory when the file was opened or written anew
    private IOException broken;

    private LedgerFile(Path folder, long mostBytes) {
        this.folder = folder;
        this.mostBytes = mostBytes;
    }

    /**
     * Opens the ledger in a folder.
     *
     * @param fleet      name of the fleet
     * @param self       the voter whose ledger it is
     * @param voters     all voters
     * @param firstStart whether this voter starts for the first time ever: only then may there be no ledger
     * @param mostBytes  beyond this it is written anew
     * @throws Fault.LedgerLost      if there is none and it is no first start
     * @throws Fault.TornLedger      if it is damaged
     * @throws Fault.LedgerUnwritten if the folder cannot be read or written, or another process has it open
     */
    public static LedgerFile open(
            Path folder, String fleet, String self, List<String> voters, boolean firstStart, long mostBytes) {
        LedgerFile ledger = new LedgerFile(folder, mostBytes);
        boolean opened = false;
        try {
            Files.createDirectories(folder);
            ledger.lock();
            Files.deleteIfExists(folder.resolve(DRAFT)); // it would have got its name once whole
            Path named = folder.resolve(NAME);
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
        lock = FileChannel.open(folder.resolve(LOCK), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        try {
            if (lock.tryLock() != null) {
                return;
            }
        } catch (OverlappingFileLockException e) {
            LOG.fine("ledger: open twice in this process"); // the same to whoever opens it
        }
        throw new Fault.LedgerUnwritten("another process uses " + folder);
    }

    private void unlock() {
        try {
            if (lock != null) {
                lock.close();
            }
        } catch (IOException e) {
            LOG.warning("ledger: cannot let go of " + folder + ": " + e);
        }
    }

    private void read(Path named) throws IOException {
        byte[] all = Files.readAllBytes(named);
        List<byte[]> changes = new ArrayList<>();
        int at = 0;
        for (int length = 0; at < all.length; at += Records.HEADER + length) {
            length = Records.whole(all, at);
            if (length < 0) {
                break;
            }
            byte[] change = new byte[length];
            System.arraycopy(all, at + Records.HEADER, change, 0, length);
            changes.add(change);
        }
        if (at < all.length && (!Records.cutOff(all, at) || anyBehind(all, at))) {
            throw new Fault.TornLedger(named.toString(), at);
        }
        try {
            memory = LedgerState.of(changes);
        } catch (Fault.Unreadable e) {
            throw new Fault.TornLedger(named.toString(), at); // whole records, but not those of a ledger
        }
        if (at < all.length) {
            LOG.info("ledger: last record was cut off, " + (all.length - at) + " bytes dropped");
        }
        file = FileChannel.open(named, StandardOpenOption.WRITE);
        file.truncate(at);
        file.position(at);
        file.force(true);
        size = at;
        needed = memory.changes().stream()
                .mapToLong(c -> Records.HEADER + c.length)
                .sum();
    }

    /** Whether a whole record stands behind a place: then what is there was not the last to be written. */
    private static boolean anyBehind(byte[] all, int at) {
        for (int i = at + 1; i < all.length; i++) {
            if (Records.whole(all, i) >= 0) {
                return true;
            }
        }
        return false;
    }

    /** What the voter remembers; it changes with what the engine keeps. */
    public LedgerState memory() {
        return memory;
    }

    /** Size of the file, bytes. */
    public long size() {
        return size;
    }

    @Override
    public void append(byte[] change) throws IOException {
        check();
        byte[] record = new byte[Records.HEADER + change.length];
        System.arraycopy(change, 0, record, Records.HEADER, change.length);
        pending.writeBytes(Records.sealed(record));
    }

    @Override
    public void force() throws IOException {
        check();
        try {
            if (size + pending.size() > Math.max(mostBytes, 2 * needed)) {
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
            broken = e; // whether the disk has it is not known, and asking again would not tell
            throw e;
        }
    }

    private void check() throws IOException {
        if (broken != null) {
            throw new IOException(broken.getMessage());
        }
    }

    /** Writes all that is needed to a new file. The memory holds what is pending too. */
    private void rewrite() throws IOException {
        pending.reset();
        Path draft = folder.resolve(DRAFT);
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
            Files.move(draft, folder.resolve(NAME), StandardCopyOption.ATOMIC_MOVE);
            try (FileChannel names = FileChannel.open(folder, StandardOpenOption.READ)) {
                names.force(true); // the new name has to last as well
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
        needed = written;
    }

    /** Closes the file; what was not forced is not in it. */
    public void close() throws IOException {
        pending.reset();
        broken = new IOException("closed");
        unlock();
        file.close();
    }
}
