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

/** The program as a process of its own, and a client of it. */
public final class Node {
    private static final int WAIT_S = 20;
    /** What the manifest of the jar says, which counts only for {@code java -jar}. */
    private static final String OPENED_PACKAGE = "--add-opens=java.base/sun.nio.ch=ALL-UNNAMED";

    private final Path folder;
    private String discovery;
    private String known;
    private final List<String> log = new ArrayList<>();
    private String config;
    private int memoryMb = 192;
    private int diskMb = 3;
    private int sockets = 1024;
    private String listen = "127.0.0.1:0";
    private String name = "n0";
    private int group = 1;
    private int slot;
    private List<String> zones = List.of("z");
    private String zone = "z";
    private String fleet;
    private int niceness;
    private boolean ignoring;
    private boolean signalled;
    private UnaryOperator<String> adjustment = UnaryOperator.identity();
    private final Map<String, String> environment = new HashMap<>();
    private Path settings;
    private volatile boolean unread;
    private Path logCopy;
    private Process process;
    private Thread reader;
    private InetSocketAddress address;

    /** Its files go to the folder; {@code known} is the list it starts with. */
    public Node(Path folder, String discovery, String known) {
        this.folder = folder;
        this.discovery = discovery;
        this.known = known;
    }

    /** Memory that it may hold, MB. */
    public void memoryMb(int mb) {
        memoryMb = mb;
    }

    /** Room for the lasting folder. */
    public void diskMb(int mb) {
        diskMb = mb;
    }

    /** Descriptors that it may hold. */
    public void sockets(int most) {
        sockets = most;
    }

    /** From now on nobody reads its log. */
    public void leaveLogUnread() {
        unread = true;
    }

    /** From its next start on it logs each request, call and notice; all lines go to a file as well. */
    public void trace(Path copy) throws IOException {
        Path levels = folder.resolve("logging.properties");
        Files.writeString(levels, "firstair.level = FINE\n");
        environment("JAVA_TOOL_OPTIONS", "-Djava.util.logging.config.file=" + levels.toAbsolutePath());
        logCopy = copy;
    }

    /** A file with settings of ours. */
    public void settings(Path file) {
        settings = file;
    }

    /** How much less than others it gets of the cores, from 0 to 19. */
    public void niceness(int by) {
        niceness = by;
    }

    /** Started from now on with SIGHUP ignored, as by {@code nohup}. */
    public void ignoreHangUps() {
        ignoring = true;
    }

    /** Started from now on without the deployment's script, so that SIGHUP reaches it as a signal. */
    public void takeSignals() {
        signalled = true;
    }

    /** Changes the configuration that would be written, from the next writing on. */
    public void adjust(UnaryOperator<String> change) {
        adjustment = change;
    }

    /** A variable of its environment from its next start on. */
    public void environment(String variable, String value) {
        environment.put(variable, value);
    }

    /** Its number as a process. */
    public long pid() {
        return process.pid();
    }

