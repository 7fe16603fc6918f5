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
    private static final long READ_PATIENCE_MS = 5000; // a relay has to be ready within 10 s
    private static final long READ_AGAIN_MS = 50;
    private static final long STEP_TOLD_MS = 1000;
    private static final int SLACK = 8192; // bytes of the room left alone: partly used blocks, the folder
    private static final int PER_MESSAGE = 1024; // bytes kept for the calls and the end of each message
    private static final int WITHOUT_BODY = 512; // bytes that a message without its body takes at most

    /** A message that is not over, and what is known of it. */
    public static final class Open {
        private StoredMessage taken;
        private final List<StoredAttempt> tries = new ArrayList<>();
        private OwedNotice owed;
        private int callBytes; // of the records of its calls

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

        private void convert(StoredTimes times) {
            taken = taken.withDeadlineAt(times.deadlineAt(taken.deadlineAt()));
            tries.replaceAll(t -> new StoredAttempt(t.endpoint(), times.sentAt(t.sentAt()), t.maybeRan()));
        }

        private int cost() {
            return taken.body().length + WITHOUT_BODY + Math.max(PER_MESSAGE, callBytes);
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
    private long cost;
    private boolean behind; // the file lacks records that could not be written
    private boolean torn; // the file may hold records of a write that failed
    private final RateLimitedLogger failures = new RateLimitedLogger(LOG, Level.SEVERE);
    private boolean told; // that it cannot be written

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
            store.behind = true;
            store.told = store.failures.log("store: cannot write: " + UnusableFolderException.reason(e));
        }
        return store;
    }

    private void read(Path of) throws IOException {
        long end = clock.nowMs() + READ_PATIENCE_MS;
        while (true) {
            try {
                folder.prepare();
                List<Path> files = folder.generations();
                if (!files.isEmpty()) {
                    path = files.get(files.size() - 1);
                    generation = StateFolder.generation(path);
                    take(Files.readAllBytes(path));
                }
                files.subList(0, Math.max(0, files.size() - 1)).forEach(folder::discard);
                return;
            } catch (UnusableFolderException e) {
                throw e;
            } catch (IOException e) {
                if (clock.nowMs() >= end) {
                    throw UnusableFolderException.failing(of, e);
                }
                failures.log("store: cannot read, trying again: " + UnusableFolderException.reason(e));
                pause();
            }
        }
    }

    private static void pause() throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(READ_AGAIN_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException("told to end while the folder was read");
        }
    }

    private void take(byte[] file) {
        StoredTimes.Mark[] begun = new StoredTimes.Mark[1];
        Records.Found found = Records.read(file, new Records.Reader() {
            @Override
            public void taken(StoredMessage t) {
                open.put(t.id(), new Open(t));
            }

            @Override
            public void called(long id, StoredAttempt t) {
                Open o = open.get(id);
                if (o != null) {
                    o.tries.add(t);
                    o.callBytes += Records.called(id, t).length;
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
            public void clock(StoredTimes.Mark mark) {
                begun[0] = mark;
            }
        });
        StoredTimes times = new StoredTimes(begun[0], clock);
        open.values().forEach(o -> o.convert(times));
        if (Math.abs(times.wallStepMs()) >= STEP_TOLD_MS) {
            LOG.info("store: the wall clock was stepped by " + times.wallStepMs() + " ms, which moves no deadline");
        }
        open.values().forEach(o -> cost += o.cost());
        if (found.damaged() > 0) {
            LOG.severe("store: " + found.damaged() + " damaged places in " + path.getFileName() + " passed over");
        }
        if (found.tornBytes() > 0) {
            LOG.info("store: last record was cut off, " + found.tornBytes() + " bytes dropped");
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
        return !behind && cost + bodyBytes + WITHOUT_BODY + PER_MESSAGE <= room();
    }

    /** A message is about to be taken on. */
    public void taken(StoredMessage t) {
        Open o = new Open(t);
        open.put(t.id(), o);
        cost += o.cost();
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
        cost -= o.cost();
        o.tries.add(t);
        o.callBytes += record.length;
        cost += o.cost();
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
            cost -= o.cost();
            o.owed = owed;
            o.taken = o.taken.withoutBody();
            cost += o.cost();
            pending.writeBytes(Records.owed(id, owed));
        }
    }

    /** Nothing more is owed for the message. */
    public void over(long id) {
        Open o = open.remove(id);
        if (o != null) {
            cost -= o.cost();
            pending.writeBytes(Records.over(id));
        }
    }

    /** Writes what has been noted since the last call; false if it is not in the file now. */
    public boolean flush() {
        if (pending.size() == 0 && !behind) {
            return true;
        }
        byte[] bytes = pending.toByteArray();
        pending.reset();
        try {
            if (behind || size + bytes.length > room()) {
                rewrite();
            } else {
                append(bytes);
            }
            if (told) {
                LOG.info("store: writing again");
            }
            told = false;
            behind = false;
            return true;
        } catch (IOException e) {
            told = told || failures.log("store: cannot write: " + UnusableFolderException.reason(e));
            behind = true;
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
            cutBack();
            throw e;
        }
    }

    /** Takes back what a failed write has left behind the last whole record. */
    private void cutBack() {
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
    private long room() {
        return (diskBytes - folder.undeletedBytes()) / 2 - SLACK;
    }

    private void rewrite() throws IOException {
        if (folder.undeletedBytes() + size + cost > diskBytes - SLACK) {
            throw new IOException("no room beside files that cannot be deleted");
        }
        FileChannel next = folder.newDraft();
        Path named = folder.named(generation + 1);
        long written;
        try {
            written = writeAll(next);
            folder.publish(named);
        } catch (IOException e) {
            close(next);
            folder.dropDraft();
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
        block.writeBytes(Records.clock(StoredTimes.Mark.of(clock)));
        long written = 0;
        for (Open o : open.values()) {
            block.writeBytes(Records.taken(o.taken));
            for (StoredAttempt t : o.tries) {
                block.writeBytes(Records.called(o.taken.id(), t));
            }
            if (o.owed != null) {
                block.writeBytes(Records.owed(o.taken.id(), o.owed));
            }
            if (block.size() >= SLACK) {
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
