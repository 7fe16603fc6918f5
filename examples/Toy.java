import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Executors;

/**
 * A toy partner and a toy platform in one, to try a relay with. The partner listens on port 8601 and answers
 * with what {@code examples/answer.txt} says, if it is there: a status, or {@code silent}. The platform listens
 * on port 8500 and knows one endpoint. Start it from the root: {@code java examples/Toy.java}.
 */
public final class Toy {
    private static final Path ANSWER = Path.of("examples", "answer.txt");
    private static final String LIST = "{\"version\":1,\"full\":true,\"servers\":[{\"id\":\"s-1\","
            + "\"addr\":\"127.0.0.1:8601\",\"zone\":\"here\",\"kind\":\"small\",\"cell\":7,\"state\":\"up\","
            + "\"weight\":1.0,\"started_ms\":0}]}\n";

    private Toy() { }

    /** Serves until it is stopped. */
    public static void main(String[] args) throws IOException {
        server(8601, "/receive", Toy::receive);
        HttpServer platform = server(8500, "/api/targets", Toy::targets);
        platform.createContext("/status", x -> {
            System.out.print("notice: " + text(x));
            x.sendResponseHeaders(204, -1);
            x.close();
        });
        System.out.println("toy partner on 8601, toy platform on 8500");
    }

    private static HttpServer server(int port, String path, com.sun.net.httpserver.HttpHandler handler)
            throws IOException {
        HttpServer s = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 50);
        s.setExecutor(Executors.newCachedThreadPool());
        s.createContext(path, handler);
        s.start();
        return s;
    }

    private static String text(HttpExchange x) throws IOException {
        return new String(x.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
    }

    private static void receive(HttpExchange x) throws IOException {
        String answer = Files.exists(ANSWER) ? Files.readString(ANSWER).trim() : "200";
        System.out.println("call " + x.getRequestHeaders().getFirst("Request-Id") + " key "
                + x.getRequestHeaders().getFirst("Idempotency-Key") + ": " + text(x) + " -> " + answer);
        if (answer.equals("silent")) {
            return; // the relay gives it up
        }
        x.sendResponseHeaders(Integer.parseInt(answer), -1);
        x.close();
    }

    /** The list; a watch stays open and gets an empty line every 2 s. */
    private static void targets(HttpExchange x) throws IOException {
        byte[] list = LIST.getBytes(StandardCharsets.UTF_8);
        String query = x.getRequestURI().getQuery();
        if (query == null || !query.contains("follow=1")) {
            x.sendResponseHeaders(200, list.length);
            x.getResponseBody().write(list);
            x.close();
            return;
        }
        x.sendResponseHeaders(200, 0);
        try (OutputStream out = x.getResponseBody()) {
            out.write(list);
            out.flush();
            while (true) {
                Thread.sleep(2000);
                out.write('\n');
                out.flush();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
