package firstair.relay.store;

import firstair.relay.RateLimitedLogger;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The messages that the relay owes an end, in memory and in one file that is only appended to. When the file
 * has grown to half of the room, what is still open goes to a new file, which then takes the old one's place;
 * so both fit at every moment. Nothing is synced: the folder outlives the process, not the machine.
 */
public final class Store {
    private static final Logger LOG = Logger.getLogger(Store.class.getName());
    private static final long READ_TIMEOUT_MS = 5000; // a relay has to be ready within 10 s
    private static final long READ_RETRY_MS = 50;
    private static final long LOGGED_CLOCK_STEP_MS = 1000;
    private static final int DISK_RESERVE_BYTES = 8192; // bytes of the room left alone: partly used blocks, the folder
    private static final int ATTEMPTS_RESERVE_BYTES = 1024; // bytes kept for the calls and the end of each message
    private static final int MAX_BYTES_WITHOUT_BODY = 512; // bytes that a message without its body takes at most

    /** A message that is not over, and what is known of it. */
    public static final class Open {
        private StoredMessage taken;
        private final List<StoredAttempt> tries = new ArrayList<>();
        private OwedNotice owed;
        private int attemptBytes; // of the records of its calls

        private Open(StoredMessage taken) {
            this.taken = taken;
        }

        /** The message; without its bytes once only its notice is owed. */
        public StoredMessage taken() {
            return taken;
        }

        /** The calls made so far. */
        public List<StoredAttempt> tries() {
            return List.copyOf(tries);
        }

        /** The notice that is owed, or null. */
        public OwedNotice owed() {
            return owed;
        }

        private void convertTimes(StoredTimes times) {
            taken = taken.withDeadlineAt(times.deadlineAt(taken.deadlineAt()));
            tries.replaceAll(t -> new StoredAttempt(t.endpoint(), times.sentAt(t.sentAt()), t.maybeRan()));
        }

        private int reservedBytes() {
            return taken.body().length + MAX_BYTES_WITHOUT_BODY + Math.max(ATTEMPTS_RESERVE_BYTES, attemptBytes);
        }
    }

    private final StateFolder folder;
    private final long diskBytes;
    private final BootClock clock;
    private final Map<Long, Open> open = new LinkedHashMap<>();
    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private FileChannel file;
    private Path path;
    private long generation;
    private long size;
    private long reservedBytes;
    private boolean incomplete; // the file lacks records that could not be written
    private boolean torn; // the file may hold records of a write that failed
    private final RateLimitedLogger failures = new RateLimitedLogger(LOG, Level.SEVERE);
    private boolean writeFailureLogged; // that it cannot be written

    private Store(Path folder, long diskBytes, BootClock clock) {
        this.clock = clock;
        this.folder = new StateFolder(folder);
        this.diskBytes = diskBytes;
    }

    /**
     * Reads what is in the folder and begins a new file with what is still open. A folder that fails for a moment is
     * tried again.
     *
     * @param diskBytes bytes that the folder may hold
     * @param clock     what deadlines and times of calls are told by
     * @throws UnusableFolderException if the folder cannot be used, or goes on failing
     */
    public static Store open(Path folder, long diskBytes, BootClock clock) throws IOException {
        Store store = new Store(folder, diskBytes, clock);
        store.read(folder);
        try {
            store.rewrite();
        } catch (IOException e) {
            // What was read is still owed: serve it, take nothing new, and try again with each round.
            store.incomplete = true;
            store.writeFailureLogged = store.failures.log("store: cannot write: " + UnusableFolderException.reason(e));
        }
        return store;
    }

    private void read(Path of) throws IOException {
        long end = clock.nowMs() + READ_TIMEOUT_MS;
        while (true) {
            try {
                folder.prepare();
                List<Path> files = folder.generations();
                if (!files.isEmpty()) {
                    path = files.get(files.size() - 1);
                    generation = StateFolder.generation(path);
                    load(Files.readAllBytes(path));
                }
                files.subList(0, Math.max(0, files.size() - 1)).forEach(folder::discard);
                return;
            } catch (UnusableFolderException e) {
                throw e;
            } catch (IOException e) {
                if (clock.nowMs() >= end) {
                    throw UnusableFolderException.unreadable(of, e);
                }
                failures.log("store: cannot read, trying again: " + UnusableFolderException.reason(e));
                waitBeforeRetry();
            }
        }
    }

