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
 * A relay process under a steady load, with a platform that moves at each SIGHUP and whose connections for notices
 * fail, and partners of which some hang, refuse or are not there. It holds the relay to its promise from the outside:
 * what was answered 202 is delivered, or its notice comes in time.
 */
final class Soak {
    private static final double LATEST_MS = 300; // after its time a message must have its end
    private static final int ANSWER_MS = 400; // a client waits so long
    private static final int KEPT_ROUNDS = 600;
    private static final int[] GOOD = {1, 2, 3};
    private static final int HANGS = 11;
    private static final int ABSENT = 12;
    private static final int TOLD_TO_WAIT = 13;
    private static final int FAILS = 14;

    /** What is asked of one run. */
    record Plan(
            double seconds, int perSecond, double hangUpEveryS, boolean faulty, int niceness, int burners, long seed) {}

    /** A message that a relay took: until when it must have ended, on the clock of {@link System#nanoTime}. */
    private record Taken(long dueNs) {}

    private final Plan plan;
    private final Random random;
    private final ScheduledExecutorService clock = Executors.newScheduledThreadPool(4, Soak::daemon);
    private final ExecutorService clients = Executors.newCachedThreadPool(Soak::daemon);
    private final Map<String, Taken> open = new ConcurrentHashMap<>();
    private final Map<String, Long> delivered = new ConcurrentHashMap<>();
    private final ArrayDeque<Socket> kept = new ArrayDeque<>();
    private final AtomicLong taken = new AtomicLong();
    private final AtomicLong refused = new AtomicLong();
    private final AtomicLong silent = new AtomicLong();
    private final AtomicLong deliveredInTime = new AtomicLong();
    private final AtomicLong noticed = new AtomicLong();
    private final AtomicLong lost = new AtomicLong();
    private final AtomicLong endless = new AtomicLong();
    private volatile double worstNoticeMs = Double.NEGATIVE_INFINITY;
    private Node node;
    private MovingPlatform platform;

    Soak(Plan plan) {
        this.plan = plan;
        this.random = new Random(plan.seed());
    }

    private static Thread daemon(Runnable r) {
        Thread t = new Thread(r, "soak");
        t.setDaemon(true);
        return t;
    }

    /** Runs it, telling on standard output how it goes; true if every promise was kept. */
    boolean run() throws Exception {
        System.out.println("soak " + plan);
        Path folder = Files.createTempDirectory("firstair-soak");
        StandIn good = new StandIn(this::deliver);
        StandIn hangs = new StandIn(r -> {});
        StandIn waits = new StandIn(r -> r.answer(429, "Retry-After: 0.8"));
        StandIn fails = new StandIn(r -> r.answer(500));
        Socket held = new Socket(); // bound and not listening: a free port would be some other stand-in's before long
        held.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        String nowhere = "127.0.0.1:" + held.getLocalPort();
        List<String> lines = new ArrayList<>();
        for (int d : GOOD) {
            lines.add(endpoint("good" + d, d, good.hostPort()));
        }
        lines.add(endpoint("hangs", HANGS, hangs.hostPort()));
        lines.add(endpoint("absent", ABSENT, nowhere));
        lines.add(endpoint("waits", TOLD_TO_WAIT, waits.hostPort()));
        lines.add(endpoint("fails", FAILS, fails.hostPort()));
        String list = "{\"version\":7,\"full\":true,\"servers\":[" + String.join(",", lines) + "]}";
        platform = new MovingPlatform(list, plan.seed(), plan.faulty(), clock);
        node = new Node(folder, platform.hostPort(), list);
        node.niceness(plan.niceness());
        node.start();
        for (int i = 0; i < plan.burners(); i++) {
            daemon(Soak::burn).start();
        }
        long started = System.nanoTime();
        long end = started + (long) (plan.seconds() * 1e9);
        if (plan.hangUpEveryS() > 0) {
            long every = (long) (plan.hangUpEveryS() * 1e9);
            clock.scheduleAtFixedRate(this::hangUp, every, every, TimeUnit.NANOSECONDS);
        }
        clock.scheduleAtFixedRate(() -> judge(false), 100, 100, TimeUnit.MILLISECONDS);
        clock.scheduleAtFixedRate(() -> tell(started), 10, 10, TimeUnit.SECONDS);
        long every = (long) (1e9 / plan.perSecond());
        long number = 0;
        for (long at = started; at < end; at += every) {
            long wait = at - System.nanoTime();
            if (wait > 0) {
                TimeUnit.NANOSECONDS.sleep(wait);
            }
            one("m" + plan.seed() + "-" + number++);
        }
        TimeUnit.SECONDS.sleep(5); // longer than any message here lives
        clock.shutdownNow();
        clock.awaitTermination(1, TimeUnit.SECONDS);
        judge(true);
        tell(started);
        Map<String, Integer> told = new TreeMap<>();
        for (String l : node.lines()) {
            if (l.contains("SEVERE") || l.contains("fault") || l.contains("WARNING")) {
                told.merge(l.replaceAll("^\\S+ ", "").replaceAll("\\d+", "N"), 1, Integer::sum);
            }
        }
        told.forEach((l, n) -> System.out.println("  log, " + n + " times: " + l));
        System.out.println("  connections for notices: " + platform.drawn());
        node.kill();
        held.close();
        boolean kept = lost.get() == 0 && endless.get() == 0 && taken.get() > 0;
        System.out.printf(
                Locale.ROOT,
                "%s: taken %d, delivered %d, by notice %d, lost %d, without an end %d; "
                        + "latest notice %.0f ms after its message's time%n",
                kept ? "KEPT" : "BROKEN",
                taken.get(),
                deliveredInTime.get(),
                noticed.get(),
                lost.get(),
                endless.get(),
                worstNoticeMs);
        return kept;
    }

