package firstair.kit.soak;

import firstair.kit.run.LoopbackPorts;
import firstair.kit.run.Node;
import firstair.kit.soak.Observations.Drained;
import firstair.kit.soak.Observations.Notice;
import firstair.kit.soak.Observations.Restart;
import firstair.kit.soak.Observations.Violation;
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
 * Runs one relay with clients that reuse their connections, while the relay is terminated, killed, restarted and given
 * new configurations in a random sequence by a seed. In some runs many idle clients connect as well, in some the
 * process is suspended for 0.15 s from time to time. {@link RuleChecker} reports which rules were violated.
 */
final class RestartSoak {
    private static final double WINDOW_MS = 2000; // repeatWindow of the messages' classes
    private static final double GRACE_MS = 1000; // drainGrace in Node's configuration
    private static final int CLIENTS = 8;
    private static final int KILL_MS = 3700; // after SIGTERM
    private static final int DOWN_MS = 600;
    private static final int SUSPENDED_MS = 150;
    private static final int MOVED_MS = 4000; // until a relay must follow a move of the platform
    private static final int LAST_ENDS_MS = 6000; // after the last message
    private static final Set<Integer> EXPECTED_STATUSES = Set.of(0, 128 + 15); // a normal exit, or by SIGTERM
    private static final int IDLE_CLIENTS = 150;
    private static final int IDLE_CLIENTS_SOCKETS = 256;

    /**
     * The result of one run.
     *
     * @param violations one line each
     * @param accepted   submissions answered with 202
     */
    record Result(
            long seed,
            List<String> violations,
            int submissions,
            int accepted,
            int unanswered,
            int calls,
            int notices,
            int restarts) {
        /** One line of the report. */
        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT,
                    "seed %d: %s, %d hand-ins, %d taken, %d without an answer in 400 ms, %d calls, %d notices,"
                            + " %d restarts",
                    seed,
                    violations.isEmpty() ? "kept" : "BROKEN",
                    submissions,
                    accepted,
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
    private final List<Socket> idleClients = new ArrayList<>();
    private Node node;
    private MovingPlatform platform;
    private SoakEndpoints endpoints;
    private double lastMoveMs = Double.NEGATIVE_INFINITY;

    RestartSoak(long seed, double seconds) {
        this.seed = seed;
        this.seconds = seconds;
        this.random = new Random(seed);
    }

    Result run() throws Exception {
        Path folder = Files.createTempDirectory("firstair-restarts");
        ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(2, RestartSoak::daemon);
        boolean withIdleClients = seed % 4 == 0;
        boolean withSuspensions = seed % 3 == 0;
        endpoints = new SoakEndpoints(seen, seed);
        platform = new MovingPlatform(endpoints.list(), seed, true, scheduler);
        InetSocketAddress address = LoopbackPorts.shared().next();
        node = new Node(folder, platform.hostPort(), endpoints.list());
        node.listen("127.0.0.1:" + address.getPort());
        node.editConfig(text -> text.replace("\"repeatWindow\":30000.0", "\"repeatWindow\":" + WINDOW_MS));
        if (withIdleClients) {
            node.sockets(IDLE_CLIENTS_SOCKETS);
        }
        Path trace = folder.resolve("trace.log");
        node.trace(trace);
        node.start();
        List<KeepAliveClient> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            KeepAliveClient client = new KeepAliveClient("s" + seed + "c" + i, node, address, seen, seed * CLIENTS + i);
            clients.add(client);
            daemon(client).start();
        }
        double endMs = seen.now() + seconds * 1000;
        while (seen.now() < endMs) {
            TimeUnit.MILLISECONDS.sleep(300 + random.nextInt(1500));
            if (withIdleClients) {
                connectIdleClients(address);
            }
            if (withSuspensions) {
                suspend();
            }
            randomEvent();
        }
        clients.forEach(KeepAliveClient::stop);
        TimeUnit.MILLISECONDS.sleep(LAST_ENDS_MS);
        platform.notices()
                .forEach((id, notice) -> seen.notices.add(new Notice(
                        id,
                        notice.outcome().equals("handed_back"),
                        seen.now() - (System.nanoTime() - notice.atNs()) / 1e6)));
        List<String> violations = new RuleChecker(seen, WINDOW_MS, GRACE_MS).violations();
        if (!violations.isEmpty()) {
            seen.restartsInOrder().forEach(restart -> System.out.println("  " + restart));
        }
        seen.unanswered.forEach(unanswered -> System.out.println("  " + unanswered));
        close(scheduler);
        if (violations.isEmpty() && seen.unanswered.isEmpty()) {
            delete(folder);
        } else {
            LocalTime start = LocalTime.now(ZoneId.systemDefault()).minusNanos((long) (seen.now() * 1e6));
            System.out.println("  seed " + seed + ": 0 ms is " + start + " in " + trace);
        }
        int accepted = (int) seen.submissions.stream()
                .filter(submission -> submission.status() == 202)
                .count();
        return new Result(
                seed,
                violations,
                seen.submissions.size(),
                accepted,
                seen.unanswered.size(),
                seen.calls.size(),
                seen.notices.size(),
                seen.restarts.size());
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(task, "restarts");
        thread.setDaemon(true);
        return thread;
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> paths = Files.walk(folder)) {
            for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
    }

