package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** Stand-ins for clients, endpoints, discovery and the platform, and relays as processes; on loopback addresses only. */
final class Rig implements AutoCloseable {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    private static final double MOST_MS = 110_000;
    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final Path root;
    private final Path home;
    private final PrintWriter record;
    private final long origin = System.nanoTime();
    private final List<Process> processes = new ArrayList<>();
    private final List<Closeable> servers = new ArrayList<>();
    private boolean ending; // no process is started any more

    /** What a case does; returns the exit status. */
    interface Play {
        int run(Rig rig) throws Exception;
    }

    /** Runs a case in its folder and exits with its status; 2 if anything unexpected happens. */
    static void main(Path folder, Play play) {
        int status = NOT_RUN;
        try (Rig rig = new Rig(folder)) {
            Thread last = new Thread(rig::end);
            Runtime.getRuntime().addShutdownHook(last);
            daemon(() -> rig.endAfter(MOST_MS));
            try {
                rig.note("TROUBLE=%s", System.getenv().getOrDefault("TROUBLE", "1"));
                status = play.run(rig);
            } catch (Exception e) {
                rig.note("the case could not run: %s", e);
                e.printStackTrace(rig.record);
            }
            rig.note("exit %d: %s", status,
                    status == HELD ? "the rule held" : status == BROKEN ? "THE RULE IS BROKEN" : "not run");
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(status);
    }

    private Rig(Path folder) throws IOException {
        root = folder.toAbsolutePath().getParent().getParent();
        home = Path.of(System.getProperty("review.home")); // a temporary folder, which run.sh makes and removes
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
    }

    /** Milliseconds since the start of the case. */
    double now() {
        return (System.nanoTime() - origin) / 1e6;
    }

    /** Writes a line of the record, with the time in milliseconds. */
    synchronized void note(String format, Object... arguments) {
        String line = String.format(Locale.ROOT, "%9.1f  ", now()) + String.format(Locale.ROOT, format, arguments);
        record.println(line);
        System.out.println(line);
    }

    void sleep(double ms) throws InterruptedException {
        TimeUnit.MICROSECONDS.sleep((long) (ms * 1000));
    }

    /** Waits until a condition holds; false after the given time. */
    boolean await(double ms, BooleanSupplier condition) throws InterruptedException {
        double end = now() + ms;
        while (!condition.getAsBoolean()) {
            if (now() > end) {
                return false;
            }
            sleep(2);
        }
        return true;
    }

    private void endAfter(double ms) {
        try {
            sleep(ms);
            note("the case took too long");
            System.exit(NOT_RUN);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void end() {
        ending = true;
        processes.forEach(Process::destroyForcibly);
        for (Process process : processes) {
            try {
                process.waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        processes.clear();
        for (Closeable server : servers) {
            try {
                server.close();
            } catch (IOException e) {
                // it is closed already
            }
        }
    }

    @Override
    public void close() {
        end();
        record.close();
    }

    /** A free port below those that the system gives to outgoing connections: a relay comes back to it. */
    static int freePort() throws IOException {
        Random random = new Random();
        for (int tries = 0; tries < 100; tries++) {
            int port = 20_000 + random.nextInt(12_000);
            try (ServerSocket socket = new ServerSocket(port, 1, LOOPBACK)) {
                return socket.getLocalPort();
            } catch (IOException e) {
                // somebody has it
            }
        }
        throw new IOException("no free port");
    }

    // ---- HTTP ----

    /** One request on a connection. */
    static final class Request {
        final String method;
        final String target;
        final Map<String, String> headers;
        final byte[] body;
        private final Socket socket;

        private Request(String method, String target, Map<String, String> headers, byte[] body, Socket socket) {
            this.method = method;
            this.target = target;
            this.headers = headers;
            this.body = body;
            this.socket = socket;
        }

        String header(String name) {
            return headers.get(name);
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }

        void write(String text) throws IOException {
            OutputStream out = socket.getOutputStream();
            out.write(text.getBytes(StandardCharsets.UTF_8));
            out.flush();
        }

        void answer(int status, String moreHeaders, String text) throws IOException {
            write("HTTP/1.1 " + status + " X\r\n" + moreHeaders + "Content-Length: "
                    + text.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n" + text);
        }

        void answer(int status) throws IOException {
            answer(status, "", "");
        }

        /** Ends the connection with a reset. */
        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

    }

    /** Handles a request; an exception ends the connection. */
    interface Handler {
        void handle(Request request) throws Exception;
    }

    /** A server that handles each connection on a thread of its own. */
    final class Server implements Closeable {
        private final ServerSocket listener;
        private final Set<Socket> open = ConcurrentHashMap.newKeySet();
        private final Handler handler;
        final int port;

        Server(int port, Handler handler) throws IOException {
            this.handler = handler;
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(LOOPBACK, port), 512);
            this.port = listener.getLocalPort();
            servers.add(this);
            daemon(this::accept);
        }

        String hostPort() {
            return "127.0.0.1:" + port;
        }

        private void accept() {
            while (true) {
                try {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    open.add(socket);
                    daemon(() -> serve(socket));
                } catch (IOException e) {
                    return; // closed
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                for (Request next = read(in, socket); next != null; next = read(in, socket)) {
                    handler.handle(next);
                }
            } catch (SocketException e) {
                // ended by the peer, or by close()
            } catch (Exception e) {
                note("stand-in at port %d: %s", port, e);
            } finally {
                open.remove(socket);
            }
        }

        /** Stops listening and resets all connections. */
        @Override
        public void close() throws IOException {
            listener.close();
            for (Socket socket : open) {
                socket.setSoLinger(true, 0);
                socket.close();
            }
        }
    }

    private static Request read(InputStream in, Socket socket) throws IOException {
        String start = line(in);
        if (start == null || start.isEmpty()) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String header = line(in); header != null && !header.isEmpty(); header = line(in)) {
            int colon = header.indexOf(':');
            headers.put(header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).trim());
        }
        byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        String[] words = start.split(" ");
        return new Request(words[0], words[1], headers, body, socket);
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (next == '\n') {
                return bytes.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
            }
            bytes.write(next);
        }
        return null;
    }

    static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    // ---- discovery and the platform ----

    /** An endpoint as discovery lists it. */
    record Listed(String id, String address, String zone, String kind, int cell, String state) {
        String json() {
            return String.format(
                    "{\"id\":\"%s\",\"addr\":\"%s\",\"zone\":\"%s\",\"kind\":\"%s\",\"cell\":%d,\"state\":\"%s\","
                            + "\"weight\":20.0,\"started_ms\":0}",
                    id, address, zone, kind, cell, state);
        }
    }

    /** A notice of a relay. */
    record Notice(double at, String message, String outcome, double retryInMs) {}

    /** Discovery and the platform at one address. */
    final class Platform {
        private final Map<String, Listed> entries = new TreeMap<>();
        private final List<Request> watches = new ArrayList<>();
        private final List<Notice> notices = new ArrayList<>();
        private int version = 1;
        final Server server;

        Platform(Listed... first) throws IOException {
            for (Listed entry : first) {
                entries.put(entry.id(), entry);
            }
            server = new Server(0, this::handle);
            daemon(this::showLife);
        }

        /** The whole list as discovery has it now. */
        synchronized String list() {
            return object(true, entries.values());
        }

        private String object(boolean full, Iterable<Listed> listed) {
            List<String> all = new ArrayList<>();
            listed.forEach(entry -> all.add(entry.json()));
            return "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":[" + String.join(",", all) + "]}";
        }

        /** Changes entries, and tells open watches; an entry in the state "removed" goes. */
        synchronized void change(Listed... changed) {
            version++;
            for (Listed entry : changed) {
                if (entry.state().equals("removed")) {
                    entries.remove(entry.id());
                } else {
                    entries.put(entry.id(), entry);
                }
                note("discovery: version %d, %s at %s, cell %d, zone %s, is %s",
                        version, entry.id(), entry.address(), entry.cell(), entry.zone(), entry.state());
            }
            send(object(false, List.of(changed)));
        }

        private synchronized void send(String object) {
            watches.removeIf(watch -> {
                try {
                    chunk(watch, object);
                    return false;
                } catch (IOException e) {
                    return true;
                }
            });
        }

        private void chunk(Request watch, String object) throws IOException {
            int length = object.getBytes(StandardCharsets.UTF_8).length + 1;
            watch.write(Integer.toHexString(length) + "\r\n" + object + "\n\r\n");
        }

        private void showLife() {
            try {
                while (true) {
                    sleep(2000);
                    send("");
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        private void handle(Request request) throws Exception {
            if (request.target.equals("/status")) {
                takeNotices(request);
                return;
            }
            note("discovery: call %s", request.target);
            if (request.target.contains("follow=1")) {
                synchronized (this) {
                    request.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                    chunk(request, list());
                    watches.add(request);
                }
                note("discovery: list sent, version %d", version);
            } else {
                request.answer(200, "", list());
            }
        }

        private void takeNotices(Request request) throws IOException {
            double at = now();
            for (String line : request.text().split("\n")) {
                Notice notice = new Notice(at, field(line, "message"), field(line, "outcome"),
                        Double.parseDouble("0" + field(line, "retry_in_ms")));
                synchronized (notices) {
                    notices.add(notice);
                }
                note("platform: notice %s", line);
            }
            request.answer(204);
        }

        List<Notice> notices() {
            synchronized (notices) {
                return List.copyOf(notices);
            }
        }
    }

    private static String field(String json, String name) {
        Matcher found = Pattern.compile("\"" + name + "\":\"?([^\",}]*)").matcher(json);
        return found.find() ? found.group(1) : "";
    }

    // ---- relays ----

    /** A relay, started as the deploy file says. */
    final class Relay {
        final String name;
        final int port;
        private final Path folder;
        private final Platform platform;
        private final String settings;
        private int starts;
        private Process process;

        Relay(String name, Platform platform, String settings) throws IOException {
            this.name = name;
            this.platform = platform;
            this.settings = settings;
            port = freePort();
            folder = Files.createDirectories(home.resolve(name));
            Files.createDirectories(folder.resolve("state"));
        }

        Path state() {
            return folder.resolve("state");
        }

        /** Starts the process; {@code known} is the list in its configuration. Returns the time before the start. */
        double launch(String known) throws IOException {
            starts++;
            String config = "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\""
                    + platform.server.hostPort() + "\",\"seed\":\"" + Long.toHexString(System.nanoTime()) + "\","
                    + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024,\"disk_mb\":3},"
                    + "\"known\":" + known + ",\"settings\":" + settings + "}";
            Path draft = folder.resolve("config.new");
            Files.writeString(draft, config);
            Path file = Files.move(draft, folder.resolve("config.json"), StandardCopyOption.ATOMIC_MOVE,
                    StandardCopyOption.REPLACE_EXISTING);
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand());
            builder.directory(root.toFile());
            builder.environment().put("ROUTER_NAME", name);
            builder.environment().put("ROUTER_LISTEN", "127.0.0.1:" + port);
            builder.environment().put("ROUTER_DISCOVERY", platform.server.hostPort());
            builder.environment().put("ROUTER_STATE", state().toString());
            builder.environment().put("ROUTER_CONFIG", file.toString());
            builder.redirectErrorStream(true);
            double at = now();
            synchronized (Rig.this) {
                if (ending) {
                    throw new IOException("the case has ended");
                }
                process = builder.start();
                processes.add(process);
                Files.writeString(home.resolve("pids"), process.pid() + "\n",
                        StandardOpenOption.CREATE, StandardOpenOption.APPEND);
            }
            InputStream out = process.getInputStream();
            daemon(() -> copyLog(out));
            note("relay %s: start %d, process %d", name, starts, process.pid());
            return at;
        }

        private void copyLog(InputStream out) {
            try {
                for (String line = line(out); line != null; line = line(out)) {
                    note("relay %s: log: %s", name, line);
                }
            } catch (IOException e) {
                // the process has ended
            }
        }

        /** Waits until it answers that it is ready. */
        void awaitReady() throws Exception {
            String request = "GET /-/ready HTTP/1.1\r\nHost: relay\r\n\r\n";
            boolean ready = await(20_000, () -> exchange(request, new byte[0], 1000) == 200);
            if (!ready) {
                throw new IOException("relay " + name + " is not ready");
            }
            note("relay %s: ready", name);
        }

        void kill() throws InterruptedException {
            process.destroyForcibly().waitFor();
            note("relay %s: SIGKILL", name);
        }

        void signal(String signal) throws Exception {
            new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).inheritIO().start().waitFor();
        }

        /** Fails if the process has ended by itself: then the case says nothing of its rule. */
        void checkAlive() throws IOException {
            if (!process.isAlive()) {
                throw new IOException("relay " + name + " has ended by itself, status " + process.exitValue());
            }
        }

        /** Bytes of the folder that lasts, every file in whole 512 bytes. */
        long diskBytes() {
            try (Stream<Path> files = Files.list(state())) {
                return files.mapToLong(file -> (file.toFile().length() + 511) / 512 * 512).sum();
            } catch (IOException | RuntimeException e) {
                return 0;
            }
        }

        /** Hands in a message as a client does, which waits 400 ms for the answer; its status, or -1 for none. */
        int submit(String id, String type, int dest, String key, long timeoutMs, String more, byte[] body) {
            return exchange(submission(id, type, dest, key, timeoutMs, more, body.length), body, 400);
        }

        /** Opens a connection as a client. */
        Socket connect() throws IOException {
            Socket socket = new Socket();
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(LOOPBACK, port), 1000);
            return socket;
        }

        /** The bytes of a request that hands in a message. */
        byte[] request(String id, String type, int dest, String key, long timeoutMs, String more, byte[] body) {
            return joined(submission(id, type, dest, key, timeoutMs, more, body.length), body);
        }

        /** The status of the answer on a connection, or -1 for none. */
        int answer(Socket socket, int waitMs) {
            try {
                socket.setSoTimeout(waitMs);
                String first = line(socket.getInputStream());
                return first == null ? -1 : Integer.parseInt(first.split(" ")[1]);
            } catch (IOException e) {
                return -1;
            }
        }

        private String submission(String id, String type, int dest, String key, long timeoutMs, String more, int length) {
            return "POST /api HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: " + id + "\r\nRequest-Class: " + type
                    + "\r\nRequest-Timeout-Ms: " + timeoutMs + "\r\nX-Addressing: dest=" + dest + "\r\n"
                    + (key == null ? "" : "Idempotency-Key: " + key + "\r\n") + more + "Content-Length: " + length
                    + "\r\n\r\n";
        }

        private int exchange(String head, byte[] body, int waitMs) {
            try (Socket socket = connect()) {
                socket.getOutputStream().write(joined(head, body));
                return answer(socket, waitMs);
            } catch (IOException e) {
                return -1;
            }
        }
    }

    private static byte[] joined(String head, byte[] body) {
        byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = Arrays.copyOf(headBytes, headBytes.length + body.length);
        System.arraycopy(body, 0, all, headBytes.length, body.length);
        return all;
    }

    /** Kills a process that only waits, so that the next kill comes without delay. */
    void practiceKill() throws Exception {
        for (int i = 0; i < 3; i++) {
            Process waiting = new ProcessBuilder("sleep", "5").start();
            waiting.destroyForcibly().waitFor();
        }
    }

    /** The command {@code run} of the deploy file. */
    private String runCommand() throws IOException {
        Matcher found = Pattern.compile("(?m)^run = \"((?:[^\"\\\\]|\\\\.)*)\"")
                .matcher(Files.readString(root.resolve("deploy/balancer.toml")));
        if (!found.find()) {
            throw new IOException("no run in deploy/balancer.toml");
        }
        return found.group(1).replace("\\\"", "\"").replace("\\\\", "\\");
    }

    /** A class of message in the settings. */
    static String messageClass(String name, String semantics, String group, long windowMs, long aimMs, long deadlineMs) {
        return "{\"name\":\"" + name + "\",\"semantics\":\"" + semantics + "\",\"group\":\"" + group
                + "\",\"repeatWindow\":" + windowMs + ".0,\"aim\":" + aimMs + ".0,\"deadline\":" + deadlineMs
                + ".0,\"importance\":1.0,\"lateValue\":0.5,\"streaming\":false}";
    }
}