    /** Sends it a signal by name. */
    public void signal(String signal) throws Exception {
        new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid()))
                .inheritIO()
                .start()
                .waitFor();
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return address;
    }

    /** Where a relay listens that runs in this process. */
    public void address(InetSocketAddress at) {
        address = at;
    }

    /** Where it is to listen. */
    public void listen(String at) {
        listen = at;
    }

    /** Its name, the number of relays that share the destinations, and its own number among them. */
    public void group(String self, int relays, int number) {
        name = self;
        group = relays;
        slot = number;
    }

    /** All zones, and the one that it is in. */
    public void zones(List<String> all, String own) {
        zones = List.copyOf(all);
        zone = own;
    }

    /**
     * Lets it talk to other relays from its next start on: the platform allows it, and the settings of ours are this
     * text, with the table {@code fleet}. It is written to a file of its own in place of {@link #settings(Path)}.
     */
    public void fleet(String toml) {
        fleet = toml;
        settings = folder.resolve("settings.toml");
    }

    /** The list that it starts with from now on. */
    public void known(String list) {
        known = list;
    }

    /** A configuration of one's own. */
    public void config(String text) {
        config = text;
    }

    private String settings() {
        return "{\"groupSize\":" + group + ",\"slotNo\":" + slot + ",\"az\":" + zones.indexOf(zone) + ",\"azs\":[\""
                + String.join("\",\"", zones) + "\"],\"discovery\":\"ask\",\"quantum\":1.0,"
                + "\"weightKind\":\"none\",\"shapes\":[\"one\",\"many\"],\"classes\":["
                + type("safe", "retryable") + "," + type("keyed", "dedup") + "," + type("unsafe", "fragile") + "],"
                + "\"familyInfo\":{\"bundleMax\":[1,20],\"kindApart\":[false,false],\"late\":\"linear\","
                + "\"maxCalls\":8},"
                + "\"limits\":{" + (fleet == null ? "" : "\"peers\":true,") + "\"cancelling\":true,"
                + "\"connIdle\":10000.0,\"connectTimeout\":1000.0,\"maxAttempts\":12,"
                + "\"maxOpen\":100,\"maxRetryAfter\":3000.0,\"retryAfter\":true,\"multiplex\":1},"
                + "\"safety\":{\"answerSlack\":20.0,\"askEvery\":10000.0,\"drainGrace\":1000.0,\"fallMultiple\":1.5,"
                + "\"overloadFor\":2000.0,\"startCapacity\":0.25,\"warmAfter\":10000.0}}";
    }

    private static String type(String name, String effect) {
        return "{\"name\":\"" + name + "\",\"semantics\":\"" + effect + "\",\"aim\":2000.0,\"deadline\":30000.0,"
                + "\"group\":\"all\",\"repeatWindow\":30000.0,\"importance\":1.0,\"lateValue\":0.5,"
                + "\"streaming\":false}";
    }

    private static String place(Class<?> of) throws URISyntaxException {
        return Path.of(of.getProtectionDomain().getCodeSource().getLocation().toURI())
                .toString();
    }

    /** Where discovery is from the next writing of the configuration on. */
    public void discovery(String at) {
        discovery = at;
    }

    /** Writes its configuration again and sends it SIGHUP. */
    public void hangUp() throws Exception {
        write();
        signalHangUp();
    }

    /** Sends it SIGHUP. */
    public void signalHangUp() throws Exception {
        signal("HUP");
    }

    /** Writes its configuration, and its settings of ours if they are given as a text. */
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
                        + ",\"sockets\":" + sockets + ",\"disk_mb\":" + diskMb + "},\"known\":" + known
                        + ",\"settings\":" + settings()
                        + "}";
        Files.writeString(draft, adjustment.apply(text));
        return Files.move(draft, file, StandardCopyOption.ATOMIC_MOVE);
    }

    /** Starts the process. */
    public void launch() throws Exception {
        if (!Files.exists(state())) {
            Files.createDirectories(state());
        }
        Path file = write();
        List<String> classPath = new ArrayList<>(List.of(place(Main.class), place(Grizzly.class), place(Gson.class)));
        if (fleet != null) { // what a fleet needs beside them is loaded only then
            classPath.add(System.getProperty("java.class.path"));
        } else if (settings != null) { // without them a relay needs no reader of them
            classPath.add(place(Toml.class));
            classPath.add(place(Class.forName("org.antlr.v4.runtime.CharStream")));
        }
        List<String> command = new ArrayList<>(List.of(
                "sh",
                "-c",
                (ignoring ? "trap '' HUP; " : "") + "exec \"$@\"",
                "sh",
                "nice",
                "-n",
                String.valueOf(niceness)));
        command.addAll(
                signalled
                        ? List.of("java", "-XX:+UseSerialGC", "-Xmx64m", "-XX:TieredStopAtLevel=1")
                        : List.of("sh", Path.of("deploy", "run.sh").toString()));
        command.addAll(List.of(
                OPENED_PACKAGE,
                "-cp",
                String.join(System.getProperty("path.separator"), classPath),
                "firstair.Main",
                "serve"));
        ProcessBuilder b = new ProcessBuilder(command);
        b.environment().putAll(environment);
        b.environment()
                .merge(
                        "PATH",
                        Path.of(System.getProperty("java.home"), "bin").toString(),
                        (path, java) -> java + System.getProperty("path.separator") + path);
        b.environment().put("ROUTER_CONFIG", file.toString());
        b.environment().put("ROUTER_STATE", state().toString());
        if (settings != null) {
            b.environment().put("FIRSTAIR_SETTINGS", settings.toString());
        }
        b.redirectErrorStream(true);
        synchronized (log) {
            log.clear();
        }
        process = b.start();
        InputStream out = process.getInputStream();
        reader = new Thread(() -> read(out), "log");
        reader.setDaemon(true);
        reader.start();
    }

    private void read(InputStream from) {
        try (BufferedReader in = new BufferedReader(new InputStreamReader(from, StandardCharsets.UTF_8));
                Writer copy = logCopy == null
                        ? Writer.nullWriter()
                        : Files.newBufferedWriter(logCopy, StandardOpenOption.CREATE, StandardOpenOption.APPEND)) {
            for (String l = in.readLine(); l != null; l = in.readLine()) {
                copy.write(l + "\n");
                copy.flush();
                synchronized (log) {
                    while (unread) {
                        log.wait();
                    }
                    log.add(l);
                    log.notifyAll();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            // the process is gone
        }
    }

    /** Starts the process and waits until it is ready. */
    public void start() throws Exception {
        launch();
        String ready = line("ready at ");
        String at = ready.replaceAll(".*ready at ([^, ]+).*", "$1");
        int colon = at.lastIndexOf(':');
        address = new InetSocketAddress(at.substring(0, colon), Integer.parseInt(at.substring(colon + 1)));
    }

    /** Waits for a line of the log of this start. */
    public String line(String with) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_S);
        synchronized (log) {
            while (true) {
                for (String l : log) {
                    if (l.contains(with)) {
                        return l;
                    }
                }
                long left = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
                if (left <= 0) {
                    throw new AssertionError("no line with '" + with + "' in " + log);
                }
                log.wait(left);
            }
        }
    }

    /** What this start has logged so far. */
    public List<String> lines() {
        synchronized (log) {
            return List.copyOf(log);
        }
    }

    /** The log of a start that has ended. */
    public List<String> log() throws InterruptedException {
        reader.join(TimeUnit.SECONDS.toMillis(WAIT_S));
        synchronized (log) {
            return List.copyOf(log);
        }
    }

    /** Exit status, once it has ended. */
    public int status() throws InterruptedException {
        if (!process.waitFor(WAIT_S, TimeUnit.SECONDS)) {
            throw new AssertionError("still running");
        }
        return process.exitValue();
    }

    /** Whether it ends within a time. */
    public boolean ended(long ms) throws InterruptedException {
        return process.waitFor(ms, TimeUnit.MILLISECONDS);
    }

    /** Tells it to end. */
    public void terminate() {
        process.toHandle().destroy(); // a process's own destroy would close its log as well
    }

    /** Kills it outright. */
    public void kill() throws InterruptedException {
        if (process != null) {
            process.destroyForcibly().waitFor();
        }
    }

    /** The most memory that it held so far, in KiB; 0 where the system does not tell. */
    public long mostMemoryKb() throws IOException {
        return status("VmHWM:");
    }

    private long status(String field) throws IOException {
        Path status = Path.of("/proc", String.valueOf(process.pid()), "status");
        if (!Files.exists(status)) {
            return 0;
        }
        try (Stream<String> lines = Files.lines(status)) {
            return lines.filter(l -> l.startsWith(field))
                    .findFirst()
                    .map(l -> Long.parseLong(l.replaceAll("\\D", "")))
                    .orElse(0L);
        }
    }

    /** What of its heap is in use once it has been collected whole, in KiB. */
    public long liveHeapKb() throws Exception {
        Process jcmd = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "jcmd").toString(),
                        String.valueOf(process.pid()),
                        "GC.class_histogram")
                .redirectErrorStream(true)
                .start();
        String all = new String(jcmd.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        String[] total =
                all.substring(Math.max(0, all.lastIndexOf("Total"))).trim().split("\\s+");
        if (total.length != 3) {
            throw new AssertionError("no histogram: " + all);
        }
        return Long.parseLong(total[2]) / 1024;
    }

    /** Open descriptors, or 0 where the system does not tell. */
    public int descriptors() throws IOException {
        Path all = Path.of("/proc", String.valueOf(process.pid()), "fd");
        if (!Files.exists(all)) {
            return 0;
        }
        try (Stream<Path> each = Files.list(all)) {
            return (int) each.count();
        }
    }

    /** Memory that it holds now, in KiB; 0 where the system does not tell. */
    public long memoryKb() throws IOException {
        return status("VmRSS:");
    }

    /** The folder that lasts. */
    public Path state() {
        return folder.resolve("state");
    }

    /** Its one file. */
    public Path file() throws IOException {
        try (Stream<Path> all = Files.list(state())) {
            return all.findFirst().orElseThrow();
        }
    }

    /** Hands in a message on a new connection and returns the head of the answer. */
    public String handIn(String id, String type, long timeoutMs, String addressing, String key, byte[] body)
            throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.writeBytes(
                handInText(id, type, timeoutMs, addressing, key, body.length).getBytes(StandardCharsets.ISO_8859_1));
        all.writeBytes(body);
        return exchange(all.toByteArray(), false);
    }

    /** The head of such a request. */
    public String handInText(String id, String type, long timeoutMs, String addressing, String key, int length) {
        return "POST /api HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: " + id + "\r\nRequest-Class: " + type
                + "\r\nRequest-Timeout-Ms: " + timeoutMs + "\r\nX-Addressing: " + addressing + "\r\n"
                + (key == null ? "" : "Idempotency-Key: " + key + "\r\n") + "Content-Length: " + length + "\r\n\r\n";
    }

    /** Asks for a path. */
    public String get(String path) throws IOException {
        return raw("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
    }

    /** Writes a text and returns the head of the answer. */
    public String raw(String text) throws IOException {
        return exchange(text.getBytes(StandardCharsets.ISO_8859_1), false);
    }

    /** Writes a text and returns all that comes until the relay closes. */
    public String rawAll(String text) throws IOException {
        return exchange(text.getBytes(StandardCharsets.ISO_8859_1), true);
    }

    private String exchange(byte[] bytes, boolean all) throws IOException {
        try (Socket s = new Socket()) {
            s.connect(address);
            return exchange(s, bytes, all);
        }
    }

    private static String exchange(Socket s, byte[] bytes, boolean all) throws IOException {
        s.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_S));
        s.getOutputStream().write(bytes);
        StringBuilder answer = new StringBuilder();
        for (int b = s.getInputStream().read(); b >= 0; b = s.getInputStream().read()) {
            answer.append((char) b);
            if (!all
                    && answer.length() > 4
                    && answer.substring(answer.length() - 4).equals("\r\n\r\n")) {
                break;
            }
        }
        return answer.toString();
    }

    /** Hands in so many messages at the same moment, each on a connection of its own that is already open. */
    public List<String> together(int clients, int bytes) throws InterruptedException, ExecutionException {
        ExecutorService pool = Executors.newFixedThreadPool(clients);
        CountDownLatch open = new CountDownLatch(clients);
        List<Future<String>> answers = new ArrayList<>();
        for (int i = 0; i < clients; i++) {
            String head = handInText("c" + i, "safe", 20_000, "dest=7", null, bytes);
            answers.add(pool.submit(() -> {
                try (Socket s = new Socket()) {
                    s.connect(address);
                    open.countDown();
                    open.await();
                    return exchange(s, (head + "x".repeat(bytes)).getBytes(StandardCharsets.ISO_8859_1), false);
                }
            }));
        }
        List<String> all = new ArrayList<>();
        for (Future<String> f : answers) {
            all.add(f.get());
        }
        pool.shutdown();
        return all;
    }
}
