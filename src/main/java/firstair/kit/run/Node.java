package firstair.kit.run;

import com.google.gson.Gson;
import firstair.Main;
import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.Writer;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import org.glassfish.grizzly.Grizzly;
import org.tomlj.Toml;

/** Runs a relay as a separate process, and sends it requests as a client. */
public final class Node {
    private static final int TIMEOUT_S = 20;
    /** Also in the manifest of the jar, which is read for {@code java -jar} only. */
    private static final String OPENED_PACKAGE = "--add-opens=java.base/sun.nio.ch=ALL-UNNAMED";

    private final Path folder;
    private String discovery;
    private String initialList;
    private final List<String> completeLog = new ArrayList<>();
    private String config;
    private int memoryMb = 192;
    private int diskMb = 3;
    private int sockets = 1024;
    private String listen = "127.0.0.1:0";
    private String name = "n0";
    private int relayGroup = 1;
    private int slot;
    private List<String> zones = List.of("z");
    private String zone = "z";
    private String fleet;
    private int niceness;
    private boolean sighupIgnored;
    private boolean withoutScript;
    private UnaryOperator<String> configEdit = UnaryOperator.identity();
    private final Map<String, String> environment = new HashMap<>();
    private Path settings;
    private volatile boolean logUnread;
    private Path logCopy;
    private Process process;
    private Thread reader;
    private InetSocketAddress address;

    /**
     * Prepares a relay without starting it.
     *
     * @param folder      for its configuration, settings and state
     * @param discovery   address of discovery and the platform, host:port
     * @param initialList list of endpoints in its configuration, a JSON object
     */
    public Node(Path folder, String discovery, String initialList) {
        this.folder = folder;
        this.discovery = discovery;
        this.initialList = initialList;
    }

    /** Sets its memory limit, in MB. */
    public void memoryMb(int mb) {
        memoryMb = mb;
    }

    /** Sets the limit of its state folder, in MB. */
    public void diskMb(int mb) {
        diskMb = mb;
    }

    /** Sets its limit of file descriptors. */
    public void sockets(int limit) {
        sockets = limit;
    }

    /** Stops reading its log, so that the pipe to this process fills up. */
    public void stopReadingLog() {
        logUnread = true;
    }

    /** From its next start on it logs each request, call and notice; all lines are appended to a file as well. */
    public void trace(Path copy) throws IOException {
        Path levels = folder.resolve("logging.properties");
        Files.writeString(levels, "firstair.level = FINE\n");
        environment("JAVA_TOOL_OPTIONS", "-Djava.util.logging.config.file=" + levels.toAbsolutePath());
        logCopy = copy;
    }

    /** Sets the file with the settings of firstair itself, see docs/configuration.md. */
    public void settings(Path file) {
        settings = file;
    }

    /** Sets its niceness, from 0 to 19. */
    public void niceness(int value) {
        niceness = value;
    }

    /** From its next start on SIGHUP is ignored, as under {@code nohup}. */
    public void ignoreSighup() {
        sighupIgnored = true;
    }

    /** From its next start on it runs without the deployment's script, so that it receives SIGHUP. */
    public void startWithoutScript() {
        withoutScript = true;
    }

    /** Edits the text of its configuration from the next {@link #write} on. */
    public void editConfig(UnaryOperator<String> edit) {
        configEdit = edit;
    }

    /** Sets a variable of its environment from its next start on. */
    public void environment(String variable, String value) {
        environment.put(variable, value);
    }

    /** Its process id. */
    public long pid() {
        return process.pid();
    }

