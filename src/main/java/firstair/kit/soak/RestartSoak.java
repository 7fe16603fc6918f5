package firstair.kit.soak;

import firstair.kit.run.LoopbackPorts;
import firstair.kit.run.Node;
import firstair.kit.soak.Observations.Drained;
import firstair.kit.soak.Observations.Fault;
import firstair.kit.soak.Observations.Notice;
import firstair.kit.soak.Observations.Restart;
import firstair.kit.standin.MovingPlatform;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.LocalTime;
import java.time.ZoneId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * One relay under clients that use their connections to the last, while it is told to end, killed, started again and
 * given new configurations, in series and by a seeded draw; some runs have a crowd of idle clients, some hold the
 * process up for 0.15 s now and then. {@link Judge} says what of it was against the rules.
 */
final class RestartSoak {
    private static final double WINDOW_MS = 2000;
    private static final double GRACE_MS = 1000; // of Node's settings
    private static final int CLIENTS = 8;
    private static final int KILL_MS = 3700;
    private static final int DOWN_MS = 600;
    private static final int HELD_UP_MS = 150;
    private static final int MOVED_MS = 4000;
    private static final int LAST_ENDS_MS = 6000; // behind the last message
    private static final Set<Integer> IN_ORDER = Set.of(0, 128 + 15); // by itself, or by SIGTERM
    private static final int CROWD = 150;
    private static final int CROWD_SOCKETS = 256;