    private static String endpoint(String id, int destination, String at) {
        return "{\"id\":\"" + id + "\",\"addr\":\"" + at + "\",\"zone\":\"z\",\"kind\":\"one\",\"cell\":" + destination
                + ",\"state\":\"up\",\"weight\":1.0,\"started_ms\":0}";
    }

    private static void burn() {
        double x = 1;
        while (x > 0) {
            x = Math.sqrt(x + 1);
        }
    }

    private void deliver(StandIn.Request r) throws IOException {
        delivered.put(r.header("request-id"), System.nanoTime());
        r.answer(200);
    }

    private void hangUp() {
        try {
            platform.move();
            node.discovery(platform.hostPort());
            node.hangUp();
        } catch (Exception e) {
            System.out.println("  no SIGHUP: " + e);
        }
    }

    private void one(String id) {
        int draw = random.nextInt(100);
        int destination = draw < 60
                ? GOOD[draw % GOOD.length]
                : draw < 70 ? HANGS : draw < 80 ? ABSENT : draw < 90 ? TOLD_TO_WAIT : FAILS;
        String type = new String[] {"safe", "keyed", "unsafe"}[random.nextInt(3)];
        int timeout = 600 + random.nextInt(2000);
        clients.execute(() -> handIn(id, type, destination, timeout));
    }

    private void handIn(String id, String type, int destination, long timeout) {
        long sent = System.nanoTime();
        byte[] body = id.getBytes(StandardCharsets.US_ASCII);
        byte[] head = node.handInText(
                        id, type, timeout, "dest=" + destination, type.equals("keyed") ? "k" + id : null, body.length)
                .getBytes(StandardCharsets.US_ASCII);
        Socket s;
        synchronized (kept) {
            s = kept.pollLast();
        }
        for (int attempt = 0; attempt < 2; attempt++) {
            boolean old = s != null;
            try {
                if (s == null) {
                    s = new Socket();
                    s.connect(
                            new InetSocketAddress(
                                    node.address().getAddress(), node.address().getPort()),
                            ANSWER_MS);
                    s.setTcpNoDelay(true);
                }
                s.setSoTimeout(ANSWER_MS);
                byte[] all = new byte[head.length + body.length];
                System.arraycopy(head, 0, all, 0, head.length);
                System.arraycopy(body, 0, all, head.length, body.length);
                s.getOutputStream().write(all);
                int status = answer(s.getInputStream());
                if (status == 202) {
                    taken.incrementAndGet();
                    open.put(id, new Taken(sent + (long) ((timeout + LATEST_MS) * 1e6)));
                } else {
                    refused.incrementAndGet();
                }
                synchronized (kept) {
                    kept.addLast(s);
                }
                return;
            } catch (SocketTimeoutException e) {
                silent.incrementAndGet(); // it may have been taken, and nobody holds the relay to it
                close(s);
                return;
            } catch (IOException e) {
                close(s);
                s = null;
                if (!old) {
                    silent.incrementAndGet();
                    return;
                }
            }
        }
    }

    private static void close(Socket s) {
        try {
            if (s != null) {
                s.close();
            }
        } catch (IOException e) {
            // it was of no more use
        }
    }

    private static int answer(InputStream in) throws IOException {
        BufferedInputStream buffered = new BufferedInputStream(in);
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int b = buffered.read();
            if (b < 0) {
                throw new IOException("closed");
            }
            head.append((char) b);
        }
        return Integer.parseInt(head.substring(9, 12));
    }

    /** Every message whose last moment is past has ended by now, or is lost. */
    private synchronized void judge(boolean last) {
        open.forEach((id, t) -> {
            Long at = delivered.get(id);
            MovingPlatform.Notice n = platform.notice(id);
            if (at != null) {
                deliveredInTime.incrementAndGet();
            } else if (n != null) {
                noticed.incrementAndGet();
                worstNoticeMs = Math.max(worstNoticeMs, (n.atNs() - t.dueNs()) / 1e6 + LATEST_MS);
                if (n.atNs() > t.dueNs()) {
                    lost(id, (n.atNs() - t.dueNs()) / 1e6);
                }
            } else if (last) {
                endless.incrementAndGet();
                System.out.println("  without an end: " + id);
            } else {
                return;
            }
            open.remove(id);
            delivered.remove(id);
            platform.forget(id);
        });
    }

    private void lost(String id, double lateMs) {
        if (lost.incrementAndGet() <= KEPT_ROUNDS / 30) {
            System.out.printf(Locale.ROOT, "  lost: %s, its notice came %.0f ms too late%n", id, lateMs);
        }
    }

    private void tell(long started) {
        try {
            System.out.printf(
                    Locale.ROOT,
                    "  %4.0f s  taken %d refused %d unanswered %d  delivered %d noticed %d "
                            + "lost %d open %d  posts %d  memory %d KiB  descriptors %d%n",
                    (System.nanoTime() - started) / 1e9,
                    taken.get(),
                    refused.get(),
                    silent.get(),
                    deliveredInTime.get(),
                    noticed.get(),
                    lost.get(),
                    open.size(),
                    platform.posts(),
                    node.memoryKb(),
                    node.descriptors());
        } catch (IOException e) {
            System.out.println("  the relay is gone: " + e);
        }
    }
}
