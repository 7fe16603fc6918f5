package review;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.File;
import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.zip.CRC32C;

/**
 * A relay is killed in the middle of a write to its store. The body of the message that was cut off holds bytes in the
 * form of the store's records. The next process reads them as records: by them other clients' messages are over, and a
 * message is there that nobody handed in.
 */
final class Case1 {
    private static final String SETTINGS = "{\"groupSize\":1,\"slotNo\":0,\"az\":0,\"azs\":[\"here\"],"
            + "\"discovery\":\"ask\",\"quantum\":5.0,\"weightKind\":\"none\",\"shapes\":[\"partner\"],\"classes\":["
            + Rig.messageClass("notice", "retryable", "all", 0, 800, 5_000) + "],"
            + "\"familyInfo\":{\"bundleMax\":[1],\"kindApart\":[false],\"late\":\"halving\",\"maxCalls\":13},"
            + "\"loadReport\":{\"how\":\"answers\",\"names\":[\"x0\",\"x1\"]},"
            + "\"limits\":{\"cancelling\":true,\"connIdle\":10000.0,\"connectTimeout\":1000.0,\"maxAttempts\":6,"
            + "\"maxOpen\":208,\"maxRetryAfter\":3000.0,\"retryAfter\":false,\"multiplex\":1,\"mayDuplicate\":false},"
            + "\"safety\":{\"answerSlack\":20.0,\"askEvery\":10000.0,\"drainGrace\":1000.0,\"fallMultiple\":1.5,"
            + "\"overloadFor\":2000.0,\"startCapacity\":0.26,\"warmAfter\":10000.0}}";
    private static final int USUAL = 5; // messages of usual clients
    private static final int LARGE = 18; // messages of the client whose bodies hold such bytes
    private static final int BODY = 65_536;
    private static final long TIME_MS = 5_000;
    private static final double DUE_MS = 350; // a message is lost 300 ms after its time, and 50 ms for sockets
    private static final double READY_MS = 1_550; // no notice is overdue until 1.5 s after the relay is ready again
    private static final double WAIT_MS = 2_000; // to the end of the span of its limit
    private static final double DOWN_MS = 600;
    private static final int PLAYS = 12; // the kill does not always come in the middle of the write
    private static final String FORGED = "never-handed-in";

    private final Rig rig;
    private final boolean plain = "plain".equals(System.getenv("TROUBLE")); // bodies without such bytes
    private final Set<String> handedIn = ConcurrentHashMap.newKeySet();
    private final Map<String, Double> delivered = new ConcurrentHashMap<>();
    private volatile double waitUntil; // the partner is above its limit until then; 0 before the first call

