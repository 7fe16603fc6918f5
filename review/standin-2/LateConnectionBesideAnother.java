import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;

/**
 * Orders of 40 KB wait for a partner that takes several messages in a call and has told a short wait. They are too large
 * to share a call, so when the wait is over each travels alone: most of them at once, on kept connections, one or two on
 * new connections that come up 1 s late. The first ones run, and are reset 1.35 s after they came. Right behind them the
 * partner shuts for 6 s and tells when it opens, which is just after the time for which it drops repeats. Nothing that
 * may have run may be sent again by then.
 */
final class LateConnectionBesideAnother {
    private static final int WINDOW_MS = 6000;
    private static final int SLACK_MS = 50; // on sockets every limit is so much longer
    private static final int BODY_BYTES = 40_000;
    private static final int KEPT = 6; // connections
    private static final int LATE = 2; // orders for which no connection is kept
    private static final int MOST_ORDERS = 10; // in one call, by the settings
    private static final double FIRST_WAIT_S = 0.6;
    private static final double ANSWER_MS = 250;
    private static final double SHUT_AT_MS = 150; // after the orders came
    private static final double RESET_AT_MS = 1350;
    private static final double OPENS_AT_MS = WINDOW_MS + 200;
    private static final String REPORT = "Server-Load: {\"x0\":0.8,\"x1\":40}";

    private LateConnectionBesideAnother() {}

    public static void main(String[] args) throws Exception {
        Lab.main(args, 100, LateConnectionBesideAnother::run);
    }

    /** The partner; what it does depends on the time since the orders came. */
    private static final class Partner implements Lab.Behaviour {
        private final Lab lab;
        private boolean waitTold;
        private volatile double orderedAt = Double.POSITIVE_INFINITY; // the first call with an order after the wait

        Partner(Lab lab) {
            this.lab = lab;
        }

        synchronized boolean waitTold() {
            return waitTold;
        }

        @Override
        public synchronized void call(Lab.Call call) throws Exception {
            boolean order = call.items.get(0).id().startsWith("order");
            if (order && !waitTold) {
                waitTold = true;
                call.answer(429, "Retry-After: " + FIRST_WAIT_S, REPORT);
                return;
            }
            if (order && orderedAt == Double.POSITIVE_INFINITY) {
                orderedAt = call.at;
            }
            double since = call.at - orderedAt;
            if (since < 0 || since >= OPENS_AT_MS) {
                call.answerLater(ANSWER_MS, 200, REPORT);
            } else if (since < SHUT_AT_MS) {
                lab.later.schedule(
                        call::reset, (long) (RESET_AT_MS - since), java.util.concurrent.TimeUnit.MILLISECONDS);
            } else {
                double waitS = (OPENS_AT_MS - since) / 1000;
                call.answer(429, String.format(java.util.Locale.ROOT, "Retry-After: %.3f", waitS), REPORT);
            }
        }
    }

    private static int run(Lab lab) throws Exception {
        Lab.Platform platform = lab.new Platform();
        Partner partner = new Partner(lab);
        Lab.Endpoint endpoint = lab.new Endpoint("p1", "here", "socio-mayor", 1, partner, 0, 1);
        lab.book.set(endpoint, "up");
        lab.book.set(lab.new Endpoint("p2", "here", "socio-mayor", 2, call -> call.answerLater(90, 200, REPORT)), "up");
        Settings settings = new Settings();
        settings.kinds = "\"socio-mayor\"";
        settings.bundleMax = "10";
        settings.connIdleMs = 15_000;
        settings.connectTimeoutMs = 1500;
        settings.drainGraceMs = 2000;
        settings.settleMs = 100;
        settings.messageClass("release-order", "dedup", "all", 2500, 24_000, WINDOW_MS, true);
        Lab.Relay relay = lab.new Relay("n1", platform, settings.json());
        relay.start();
        usualTraffic(lab, relay);
        Lab.pause(500);

        List<Lab.Client> clients = new ArrayList<>();
        for (int i = 0; i < MOST_ORDERS; i++) {
            clients.add(lab.new Client(relay));
        }
        for (int round = 0; round < 4; round++) { // the relay learns the usual time, and has kept connections
            atOnce(lab, clients.subList(0, KEPT), "usual" + round + "-");
            Lab.pause(700);
        }
        int orders = Math.min(MOST_ORDERS, endpoint.open.size() + LATE);
        lab.log("%d connections are kept", endpoint.open.size());
        atOnce(lab, clients.subList(0, 1), "order-first");
        if (!Lab.await(300, () -> partner.waitTold())) {
            lab.log("no wait was told");
            return Lab.COULD_NOT_RUN;
        }
        if (lab.trouble) {
            endpoint.stall();
        }
        atOnce(lab, clients.subList(1, orders), "order");
        if (!Lab.await(3000, () -> partner.orderedAt < Double.POSITIVE_INFINITY)) {
            lab.log("nothing was sent after the wait");
            return Lab.COULD_NOT_RUN;
        }
        Lab.pause(500);
        endpoint.release();
        Lab.pause(partner.orderedAt + 8000 - Lab.now());
        return judge(lab, partner.orderedAt);
    }

    /** Small orders for another partner, one after another, as long as the case runs. */
    private static void usualTraffic(Lab lab, Lab.Relay relay) {
        Lab.thread(() -> {
            Lab.Client client = lab.new Client(relay);
            for (int i = 0; relay.alive(); i++) {
                client.send(lab.new Message("other" + i, "release-order", 2, "key-other" + i, 24_000, new byte[200]));
                Lab.pause(60);
            }
            return null;
        });
    }

    private static void atOnce(Lab lab, List<Lab.Client> clients, String prefix) throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        CountDownLatch answered = new CountDownLatch(clients.size());
        for (int i = 0; i < clients.size(); i++) {
            Lab.Client client = clients.get(i);
            String id = prefix + i;
            Lab.Message message =
                    lab.new Message(id, "release-order", 1, "key-" + id, 24_000, new byte[BODY_BYTES]);
            Lab.thread(() -> {
                go.await();
                client.send(message);
                answered.countDown();
                return null;
            });
        }
        Lab.pause(20);
        go.countDown();
        answered.await();
    }

    private static int judge(Lab lab, double begun) {
        Map<String, Double> firstSent = new HashMap<>(); // of what may have run, by key
        int prompt = 0;
        int late = 0;
        int repeats = 0;
        synchronized (lab.calls) {
            for (Lab.Call call : lab.calls) {
                double since = call.at - begun;
                boolean order = call.items.get(0).id().matches("order\\d+"); // not the one that was told a wait
                prompt += order && since >= 0 && since < SHUT_AT_MS ? 1 : 0;
                late += order && since >= SHUT_AT_MS && since < RESET_AT_MS ? 1 : 0;
                for (Lab.Item item : call.items) {
                    Double first = firstSent.get(item.key());
                    if (first != null && call.at > first + WINDOW_MS + SLACK_MS) {
                        lab.log(
                                "%s ran, and was sent again %.0f ms later: the key was forgotten after %d ms",
                                item.id(),
                                call.at - first,
                                WINDOW_MS);
                        repeats++;
                    }
                    if (call.maybeRan) {
                        firstSent.putIfAbsent(item.key(), call.at);
                    }
                }
            }
        }
        lab.log("%d calls came at once, %d late; %d repeats outside the window", prompt, late, repeats);
        if (prompt == 0 || lab.trouble && late == 0) {
            return Lab.COULD_NOT_RUN;
        }
        return repeats > 0 ? Lab.BROKEN : Lab.HELD;
    }
}
