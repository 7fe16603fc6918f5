package review;

import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Two keyed messages that the decisions put into one call are too large for one body and travel as two calls. The second
 * call's connection comes up late, and from then on the first message's window is counted from that moment.
 */
final class Case3 {
    private static final double WINDOW_MS = 4_000;
    private static final double SLACK_MS = 50; // every time limit is so much longer on sockets
    private static final String SETTINGS = "{\"groupSize\":1,\"slotNo\":0,\"az\":0,\"azs\":[\"here\",\"there\"],"
            + "\"discovery\":\"ask\",\"quantum\":5.0,\"weightKind\":\"rough\",\"shapes\":[\"large\",\"small\"],\"classes\":["
            + Rig.messageClass("licence", "dedup", "zone", (long) WINDOW_MS, 4_000, 16_000) + "],"
            + "\"familyInfo\":{\"bundleMax\":[20,1],\"kindApart\":[true,false],\"late\":\"linear\",\"maxCalls\":8},"
            + "\"loadReport\":{\"how\":\"answers\",\"names\":[\"x0\",\"x1\"]},"
            + "\"limits\":{\"cancelling\":true,\"connIdle\":5000.0,\"connectTimeout\":1500.0,\"maxAttempts\":12,"
            + "\"maxOpen\":60,\"maxRetryAfter\":2000.0,\"retryAfter\":false,\"multiplex\":1,\"mayDuplicate\":false},"
            + "\"safety\":{\"answerSlack\":20.0,\"askEvery\":10000.0,\"drainGrace\":1000.0,\"fallMultiple\":1.5,"
            + "\"overloadFor\":1500.0,\"startCapacity\":0.24,\"warmAfter\":12000.0}}";
    private static final int BODY = 40_000; // two of them are more than a body may hold
    private static final long TIME_MS = 16_000;

    private static final double RESET_AFTER_MS = 2_000;
    private static final String LOAD = "Server-Load: {\"x0\":%.1f,\"x1\":20}\r\n";

    /** A message in a call, and whether it ran or was dropped as a repeat. */
    private record Seen(double at, String message, boolean ran) {}

    private final Rig rig;
    private final List<Seen> seen = new CopyOnWriteArrayList<>();
    private final Map<String, Double> firstRun = new ConcurrentHashMap<>(); // by key
    private volatile boolean told; // the first call has been told to wait
    private volatile int callsOfFirst; // calls with m1
    private volatile boolean turnedAway; // the call with m2 whose connection was late

    private Case3(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] args) {
        Rig.main(Path.of(args[0]), rig -> new Case3(rig).play());
    }

    /** Runs a message, unless its key is still remembered. */
    private void run(String key, String message) {
        double at = rig.now();
        Double first = firstRun.putIfAbsent(key, at);
        boolean ran = first == null || at - first > WINDOW_MS + SLACK_MS;
        seen.add(new Seen(at, message, ran));
        rig.note("endpoint: %s %s", message, first == null ? "RUN"
                : String.format(Locale.ROOT, "%s, %.0f ms after it ran", ran ? "RUN AGAIN" : "repeat dropped", at - first));
    }

    private void handle(Rig.Request request) throws Exception {
        String ok = String.format(Locale.ROOT, LOAD, 0.5);
        if (request.target.equals("/receive-many")) {
            request.answer(200, ok, runMany(request.text()));
            return;
        }
        String message = request.header("request-id");
        String key = request.header("idempotency-key");
        if (message.equals("m0") && !told) {
            tellToWait(request, message, 1000);
            told = true;
        } else if (message.equals("m1") && callsOfFirst == 0) {
            callsOfFirst++;
            run(key, message);
            rig.sleep(RESET_AFTER_MS);
            rig.note("endpoint: the connection of %s is reset, its answer is lost", message);
            request.reset();
        } else if (message.equals("m1") && callsOfFirst == 1 && rig.now() - firstRun.get(key) < WINDOW_MS) {
            callsOfFirst++;
            tellToWait(request, message, firstRun.get(key) + WINDOW_MS - 100 - rig.now());
        } else if (message.equals("m2") && !turnedAway) {
            turnedAway = true;
            request.answer(503, String.format(Locale.ROOT, LOAD, 0.0), "");
            rig.note("endpoint: %s turned away", message);
        } else {
            run(key, message);
            request.answer(200, ok, "");
        }
    }

    private void tellToWait(Rig.Request request, String message, double ms) throws Exception {
        request.answer(429, String.format(Locale.ROOT, LOAD + "Retry-After: %.3f\r\n", 0.0, ms / 1000), "");
        rig.note("endpoint: %s told to wait %.0f ms", message, ms);
    }

    private String runMany(String text) {
        StringBuilder results = new StringBuilder();
        int at = 0;
        while (at < text.length()) {
            int end = text.indexOf("\r\n", at);
            String[] words = text.substring(at, end).split(" ");
            run(words[1], words[0]);
            results.append(words[0]).append(" ok\r\n");
            at = end + 2 + Integer.parseInt(words[2]) + 2;
        }
        return results.toString();
    }

    private int play() throws Exception {
        Rig.SlowDoor server = rig.new SlowDoor(this::handle);
        Rig.Platform platform = rig.new Platform(new Rig.Listed("s-1", server.hostPort(), "here", "large", 7, "up"));
        Rig.Relay relay = rig.new Relay("n0", platform, SETTINGS);
        relay.launch(platform.list());
        relay.awaitReady();
        rig.sleep(300);

        double sentAt = rig.now();
        if (submit(relay, "m0", 200) != 202 || !rig.await(1000, () -> told)) {
            return Rig.NOT_RUN;
        }
        rig.sleep(100);
        if (submit(relay, "m1", BODY) != 202 || submit(relay, "m2", BODY) != 202) {
            return Rig.NOT_RUN;
        }
        if (rig.trouble) {
            server.shut(); // what is opened from now on comes up late
        }
        if (!rig.await(3000, () -> !firstRun.isEmpty())) {
            rig.note("no message came after the wait");
            return Rig.NOT_RUN;
        }
        rig.sleep(500);
        if (rig.trouble) {
            server.open();
        }
        rig.sleep(TIME_MS + 500 - (rig.now() - sentAt));
        boolean broken = false;
        for (String message : List.of("m0", "m1", "m2")) {
            List<Seen> runs = seen.stream().filter(s -> s.ran() && s.message().equals(message)).toList();
            rig.note("%s ran %d times: %s", message, runs.size(), runs);
            broken |= runs.size() > 1;
        }
        return broken ? Rig.BROKEN : Rig.HELD;
    }

    private int submit(Rig.Relay relay, String message, int bytes) {
        byte[] body = new byte[bytes];
        Arrays.fill(body, (byte) '.');
        int status = relay.submit(message, "licence", 7, "k" + message, TIME_MS, "", body);
        rig.note("client: %s, %d bytes, answer %d", message, bytes, status);
        return status;
    }
}
