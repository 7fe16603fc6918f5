package firstair.relay;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.control.Control;
import firstair.control.Controller;
import firstair.control.Controller.ListUpdate;
import firstair.kit.run.Node;
import firstair.kit.standin.StandIn;
import firstair.relay.discovery.EndpointListWatch;
import firstair.relay.discovery.Zones;
import firstair.relay.net.Dialer;
import firstair.relay.net.HttpConnection;
import firstair.relay.net.NetworkTransport;
import firstair.relay.standin.Await;
import firstair.relay.standin.FaultyDialer;
import firstair.relay.standin.LoopThread;
import firstair.relay.standin.StandInPlatform;
import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.ReentrantLock;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** A relay knows the list within six seconds of discovery being reachable, however single calls to it fail. */
@Timeout(value = 90, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ListClockTest {
    private static final double KNOWN_MS = 6000; // after discovery can be reached
    private static final double MOVED_MS = 4000; // after SIGHUP with a new address of discovery
    private static final double LATE_CONNECT_MS = 1500;
    private static final double LATE_REFUSAL_MS = 980;
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final Limits LIMITS = Limits.of(0, 0, 64_000_000, 0, 0, 0);

    @TempDir
    private Path folder;

    /** The longest pause, in ms, that the controller makes after any of 12 failures in a row, over 100 seeds. */
    private static double longestPause(ListUpdate failure, boolean ask, double askEveryMs) {
        double longest = 0;
        for (int seed = 0; seed < 100; seed++) {
            int[] watchCalls = new int[1];
            Controller.Actions actions = (Controller.Actions) Proxy.newProxyInstance(
                    ListClockTest.class.getClassLoader(),
                    new Class<?>[] {Controller.Actions.class},
                    (proxy, method, arguments) -> {
                        watchCalls[0] += method.getName().equals("watchList") ? 1 : 0;
                        return null;
                    });
            Controller controller = new Control(
                    new Controller.Settings(
                            2,
                            0,
                            0,
                            ask,
                            Controller.Weight.NONE,
                            true,
                            Controller.LateCurve.LINEAR,
                            List.of(),
                            List.of(),
                            new Controller.Limits(16, 100, 12, false, false, false, true, 3000, false, 1, 1000, 10_000),
                            new Controller.Rules(20, askEveryMs, 1000, 0.25, 10_000, 1.5, 2000, 500)),
                    seed,
                    actions);
            double nowMs = 1000;
            for (int count = 0; count < 12; count++) {
                double failedMs = nowMs;
                int before = watchCalls[0];
                controller.list(nowMs, failure, List.of());
                for (; watchCalls[0] == before; nowMs += 1) {
                    controller.timer(nowMs);
                    controller.decide(nowMs);
                }
                longest = Math.max(longest, nowMs - 1 - failedMs);
            }
        }
        return longest;
    }

    /** Checks the sums in docs/relay.md. */
    @ParameterizedTest
    @CsvSource({"true,10000", "false,0", "false,10000", "true,0", "true,3000"})
    void theSumsOfTimeoutsAndPausesStayBelowSixSeconds(boolean ask, double askEveryMs) {
        double pause = longestPause(ListUpdate.FAILED, ask, askEveryMs);
        double shortPause = longestPause(ListUpdate.OVERDUE, ask, askEveryMs);
        // Whichever way it fails.
        double failedCall = Math.max(LIMITS.parallelListCallMs() + shortPause, LIMITS.parallelListCallMs() / 2 + pause);
        double silence = LIMITS.listSilenceMs() + LIMITS.sweepMs();
        assertThat(LATE_REFUSAL_MS).isLessThan(LIMITS.parallelListCallMs());
        // A call that may still be answered is not given up.
        assertThat(LATE_CONNECT_MS + LATE_REFUSAL_MS).isLessThan(LIMITS.listAnswerMs());
        assertThat(silence + 2 * failedCall)
                .as("a silent watch and two failed calls")
                .isLessThan(KNOWN_MS - 300);
        assertThat(silence + failedCall + LATE_CONNECT_MS)
                .as("a silent watch, a failed call, a late one")
                .isLessThan(KNOWN_MS - 300);
        assertThat(silence + 3 * failedCall)
                .as("a silent watch and three failed calls")
                .isLessThan(KNOWN_MS - 200);
        assertThat(2 * silence + failedCall)
                .as("a silent watch, a failed call, a response with no body")
                .isLessThan(KNOWN_MS - 150);
        assertThat(2 * silence).as("two silent watches").isLessThan(KNOWN_MS - 600);
        assertThat(pause + 3 * failedCall).as("a pause and three failed calls").isLessThan(KNOWN_MS - 900);
        assertThat(pause + 2 * failedCall + LATE_CONNECT_MS)
                .as("a pause, two failed calls, a late one")
                .isLessThan(KNOWN_MS - 900);
        assertThat(2 * failedCall).as("a SIGHUP and two failed calls").isLessThan(MOVED_MS - 900);
    }

    /** Lets each call follow the next step of a scenario, either here or, by a header, in {@link #discover}. */
    private static Dialer faultyDialer(
            NetworkTransport wire, Loop loop, Queue<String> steps, AtomicLong startNs, Queue<String> timeline) {
        return (address, maxBody, request, exchange, closedIdle) -> {
            String next = steps.poll();
            String step = next == null ? "list" : next;
            startNs.compareAndSet(0, System.nanoTime());
            timeline.add(Math.round((System.nanoTime() - startNs.get()) / 1e6) + " " + step);
            byte[] marked = new String(request, StandardCharsets.US_ASCII)
                    .replace("Host:", "Step: " + step + "\r\nHost:")
                    .getBytes(StandardCharsets.US_ASCII);
            if (step.equals("never")) {
                return FaultyDialer.silentLink();
            }
            if (!step.equals("late")) {
                return wire.open(address, maxBody, marked, exchange, closedIdle);
            }
            HttpConnection[] link = {FaultyDialer.silentLink()};
            AtomicBoolean closed = new AtomicBoolean();
            loop.after(LATE_CONNECT_MS, () -> {
                if (!closed.get()) {
                    link[0] = wire.open(address, maxBody, marked, exchange, closedIdle);
                }
            });
            return new HttpConnection() {
                @Override
                public boolean send(byte[] request, Exchange exchange) {
                    return false;
                }

                @Override
                public boolean idle() {
                    return false;
                }

                @Override
                public boolean keepIdle() {
                    return false;
                }

                @Override
                public boolean connecting() {
                    return link[0].connecting();
                }

                @Override
                public boolean abandon() {
                    closed.set(true);
                    return link[0].abandon();
                }

                @Override
                public boolean halt() {
                    return false;
                }
            };
        };
    }

    private static void write(StandIn.Request request, String text) throws IOException {
        request.write(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.getBytes(StandardCharsets.UTF_8).length) + "\r\n" + text + "\r\n";
    }

    private static void pause(double ms) throws IOException {
        try {
            TimeUnit.MICROSECONDS.sleep((long) (ms * 1000));
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    /** Answers a call as discovery, by the step in its header. */
    private static void discover(StandIn.Request request, AtomicLong silentSinceNs) throws IOException {
        switch (String.valueOf(request.header("step"))) {
            case "object" -> {
                silentSinceNs.set(System.nanoTime());
                write(request, HEAD + chunk(StandInPlatform.list(2, true, "s1 7 127.0.0.1:1")));
            }
            case "head" -> write(request, HEAD);
            case "half" -> write(request, HEAD + chunk("{\"version\":3,"));
            case "drip" -> {
                write(request, HEAD + chunk("{\"version\":3,\"x\":\""));
                while (true) { // until the relay closes
                    write(request, chunk("x"));
                    pause(100);
                }
            }
            case "refuse" -> request.answer(503);
            case "endless" -> {
                write(request, "HTTP/1.1 503 x\r\nContent-Length: 1000000000\r\n\r\n");
                while (true) {
                    write(request, "x".repeat(1000));
                    pause(10);
                }
            }
            case "slow" -> {
                pause(LATE_REFUSAL_MS);
                request.answer(503);
            }
            case "reset" -> request.reset();
            case "fin" -> {
                write(request, HEAD);
                request.socket().close();
            }
            case "pieces" -> {
                for (String piece : HEAD.split("(?<=0)|(?<=\r\n)")) {
                    write(request, piece);
                    pause(20);
                }
                write(request, chunk(StandInPlatform.list(4, true, "s1 7 127.0.0.1:1")));
            }
            case "long" -> { // neither chunked nor with a length: ends with the connection
                write(request, "HTTP/1.1 200 OK\r\n\r\n" + StandInPlatform.list(4, true, "s1 7 127.0.0.1:1"));
            }
            case "nothing" -> {}
            default -> write(request, HEAD + chunk(StandInPlatform.list(4, true, "s1 7 127.0.0.1:1")));
        }
    }

    /**
     * Runs each scenario with the longest pauses that the controller makes, timed from the worst moment. Those that are
     * too late run a second time, as a machine that is short of cores may delay them; a wrong decision is late again.
     */
    @Test
    void theListArrivesInTimeHoweverCallsFail() throws Exception {
        Map<ListUpdate, Double> pauses = new EnumMap<>(ListUpdate.class);
        for (ListUpdate failure : List.of(ListUpdate.FAILED, ListUpdate.OVERDUE)) {
            pauses.put(failure, Math.max(longestPause(failure, true, 10_000), longestPause(failure, false, 0)));
        }
        List<String> scenarios = List.of(
                // a watch falls silent, and a change that it misses must be known from then on
                "object",
                "object nothing",
                "object head",
                "object half",
                "object refuse refuse",
                "object reset reset",
                "half half",
                "object nothing nothing",
                "object never never",
                "object slow slow",
                "object half half",
                "object never late",
                "object slow late",
                "object late",
                "object half nothing",
                "object reset never",
                "object nothing slow",
                "object slow nothing",
                "object fin fin",
                "object drip nothing",
                "object endless never",
                "object nothing pieces",
                "object slow long",
                "object nothing nothing nothing",
                "object never never never",
                "object slow slow slow",
                "object reset reset reset",
                "object half slow never",
                "object nothing head",
                "object slow head",
                "object refuse head",
                // discovery can be reached again just after a call has been refused, or has begun
                "refuse slow slow slow",
                "refuse nothing nothing nothing",
                "refuse never slow half",
                "refuse never nothing late",
                "refuse drip drip late",
                "nothing nothing late",
                "never never late",
                "late never late",
                "reset endless reset never",
                "refuse never head");
        List<String> late = runScenarios(scenarios, pauses);
        System.out.println(late.size() + " run a second time: " + late);
        assertThat(runScenarios(
                        late.stream().map(line -> line.replaceAll(":.*", "")).toList(), pauses))
                .isEmpty();
    }

    /** Runs the scenarios in parallel; returns those that were too late, with the calls that were made. */
    private static List<String> runScenarios(List<String> scenarios, Map<ListUpdate, Double> pauses) throws Exception {
        Map<String, Double> tookMs = new ConcurrentHashMap<>();
        Map<String, Queue<String>> timelines = new ConcurrentHashMap<>();
        List<StandIn> servers = new ArrayList<>();
        NetworkTransport wire = new NetworkTransport(LIMITS);
        Loop loop = LoopThread.start(() -> {});
        for (String scenario : scenarios) {
            AtomicLong startNs = new AtomicLong();
            StandIn server = new StandIn(request -> discover(request, startNs));
            servers.add(server);
            Queue<String> steps = new ConcurrentLinkedQueue<>(List.of(scenario.split(" ")));
            Queue<String> timeline = new ConcurrentLinkedQueue<>(); // times of the calls and their steps
            timelines.put(scenario, timeline);
            EndpointListWatch[] watch = new EndpointListWatch[1];
            watch[0] = new EndpointListWatch(
                    faultyDialer(wire, loop, steps, startNs, timeline),
                    LIMITS,
                    loop,
                    server.address(),
                    List.of("one"),
                    new Zones(List.of("z")),
                    scenario.startsWith("half") ? -1 : 1,
                    (update, listed) -> {
                        if (pauses.containsKey(update)) {
                            loop.after(pauses.get(update), watch[0]::listen);
                        } else if (listed.version() == 4) {
                            tookMs.putIfAbsent(scenario, (System.nanoTime() - startNs.get()) / 1e6);
                        }
                    });
            loop.post(watch[0]::listen);
        }
        try {
            Await.until("all lists", () -> tookMs.size() == scenarios.size());
            return scenarios.stream()
                    .filter(scenario -> tookMs.get(scenario) >= KNOWN_MS)
                    .map(scenario ->
                            scenario + ": " + timelines.get(scenario) + ", known after " + tookMs.get(scenario))
                    .toList();
        } finally {
            loop.end();
            wire.close();
            for (StandIn server : servers) {
                server.close();
            }
        }
    }

    /** While discovery hangs, few calls are in progress at a time; once one is answered, the others are closed. */
    @Test
    void whileDiscoveryHangsFewCallsAreInProgressAndAfterwardsOne() throws Exception {
        AtomicBoolean answering = new AtomicBoolean();
        AtomicInteger maxOpen = new AtomicInteger();
        StandIn[] server = new StandIn[1];
        server[0] = new StandIn(request -> {
            maxOpen.accumulateAndGet(server[0].openCount(), Math::max);
            if (answering.get()) {
                write(request, HEAD + chunk(StandInPlatform.list(4, true, "s1 7 127.0.0.1:1")));
            }
        });
        NetworkTransport wire = new NetworkTransport(LIMITS);
        Loop loop = LoopThread.start(() -> {});
        BlockingQueue<ListUpdate> updates = new LinkedBlockingQueue<>();
        EndpointListWatch[] watch = new EndpointListWatch[1];
        watch[0] = new EndpointListWatch(
                wire,
                LIMITS,
                loop,
                server[0].address(),
                List.of("one"),
                new Zones(List.of("z")),
                1,
                (update, listed) -> {
                    updates.add(update);
                    if (update == ListUpdate.FAILED || update == ListUpdate.OVERDUE) {
                        loop.after(300, watch[0]::listen);
                    }
                });
        loop.post(watch[0]::listen);
        try {
            Await.until("six calls", () -> server[0].acceptedCount() >= 6);
            answering.set(true);
            Await.until("the list", () -> updates.contains(ListUpdate.COMPLETE));
            loop.post(watch[0]::listen); // as after an earlier failure; the watch in progress makes it superfluous
            Await.until("one watch", () -> server[0].openCount() == 1);
            int calls = server[0].acceptedCount();
            BlockingQueue<Boolean> current = new LinkedBlockingQueue<>();
            loop.post(() -> loop.post(() -> current.add(watch[0].current())));
            assertThat(current.take()).isTrue();
            assertThat(server[0].acceptedCount()).isEqualTo(calls);
            assertThat(maxOpen.get()).isLessThanOrEqualTo(3);
        } finally {
            loop.end();
            wire.close();
            server[0].close();
        }
    }

    /** Discovery answers one call at a time, and refuses those that waited for 1 s: 100 relays must not overload it. */
    @ParameterizedTest
    @ValueSource(strings = {"refuses", "hangs"})
    void afterAnOutageDiscoveryServesAHundredRelaysInTime(String outage) throws Exception {
        int relays = 100;
        long seed = System.nanoTime();
        System.out.println("seed " + seed);
        Random random = new Random(seed);
        AtomicLong backNs = new AtomicLong();
        AtomicInteger callsSinceBack = new AtomicInteger();
        ReentrantLock oneAtATime = new ReentrantLock(true);
        StandIn server = new StandIn(request -> {
            if (backNs.get() == 0) {
                if (outage.equals("refuses")) {
                    request.answer(503);
                }
                return;
            }
            callsSinceBack.incrementAndGet();
            try {
                if (!oneAtATime.tryLock(1, TimeUnit.SECONDS)) {
                    request.answer(503);
                    return;
                }
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            try {
                pause(20);
                write(request, HEAD + chunk(StandInPlatform.list(4, true, "s1 7 127.0.0.1:1")));
            } finally {
                oneAtATime.unlock();
            }
        });
        NetworkTransport wire = new NetworkTransport(LIMITS);
        Loop loop = LoopThread.start(() -> {});
        Map<Integer, Double> knownMs = new ConcurrentHashMap<>();
        Set<Integer> failed = ConcurrentHashMap.newKeySet();
        loop.post(() -> {
            for (int i = 0; i < relays; i++) {
                int relay = i;
                EndpointListWatch[] watch = new EndpointListWatch[1];
                watch[0] = new EndpointListWatch(
                        wire,
                        LIMITS,
                        loop,
                        server.address(),
                        List.of("one"),
                        new Zones(List.of("z")),
                        1,
                        (update, listed) -> {
                            if (update == ListUpdate.FAILED || update == ListUpdate.OVERDUE) {
                                failed.add(relay);
                                loop.after(300 + random.nextInt(200), watch[0]::listen);
                            } else {
                                knownMs.putIfAbsent(relay, (System.nanoTime() - backNs.get()) / 1e6);
                            }
                        });
                watch[0].listen();
            }
        });
        try {
            Await.until("a failure of each relay", () -> failed.size() == relays);
            backNs.set(System.nanoTime());
            Await.until("all lists", () -> knownMs.size() == relays);
            assertThat(knownMs.values()).allSatisfy(ms -> assertThat(ms).isLessThan(KNOWN_MS));
            assertThat(callsSinceBack.get()).as("calls since discovery is back").isLessThan(4 * relays);
        } finally {
            loop.end();
            wire.close();
            server.close();
        }
    }

    /** The log does not report every loss of a list that is lost and found again many times. */
    @Test
    void aListThatIsLostRepeatedlyIsLoggedOnceAMinute() throws Exception {
        List<String> lines = new ArrayList<>();
        Handler handler = new Handler() {
            @Override
            public synchronized void publish(LogRecord record) {
                lines.add(record.getMessage());
            }

            @Override
            public void flush() {}

            @Override
            public void close() {}
        };
        Logger log = Logger.getLogger(EndpointListWatch.class.getName());
        log.addHandler(handler);
        StandIn server = new StandIn(request -> {
            write(request, HEAD + chunk(StandInPlatform.list(4, true, "s1 7 127.0.0.1:1")));
            request.socket().close();
        });
        NetworkTransport wire = new NetworkTransport(LIMITS);
        Loop loop = LoopThread.start(() -> {});
        EndpointListWatch[] watch = new EndpointListWatch[1];
        watch[0] = new EndpointListWatch(
                wire, LIMITS, loop, server.address(), List.of("one"), new Zones(List.of("z")), 1, (update, listed) -> {
                    if (update == ListUpdate.FAILED || update == ListUpdate.OVERDUE) {
                        loop.post(watch[0]::listen);
                    }
                });
        loop.post(watch[0]::listen);
        try {
            Await.until("many watches", () -> server.acceptedCount() > 50);
            assertThat(lines).filteredOn(line -> line.startsWith("list lost")).hasSize(1);
            assertThat(lines)
                    .filteredOn(line -> line.startsWith("list found again"))
                    .hasSizeLessThanOrEqualTo(1);
        } finally {
            log.removeHandler(handler);
            loop.end();
            wire.close();
            server.close();
        }
    }

    /** A watch that ends as soon as it begins, with or without a list, is repeated after a pause each time. */
    @ParameterizedTest
    @ValueSource(strings = {"fin", "object"})
    void aWatchThatEndsAtOnceIsNotRepeatedInATightLoop(String response) throws Exception {
        BlockingQueue<Long> calls = new LinkedBlockingQueue<>();
        try (StandIn server = new StandIn(request -> {
            calls.add(System.nanoTime());
            write(
                    request,
                    HEAD + (response.equals("fin") ? "" : chunk(StandInPlatform.list(4, true, "s1 7 127.0.0.1:1"))));
            request.socket().close();
        })) {
            Node node = new Node(folder, server.hostPort(), StandInPlatform.list(1, true, "s1 7 127.0.0.1:1"));
            node.start();
            try {
                long firstNs = calls.take();
                for (int i = 0; i < 6; i++) {
                    firstNs = i == 0 ? calls.take() : firstNs; // the first two calls may belong to the start
                    if (i > 0) {
                        calls.take();
                    }
                }
                assertThat((System.nanoTime() - firstNs) / 1e6).isGreaterThan(5 * 300 - 50);
            } finally {
                node.kill();
            }
        }
    }

    /** Discovery moves twice while calls to the old addresses hang: the list of the last one is known in time. */
    @Test
    void afterSighupsTheLastAddressIsWatchedInTimeWhileOldCallsHang() throws Exception {
        BlockingQueue<Long> hung = new LinkedBlockingQueue<>();
        try (StandIn old = new StandIn(request -> hung.add(System.nanoTime()));
                StandIn between = new StandIn(request -> hung.add(System.nanoTime()));
                StandInPlatform last = new StandInPlatform(StandInPlatform.list(7, true, "s1 7 127.0.0.1:1"))) {
            Node node = new Node(folder, old.hostPort(), StandInPlatform.list(1, true, "s1 7 127.0.0.1:1"));
            node.start();
            try {
                hung.take();
                node.discovery(between.hostPort());
                node.writeAndSendSighup();
                node.awaitLine("discovery at " + between.hostPort());
                Await.until("a call to the second address", () -> between.acceptedCount() > 0);
                node.discovery(last.hostPort());
                long startNs = System.nanoTime();
                node.writeAndSendSighup();
                node.writeAndSendSighup(); // once more without a change
                Await.until("a watch", last::watched);
                assertThat((System.nanoTime() - startNs) / 1e6).isLessThan(MOVED_MS - 2000);
                node.awaitLine("discovery at " + last.hostPort());
                Await.until("one call", () -> last.openCount() == 1);
                Await.until("none at the old addresses", () -> old.openCount() + between.openCount() == 0);
                assertThat(last.acceptedCount()).isEqualTo(1);
            } finally {
                node.kill();
            }
        }
    }

    private static long pidOfNewestChild() {
        return ProcessHandle.current()
                .children()
                .filter(ProcessHandle::isAlive)
                .max(Comparator.comparing(p -> p.info().startInstant().orElseThrow()))
                .orElseThrow()
                .pid();
    }

    /** Silent clients use up all connections for clients, and more arrive all the time: the watch still gets one. */
    @Test
    void clientsThatFillTheDescriptorsWhileDiscoveryIsDownDoNotKeepTheListAway() throws Exception {
        int sockets = 96;
        String known = StandInPlatform.list(1, true, "s1 7 127.0.0.1:1");
        try (StandInPlatform platform = new StandInPlatform(known)) {
            platform.setDown(true);
            Node node = new Node(folder, platform.hostPort(), known);
            node.sockets(sockets);
            node.start();
            AtomicBoolean stopped = new AtomicBoolean();
            List<Socket> idle = new ArrayList<>();
            InetSocketAddress address = node.address();
            Thread connecting = new Thread(() -> {
                while (!stopped.get()) {
                    try {
                        Socket socket = new Socket();
                        idle.add(socket);
                        socket.connect(address);
                        if (idle.size() % 3 == 0) {
                            socket.getOutputStream()
                                    .write("POST /api HTTP/1.1\r\n".getBytes(StandardCharsets.US_ASCII));
                        }
                        if (idle.size() > 400) {
                            idle.remove(0).close();
                        }
                    } catch (IOException e) {
                        // closed by the relay
                    }
                }
            });
            connecting.setDaemon(true);
            int maxDescriptors = 0;
            try {
                if (Files.isExecutable(Path.of("/usr/bin/prlimit"))) { // the limit of the system as well
                    assertThat(new ProcessBuilder(
                                            "/usr/bin/prlimit",
                                            "--pid",
                                            String.valueOf(pidOfNewestChild()),
                                            "--nofile=" + sockets + ":" + sockets)
                                    .inheritIO()
                                    .start()
                                    .waitFor())
                            .isZero();
                }
                connecting.start();
                for (int i = 0; i < 300; i++) {
                    maxDescriptors = Math.max(maxDescriptors, node.descriptors());
                    TimeUnit.MILLISECONDS.sleep(5);
                }
                platform.setList(StandInPlatform.list(2, true, "s1 7 127.0.0.1:1", "s2 9 127.0.0.1:1"));
                platform.setDown(false);
                long startNs = System.nanoTime();
                Await.until("a watch", platform::watched);
                assertThat((System.nanoTime() - startNs) / 1e6).isLessThan(KNOWN_MS / 3);
                node.awaitLine("list found again, version 2");
                maxDescriptors = Math.max(maxDescriptors, node.descriptors());
            } finally {
                stopped.set(true);
                node.kill();
                connecting.join();
                for (Socket socket : idle) {
                    socket.close();
                }
            }
            int maxClients = Limits.of(sockets, 0, 64_000_000, 0, 0, 0).maxClients();
            assertThat(maxDescriptors)
                    .as("descriptors, with all clients that are allowed")
                    .isBetween(maxClients + 10, sockets - 1);
        }
    }

    /** An object that is too long for a list ends the call before it fills the heap, however small that is. */
    @Test
    void anObjectOfManyMegabytesIsRejectedOnASmallHeap() throws Exception {
        String list = StandInPlatform.list(2, true, "s1 7 127.0.0.1:1");
        String entry = list.substring(list.indexOf('[') + 1, list.indexOf(']'));
        StringBuilder object = new StringBuilder("{\"version\":2,\"full\":true,\"servers\":[").append(entry);
        while (object.length() < 4_000_000) {
            object.append(',').append(entry.replace("s1", "s" + object.length()));
        }
        String response = HEAD + chunk(object + "]}");
        BlockingQueue<StandIn.Request> calls = new LinkedBlockingQueue<>();
        try (StandIn server = new StandIn(request -> {
            calls.add(request);
            write(request, response);
        })) {
            Node node = new Node(folder, server.hostPort(), StandInPlatform.list(1, true, "s1 7 127.0.0.1:1"));
            node.config(Files.readString(node.write()).replace("\"memory_mb\":192", "\"memory_mb\":112"));
            node.start();
            try {
                node.awaitLine("list lost: an object is too long");
                for (int i = 0; i < 4; i++) {
                    calls.take();
                }
                assertThat(node.get("/-/ready")).startsWith("HTTP/1.1 200");
                assertThat(node.logLines())
                        .filteredOn(line -> line.contains("list lost"))
                        .hasSize(1);
            } finally {
                node.kill();
            }
        }
    }
}
