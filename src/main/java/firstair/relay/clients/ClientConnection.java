package firstair.relay.clients;

import firstair.relay.Limits;
import firstair.relay.RateLimitedLogger;
import firstair.relay.http.Collector;
import firstair.relay.http.Head;
import firstair.relay.http.HttpException;
import firstair.relay.http.HttpParser;
import firstair.relay.http.HttpWriter;
import firstair.relay.net.Wire;
import java.util.Arrays;
import java.util.Locale;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.glassfish.grizzly.Connection;

/** One client's connection: its requests one after another, each answered before the next is looked at. */
final class ClientConnection {
    private static final Logger LOG = Logger.getLogger(ClientConnection.class.getName());
    private static final RateLimitedLogger FAULTS = new RateLimitedLogger(LOG, Level.SEVERE);
    private static final double MS_PER_S = 1000;
    private static final int AHEAD = 16; // requests sent before their turn; clients send one at a time
    private static final byte[] NOTHING = new byte[0];
    private static final String BOOKINGS = "/-/bookings/";
    private static final Set<String> ASKED = Set.of("GET", "PUT", "DELETE");

    private enum Phase {
        OPEN,
        ENDING,
        CLOSED
    }

    private final Connection<?> connection;
    private final Limits limits;
    private final RequestHandler requests;
    private final BooleanSupplier crowded;
    private final HttpParser parser;
    private final String peer;
    private boolean heard; // something of it has been read
    private Phase phase = Phase.OPEN;
    private boolean answering; // a request awaits its answer
    private boolean inputEnded; // the client sends nothing more, and may still listen
    private boolean last; // no request is taken after this answer
    private boolean draining;
    private boolean served; // a request has been answered
    private byte[] backlog = NOTHING;
    private double quietSince; // connected, or last answer
    private double begunAt; // connected, or first byte of the request that is being read
    private double endingSince;
    private int unsent; // writes that are not with the system yet
    private int ahead; // requests behind which more had come already
    private long discarded; // bytes that came after a refusal

    /** @param crowded whether clients hold so many connections that none is to be kept without need */
    ClientConnection(Connection<?> connection, Limits limits, RequestHandler requests, BooleanSupplier crowded) {
        this.connection = connection;
        this.limits = limits;
        this.requests = requests;
        this.crowded = crowded;
        this.quietSince = requests.now();
        this.begunAt = quietSince;
        this.peer = String.valueOf(connection.getPeerAddress());
        trace("accepted");
        this.parser = new HttpParser(HttpParser.Kind.REQUEST, limits.maxHead(), limits.maxBody(), new Collector() {
            @Override
            public void head(Head h) {
                super.head(h);
                if (h.lists("expect", "100-continue")) {
                    write(HttpWriter.answer(100).bare(), () -> {});
                }
            }

            @Override
            protected void whole(Head head, byte[] body) {
                request(head, body);
            }
        });
    }

    /**
     * Passes over what a refused client still sends. Its answer would be lost with a reset, so it may go on for a
     * little; a body of many megabytes is not read to its end.
     *
     * @return false if what came is to be looked at
     */
    synchronized boolean discards(int bytes) {
        if (phase == Phase.OPEN) {
            return false;
        }
        discarded += bytes;
        if (phase == Phase.ENDING && discarded > limits.lingerBytes()) {
            close();
        }
        return true;
    }

    private void trace(String what) {
        if (LOG.isLoggable(Level.FINE)) {
            LOG.fine("client " + peer + ": " + what);
        }
    }

    synchronized void received(byte[] bytes) {
        if (!heard) {
            heard = true;
            trace("first bytes");
        }
        try {
            if (!answering) {
                parse(bytes);
            } else if (backlog.length + bytes.length <= limits.maxHead()) {
                backlog = joined(backlog, bytes);
            } else {
                last = true; // it sends on and on without waiting: the answer that is owed it gets, and no other
                backlog = NOTHING;
            }
        } catch (RuntimeException e) {
            FAULTS.log("fault in a request", e);
            turnAway(500); // a fault of ours has cut its request short, and nothing was taken on
        }
    }

    private static byte[] joined(byte[] a, byte[] b) {
        byte[] all = Arrays.copyOf(a, a.length + b.length);
        System.arraycopy(b, 0, all, a.length, b.length);
        return all;
    }

    private void parse(byte[] bytes) {
        int at = 0;
        try {
            while (at < bytes.length && !answering && phase == Phase.OPEN) {
                if (served && parser.between()) {
                    begunAt = requests.now();
                }
                at += parser.feed(bytes, at, bytes.length - at);
                // Hundreds fit into one read, and all others would wait while they are answered.
                last |= at < bytes.length && ++ahead > AHEAD;
            }
            if (at < bytes.length) {
                backlog = joined(Arrays.copyOfRange(bytes, at, bytes.length), backlog);
            }
        } catch (HttpException e) {
            turnAway(e.status());
        }
    }

