package firstair.relay.clients;

import firstair.relay.Limits;
import firstair.relay.RateLimitedLogger;
import firstair.relay.http.HttpException;
import firstair.relay.http.HttpParser;
import firstair.relay.http.HttpWriter;
import firstair.relay.http.MessageCollector;
import firstair.relay.http.MessageHead;
import firstair.relay.net.NetworkTransport;
import java.util.Arrays;
import java.util.Locale;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.glassfish.grizzly.Connection;

/** A client's connection. Its requests are handled one at a time, each is answered before the next is parsed. */
final class ClientConnection {
    private static final Logger LOG = Logger.getLogger(ClientConnection.class.getName());
    private static final RateLimitedLogger FAULTS = new RateLimitedLogger(LOG, Level.SEVERE);
    private static final double MS_PER_S = 1000;
    private static final int MAX_PIPELINED_REQUESTS = 16; // per connection; clients should send one at a time
    private static final int CONNECTION_BYTES = 4096; // objects of the library and of the relay for one connection
    private static final byte[] NO_BYTES = new byte[0];
    private static final String BOOKINGS_PATH = "/-/bookings/";
    private static final Set<String> BOOKING_METHODS = Set.of("GET", "PUT", "DELETE");

    private enum Phase {
        OPEN,
        ENDING,
        CLOSED
    }

    private final Connection<?> connection;
    private final Limits limits;
    private final RequestHandler requests;
    private final BooleanSupplier softLimitExceeded;
    private final ClientMemory memory;
    private final MessageCollector collector;
    private final HttpParser parser;
    private final String peer;
    private boolean receivedAny;
    private Phase phase = Phase.OPEN;
    private boolean requestPending; // a request awaits its response
    private boolean mayHaveRun; // the message of the current request, at a relay that failed
    private boolean inputEnded; // the client sends nothing more, but may still read
    private boolean closeAfterResponse;
    private boolean draining;
    private boolean served; // at least one request has been answered
    private byte[] unparsed = NO_BYTES;
    private double idleSince; // time of the connect or of the last response
    private double requestStartedAt; // time of the connect or of the first byte of the current request
    private double endingSince;
    private int pendingWrites; // not handed to the system yet
    private int pipelinedRequests; // requests that were followed by more data at once
    private long discardedBytes; // received after the last response
    private int submittedBytes; // of the message that awaits its response
    private long countedBytes; // of this connection in memory

    /**
     * @param softLimitExceeded whether clients have so many connections that idle ones are closed
     * @param memory            counts what this connection holds
     */
    ClientConnection(
            Connection<?> connection,
            Limits limits,
            RequestHandler requests,
            BooleanSupplier softLimitExceeded,
            ClientMemory memory) {
        this.connection = connection;
        this.limits = limits;
        this.requests = requests;
        this.softLimitExceeded = softLimitExceeded;
        this.memory = memory;
        this.idleSince = requests.now();
        this.requestStartedAt = idleSince;
        this.peer = String.valueOf(connection.getPeerAddress());
        trace("accepted");
        this.collector = new MessageCollector() {
            @Override
            public void header(String name, String value) {
                mayHaveRun |= name.equals(SubmissionFields.CLIENT_RETRY) && SubmissionFields.isFromFailedRelay(value);
            }

            @Override
            public void head(MessageHead head) {
                super.head(head);
                if (head.lists("expect", "100-continue")) {
                    write(HttpWriter.response(100).withoutBody(), () -> {});
                }
            }

            @Override
            protected void complete(MessageHead head, byte[] body) {
                handleRequest(head, body);
            }
        };
        this.parser = new HttpParser(HttpParser.Kind.REQUEST, limits.maxHead(), limits.maxBody(), collector);
        countHeldBytes();
    }

    /** Counts what this connection holds now; to be called after each change. */
    private void countHeldBytes() {
        long held = 0;
        if (phase == Phase.OPEN) {
            held = (long) parser.heldBytes() + collector.heldBytes() + unparsed.length + submittedBytes;
        }
        if (phase != Phase.CLOSED) {
            held += CONNECTION_BYTES;
        }
        memory.add(held - countedBytes);
        countedBytes = held;
    }

    /** Drops everything that was received, once nothing further is parsed. */
    private void releaseInput() {
        parser.discard();
        collector.discard();
        unparsed = NO_BYTES;
        countHeldBytes();
    }

