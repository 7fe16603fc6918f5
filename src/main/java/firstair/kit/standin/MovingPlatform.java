package firstair.kit.standin;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.WeakHashMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Discovery and the place for notices, which moves from address to address and whose connections fail by a seeded
 * draw. Of any two connections for notices that come one after the other to a place, one works, so that a relay which
 * tries a second one in time can keep its promise.
 */
public final class MovingPlatform implements AutoCloseable {
    /** What a connection for notices does with each post. */
    public enum Fault {
        /** Answers at once. */
        NONE,
        /** Reads the post and never answers. */
        SILENT,
        /** Reads the post, counts it, and answers after the relay has stopped waiting. */
        LATE,
        /** Resets the connection once the post has been read; the post does not count. */
        RESET,
        /** Answers the first post, keeps the connection for a little and then resets it. */
        STALE,
        /** Cannot read the post. */
        BAD,
        /** Closes in good order without an answer. */
        CLOSED
    }

    private static final long OLD_PLACE_MS = 1500;
    private static final long LATE_MS = 700;
    private static final long STALE_MS = 40;
    private static final long EMPTY_LINE_MS = 2000;

    /** When a notice came first, on the clock of {@link System#nanoTime}, and what it said. */
    public record Notice(long atNs, String outcome) {}

    private final Random random;
    private final boolean faulty;
    private final ScheduledExecutorService clock;
    private final Map<String, Notice> notices = new ConcurrentHashMap<>();
    private final Map<Socket, Fault> faults = Collections.synchronizedMap(new WeakHashMap<>());
    private final Map<Fault, AtomicInteger> drawn = new EnumMap<>(Fault.class);
    private final List<StandIn.Request> watches = new ArrayList<>();
    private final AtomicInteger posts = new AtomicInteger();
    private String list;
    private StandIn place;
    private Fault before = Fault.NONE;

    /**
     * Begins at a first place.
     *
     * @param list   the whole list of endpoints, a JSON object on one line
     * @param faulty whether connections for notices fail
     * @param clock  runs what comes later
     */
    public MovingPlatform(String list, long seed, boolean faulty, ScheduledExecutorService clock) throws IOException {
        this.list = list;
        this.random = new Random(seed);
        this.faulty = faulty;
        this.clock = clock;
        for (Fault f : Fault.values()) {
            drawn.put(f, new AtomicInteger());
        }
        place = new StandIn(this::handle);
        clock.scheduleAtFixedRate(this::emptyLines, EMPTY_LINE_MS, EMPTY_LINE_MS, TimeUnit.MILLISECONDS);
    }

    /** Where it is now. */
    public synchronized String hostPort() {
        return place.hostPort();
    }

    /** Goes to another address; the old one takes no connection any more and closes its open ones a little later. */
    public synchronized void move() throws IOException {
        StandIn old = place;
        place = new StandIn(this::handle);
        old.refuse();
        clock.schedule(
                () -> {
                    old.close();
                    return null;
                },
                OLD_PLACE_MS,
                TimeUnit.MILLISECONDS);
    }

    /**
     * The list changes: who asks from now on gets all of it, and who watches gets the changes.
     *
     * @param whole   the list, a JSON object on one line
     * @param changes what is new in it, likewise
     */
    public void change(String whole, String changes) {
        synchronized (watches) {
            list = whole;
            watches.removeIf(w -> !written(w, changes));
        }
    }

    private static boolean written(StandIn.Request watch, String line) {
        try {
            chunk(watch, line);
            return true;
        } catch (IOException e) {
            return false; // its relay has left
        }
    }

    /** The first notice of each message that had one, by the messages' ids. */
    public Map<String, Notice> notices() {
        return Map.copyOf(notices);
    }

    /** The first notice of a message, or null. */
    public Notice notice(String message) {
        return notices.get(message);
    }

    /** Drops what is known of a message. */
    public void forget(String message) {
        notices.remove(message);
    }

    /** Posts that came. */
    public int posts() {
        return posts.get();
    }

    /** Connections for notices by what they did. */
    public Map<Fault, AtomicInteger> drawn() {
        return drawn;
    }

    private void handle(StandIn.Request r) throws IOException {
        if (r.target().equals("/status")) {
            post(r);
        } else if (r.target().contains("follow=1")) {
            r.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            synchronized (watches) {
                chunk(r, list);
                watches.add(r);
            }
        } else if (!r.target().startsWith("/api/targets")) {
            r.answer(404);
        } else {
            String whole;
            synchronized (watches) {
                whole = list;
            }
            r.answer(200, whole.getBytes(StandardCharsets.UTF_8));
        }
    }

    private synchronized Fault draw() {
        Fault next = Fault.NONE;
        if (faulty && before == Fault.NONE) {
            next = Fault.values()[random.nextInt(Fault.values().length)];
        }
        before = next;
        drawn.get(next).incrementAndGet();
        return next;
    }

    private void post(StandIn.Request r) throws IOException {
        posts.incrementAndGet();
        boolean first = !faults.containsKey(r.socket());
        Fault fault = faults.computeIfAbsent(r.socket(), s -> draw());
        switch (fault) {
            case SILENT -> {}
            case LATE -> {
                pause(LATE_MS);
                count(r);
                r.answer(204);
            }
            case RESET -> r.reset();
            case STALE -> {
                if (first) {
                    count(r);
                    r.answer(204);
                    clock.schedule(
                            () -> {
                                r.reset();
                                return null;
                            },
                            STALE_MS,
                            TimeUnit.MILLISECONDS);
                }
            }
            case BAD -> r.answer(400);
            case CLOSED -> r.socket().close();
            default -> {
                count(r);
                r.answer(204);
            }
        }
    }

    private void count(StandIn.Request r) {
        long at = System.nanoTime();
        for (String line : new String(r.body(), StandardCharsets.UTF_8).split("\n")) {
            JsonObject o = JsonParser.parseString(line).getAsJsonObject();
            notices.putIfAbsent(
                    o.get("message").getAsString(),
                    new Notice(at, o.get("outcome").getAsString()));
        }
    }

    private static void pause(long ms) throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(ms);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    private void emptyLines() {
        synchronized (watches) {
            watches.removeIf(w -> !written(w, ""));
        }
    }

    private static void chunk(StandIn.Request r, String line) throws IOException {
        byte[] text = (line + "\n").getBytes(StandardCharsets.UTF_8);
        r.write((Integer.toHexString(text.length) + "\r\n" + line + "\n\r\n").getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public synchronized void close() throws IOException {
        place.close();
    }
}