    private void request(Head head, byte[] body) {
        answering = true;
        last |= !head.keepAlive();
        trace("request " + head.path() + " " + head.header(SubmissionFields.REQUEST_ID));
        switch (head.path()) {
            case "/-/ready" -> answer(!head.method().equals("GET") ? 405 : requests.ready() ? 200 : 503, 0);
            case "/api" -> {
                if (!head.method().equals("POST")) {
                    answer(405, 0);
                } else if (head.contentLength() < 0 && head.header("transfer-encoding") == null) {
                    answer(411, 0);
                } else {
                    handIn(head, body);
                }
            }
            default -> {
                if (head.path().startsWith(BOOKINGS) && requests.asks()) {
                    ask(head, body);
                } else {
                    answer(404, 0);
                }
            }
        }
    }

    private void ask(Head head, byte[] body) {
        String booking = head.path().substring(BOOKINGS.length());
        if (!ASKED.contains(head.method())) {
            answer(405, 0);
        } else if (!SubmissionFields.isWord(booking)) {
            answer(404, 0);
        } else {
            requests.ask(new BookingRequest(this, head.method(), booking, body));
        }
    }

    private void handIn(Head head, byte[] body) {
        SubmissionFields fields = SubmissionFields.read(head, requests);
        if (fields == null) {
            answer(400, 0);
        } else {
            requests.handIn(new Submission(this, fields, requests.now() + fields.timeMs(), body));
        }
    }

    void answer(int status, double retryAfterMs) {
        answer(status, retryAfterMs, null);
    }

    void answer(int status, double retryAfterMs, String reason) {
        answer(status, retryAfterMs, reason, NOTHING);
    }

    /**
     * @param reason what a person can make of it, one line, or null
     * @param json   the answer's body, or no bytes
     */
    synchronized void answer(int status, double retryAfterMs, String reason, byte[] json) {
        if (phase != Phase.OPEN || !answering) {
            return;
        }
        if (unsent > 0) {
            close(); // it asks and does not read: its answers would fill the memory
            return;
        }
        // Clients that ask once and stay, or open one for each request, would take all that clients may have.
        boolean close = last || draining || crowded.getAsBoolean() || inputEnded && backlog.length == 0;
        HttpWriter w = HttpWriter.answer(status);
        if (retryAfterMs > 0) {
            w.header("Retry-After", String.format(Locale.ROOT, "%.3f", retryAfterMs / MS_PER_S));
        }
        if (reason != null) {
            w.header("X-Reason", reason);
        }
        if (status == 405) {
            w.header("Allow", "GET, POST");
        }
        if (close) {
            w.header("Connection", "close");
        }
        if (json.length > 0) {
            w.header("Content-Type", "application/json");
        }
        byte[] bytes = w.body(json);
        trace(status + (close ? ", the last answer" : ""));
        answering = false;
        served = true;
        quietSince = requests.now();
        if (close) {
            phase = Phase.ENDING;
            endingSince = quietSince;
            write(bytes, this::finish);
            return;
        }
        write(bytes, () -> {});
        byte[] rest = backlog;
        backlog = NOTHING;
        if (rest.length > 0) {
            received(rest);
        }
    }

    private void write(byte[] bytes, Runnable then) {
        unsent++;
        Wire.write(
                connection,
                bytes,
                () -> {
                    sent();
                    then.run();
                },
                this::close);
    }

    private synchronized void sent() {
        unsent--;
    }

    /**
     * Ends our sending only: to close with bytes unread would reset the connection, and the client might lose
     * the answer with it. The client closes, or a sweep does.
     */
    private void finish() {
        if (hasEndedSending()) {
            close(); // nothing unread can be left
        } else {
            Wire.shutdownOutput(connection, this::close);
        }
    }

    private synchronized boolean hasEndedSending() {
        return inputEnded;
    }

    /** From now on it ends with its next answer, and at once if it neither has a request nor is about to. */
    synchronized void drain() {
        draining = true;
        if (!busy()) {
            leave();
        }
    }

    /**
     * Ends it, and tells once that is done or an answer is all that is left to wait for. What its client has sent by
     * then is looked at first: a request that is whole is answered, one of which a part is there is refused.
     */
    void end(Runnable done) {
        Wire.between(connection, () -> {
            endNow();
            done.run();
        });
    }

    private synchronized void endNow() {
        last = true;
        look();
        if (phase == Phase.OPEN && !answering) {
            endUnasked();
        }
    }

