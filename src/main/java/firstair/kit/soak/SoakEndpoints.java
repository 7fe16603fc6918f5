package firstair.kit.soak;

import firstair.kit.soak.Observations.Call;
import firstair.kit.soak.Observations.Outcome;
import firstair.kit.standin.StandIn;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** The endpoints of a soak: some answer, others hang, fail, ask to retry later, drain or refuse connections. */
final class SoakEndpoints implements AutoCloseable {
    private static final int HANGS = 4;
    private static final int DRAINS = 5;
    private static final int FAILS = 6;
    private static final int RETRY_AFTER = 7;
    private static final int MULTI_MESSAGE = 8;
    private static final int ABSENT = 9;

    /** Highest destination; the lowest is 1. */
    static final int DESTINATIONS = ABSENT;

    private final Observations seen;
    private final Random random;
    private final Map<String, StandIn> servers = new LinkedHashMap<>();
    private final Map<Socket, List<Call>> callsInProgress = new ConcurrentHashMap<>();
    private final Map<String, String> entries = new LinkedHashMap<>(); // of the list, by endpoint id
    private final Socket absentPort = new Socket(); // bound but not listening
    private int version = 1;
    private int generation;

    SoakEndpoints(Observations seen, long seed) throws IOException {
        this.seen = seen;
        this.random = new Random(seed);
        for (int destination = 1; destination < ABSENT; destination++) {
            add("e" + destination, destination);
        }
        absentPort.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        entries.put("e" + ABSENT, entry("e" + ABSENT, ABSENT, "127.0.0.1:" + absentPort.getLocalPort(), "up"));
    }

    private void add(String id, int destination) throws IOException {
        StandIn server = new StandIn(request -> serve(request, id, destination));
        server.onConnectionEnd(socket -> {
            List<Call> calls = callsInProgress.remove(socket);
            if (calls != null) {
                calls.forEach(call -> call.connectionEnded(seen.now()));
            }
        });
        servers.put(id, server);
        entries.put(id, entry(id, destination, server.hostPort(), "up"));
    }

    private static String entry(String id, int destination, String address, String state) {
        return "{\"id\":\"" + id + "\",\"addr\":\"" + address + "\",\"zone\":\"z\",\"kind\":\""
                + (destination == MULTI_MESSAGE ? "many" : "one") + "\",\"cell\":" + destination + ",\"state\":\""
                + state + "\",\"weight\":1.0,\"started_ms\":0}";
    }

    /** The full list of endpoints, a JSON object on one line. */
    synchronized String list() {
        return listJson(true, entries.values());
    }

    private String listJson(boolean full, Iterable<String> listed) {
        return "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":[" + String.join(",", listed) + "]}";
    }

    /** Lets an endpoint drain and adds its successor; returns the id of the first, and the changes as a JSON object. */
    synchronized String[] drain() throws IOException {
        String old = generation == 0 ? "e" + DRAINS : "e" + DRAINS + "-" + generation;
        String next = "e" + DRAINS + "-" + ++generation;
        version++;
        add(next, DRAINS);
        entries.put(old, entry(old, DRAINS, servers.get(old).hostPort(), "draining"));
        return new String[] {old, listJson(false, List.of(entries.get(old), entries.get(next)))};
    }

    private static List<String> messageIds(StandIn.Request request) {
        if (!request.target().equals("/receive-many")) {
            return List.of(request.header("request-id"));
        }
        List<String> ids = new ArrayList<>();
        String[] lines = new String(request.body(), StandardCharsets.US_ASCII).split("\r\n");
        for (int i = 0; i < lines.length; i += 2) { // a line for the message, and its body, also one line
            ids.add(lines[i].split(" ")[0]);
        }
        return ids;
    }

    private int draw(int bound) {
        synchronized (random) {
            return random.nextInt(bound);
        }
    }

    private void serve(StandIn.Request request, String id, int destination) throws IOException {
        List<Call> calls = new ArrayList<>();
        for (String message : messageIds(request)) {
            calls.add(new Call(message, destination, id, seen.now()));
        }
        callsInProgress.put(request.socket(), calls);
        seen.calls.addAll(calls);
        pause(draw(30));
        int percent = draw(100);
        switch (destination) {
            case HANGS -> {}
            case FAILS -> fail(request, calls, percent);
            case RETRY_AFTER -> {
                if (percent < 50) {
                    refuse(request, calls, 200 + draw(600));
                } else {
                    deliver(request, calls);
                }
            }
            case MULTI_MESSAGE -> {
                if (percent < 10) {
                    fail(request, calls, percent);
                } else {
                    deliver(request, calls);
                }
            }
            default -> deliver(request, calls);
        }
    }

    private void fail(StandIn.Request request, List<Call> calls, int percent) throws IOException {
        if (percent < 40) {
            calls.forEach(call -> call.answered(Outcome.MAYBE, 0, seen.now()));
            request.answer(500);
        } else if (percent < 60) {
            calls.forEach(call -> call.answered(Outcome.MAYBE, 0, seen.now()));
            request.reset();
        } else {
            deliver(request, calls);
        }
    }

    private void refuse(StandIn.Request request, List<Call> calls, int retryAfterMs) throws IOException {
        // Before the write: the relay counts the wait from when it reads the header.
        calls.forEach(call -> call.answered(Outcome.TURNED_AWAY, retryAfterMs, seen.now()));
        request.answer(429, String.format(Locale.ROOT, "Retry-After: %.3f", retryAfterMs / 1000.0));
    }

    private void deliver(StandIn.Request request, List<Call> calls) throws IOException {
        StringBuilder results = new StringBuilder();
        if (request.target().equals("/receive-many")) {
            calls.forEach(call -> results.append(call.id).append(" ok\r\n"));
        }
        // Recorded before the write, so that a repeat which follows the response is recognized.
        calls.forEach(call -> call.answered(Outcome.DELIVERED, 0, seen.now()));
        request.answer(200, results.toString().getBytes(StandardCharsets.US_ASCII));
    }

    private static void pause(int ms) throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(ms);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    @Override
    public void close() throws IOException {
        for (StandIn server : servers.values()) {
            server.close();
        }
        absentPort.close();
    }
}
