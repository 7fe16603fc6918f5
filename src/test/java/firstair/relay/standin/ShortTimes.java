package firstair.relay.standin;

import firstair.relay.Limits;

/** Limits with timeouts that are short enough for tests. */
public final class ShortTimes {
    private static final long HEAP_BYTES = 64_000_000;

    private ShortTimes() {}

    /** Default limits except for these limits of calls; times in milliseconds. */
    public static Limits forCalls(double haltMs, double connectMs, double idleMs, int maxLinks) {
        Limits limits = Limits.of(0, 0, HEAP_BYTES, 0, connectMs, 0);
        return with(limits, maxLinks, idleMs, haltMs, limits.listAnswerMs());
    }

    /** Default limits, but a call to discovery is given up after {@code ms} without a response or a line. */
    public static Limits forDiscovery(double ms) {
        Limits limits = Limits.of(0, 0, HEAP_BYTES, 0, 0, 0);
        return with(limits, limits.maxLinks(), limits.idleMs(), limits.haltMs(), ms);
    }

    private static Limits with(Limits limits, int maxLinks, double idleMs, double haltMs, double listMs) {
        return new Limits(
                limits.sockets(),
                limits.diskBytes(),
                limits.maxBody(),
                limits.maxHead(),
                limits.maxClients(),
                limits.crowd(),
                maxLinks,
                limits.readBuffer(),
                limits.backlog(),
                limits.roundMs(),
                limits.connectMs(),
                idleMs,
                haltMs,
                limits.sweepMs(),
                limits.lookMs(),
                limits.heldUpMs(),
                limits.catchUpMs(),
                limits.listenMs(),
                limits.handshakeMs(),
                limits.emptyMs(),
                limits.answerMs(),
                limits.restMs(),
                limits.firstMs(),
                limits.requestMs(),
                limits.crowdedMs(),
                limits.clientIdleMs(),
                limits.lingerMs(),
                limits.lingerBytes(),
                listMs,
                listMs,
                limits.listLine(),
                limits.notices(),
                limits.overdueMs(),
                limits.reloadMs(),
                limits.openMs(),
                limits.drainAcceptMs(),
                limits.drainCallsMs(),
                limits.drainMs());
    }
}
