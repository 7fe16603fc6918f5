package firstair.relay.standin;

import firstair.relay.Limits;

/** Limits with times that a test can wait for. */
public final class ShortTimes {
    private static final long HEAP = 64_000_000;

    private ShortTimes() {}

    /** Usual limits, but for these of calls. */
    public static Limits ofCalls(double haltMs, double connectMs, double idleMs, int maxLinks) {
        Limits l = Limits.of(0, 0, HEAP, 0, connectMs, 0);
        return with(l, maxLinks, idleMs, haltMs, l.listAnswerMs());
    }

    /** Usual limits, but discovery is given up after so long without an answer or a line. */
    public static Limits ofList(double ms) {
        Limits l = Limits.of(0, 0, HEAP, 0, 0, 0);
        return with(l, l.maxLinks(), l.idleMs(), l.haltMs(), ms);
    }

    private static Limits with(Limits l, int maxLinks, double idleMs, double haltMs, double listMs) {
        return new Limits(
                l.sockets(),
                l.diskBytes(),
                l.maxBody(),
                l.maxHead(),
                l.maxClients(),
                l.crowd(),
                maxLinks,
                l.readBuffer(),
                l.backlog(),
                l.roundMs(),
                l.connectMs(),
                idleMs,
                haltMs,
                l.sweepMs(),
                l.lookMs(),
                l.heldUpMs(),
                l.catchUpMs(),
                l.listenMs(),
                l.handshakeMs(),
                l.emptyMs(),
                l.answerMs(),
                l.restMs(),
                l.firstMs(),
                l.requestMs(),
                l.crowdedMs(),
                l.clientIdleMs(),
                l.lingerMs(),
                l.lingerBytes(),
                listMs,
                listMs,
                l.listLine(),
                l.notices(),
                l.overdueMs(),
                l.reloadMs(),
                l.openMs(),
                l.drainAcceptMs(),
                l.drainCallsMs(),
                l.drainMs());
    }
}
