package firstair.kit.standin;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/**
 * A small HTTP/1.1 server that stands in for a peer of a relay. It listens on a loopback port, has one thread for each
 * connection and one handler for all of them. If the handler does not answer, the connection stays open and silent.
 */
public class StandIn implements AutoCloseable {
    /**
     * A request, and the connection on which it is answered.
     *
     * @param headers by their names in lower case
     */
    public record Request(Socket socket, String method, String target, Map<String, String> headers, byte[] body) {
        /** Answers with a status, an empty body and headers, each a whole line. */
        public void answer(int status, String... headers) throws IOException {
            answer(status, new byte[0], headers);
        }

        /** Answers with a status, a body and headers, each a whole line. */
        public void answer(int status, byte[] body, String... headers) throws IOException {
            StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " x\r\n");
            for (String header : headers) {
                head.append(header).append("\r\n");
            }
            head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
            ByteArrayOutputStream response = new ByteArrayOutputStream();
            response.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            response.writeBytes(body);
            write(response.toByteArray());
        }

        /** Writes bytes unchanged. */
        public void write(byte[] bytes) throws IOException {
            socket.getOutputStream().write(bytes);
            socket.getOutputStream().flush();
        }

        /** Closes the connection with a TCP reset. */
        public void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        /** The value of a header, or null. */
        public String header(String lowerCaseName) {
            return headers.get(lowerCaseName);
        }
    }

    /** Handles requests; a connection whose request it does not answer stays open and silent. */
    public interface Handler {
        /** Answers the request, resets its connection or does nothing. An exception closes the connection. */
        void handle(Request request) throws IOException;
    }

    private static final int BACKLOG = 50;
    private static final int FILLER_CONNECT_MS = 50; // on the loopback address it takes less if there is room
    private static final int HOLD_POLL_MS = 1;

    private final ServerSocket server;
    private final Handler handler;
    private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();
    private final AtomicInteger acceptedCount = new AtomicInteger();
    private final List<Socket> queueFillers = new ArrayList<>();
    private volatile Consumer<Socket> onConnectionEnd = socket -> {};
    private volatile boolean holding; // accepts no connection

    /** Listens on a free port of the loopback address. */
    public StandIn(Handler handler) throws IOException {
        this(0, handler);
    }

    /** Listens on a given port of the loopback address. */
    public StandIn(int port, Handler handler) throws IOException {
        this(port, BACKLOG, handler);
    }

    /** Listens on a given port of the loopback address; so many connections may wait to be accepted. */
    public StandIn(int port, int backlog, Handler handler) throws IOException {
        this.handler = handler;
        server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), backlog);
        start(this::accept);
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "stand-in");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                while (holding) {
                    Thread.sleep(HOLD_POLL_MS);
                }
                acceptedCount.incrementAndGet();
                openSockets.add(socket);
                start(() -> serve(socket));
            }
        } catch (IOException e) {
            // the listener has been closed
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Fills the queue of connections that wait to be accepted, which should be short. The system drops further attempts
     * to connect, and a peer repeats them a second later. Open connections are not affected.
     */
    public void holdNewConnections() throws IOException {
        holding = true;
        int dropped = 0;
        while (dropped < 2) { // the accepting thread may still take one
            Socket filler = new Socket();
            try {
                filler.connect(address(), FILLER_CONNECT_MS);
                queueFillers.add(filler);
                dropped = 0;
            } catch (SocketTimeoutException e) {
                filler.close();
                dropped++;
            }
        }
    }

    /** Accepts connections again after {@link #holdNewConnections}. */
    public void acceptNewConnections() throws IOException {
        holding = false;
        for (Socket filler : queueFillers) {
            filler.close();
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (Request request = read(socket, in); request != null; request = read(socket, in)) {
                handler.handle(request);
            }
        } catch (IOException e) {
            // closed by the client or by the handler
        } finally {
            onConnectionEnd.accept(socket);
            openSockets.remove(socket);
        }
    }

    private static Request read(Socket socket, InputStream in) throws IOException {
        String requestLine = readLine(in);
        if (requestLine == null) {
            return null;
        }
        Map<String, String> headers = new HashMap<>();
        for (String header = readLine(in); header != null && !header.isEmpty(); header = readLine(in)) {
            int colon = header.indexOf(':');
            headers.put(
                    header.substring(0, colon).toLowerCase(Locale.ROOT),
                    header.substring(colon + 1).trim());
        }
        byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        String[] words = requestLine.split(" ");
        return new Request(socket, words[0], words[1], headers, body);
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (next == '\n') {
                return line.toString(StandardCharsets.ISO_8859_1).trim();
            }
            line.write(next);
        }
        return null;
    }

    /** Stops listening; open connections are not affected. */
    public void stopListening() throws IOException {
        server.close();
    }

    /** Sets a listener that is called when a connection ends, whichever side has closed it. */
    public void onConnectionEnd(Consumer<Socket> listener) {
        onConnectionEnd = listener;
    }

    /** Number of connections accepted so far. */
    public int acceptedCount() {
        return acceptedCount.get();
    }

    /** Number of connections that are open now. */
    public int openCount() {
        return openSockets.size();
    }

    /** The address on which it listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    /** The address on which it listens, host:port as in the list of endpoints. */
    public String hostPort() {
        return address().getAddress().getHostAddress() + ":" + address().getPort();
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : openSockets) {
            socket.close();
        }
    }
}