    private void close(ScheduledExecutorService scheduler) throws Exception {
        node.kill();
        scheduler.shutdownNow();
        platform.close();
        endpoints.close();
        for (Socket client : idleClients) {
            client.close();
        }
    }

    private void randomEvent() throws Exception {
        switch (random.nextInt(8)) {
            case 0 -> movePlatform();
            case 1 -> {
                movePlatform();
                TimeUnit.MILLISECONDS.sleep(random.nextInt(50));
                movePlatform();
            }
            case 2 -> restart(true, false);
            case 3 -> restart(false, false);
            case 4 -> {
                movePlatform();
                restart(true, false);
            }
            case 5 -> restart(true, true);
            case 6 -> {
                restart(false, false);
                TimeUnit.MILLISECONDS.sleep(random.nextInt(200));
                restart(random.nextBoolean(), false);
            }
            default -> drain();
        }
    }

    private void movePlatform() throws Exception {
        platform.move();
        node.discovery(platform.hostPort());
        node.writeAndSendSighup();
        lastMoveMs = seen.now();
        if (node.awaitExit(0)) {
            seen.violations.add(new Violation("D1", "ended by a new configuration"));
        }
    }

    /**
     * Ends the process and starts the next one.
     *
     * @param terminate sends SIGTERM first, and SIGKILL only after {@link #KILL_MS}
     * @param twice     sends SIGTERM twice
     */
    private void restart(boolean terminate, boolean twice) throws Exception {
        if (node.awaitExit(0)) {
            seen.violations.add(new Violation("D1", "ended by itself: " + node.logLines()));
        }
        double firstMs = seen.now();
        if (terminate) {
            node.terminate();
            if (twice) {
                TimeUnit.MILLISECONDS.sleep(random.nextInt(400));
                node.terminate();
            }
            node.awaitExit((long) (firstMs + KILL_MS - seen.now()));
        }
        double exitedMs = seen.now();
        boolean running = !node.awaitExit(0);
        if (!running && !EXPECTED_STATUSES.contains(node.exitStatus())) {
            seen.violations.add(
                    new Violation("P57", "ended with status " + node.exitStatus() + " when it was told to"));
        }
        node.kill();
        double endedMs = running ? seen.now() : exitedMs; // kill() itself takes long on busy cores
        TimeUnit.MILLISECONDS.sleep(DOWN_MS);
        node.initialList(endpoints.list());
        double launchedMs = seen.now();
        node.start();
        seen.restarts.add(new Restart(terminate, firstMs, endedMs, launchedMs, seen.now()));
    }

    private void drain() throws IOException {
        String[] idAndChange = endpoints.drain();
        platform.updateList(endpoints.list(), idAndChange[1]);
        seen.drained.add(new Drained(idAndChange[0], Math.max(seen.now(), lastMoveMs + MOVED_MS)));
    }

    private void suspend() throws Exception {
        node.signal("STOP");
        TimeUnit.MILLISECONDS.sleep(SUSPENDED_MS);
        node.signal("CONT");
    }

    /** Replaces all idle clients by new ones, which fill the limit of connections again. */
    private void connectIdleClients(InetSocketAddress address) throws IOException {
        for (Socket client : idleClients) {
            client.close();
        }
        idleClients.clear();
        for (int i = 0; i < IDLE_CLIENTS; i++) {
            Socket client = new Socket();
            try {
                client.connect(address, 100);
                idleClients.add(client);
            } catch (IOException e) {
                client.close();
            }
        }
    }
}
