import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-ins for the peers of a relay, and relays as processes of their own, for the scripts of the review. A case runs
 * from the root of the repository; TROUBLE=0 in the environment leaves its disruption out. The statuses are those that
 * run-2.sh expects.
 */
final class Lab {
    static final int HELD = 20;
    static final int BROKEN = 21;
    static final int COULD_NOT_RUN = 22;

    private static final long ORIGIN = System.nanoTime();

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final ScheduledExecutorService later = Executors.newScheduledThreadPool(8, task -> {
        Thread thread = new Thread(task, "later");
        thread.setDaemon(true);
        return thread;
    });
    private final PrintWriter record;
    private final Path folder;
    private final List<Relay> relays = new ArrayList<>();

    /** The work of a case; returns one of the statuses. */
    interface Case {
        int run(Lab lab) throws Exception;
    }

    private Lab(Path recordFile) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
        folder = Files.createTempDirectory("review-2-");
    }

    /** Runs a case, ends all its processes, and exits with its status. */
    static void main(String[] args, int mostSeconds, Case body) throws Exception {
        Lab lab = new Lab(Path.of(args[0], "record.txt"));
        lab.log("trouble %s", lab.trouble ? "on" : "off");
        Thread watchdog = new Thread(() -> {
            try {
                TimeUnit.SECONDS.sleep(mostSeconds);
            } catch (InterruptedException e) {
                return;
            }
            lab.log("not finished after %d s", mostSeconds);
            lab.end();
            Runtime.getRuntime().halt(COULD_NOT_RUN);
        });
        watchdog.setDaemon(true);
        watchdog.start();
        Runtime.getRuntime().addShutdownHook(new Thread(lab::end));
        ProcessHandle.current().parent().ifPresent(script -> script.onExit().thenRun(() -> System.exit(COULD_NOT_RUN)));
        int status;
        try {
            status = body.run(lab);
        } catch (Exception | AssertionError e) {
            lab.log("could not run: %s", e);
            e.printStackTrace();
            status = COULD_NOT_RUN;
        }
        if (status == HELD && lab.relays.stream().anyMatch(Relay::endedByItself)) {
            lab.log("a relay has ended by itself");
            status = COULD_NOT_RUN;
        }
        lab.log("status %d", status);
        System.exit(status);
    }

    private synchronized void end() {
        relays.forEach(Relay::destroy);
        try (var files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            // it is a temporary folder
        }
    }

    /** Milliseconds since the start of the case, on a monotonic clock. */
    static double now() {
        return (System.nanoTime() - ORIGIN) / 1e6;
    }

    static void pause(double ms) throws InterruptedException {
        TimeUnit.MICROSECONDS.sleep((long) (Math.max(0, ms) * 1000));
    }

    /** Waits until a condition holds, at most for a time; returns whether it does. */
    static boolean await(double mostMs, java.util.function.BooleanSupplier condition) throws InterruptedException {
        double until = now() + mostMs;
        while (!condition.getAsBoolean()) {
            if (now() > until) {
                return false;
            }
            pause(5);
        }
        return true;
    }

    /** Writes a line, with the time, to record.txt. */
    void log(String format, Object... values) {
        String line = String.format(Locale.ROOT, "%10.1f ", now()) + String.format(Locale.ROOT, format, values);
        synchronized (record) {
            record.println(line);
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    // ---- HTTP ----

    /** A request or a response as it was read. */
    static final class Head {
        final String line;
        final Map<String, String> headers = new HashMap<>();
        byte[] body = new byte[0];

        Head(String line) {
            this.line = line;
        }

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        int status() {
            return Integer.parseInt(line.split(" ")[1]);
        }
    }

    /** Reads one message with a content length; null at the end of the stream. */
    static Head read(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        Head head = new Head(first);
        for (String next = line(in); next != null && !next.isEmpty(); next = line(in)) {
            int colon = next.indexOf(':');
            head.headers.put(
                    next.substring(0, colon).toLowerCase(Locale.ROOT),
                    next.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(head.headers.getOrDefault("content-length", "0"));
        head.body = in.readNBytes(length);
        if (head.body.length < length) {
            throw new IOException("body cut off");
        }
        return head;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (next == '\n') {
                String text = bytes.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            bytes.write(next);
        }
        return null;
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Listens on a loopback port, with a thread for each connection. */
    abstract static class Server {
        final int port;
        final Set<Socket> open = ConcurrentHashMap.newKeySet();
        private final List<Socket> fillers = new ArrayList<>();
        private volatile boolean stalled;
        private ServerSocket listener;

        Server(int wanted) throws IOException {
            this(wanted, 200);
        }

        Server(int wanted, int queue) throws IOException {
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), wanted), queue);
            port = listener.getLocalPort();
            accept(listener);
        }

        abstract void serve(Socket socket, InputStream in) throws Exception;

        private void accept(ServerSocket from) {
            thread(() -> {
                while (true) {
                    Socket socket = from.accept();
                    while (stalled) {
                        pause(1);
                    }
                    socket.setTcpNoDelay(true);
                    open.add(socket);
                    thread(() -> {
                        try {
                            serve(socket, new BufferedInputStream(socket.getInputStream()));
                        } finally {
                            open.remove(socket);
                            socket.close();
                        }
                        return null;
                    });
                }
            });
        }

        /**
         * From now on the system drops what begins a new connection, since the queue of those that wait to be accepted
         * is full; who connects tries again 1 s later. Open connections stay. The listener needs a short queue.
         */
        void stall() throws IOException {
            stalled = true;
            for (int dropped = 0; dropped < 3; ) { // the thread that accepts may take one more
                Socket filler = new Socket();
                try {
                    filler.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 50);
                    fillers.add(filler);
                    dropped = 0;
                } catch (SocketTimeoutException e) {
                    filler.close();
                    dropped++;
                }
            }
        }

        /** Ends {@link #stall}. */
        void release() throws IOException {
            stalled = false;
            for (Socket filler : fillers) {
                filler.close();
            }
        }

        /** Refuses new connections from now on; open ones stay. */
        void stopListening() throws IOException {
            listener.close();
        }

        /** Listens again at the same address. */
        void listenAgain() throws IOException {
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 200);
            accept(listener);
        }

        /** Resets all open connections, as a process that dies does. */
        void resetAll() {
            for (Socket socket : open) {
                reset(socket);
            }
        }

        String address() {
            return "127.0.0.1:" + port;
        }
    }

    static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // closed already
        }
    }

    static void thread(java.util.concurrent.Callable<Object> task) {
        Thread thread = new Thread(() -> {
            try {
                task.call();
            } catch (Exception e) {
                // the connection or the listener has ended
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    // ---- endpoints ----

    /** One message in a call. */
    record Item(String id, String key, byte[] body) {}

    /** What an endpoint does with a call; runs when the call's last byte has come. */
    interface Behaviour {
        void call(Call call) throws Exception;
    }

    /** A call that has come whole. */
    final class Call {
        final Endpoint endpoint;
        final List<Item> items;
        final boolean many;
        final double at = now();
        final int number; // of all calls of the case, from 0
        private final Socket socket;
        volatile String end; // how it ended as the endpoint sees it, null while it is out
        volatile double endedAt = Double.POSITIVE_INFINITY;
        /** False only if the answer tells the relay that the call never ran. */
        volatile boolean maybeRan = true;

        Call(Endpoint endpoint, Socket socket, List<Item> items, boolean many) {
            this.endpoint = endpoint;
            this.socket = socket;
            this.items = items;
            this.many = many;
            synchronized (calls) {
                number = calls.size();
                calls.add(this);
            }
        }

        private synchronized boolean over(String how) {
            if (end != null) {
                return false;
            }
            end = how;
            endedAt = now();
            log("call %d at %s ended: %s", number, endpoint.id, how);
            return true;
        }

        /** Writes raw bytes as the answer; nothing if the call is over for the relay. */
        void write(String how, byte[] bytes) throws IOException {
            if (over(how)) {
                socket.getOutputStream().write(bytes);
                socket.getOutputStream().flush();
            }
        }

        void answer(int status, String... headerLines) throws IOException {
            if (status == 429 || status == 503 || status == 504 || status == 410) {
                maybeRan = false;
            }
            StringBuilder text = new StringBuilder("HTTP/1.1 " + status + " x\r\n");
            for (String header : headerLines) {
                text.append(header).append("\r\n");
            }
            StringBuilder body = new StringBuilder();
            if (status == 200 && many) {
                items.forEach(item -> body.append(item.id).append(" ok\r\n"));
            }
            text.append("Content-Length: ").append(body.length()).append("\r\n\r\n").append(body);
            write("answered " + status, ascii(text.toString()));
        }

        void answerLater(double ms, int status, String... headerLines) {
            later.schedule(
                    () -> {
                        answer(status, headerLines);
                        return null;
                    },
                    (long) (ms * 1000),
                    TimeUnit.MICROSECONDS);
        }

        void reset() {
            if (over("reset")) {
                Lab.reset(socket);
            }
        }
    }

    final List<Call> calls = new ArrayList<>();

    /** All calls so far that carried a message, in the order in which they came whole. */
    List<Call> callsOf(String id) {
        synchronized (calls) {
            return calls.stream()
                    .filter(call -> call.items.stream().anyMatch(item -> item.id.equals(id)))
                    .toList();
        }
    }

    /** A partner's endpoint. */
    final class Endpoint extends Server {
        final String id;
        final String zone;
        final String kind;
        final int cell;
        volatile Behaviour behaviour;

        Endpoint(String id, String zone, String kind, int cell, Behaviour behaviour) throws IOException {
            this(id, zone, kind, cell, behaviour, 0, 200);
        }

        /** An endpoint at the port of another one that has gone, or with a short queue. */
        Endpoint(String id, String zone, String kind, int cell, Behaviour behaviour, int atPort, int queue)
                throws IOException {
            super(atPort, queue);
            this.id = id;
            this.zone = zone;
            this.kind = kind;
            this.cell = cell;
            this.behaviour = behaviour;
        }

        String entry(String state) {
            return "{\"id\":\"" + id + "\",\"addr\":\"" + address() + "\",\"zone\":\"" + zone + "\",\"kind\":\"" + kind
                    + "\",\"cell\":" + cell + ",\"state\":\"" + state + "\",\"weight\":5.0,\"started_ms\":0}";
        }

        @Override
        void serve(Socket socket, InputStream in) throws Exception {
            Call current = null;
            try {
                for (Head head = read(in); head != null; head = read(in)) {
                    boolean many = head.line.startsWith("POST /receive-many ");
                    List<Item> items = many
                            ? items(head.body)
                            : List.of(new Item(head.header("Request-Id"), head.header("Idempotency-Key"), head.body));
                    current = new Call(this, socket, items, many);
                    log(
                            "call %d at %s with %s, time-out %s",
                            current.number,
                            id,
                            items.stream().map(Item::id).toList(),
                            head.header("Request-Timeout-Ms"));
                    behaviour.call(current);
                }
            } finally {
                if (current != null) {
                    current.over("given up by the relay");
                }
            }
        }

        private List<Item> items(byte[] body) {
            List<Item> all = new ArrayList<>();
            int at = 0;
            while (at < body.length) {
                int end = at;
                while (body[end] != '\r') {
                    end++;
                }
                String[] words = new String(body, at, end - at, StandardCharsets.ISO_8859_1).split(" ");
                int length = Integer.parseInt(words[2]);
                byte[] content = java.util.Arrays.copyOfRange(body, end + 2, end + 2 + length);
                all.add(new Item(words[0], words[1].equals("-") ? null : words[1], content));
                at = end + 2 + length + 2;
            }
            return all;
        }
    }

    Endpoint endpoint(String id, int cell, Behaviour behaviour, int atPort) throws IOException {
        return new Endpoint(id, "here", "small", cell, behaviour, atPort, 200);
    }

    // ---- discovery and the platform ----

    /** When a notice came, and what it says. */
    record Notice(double at, String outcome) {}

    final Map<String, Notice> notices = new ConcurrentHashMap<>(); // the first of each message

    private static final Pattern NOTICE = Pattern.compile("\"message\":\"([^\"]*)\",\"outcome\":\"([^\"]*)\"");

    /** The list, with its versions; several {@link Platform}s may serve it. */
    final class Book {
        private final List<String> ids = new ArrayList<>(); // of each version's change, from version 1
        private final Map<String, String> entries = new LinkedHashMap<>(); // the last entry of each id
        private final Set<Platform.Watch> watches = ConcurrentHashMap.newKeySet();

        synchronized void set(Endpoint endpoint, String state) {
            entries.put(endpoint.id, endpoint.entry(state));
            ids.add(endpoint.id);
            log("list %d: %s %s", ids.size(), endpoint.id, state);
            watches.forEach(watch -> watch.send(since(ids.size() - 1)));
        }

        synchronized int version() {
            return ids.size();
        }

        synchronized String full() {
            return object(
                    true,
                    entries.values().stream()
                            .filter(entry -> !entry.contains("\"removed\""))
                            .toList());
        }

        synchronized String since(int version) {
            if (version < 0 || version > ids.size()) {
                return full();
            }
            return object(
                    false,
                    ids.subList(version, ids.size()).stream()
                            .distinct()
                            .map(entries::get)
                            .toList());
        }

        private String object(boolean full, List<String> servers) {
            return "{\"version\":" + ids.size() + ",\"full\":" + full + ",\"servers\":[" + String.join(",", servers)
                    + "]}";
        }
    }

    final Book book = new Book();

    /** Discovery at one address, which also takes notices. */
    final class Platform extends Server {
        volatile double listDelayMs; // before a call for the list is answered
        volatile boolean down; // calls for the list end with 503
        volatile double crowdedUntil; // calls for the list that come before wait too long and end with 503
        volatile double crowdedWaitMs; // how long they wait

        Platform() throws IOException {
            super(0);
            later.scheduleAtFixedRate(
                    () -> book.watches.forEach(watch -> watch.send("")), 2000, 2000, TimeUnit.MILLISECONDS);
        }

        final class Watch {
            private final Socket socket;

            Watch(Socket socket) {
                this.socket = socket;
            }

            synchronized void send(String line) {
                try {
                    socket.getOutputStream()
                            .write(ascii(Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n"));
                    socket.getOutputStream().flush();
                } catch (IOException e) {
                    book.watches.remove(this);
                }
            }
        }

        @Override
        void serve(Socket socket, InputStream in) throws Exception {
            for (Head head = read(in); head != null; head = read(in)) {
                String target = head.line.split(" ")[1];
                if (target.equals("/status")) {
                    Matcher found = NOTICE.matcher(new String(head.body, StandardCharsets.ISO_8859_1));
                    while (found.find()) {
                        notices.putIfAbsent(found.group(1), new Notice(now(), found.group(2)));
                        log("notice of %s: %s", found.group(1), found.group(2));
                    }
                    socket.getOutputStream().write(ascii("HTTP/1.1 204 x\r\n\r\n"));
                    continue;
                }
                boolean crowded = now() < crowdedUntil;
                pause(crowded ? crowdedWaitMs : listDelayMs);
                if (down || crowded) {
                    log("a call for the list ends with 503");
                    socket.getOutputStream().write(ascii("HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n"));
                    continue;
                }
                if (target.contains("follow=1")) {
                    int since = Integer.parseInt(target.replaceAll(".*since=(-?\\d+).*", "$1"));
                    Watch watch = new Watch(socket);
                    synchronized (book) {
                        socket.getOutputStream().write(ascii("HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n"));
                        watch.send(book.since(since));
                        book.watches.add(watch);
                    }
                    log("watch since %d, list is at %d", since, book.version());
                } else {
                    String list = book.full();
                    socket.getOutputStream()
                            .write(ascii("HTTP/1.1 200 x\r\nContent-Length: " + list.length() + "\r\n\r\n" + list));
                }
                socket.getOutputStream().flush();
            }
        }
    }

    // ---- relays ----

    /** A relay as the deployment starts it. */
    final class Relay {
        final String name;
        final int port = freePort();
        final Path home;
        String settings; // a JSON object
        Platform platform;
        private Process process;
        private boolean killed;
        private int starts;

        Relay(String name, Platform platform, String settings) throws IOException {
            this.name = name;
            this.platform = platform;
            this.settings = settings;
            home = Files.createDirectories(folder.resolve(name));
            Files.createDirectories(home.resolve("state"));
            synchronized (Lab.this) {
                relays.add(this);
            }
        }

        /** Replaces the configuration, with the list as it is now as the one last held. */
        void configure() throws IOException {
            String text = "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\""
                    + platform.address() + "\",\"seed\":\"" + Integer.toHexString(starts * 7919 + 17)
                    + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024,\"disk_mb\":3},\"known\":"
                    + book.full() + ",\"settings\":" + settings + "}";
            Path draft = home.resolve("config.new");
            Files.writeString(draft, text);
            Files.move(draft, home.resolve("config.json"), StandardCopyOption.ATOMIC_MOVE);
        }

        /** Starts the process with the command of the deploy file. */
        void launch() throws Exception {
            starts++;
            if (!Files.exists(home.resolve("config.json"))) {
                configure();
            }
            Path temporary = Files.createDirectories(home.resolve("tmp"));
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand());
            builder.environment().put("ROUTER_NAME", name);
            builder.environment().put("ROUTER_LISTEN", "127.0.0.1:" + port);
            builder.environment().put("ROUTER_DISCOVERY", platform.address());
            builder.environment()
                    .put("ROUTER_CONFIG", home.resolve("config.json").toString());
            builder.environment().put("ROUTER_STATE", home.resolve("state").toString());
            builder.environment().put("TMPDIR", temporary.toString());
            builder.environment().remove("FIRSTAIR_SETTINGS");
            builder.redirectErrorStream(true);
            process = builder.start();
            killed = false;
            Files.writeString(
                    Path.of(System.getProperty("review.pids")),
                    process.pid() + "\n",
                    StandardOpenOption.CREATE,
                    StandardOpenOption.APPEND);
            InputStream out = process.getInputStream();
            thread(() -> {
                for (String line = line(out); line != null; line = line(out)) {
                    log("%s: %s", name, line);
                }
                return null;
            });
        }

        /** Starts the process and waits until it says that it is ready. */
        void start() throws Exception {
            launch();
            if (!await(30_000, () -> !alive() || ready()) || !alive()) {
                throw new IllegalStateException("relay " + name + " is not ready");
            }
            log("%s is ready", name);
        }

        boolean ready() {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                socket.setSoTimeout(400);
                socket.getOutputStream().write(ascii("GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"));
                Head head = read(new BufferedInputStream(socket.getInputStream()));
                return head != null && head.status() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        boolean alive() {
            return process != null && process.isAlive();
        }

        int exitStatus() {
            return process.exitValue();
        }

        void signal(String signal) throws Exception {
            log("%s gets %s", name, signal);
            new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid())
                    .start()
                    .waitFor();
        }

        /** SIGKILL; returns once the process is gone. */
        void kill() throws Exception {
            killed = true;
            signal("KILL");
            process.waitFor();
        }

        private boolean endedByItself() {
            return process != null && !process.isAlive() && !killed;
        }

        /** Its machine is lost, and another one takes its place: the folder is empty. */
        void loseFolder() throws IOException {
            try (var files = Files.list(home.resolve("state"))) {
                for (Path file : files.toList()) {
                    Files.delete(file);
                }
            }
        }

        boolean awaitEnd(long ms) throws InterruptedException {
            return process.waitFor(ms, TimeUnit.MILLISECONDS);
        }

        private void destroy() {
            if (process != null) {
                process.destroyForcibly();
                try {
                    process.waitFor(2, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
    }

    private static String runCommand() throws IOException {
        String deploy = Files.readString(Path.of("deploy/balancer.toml"));
        Matcher found = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
        if (!found.find()) {
            throw new IOException("no run command in the deploy file");
        }
        return found.group(1);
    }

    // ---- clients ----

    /** One hand-in of a message. */
    final class Message {
        final String id;
        final String type;
        final int dest;
        final String key;
        final long timeoutMs;
        final byte[] body;
        volatile double sentAt;
        volatile int status; // of the answer; 0 none yet, -1 the connection ended or the client left without one
        volatile double answeredAt = Double.POSITIVE_INFINITY;

        Message(String id, String type, int dest, String key, long timeoutMs, byte[] body) {
            this.id = id;
            this.type = type;
            this.dest = dest;
            this.key = key;
            this.timeoutMs = timeoutMs;
            this.body = body;
        }

        byte[] request(String... headerLines) {
            StringBuilder text = new StringBuilder("POST /api HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: " + id
                    + "\r\nRequest-Class: " + type + "\r\nRequest-Timeout-Ms: " + timeoutMs + "\r\n");
            if (key != null) {
                text.append("Idempotency-Key: ").append(key).append("\r\n");
            }
            for (String line : headerLines) {
                text.append(line).append("\r\n");
            }
            text.append("Content-Length: ")
                    .append(body.length)
                    .append("\r\nX-Addressing: dest=")
                    .append(dest)
                    .append("\r\n\r\n");
            byte[] head = ascii(text.toString());
            byte[] all = java.util.Arrays.copyOf(head, head.length + body.length);
            System.arraycopy(body, 0, all, head.length, body.length);
            return all;
        }

        double deadline() {
            return sentAt + timeoutMs;
        }
    }

    /** A client with one kept connection. */
    final class Client {
        private final Relay relay;
        private Socket socket;
        private InputStream in;

        Client(Relay relay) {
            this.relay = relay;
        }

        /** Hands in a message and waits 400 ms for the answer. */
        int send(Message message, String... headerLines) {
            for (int tries = 0; tries < 2; tries++) {
                boolean kept = socket != null;
                try {
                    if (socket == null) {
                        socket = new Socket();
                        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), relay.port), 400);
                        socket.setTcpNoDelay(true);
                        socket.setSoTimeout(400);
                        in = new BufferedInputStream(socket.getInputStream());
                    }
                    if (message.sentAt == 0) {
                        message.sentAt = now();
                    }
                    socket.getOutputStream().write(message.request(headerLines));
                    Head head = read(in);
                    if (head != null) {
                        if ("close".equalsIgnoreCase(head.header("Connection"))) {
                            close();
                        }
                        message.answeredAt = now();
                        message.status = head.status();
                        log("%s (%s) handed in to %s: %d", message.id, message.type, relay.name, message.status);
                        return message.status;
                    }
                } catch (SocketTimeoutException e) {
                    close();
                    break;
                } catch (IOException e) {
                    // a kept connection that the relay has closed: once more on a new one
                }
                close();
                if (!kept) {
                    break;
                }
            }
            message.status = -1;
            log("%s (%s) handed in to %s: no answer", message.id, message.type, relay.name);
            return -1;
        }

        void close() {
            try {
                if (socket != null) {
                    socket.close();
                }
            } catch (IOException e) {
                // closed
            }
            socket = null;
        }
    }
}
