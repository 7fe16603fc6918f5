package firstair.relay.store;

import firstair.relay.RateLimitedLogger;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The messages that have not been completed, in memory and in one append-only file. When the file has grown to half of
 * the disk space, the open messages are written to a new file that replaces it, so both always fit. A larger file of an
 * earlier process is continued until enough of its messages have ended. Nothing is synced:
 * the folder outlives the process, not the machine.
 */
public final class Store {
    private static final Logger LOG = Logger.getLogger(Store.class.getName());
    private static final long READ_TIMEOUT_MS = 5000; // a relay has to be ready within 10 s
    private static final long READ_RETRY_MS = 50;
    private static final long LOGGED_CLOCK_STEP_MS = 1000;
    private static final int DISK_RESERVE_BYTES = 8192; // not used for records: partly filled blocks, the folder

    private final StateFolder folder;
    private final long diskBytes;
    private final BootClock clock;
    private final Map<Long, OpenMessage> open = new LinkedHashMap<>();
    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private FileChannel file;
    private Path path;
    private long generation;
    private Framing framing = DelimiterFraming.INSTANCE; // of the current file
    private long size;
    private long completeBytes; // of the file that was read at the start, without an incomplete last record
    private boolean sameBoot; // that file was written in the current boot
    private long reservedBytes;
    private boolean incomplete; // the file lacks records that could not be written
    private boolean torn; // the file may contain part of a failed write
    private final RateLimitedLogger failures = new RateLimitedLogger(LOG, Level.SEVERE);
    private boolean writeFailureLogged; // that it cannot be written

    private Store(Path folder, long diskBytes, BootClock clock) {
        this.clock = clock;
        this.folder = new StateFolder(folder);
        this.diskBytes = diskBytes;
    }