    /**
     * Refuses a request of which a part has been received, so that others fit into memory.
     *
     * @return false if there is none
     */
    synchronized boolean refusePartialRequest() {
        if (!receivesRequest()) {
            return false;
        }
        trace("refused for want of memory");
        rejectAndClose(ResponseStatus.REFUSED);
        return true;
    }

    /** Whether a part of a request has been received, and not all of it. */
    private boolean receivesRequest() {
        return phase == Phase.OPEN && !requestPending && !parser.between();
    }

    /** When the request began of which a part has been received; infinite if there is none. */
    synchronized double partialRequestSince() {
        return receivesRequest() ? requestStartedAt : Double.POSITIVE_INFINITY;
    }

    /**
     * Discards what a client still sends after its last response. Closing at once could reset the connection and lose
     * that response, so a limited number of bytes is read; a body of many megabytes is not read to its end.
     *
     * @return false if the bytes are to be parsed
     */
    synchronized boolean discardsInput(int bytes) {
        if (phase == Phase.OPEN) {
            return false;
        }
        discardedBytes += bytes;
        if (phase == Phase.ENDING && discardedBytes > limits.lingerBytes()) {
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
        if (!receivedAny) {
            receivedAny = true;
            trace("first bytes");
        }
        try {
            if (!requestPending) {
                parse(bytes);
            } else if (unparsed.length + bytes.length <= limits.maxHead() && !memory.crowded()) {
                unparsed = joined(unparsed, bytes);
            } else {
                // The client keeps sending without waiting: it gets the pending response and no other.
                closeAfterResponse = true;
                unparsed = NO_BYTES;
            }
        } catch (RuntimeException e) {
            FAULTS.log("unexpected exception while handling a request", e);
            rejectAndClose(ResponseStatus.FAILED); // a bug of the relay interrupted the request, nothing was accepted
        }
        countHeldBytes();
    }

    private static byte[] joined(byte[] first, byte[] second) {
        byte[] all = Arrays.copyOf(first, first.length + second.length);
        System.arraycopy(second, 0, all, first.length, second.length);
        return all;
    }

    private void parse(byte[] bytes) {
        int at = 0;
        try {
            while (at < bytes.length && !requestPending && phase == Phase.OPEN) {
                if (served && parser.between()) {
                    requestStartedAt = requests.now();
                }
                at += parser.feed(bytes, at, bytes.length - at);
                // One read may contain hundreds, and other clients would wait while all of them are answered.
                closeAfterResponse |= at < bytes.length && ++pipelinedRequests > MAX_PIPELINED_REQUESTS;
            }
            if (at < bytes.length) {
                unparsed = joined(Arrays.copyOfRange(bytes, at, bytes.length), unparsed);
            }
        } catch (HttpException e) {
            rejectAndClose(e.status());
        }
    }

    private void handleRequest(MessageHead head, byte[] body) {
        requestPending = true;
        closeAfterResponse |= !head.keepAlive();
        trace("request " + head.path() + " " + head.header(SubmissionFields.REQUEST_ID));
        switch (head.path()) {
            case "/-/ready" -> respond(!head.method().equals("GET") ? 405 : requests.ready() ? 200 : 503, 0);
            case "/api" -> {
                if (!head.method().equals("POST")) {
                    respond(405, 0);
                } else if (head.contentLength() < 0 && head.header("transfer-encoding") == null) {
                    respond(411, 0);
                } else {
                    submit(head, body);
                }
            }
            default -> {
                if (head.path().startsWith(BOOKINGS_PATH) && requests.bookingsEnabled()) {
                    requestBooking(head, body);
                } else {
                    respond(404, 0);
                }
            }
        }
    }

    private void requestBooking(MessageHead head, byte[] body) {
        String booking = head.path().substring(BOOKINGS_PATH.length());
        if (!BOOKING_METHODS.contains(head.method())) {
            respond(405, 0);
        } else if (!SubmissionFields.isWord(booking)) {
            respond(404, 0);
        } else {
            requests.requestBooking(new BookingRequest(this, head.method(), booking, body));
        }
    }

    private void submit(MessageHead head, byte[] body) {
        SubmissionFields fields = SubmissionFields.read(head, requests);
        if (fields == null) {
            respond(400, 0);
            return;
        }
        submittedBytes = body.length;
        countHeldBytes();
        if (memory.full()) {
            respond(ResponseStatus.REFUSED, 0);
        } else {
            requests.submit(new Submission(this, fields, requests.now() + fields.timeoutMs(), body));
        }
    }

    void respond(int status, double retryAfterMs) {
        respond(status, retryAfterMs, null);
    }

    void respond(int status, double retryAfterMs, String reason) {
        respond(status, retryAfterMs, reason, NO_BYTES);
    }

    /**
     * Responds to the current request. Whatever the reason, a message that may have run is never refused, which would
     * promise that it has not: it is given up.
     *
     * @param retryAfterMs milliseconds for {@code Retry-After}, or 0 to leave the header out
     * @param reason       one line of text for {@code X-Reason}, or null
     * @param json         the response body, or no bytes
     */
    synchronized void respond(int status, double retryAfterMs, String reason, byte[] json) {
        if (phase != Phase.OPEN || !requestPending) {
            return;
        }
        if (mayHaveRun && ResponseStatus.isRefusal(status)) {
            respond(ResponseStatus.GIVEN_UP, 0, reason, json);
            return;
        }
        if (pendingWrites > 0) {
            close(); // the client does not read its responses, which would fill the memory
            return;
        }
        // Clients that keep a connection without using it, or open one for each request, could use up all of them.
        boolean close = closeAfterResponse
                || draining
                || softLimitExceeded.getAsBoolean()
                || inputEnded && unparsed.length == 0;
        HttpWriter response = HttpWriter.response(status);
        if (retryAfterMs > 0) {
            response.header("Retry-After", String.format(Locale.ROOT, "%.3f", retryAfterMs / MS_PER_S));
        }
        if (reason != null) {
            response.header("X-Reason", reason);
        }
        if (status == 405) {
            response.header("Allow", "GET, POST");
        }
        if (close) {
            response.header("Connection", "close");
        }
        if (json.length > 0) {
            response.header("Content-Type", "application/json");
        }
        byte[] bytes = response.withBody(json);
        trace(status + (close ? ", closing after this response" : ""));
        requestPending = false;
        mayHaveRun = false;
        submittedBytes = 0;
        served = true;
        idleSince = requests.now();
        if (close) {
            phase = Phase.ENDING;
            endingSince = idleSince;
            releaseInput();
            write(bytes, this::finishOutput);
            return;
        }
        countHeldBytes();
        write(bytes, () -> {});
        byte[] rest = unparsed;
        unparsed = NO_BYTES;
        if (rest.length > 0) {
            received(rest);
        }
    }

    private void write(byte[] bytes, Runnable afterwards) {
        pendingWrites++;
        NetworkTransport.write(
                connection,
                bytes,
                () -> {
                    sent();
                    afterwards.run();
                },
                this::close);
    }

    private synchronized void sent() {
        pendingWrites--;
    }

    /**
     * Shuts down our output only: closing with unread input would reset the connection, and the client might lose the
     * response. The client closes the connection, or a sweep does.
     */
    private void finishOutput() {
        if (hasInputEnded()) {
            close(); // there is no unread input
        } else {
            NetworkTransport.shutdownOutput(connection, this::close);
        }
    }

    private synchronized boolean hasInputEnded() {
        return inputEnded;
    }

    /** Closes the connection after its next response, or now if it has no request and expects no first one. */
    synchronized void drain() {
        draining = true;
        if (!busy()) {
            closeIfIdle();
        }
    }

    /**
     * Ends the connection and runs {@code done} once it has ended or only awaits a response. What the client has sent
     * by then is read first: a complete request is answered, a partial one is refused.
     */
    void end(Runnable done) {
        NetworkTransport.runOnSelectorThread(connection, () -> {
            readAndEnd();
            done.run();
        });
    }

    private synchronized void readAndEnd() {
        closeAfterResponse = true;
        readPending();
        if (phase == Phase.OPEN && !requestPending) {
            endWithoutRequest();
        }
    }

    /**
     * Ends a connection without a complete request. Between two requests it is just closed; a client whose request
     * crosses the close sends it again. A partial request, or a first one that may be on its way, gets a response.
     */
    private void endWithoutRequest() {
        if (served && parser.between()) {
            close();
        } else {
            rejectAndClose(ResponseStatus.REFUSED);
        }
    }

    /**
     * Ends an idle connection. The next request may arrive meanwhile, so this runs on the selector thread, and only if
     * nothing has been received by then.
     */
    private void closeIfIdle() {
        NetworkTransport.runOnSelectorThread(connection, this::closeIfStillIdle);
    }

    private synchronized void closeIfStillIdle() {
        if (phase == Phase.OPEN && !requestPending && parser.between() && !readPending()) {
            endWithoutRequest();
        }
    }

    /**
     * Reads and handles received bytes that the selector has not read yet, up to the size of one request: a client that
     * sends without end must not block the others.
     *
     * @return whether there were any
     */
    private boolean readPending() {
        int total = 0;
        while (phase == Phase.OPEN && !requestPending && total <= limits.maxHead() + limits.maxBody()) {
            byte[] bytes = NetworkTransport.readAvailable(connection, limits.readBuffer());
            if (bytes.length == 0) {
                break;
            }
            total += bytes.length;
            received(bytes);
        }
        return total > 0;
    }

    /** Responds with a status, whatever has been received, and ends the connection. */
    synchronized void rejectAndClose(int status) {
        closeAfterResponse = true;
        requestPending = true;
        respond(status, 0);
    }

    /** Ends the connection if it has been idle, or a request or the close has been going on, for too long. */
    synchronized void sweep(double now) {
        if (phase == Phase.ENDING && now - endingSince > limits.lingerMs()) {
            close();
        } else if (requestTimedOut(now)) {
            NetworkTransport.runOnSelectorThread(connection, this::timeOutUnlessComplete);
        } else if (phase == Phase.OPEN
                && !requestPending
                && served
                && parser.between()
                && now - idleSince > limits.clientIdleMs()) {
            closeIfIdle();
        }
    }

    private boolean requestTimedOut(double now) {
        boolean limitedWait = !served && parser.between() && softLimitExceeded.getAsBoolean();
        return phase == Phase.OPEN
                && !requestPending
                && (!served || !parser.between())
                && now - requestStartedAt > (limitedWait ? limits.crowdedMs() : limits.requestMs());
    }

    /** Responds even if nothing was received: a first request may be on its way and needs a response. */
    private synchronized void timeOutUnlessComplete() {
        if (requestTimedOut(requests.now())) {
            readPending();
        }
        if (requestTimedOut(requests.now())) {
            rejectAndClose(ResponseStatus.REQUEST_TIMEOUT);
        }
    }

    /**
     * How suitable the connection is for being closed in favour of a new one: 4 if it is ending, 3 if the client has
     * had enough time to send its request and has not, 2 if it is idle after a response, 1 if it has only just
     * connected, 0 if it must stay.
     */
    synchronized int evictionPriority(double now) {
        if (phase != Phase.OPEN) {
            return phase == Phase.ENDING ? 4 : 0;
        }
        if (requestPending) {
            return 0;
        }
        if (now - requestStartedAt > limits.firstMs() && (!served || !parser.between())) {
            return 3;
        }
        return !parser.between() ? 0 : served ? 2 : 1;
    }

    /**
     * Closes the connection at once in favour of a new one; on the selector thread only.
     *
     * @return false if its request has arrived meanwhile, which is answered first
     */
    synchronized boolean evict() {
        readPending();
        if (phase == Phase.OPEN && requestPending) {
            return false;
        }
        if (phase == Phase.OPEN) {
            endWithoutRequest();
        }
        close(); // its response has been handed to the system
        return true;
    }

    /** Refuses a request that has not been answered, or may be on its way; used when the handler has stopped. */
    synchronized void refuse() {
        if (phase == Phase.OPEN && (requestPending || !served || !parser.between())) {
            rejectAndClose(ResponseStatus.REFUSED);
        }
    }

    /** When the connection began to end, or else became idle. */
    synchronized double stateSince() {
        return phase == Phase.ENDING ? endingSince : idleSince;
    }

    /** Whether a request is being received or awaits its response, or a first one may be on its way. */
    synchronized boolean busy() {
        return phase == Phase.ENDING
                || phase == Phase.OPEN
                        && (requestPending
                                || !parser.between()
                                || !served && requests.now() - requestStartedAt < limits.firstMs());
    }

    synchronized boolean clientGone() {
        return phase != Phase.OPEN || inputEnded;
    }

    /** The client has shut down its output; true if a response is still to be sent, after which the connection ends. */
    synchronized boolean onInputEnd() {
        inputEnded = true;
        return phase == Phase.OPEN && requestPending || phase == Phase.ENDING && pendingWrites > 0;
    }

    /** Closes the connection without waiting for its writes, which a client that does not read would delay. */
    synchronized void close() {
        trace("closed by the relay");
        phase = Phase.CLOSED;
        releaseInput();
        connection.terminateSilently();
    }

    synchronized void onClose() {
        trace("closed");
        phase = Phase.CLOSED;
        releaseInput();
    }
}