    private static void waitBeforeRetry() throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(READ_RETRY_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException("told to end while the folder was read");
        }
    }

    private void load(byte[] file) {
        StoredTimes.ClockReading[] fileClock = new StoredTimes.ClockReading[1];
        Records.ReadResult found = Records.read(file, new Records.Reader() {
            @Override
            public void taken(StoredMessage t) {
                open.put(t.id(), new Open(t));
            }

            @Override
            public void called(long id, StoredAttempt t) {
                Open o = open.get(id);
                if (o != null) {
                    o.tries.add(t);
                    o.attemptBytes += Records.called(id, t).length;
                }
            }

            @Override
            public void ended(long id, int attempt, boolean maybeRan) {
                Open o = open.get(id);
                if (o != null && attempt >= 0 && attempt < o.tries.size()) {
                    StoredAttempt t = o.tries.get(attempt);
                    o.tries.set(attempt, new StoredAttempt(t.endpoint(), t.sentAt(), maybeRan));
                }
            }

            @Override
            public void owed(long id, OwedNotice owed) {
                Open o = open.get(id);
                if (o != null) {
                    o.owed = owed;
                    o.taken = o.taken.withoutBody();
                }
            }

            @Override
            public void over(long id) {
                open.remove(id);
            }

            @Override
            public void clock(StoredTimes.ClockReading mark) {
                fileClock[0] = mark;
            }
        });
        StoredTimes times = new StoredTimes(fileClock[0], clock);
        open.values().forEach(o -> o.convertTimes(times));
        if (Math.abs(times.wallStepMs()) >= LOGGED_CLOCK_STEP_MS) {
            LOG.info("store: the wall clock was stepped by " + times.wallStepMs() + " ms, which moves no deadline");
        }
        open.values().forEach(o -> reservedBytes += o.reservedBytes());
        if (found.damaged() > 0) {
            LOG.severe("store: " + found.damaged() + " damaged places in " + path.getFileName() + " passed over");
        }
        if (found.truncatedBytes() > 0) {
            LOG.info("store: last record was cut off, " + found.truncatedBytes() + " bytes dropped");
        }
    }

    /** The messages that are not over. */
    public Collection<Open> open() {
        return List.copyOf(open.values());
    }

    /** The highest number that any message here has, or -1. */
    public long lastId() {
        return open.keySet().stream().mapToLong(Long::longValue).max().orElse(-1);
    }

    /** Whether there is room for one more message with so many bytes. */
    public boolean fits(int bodyBytes) {
        return !incomplete && reservedBytes + bodyBytes + MAX_BYTES_WITHOUT_BODY + ATTEMPTS_RESERVE_BYTES <= maxFileBytes();
    }

    /** A message is about to be taken on. */
    public void taken(StoredMessage t) {
        Open o = new Open(t);
        open.put(t.id(), o);
        reservedBytes += o.reservedBytes();
        pending.writeBytes(Records.taken(t));
    }

    /** Calls of a message that have been noted, -1 if the message is over. */
    public int tries(long id) {
        Open o = open.get(id);
        return o == null ? -1 : o.tries.size();
    }

    /** A call is about to be written; returns its number among the calls of the message. */
    public int called(long id, String endpoint, long sentAt) {
        Open o = open.get(id);
        StoredAttempt t = new StoredAttempt(endpoint, sentAt, true);
        byte[] record = Records.called(id, t);
        reservedBytes -= o.reservedBytes();
        o.tries.add(t);
        o.attemptBytes += record.length;
        reservedBytes += o.reservedBytes();
        pending.writeBytes(record);
        return o.tries.size() - 1;
    }

    /** What is known of a call by now. */
    public void ended(long id, int attempt, boolean maybeRan) {
        Open o = open.get(id);
        if (o != null && attempt < o.tries.size()) {
            StoredAttempt t = o.tries.get(attempt);
            o.tries.set(attempt, new StoredAttempt(t.endpoint(), t.sentAt(), maybeRan));
            pending.writeBytes(Records.ended(id, attempt, maybeRan));
        }
    }

    /** The message has ended and a notice of it is owed; its bytes are no longer needed. */
    public void owed(long id, OwedNotice owed) {
        Open o = open.get(id);
        if (o != null) {
            reservedBytes -= o.reservedBytes();
            o.owed = owed;
            o.taken = o.taken.withoutBody();
            reservedBytes += o.reservedBytes();
            pending.writeBytes(Records.owed(id, owed));
        }
    }

    /** Nothing more is owed for the message. */
    public void over(long id) {
        Open o = open.remove(id);
        if (o != null) {
            reservedBytes -= o.reservedBytes();
            pending.writeBytes(Records.over(id));
        }
    }

    /** Writes what has been noted since the last call; false if it is not in the file now. */
    public boolean flush() {
        if (pending.size() == 0 && !incomplete) {
            return true;
        }
        byte[] bytes = pending.toByteArray();
        pending.reset();
        try {
            if (incomplete || size + bytes.length > maxFileBytes()) {
                rewrite();
            } else {
                append(bytes);
            }
            if (writeFailureLogged) {
                LOG.info("store: writing again");
            }
            writeFailureLogged = false;
            incomplete = false;
            return true;
        } catch (IOException e) {
            writeFailureLogged = writeFailureLogged || failures.log("store: cannot write: " + UnusableFolderException.reason(e));
            incomplete = true;
            return false;
        }
    }

    /**
     * Whether nothing that a failed {@link #flush} was to write is in a file all the same: then the next start will not
     * find it.
     */
    public boolean certain() {
        return !torn;
    }

    private void append(byte[] bytes) throws IOException {
        try {
            write(file, bytes);
            size += bytes.length;
        } catch (IOException e) {
            truncateFailedWrite();
            throw e;
        }
    }

    /** Takes back what a failed write has left behind the last whole record. */
    private void truncateFailedWrite() {
        try {
            file.truncate(size);
        } catch (IOException e) {
            torn = true;
        }
    }

    private static void write(FileChannel to, byte[] bytes) throws IOException {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        while (buffer.hasRemaining()) {
            to.write(buffer);
        }
    }

    /** Bytes that one file may hold, so that it and its successor fit beside what could not be deleted. */
    private long maxFileBytes() {
        return (diskBytes - folder.undeletedBytes()) / 2 - DISK_RESERVE_BYTES;
    }

    private void rewrite() throws IOException {
        if (folder.undeletedBytes() + size + reservedBytes > diskBytes - DISK_RESERVE_BYTES) {
            throw new IOException("no room beside files that cannot be deleted");
        }
        FileChannel next = folder.newTempFile();
        Path named = folder.pathOf(generation + 1);
        long written;
        try {
            written = writeAll(next);
            folder.publish(named);
        } catch (IOException e) {
            close(next);
            folder.deleteTempFile();
            throw e;
        }
        // From here on the new file is the one that counts, whatever becomes of the old one.
        FileChannel before = file;
        Path old = path;
        generation++;
        path = named;
        file = next;
        size = written;
        torn = false;
        close(before);
        if (old != null) {
            folder.discard(old);
        }
    }

    private long writeAll(FileChannel next) throws IOException {
        ByteArrayOutputStream block = new ByteArrayOutputStream();
        block.writeBytes(Records.clock(StoredTimes.ClockReading.of(clock)));
        long written = 0;
        for (Open o : open.values()) {
            block.writeBytes(Records.taken(o.taken));
            for (StoredAttempt t : o.tries) {
                block.writeBytes(Records.called(o.taken.id(), t));
            }
            if (o.owed != null) {
                block.writeBytes(Records.owed(o.taken.id(), o.owed));
            }
            if (block.size() >= DISK_RESERVE_BYTES) {
                write(next, block.toByteArray());
                written += block.size();
                block.reset();
            }
        }
        write(next, block.toByteArray());
        return written + block.size();
    }

    private static void close(FileChannel file) {
        try {
            if (file != null) {
                file.close();
            }
        } catch (IOException e) {
            // nothing is buffered here: what was written is with the system
        }
    }

    /** Writes what is left to be written and closes the file. */
    public void close() {
        flush();
        close(file);
    }
}
