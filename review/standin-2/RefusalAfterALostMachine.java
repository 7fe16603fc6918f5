import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;

/**
 * A relay is lost with its folder while a call for a keyed message is out, which runs. The message comes again to
 * another relay, marked so, while a clump of large messages fills that relay's folder. What repeats only in one zone
 * and may have run must not be refused: a refusal says that handing it in again is harmless.
 */
final class RefusalAfterALostMachine {
    private static final int BODY_BYTES = 60_000; // of each message of the clump, and of the one that is followed
    private static final int CLUMP = 30;
    private static final double ANSWER_MS = 450;
    private static final long DEADLINE_MS = 16_000;
    private static final double BACK_AFTER_MS = 5000; // the relay, with an empty folder
    private static final double COMES_AGAIN_MS = 1000; // after the loss
    private static final double CLIENT_PAUSE_MS = 1000; // after a refusal
    private static final double USUAL_PAUSE_MS = 70; // between the usual messages to each relay
    private static final String KEY = "key-of-the-message";

    private RefusalAfterALostMachine() {}

    public static void main(String[] args) throws Exception {
        Lab.main(args, 100, RefusalAfterALostMachine::run);
    }

    private static Lab.Relay relay(Lab lab, Lab.Platform platform, int number) throws Exception {
        Settings settings = new Settings();
        settings.zones = "\"za\",\"zb\",\"zc\"";
        settings.kinds = "\"major\",\"local\"";
        settings.bundleMax = "1,1";
        settings.apart = "true,true";
        settings.reports = "\"none\"";
        settings.groupSize = 3;
        settings.slot = number;
        settings.zone = number;
        settings.maxAttempts = 12;
        settings.connIdleMs = 15_000;
        settings.connectTimeoutMs = 1500;
        settings.drainGraceMs = 250;
        settings.messageClass("portal-event", "dedup", "zone", 3000, (int) DEADLINE_MS, 10_000, false);
        return lab.new Relay("n" + (number + 1), platform, settings.json());
    }

    private static Lab.Endpoint endpoint(Lab lab, String id, String zone, int cell) throws Exception {
        Lab.Endpoint added = lab.new Endpoint(id, zone, "major", cell, call -> call.answerLater(ANSWER_MS, 200));
        lab.book.set(added, "up");
        return added;
    }

    private static int run(Lab lab) throws Exception {
        Lab.Platform platform = lab.new Platform();
        endpoint(lab, "p1-za", "za", 1);
        endpoint(lab, "p1-zb", "zb", 1);
        endpoint(lab, "p2-zb", "zb", 2);
        endpoint(lab, "p3-za", "za", 3);
        endpoint(lab, "p3-zc", "zc", 3);
        List<Lab.Relay> relays = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            relays.add(relay(lab, platform, i));
            relays.get(i).start();
        }
        relays.forEach(relay -> usualTraffic(lab, relay));
        Lab.pause(3000);

        byte[] body = new byte[BODY_BYTES];
        Lab.Message first = lab.new Message("first-hand-in", "portal-event", 1, KEY, DEADLINE_MS, body);
        if (lab.new Client(relays.get(0)).send(first) != 202
                || !Lab.await(2000, () -> !lab.callsOf(first.id).isEmpty())) {
            lab.log("not taken on and sent");
            return Lab.COULD_NOT_RUN;
        }
        double lostAt = Lab.now();
        if (lab.trouble) {
            relays.get(0).kill(); // and its folder is lost
        }
        Lab.pause(lostAt + COMES_AGAIN_MS - 200 - Lab.now());
        int refused = clump(lab, relays.get(1));
        lab.log("%d of %d messages of the clump were refused", refused, CLUMP);
        if (refused == 0) {
            return Lab.COULD_NOT_RUN; // the folder was not full
        }
        if (lab.trouble) {
            handInAgain(lab, relays.get(1), first, body, lostAt);
        }
        if (lab.trouble) {
            Lab.pause(lostAt + BACK_AFTER_MS - Lab.now());
            relays.get(0).loseFolder();
            relays.get(0).start();
        }
        Lab.pause(lostAt + 6500 - Lab.now());
        return judge(lab);
    }

    /** Small messages for another partner, one after another, as long as the case runs. */
    private static void usualTraffic(Lab lab, Lab.Relay relay) {
        Lab.thread(() -> {
            Lab.Client client = lab.new Client(relay);
            for (int i = 0; relay.alive(); i++) {
                String id = "usual-" + relay.name + "-" + i;
                client.send(lab.new Message(id, "portal-event", 3, "key-" + id, DEADLINE_MS, new byte[200]));
                Lab.pause(USUAL_PAUSE_MS);
            }
            return null;
        });
    }

    /** What the lost relay held is handed to another one; after a refusal it is handed in once more. */
    private static void handInAgain(Lab lab, Lab.Relay to, Lab.Message first, byte[] body, double lostAt)
            throws Exception {
        Lab.pause(lostAt + COMES_AGAIN_MS - Lab.now());
        Lab.Client client = lab.new Client(to);
        Lab.Message second = lab.new Message("second-hand-in", "portal-event", 1, KEY, left(first), body);
        int status = client.send(second, "Client-Retry: again");
        if (status == 503 || status == 429) {
            Lab.pause(CLIENT_PAUSE_MS);
            client.send(
                    lab.new Message("third-hand-in", "portal-event", 1, KEY, left(first), body), "Client-Retry: 1");
        }
    }

    private static long left(Lab.Message first) {
        return Math.round(first.deadline() - Lab.now());
    }

    /** Large messages for one partner, all at once; returns how many were refused. */
    private static int clump(Lab lab, Lab.Relay relay) throws Exception {
        List<Lab.Message> messages = new ArrayList<>();
        CountDownLatch answered = new CountDownLatch(CLUMP);
        for (int i = 0; i < CLUMP; i++) {
            Lab.Message message = lab.new Message(
                    "clump" + i, "portal-event", 2, "clump-key" + i, DEADLINE_MS, new byte[BODY_BYTES]);
            messages.add(message);
            Lab.thread(() -> {
                lab.new Client(relay).send(message);
                answered.countDown();
                return null;
            });
        }
        answered.await();
        return (int) messages.stream()
                .filter(message -> message.status == 503 || message.status == 429)
                .count();
    }

    private static int judge(Lab lab) {
        String zone = null;
        int status = Lab.HELD;
        synchronized (lab.calls) {
            for (Lab.Call call : lab.calls) {
                if (call.items.stream().noneMatch(item -> KEY.equals(item.key())) || !call.maybeRan) {
                    continue;
                }
                lab.log("the message ran at %s, as %s", call.endpoint.id, call.items.get(0).id());
                if (zone != null && !zone.equals(call.endpoint.zone)) {
                    lab.log("it ran in %s and again in %s, which knows nothing of the first", zone, call.endpoint.zone);
                    status = Lab.BROKEN;
                }
                zone = zone == null ? call.endpoint.zone : zone;
            }
        }
        return zone == null ? Lab.COULD_NOT_RUN : status;
    }
}