    /** Sends it a signal, named as for {@code kill}: HUP, STOP. */
    public void signal(String signal) throws Exception {
        new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid()))
                .inheritIO()
                .start()
                .waitFor();
    }

    /** The address on which it listens. */
    public InetSocketAddress address() {
        return address;
    }

    /** Sets the address of a relay that runs in this process, for use as a client alone. */
    public void address(InetSocketAddress listening) {
        address = listening;
    }

    /** Sets the address on which it will listen, host:port. */
    public void listen(String hostPort) {
        listen = hostPort;
    }

    /** Sets its name, the number of relays that share the destinations, and its index among them, from 0. */
    public void relayGroup(String relayName, int relays, int index) {
        name = relayName;
        relayGroup = relays;
        slot = index;
    }

    /** Sets all zones, and the one that it is in. */
    public void zones(List<String> allZones, String ownZone) {
        zones = List.copyOf(allZones);
        zone = ownZone;
    }

    /**
     * Lets it exchange messages with other relays from its next start on: its configuration allows it, and this text,
     * which has the table {@code fleet}, is its settings file in place of {@link #settings(Path)}.
     */
    public void fleet(String toml) {
        fleet = toml;
        settings = folder.resolve("settings.toml");
    }

    /** Sets the list of endpoints in its configuration, a JSON object. */
    public void initialList(String list) {
        initialList = list;
    }

    /** Replaces its whole configuration by a text; null goes back to the generated one. */
    public void config(String text) {
        config = text;
    }

    private String settingsJson() {
        return "{\"groupSize\":" + relayGroup + ",\"slotNo\":" + slot + ",\"az\":" + zones.indexOf(zone)
                + ",\"azs\":[\""
                + String.join("\",\"", zones) + "\"],\"discovery\":\"ask\",\"quantum\":1.0,"
                + "\"weightKind\":\"none\",\"shapes\":[\"one\",\"many\"],\"classes\":["
                + messageClass("safe", "retryable") + "," + messageClass("keyed", "dedup") + ","
                + messageClass("unsafe", "fragile") + "],"
                + "\"familyInfo\":{\"bundleMax\":[1,20],\"kindApart\":[false,false],\"late\":\"linear\","
                + "\"maxCalls\":8},"
                + "\"limits\":{" + (fleet == null ? "" : "\"peers\":true,") + "\"cancelling\":true,"
                + "\"connIdle\":10000.0,\"connectTimeout\":1000.0,\"maxAttempts\":12,"
                + "\"maxOpen\":100,\"maxRetryAfter\":3000.0,\"retryAfter\":true,\"multiplex\":1},"
                + "\"safety\":{\"answerSlack\":20.0,\"askEvery\":10000.0,\"drainGrace\":1000.0,\"fallMultiple\":1.5,"
                + "\"overloadFor\":2000.0,\"startCapacity\":0.25,\"warmAfter\":10000.0}}";
    }

    private static String messageClass(String name, String semantics) {
        return "{\"name\":\"" + name + "\",\"semantics\":\"" + semantics + "\",\"aim\":2000.0,\"deadline\":30000.0,"
                + "\"group\":\"all\",\"repeatWindow\":30000.0,\"importance\":1.0,\"lateValue\":0.5,"
                + "\"streaming\":false}";
    }

    private static String classPathEntry(Class<?> type) throws URISyntaxException {
        return Path.of(type.getProtectionDomain().getCodeSource().getLocation().toURI())
                .toString();
    }

    /** Sets the address of discovery and the platform from the next {@link #write} on, host:port. */
    public void discovery(String hostPort) {
        discovery = hostPort;
    }

    /** Writes its configuration and sends it SIGHUP. */
    public void writeAndSendSighup() throws Exception {
        write();
        sendSighup();
    }

    /** Sends it SIGHUP. */
    public void sendSighup() throws Exception {
        signal("HUP");
    }

    /** Writes its configuration atomically, and its settings file if that is given as a text; returns its path. */
    public Path write() throws IOException {
        if (fleet != null) {
            Files.writeString(settings, fleet);
        }
        Path file = folder.resolve("config.json");
        Path draft = folder.resolve("config.new");
        String text = config != null
                ? config
                : "{\"name\":\"" + name + "\",\"listen\":\"" + listen
                        + "\",\"discovery\":\"" + discovery + "\",\"seed\":\"8c1f30d27a5be964\","
                        + "\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb
                        + ",\"sockets\":" + sockets + ",\"disk_mb\":" + diskMb + "},\"known\":" + initialList
                        + ",\"settings\":" + settingsJson()
                        + "}";
        Files.writeString(draft, configEdit.apply(text));
        return Files.move(draft, file, StandardCopyOption.ATOMIC_MOVE);
    }

    /** Starts the process without waiting until it is ready. */
    public void launch() throws Exception {
        if (!Files.exists(state())) {
            Files.createDirectories(state());
        }
        Path file = write();
        List<String> classPath = new ArrayList<>(
                List.of(classPathEntry(Main.class), classPathEntry(Grizzly.class), classPathEntry(Gson.class)));
        if (fleet != null) { // a fleet needs further libraries
            classPath.add(System.getProperty("java.class.path"));
        } else if (settings != null) { // the TOML parser is needed for a settings file only
            classPath.add(classPathEntry(Toml.class));
            classPath.add(classPathEntry(Class.forName("org.antlr.v4.runtime.CharStream")));
        }
        List<String> command = new ArrayList<>(List.of(
                "sh",
                "-c",
                (sighupIgnored ? "trap '' HUP; " : "") + "exec \"$@\"",
                "sh",
                "nice",
                "-n",
                String.valueOf(niceness)));
        command.addAll(
                withoutScript
                        ? List.of("java", "-XX:+UseSerialGC", "-Xmx64m", "-XX:TieredStopAtLevel=1")
                        : List.of("sh", Path.of("deploy", "run.sh").toString()));
        command.addAll(List.of(
                OPENED_PACKAGE,
                "-cp",
                String.join(System.getProperty("path.separator"), classPath),
                "firstair.Main",
                "serve"));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().putAll(environment);
        builder.environment()
                .merge(
                        "PATH",
                        Path.of(System.getProperty("java.home"), "bin").toString(),
                        (path, java) -> java + System.getProperty("path.separator") + path);
        builder.environment().put("ROUTER_CONFIG", file.toString());
        builder.environment().put("ROUTER_STATE", state().toString());
        if (settings != null) {
            builder.environment().put("FIRSTAIR_SETTINGS", settings.toString());
        }
        builder.redirectErrorStream(true);
        synchronized (completeLog) {
            completeLog.clear();
        }
        process = builder.start();
        InputStream out = process.getInputStream();
        reader = new Thread(() -> readLog(out), "log");
        reader.setDaemon(true);
        reader.start();
    }

    private void readLog(InputStream from) {
        try (BufferedReader in = new BufferedReader(new InputStreamReader(from, StandardCharsets.UTF_8));
                Writer copy = logCopy == null
                        ? Writer.nullWriter()
                        : Files.newBufferedWriter(logCopy, StandardOpenOption.CREATE, StandardOpenOption.APPEND)) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                copy.write(line + "\n");
                copy.flush();
                synchronized (completeLog) {
                    while (logUnread) {
                        completeLog.wait();
                    }
                    completeLog.add(line);
                    completeLog.notifyAll();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            // the process has exited
        }
    }

    /** Starts the process and waits until it is ready. */
    public void start() throws Exception {
        launch();
        String ready = awaitLine("ready at ");
        String hostPort = ready.replaceAll(".*ready at ([^, ]+).*", "$1");
        int colon = hostPort.lastIndexOf(':');
        address = new InetSocketAddress(hostPort.substring(0, colon), Integer.parseInt(hostPort.substring(colon + 1)));
    }

    /**
     * Waits for a line with a text in the log of this start, and returns it.
     *
     * @throws AssertionError if none comes within 20 s
     */
    public String awaitLine(String text) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        synchronized (completeLog) {
            while (true) {
                for (String line : completeLog) {
                    if (line.contains(text)) {
                        return line;
                    }
                }
                long remainingMs = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
                if (remainingMs <= 0) {
                    throw new AssertionError("no line with '" + text + "' in " + completeLog);
                }
                completeLog.wait(remainingMs);
            }
        }
    }

    /** The lines of the log since this start, so far. */
    public List<String> logLines() {
        synchronized (completeLog) {
            return List.copyOf(completeLog);
        }
    }

    /** The complete log since this start, once the process has exited. */
    public List<String> completeLog() throws InterruptedException {
        reader.join(TimeUnit.SECONDS.toMillis(TIMEOUT_S));
        synchronized (completeLog) {
            return List.copyOf(completeLog);
        }
    }

    /**
     * Waits until the process exits, and returns its status.
     *
     * @throws AssertionError if it still runs after 20 s
     */
    public int exitStatus() throws InterruptedException {
        if (!process.waitFor(TIMEOUT_S, TimeUnit.SECONDS)) {
            throw new AssertionError("still running");
        }
        return process.exitValue();
    }

    /** Waits up to a time, in milliseconds, for the process to exit; false if it still runs. */
    public boolean awaitExit(long ms) throws InterruptedException {
        return process.waitFor(ms, TimeUnit.MILLISECONDS);
    }

    /** Sends it SIGTERM. */
    public void terminate() {
        process.toHandle().destroy(); // Process.destroy would close the pipe of its log as well
    }

    /** Sends it SIGKILL, if it was started, and waits until it has exited. */
    public void kill() throws InterruptedException {
        if (process != null) {
            process.destroyForcibly().waitFor();
        }
    }

    /** Its highest resident memory so far, in KiB; 0 where there is no {@code /proc}. */
    public long mostMemoryKb() throws IOException {
        return statusField("VmHWM:");
    }

    private long statusField(String field) throws IOException {
        Path status = Path.of("/proc", String.valueOf(process.pid()), "status");
        if (!Files.exists(status)) {
            return 0;
        }
        try (Stream<String> lines = Files.lines(status)) {
            return lines.filter(line -> line.startsWith(field))
                    .findFirst()
                    .map(line -> Long.parseLong(line.replaceAll("\\D", "")))
                    .orElse(0L);
        }
    }

    /** Heap in use after a full garbage collection, in KiB. */
    public long liveHeapKb() throws Exception {
        Process jcmd = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "jcmd").toString(),
                        String.valueOf(process.pid()),
                        "GC.class_histogram")
                .redirectErrorStream(true)
                .start();
        String histogram = new String(jcmd.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        String[] total = histogram
                .substring(Math.max(0, histogram.lastIndexOf("Total")))
                .trim()
                .split("\\s+");
        if (total.length != 3) {
            throw new AssertionError("no histogram: " + histogram);
        }
        return Long.parseLong(total[2]) / 1024;
    }

    /** Its open file descriptors, or 0 where there is no {@code /proc}. */
    public int descriptors() throws IOException {
        Path descriptors = Path.of("/proc", String.valueOf(process.pid()), "fd");
        if (!Files.exists(descriptors)) {
            return 0;
        }
        try (Stream<Path> entries = Files.list(descriptors)) {
            return (int) entries.count();
        }
    }

    /** Its resident memory now, in KiB; 0 where there is no {@code /proc}. */
    public long memoryKb() throws IOException {
        return statusField("VmRSS:");
    }

    /** Its state folder, which outlives the process. */
    public Path state() {
        return folder.resolve("state");
    }

    /** The only file in its state folder. */
    public Path stateFile() throws IOException {
        try (Stream<Path> files = Files.list(state())) {
            return files.findFirst().orElseThrow();
        }
    }

    /** Hands in a message on a new connection and returns the head of the response; {@code key} may be null. */
    public String submit(String id, String type, long timeoutMs, String addressing, String key, byte[] body)
            throws IOException {
        ByteArrayOutputStream request = new ByteArrayOutputStream();
        request.writeBytes(submissionHead(id, type, timeoutMs, addressing, key, body.length)
                .getBytes(StandardCharsets.ISO_8859_1));
        request.writeBytes(body);
        return exchange(request.toByteArray(), false);
    }

    /** The head of a request that hands in a message with a body of {@code length} bytes; {@code key} may be null. */
    public String submissionHead(String id, String type, long timeoutMs, String addressing, String key, int length) {
        return "POST /api HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: " + id + "\r\nRequest-Class: " + type
                + "\r\nRequest-Timeout-Ms: " + timeoutMs + "\r\nX-Addressing: " + addressing + "\r\n"
                + (key == null ? "" : "Idempotency-Key: " + key + "\r\n") + "Content-Length: " + length + "\r\n\r\n";
    }

    /** Sends a GET request and returns the head of the response. */
    public String get(String path) throws IOException {
        return sendText("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
    }

    /** Writes a text on a new connection and returns the head of the response. */
    public String sendText(String text) throws IOException {
        return exchange(text.getBytes(StandardCharsets.ISO_8859_1), false);
    }

    /** Writes a text on a new connection and returns all that is read until the relay closes it. */
    public String sendTextUntilClosed(String text) throws IOException {
        return exchange(text.getBytes(StandardCharsets.ISO_8859_1), true);
    }

    private String exchange(byte[] bytes, boolean untilClosed) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(address);
            return exchange(socket, bytes, untilClosed);
        }
    }

    private static String exchange(Socket socket, byte[] bytes, boolean untilClosed) throws IOException {
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_S));
        socket.getOutputStream().write(bytes);
        StringBuilder response = new StringBuilder();
        for (int next = socket.getInputStream().read();
                next >= 0;
                next = socket.getInputStream().read()) {
            response.append((char) next);
            if (!untilClosed
                    && response.length() > 4
                    && response.substring(response.length() - 4).equals("\r\n\r\n")) {
                break;
            }
        }
        return response.toString();
    }

    /** Hands in messages at the same time, each on its own connection that was opened before; returns all heads. */
    public List<String> handInAtOnce(int clients, int bytes) throws InterruptedException, ExecutionException {
        ExecutorService pool = Executors.newFixedThreadPool(clients);
        CountDownLatch connected = new CountDownLatch(clients);
        List<Future<String>> responses = new ArrayList<>();
        for (int i = 0; i < clients; i++) {
            String head = submissionHead("c" + i, "safe", 20_000, "dest=7", null, bytes);
            responses.add(pool.submit(() -> {
                try (Socket socket = new Socket()) {
                    socket.connect(address);
                    connected.countDown();
                    connected.await();
                    return exchange(socket, (head + "x".repeat(bytes)).getBytes(StandardCharsets.ISO_8859_1), false);
                }
            }));
        }
        List<String> all = new ArrayList<>();
        for (Future<String> response : responses) {
            all.add(response.get());
        }
        pool.shutdown();
        return all;
    }
}
