package firstair.relay.discovery;

import firstair.control.Controller.News;
import firstair.relay.HostPort;
import firstair.relay.Limits;
import firstair.relay.Loop;
import firstair.relay.RateLimitedLogger;
import firstair.relay.http.Head;
import firstair.relay.http.HttpWriter;
import firstair.relay.net.Dialer;
import firstair.relay.net.Link;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Follows the list of endpoints: fetches it whole where none is held, and then watches for changes since the
 * version held. An answer that falls silent is asked for anew at once. Otherwise it does not come back by itself: that
 * a call or a watch has failed, or lets wait for what it owes, is news, and who gets the news asks again. A call that
 * lets wait stays out beside the next one, since its connection may come up late and its turn may still come: the first
 * that is answered ends the others. All methods run on the loop's thread.
 */
public final class Watch {
    private static final Logger LOG = Logger.getLogger(Watch.class.getName());
    private static final String PATH = "/api/targets";

    /** Gets the news, on the loop's thread. */
    public interface Listener {
        /** {@code listed} is null with {@link News#FAILED} and {@link News#OVERDUE}. */
        void news(News news, EndpointList listed);
    }

    private final Dialer dialer;
    private final Limits limits;
    private final Loop loop;
    private InetSocketAddress address;
    private final List<String> kinds;
    private final Zones zones;
    private final Listener listener;
    private long version;
    private final List<Call> calls = new ArrayList<>(); // out
    private final RateLimitedLogger losses = new RateLimitedLogger(LOG, Level.WARNING);
    private boolean lost; // and told so in the log

    /** @param version version of the list held, or -1 */
    public Watch(
            Dialer dialer,
            Limits limits,
            Loop loop,
            InetSocketAddress address,
            List<String> kinds,
            Zones zones,
            long version,
            Listener listener) {
        this.dialer = dialer;
        this.limits = limits;
        this.loop = loop;
        this.address = address;
        this.kinds = kinds;
        this.zones = zones;
        this.version = version;
        this.listener = listener;
    }

    /** Asks to be told of changes from now on, unless a call is out that does not let wait. */
    public void listen() {
        if (calls.stream().allMatch(c -> c.late)) {
            call();
        }
    }

    private void call() {
        Call next = new Call(version >= 0);
        calls.add(next);
        next.start();
    }

    /** Discovery is elsewhere from now on: what was asked or watched at the old place is asked anew, at once. */
    public void move(InetSocketAddress to) {
        if (!to.equals(address)) {
            address = to;
            leave();
            call();
        }
    }

    /** Whether a watch stands and has told something, so that the list is what discovery has. */
    public boolean current() {
        return calls.stream().anyMatch(c -> c.watching && c.told);
    }

    /** Ends what is out. */
    public void leave() {
        List.copyOf(calls).forEach(this::leave);
    }

    private void leave(Call over) {
        calls.remove(over);
        if (over.link != null) {
            over.link.leave();
        }
    }

    private void failed(Call which, String why) {
        if (calls.contains(which)) {
            leave(which);
            tell(which, which.waitedLong() ? News.OVERDUE : News.FAILED, why);
        }
    }

    /** What it tells cannot be read: asked again at once, it would hardly tell anything else. */
    private void unreadable(Call which, String why) {
        if (calls.contains(which)) {
            leave(which);
            tell(which, News.FAILED, why);
        }
    }

    /** That a call fails is news once: one that has let wait has been asked for again. */
    private void tell(Call which, News news, String why) {
        if (!which.late) {
            which.late = true;
            lost(why);
            listener.news(news, null);
        }
    }

    private void lost(String why) {
        lost = lost || losses.log("list lost: " + why);
    }

    /** A call has got what it was owed: the others are out in vain. */
    private void answered(Call by) {
        if (calls.contains(by)) {
            by.late = false;
            List.copyOf(calls).stream().filter(c -> c != by).forEach(this::leave);
        }
    }