    private Case1(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] args) {
        Rig.main(Path.of(args[0]), rig -> new Case1(rig).play());
    }

    // ---- bytes in the form of the store's records; see Records ----

    private static byte[] record(byte[] content) {
        CRC32C checksum = new CRC32C();
        checksum.update(content);
        return ByteBuffer.allocate(10 + content.length)
                .putShort((short) 0xF1A1)
                .putInt(content.length)
                .putInt((int) checksum.getValue())
                .put(content)
                .array();
    }

    private static byte[] over(long id) {
        return record(ByteBuffer.allocate(9).put((byte) 4).putLong(id).array());
    }

    private static byte[] taken(long id, String requestId) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeByte(0);
        out.writeLong(id);
        out.writeUTF(requestId);
        out.writeUTF("notice");
        out.writeInt(7);
        out.writeBoolean(false);
        out.writeUTF("");
        out.writeLong(System.nanoTime() / 1_000_000 + TIME_MS);
        out.writeBoolean(false);
        out.writeBoolean(false);
        byte[] body = "nobody sent this".getBytes(StandardCharsets.US_ASCII);
        out.writeInt(body.length);
        out.write(body);
        return record(bytes.toByteArray());
    }

    /** A body that says again and again that the first messages are over, and that another one was taken on. */
    private byte[] body() throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        while (!plain && all.size() < BODY) {
            for (long id = 0; id < USUAL + LARGE; id++) {
                all.write(over(id));
            }
            all.write(taken(1_000_000, FORGED));
        }
        return Arrays.copyOf(all.toByteArray(), BODY);
    }

    // ---- the play ----

    private int play() throws Exception {
        Rig.Server server = rig.new Server(0, this::handle);
        Rig.Platform platform = rig.new Platform(new Rig.Listed("s-1", server.hostPort(), "here", "partner", 7, "up"));
        rig.practiceKill();
        for (int play = 0; play < (rig.trouble ? PLAYS : 1); play++) {
            if (!keeps(play, platform)) {
                return Rig.BROKEN;
            }
        }
        return Rig.HELD;
    }

    /** Plays once, with a relay of its own; false if a message was lost. */
    private boolean keeps(int play, Rig.Platform platform) throws Exception {
        Rig.Relay relay = rig.new Relay("n" + play, platform, SETTINGS);
        waitUntil = 0;
        relay.launch(platform.list());
        relay.awaitReady();
        rig.sleep(300);
        double lastSentAt = 0;
        List<String> taken = new ArrayList<>();
        for (int i = 0; i < USUAL; i++) {
            String id = "p" + play + "-usual" + i;
            handedIn.add(id);
            lastSentAt = rig.now();
            int status = relay.submit(id, "notice", 7, null, TIME_MS, "", id.getBytes(StandardCharsets.US_ASCII));
            rig.note("client: %s, answer %d", id, status);
            if (status == 202) {
                taken.add(id);
            }
            rig.sleep(20);
        }
        if (taken.size() < USUAL || waitUntil == 0) {
            throw new IOException("the messages of usual clients were not taken on and told to wait");
        }
        File store = relay.state().toFile().listFiles()[0];
        long before = store.length();
        List<Socket> sockets = handInLarge(play, relay);
        if (rig.trouble) {
            double end = rig.now() + 300;
            while (store.length() < before + 200_000 && rig.now() < end) {
                Thread.onSpinWait(); // until the relay is writing them
            }
            relay.kill();
            rig.note("store: %d bytes before, %d after the kill", before, store.length());
        }
        for (Socket socket : sockets) {
            if (!rig.trouble) {
                relay.answer(socket, 400);
            }
            socket.close();
        }
        if (rig.trouble) {
            rig.sleep(DOWN_MS);
            relay.launch(platform.list());
            relay.awaitReady();
        }
        double due = Math.max(lastSentAt + TIME_MS + DUE_MS, rig.now() + READY_MS);
        rig.await(due - rig.now(), () -> taken.stream().allMatch(id -> ended(id, platform)));
        List<String> lost = taken.stream().filter(id -> !ended(id, platform)).toList();
        List<String> forged = delivered.keySet().stream().filter(id -> !handedIn.contains(id)).toList();
        rig.note("play %d: %d messages of usual clients were taken on; neither delivered nor ended by a notice: %s",
                play, taken.size(), lost);
        rig.note("play %d: delivered though no client handed them in: %s", play, forged);
        relay.checkAlive();
        relay.kill();
        return lost.isEmpty();
    }

    private List<Socket> handInLarge(int play, Rig.Relay relay) throws Exception {
        List<Socket> sockets = new ArrayList<>();
        byte[] body = body();
        for (int i = 0; i < LARGE; i++) {
            String id = "p" + play + "-large" + i;
            handedIn.add(id);
            Socket socket = relay.connect();
            sockets.add(socket);
            byte[] all = relay.request(id, "notice", 7, null, TIME_MS, "", body);
            socket.getOutputStream().write(all, 0, all.length - 1);
        }
        rig.sleep(50);
        for (Socket socket : sockets) {
            socket.getOutputStream().write(body[BODY - 1]);
        }
        rig.note("clients: %d messages of %d bytes handed in at once", LARGE, BODY);
        return sockets;
    }

    private void handle(Rig.Request request) throws Exception {
        String id = request.header("request-id");
        if (waitUntil == 0) {
            waitUntil = rig.now() + WAIT_MS;
        }
        double waitMs = waitUntil - rig.now();
        if (waitMs > 0) {
            request.answer(429, String.format(
                    Locale.ROOT, "Server-Load: {\"x0\":0.0,\"x1\":20}\r\nRetry-After: %.3f\r\n", waitMs / 1000), "");
            rig.note("endpoint: %s told to wait %.0f ms", id, waitMs);
            return;
        }
        delivered.put(id, rig.now());
        rig.note("endpoint: %s RUN%s", id, handedIn.contains(id) ? "" : ", though no client handed it in");
        request.answer(handedIn.contains(id) ? 200 : 400);
    }

    private boolean ended(String id, Rig.Platform platform) {
        return delivered.containsKey(id)
                || platform.notices().stream().anyMatch(notice -> notice.message().equals(id));
    }
}
