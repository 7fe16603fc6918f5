package firstair.kit.soak;

import firstair.kit.run.Node;
import firstair.kit.soak.Observations.Effect;
import firstair.kit.soak.Observations.Submission;
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

/** A client that hands in one message after another, on one connection for as long as that stays open. */
final class KeepAliveClient implements Runnable {
    private static final int RESPONSE_TIMEOUT_MS = 400;
    private static final int MIN_TIMEOUT_MS = 300;
    private static final int TIMEOUT_RANGE_MS = 3700;
    private static final int LONG_TIMEOUT_MS = 10_000; // longer than a relay takes to exit
    private static final int LONG_TIMEOUT_ONE_IN = 8; // messages
    private static final int MAX_IDLE_MS = 60; // between connecting and the first request
    private static final int IDLE_ONE_IN = 3; // new connections
    private static final int MAX_PAUSE_MS = 150;
    private static final int STATUS_INDEX = 9; // in a status line

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

    /** Ends the client after the message in progress. */
    void stop() {
        stopped = true;
    }

    @Override
    public void run() {
        try {
            for (int number = 0; !stopped; number++) {
                TimeUnit.MILLISECONDS.sleep(random.nextInt(MAX_PAUSE_MS));
                handIn(name + "-" + number);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        close();
    }

    private void handIn(String id) throws InterruptedException {
        Effect effect = Effect.values()[random.nextInt(Effect.values().length)];
        int timeoutMs = random.nextInt(LONG_TIMEOUT_ONE_IN) == 0
                ? LONG_TIMEOUT_MS
                : MIN_TIMEOUT_MS + random.nextInt(TIMEOUT_RANGE_MS);
        int destination = 1 + random.nextInt(SoakEndpoints.DESTINATIONS);
        String messageClass = effect.name().toLowerCase(Locale.ROOT);
        String key = effect == Effect.KEYED ? "k" + id : null;
        byte[] request = (node.submissionHead(id, messageClass, timeoutMs, "dest=" + destination, key, 1) + "b")
                .getBytes(StandardCharsets.US_ASCII);
        boolean resend = true;
        while (resend) {
            boolean reused = socket != null;
            if (!reused && !connect()) {
                return; // the relay does not listen
            }
            resend = exchange(id, effect, timeoutMs, request, reused);
        }
    }

    private boolean connect() throws InterruptedException {
        try {
            socket = new Socket();
            socket.connect(relay, RESPONSE_TIMEOUT_MS);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(RESPONSE_TIMEOUT_MS);
            if (random.nextInt(IDLE_ONE_IN) == 0) {
                TimeUnit.MILLISECONDS.sleep(random.nextInt(MAX_IDLE_MS));
            }
            return true;
        } catch (IOException e) {
            close();
            TimeUnit.MILLISECONDS.sleep(MAX_PAUSE_MS);
            return false;
        }
    }

    /** Sends a request; true if it must be sent again, because a reused connection ended without a response. */
    private boolean exchange(String id, Effect effect, int timeoutMs, byte[] request, boolean reused) {
        double sentMs = seen.now();
        try {
            socket.getOutputStream().write(request);
        } catch (IOException e) {
            close();
            return reused; // not written completely
        }
        double deadlineMs = seen.now() + timeoutMs;
        int status;
        try {
            status = readStatus(socket.getInputStream());
        } catch (SocketTimeoutException e) {
            seen.unanswered.add(new Unanswered(id, socket.getLocalPort(), sentMs));
            close(); // it might hand the message in elsewhere, so what happens to this one is not checked
            return false;
        } catch (IOException e) {
            status = 0;
        }
        if (status == 0) {
            close();
            if (reused) {
                return true;
            }
        }
        seen.submissions.add(new Submission(id, effect, sentMs, seen.now(), status, deadlineMs));
        return false;
    }

    /** Reads the head of a response and returns its status, or 0 if the connection ends before. */
    private int readStatus(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                return 0;
            }
            head.append((char) next);
        }
        if (head.indexOf("Connection: close") >= 0) {
            close();
        }
        return Integer.parseInt(head.substring(STATUS_INDEX, STATUS_INDEX + 3));
    }

    private void close() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // no longer needed
        }
        socket = null;
    }
}