    /**
     * Ends it while no whole request is there. Between two requests it just closes, and one that crosses that is sent
     * again. A part of one, or a first one that may be on its way, is owed an answer.
     */
    private void endUnasked() {
        if (served && parser.between()) {
            close();
        } else {
            turnAway(503);
        }
    }

    /**
     * Ends it between two requests. While we decide that, its next one may come and even be read: so it is done where
     * reading is, and only if nothing has come by then.
     */
    private void leave() {
        Wire.between(connection, this::leaveUnlessAsked);
    }

    private synchronized void leaveUnlessAsked() {
        if (phase == Phase.OPEN && !answering && parser.between() && !look()) {
            endUnasked();
        }
    }

    /**
     * Reads what has come and has not been read, as much as a request may have; false if nothing has. From one that
     * sends for ever it could go on for ever, and all others would wait.
     */
    private boolean look() {
        int came = 0;
        while (phase == Phase.OPEN && !answering && came <= limits.maxHead() + limits.maxBody()) {
            byte[] bytes = Wire.unread(connection, limits.readBuffer());
            if (bytes.length == 0) {
                break;
            }
            came += bytes.length;
            received(bytes);
        }
        return came > 0;
    }

    /** Answers with a status and ends, whatever it may want. */
    synchronized void turnAway(int status) {
        last = true;
        answering = true;
        answer(status, 0);
    }

    /** Ends it if it says nothing, or takes too long over a request or over its end. */
    synchronized void sweep(double now) {
        if (phase == Phase.ENDING && now - endingSince > limits.lingerMs()) {
            close();
        } else if (takesTooLong(now)) {
            Wire.between(connection, this::endUnlessWhole);
        } else if (phase == Phase.OPEN
                && !answering
                && served
                && parser.between()
                && now - quietSince > limits.clientIdleMs()) {
            leave();
        }
    }

    private boolean takesTooLong(double now) {
        boolean silent = !served && parser.between() && crowded.getAsBoolean();
        return phase == Phase.OPEN
                && !answering
                && (!served || !parser.between())
                && now - begunAt > (silent ? limits.crowdedMs() : limits.requestMs());
    }

    /** Ends it with an answer also where nothing came: it may cross a first request, which is owed one. */
    private synchronized void endUnlessWhole() {
        if (takesTooLong(requests.now())) {
            look();
        }
        if (takesTooLong(requests.now())) {
            turnAway(408);
        }
    }

    /**
     * How little is lost if it is closed to make room for another one, 0 if it must stay: most for what has been
     * refused, then for a client that has connected and not sent a request in a time that is enough for any, for one
     * that has been served before, and last for one that has only just connected.
     */
    synchronized int spare(double now) {
        if (phase != Phase.OPEN) {
            return phase == Phase.ENDING ? 4 : 0;
        }
        if (answering) {
            return 0;
        }
        if (now - begunAt > limits.firstMs() && (!served || !parser.between())) {
            return 3;
        }
        return !parser.between() ? 0 : served ? 2 : 1;
    }

    /**
     * Ends it at once, for another one's sake; on the selector's thread. False if its request has come meanwhile: that
     * is answered first.
     */
    synchronized boolean yields() {
        look();
        if (phase == Phase.OPEN && answering) {
            return false;
        }
        if (phase == Phase.OPEN) {
            endUnasked();
        }
        close(); // what it was told is with the system
        return true;
    }

    /** Refuses what it has been told nothing of: nobody is left who could take it. */
    synchronized void refuse() {
        if (phase == Phase.OPEN && (answering || !served || !parser.between())) {
            turnAway(503);
        }
    }

    /** Since when it has been as it is. */
    synchronized double since() {
        return phase == Phase.ENDING ? endingSince : quietSince;
    }

    /** Whether a request is being read or answered, or a first one may be on its way. */
    synchronized boolean busy() {
        return phase == Phase.ENDING
                || phase == Phase.OPEN
                        && (answering || !parser.between() || !served && requests.now() - begunAt < limits.firstMs());
    }

    synchronized boolean gone() {
        return phase != Phase.OPEN || inputEnded;
    }

    /** Its client sends nothing more: true if an answer is owed all the same, and then it ends with that. */
    synchronized boolean endedSending() {
        inputEnded = true;
        return phase == Phase.OPEN && answering || phase == Phase.ENDING && unsent > 0;
    }

    /** Ends it at once: who does not read its answers must not keep its place until they are written. */
    synchronized void close() {
        trace("closed by us");
        phase = Phase.CLOSED;
        connection.terminateSilently();
    }

    synchronized void closed() {
        trace("closed");
        phase = Phase.CLOSED;
    }
}
