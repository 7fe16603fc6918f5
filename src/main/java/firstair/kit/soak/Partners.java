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

/** The endpoints of a soak: good ones, and such that hang, fail, tell to wait, drain or are not there. */
final class Partners implements AutoCloseable {
    private static final int HANGS = 4;
    private static final int DRAINS = 5;
    private static final int FAILS = 6;
    private static final int TELLS_WAITS = 7;
    private static final int TAKES_SEVERAL = 8;
    private static final int ABSENT = 9;

    /** Destinations are numbered from 1 to this one. */
    static final int DESTINATIONS = ABSENT;

    private final Observations seen;
    private final Random random;
    private final Map<String, StandIn> open = new LinkedHashMap<>();
    private final Map<Socket, List<Call>> out = new ConcurrentHashMap<>();
    private final Map<String, String> lines = new LinkedHashMap<>(); // of the list, by the endpoints' ids
    private final Socket held = new Socket(); // bound and not listening
    private int version = 1;
    private int generation;

    Partners(Observations seen, long seed) throws IOException {
        this.seen = seen;
        this.random = new Random(seed);
        for (int d = 1; d < ABSENT; d++) {
            add("e" + d, d);
        }
        held.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        lines.put("e" + ABSENT, line("e" + ABSENT, ABSENT, "127.0.0.1:" + held.getLocalPort(), "up"));
    }

    private void add(String id, int destination) throws IOException {
        StandIn s = new StandIn(r -> serve(r, id, destination));
        s.whenEnded(socket -> {
            List<Call> calls = out.remove(socket);
            if (calls != null) {
                calls.forEach(c -> c.connectionEnded(seen.now()));
            }
        });
        open.put(id, s);
        lines.put(id, line(id, destination, s.hostPort(), "up"));
    }

    private static String line(String id, int destination, String at, String state) {
        return "{\"id\":\"" + id + "\",\"addr\":\"" + at + "\",\"zone\":\"z\",\"kind\":\""
                + (destination == TAKES_SEVERAL ? "many" : "one") + "\",\"cell\":" + destination + ",\"state\":\""
                + state + "\",\"weight\":1.0,\"started_ms\":0}";
    }

    /** The whole list, on one line. */
    synchronized String list() {
        return object(true, lines.values());
    }

    private String object(boolean full, Iterable<String> servers) {
        return "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":[" + String.join(",", servers) + "]}";
    }

    /** Replaces the endpoint that drains by a new one; returns the changes, and the name of the old one before them. */
    synchronized String[] drain() throws IOException {
        String old = generation == 0 ? "e" + DRAINS : "e" + DRAINS + "-" + generation;
        String next = "e" + DRAINS + "-" + ++generation;
        version++;
        add(next, DRAINS);
        lines.put(old, line(old, DRAINS, open.get(old).hostPort(), "draining"));
        return new String[] {old, object(false, List.of(lines.get(old), lines.get(next)))};
    }

    private static List<String> ids(StandIn.Request r) {
        if (!r.target().equals("/receive-many")) {
            return List.of(r.header("request-id"));
        }
        List<String> ids = new ArrayList<>();
        String[] all = new String(r.body(), StandardCharsets.US_ASCII).split("\r\n");
        for (int i = 0; i < all.length; i += 2) { // a line, and a body that is one as well
            ids.add(all[i].split(" ")[0]);
        }
        return ids;
    }

    private int draw(int below) {
        synchronized (random) {
            return random.nextInt(below);
        }
    }

    private void serve(StandIn.Request r, String id, int destination) throws IOException {
        List<Call> calls = new ArrayList<>();
        for (String message : ids(r)) {
            calls.add(new Call(message, destination, id, seen.now()));
        }
        out.put(r.socket(), calls);
        seen.calls.addAll(calls);
        pause(draw(30));
        int luck = draw(100);
        switch (destination) {
            case HANGS -> {}
            case FAILS -> fail(r, calls, luck);
            case TELLS_WAITS -> {
                if (luck < 50) {
                    turnAway(r, calls, 200 + draw(600));
                } else {
                    deliver(r, calls);
                }
            }
            case TAKES_SEVERAL -> {
                if (luck < 10) {
                    fail(r, calls, luck);
                } else {
                    deliver(r, calls);
                }
            }
            default -> deliver(r, calls);
        }
    }

    private void fail(StandIn.Request r, List<Call> calls, int luck) throws IOException {
        if (luck < 40) {
            calls.forEach(c -> c.answered(Outcome.MAYBE, 0, seen.now()));
            r.answer(500);
        } else if (luck < 60) {
            calls.forEach(c -> c.answered(Outcome.MAYBE, 0, seen.now()));
            r.reset();
        } else {
            deliver(r, calls);
        }
    }

    private void turnAway(StandIn.Request r, List<Call> calls, int waitMs) throws IOException {
        r.answer(429, String.format(Locale.ROOT, "Retry-After: %.3f", waitMs / 1000.0));
        calls.forEach(c -> c.answered(Outcome.TURNED_AWAY, waitMs, seen.now()));
    }

    private void deliver(StandIn.Request r, List<Call> calls) throws IOException {
        StringBuilder ends = new StringBuilder();
        if (r.target().equals("/receive-many")) {
            calls.forEach(c -> ends.append(c.id).append(" ok\r\n"));
        }
        // Before the write: a repeat that follows it must find it.
        calls.forEach(c -> c.answered(Outcome.DELIVERED, 0, seen.now()));
        r.answer(200, ends.toString().getBytes(StandardCharsets.US_ASCII));
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
        for (StandIn s : open.values()) {
            s.close();
        }
        held.close();
    }
}
