package firstair.relay.discovery;

import firstair.control.Controller.News;
import firstair.relay.HostPort;
import firstair.relay.Limits;
import firstair.relay.Loop;
import firstair.relay.Seldom;
import firstair.relay.http.Head;
import firstair.relay.http.HttpWriter;
import firstair.relay.net.Dialer;
import firstair.relay.net.Link;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Follows the list of endpoints: fetches it whole where none is held, and then watches for changes since the
 * version held. An answer that falls silent is asked for anew at once. Otherwise it does not come back by itself: that
 * a call or a watch has failed is news, and who gets the news asks again. All methods run on the loop's thread.
 */
public final class Watch {
    private static final Logger LOG = Logger.getLogger(Watch.class.getName());
    private static final String PATH = "/api/targets";

    /** Gets the news, on the loop's thread. */
    public interface Listener {
        /** {@code listed} is null with {@link News#FAILED}. */
        void news(News news, Listed listed);
    }

    private final Dialer dialer;
    private final Limits limits;
    private final Loop loop;
    private InetSocketAddress address;
    private final List<String> kinds;
    private final Zones zones;
    private final Listener listener;
    private long version;
    private Call call;
    private final Seldom losses = new Seldom(LOG, Level.WARNING);
    private boolean lost; // and told so
    private boolean unanswered; // discovery did not even begin to answer the last call

    /** @param version version of the list held, or -1 */
    public Watch(Dialer dialer, Limits limits, Loop loop, InetSocketAddress address, List<String> kinds,
            Zones zones, long version, Listener listener) {
        this.dialer = dialer;
        this.limits = limits;
        this.loop = loop;
        this.address = address;
        this.kinds = kinds;
        this.zones = zones;
        this.version = version;
        this.listener = listener;
    }

    /** Asks to be told of changes from now on. */
    public void listen() {
        leave();
        call = new Call(version >= 0);
        call.start();
    }

    /** Discovery is elsewhere from now on: what was asked or watched at the old place is asked anew, at once. */
    public void move(InetSocketAddress to) {
        if (!to.equals(address)) {
            address = to;
            listen();
        }
    }

    /** Whether a watch stands and has told something, so that the list is what discovery has. */
    public boolean current() {
        return call != null && call.watching && call.told;
    }

    /** Ends what is out. */
    public void leave() {
        Call over = call;
        call = null;
        if (over != null && over.link != null) {
            over.link.leave();
        }
    }

    private void failed(Call which, String why) {
        if (call != which) {
            return;
        }
        leave();
        lost(why);
        listener.news(News.FAILED, null);
    }

    private void lost(String why) {
        lost = lost || losses.log("list lost: " + why);
    }

    private void object(Call from, String text) {
        if (call != from) {
            return;
        }
        Listed listed;
        try {
            listed = Listed.read(text, kinds, zones);
        } catch (IllegalArgumentException e) {
            failed(from, e.getMessage());
            return;
        }
        if (lost) {
            LOG.info("list found again, version " + listed.version());
        }
        lost = false;
        unanswered = false;
        call.told = true;
        version = listed.version();
        listener.news(listed.full() ? News.COMPLETE : News.CHANGES, listed);
        if (!from.watching) {
            leave();
            listen();
        }
    }

    /** One call to discovery. */
    private final class Call implements Link.Exchange {
        final boolean watching;
        final JsonObjects objects = new JsonObjects(limits.listLine(), t -> loop.post(() -> object(this, t)));
        // Discovery answers in turn, or refuses, sooner than this; who gets nothing at all is given longer next time.
        final double patience = unanswered ? limits.listAnswerMs() : limits.listAnswerMs() / 2;
        Link link; // null until it has been opened
        boolean told;
        private boolean doubted;
        private volatile double heardAt = loop.now();
        private volatile boolean begun;

        Call(boolean watching) {
            this.watching = watching;
        }

        void start() {
            String target = watching ? PATH + "?follow=1&since=" + version : PATH;
            byte[] request = HttpWriter.request("GET", target, HostPort.of(address))
                    .bare();
            // First the time-out, then what may fail: a call that could not be opened must not be waited for for ever.
            loop.after(patience, this::check);
            link = dialer.open(address, Long.MAX_VALUE, request, this, () -> { });
        }

        /** A watch whose empty lines stay away is dead, though nothing says so; so is one amid an object. */
        private void check() {
            if (call != this) {
                return;
            }
            double silent = loop.now() - heardAt;
            double most = begun ? limits.listSilenceMs() : patience;
            if (silent < most) {
                doubted = false;
                loop.after(most - silent, this::check);
            } else if (!doubted) {
                doubted = true; // a process that gets little of a core may have bytes here that it has not read
                loop.after(limits.sweepMs(), this::check);
            } else {
                String why = "silent for " + Math.round(silent) + " ms";
                if (begun) {
                    // What it misses counts soon. Its silence was pause enough: it is no refusal, which asks for more.
                    lost(why);
                    listen();
                } else {
                    unanswered = true;
                    failed(this, why);
                }
            }
        }

        @Override
        public void head(Head head) {
            heardAt = loop.now();
            begun = true;
            if (head.status() != 200) {
                loop.post(() -> failed(this, "answer " + head.status()));
            }
        }

        @Override
        public void body(byte[] bytes, int offset, int length) {
            try {
                if (objects.feed(bytes, offset, length)) {
                    heardAt = loop.now();
                }
            } catch (IllegalArgumentException e) {
                loop.post(() -> failed(this, e.getMessage()));
            }
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
