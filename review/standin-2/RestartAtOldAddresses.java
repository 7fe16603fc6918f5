import java.util.ArrayList;
import java.util.List;

/**
 * A relay dies and comes back after 6 s with the list that it held last. Meanwhile two of thirteen endpoints have been
 * drained and replaced by new ones; that of partner 2 listens at the address where that of partner 1 was. No message
 * for partner 1 may be sent to an endpoint of partner 2.
 */
final class RestartAtOldAddresses {
    private static final double DISCOVERY_MS = 100; // for each call, with the disruption and without it
    private static final double ANSWER_MS = 200;
    private static final int MESSAGES = 4;

    private RestartAtOldAddresses() {}

    public static void main(String[] args) throws Exception {
        Lab.main(args, 100, RestartAtOldAddresses::run);
    }

    private static int run(Lab lab) throws Exception {
        Lab.Platform platform = lab.new Platform();
        platform.listDelayMs = DISCOVERY_MS;
        Settings settings = new Settings();
        settings.groupSize = 2;
        settings.retryAfter = false;
        settings.messageClass("register-order", "dedup", "all", 2000, 24_000, 25_000, false);
        settings.messageClass("status-notice", "retryable", "all", 800, 5000, 5000, false);

        Lab.Endpoint gone = endpoint(lab, "a1", 1, 0);
        Lab.Endpoint alsoGone = endpoint(lab, "b1", 2, 0);
        lab.book.set(gone, "up");
        lab.book.set(alsoGone, "up");
        for (int cell = 3; cell <= 13; cell++) {
            lab.book.set(endpoint(lab, "c" + cell, cell, 0), "up");
        }

        Lab.Relay relay = lab.new Relay("n1", platform, settings.json());
        Lab.Relay other = lab.new Relay("n2", platform, settings.json());
        relay.start();
        other.start();
        Lab.pause(1000);

        List<Lab.Message> messages = new ArrayList<>();
        Lab.Client client = lab.new Client(relay);
        for (int i = 0; i < MESSAGES; i++) {
            messages.add(lab.new Message(
                    "order" + i, "register-order", 1, "key" + i, 24_000, Lab.ascii("an order for partner 1")));
            if (client.send(messages.get(i)) != 202) {
                lab.log("not taken on");
                return Lab.COULD_NOT_RUN;
            }
        }
        double diedAt = Lab.now();
        if (lab.trouble) {
            relay.configure(); // the list as it held it last
            relay.kill();
        }
        at(diedAt, 200);
        lab.book.set(gone, "draining");
        lab.book.set(alsoGone, "draining");
        at(diedAt, 1500);
        for (Lab.Endpoint ended : List.of(gone, alsoGone)) {
            lab.book.set(ended, "removed");
            ended.stopListening();
            ended.resetAll();
        }
        at(diedAt, 4500);
        lab.book.set(endpoint(lab, "a2", 1, 0), "up");
        lab.book.set(endpoint(lab, "b2", 2, gone.port), "up");
        at(diedAt, 6000);
        if (lab.trouble) {
            relay.start();
        }
        Lab.pause(4000);

        int wrong = 0;
        synchronized (lab.calls) {
            for (Lab.Call call : lab.calls) {
                for (Lab.Item item : call.items) {
                    if (item.id().startsWith("order") && call.endpoint.cell != 1) {
                        lab.log(
                                "call %d: %s is for partner 1, %s is of partner 2",
                                call.number,
                                item.id(),
                                call.endpoint.id);
                        wrong++;
                    }
                }
            }
        }
        for (Lab.Message message : messages) {
            lab.log(
                    "%s: calls at %s, notice %s",
                    message.id,
                    lab.callsOf(message.id).stream()
                            .map(call -> call.endpoint.id + " (" + call.end + ")")
                            .toList(),
                    lab.notices.get(message.id));
        }
        lab.log("%d calls reached an endpoint of another partner", wrong);
        return wrong > 0 ? Lab.BROKEN : Lab.HELD;
    }

    /** An endpoint that answers 400, as the protocol has it, to a message that is not for its partner. */
    private static Lab.Endpoint endpoint(Lab lab, String id, int cell, int port) throws Exception {
        return lab.endpoint(
                id,
                cell,
                call -> call.answerLater(ANSWER_MS, cell == 1 ? 200 : 400, "Server-Load: {\"x0\":0.9,\"x1\":40}"),
                port);
    }

    private static void at(double from, double ms) throws InterruptedException {
        Lab.pause(from + ms - Lab.now());
    }
}
