package firstair.relay.store;

import firstair.relay.Seldom;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * The messages that the relay owes an end, in memory and in one file that is only appended to. When the file
 * has grown to half of the room, what is still open goes to a new file, which then takes the old one's place;
 * so both fit at every moment. Nothing is synced: the folder outlives the process, not the machine.
 */
public final class Store {
    private static final Logger LOG = Logger.getLogger(Store.class.getName());
    private static final Pattern NAME = Pattern.compile("messages-(\\d{1,18})\\.log");
    private static final String DRAFT = "messages.tmp";
    private static final long STEP_TOLD_MS = 1000;
    private static final int SLACK = 8192; // bytes of the room left alone: partly used blocks, the folder
    private static final int PER_MESSAGE = 1024; // bytes kept for the calls and the end of each message
    private static final int WITHOUT_BODY = 512; // bytes that a message without its body takes at most

    /** A message that is not over, and what is known of it. */
    public static final class Open {
        private Taken taken;
        private final List<Tried> tries = new ArrayList<>();
        private Owed owed;
        private int callBytes; // of the records of its calls

        private Open(Taken taken) {
            this.taken = taken;
        }

        /** The message; without its bytes once only its notice is owed. */
        public Taken taken() {
            return taken;
        }

        /** The calls made so far. */
        public List<Tried> tries() {
            return List.copyOf(tries);
        }

        /** The notice that is owed, or null. */
        public Owed owed() {
            return owed;
        }

        private void convert(StoredTimes times) {
            taken = taken.withDeadlineAt(times.deadlineAt(taken.deadlineAt()));
            tries.replaceAll(t -> new Tried(t.endpoint(), times.sentAt(t.sentAt()), t.maybeRan()));
        }

        private int cost() {
            return taken.body().length + WITHOUT_BODY + Math.max(PER_MESSAGE, callBytes);
        }
    }

    private final Path folder;
    private final long room;
    private final BootClock clock;
    private final Map<Long, Open> open = new LinkedHashMap<>();
    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private FileChannel file;
    private Path path;
    private long generation;
    private long size;
    private long cost;
    private boolean behind; // the file lacks records that could not be written
    private final Seldom failures = new Seldom(LOG, Level.SEVERE);
    private boolean told; // that it cannot be written

    private Store(Path folder, long diskBytes, BootClock clock) {
        this.clock = clock;
        this.folder = folder;
        this.room = diskBytes / 2 - SLACK;
    }

    /**
     * Reads what is in the folder and begins a new file with what is still open.
     *
     * @param diskBytes bytes that the folder may hold
     * @param clock     what deadlines and times of calls are told by
     */
    public static Store open(Path folder, long diskBytes, BootClock clock) throws IOException {
        Store store = new Store(folder, diskBytes, clock);
        Files.createDirectories(folder);
        Files.deleteIfExists(folder.resolve(DRAFT));
        List<Path> files = store.files();
        if (!files.isEmpty()) {
            store.read(files.get(files.size() - 1));
        }
        for (Path old : files.subList(0, Math.max(0, files.size() - 1))) {
            Files.delete(old); // its successor was whole before it got its name
        }
        try {
            store.rewrite();
        } catch (IOException e) {
            // What was read is still owed: serve it, take nothing new, and try again with each round.
            store.behind = true;
            store.told = store.failures.log("store: cannot write: " + e);
        }
        return store;
    }

    private static long number(Path p) {
        Matcher m = NAME.matcher(p.getFileName().toString());
        return m.matches() ? Long.parseLong(m.group(1)) : -1;
    }

    private List<Path> files() throws IOException {
        try (Stream<Path> all = Files.list(folder)) {
            return all.filter(p -> number(p) >= 0)
                    .sorted((a, b) -> Long.compare(number(a), number(b)))
                    .toList();
        }
    }

    private void read(Path from) throws IOException {
        path = from;
        generation = number(from);
        StoredTimes.Mark[] begun = new StoredTimes.Mark[1];
        Records.Found found = Records.read(Files.readAllBytes(from), new Records.Reader() {
            @Override
            public void taken(Taken t) {
                open.put(t.id(), new Open(t));
            }

            @Override
            public void called(long id, Tried t) {
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
                    Tried t = o.tries.get(attempt);
                    o.tries.set(attempt, new Tried(t.endpoint(), t.sentAt(), maybeRan));
                }
            }

            @Override
            public void owed(long id, Owed owed) {
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
            LOG.severe("store: " + found.damaged() + " damaged places in " + from.getFileName() + " passed over");
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
        return !behind && cost + bodyBytes + WITHOUT_BODY + PER_MESSAGE <= room;
    }

    /** A message is about to be taken on. */
    public void taken(Taken t) {
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
        Tried t = new Tried(endpoint, sentAt, true);
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
            Tried t = o.tries.get(attempt);
            o.tries.set(attempt, new Tried(t.endpoint(), t.sentAt(), maybeRan));
            pending.writeBytes(Records.ended(id, attempt, maybeRan));
        }
    }

    /** The message has ended and a notice of it is owed; its bytes are no longer needed. */
    public void owed(long id, Owed owed) {
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
            if (behind || size + bytes.length > room) {
                rewrite();
            } else {
                append(file, bytes);
                size += bytes.length;
            }
            if (told) {
                LOG.info("store: writing again");
            }
            told = false;
            behind = false;
            return true;
        } catch (IOException e) {
            told = told || failures.log("store: cannot write: " + e);
            behind = true;
            return false;
        }
    }

    private static void append(FileChannel to, byte[] bytes) throws IOException {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        while (buffer.hasRemaining()) {
            to.write(buffer);
        }
    }

    private void rewrite() throws IOException {
        Path draft = folder.resolve(DRAFT);
        long written = 0;
        FileChannel next = FileChannel.open(
                draft, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING);
        try {
            ByteArrayOutputStream block = new ByteArrayOutputStream();
            block.writeBytes(Records.clock(StoredTimes.Mark.of(clock)));
            for (Open o : open.values()) {
                block.writeBytes(Records.taken(o.taken));
                for (Tried t : o.tries) {
                    block.writeBytes(Records.called(o.taken.id(), t));
                }
                if (o.owed != null) {
                    block.writeBytes(Records.owed(o.taken.id(), o.owed));
                }
                if (block.size() >= SLACK) {
                    append(next, block.toByteArray());
                    written += block.size();
                    block.reset();
                }
            }
            append(next, block.toByteArray());
            written += block.size();
            Path named = folder.resolve("messages-" + (generation + 1) + ".log");
            Files.move(draft, named, StandardCopyOption.ATOMIC_MOVE);
            if (file != null) {
                file.close();
            }
            if (path != null) {
                Files.deleteIfExists(path);
            }
            generation++;
            path = named;
            file = next;
            size = written;
        } catch (IOException e) {
            next.close();
            Files.deleteIfExists(draft);
            throw e;
        }
    }

    /** Closes the file. */
    public void close() throws IOException {
        flush();
        if (file != null) {
            file.close();
        }
    }
}
