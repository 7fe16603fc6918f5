package firstair.relay.standin;

import firstair.kit.standin.StandIn;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/** A stand-in for the platform: discovery and the receiver of notices, according to the relay's protocol. */
public final class StandInPlatform extends StandIn {
    /** The notices received, one JSON object each. */
    public final BlockingQueue<String> notices;

    private final State state;

    private static final class State {
        final BlockingQueue<String> notices = new LinkedBlockingQueue<>();
        final List<Request> watches = new ArrayList<>();
        volatile String list;
        volatile boolean down;
        volatile int noticeStatus = 204;
        int silentPosts;

        synchronized void handle(Request request) throws IOException {
            if (request.target().equals("/status") && silentPosts > 0) {
                silentPosts--;
            } else if (request.target().equals("/status")) {
                for (String line : new String(request.body(), StandardCharsets.UTF_8).split("\n")) {
                    notices.add(line);
                }
                request.answer(noticeStatus);
            } else if (down) {
                request.answer(503);
            } else if (request.target().contains("follow=1")) {
                request.write(
                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                watches.add(request);
                chunk(request, list);
            } else {
                request.answer(200, list.getBytes(StandardCharsets.UTF_8));
            }
        }

        synchronized void broadcast(String changes) {
            watches.removeIf(watch -> {
                try {
                    chunk(watch, changes);
                    return false;
                } catch (IOException e) {
                    return true; // its relay has disconnected
                }
            });
        }

        private static void chunk(Request watch, String line) throws IOException {
            byte[] text = (line + "\n").getBytes(StandardCharsets.UTF_8);
            watch.write((Integer.toHexString(text.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
            watch.write(text);
            watch.write("\r\n".getBytes(StandardCharsets.US_ASCII));
        }
    }

    /** Starts with a list of endpoints. */
    public StandInPlatform(String list) throws IOException {
        this(list, new State());
    }

    private StandInPlatform(String list, State state) throws IOException {
        super(state::handle);
        this.state = state;
        this.notices = state.notices;
        state.list = list;
    }

    /** Makes requests for the list fail from now on, or work again. */
    public void setDown(boolean down) {
        state.down = down;
    }

    /** Replaces the list without sending it to the relays that watch it. */
    public void setList(String list) {
        state.list = list;
    }

    /** Whether a relay watches the list or has watched it. */
    public boolean watched() {
        synchronized (state) {
            return !state.watches.isEmpty();
        }
    }

    /** Sets the status that posts of notices are answered with. */
    public void noticeStatus(int status) {
        state.noticeStatus = status;
    }

    /** Makes the next {@code count} posts of notices be read but neither recorded nor answered. */
    public void ignorePosts(int count) {
        synchronized (state) {
            state.silentPosts = count;
        }
    }

    /** Sends changes to all relays that watch the list. */
    public void sendChanges(String changes) {
        state.broadcast(changes);
    }

    /** A list of endpoints, each {@code id destination address}, optionally followed by state, kind and zone. */
    public static String list(long version, boolean full, String... endpoints) {
        StringBuilder json = new StringBuilder("{\"version\":" + version + ",\"full\":" + full + ",\"servers\":[");
        for (int i = 0; i < endpoints.length; i++) {
            String[] fields = endpoints[i].split(" ");
            json.append(i > 0 ? "," : "")
                    .append("{\"id\":\"")
                    .append(fields[0])
                    .append("\",\"addr\":\"")
                    .append(fields[2])
                    .append("\",\"zone\":\"")
                    .append(fields.length > 5 ? fields[5] : "z")
                    .append("\",\"kind\":\"")
                    .append(fields.length > 4 ? fields[4] : "one")
                    .append("\",\"cell\":")
                    .append(fields[1])
                    .append(",\"state\":\"")
                    .append(fields.length > 3 ? fields[3] : "up")
                    .append("\",\"weight\":1.0,\"started_ms\":0}");
        }
        return json + "]}";
    }
}
