import java.util.ArrayList;
import java.util.List;

/**
 * Lists are pushed. An endpoint of partner 1 has drained and gone, which the list tells seconds late; the relay is killed
 * just then. When it is back, the list that its agent has names another endpoint, and one of partner 2 listens at the
 * old address. Discovery is crowded: the relay's first
 * call for the list waits and ends with 503. What the agent has counts as told from the first moment of the process, so
 * nothing new may go to the old endpoint, and no message for partner 1 to partner 2.
 */
final class RestartBesideACrowdedList {
    private static final int GRACE_MS = 250;
    private static final double SLACK_MS = 50; // on sockets every limit is so much longer
    private static final double ANSWER_MS = 120;
    private static final int MESSAGES = 4;

    private RestartBesideACrowdedList() {}

    public static void main(String[] args) throws Exception {
        Lab.main(args, 100, RestartBesideACrowdedList::run);
    }

    private static int run(Lab lab) throws Exception {
        Lab.Platform platform = lab.new Platform();
        platform.listDelayMs = 50;
        Settings settings = new Settings();
        settings.discovery = "push";
        settings.reports = "\"none\"";
        settings.groupSize = 2;
        settings.connIdleMs = 15_000;
        settings.drainGraceMs = GRACE_MS;
        settings.messageClass("report-ready", "dedup", "all", 3000, 16_000, 4000, false);

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

        double begun = Lab.now();
        gone.behaviour = call -> call.answer(503); // it drains, and discovery has not told yet
        alsoGone.behaviour = gone.behaviour;
        at(begun, 500);
        for (Lab.Endpoint ended : List.of(gone, alsoGone)) {
            ended.stopListening();
            ended.resetAll();
        }
        at(begun, 2600);
        List<Lab.Message> messages = new ArrayList<>();
        Lab.Client client = lab.new Client(relay);
        for (int i = 0; i < MESSAGES; i++) {
            messages.add(lab.new Message(
                    "report" + i, "report-ready", 1, "key" + i, 16_000, Lab.ascii("a report for partner 1")));
            if (client.send(messages.get(i)) != 202) {
                lab.log("not taken on");
                return Lab.COULD_NOT_RUN;
            }
        }
        at(begun, 3600);
        if (lab.trouble) {
            relay.configure(); // the list as it held it last
            relay.kill();
        }
        at(begun, 3800);
        Lab.Endpoint instead = endpoint(lab, "a2", 1, 0);
        Lab.Endpoint atOldAddress = endpoint(lab, "b2", 2, gone.port);
        at(begun, 3900);
        for (Lab.Endpoint ended : List.of(gone, alsoGone)) {
            lab.book.set(ended, "draining");
            lab.book.set(ended, "removed");
        }
        at(begun, 4250);
        lab.book.set(instead, "up");
        lab.book.set(atOldAddress, "up");
        at(begun, 4300);
        double startedAt = Lab.now();
        if (lab.trouble) {
            platform.crowdedWaitMs = 500;
            platform.crowdedUntil = startedAt + 1000;
            relay.start();
        }
        at(begun, 10_000);
        return judge(lab, atOldAddress, startedAt, messages);
    }

    private static int judge(Lab lab, Lab.Endpoint atOldAddress, double startedAt, List<Lab.Message> messages) {
        int wrong = 0;
        synchronized (lab.calls) {
            for (Lab.Call call : lab.calls) {
                boolean foreign = call.items.stream().anyMatch(item -> item.id().startsWith("report"));
                if (call.endpoint == atOldAddress && foreign && call.at > startedAt + GRACE_MS + SLACK_MS) {
                    lab.log(
                            "call %d to a1, which had gone, %.0f ms after the process began; %s of partner 2 got it",
                            call.number,
                            call.at - startedAt,
                            call.endpoint.id);
                    wrong++;
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
        lab.log("%d calls to an endpoint that had gone reached another partner", wrong);
        return wrong > 0 ? Lab.BROKEN : Lab.HELD;
    }

    /** An endpoint that answers 400, as the protocol has it, to a message that is not for its partner. */
    private static Lab.Endpoint endpoint(Lab lab, String id, int cell, int port) throws Exception {
        return lab.endpoint(id, cell, call -> call.answerLater(ANSWER_MS, cell == 1 ? 200 : 400), port);
    }

    private static void at(double from, double ms) throws InterruptedException {
        Lab.pause(from + ms - Lab.now());
    }
}
