package firstair.kit.soak;

import firstair.kit.run.Node;
import firstair.kit.standin.MovingPlatform;
import firstair.kit.standin.StandIn;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Runs a relay process under a steady load, with a platform that moves at each SIGHUP and whose connections for notices
 * fail, and with endpoints of which some hang, refuse or do not listen. It checks from the outside that each message
 * that was answered with 202 is delivered, or that its notice arrives in time.
 */
final class Soak {
    private static final double NOTICE_MS = 300; // after a message's deadline
    private static final int RESPONSE_TIMEOUT_MS = 400;
    private static final int MAX_LOST_LINES = 20;
    private static final int[] GOOD = {1, 2, 3};
    private static final int HANGS = 11;
    private static final int ABSENT = 12;
    private static final int RETRY_AFTER = 13;
    private static final int FAILS = 14;

    /**
     * The parameters of one run, which the first line of the report shows.
     *
     * @param seconds      for which messages are handed in
     * @param perSecond    messages handed in per second
     * @param hangUpEveryS seconds between two SIGHUPs, each after a move of the platform; 0 for none
     * @param faulty       whether connections for notices fail
     * @param niceness     of the relay's process, from 0 to 19
     * @param burners      threads of this process that keep cores busy
     * @param seed         of all random choices
     */
    record Plan(
            double seconds, int perSecond, double hangUpEveryS, boolean faulty, int niceness, int burners, long seed) {}

    /** A message answered with 202; its final answer is due at this time, on the clock of {@link System#nanoTime}. */
    private record Accepted(long dueNs) {}

    private final Plan plan;
    private final Random random;
    private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(4, Soak::daemon);
    private final ExecutorService clients = Executors.newCachedThreadPool(Soak::daemon);
    private final Map<String, Accepted> pending = new ConcurrentHashMap<>();
    private final Map<String, Long> delivered = new ConcurrentHashMap<>();
    private final ArrayDeque<Socket> idleConnections = new ArrayDeque<>();
    private final AtomicLong accepted = new AtomicLong();
    private final AtomicLong refused = new AtomicLong();
    private final AtomicLong unanswered = new AtomicLong();
    private final AtomicLong endedByDelivery = new AtomicLong();
    private final AtomicLong endedByNotice = new AtomicLong();
    private final AtomicLong lost = new AtomicLong();
    private final AtomicLong withoutEnd = new AtomicLong();
    private volatile double worstNoticeMs = Double.NEGATIVE_INFINITY;
    private Node node;
    private MovingPlatform platform;

    Soak(Plan plan) {
        this.plan = plan;
        this.random = new Random(plan.seed());
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(task, "soak");
        thread.setDaemon(true);
        return thread;
    }