    /**
     * Reads the current file in the folder and writes a new one with the open messages, or continues the current one
     * if a new one does not fit beside it. Transient read failures are retried.
     *
     * @param diskBytes bytes that the folder may use
     * @param clock     the clock of deadlines and of the times of calls
     * @throws UnusableFolderException if the folder cannot be used, or reading still fails after the retries
     */
    public static Store open(Path folder, long diskBytes, BootClock clock) throws IOException {
        Store store = new Store(folder, diskBytes, clock);
        store.read(folder);
        try {
            if (store.newFileFits()) {
                store.rewrite();
            } else {
                store.continueFile();
            }
        } catch (IOException e) {
            // Deliver the messages that were read, accept no new ones, and retry the write with each flush.
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
                failures.log("store: cannot read, retrying: " + UnusableFolderException.reason(e));
                waitBeforeRetry();
            }
        }
    }

    private static void waitBeforeRetry() throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(READ_RETRY_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException("interrupted while reading the state folder");
        }
    }

    private void load(byte[] file) {
        StoredTimes.ClockReading[] fileClock = new StoredTimes.ClockReading[1];
        Records.Reader reader = new Records.Reader() {
            @Override
            public void accepted(StoredMessage t) {
                open.put(t.id(), new OpenMessage(t));
            }

            @Override
            public void attemptStarted(long id, StoredAttempt t) {
                OpenMessage o = open.get(id);
                if (o != null) {
                    o.addAttempt(t);
                }
            }

            @Override
            public void attemptEnded(long id, int attempt, boolean maybeRan) {
                OpenMessage o = open.get(id);
                if (o != null && o.hasAttempt(attempt)) {
                    o.setMaybeRan(attempt, maybeRan);
                }
            }

            @Override
            public void pendingNotice(long id, PendingNotice owed) {
                OpenMessage o = open.get(id);
                if (o != null) {
                    o.setPendingNotice(owed);
                }
            }

            @Override
            public void completed(long id) {
                open.remove(id);
            }

            @Override
            public void clock(StoredTimes.ClockReading mark) {
                fileClock[0] = mark;
            }
        };
        framing = Framing.of(file);
        Framing.ReadResult found = framing.read(file, content -> Records.read(content, reader));
        size = file.length;
        completeBytes = size - found.truncatedBytes();
        StoredTimes times = new StoredTimes(fileClock[0], clock);
        open.values().forEach(o -> o.convertTimes(times));
        sameBoot = times.sameBoot();
        if (Math.abs(times.wallStepMs()) >= LOGGED_CLOCK_STEP_MS) {
            LOG.info("store: the wall clock was stepped by " + times.wallStepMs() + " ms; deadlines are not affected");
        }
        open.values().forEach(o -> reservedBytes += o.reservedBytes());
        if (found.damaged() > 0) {
            LOG.severe("store: " + found.damaged() + " damaged places in " + path.getFileName() + " skipped");
        }
        if (found.truncatedBytes() > 0) {
            LOG.info("store: incomplete last record, " + found.truncatedBytes() + " bytes dropped");
        }
    }

    /** The messages that are not completed. */
    public Collection<OpenMessage> open() {
        return List.copyOf(open.values());
    }

    /** The highest id of the open messages, or -1. */
    public long lastId() {
        return open.keySet().stream().mapToLong(Long::longValue).max().orElse(-1);
    }

    /** Whether there is space for so many bytes of {@link #spaceFor} beside the messages recorded so far. */
    public boolean fits(long bytes) {
        return !incomplete && reservedBytes + bytes <= maxFileBytes();
    }

    /** Upper bound for the bytes of a new message with its calls and its outcome. */
    public static long spaceFor(StoredMessage t) {
        return new OpenMessage(t).reservedBytes();
    }

    /** Records a message that is about to be accepted. */
    public void accept(StoredMessage t) {
        OpenMessage o = new OpenMessage(t);
        OpenMessage recordedBefore = open.put(t.id(), o);
        reservedBytes += o.reservedBytes() - (recordedBefore == null ? 0 : recordedBefore.reservedBytes());
        record(Records.accepted(t));
    }

    /** Number of recorded calls of a message, -1 if the message is completed. */
    public int attemptCount(long id) {
        OpenMessage o = open.get(id);
        return o == null ? -1 : o.attemptCount();
    }

    /**
     * Records a call that is about to be sent; returns its index among the calls of the message.
     *
     * @param zone name of the endpoint's zone, or null if unknown
     */
    public int attemptStarted(long id, String endpoint, String zone, long sentAt) {
        OpenMessage o = open.get(id);
        StoredAttempt t = new StoredAttempt(endpoint, zone, sentAt, true);
        reservedBytes -= o.reservedBytes();
        o.addAttempt(t);
        reservedBytes += o.reservedBytes();
        record(Records.attemptStarted(id, t));
        return o.attemptCount() - 1;
    }

    /** Records whether a call may have run. */
    public void attemptEnded(long id, int attempt, boolean maybeRan) {
        OpenMessage o = open.get(id);
        if (o != null && o.hasAttempt(attempt)) {
            o.setMaybeRan(attempt, maybeRan);
            record(Records.attemptEnded(id, attempt, maybeRan));
        }
    }

    /** Records that the message has ended and its notice is pending; its body is no longer needed. */
    public void setPendingNotice(long id, PendingNotice owed) {
        OpenMessage o = open.get(id);
        if (o != null) {
            reservedBytes -= o.reservedBytes();
            o.setPendingNotice(owed);
            reservedBytes += o.reservedBytes();
            record(Records.pendingNotice(id, owed));
        }
    }

    /** Records that the message is completed. */
    public void complete(long id) {
        OpenMessage o = open.remove(id);
        if (o != null) {
            reservedBytes -= o.reservedBytes();
            record(Records.completed(id));
        }
    }

    private void record(byte[] content) {
        pending.writeBytes(framing.frame(content));
    }

    /** Writes all records since the last flush; false if they could not be written. */
    public boolean flush() {
        if (pending.size() == 0 && !incomplete) {
            return true;
        }
        byte[] bytes = pending.toByteArray();
        pending.reset();
        try {
            store(bytes);
            if (writeFailureLogged) {
                LOG.info("store: writes succeed again");
            }
            writeFailureLogged = false;
            incomplete = false;
            return true;
        } catch (IOException e) {
            writeFailureLogged =
                    writeFailureLogged || failures.log("store: cannot write: " + UnusableFolderException.reason(e));
            incomplete = true;
            return false;
        }
    }

    /**
     * Whether the file is known to contain nothing of a failed {@link #flush}, so that the next start cannot read any
     * of it.
     */
    public boolean certain() {
        return !torn;
    }

    private void store(byte[] bytes) throws IOException {
        boolean full = size + bytes.length > maxFileBytes();
        if ((incomplete || full) && newFileFits()) {
            rewrite();
        } else if (!incomplete && (!full || size + bytes.length <= usableBytes())) {
            append(bytes); // a full file without space for a new one goes on until enough messages have ended
        } else {
            throw noSpace();
        }
    }

    private IOException noSpace() {
        return new IOException("not enough disk space for a new file, " + size + " bytes in the current one and "
                + folder.undeletedBytes() + " in files that cannot be deleted");
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

    /** Removes what a failed write has left after the last complete record. */
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

    /** Size limit in bytes of one file: it and its successor must fit beside the files that could not be deleted. */
    private long maxFileBytes() {
        return (diskBytes - folder.undeletedBytes()) / 2 - DISK_RESERVE_BYTES;
    }

    /** Bytes for files of messages together. */
    private long usableBytes() {
        return diskBytes - folder.undeletedBytes() - DISK_RESERVE_BYTES;
    }

    /**
     * Whether a new file fits beside the current one. If the current one alone exceeds the limit, which was lowered,
     * only a new one can bring the folder back under it.
     */
    private boolean newFileFits() {
        boolean limitLowered = size > usableBytes() && reservedBytes <= maxFileBytes();
        return limitLowered || size + reservedBytes <= usableBytes();
    }

    /**
     * Appends to the file that was read, where a new one does not fit beside it. Its times must refer to the clock of
     * this boot.
     */
    private void continueFile() throws IOException {
        if (path == null || !sameBoot) {
            throw noSpace();
        }
        folder.deleteTempFile();
        file = folder.openToAppend(path, completeBytes);
        size = completeBytes;
        LOG.info("store: " + path.getFileName() + " is continued, " + size + " bytes leave no space for a new file");
    }

    private void rewrite() throws IOException {
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
        // From here on the new file is current, even if closing or deleting the old one fails.
        FileChannel before = file;
        Path old = path;
        generation++;
        path = named;
        file = next;
        size = written;
        framing = DelimiterFraming.INSTANCE;
        torn = false;
        close(before);
        if (old != null) {
            folder.discard(old);
        }
    }

    private long writeAll(FileChannel next) throws IOException {
        ByteArrayOutputStream block = new ByteArrayOutputStream();
        Framing target = DelimiterFraming.INSTANCE;
        block.writeBytes(target.frame(Records.clock(StoredTimes.ClockReading.of(clock))));
        long written = 0;
        for (OpenMessage o : open.values()) {
            o.records().forEach(content -> block.writeBytes(target.frame(content)));
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
            // nothing is buffered here: the operating system has all that was written
        }
    }

    /** Flushes and closes the file. */
    public void close() {
        flush();
        close(file);
    }
}