    /** What came of one run. */
    record Result(
            long seed,
            List<String> verdicts,
            int handIns,
            int taken,
            int unanswered,
            int calls,
            int notices,
            int restarts) {
        /** A line for people. */
        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT,
                    "seed %d: %s, %d hand-ins, %d taken, %d without an answer in 400 ms, %d calls, %d notices,"
                            + " %d restarts",
                    seed,
                    verdicts.isEmpty() ? "kept" : "BROKEN",
                    handIns,
                    taken,
                    unanswered,
                    calls,
                    notices,
                    restarts);
        }
    }

    private final long seed;
    private final double seconds;
    private final Random random;
    private final Observations seen = new Observations();
    private final List<Socket> crowd = new ArrayList<>();
    private Node node;
    private MovingPlatform platform;
    private Partners partners;
    private double lastMove = Double.NEGATIVE_INFINITY;

    RestartSoak(long seed, double seconds) {
        this.seed = seed;
        this.seconds = seconds;
        this.random = new Random(seed);
    }

    Result run() throws Exception {
        Path folder = Files.createTempDirectory("firstair-restarts");
        ScheduledExecutorService clock = Executors.newScheduledThreadPool(2, RestartSoak::daemon);
        boolean crowded = seed % 4 == 0;
        boolean heldUp = seed % 3 == 0;
        partners = new Partners(seen, seed);
        platform = new MovingPlatform(partners.list(), seed, true, clock);
        InetSocketAddress address = LoopbackPorts.shared().next();
        node = new Node(folder, platform.hostPort(), partners.list());
        node.listen("127.0.0.1:" + address.getPort());
        node.adjust(c -> c.replace("\"repeatWindow\":30000.0", "\"repeatWindow\":" + WINDOW_MS));
        if (crowded) {
            node.sockets(CROWD_SOCKETS);
        }
        Path trace = folder.resolve("trace.log");
        node.trace(trace);
        node.start();
        List<KeepAliveClient> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            KeepAliveClient c = new KeepAliveClient("s" + seed + "c" + i, node, address, seen, seed * CLIENTS + i);
            clients.add(c);
            daemon(c).start();
        }
        double end = seen.now() + seconds * 1000;
        while (seen.now() < end) {
            TimeUnit.MILLISECONDS.sleep(300 + random.nextInt(1500));
            if (crowded) {
                crowd(address);
            }
            if (heldUp) {
                holdUp();
            }
            event();
        }
        clients.forEach(KeepAliveClient::stop);
        TimeUnit.MILLISECONDS.sleep(LAST_ENDS_MS);
        platform.notices()
                .forEach((id, n) -> seen.notices.add(new Notice(
                        id, n.outcome().equals("handed_back"), seen.now() - (System.nanoTime() - n.atNs()) / 1e6)));
        List<String> verdicts = new Judge(seen, WINDOW_MS, GRACE_MS).verdicts();
        if (!verdicts.isEmpty()) {
            seen.inOrder().forEach(r -> System.out.println("  " + r));
        }
        seen.unanswered.forEach(u -> System.out.println("  " + u));
        close(clock);
        if (verdicts.isEmpty() && seen.unanswered.isEmpty()) {
            delete(folder);
        } else {
            LocalTime origin = LocalTime.now(ZoneId.systemDefault()).minusNanos((long) (seen.now() * 1e6));
            System.out.println("  seed " + seed + ": 0 ms is " + origin + " in " + trace);
        }
        int taken = (int) seen.handIns.stream().filter(h -> h.status() == 202).count();
        return new Result(
                seed,
                verdicts,
                seen.handIns.size(),
                taken,
                seen.unanswered.size(),
                seen.calls.size(),
                seen.notices.size(),
                seen.restarts.size());
    }

    private static Thread daemon(Runnable r) {
        Thread t = new Thread(r, "restarts");
        t.setDaemon(true);
        return t;
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path p : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(p);
            }
        }
    }

    private void close(ScheduledExecutorService clock) throws Exception {
        node.kill();
        clock.shutdownNow();
        platform.close();
        partners.close();
        for (Socket s : crowd) {
            s.close();
        }
    }

    private void event() throws Exception {
        switch (random.nextInt(8)) {
            case 0 -> move();
            case 1 -> {
                move();
                TimeUnit.MILLISECONDS.sleep(random.nextInt(50));
                move();
            }
            case 2 -> end(true, false);
            case 3 -> end(false, false);
            case 4 -> {
                move();
                end(true, false);
            }
            case 5 -> end(true, true);
            case 6 -> {
                end(false, false);
                TimeUnit.MILLISECONDS.sleep(random.nextInt(200));
                end(random.nextBoolean(), false);
            }
            default -> drain();
        }
    }

    private void move() throws Exception {
        platform.move();
        node.discovery(platform.hostPort());
        node.hangUp();
        lastMove = seen.now();
        if (node.ended(0)) {
            seen.faults.add(new Fault("D1", "ended by a new configuration"));
        }
    }

    /** Ends it by SIGTERM, once or twice, or by SIGKILL; SIGKILL follows at its earliest, and a start behind that. */
    private void end(boolean told, boolean twice) throws Exception {
        if (node.ended(0)) {
            seen.faults.add(new Fault("D1", "ended by itself: " + node.lines()));
        }
        double first = seen.now();
        if (told) {
            node.terminate();
            if (twice) {
                TimeUnit.MILLISECONDS.sleep(random.nextInt(400));
                node.terminate();
            }
            node.ended((long) (first + KILL_MS - seen.now()));
        }
        double endedByItself = seen.now();
        boolean there = !node.ended(0);
        if (!there && !IN_ORDER.contains(node.status())) {
            seen.faults.add(new Fault("P57", "ended with status " + node.status() + " when it was told to"));
        }
        node.kill();
        double ended = there ? seen.now() : endedByItself; // a kill takes its time where cores are busy
        TimeUnit.MILLISECONDS.sleep(DOWN_MS);
        node.known(partners.list());
        double launched = seen.now();
        node.start();
        seen.restarts.add(new Restart(told, first, ended, launched, seen.now()));
    }

    private void drain() throws IOException {
        String[] change = partners.drain();
        platform.change(partners.list(), change[1]);
        seen.drained.add(new Drained(change[0], Math.max(seen.now(), lastMove + MOVED_MS)));
    }

    private void holdUp() throws Exception {
        node.signal("STOP");
        TimeUnit.MILLISECONDS.sleep(HELD_UP_MS);
        node.signal("CONT");
    }

    /** Idle clients fill what the relay may hold; those that it has closed come again. */
    private void crowd(InetSocketAddress address) throws IOException {
        for (Socket s : crowd) {
            s.close();
        }
        crowd.clear();
        for (int i = 0; i < CROWD; i++) {
            Socket s = new Socket();
            try {
                s.connect(address, 100);
                crowd.add(s);
            } catch (IOException e) {
                s.close();
            }
        }
    }
}
