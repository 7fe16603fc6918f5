package firstair.kit.soak;

import firstair.kit.run.Node;
import firstair.kit.soak.Observations.Effect;
import firstair.kit.soak.Observations.HandIn;
import firstair.kit.soak.Observations.Unanswered;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/** A client that hands in one message after another, and uses its connection for as long as that stays open. */
final class KeepAliveClient implements Runnable {
    private static final int ANSWER_MS = 400;
    private static final int LEAST_TIME_MS = 300;
    private static final int TIMES_MS = 3700;
    private static final int LONG_TIME_MS = 10_000; // longer than any end takes
    private static final int LONG_ONE_IN = 8; // messages have so long a time
    private static final int REST_MS = 60; // between connecting and the first request, at most
    private static final int RESTS_ONE_IN = 3; // new connections rest
    private static final int PAUSE_MS = 150;
    private static final int STATUS_AT = 9;

    private final Node node;
    private final Observations seen;
    private final InetSocketAddress relay;
    private final Random random;
    private final String name;
    private volatile boolean stopped;
    private Socket socket;

    KeepAliveClient(String name, Node node, InetSocketAddress relay, Observations seen, long seed) {
        this.name = name;
        this.node = node;
        this.relay = relay;
        this.seen = seen;
        this.random = new Random(seed);
    }

    /** No further message comes. */
    void stop() {
        stopped = true;
    }

    @Override
    public void run() {
        try {
            for (int n = 0; !stopped; n++) {
                TimeUnit.MILLISECONDS.sleep(random.nextInt(PAUSE_MS));
                handIn(name + "-" + n);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        close();
    }

    private void handIn(String id) throws InterruptedException {
        Effect effect = Effect.values()[random.nextInt(Effect.values().length)];
        int timeout = random.nextInt(LONG_ONE_IN) == 0 ? LONG_TIME_MS : LEAST_TIME_MS + random.nextInt(TIMES_MS);
        int destination = 1 + random.nextInt(Partners.DESTINATIONS);
        String type = effect.name().toLowerCase(Locale.ROOT);
        String key = effect == Effect.KEYED ? "k" + id : null;
        byte[] request = (node.handInText(id, type, timeout, "dest=" + destination, key, 1) + "b")
                .getBytes(StandardCharsets.US_ASCII);
        boolean again = true;
        while (again) {
            boolean kept = socket != null;
            if (!kept && !connect()) {
                return; // nobody is there
            }
            again = exchange(id, effect, timeout, request, kept);
        }
    }

    private boolean connect() throws InterruptedException {
        try {
            socket = new Socket();
            socket.connect(relay, ANSWER_MS);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(ANSWER_MS);
            if (random.nextInt(RESTS_ONE_IN) == 0) {
                TimeUnit.MILLISECONDS.sleep(random.nextInt(REST_MS));
            }
            return true;
        } catch (IOException e) {
            close();
            TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
            return false;
        }
    }

    /** Whether it has to be sent once more: its connection, a kept one, ended without a word. */
    private boolean exchange(String id, Effect effect, int timeout, byte[] request, boolean kept) {
        double sent = seen.now();
        try {
            socket.getOutputStream().write(request);
        } catch (IOException e) {
            close();
            return kept; // not written whole
        }
        double deadline = seen.now() + timeout;
        int status;
        try {
            status = status(socket.getInputStream());
        } catch (SocketTimeoutException e) {
            seen.unanswered.add(new Unanswered(id, socket.getLocalPort(), sent));
            close(); // it waits no longer, and may hand it in elsewhere: what becomes of it counts for nothing
            return false;
        } catch (IOException e) {
            status = 0;
        }
        if (status == 0) {
            close();
            if (kept) {
                return true;
            }
        }
        seen.handIns.add(new HandIn(id, effect, sent, seen.now(), status, deadline));
        return false;
    }

    /** Status of an answer, 0 if the connection ended before one. */
    private int status(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int b = in.read();
            if (b < 0) {
                return 0;
            }
            head.append((char) b);
        }
        if (head.indexOf("Connection: close") >= 0) {
            close();
        }
        return Integer.parseInt(head.substring(STATUS_AT, STATUS_AT + 3));
    }

    private void close() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // it was of no more use
        }
        socket = null;
    }
}
