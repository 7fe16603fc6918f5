package review;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A keyed message, whose repeats are dropped within one zone only, runs at an endpoint of its zone, and the answer is
 * lost. The endpoint is drained and gone, the relay is restarted, and the other zone gets the message.
 */
final class Case2 {
    private static final String SETTINGS = "{\"groupSize\":1,\"slotNo\":0,\"az\":0,\"azs\":[\"north\",\"south\"],"
            + "\"discovery\":\"ask\",\"quantum\":5.0,\"weightKind\":\"rough\",\"shapes\":[\"partner\"],\"classes\":["
            + Rig.messageClass("event", "dedup", "zone", 10_000, 3_000, 16_000) + "],"
            + "\"familyInfo\":{\"bundleMax\":[1],\"kindApart\":[true],\"late\":\"halving\",\"maxCalls\":8},"
            + "\"loadReport\":{\"how\":\"none\",\"names\":[]},"
            + "\"limits\":{\"cancelling\":true,\"connIdle\":15000.0,\"connectTimeout\":1500.0,\"maxAttempts\":12,"
            + "\"maxOpen\":60,\"maxRetryAfter\":2000.0,\"retryAfter\":true,\"multiplex\":8,\"mayDuplicate\":false},"
            + "\"safety\":{\"answerSlack\":20.0,\"askEvery\":10000.0,\"drainGrace\":250.0,\"fallMultiple\":2.0,"
            + "\"overloadFor\":3000.0,\"startCapacity\":0.23,\"warmAfter\":13000.0}}";
    private static final int[] PARTNERS = {7, 8, 9};
    private static final long TIME_MS = 16_000;
    private static final double DRAIN_MS = 2_000;
    private static final double REPLACED_MS = 4_900;
    private static final double DOWN_MS = 600;

    /** The message ran there, and was not dropped as a repeat. */
    private record Effect(double at, String endpoint, String zone) {}

    private final Rig rig;
    private final Map<String, List<Effect>> effects = new ConcurrentHashMap<>(); // by key
    private final Map<String, Boolean> seen = new ConcurrentHashMap<>(); // by partner, zone and key
    private volatile boolean draining; // the endpoints of the north
    private final AtomicInteger answersLost = new AtomicInteger();

    private Case2(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] args) {
        Rig.main(Path.of(args[0]), rig -> new Case2(rig).play());
    }

    /** An endpoint: runs a message, unless its zone has seen the key; the first answer of those in the north is lost. */
    private Rig.Server endpoint(String id, int partner, String zone, boolean losesAnswer) throws Exception {
        AtomicInteger calls = new AtomicInteger();
        return rig.new Server(0, request -> {
            String key = request.header("idempotency-key");
            if (losesAnswer && draining) {
                rig.note("endpoint %s (%s): %s, key %s: turned away, draining", id, zone, request.header("request-id"), key);
                request.answer(503);
                return;
            }
            boolean first = seen.putIfAbsent(partner + zone + key, true) == null;
            if (first) {
                List<Effect> all = effects.computeIfAbsent(key, k -> new ArrayList<>());
                synchronized (all) {
                    all.add(new Effect(rig.now(), id, zone));
                }
            }
            boolean lost = losesAnswer && calls.getAndIncrement() == 0;
            rig.note("endpoint %s (%s): %s, key %s: %s, %s", id, zone, request.header("request-id"), key,
                    first ? "RUN" : "repeat dropped", lost ? "answer lost" : "200");
            if (lost) {
                rig.sleep(100); // the list changes meanwhile
                answersLost.incrementAndGet();
                request.reset();
            } else {
                request.answer(200);
            }
        });
    }

    private int play() throws Exception {
        List<Rig.Server> servers = new ArrayList<>(); // of the north
        List<Rig.Listed> north = new ArrayList<>();
        List<Rig.Listed> all = new ArrayList<>();
        for (int partner : PARTNERS) {
            Rig.Server n = endpoint("s-" + partner + "n", partner, "north", true);
            servers.add(n);
            Rig.Server s = endpoint("s-" + partner + "s", partner, "south", false);
            north.add(new Rig.Listed("s-" + partner + "n", n.hostPort(), "north", "partner", partner, "up"));
            all.add(new Rig.Listed("s-" + partner + "s", s.hostPort(), "south", "partner", partner, "up"));
        }
        all.addAll(north);
        Rig.Platform platform = rig.new Platform(all.toArray(Rig.Listed[]::new));
        Rig.Relay relay = rig.new Relay("n0", platform, SETTINGS);
        relay.launch(platform.list());
        relay.awaitReady();
        rig.sleep(300); // the watch is open

        double sentAt = rig.now();
        for (int partner : PARTNERS) {
            int status = relay.submit("m" + partner, "event", partner, "k" + partner, TIME_MS, "",
                    ("message for " + partner).getBytes(StandardCharsets.US_ASCII));
            rig.note("client: m%d for partner %d, answer %d", partner, partner, status);
            if (status != 202) {
                return Rig.NOT_RUN;
            }
        }
        if (!rig.await(300, () -> effects.size() == PARTNERS.length)) {
            rig.note("not all messages were called in time");
            return Rig.NOT_RUN;
        }
        if (rig.trouble) {
            draining = true;
            platform.change(in("draining", north));
            rig.await(1_000, () -> answersLost.get() == PARTNERS.length);
            rig.sleep(DRAIN_MS);
            for (Rig.Server server : servers) {
                server.close();
            }
            platform.change(in("removed", north));
            double goneAt = rig.now();
            rig.sleep(400);
            if (!"replace".equals(System.getenv("TROUBLE"))) {
                relay.kill();
                String lastHeld = platform.list();
                rig.sleep(DOWN_MS);
                relay.launch(lastHeld);
                relay.awaitReady();
            }
            rig.sleep(REPLACED_MS - (rig.now() - goneAt));
            List<Rig.Listed> replacements = new ArrayList<>();
            for (int partner : PARTNERS) {
                String id = "s-" + partner + "m";
                replacements.add(new Rig.Listed(
                        id, endpoint(id, partner, "north", false).hostPort(), "north", "partner", partner, "up"));
            }
            platform.change(in("up", replacements));
        }
        rig.sleep(TIME_MS + 500 - (rig.now() - sentAt));
        relay.checkAlive();
        boolean broken = false;
        for (Map.Entry<String, List<Effect>> entry : effects.entrySet()) {
            rig.note("key %s ran %d times: %s", entry.getKey(), entry.getValue().size(), entry.getValue());
            broken |= entry.getValue().size() > 1;
        }
        return broken ? Rig.BROKEN : Rig.HELD;
    }

    private static Rig.Listed[] in(String state, List<Rig.Listed> listed) {
        return listed.stream()
                .map(e -> new Rig.Listed(e.id(), e.address(), e.zone(), e.kind(), e.cell(), state))
                .toArray(Rig.Listed[]::new);
    }
}
