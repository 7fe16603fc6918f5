package firstair.relay.platform;

import com.google.gson.JsonObject;
import firstair.relay.HostPort;
import firstair.relay.Limits;
import firstair.relay.Loop;
import firstair.relay.http.Head;
import firstair.relay.http.HttpWriter;
import firstair.relay.net.HttpLink;
import firstair.relay.net.Wire;
import firstair.relay.store.Owed;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongConsumer;
import java.util.logging.Logger;

/**
 * Tells the platform of messages that end without being delivered, and repeats each notice until it is
 * confirmed. One post is out at a time and carries all that are owed. All methods run on the loop's thread.
 */
public final class Notices {
    private static final Logger LOG = Logger.getLogger(Notices.class.getName());
    private static final int CONFIRMED = 204;

    private final Wire wire;
    private final Limits limits;
    private final Loop loop;
    private InetSocketAddress address;
    private final LongConsumer confirmed;
    private final Map<Long, byte[]> owed = new LinkedHashMap<>();
    private HttpLink idle;
    private Post out;
    private Loop.Timer again;
    private double pause;
    private boolean alone; // a notice could not be read: one in each post, so that it holds up no other

    /** @param confirmed told of each message whose notice has been confirmed */
    public Notices(Wire wire, Limits limits, Loop loop, InetSocketAddress address, LongConsumer confirmed) {
        this.wire = wire;
        this.limits = limits;
        this.loop = loop;
        this.address = address;
        this.confirmed = confirmed;
        this.pause = limits.noticePauseMs();
    }

    /** A notice is owed from now on. */
    public void add(long id, String requestId, Owed notice) {
        JsonObject o = new JsonObject();
        o.addProperty("message", requestId);
        o.addProperty("outcome", notice.handedBack() ? "handed_back" : "given_up");
        if (notice.handedBack() && notice.afterMs() > 0) {
            o.addProperty("retry_in_ms", Math.round(notice.afterMs()));
        }
        owed.put(id, (o + "\n").getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Notices go elsewhere from now on. What is out at the old place is posted again at once: its answer may never
     * come, and a notice may come twice.
     */
    public void move(InetSocketAddress to) {
        if (to.equals(address)) {
            return;
        }
        address = to;
        if (idle != null) {
            idle.leave();
            idle = null;
        }
        if (out != null) {
            out.link.leave();
            out.late.cancel();
            out = null;
        }
        if (again != null) {
            again.cancel();
            again = null;
        }
        pause = limits.noticePauseMs();
        flush();
    }

    /** How many notices are not confirmed. */
    public int owed() {
        return owed.size();
    }

    /** Posts what is owed, unless a post is out or a pause runs; called at the end of each round. */
    public void flush() {
        if (out != null || again != null || owed.isEmpty()) {
            return;
        }
        out = new Post();
        out.start();
    }

    private void pauseThenAgain() {
        again = loop.after(pause, () -> {
            again = null;
            flush();
        });
        pause = Math.min(pause * 2, limits.noticePauseMostMs());
    }

    /** One post. */
    private final class Post implements HttpLink.Exchange {
        private final List<Long> ids = new ArrayList<>();
        private HttpLink link;
        private Loop.Timer late;
        private volatile int status;

        void start() {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            for (Map.Entry<Long, byte[]> e : owed.entrySet()) {
                if (!ids.isEmpty() && (alone || body.size() + e.getValue().length > limits.noticeBytes())) {
                    break;
                }
                ids.add(e.getKey());
                body.writeBytes(e.getValue());
            }
            byte[] request = HttpWriter.request("POST", "/status", HostPort.of(address))
                    .header("Content-Type", "application/x-ndjson").body(body.toByteArray());
            late = loop.after(limits.noticeAnswerMs(), () -> {
                link.leave();
                ended(false);
            });
            HttpLink kept = idle;
            idle = null;
            if (kept != null && kept.send(request, this)) {
                link = kept;
            } else {
                link = new HttpLink(wire, limits, address, limits.maxBody(), request, this, () -> { });
            }
        }

        private void ended(boolean reusable) {
            if (out != this) {
                return;
            }
            out = null;
            late.cancel();
            idle = reusable ? link : null;
            if (status == CONFIRMED) {
                pause = limits.noticePauseMs();
                alone = false;
                for (Long id : ids) {
                    owed.remove(id);
                    confirmed.accept(id);
                }
                return;
            }
            if (status != 0) {
                LOG.warning("platform answered a notice with " + status);
            }
            if (status == 400) {
                alone = true;
                byte[] first = owed.remove(ids.get(0)); // the next post begins with another one
                owed.put(ids.get(0), first);
            }
            pauseThenAgain();
        }

        @Override
        public void head(Head head) {
            status = head.status();
        }

        @Override
        public void body(byte[] bytes, int offset, int length) {
            // what the platform writes beside its status means nothing
        }

        @Override
        public void done(boolean reusable, boolean alone) {
            loop.post(() -> ended(reusable));
        }

        @Override
        public void broken(boolean maybeArrived) {
            loop.post(() -> ended(false));
        }
    }
}
