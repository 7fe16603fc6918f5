package firstair.relay;

import firstair.config.Values;

/**
 * Every size, count and time of the relay itself, filled once at start and handed down. What the site permits
 * a controller is in its settings; nothing here decides about a message.
 *
 * @param sockets         descriptors that the process may hold
 * @param diskBytes       bytes that the lasting folder may hold
 * @param maxBody         bytes of a message at most
 * @param maxHead         bytes of start line and headers at most
 * @param maxClients      connections of clients at most
 * @param crowd           connections of clients from which on none is kept without need
 * @param maxLinks        connections to endpoints at most, idle ones counted
 * @param readBuffer      bytes read from a socket at once
 * @param backlog         connections that may wait to be accepted
 * @param roundMs         least time between two rounds of decisions
 * @param connectMs       until a connection that does not come up is given up
 * @param idleMs          until an unused connection to an endpoint is closed
 * @param haltMs          how long the other side may take to end a call that was given up
 * @param sweepMs         how often idle and slow connections are looked for
 * @param lookMs          how often a changed configuration is looked for while a notice waits for a lost platform
 * @param heldUpMs        so far behind its time, a round was held up and decides by what is over
 * @param catchUpMs       what such a round waits, for what has come meanwhile to be read
 * @param listenMs        how long a start tries to listen where the system has no socket for it
 * @param handshakeMs     between refusing new connections and the listener's close, for those that are half open
 * @param emptyMs         how long a destination without endpoints is still taken for one
 * @param answerMs        until an answer that has begun must be whole
 * @param restMs          how long a connection that carried an answer is left alone before the next call
 * @param firstMs         within it a client that has just connected is waited for, whatever else wants its place
 * @param requestMs       until a client must have sent a request, from its connecting or from the request's begin
 * @param crowdedMs       the same while there is a crowd, for a client that has sent nothing
 * @param clientIdleMs    until a client's connection without a request is closed
 * @param lingerMs        how long a refused client may still send before its connection is cut
 * @param lingerBytes     how much a refused client may still send before that
 * @param listAnswerMs    until discovery must have begun an answer; after a third of it another call goes beside it
 * @param listSilenceMs   silence after which a watch is dead
 * @param listLine        bytes of one object that discovery sends at most
 * @param notices         of notices to the platform
 * @param overdueMs       after its time, from which a message that has no end is taken for lost by a fault of ours
 * @param reloadMs        how long a configuration that cannot be used is read again after a SIGHUP
 * @param openMs          how long clients wait at most for the list that is pushed to a start
 * @param drainAcceptMs   how long a relay that was told to end still accepts connections
 * @param drainCallsMs    how long it makes calls for what it holds
 * @param drainMs         until it ends at the latest
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
     * Of notices to the platform.
     *
     * @param dueMs         after a message's time, until which its notice is in time
     * @param returnMs      after a start, until which the notices taken up again are in time
     * @param answerMs      until a post without an answer is given up
     * @param leastMs       least time until what an unanswered post carries goes a second time as well
     * @param mostMs        longest such time
     * @param pauseMs       first pause after a post that failed; it doubles
     * @param urgentPauseMs longest such pause while any notice can still be in time
     * @param pauseMostMs   longest such pause otherwise
     * @param bytes         bytes of one post at most
     * @param posts         posts that may be out
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

    /** A line of the log that others can bring about at will comes once in so long; see {@link RateLimitedLogger}. */
    static final double SAME_LINE_MS = 60_000;

    private static final int KIB = 1024;
    private static final long BYTES_PER_MB = 1_000_000; // the smaller reading of a megabyte
    // What stands in for a figure that the deployment does not tell.
    private static final int USUAL_SOCKETS = 1024;
    private static final int USUAL_DISK_MB = 64;
    private static final double USUAL_CONNECT_MS = 1000;
    private static final double USUAL_IDLE_MS = 10_000;
    // The protocol's own figures, and what follows from them.
    private static final int MAX_BODY = 64 * KIB;
    private static final int MAX_HEAD = 16 * KIB; // many times what clients and endpoints send
    private static final double LIST_SILENCE_MS =
            2250; // lines come every 2 s; twice, and a call that fails, is under 6 s
    private static final double LIST_ANSWER_MS = 3000; // twice a late connection
    private static final int LIST_CALLS = 3; // out at most beside each other
    private static final double NOTICE_DUE_MS = 300; // after a message's time
    private static final double NOTICE_RETURN_MS = 1500; // after a relay is ready again
    private static final double NOTICE_ANSWER_MS = 1000; // an answer that comes late saves a repeat all the same
    private static final double NOTICE_MOST_MS = 250; // answers come at once, but for a process that just began
    private static final double DRAIN_ACCEPT_MS = 450; // connections still come for up to 400 ms after SIGTERM
    private static final double DRAIN_CALLS_MS = 2300; // so that a call has usually ended by then
    private static final double DRAIN_MS = 3000; // SIGKILL comes 3.7 s after SIGTERM at the soonest
    // Sizes and counts.
    private static final int OTHER_FILES = 32; // 17 at rest: jars, selector, store, listener, discovery
    private static final int PEERS_MORE = 8; // connections of relays that have begun anew
    private static final int PEER_FILES = 6; // two listeners, and two files for each of their selectors
    private static final double CLIENT_SHARE = 0.5; // of all other descriptors
    private static final double CROWD_SHARE = 1.0 / 6; // of all descriptors: half of what clients hold at most
    private static final double HEAP_SHARE = 0.5; // of the heap, for what clients are sending
    private static final int READ_BUFFER = 16 * KIB; // most requests come in one read
    private static final int BACKLOG = 512; // or as many as may be open, if that is more
    private static final int LIST_LINE = 4 * KIB * KIB; // a list of some ten thousand endpoints
    private static final int LIST_HEAPS = 32; // of such in the heap; read, one takes fifteen times as much
    // Times.
    private static final double IDLE_GUARD_MS = 200; // closed so long before the endpoint may close it
    private static final double HALT_MS = 50; // several times the way to an endpoint and back
    private static final double SWEEP_MS = 100; // half of the guard
    private static final double LOOK_MS = 20; // a fifteenth of the time that a notice has
    private static final double HELD_UP_MS = 40; // many times what a round takes
    private static final double CATCH_UP_MS = 10; // another thread reads hundreds of sockets in it
    private static final double LISTEN_MS = 5000; // a relay has to be ready within 10 s
    private static final double HANDSHAKE_MS = 50; // several times the way to a client and back
    private static final double EMPTY_MS = 30_000; // longer than any message lives
    private static final double ANSWER_MS = 200; // answers are a packet or two, written at once
    private static final double REST_MS = 20; // what belongs to an answer comes with it or right behind
    private static final double FIRST_MS = 200; // half of what a client waits for an answer
    private static final double REQUEST_MS = 2000; // a client waits for 400 ms; this one is broken or hostile
    private static final double CROWDED_MS = 500; // longer than any client waits for an answer
    private static final double CLIENT_IDLE_MS = 2000; // kept for many requests a second, not for a visit in hours
    private static final double LINGER_MS = 500; // for what a refused client has already sent
    private static final int LINGER_BYTES = 256 * KIB; // the same, with what the system still held
    private static final double NOTICE_LEAST_MS = 60; // several answers; four tries fit into what is left
    private static final double NOTICE_PAUSE_MS = 25;
    private static final double NOTICE_URGENT_MS = 75; // a platform that comes back is found in time
    private static final double NOTICE_PAUSE_MOST_MS = 1000;
    private static final int NOTICE_POSTS = 8; // several thousand notices at one moment
    private static final double OVERDUE_MS = 150; // after calls are halted; leaves as much for the notice
    private static final double OPEN_MS = 300; // more than a post takes; clients use other relays meanwhile
    private static final double RELOAD_MS = 1000; // a file is written in less, and 4 s may pass until it counts

    /**
     * The limits for what a deployment allows; 0 stands for a figure that it does not tell.
     *
     * @param heapBytes what the virtual machine may hold in objects
     */
    public static Limits of(
            int sockets, int diskMb, long heapBytes, double roundMs, double connectMs, double connectionIdleMs) {
        int open = sockets > 0 ? sockets : USUAL_SOCKETS;
        int connections = Math.max(2, open - OTHER_FILES);
        // Each client may have a message of full size on its way, all at the same moment.
        int clients = (int) Math.min(connections * CLIENT_SHARE, heapBytes * HEAP_SHARE / (MAX_BODY + MAX_HEAD));
        double idle = connectionIdleMs > 0 ? connectionIdleMs : USUAL_IDLE_MS;
        return new Limits(
                open,
                (diskMb > 0 ? diskMb : USUAL_DISK_MB) * BYTES_PER_MB,
                MAX_BODY,
                MAX_HEAD,
                clients,
                (int) Math.min(clients / 2.0, open * CROWD_SHARE),
                connections - clients,
                READ_BUFFER,
                Math.max(BACKLOG, clients),
                Math.max(0, roundMs),
                connectMs > 0 ? connectMs : USUAL_CONNECT_MS,
                Math.max(idle / 2, idle - IDLE_GUARD_MS),
                HALT_MS,
                SWEEP_MS,
                LOOK_MS,
                HELD_UP_MS,
                CATCH_UP_MS,
                LISTEN_MS,
                HANDSHAKE_MS,
                EMPTY_MS,
                ANSWER_MS,
                REST_MS,
                FIRST_MS,
                REQUEST_MS,
                CROWDED_MS,
                CLIENT_IDLE_MS,
                LINGER_MS,
                LINGER_BYTES,
                LIST_ANSWER_MS,
                LIST_SILENCE_MS,
                (int) Math.min(LIST_LINE, heapBytes / LIST_HEAPS),
                new Notices(
                        NOTICE_DUE_MS,
                        NOTICE_RETURN_MS,
                        NOTICE_ANSWER_MS,
                        NOTICE_LEAST_MS,
                        NOTICE_MOST_MS,
                        NOTICE_PAUSE_MS,
                        NOTICE_URGENT_MS,
                        NOTICE_PAUSE_MOST_MS,
                        MAX_BODY,
                        NOTICE_POSTS),
                OVERDUE_MS,
                RELOAD_MS,
                OPEN_MS,
                DRAIN_ACCEPT_MS,
                DRAIN_CALLS_MS,
                DRAIN_MS);
    }

    /**
     * What a call to discovery may let wait before another goes beside it: as long as a turn may take there. So a call
     * that fails, in whatever way, costs no more than this and the pause behind it.
     */
    public double listWaitMs() {
        return listAnswerMs / LIST_CALLS;
    }

    /** How many connections a relay takes from so many relays: one that starts anew may have one of before. */
    public static int peerConnections(int members) {
        return 2 * members + PEERS_MORE;
    }

    /** All descriptors that a relay has for the others of its fleet, itself among the members. */
    private static int peerFiles(int members) {
        return members == 0 ? 0 : peerConnections(members) + members + PEER_FILES;
    }

    /** These limits with what an installation sets of its own; {@link TunableSettings#schema} tells what it may. */
    public Limits tuned(Values own) {
        if (own.isEmpty()) {
            return this;
        }
        Notices n = notices;
        int connections = maxClients + maxLinks;
        int left = connections - Math.min(peerFiles(own.names("fleet.peers").size()), connections / 2);
        int clients = Math.min(maxClients, (int) (left * CLIENT_SHARE));
        return new Limits(
                sockets,
                diskBytes,
                maxBody,
                maxHead,
                clients,
                Math.min(crowd, clients / 2),
                left - clients,
                readBuffer,
                backlog,
                roundMs,
                connectMs,
                idleMs,
                own.number("endpoints.halt", haltMs),
                sweepMs,
                lookMs,
                heldUpMs,
                catchUpMs,
                listenMs,
                handshakeMs,
                own.number("endpoints.empty", emptyMs),
                own.number("endpoints.answer", answerMs),
                own.number("endpoints.rest", restMs),
                own.number("clients.first", firstMs),
                own.number("clients.request", requestMs),
                own.number("clients.crowded", crowdedMs),
                own.number("clients.idle", clientIdleMs),
                own.number("clients.linger", lingerMs),
                own.whole("clients.linger_bytes", lingerBytes),
                own.number("list.answer", listAnswerMs),
                own.number("list.silence", listSilenceMs),
                own.whole("list.line", listLine),
                new Notices(
                        n.dueMs,
                        n.returnMs,
                        own.number("platform.answer", n.answerMs),
                        own.number("platform.least", n.leastMs),
                        own.number("platform.most", n.mostMs),
                        own.number("platform.pause", n.pauseMs),
                        own.number("platform.urgent_pause", n.urgentPauseMs),
                        own.number("platform.most_pause", n.pauseMostMs),
                        n.bytes,
                        own.whole("platform.posts", n.posts)),
                own.number("messages.overdue", overdueMs),
                own.number("start.reload", reloadMs),
                own.number("start.open", openMs),
                own.number("drain.accept", drainAcceptMs),
                own.number("drain.calls", drainCallsMs),
                own.number("drain.end", drainMs));
    }

    /** These limits, but for those of {@code next} that a running relay takes over. */
    Limits reloaded(Limits next) {
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
