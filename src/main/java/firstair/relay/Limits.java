package firstair.relay;

import firstair.config.Values;

/**
 * Sizes, counts and times of the relay itself, set once at start. What the platform permits a controller is part of
 * its settings; nothing here affects a decision about a message. Times are in milliseconds.
 *
 * @param sockets         maximum number of open file descriptors of the process
 * @param diskBytes       maximum number of bytes in the folder for persistent state
 * @param maxBody         maximum bytes of a message's body
 * @param maxHead         maximum bytes of a start line with its headers
 * @param maxClients      maximum number of client connections
 * @param crowd           number of client connections from which on none is kept open without need
 * @param maxLinks        maximum number of connections to endpoints, including idle ones
 * @param readBuffer      maximum bytes read from a socket at once
 * @param backlog         maximum number of connections waiting to be accepted
 * @param roundMs         minimum time between two rounds of decisions
 * @param connectMs       timeout for opening a connection
 * @param idleMs          until an unused connection to an endpoint is closed
 * @param haltMs          how long the other side may take to end a call that was cancelled
 * @param sweepMs         interval of the checks for idle and slow connections
 * @param lookMs          interval of the checks for a changed configuration while a notice waits for a lost platform
 * @param heldUpMs        a round that is later than this counts as delayed, and would decide by outdated information
 * @param catchUpMs       how long a delayed round waits, so that what has arrived meanwhile can be read
 * @param listenMs        how long a start retries to listen while the system has no socket for it
 * @param handshakeMs     between refusing new connections and closing the listener, for half-open connections
 * @param emptyMs         how long a destination is still known after its last endpoint has left the list
 * @param answerMs        timeout for the rest of an answer that has begun
 * @param restMs          how long a connection is not used again after an answer
 * @param firstMs         how long a new client connection is protected from eviction before its first request
 * @param requestMs       timeout for a client's request, from connecting or from the request's first byte
 * @param crowdedMs       the same while client connections are crowded, for a client that has sent nothing
 * @param clientIdleMs    until a client's connection without a request is closed
 * @param lingerMs        how long a refused client may still send before its connection is closed
 * @param lingerBytes     how many bytes a refused client may still send before that
 * @param listAnswerMs    timeout for the beginning of discovery's answer; after a third of it, a parallel call starts
 * @param listSilenceMs   a watch that has sent nothing for this long is considered broken
 * @param listLine        maximum bytes of one object that discovery sends
 * @param notices         limits of notices to the platform
 * @param overdueMs       after a message's deadline, when a message without a final answer counts as lost by a bug
 * @param reloadMs        how long reading an invalid configuration is retried after a SIGHUP
 * @param openMs          maximum time that clients wait at a start for the list that discovery pushes
 * @param drainAcceptMs   how long connections are still accepted after SIGTERM
 * @param drainCallsMs    how long calls are made for held messages after SIGTERM
 * @param drainMs         until the process ends at the latest after SIGTERM
 */