    /** Runs the soak and reports on standard output; returns whether every accepted message had its end in time. */
    boolean run() throws Exception {
        System.out.println("soak " + plan);
        Path folder = Files.createTempDirectory("firstair-soak");
        StandIn good = new StandIn(this::deliver);
        StandIn hangs = new StandIn(request -> {});
        StandIn refuses = new StandIn(request -> request.answer(429, "Retry-After: 0.8"));
        StandIn fails = new StandIn(request -> request.answer(500));
        Socket absentPort = new Socket(); // bound but not listening, so that no other stand-in gets the port
        absentPort.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        String absentAddress = "127.0.0.1:" + absentPort.getLocalPort();
        List<String> entries = new ArrayList<>();
        for (int destination : GOOD) {
            entries.add(entry("good" + destination, destination, good.hostPort()));
        }
        entries.add(entry("hangs", HANGS, hangs.hostPort()));
        entries.add(entry("absent", ABSENT, absentAddress));
        entries.add(entry("waits", RETRY_AFTER, refuses.hostPort()));
        entries.add(entry("fails", FAILS, fails.hostPort()));
        String list = "{\"version\":7,\"full\":true,\"servers\":[" + String.join(",", entries) + "]}";
        platform = new MovingPlatform(list, plan.seed(), plan.faulty(), scheduler);
        node = new Node(folder, platform.hostPort(), list);
        node.niceness(plan.niceness());
        node.start();
        for (int i = 0; i < plan.burners(); i++) {
            daemon(Soak::burn).start();
        }
        long startNs = System.nanoTime();
        long endNs = startNs + (long) (plan.seconds() * 1e9);
        if (plan.hangUpEveryS() > 0) {
            long sighupIntervalNs = (long) (plan.hangUpEveryS() * 1e9);
            scheduler.scheduleAtFixedRate(this::movePlatform, sighupIntervalNs, sighupIntervalNs, TimeUnit.NANOSECONDS);
        }
        scheduler.scheduleAtFixedRate(() -> checkEnds(false), 100, 100, TimeUnit.MILLISECONDS);
        scheduler.scheduleAtFixedRate(() -> printState(startNs), 10, 10, TimeUnit.SECONDS);
        long intervalNs = (long) (1e9 / plan.perSecond());
        long number = 0;
        for (long dueNs = startNs; dueNs < endNs; dueNs += intervalNs) {
            long waitNs = dueNs - System.nanoTime();
            if (waitNs > 0) {
                TimeUnit.NANOSECONDS.sleep(waitNs);
            }
            handInRandom("m" + plan.seed() + "-" + number++);
        }
        TimeUnit.SECONDS.sleep(5); // longer than the longest deadline
        scheduler.shutdownNow();
        scheduler.awaitTermination(1, TimeUnit.SECONDS);
        checkEnds(true);
        printState(startNs);
        Map<String, Integer> logged = new TreeMap<>();
        for (String line : node.logLines()) {
            if (line.contains("SEVERE") || line.contains("fault") || line.contains("WARNING")) {
                logged.merge(line.replaceAll("^\\S+ ", "").replaceAll("\\d+", "N"), 1, Integer::sum);
            }
        }
        logged.forEach((line, count) -> System.out.println("  log, " + count + " times: " + line));
        System.out.println("  connections for notices: " + platform.faultCounts());
        node.kill();
        absentPort.close();
        boolean rulesKept = lost.get() == 0 && withoutEnd.get() == 0 && accepted.get() > 0;
        System.out.printf(
                Locale.ROOT,
                "%s: taken %d, delivered %d, by notice %d, lost %d, without an end %d; "
                        + "latest notice %.0f ms after its message's time%n",
                rulesKept ? "KEPT" : "BROKEN",
                accepted.get(),
                endedByDelivery.get(),
                endedByNotice.get(),
                lost.get(),
                withoutEnd.get(),
                worstNoticeMs);
        return rulesKept;
    }

    private static String entry(String id, int destination, String address) {
        return "{\"id\":\"" + id + "\",\"addr\":\"" + address + "\",\"zone\":\"z\",\"kind\":\"one\",\"cell\":"
                + destination + ",\"state\":\"up\",\"weight\":1.0,\"started_ms\":0}";
    }

    private static void burn() {
        double value = 1;
        while (value > 0) {
            value = Math.sqrt(value + 1);
        }
    }

    private void deliver(StandIn.Request request) throws IOException {
        delivered.put(request.header("request-id"), System.nanoTime());
        request.answer(200);
    }

    private void movePlatform() {
        try {
            platform.move();
            node.discovery(platform.hostPort());
            node.writeAndSendSighup();
        } catch (Exception e) {
            System.out.println("  no SIGHUP: " + e);
        }
    }

    private void handInRandom(String id) {
        int percent = random.nextInt(100);
        int destination = percent < 60
                ? GOOD[percent % GOOD.length]
                : percent < 70 ? HANGS : percent < 80 ? ABSENT : percent < 90 ? RETRY_AFTER : FAILS;
        String messageClass = new String[] {"safe", "keyed", "unsafe"}[random.nextInt(3)];
        int timeoutMs = 600 + random.nextInt(2000);
        clients.execute(() -> handIn(id, messageClass, destination, timeoutMs));
    }

