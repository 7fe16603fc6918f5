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
 * A stand-in for discovery and the platform that takes notices. It can move to another address, and its connections for
 * notices fail at random by a seed. Of two consecutive connections for notices at least one works, so that a relay can
 * always report in time if its second attempt is early enough.
 */
public final class MovingPlatform implements AutoCloseable {
    /** What a connection for notices does with each request. */
    public enum Fault {
        /** Answers immediately. */
        NONE,
        /** Reads the request and never answers. */
        SILENT,
        /** Reads the request, records its notices, and answers after the relay has stopped waiting. */
        LATE,
        /** Resets the connection once the request has been read, without recording its notices. */
        RESET,
        /** Answers the first request, and resets the idle connection shortly after. */
        STALE,
        /** Answers 400. */
        BAD,
        /** Closes the connection normally, without an answer. */
        CLOSED
    }

    private static final long OLD_ADDRESS_MS = 1500;
    private static final long LATE_ANSWER_MS = 700;
    private static final long RESET_DELAY_MS = 40;
    private static final long EMPTY_LINE_INTERVAL_MS = 2000;

    /** The outcome in a notice, and when it was first received, on the clock of {@link System#nanoTime}. */
    public record Notice(long atNs, String outcome) {}

    private final Random random;
    private final boolean faulty;
    private final ScheduledExecutorService scheduler;
    private final Map<String, Notice> notices = new ConcurrentHashMap<>();
    private final Map<Socket, Fault> faultOf = Collections.synchronizedMap(new WeakHashMap<>());
    private final Map<Fault, AtomicInteger> faultCounts = new EnumMap<>(Fault.class);
    private final List<StandIn.Request> watches = new ArrayList<>();
    private final AtomicInteger noticeRequests = new AtomicInteger();
    private String list;
    private StandIn server;
    private Fault lastFault = Fault.NONE;

    /**
     * Starts at a first address.
     *
     * @param list      the full list of endpoints, a JSON object on one line
     * @param seed      of the random faults
     * @param faulty    whether connections for notices may fail
     * @param scheduler runs delayed actions
     */
    public MovingPlatform(String list, long seed, boolean faulty, ScheduledExecutorService scheduler)
            throws IOException {
        this.list = list;
        this.random = new Random(seed);
        this.faulty = faulty;
        this.scheduler = scheduler;
        for (Fault fault : Fault.values()) {
            faultCounts.put(fault, new AtomicInteger());
        }
        server = new StandIn(this::handle);
        scheduler.scheduleAtFixedRate(
                this::sendEmptyLines, EMPTY_LINE_INTERVAL_MS, EMPTY_LINE_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Its current address, host:port. */
    public synchronized String hostPort() {
        return server.hostPort();
    }

    /** Moves to another address. The old one stops listening at once and closes its connections 1.5 s later. */
    public synchronized void move() throws IOException {
        StandIn old = server;
        server = new StandIn(this::handle);
        old.stopListening();
        scheduler.schedule(
                () -> {
                    old.close();
                    return null;
                },
                OLD_ADDRESS_MS,
                TimeUnit.MILLISECONDS);
    }

    /**
     * Replaces the list: later requests are answered with the full list, and open watches receive the changes.
     *
     * @param fullList the new list, a JSON object on one line
     * @param changes  the difference to the last list, a JSON object on one line
     */
    public void updateList(String fullList, String changes) {
        synchronized (watches) {
            list = fullList;
            watches.removeIf(watch -> !writeChunk(watch, changes));
        }
    }

    private static boolean writeChunk(StandIn.Request watch, String line) {
        try {
            sendChunk(watch, line);
            return true;
        } catch (IOException e) {
            return false; // the relay has closed it
        }
    }

    /** The first notice of each message, by message id. */
    public Map<String, Notice> notices() {
        return Map.copyOf(notices);
    }

    /** The first notice of a message, or null if there is none. */
    public Notice notice(String messageId) {
        return notices.get(messageId);
    }

    /** Removes the notice of a message. */
    public void forget(String messageId) {
        notices.remove(messageId);
    }

    /** Number of requests with notices received so far. */
    public int noticeRequests() {
        return noticeRequests.get();
    }

    /** Number of connections for notices by their fault. */
    public Map<Fault, AtomicInteger> faultCounts() {
        return faultCounts;
    }

    private void handle(StandIn.Request request) throws IOException {
        if (request.target().equals("/status")) {
            takeNotices(request);
        } else if (request.target().contains("follow=1")) {
            request.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            synchronized (watches) {
                sendChunk(request, list);
                watches.add(request);
            }
        } else if (!request.target().startsWith("/api/targets")) {
            request.answer(404);
        } else {
            String fullList;
            synchronized (watches) {
                fullList = list;
            }
            request.answer(200, fullList.getBytes(StandardCharsets.UTF_8));
        }
    }

    private synchronized Fault drawFault() {
        Fault next = Fault.NONE;
        if (faulty && lastFault == Fault.NONE) {
            next = Fault.values()[random.nextInt(Fault.values().length)];
        }
        lastFault = next;
        faultCounts.get(next).incrementAndGet();
        return next;
    }

    private void takeNotices(StandIn.Request request) throws IOException {
        noticeRequests.incrementAndGet();
        boolean firstOnConnection = !faultOf.containsKey(request.socket());
        Fault fault = faultOf.computeIfAbsent(request.socket(), socket -> drawFault());
        switch (fault) {
            case SILENT -> {}
            case LATE -> {
                pause(LATE_ANSWER_MS);
                recordNotices(request);
                request.answer(204);
            }
            case RESET -> request.reset();
            case STALE -> {
                if (firstOnConnection) {
                    recordNotices(request);
                    request.answer(204);
                    scheduler.schedule(
                            () -> {
                                request.reset();
                                return null;
                            },
                            RESET_DELAY_MS,
                            TimeUnit.MILLISECONDS);
                }
            }
            case BAD -> request.answer(400);
            case CLOSED -> request.socket().close();
            default -> {
                recordNotices(request);
                request.answer(204);
            }
        }
    }

    private void recordNotices(StandIn.Request request) {
        long receivedNs = System.nanoTime();
        for (String line : new String(request.body(), StandardCharsets.UTF_8).split("\n")) {
            JsonObject notice = JsonParser.parseString(line).getAsJsonObject();
            notices.putIfAbsent(
                    notice.get("message").getAsString(),
                    new Notice(receivedNs, notice.get("outcome").getAsString()));
        }
    }

    private static void pause(long ms) throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(ms);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    private void sendEmptyLines() {
        synchronized (watches) {
            watches.removeIf(watch -> !writeChunk(watch, ""));
        }
    }

    private static void sendChunk(StandIn.Request request, String line) throws IOException {
        byte[] bytes = (line + "\n").getBytes(StandardCharsets.UTF_8);
        request.write((Integer.toHexString(bytes.length) + "\r\n" + line + "\n\r\n").getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public synchronized void close() throws IOException {
        server.close();
    }
}