public record Limits(
        int sockets,
        long diskBytes,
        int maxBody,
        int maxHead,
        int maxClients,
        int crowd,
        int maxLinks,
        int readBuffer,
        int backlog,
        double roundMs,
        double connectMs,
        double idleMs,
        double haltMs,
        double sweepMs,
        double lookMs,
        double heldUpMs,
        double catchUpMs,
        double listenMs,
        double handshakeMs,
        double emptyMs,
        double answerMs,
        double restMs,
        double firstMs,
        double requestMs,
        double crowdedMs,
        double clientIdleMs,
        double lingerMs,
        int lingerBytes,
        double listAnswerMs,
        double listSilenceMs,
        int listLine,
        Notices notices,
        double overdueMs,
        double reloadMs,
        double openMs,
        double drainAcceptMs,
        double drainCallsMs,
        double drainMs) {

    /**
     * Limits of notices to the platform.
     *
     * @param dueMs         after a message's deadline, until when its notice is in time
     * @param returnMs      after a start, until when resumed notices are in time
     * @param answerMs      timeout for the answer to a post
     * @param leastMs       minimum time until the notices of an unanswered post are sent a second time
     * @param mostMs        maximum of that time
     * @param pauseMs       first backoff after a failed post; it doubles
     * @param urgentPauseMs maximum backoff while any notice can still be in time
     * @param pauseMostMs   maximum backoff otherwise
     * @param bytes         maximum bytes of one post
     * @param posts         maximum number of posts in flight
     */
    public record Notices(
            double dueMs,
            double returnMs,
            double answerMs,
            double leastMs,
            double mostMs,
            double pauseMs,
            double urgentPauseMs,
            double pauseMostMs,
            int bytes,
            int posts) {}

    /** Minimum interval of log lines that remote parties can trigger; see {@link RateLimitedLogger}. */
    static final double LOG_INTERVAL_MS = 60_000;

    private static final int KIB = 1024;
    private static final long BYTES_PER_MB = 1_000_000; // the smaller reading of a megabyte
    // Defaults for what the deployment does not specify.
    private static final int DEFAULT_SOCKETS = 1024;
    private static final int DEFAULT_DISK_MB = 64;
    private static final double DEFAULT_CONNECT_MS = 1000;
    private static final double DEFAULT_IDLE_MS = 10_000;
    // Given by the protocol, or derived from it.
    private static final int MAX_BODY_BYTES = 64 * KIB;
    private static final int MAX_HEAD_BYTES = 16 * KIB; // many times what clients and endpoints send
    // A line comes every 2 s; two silences and a failed call take less than 6 s.
    private static final double LIST_SILENCE_MS = 2250;
    private static final double LIST_ANSWER_MS = 3000; // twice a late connection
    private static final int MAX_LIST_CALLS = 3; // in parallel
    private static final double NOTICE_DUE_MS = 300; // after a message's deadline
    private static final double NOTICE_RETURN_MS = 1500; // after a relay is ready again
    private static final double NOTICE_ANSWER_MS = 1000; // even a late answer saves a repeat
    private static final double NOTICE_MAX_RESEND_MS = 250; // answers come at once, except from a process just started
    private static final double DRAIN_ACCEPT_MS = 450; // clients still connect for up to 400 ms after SIGTERM
    private static final double DRAIN_CALLS_MS = 2300; // calls made until then have usually ended before DRAIN_MS
    private static final double DRAIN_MS = 3000; // SIGKILL follows SIGTERM after 3.7 s at the earliest
    // Sizes and counts.
    private static final int RESERVED_FILES = 32; // 17 when idle: jars, selector, store, listener, discovery
    private static final int EXTRA_PEER_CONNECTIONS = 8; // from relays that have restarted
    private static final int PEER_BASE_FILES = 6; // two listeners, and two files for each of their selectors
    private static final double CLIENT_SHARE = 0.5; // of the descriptors that are not reserved
    private static final double CROWD_SHARE = 1.0 / 6; // of all descriptors: half of what clients may hold
    private static final double CLIENT_HEAP_SHARE = 0.5; // of the heap, for requests being received
    private static final int READ_BUFFER_BYTES = 16 * KIB; // most requests arrive in one read
    private static final int MIN_BACKLOG = 512;
    private static final int MAX_LIST_OBJECT_BYTES = 4 * KIB * KIB; // a list of some ten thousand endpoints
    private static final int HEAP_PER_LIST_OBJECT = 32; // a parsed object takes 15 times its length
    // Times.
    private static final double IDLE_MARGIN_MS = 200; // closed this long before the endpoint may close it
    private static final double HALT_MS = 50; // several round trips to an endpoint
    private static final double SWEEP_MS = 100; // half of IDLE_MARGIN_MS
    private static final double CONFIG_CHECK_MS = 20; // a fifteenth of NOTICE_DUE_MS
    private static final double MAX_ROUND_DELAY_MS = 40; // many times what a round takes
    private static final double CATCH_UP_MS = 10; // enough for another thread to read hundreds of sockets
    private static final double LISTEN_MS = 5000; // a relay must be ready within 10 s
    private static final double HANDSHAKE_MS = 50; // several round trips to a client
    private static final double EMPTY_DESTINATION_MS = 30_000; // longer than any message's deadline
    private static final double ANSWER_MS = 200; // answers are one or two packets, written at once
    private static final double REUSE_DELAY_MS = 20; // what belongs to an answer arrives with it or right after it
    private static final double NEW_CLIENT_MS = 200; // half of the time that a client waits for an answer
    private static final double REQUEST_MS = 2000; // clients wait for 400 ms; a slower one is broken or hostile
    private static final double CROWDED_REQUEST_MS = 500; // longer than any client waits for an answer
    private static final double CLIENT_IDLE_MS = 2000; // kept open for many requests a second, not for one in hours
    private static final double LINGER_MS = 500; // for what a refused client has already sent
    private static final int LINGER_BYTES = 256 * KIB; // the same, including the system's buffers
    private static final double NOTICE_MIN_RESEND_MS = 60; // several round trips; four attempts fit into the rest
    private static final double NOTICE_BACKOFF_MS = 25;
    private static final double NOTICE_URGENT_BACKOFF_MS = 75; // a platform that is back is found in time
    private static final double NOTICE_MAX_BACKOFF_MS = 1000;
    private static final int MAX_NOTICE_POSTS = 8; // several thousand notices at once
    private static final double OVERDUE_MS = 150; // calls have been cancelled by then; leaves as much for the notice
    private static final double FIRST_LIST_MS = 300; // more than a post takes; clients use other relays meanwhile
    private static final double RELOAD_MS = 1000; // a file is written in less; 4 s may pass until it must be in effect

    /**
     * Derives the limits from what a deployment allows; 0 stands for a value that is not specified.
     *
     * @param sockets          maximum number of open file descriptors
     * @param diskMb           maximum size of the folder for persistent state, in megabytes
     * @param heapBytes        maximum heap size of the virtual machine
     * @param connectionIdleMs after how long an endpoint may close an idle connection
     */
    public static Limits of(
            int sockets, int diskMb, long heapBytes, double roundMs, double connectMs, double connectionIdleMs) {
        int descriptors = sockets > 0 ? sockets : DEFAULT_SOCKETS;
        int connections = Math.max(2, descriptors - RESERVED_FILES);
        // All clients may send a message of maximum size at the same time.
        int clients = (int)
                Math.min(connections * CLIENT_SHARE, heapBytes * CLIENT_HEAP_SHARE / (MAX_BODY_BYTES + MAX_HEAD_BYTES));
        double endpointIdleMs = connectionIdleMs > 0 ? connectionIdleMs : DEFAULT_IDLE_MS;
        return new Limits(
                descriptors,
                (diskMb > 0 ? diskMb : DEFAULT_DISK_MB) * BYTES_PER_MB,
                MAX_BODY_BYTES,
                MAX_HEAD_BYTES,
                clients,
                (int) Math.min(clients / 2.0, descriptors * CROWD_SHARE),
                connections - clients,
                READ_BUFFER_BYTES,
                Math.max(MIN_BACKLOG, clients),
                Math.max(0, roundMs),
                connectMs > 0 ? connectMs : DEFAULT_CONNECT_MS,
                Math.max(endpointIdleMs / 2, endpointIdleMs - IDLE_MARGIN_MS),
                HALT_MS,
                SWEEP_MS,
                CONFIG_CHECK_MS,
                MAX_ROUND_DELAY_MS,
                CATCH_UP_MS,
                LISTEN_MS,
                HANDSHAKE_MS,
                EMPTY_DESTINATION_MS,
                ANSWER_MS,
                REUSE_DELAY_MS,
                NEW_CLIENT_MS,
                REQUEST_MS,
                CROWDED_REQUEST_MS,
                CLIENT_IDLE_MS,
                LINGER_MS,
                LINGER_BYTES,
                LIST_ANSWER_MS,
                LIST_SILENCE_MS,
                (int) Math.min(MAX_LIST_OBJECT_BYTES, heapBytes / HEAP_PER_LIST_OBJECT),
                new Notices(
                        NOTICE_DUE_MS,
                        NOTICE_RETURN_MS,
                        NOTICE_ANSWER_MS,
                        NOTICE_MIN_RESEND_MS,
                        NOTICE_MAX_RESEND_MS,
                        NOTICE_BACKOFF_MS,
                        NOTICE_URGENT_BACKOFF_MS,
                        NOTICE_MAX_BACKOFF_MS,
                        MAX_BODY_BYTES,
                        MAX_NOTICE_POSTS),
                OVERDUE_MS,
                RELOAD_MS,
                FIRST_LIST_MS,
                DRAIN_ACCEPT_MS,
                DRAIN_CALLS_MS,
                DRAIN_MS);
    }

    /**
     * How long a call to discovery may go unanswered before a parallel one starts: as long as discovery may take to
     * serve a call. A call that fails in any way therefore costs no more than this and the pause after it.
     */
    public double parallelListCallMs() {
        return listAnswerMs / MAX_LIST_CALLS;
    }

    /** Maximum number of connections from other relays: a restarted relay may still have one of before. */
    public static int peerConnections(int members) {
        return 2 * members + EXTRA_PEER_CONNECTIONS;
    }

    /** Descriptors that a relay needs for its fleet, in which it is one of the members. */
    private static int peerFiles(int members) {
        return members == 0 ? 0 : peerConnections(members) + members + PEER_BASE_FILES;
    }

    /** Maximum bytes of the heap that the connections of clients hold: each can receive a message of maximum size. */
    public long clientBytes() {
        return (long) maxClients * (maxBody + maxHead);
    }

    /** Returns these limits with an installation's local settings, which {@link TunableSettings#schema} describes. */
    public Limits withLocalSettings(Values localSettings) {
        if (localSettings.isEmpty()) {
            return this;
        }
        Notices current = notices;
        int connections = maxClients + maxLinks;
        int available = connections
                - Math.min(peerFiles(localSettings.names("fleet.peers").size()), connections / 2);
        int clients = Math.min(maxClients, (int) (available * CLIENT_SHARE));
        return new Limits(
                sockets,
                diskBytes,
                maxBody,
                maxHead,
                clients,
                Math.min(crowd, clients / 2),
                available - clients,
                readBuffer,
                backlog,
                roundMs,
                connectMs,
                idleMs,
                localSettings.number("endpoints.halt", haltMs),
                sweepMs,
                lookMs,
                heldUpMs,
                catchUpMs,
                listenMs,
                handshakeMs,
                localSettings.number("endpoints.empty", emptyMs),
                localSettings.number("endpoints.answer", answerMs),
                localSettings.number("endpoints.rest", restMs),
                localSettings.number("clients.first", firstMs),
                localSettings.number("clients.request", requestMs),
                localSettings.number("clients.crowded", crowdedMs),
                localSettings.number("clients.idle", clientIdleMs),
                localSettings.number("clients.linger", lingerMs),
                localSettings.integer("clients.linger_bytes", lingerBytes),
                localSettings.number("list.answer", listAnswerMs),
                localSettings.number("list.silence", listSilenceMs),
                localSettings.integer("list.line", listLine),
                new Notices(
                        current.dueMs,
                        current.returnMs,
                        localSettings.number("platform.answer", current.answerMs),
                        localSettings.number("platform.least", current.leastMs),
                        localSettings.number("platform.most", current.mostMs),
                        localSettings.number("platform.pause", current.pauseMs),
                        localSettings.number("platform.urgent_pause", current.urgentPauseMs),
                        localSettings.number("platform.most_pause", current.pauseMostMs),
                        current.bytes,
                        localSettings.integer("platform.posts", current.posts)),
                localSettings.number("messages.overdue", overdueMs),
                localSettings.number("start.reload", reloadMs),
                localSettings.number("start.open", openMs),
                localSettings.number("drain.accept", drainAcceptMs),
                localSettings.number("drain.calls", drainCallsMs),
                localSettings.number("drain.end", drainMs));
    }

    /** Returns these limits with those of {@code next} that can change while the relay runs. */
    Limits withReloadable(Limits next) {
        return new Limits(
                sockets,
                diskBytes,
                maxBody,
                maxHead,
                maxClients,
                crowd,
                maxLinks,
                readBuffer,
                backlog,
                roundMs,
                connectMs,
                idleMs,
                haltMs,
                sweepMs,
                lookMs,
                heldUpMs,
                catchUpMs,
                listenMs,
                handshakeMs,
                emptyMs,
                answerMs,
                restMs,
                firstMs,
                requestMs,
                crowdedMs,
                clientIdleMs,
                lingerMs,
                lingerBytes,
                listAnswerMs,
                listSilenceMs,
                listLine,
                next.notices,
                next.overdueMs,
                next.reloadMs,
                openMs,
                drainAcceptMs,
                drainCallsMs,
                drainMs);
    }
}
