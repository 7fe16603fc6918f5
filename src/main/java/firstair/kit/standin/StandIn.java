package firstair.kit.standin;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/**
 * A small HTTP/1.1 server that plays a peer, on a loopback port of its own: one thread a connection, one handler for
 * all. What a handler leaves unanswered stays open and silent.
 */
public class StandIn implements AutoCloseable {
    /** What came, and the connection to answer on. */
    public record Request(Socket socket, String method, String target, Map<String, String> headers, byte[] body) {
        /** Answers with a status, an empty body and headers. */
        public void answer(int status, String... headers) throws IOException {
            answer(status, new byte[0], headers);
        }

        /** Answers with a status, a body and headers. */
        public void answer(int status, byte[] body, String... headers) throws IOException {
            StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " x\r\n");
            for (String h : headers) {
                head.append(h).append("\r\n");
            }
            head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            all.writeBytes(body);
            write(all.toByteArray());
        }

        /** Writes bytes as they are. */
        public void write(byte[] bytes) throws IOException {
            socket.getOutputStream().write(bytes);
            socket.getOutputStream().flush();
        }

        /** Resets the connection. */
        public void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        /** A header, or null. */
        public String header(String lowerCaseName) {
            return headers.get(lowerCaseName);
        }
    }

    /** Serves one request; what it does not answer stays open and silent. */
    public interface Handler {
        /** Answers, resets or does nothing. */
        void handle(Request request) throws IOException;
    }

    private final ServerSocket server;
    private final Handler handler;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final AtomicInteger accepted = new AtomicInteger();
    private volatile Consumer<Socket> whenEnded = s -> {};

    /** Listens on a free port of the loopback address. */
    public StandIn(Handler handler) throws IOException {
        this(0, handler);
    }

    /** Listens on a given port of the loopback address. */
    public StandIn(int port, Handler handler) throws IOException {
        this.handler = handler;
        server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 50);
        start(this::accept);
    }

    private static void start(Runnable task) {
        Thread t = new Thread(task, "stand-in");
        t.setDaemon(true);
        t.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket s = server.accept();
                accepted.incrementAndGet();
                open.add(s);
                start(() -> serve(s));
            }
        } catch (IOException e) {
            // closed
        }
    }

    private void serve(Socket s) {
        try (s) {
            InputStream in = new BufferedInputStream(s.getInputStream());
            for (Request r = read(s, in); r != null; r = read(s, in)) {
                handler.handle(r);
            }
        } catch (IOException e) {
            // the other side has left, or the handler has
        } finally {
            whenEnded.accept(s);
            open.remove(s);
        }
    }

    private static Request read(Socket s, InputStream in) throws IOException {
        String start = line(in);
        if (start == null) {
            return null;
        }
        Map<String, String> headers = new HashMap<>();
        for (String h = line(in); h != null && !h.isEmpty(); h = line(in)) {
            int colon = h.indexOf(':');
            headers.put(
                    h.substring(0, colon).toLowerCase(Locale.ROOT),
                    h.substring(colon + 1).trim());
        }
        byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        String[] words = start.split(" ");
        return new Request(s, words[0], words[1], headers, body);
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b >= 0; b = in.read()) {
            if (b == '\n') {
                return line.toString(StandardCharsets.ISO_8859_1).trim();
            }
            line.write(b);
        }
        return null;
    }

    /** Takes no new connection from now on; those that are open go on. */
    public void refuse() throws IOException {
        server.close();
    }

    /** Tells each connection that the other side has ended, or whose handler has failed. */
    public void whenEnded(Consumer<Socket> told) {
        whenEnded = told;
    }

    /** Connections that came so far. */
    public int accepted() {
        return accepted.get();
    }

    /** Connections that are open now. */
    public int open() {
        return open.size();
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    /** Where it listens, as the list of endpoints has it. */
    public String hostPort() {
        return address().getAddress().getHostAddress() + ":" + address().getPort();
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket s : open) {
            s.close();
        }
    }
}
