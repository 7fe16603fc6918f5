package firstair.relay.standin;

import firstair.kit.standin.StandIn;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/** Discovery and the place for notices, as the relay's protocol describes them. */
public final class Platform extends StandIn {
    /** Notices that came, a JSON object each. */
    public final BlockingQueue<String> notices;

    private final State state;

    private static final class State {
        final BlockingQueue<String> notices = new LinkedBlockingQueue<>();
        final List<Request> watches = new ArrayList<>();
        volatile String list;
        volatile boolean down;
        volatile int noticeStatus = 204;
        int silentPosts;

        synchronized void handle(Request r) throws IOException {
            if (r.target().equals("/status") && silentPosts > 0) {
                silentPosts--;
            } else if (r.target().equals("/status")) {
                for (String line : new String(r.body(), StandardCharsets.UTF_8).split("\n")) {
                    notices.add(line);
                }
                r.answer(noticeStatus);
            } else if (down) {
                r.answer(503);
            } else if (r.target().contains("follow=1")) {
                r.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                watches.add(r);
                chunk(r, list);
            } else {
                r.answer(200, list.getBytes(StandardCharsets.UTF_8));
            }
        }

        synchronized void tell(String changes) {
            watches.removeIf(r -> {
                try {
                    chunk(r, changes);
                    return false;
                } catch (IOException e) {
                    return true; // its relay has left
                }
            });
        }

        private static void chunk(Request r, String line) throws IOException {
            byte[] text = (line + "\n").getBytes(StandardCharsets.UTF_8);
            r.write((Integer.toHexString(text.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
            r.write(text);
            r.write("\r\n".getBytes(StandardCharsets.US_ASCII));
        }
    }

    /** Begins with a list. */
    public Platform(String list) throws IOException {
        this(list, new State());
    }

    private Platform(String list, State state) throws IOException {
        super(state::handle);
        this.state = state;
        this.notices = state.notices;
        state.list = list;
    }

    /** From now on calls for the list fail, or work again. */
    public void down(boolean down) {
        state.down = down;
    }

    /** From now on it holds this list; who watches is not told. */
    public void holds(String list) {
        state.list = list;
    }

    /** Whether anybody watches, or has watched. */
    public boolean watched() {
        synchronized (state) {
            return !state.watches.isEmpty();
        }
    }

    /** From now on notices are answered so. */
    public void noticeStatus(int status) {
        state.noticeStatus = status;
    }

    /** So many posts of notices are read from now on, and neither counted nor answered. */
    public void silentPosts(int count) {
        synchronized (state) {
            state.silentPosts = count;
        }
    }

    /** Writes changes to all that watch. */
    public void tell(String changes) {
        state.tell(changes);
    }

    /** A list of endpoints, {@code id destination address} each; a state, a kind and a zone may follow. */
    public static String list(long version, boolean full, String... endpoints) {
        StringBuilder b = new StringBuilder("{\"version\":" + version + ",\"full\":" + full + ",\"servers\":[");
        for (int i = 0; i < endpoints.length; i++) {
            String[] w = endpoints[i].split(" ");
            b.append(i > 0 ? "," : "")
                    .append("{\"id\":\"")
                    .append(w[0])
                    .append("\",\"addr\":\"")
                    .append(w[2])
                    .append("\",\"zone\":\"")
                    .append(w.length > 5 ? w[5] : "z")
                    .append("\",\"kind\":\"")
                    .append(w.length > 4 ? w[4] : "one")
                    .append("\",\"cell\":")
                    .append(w[1])
                    .append(",\"state\":\"")
                    .append(w.length > 3 ? w[3] : "up")
                    .append("\",\"weight\":1.0,\"started_ms\":0}");
        }
        return b + "]}";
    }
}