    private void object(Call from, String text) {
        if (!calls.contains(from)) {
            return;
        }
        EndpointList listed;
        try {
            listed = EndpointList.read(text, kinds, zones);
        } catch (IllegalArgumentException e) {
            unreadable(from, e.getMessage());
            return;
        }
        if (lost) {
            LOG.info("list found again, version " + listed.version());
        }
        lost = false;
        from.told = true;
        version = listed.version();
        answered(from);
        listener.news(listed.full() ? News.COMPLETE : News.CHANGES, listed);
        if (!from.watching) {
            leave();
            call();
        }
    }

    /** One call to discovery. */
    private final class Call implements Link.Exchange {
        final boolean watching;
        final JsonObjects objects = new JsonObjects(limits.listLine(), this::whole);
        Link link; // null until it has been opened
        boolean told;
        boolean late; // lets wait for its head, or for the rest of an object; that is news already
        private final double startedAt = loop.now();
        private boolean doubted;
        private volatile double heardAt = loop.now();
        private volatile boolean begun;
        private volatile double objectAt = Double.NaN; // when the object began of which the rest is owed

        Call(boolean watching) {
            this.watching = watching;
        }

        void start() {
            String target = watching ? PATH + "?follow=1&since=" + version : PATH;
            byte[] request =
                    HttpWriter.request("GET", target, HostPort.of(address)).bare();
            // First the time-outs, then what may fail: a call that could not be opened must not be waited for for ever.
            loop.after(limits.listWaitMs(), () -> waited(!begun, "no answer yet"));
            loop.after(Math.min(limits.listSilenceMs(), limits.listAnswerMs()), this::check);
            link = dialer.open(address, Long.MAX_VALUE, request, this, () -> {});
        }

        /** Whether it took so long over nothing that no further pause is needed before the next one. */
        private boolean waitedLong() {
            return !told && loop.now() - startedAt >= limits.listWaitMs() / 2;
        }

        private void waited(boolean still, String what) {
            if (still && calls.contains(this)) {
                tell(this, News.OVERDUE, what + ", for " + Math.round(limits.listWaitMs()) + " ms");
            }
        }

        /** A watch whose empty lines stay away is dead, though nothing says so; so is one amid an object. */
        private void check() {
            if (!calls.contains(this)) {
                return;
            }
            double silent = loop.now() - heardAt;
            double most = begun ? limits.listSilenceMs() : limits.listAnswerMs();
            if (silent < most) {
                doubted = false;
                loop.after(most - silent, this::check);
            } else if (!doubted) {
                doubted = true; // a process that gets little of a core may have bytes here that it has not read
                loop.after(limits.sweepMs(), this::check);
            } else {
                // What it misses counts soon. Its silence was pause enough: it is no refusal, which asks for more.
                leave(this);
                lost("silent for " + Math.round(silent) + " ms");
                if (begun) {
                    listen();
                }
            }
        }

        @Override
        public void head(Head head) {
            heardAt = loop.now();
            begun = true;
            loop.post(head.status() == 200 ? () -> answered(this) : () -> failed(this, "answer " + head.status()));
        }

        @Override
        public void body(byte[] bytes, int offset, int length) {
            try {
                if (objects.feed(bytes, offset, length)) {
                    heardAt = loop.now();
                }
                if (objects.amid() && Double.isNaN(objectAt)) {
                    double began = loop.now();
                    objectAt = began;
                    loop.post(() -> loop.after(limits.listWaitMs(), () -> waited(objectAt == began, "half an object")));
                }
            } catch (IllegalArgumentException e) {
                loop.post(() -> unreadable(this, e.getMessage()));
            }
        }

        private void whole(String text) {
            objectAt = Double.NaN;
            loop.post(() -> object(this, text));
        }

        @Override
        public void done(boolean reusable, boolean alone) {
            loop.post(() -> failed(this, "ended"));
        }

        @Override
        public void broken(boolean maybeArrived) {
            loop.post(() -> failed(this, "connection broke"));
        }
    }
}