    private void handIn(String id, String messageClass, int destination, long timeoutMs) {
        long sentNs = System.nanoTime();
        byte[] body = id.getBytes(StandardCharsets.US_ASCII);
        byte[] head = node.submissionHead(
                        id,
                        messageClass,
                        timeoutMs,
                        "dest=" + destination,
                        messageClass.equals("keyed") ? "k" + id : null,
                        body.length)
                .getBytes(StandardCharsets.US_ASCII);
        Socket socket;
        synchronized (idleConnections) {
            socket = idleConnections.pollLast();
        }
        for (int attempt = 0; attempt < 2; attempt++) {
            boolean reused = socket != null;
            try {
                if (socket == null) {
                    socket = new Socket();
                    socket.connect(
                            new InetSocketAddress(
                                    node.address().getAddress(), node.address().getPort()),
                            RESPONSE_TIMEOUT_MS);
                    socket.setTcpNoDelay(true);
                }
                socket.setSoTimeout(RESPONSE_TIMEOUT_MS);
                byte[] request = new byte[head.length + body.length];
                System.arraycopy(head, 0, request, 0, head.length);
                System.arraycopy(body, 0, request, head.length, body.length);
                socket.getOutputStream().write(request);
                int status = readStatus(socket.getInputStream());
                if (status == 202) {
                    accepted.incrementAndGet();
                    pending.put(id, new Accepted(sentNs + (long) ((timeoutMs + NOTICE_MS) * 1e6)));
                } else {
                    refused.incrementAndGet();
                }
                synchronized (idleConnections) {
                    idleConnections.addLast(socket);
                }
                return;
            } catch (SocketTimeoutException e) {
                unanswered.incrementAndGet(); // it may have been accepted, and is not checked
                close(socket);
                return;
            } catch (IOException e) {
                close(socket);
                socket = null;
                if (!reused) {
                    unanswered.incrementAndGet();
                    return;
                }
            }
        }
    }

    private static void close(Socket socket) {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // no longer needed
        }
    }

    private static int readStatus(InputStream in) throws IOException {
        BufferedInputStream buffered = new BufferedInputStream(in);
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = buffered.read();
            if (next < 0) {
                throw new IOException("closed");
            }
            head.append((char) next);
        }
        return Integer.parseInt(head.substring(9, 12));
    }

    /** Counts the pending messages that have ended; the last time, all others count as without an end. */
    private synchronized void checkEnds(boolean last) {
        pending.forEach((id, accepted) -> {
            Long deliveredNs = delivered.get(id);
            MovingPlatform.Notice notice = platform.notice(id);
            if (deliveredNs != null) {
                endedByDelivery.incrementAndGet();
            } else if (notice != null) {
                endedByNotice.incrementAndGet();
                worstNoticeMs = Math.max(worstNoticeMs, (notice.atNs() - accepted.dueNs()) / 1e6 + NOTICE_MS);
                if (notice.atNs() > accepted.dueNs()) {
                    countLost(id, (notice.atNs() - accepted.dueNs()) / 1e6);
                }
            } else if (last) {
                withoutEnd.incrementAndGet();
                System.out.println("  without an end: " + id);
            } else {
                return;
            }
            pending.remove(id);
            delivered.remove(id);
            platform.forget(id);
        });
    }

    private void countLost(String id, double lateMs) {
        if (lost.incrementAndGet() <= MAX_LOST_LINES) {
            System.out.printf(Locale.ROOT, "  lost: %s, its notice came %.0f ms too late%n", id, lateMs);
        }
    }

    private void printState(long startNs) {
        try {
            System.out.printf(
                    Locale.ROOT,
                    "  %4.0f s  taken %d refused %d unanswered %d  delivered %d noticed %d "
                            + "lost %d open %d  posts %d  memory %d KiB  descriptors %d%n",
                    (System.nanoTime() - startNs) / 1e9,
                    accepted.get(),
                    refused.get(),
                    unanswered.get(),
                    endedByDelivery.get(),
                    endedByNotice.get(),
                    lost.get(),
                    pending.size(),
                    platform.noticeRequests(),
                    node.memoryKb(),
                    node.descriptors());
        } catch (IOException e) {
            System.out.println("  the relay is gone: " + e);
        }
    }
}
