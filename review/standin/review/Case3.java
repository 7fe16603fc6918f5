package review;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A clump of messages of full size comes while their partner has told to wait. The relay takes on more than its store may
 * hold, can't write any further record, and hands messages back. It is killed, and the next process sends some of them.
 */
final class Case3 {
    private static final String SETTINGS = "{\"groupSize\":2,\"slotNo\":%d,\"az\":0,\"azs\":[\"here\"],"
            + "\"discovery\":\"ask\",\"quantum\":5.0,\"weightKind\":\"none\",\"shapes\":[\"large\",\"small\"],\"classes\":["
            + Rig.messageClass("order", "fragile", "all", 0, 2_000, 20_000) + "],"
            + "\"familyInfo\":{\"bundleMax\":[20,1],\"kindApart\":[false,false],\"late\":\"halving\",\"maxCalls\":13},"
            + "\"loadReport\":{\"how\":\"answers\",\"names\":[\"x0\",\"x1\"]},"
            + "\"limits\":{\"cancelling\":true,\"connIdle\":10000.0,\"connectTimeout\":1000.0,\"maxAttempts\":6,"
            + "\"maxOpen\":208,\"maxRetryAfter\":3000.0,\"retryAfter\":false,\"multiplex\":1,\"mayDuplicate\":false},"
            + "\"safety\":{\"answerSlack\":20.0,\"askEvery\":10000.0,\"drainGrace\":1000.0,\"fallMultiple\":1.5,"
            + "\"overloadFor\":2000.0,\"startCapacity\":0.26,\"warmAfter\":10000.0}}";
    private static final int MESSAGES = 30;
    private static final int BODY = 65_536;
    private static final int USUAL_MESSAGES = 200;
    private static final long TIME_MS = 20_000;
    private static final double DOWN_MS = 600;
    private static final long DISK_MB = 3;
    private static final String FIRST = "-first";
    private static final String AGAIN = "-again";

    /** A call with the message, and the id of its hand-in. */
    private record Run(double at, String id) {}

    private final Rig rig;
    private final Map<String, List<Run>> runs = new ConcurrentHashMap<>(); // by message
    private final Set<String> takenAgain = ConcurrentHashMap.newKeySet(); // messages whose second hand-in was answered 202
    private final Map<String, Integer> answers = new ConcurrentHashMap<>();
    private volatile boolean told; // the partner is above its limit, and has told the first call to wait
    private volatile long mostDisk;

