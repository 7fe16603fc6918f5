import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Starts a relay once, hands it some messages and ends it, so that the virtual machine can write down the classes that
 * it loaded. {@code java deploy/Practice.java JAR ARCHIVE}, from the root; part of the build, measures nothing.
 */
public final class Practice {
    private static final int MESSAGES = 40;
    private static final int WAIT_S = 20;

    private Practice() { }

    /** Ends with status 1 if there is no archive in the end. */
    public static void main(String[] args) throws Exception {
        AtomicInteger calls = new AtomicInteger();
        HttpServer partner = server("/", x -> {
            int n = calls.incrementAndGet();
            byte[] body = x.getRequestBody().readAllBytes();
            x.getResponseHeaders().add("Server-Load", "{\"x0\":0.5,\"x1\":25}");
            if (n % 5 == 0) {
                x.getResponseHeaders().add("Retry-After", "0.1");
                x.sendResponseHeaders(429, -1);
            } else if (x.getRequestURI().getPath().endsWith("many")) {
                StringBuilder ends = new StringBuilder();
                for (String line : new String(body, StandardCharsets.ISO_8859_1).split("\r\n")) {
                    ends.append(line.contains(" ") ? line.split(" ")[0] + " ok\r\n" : "");
                }
                send(x, 200, ends.toString());
            } else {
                x.sendResponseHeaders(n % 7 == 0 ? 500 : 200, -1);
            }
            x.close();
        });
        String list = "{\"version\":1,\"full\":true,\"servers\":[{\"id\":\"s-1\",\"addr\":\"" + at(partner)
                + "\",\"zone\":\"here\",\"kind\":\"small\",\"cell\":7,\"state\":\"up\",\"weight\":1.0,\"started_ms\":0}]}";
        HttpServer platform = server("/", x -> {
            x.getRequestBody().readAllBytes();
            if (x.getRequestURI().getPath().equals("/status")) {
                x.sendResponseHeaders(204, -1);
            } else {
                x.sendResponseHeaders(200, 0);
                x.getResponseBody().write((list + "\n").getBytes(StandardCharsets.UTF_8));
                x.getResponseBody().flush();
                return; // a watch stays open
            }
            x.close();
        });
        Path folder = Files.createTempDirectory(Path.of("target"), "practice");
        Path config = folder.resolve("config.json");
        Files.writeString(config, Files.readString(Path.of("examples", "config.json"))
                .replace("127.0.0.1:9000", "127.0.0.1:0").replace("127.0.0.1:8500", at(platform))
                .replace("127.0.0.1:8601", at(partner)).replace("\"bundleMax\": [1]", "\"bundleMax\": [20]"));
        Path log = folder.resolve("log");
        ProcessBuilder b = new ProcessBuilder("java", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1",
                "-XX:ArchiveClassesAtExit=" + args[1], "-jar", args[0], "serve");
        b.environment().put("ROUTER_CONFIG", config.toString());
        b.environment().put("ROUTER_STATE", folder.resolve("state").toString());
        Process relay = b.redirectErrorStream(true).redirectOutput(log.toFile()).start();
        try {
            String ready = "";
            for (int i = 0; i < WAIT_S * 100 && !ready.contains("ready at "); i++) {
                TimeUnit.MILLISECONDS.sleep(10);
                ready = Files.readString(log);
            }
            int port = Integer.parseInt(ready.replaceAll("(?s).*ready at [^ ]*:(\\d+),.*", "$1"));
            for (int i = 0; i < MESSAGES; i++) {
                String type = new String[] {"order", "notice", "letter", "odd"}[i % 4];
                ask(port, "POST /api HTTP/1.1\r\nHost: x\r\nRequest-Id: p" + i + "\r\nRequest-Class: " + type
                        + "\r\nIdempotency-Key: k" + i + "\r\nRequest-Timeout-Ms: " + (i % 9 == 0 ? 1 : 2000)
                        + "\r\nX-Addressing: dest=7\r\nContent-Length: 5\r\n\r\nhello");
            }
            ask(port, "nonsense\r\n\r\n");
            ask(port, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
            new ProcessBuilder("kill", "-HUP", String.valueOf(relay.pid())).start().waitFor();
            TimeUnit.SECONDS.sleep(1); // for what was handed in to be sent
            relay.toHandle().destroy();
            relay.waitFor(WAIT_S, TimeUnit.SECONDS);
        } finally {
            relay.destroyForcibly();
        }
        System.out.print(Files.readString(log));
        System.exit(Files.exists(Path.of(args[1])) ? 0 : 1);
    }

    private static HttpServer server(String path, HttpHandler handler) throws IOException {
        HttpServer s = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 50);
        s.setExecutor(Executors.newCachedThreadPool());
        s.createContext(path, handler);
        s.start();
        return s;
    }

    private static String at(HttpServer s) {
        return "127.0.0.1:" + s.getAddress().getPort();
    }

    private static void send(HttpExchange x, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.ISO_8859_1);
        x.sendResponseHeaders(status, bytes.length);
        try (OutputStream out = x.getResponseBody()) {
            out.write(bytes);
        }
    }

    private static void ask(int port, String request) throws IOException {
        try (Socket s = new Socket(InetAddress.getLoopbackAddress(), port)) {
            s.setSoTimeout(WAIT_S * 1000);
            s.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            s.getInputStream().read();
        }
    }
}