    private Case3(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] args) {
        Rig.main(Path.of(args[0]), rig -> new Case3(rig).play());
    }

    private byte[] body(String message) {
        byte[] body = new byte[BODY];
        Arrays.fill(body, (byte) '.');
        byte[] name = (message + " ").getBytes(StandardCharsets.US_ASCII);
        System.arraycopy(name, 0, body, 0, name.length);
        return body;
    }

    private int play() throws Exception {
        Rig.Server server = rig.new Server(0, this::handle);
        Rig.Server other = rig.new Server(0, request -> request.answer(200));
        Rig.Platform platform = rig.new Platform(
                new Rig.Listed("s-1", server.hostPort(), "here", "large", 7, "up"),
                new Rig.Listed("s-2", other.hostPort(), "here", "small", 8, "up"));
        Rig.Relay a = rig.new Relay("n0", platform, String.format(SETTINGS, 0));
        Rig.Relay b = rig.new Relay("n1", platform, String.format(SETTINGS, 1));
        a.launch(platform.list());
        b.launch(platform.list());
        a.awaitReady();
        b.awaitReady();
        rig.sleep(300);
        Rig.daemon(() -> watchFolder(a));

        for (int i = 0; i < USUAL_MESSAGES; i++) {
            a.submit("u" + i, "order", 8, null, TIME_MS, "", "usual".getBytes(StandardCharsets.US_ASCII));
        }
        rig.note("%d usual messages for another partner handed in", USUAL_MESSAGES);
        int first = a.submit("m0", "order", 7, null, TIME_MS, "", "m0 ".getBytes(StandardCharsets.US_ASCII));
        if (first != 202 || !rig.await(1000, () -> told)) {
            rig.note("the first message did not come");
            return Rig.NOT_RUN;
        }
        double sentAt = rig.now();
        handInClump(a);
        int taken = (int) answers.values().stream().filter(status -> status == 202).count();
        rig.note("clients: %d messages of %d bytes at once, answers %s", MESSAGES, BODY, new TreeMap<>(answers));
        rig.note("%d taken on; folder of n0: %d bytes", taken, a.diskBytes());
        int killAt = Math.max(1, taken - 23); // by then the relay still holds more than its store has room for
        Set<String> handedBack = new HashSet<>();
        boolean killed = false;
        while (rig.now() - sentAt < TIME_MS + 500) {
            for (Rig.Notice notice : platform.notices()) {
                boolean back = notice.message().endsWith(FIRST) && notice.outcome().equals("handed_back");
                if (back && handedBack.add(notice.message())) {
                    String message = notice.message().replace(FIRST, "");
                    double waitMs = notice.retryInMs() + 200;
                    Rig.daemon(() -> handInAgain(b, message, sentAt, waitMs));
                }
            }
            if (rig.trouble && !killed && handedBack.size() >= killAt) {
                killed = true;
                a.kill();
                rig.note("%d messages handed back so far; folder of n0: %d bytes", handedBack.size(), a.diskBytes());
                rig.sleep(DOWN_MS);
                a.launch(platform.list());
                a.awaitReady();
            }
            rig.sleep(1);
        }
        rig.note("folder of n0: %d bytes at most, %d are allowed", mostDisk, DISK_MB * 1_048_576);
        a.checkAlive();
        b.checkAlive();
        // Broken where the old hand-in was called after its final answer, and the one that its client made then ran, too.
        List<String> broken = new ArrayList<>();
        for (Rig.Notice notice : platform.notices()) {
            String message = notice.message().replace(FIRST, "");
            List<Run> all = runs.getOrDefault(message, List.of());
            boolean after = all.stream().anyMatch(r -> r.id().equals(message + FIRST) && r.at() > notice.at());
            boolean again = takenAgain.contains(message) && all.stream().anyMatch(r -> r.id().equals(message + AGAIN));
            if (notice.outcome().equals("handed_back") && after && again && !broken.contains(message)) {
                broken.add(message);
                rig.note("%s: handed back at %.1f, ran %s", message, notice.at(), all);
            }
        }
        rig.note("%d messages were handed back, %d ran; called after that, and run twice: %s",
                handedBack.size(), runs.size(), broken);
        return broken.isEmpty() ? Rig.HELD : Rig.BROKEN;
    }

    /** The partner's endpoint: runs whatever comes, since nothing tells a repeat of this class. */
    private void handle(Rig.Request request) throws Exception {
        String message = request.text().substring(0, request.text().indexOf(' '));
        if (!told) {
            request.answer(429, "Server-Load: {\"x0\":0.0,\"x1\":25}\r\nRetry-After: 1.000\r\n", "");
            rig.note("endpoint: %s told to wait 1 s", message);
            told = true;
            return;
        }
        List<Run> all = runs.computeIfAbsent(message, m -> new CopyOnWriteArrayList<>());
        all.add(new Run(rig.now(), request.header("request-id")));
        rig.note("endpoint: %s RUN%s, as %s", message, all.size() > 1 ? " AGAIN" : "", request.header("request-id"));
        rig.sleep(100);
        request.answer(200, "Server-Load: {\"x0\":0.5,\"x1\":25}\r\n", "");
    }

    /** Hands in all messages at once, each on its own connection; their last bytes come together. */
    private void handInClump(Rig.Relay relay) throws Exception {
        List<Socket> sockets = new ArrayList<>();
        for (int i = 0; i < MESSAGES; i++) {
            Socket socket = relay.connect();
            sockets.add(socket);
            byte[] all = relay.request("x" + i + FIRST, "order", 7, null, TIME_MS, "", body("x" + i));
            socket.getOutputStream().write(all, 0, all.length - 1);
        }
        rig.sleep(50);
        for (Socket socket : sockets) {
            socket.getOutputStream().write('.');
        }
        double until = rig.now() + 400; // so long does a client wait
        for (int i = 0; i < MESSAGES; i++) {
            answers.put("x" + i, relay.answer(sockets.get(i), (int) Math.max(1, until - rig.now())));
            sockets.get(i).close();
        }
    }

    private void handInAgain(Rig.Relay relay, String message, double sentAt, double waitMs) {
        try {
            rig.sleep(waitMs);
        } catch (InterruptedException e) {
            return;
        }
        long leftMs = TIME_MS - (long) (rig.now() - sentAt);
        int status = relay.submit(message + AGAIN, "order", 7, null, leftMs, "Client-Retry: 1\r\n", body(message));
        rig.note("client: %s handed in again at n1, answer %d", message, status);
        if (status == 202) {
            takenAgain.add(message);
        }
    }

    private void watchFolder(Rig.Relay relay) {
        try {
            while (true) {
                mostDisk = Math.max(mostDisk, relay.diskBytes());
                rig.sleep(1);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
