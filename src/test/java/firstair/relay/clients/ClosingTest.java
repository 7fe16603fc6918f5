package firstair.relay.clients;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.relay.Limits;
import firstair.relay.net.NetworkTransport;
import firstair.relay.standin.Await;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.nio.NIOConnection;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Clients that send, stop and disconnect while their connections are being ended, in an order forced by latches. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ClosingTest {
    private static final int MAX_CLIENTS = 4; // connections; the soft limit is half of that
    private static final String UNKNOWN_PATH_REQUEST = "GET /other HTTP/1.1\r\n\r\n";
    private static final String MESSAGE_HEAD = "POST /api HTTP/1.1\r\nRequest-Id: m\r\nRequest-Class: safe\r\n"
            + "Request-Timeout-Ms: 9000\r\nX-Addressing: dest=7\r\nContent-Length: 1\r\n\r\n";
    private static final String MESSAGE = MESSAGE_HEAD + "x";
    /** Of a relay that failed, where the message may have run. */
    private static final String RESCUED_HEAD = MESSAGE_HEAD.replace("Request-Id", "Client-Retry: again\r\nRequest-Id");

    /** Accepts every message, at once or when the test answers it. */
    private static final class RecordingHandler implements RequestHandler {
        final BlockingQueue<Submission> waiting = new LinkedBlockingQueue<>();
        final AtomicInteger submissions = new AtomicInteger();
        volatile boolean deferring;
        volatile double now;

        @Override
        public double now() {
            return now;
        }

        @Override
        public boolean ready() {
            return true;
        }

        @Override
        public Map<String, Integer> classes() {
            return Map.of("safe", 0);
        }

        @Override
        public boolean keyed(int messageClass) {
            return false;
        }

        @Override
        public void submit(Submission message) {
            submissions.incrementAndGet();
            if (deferring) {
                waiting.add(message);
            } else {
                message.respond(202, 0);
            }
        }
    }

    private final RecordingHandler handler = new RecordingHandler();
    private final BlockingQueue<Connection<?>> accepted = new LinkedBlockingQueue<>();
    private final AtomicLong read = new AtomicLong();
    private final AtomicInteger closed = new AtomicInteger();
    private final CountDownLatch blocked = new CountDownLatch(1);
    private final CountDownLatch released = new CountDownLatch(1);
    private volatile boolean blocking;
    private Limits limits;
    private NetworkTransport wire;
    private ClientFilter filter;
    private Connection<?> listener;
    private InetSocketAddress address;

    private void serve(int clients) throws IOException {
        // Half of the heap is for clients, each with a message of maximum size.
        limits = Limits.of(0, 0, clients > 0 ? 2L * clients * 80 * 1024 : 64_000_000, 0, 0, 0);
        wire = new NetworkTransport(limits);
        filter = new ClientFilter(limits, handler);
        listener = wire.listen(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), new BlockingFilter(), filter::keepsOpen);
        address = (InetSocketAddress) listener.getLocalAddress();
    }

    /** Delegates to the filter under test, and can block between accepting a connection and handling it. */
    private final class BlockingFilter extends BaseFilter {
        @Override
        public NextAction handleAccept(FilterChainContext ctx) {
            if (blocking) {
                blockUntilReleased();
            }
            NextAction next = filter.handleAccept(ctx);
            accepted.add(ctx.getConnection());
            return next;
        }

        @Override
        public NextAction handleRead(FilterChainContext ctx) throws IOException {
            read.addAndGet(NetworkTransport.readableBytes(ctx));
            return filter.handleRead(ctx);
        }

        @Override
        public NextAction handleClose(FilterChainContext ctx) {
            NextAction next = filter.handleClose(ctx);
            closed.incrementAndGet();
            return next;
        }
    }

    @AfterEach
    void stop() throws IOException {
        released.countDown();
        if (wire != null) {
            wire.close();
        }
    }

    /** Blocks the selector thread until {@link #released}. */
    private void blockUntilReleased() {
        blocked.countDown();
        try {
            released.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Blocks the selector thread, so that nothing is read until {@link #released}. */
    private void blockSelector() throws InterruptedException {
        NetworkTransport.runOnSelectorThread(listener, this::blockUntilReleased);
        blocked.await();
    }

    private Socket client() throws IOException, InterruptedException {
        Socket client = new Socket();
        client.connect(address);
        accepted.take();
        return client;
    }

    private static void send(Socket client, String text) throws IOException {
        client.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** The status of the next response, or "end". */
    private static String nextStatus(Socket client) throws IOException {
        String head = head(client);
        return head.isEmpty() ? "end" : head.substring(9, 12);
    }

    private static String head(Socket client) throws IOException {
        client.setSoTimeout(10_000);
        InputStream in = client.getInputStream();
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int b = in.read();
            if (b < 0) {
                break;
            }
            head.append((char) b);
        }
        return head.toString();
    }

    /** The statuses of all responses until the end, or a reset. */
    private static List<String> statuses(Socket client) throws IOException {
        List<String> all = new ArrayList<>();
        try {
            for (String status = nextStatus(client); !status.equals("end"); status = nextStatus(client)) {
                all.add(status);
            }
        } catch (IOException e) {
            assertThat(e).hasMessageContaining("reset");
        }
        return all;
    }

    // ---- each way to end a connection, combined with each part of a request ----

    private enum Ending {
        DRAINED((filter, handler) -> filter.drain()),
        IDLE((filter, handler) -> {
            handler.now += 60_000;
            filter.sweep();
        }),
        GONE((filter, handler) -> filter.end(() -> {})),
        GONE_AFTER_DRAIN((filter, handler) -> {
            filter.drain();
            filter.end(() -> {});
        });

        private final BiConsumer<ClientFilter, RecordingHandler> step;

        Ending(BiConsumer<ClientFilter, RecordingHandler> step) {
            this.step = step;
        }
    }

    private enum Before {
        JUST_CONNECTED,
        SILENT,
        SERVED
    }

    private static final int[] PART_LENGTHS = {
        0, 1, 20, MESSAGE_HEAD.length() - 3, MESSAGE_HEAD.length(), MESSAGE.length()
    };

    /**
     * A part of a request is unread when its connection is ended, and the rest crosses the end. The client gets one
     * final response, 202 only if the message was accepted. It gets none only on a connection that has been served
     * before and was ended between two requests, and then nothing was accepted.
     */
    @ParameterizedTest
    @EnumSource
    void aRequestThatCrossesAnEndHasOneResponseOrIsNotRead(Ending end) throws Exception {
        for (Before before : Before.values()) {
            for (int part : PART_LENGTHS) {
                checkCrossing(end, before, part, false);
                checkCrossing(end, before, part, true);
            }
        }
    }

    /** @param after whether the rest is sent after the end, or concurrently with it */
    private void checkCrossing(Ending end, Before before, int part, boolean after) throws Exception {
        ClosingTest fixture = new ClosingTest();
        fixture.serve(0);
        try (Socket client = fixture.client()) {
            if (before == Before.SERVED) {
                send(client, MESSAGE);
                assertThat(nextStatus(client)).isEqualTo("202");
            } else if (before == Before.SILENT) {
                fixture.handler.now += 2 * fixture.limits.firstMs();
            }
            fixture.blockSelector();
            fixture.handler.submissions.set(0);
            send(client, MESSAGE.substring(0, part));
            end.step.accept(fixture.filter, fixture.handler);
            CountDownLatch done = new CountDownLatch(1);
            NetworkTransport.runOnSelectorThread(fixture.listener, done::countDown);
            fixture.released.countDown();
            if (after) {
                done.await();
            }
            try {
                for (int i = part; i < MESSAGE.length(); i++) { // one byte at a time
                    send(client, MESSAGE.substring(i, i + 1));
                }
            } catch (IOException e) {
                // ended by now
            }
            String what = end + ", " + before + ", " + part + " bytes" + (after ? ", then the rest" : "");
            List<String> statuses = fixture.statusesUntilEnd(client);
            if (part == MESSAGE.length()) {
                assertThat(statuses).as(what).containsExactly("202");
            } else if (statuses.isEmpty()) {
                assertThat(before).as(what).isEqualTo(Before.SERVED);
                assertThat(part).as(what).isZero();
            }
            assertThat(statuses).as(what).hasSizeLessThanOrEqualTo(1).isSubsetOf("202", "503", "408");
            assertThat(fixture.handler.submissions.get()).as(what).isEqualTo(statuses.contains("202") ? 1 : 0);
        } finally {
            fixture.stop();
        }
    }

    /** One status, or none; a connection that stays open after its response is ended then. */
    private List<String> statusesUntilEnd(Socket client) throws IOException {
        List<String> all = new ArrayList<>();
        try {
            String head = head(client);
            if (head.isEmpty()) {
                return all;
            }
            all.add(head.substring(9, 12));
            if (!head.contains("Connection: close")) {
                filter.end(() -> {});
            }
        } catch (IOException e) {
            return all;
        }
        all.addAll(statuses(client));
        return all;
    }

    // ---- eviction in favour of a new connection ----

    /** Opens all allowed connections, and one more that is accepted but not handled until {@link #released}. */
    private List<Socket> openAllAndBlock(Before before) throws Exception {
        serve(MAX_CLIENTS);
        List<Socket> all = new ArrayList<>();
        for (int i = 0; i < MAX_CLIENTS; i++) {
            all.add(client());
            handler.now++;
            if (i == 0 && before == Before.SERVED) {
                send(all.get(0), MESSAGE);
                assertThat(nextStatus(all.get(0))).isEqualTo("202");
            }
        }
        if (before == Before.SILENT) {
            handler.now += 2 * limits.firstMs();
        }
        handler.submissions.set(0);
        blocking = true;
        Socket more = new Socket();
        more.connect(address);
        all.add(more);
        blocked.await();
        return all;
    }

    private static void close(List<Socket> all) throws IOException {
        for (Socket client : all) {
            client.close();
        }
    }

    /** The client that would be evicted has just sent its request, which has not been read and is answered. */
    @ParameterizedTest
    @EnumSource
    void aRequestThatCrossesAnEvictionIsAnswered(Before before) throws Exception {
        List<Socket> all = openAllAndBlock(before);
        try {
            for (Socket client : all) {
                send(client, MESSAGE);
            }
            released.countDown();
            for (Socket client : all) {
                assertThat(statuses(client)).containsExactly("202");
            }
            assertThat(handler.submissions).hasValue(MAX_CLIENTS + 1);
        } finally {
            close(all);
        }
    }

    /** All connections have requests that were received and not answered yet. */
    @Test
    void aConnectionWithAPendingRequestIsNotEvicted() throws Exception {
        List<Socket> all = openAllAndBlock(Before.SILENT);
        try {
            handler.deferring = true;
            for (Socket client : all.subList(0, MAX_CLIENTS)) {
                send(client, MESSAGE);
            }
            released.countDown();
            assertThat(nextStatus(all.get(MAX_CLIENTS))).isEqualTo("503");
            for (int i = 0; i < MAX_CLIENTS; i++) {
                Submission submission = handler.waiting.take();
                assertThat(submission.clientGone()).isFalse();
                submission.respond(202, 0);
            }
            for (Socket client : all.subList(0, MAX_CLIENTS)) {
                assertThat(statuses(client)).containsExactly("202");
            }
        } finally {
            close(all);
        }
    }

    /** A client that was served before is just disconnected, others get a response. */
    @ParameterizedTest
    @CsvSource({"JUST_CONNECTED, 0, 503", "SILENT, 0, 503", "SILENT, 20, 503", "SERVED, 0, end"})
    void anEvictedClientGetsAResponseUnlessItWasServedBefore(Before before, int part, String expected)
            throws Exception {
        List<Socket> all = openAllAndBlock(before);
        try {
            for (Socket client : all.subList(0, MAX_CLIENTS)) {
                send(client, MESSAGE.substring(0, part));
            }
            released.countDown();
            assertThat(nextStatus(all.get(0))).isEqualTo(expected);
            assertThat(statuses(all.get(0))).isEmpty();
            send(all.get(MAX_CLIENTS), MESSAGE);
            assertThat(nextStatus(all.get(MAX_CLIENTS))).isEqualTo("202");
        } finally {
            close(all);
        }
    }

    /** A rejected client keeps sending and is evicted before that is read: its response is not lost by a reset. */
    @Test
    void aRejectedClientThatIsEvictedGetsItsResponseAndAnEnd() throws Exception {
        serve(MAX_CLIENTS);
        List<Socket> all = new ArrayList<>();
        try {
            for (int i = 0; i < MAX_CLIENTS; i++) {
                all.add(client());
            }
            Socket rejected = all.get(1);
            send(rejected, "nonsense\r\n");
            Await.until("the invalid request to be read", () -> read.get() > 0);
            blocking = true;
            Socket more = new Socket();
            more.connect(address);
            all.add(more);
            blocked.await();
            send(rejected, "and on");
            released.countDown();
            send(more, UNKNOWN_PATH_REQUEST);
            assertThat(nextStatus(more)).isEqualTo("404"); // admitted by now
            assertThat(nextStatus(rejected)).isEqualTo("400");
            assertThat(rejected.getInputStream().read()).isEqualTo(-1);
        } finally {
            close(all);
        }
    }

    // ---- floods ----

    /** It sends far more than is buffered while its request is pending; that request is answered all the same. */
    @Test
    void aFloodingClientGetsTheResponseToItsPendingRequest() throws Exception {
        serve(0);
        handler.deferring = true;
        try (Socket client = client()) {
            String all = MESSAGE + UNKNOWN_PATH_REQUEST.repeat(5 * limits.maxHead() / UNKNOWN_PATH_REQUEST.length());
            send(client, all);
            Await.until("everything to be read", () -> read.get() >= all.length() || closed.get() > 0);
            Submission submission = handler.waiting.take();
            assertThat(submission.clientGone()).isFalse();
            submission.respond(202, 0);
            assertThat(statuses(client)).containsExactly("202");
        }
    }

    /** Hundreds of small requests follow a pending one; answering them all in one go would make other clients wait. */
    @Test
    void onlyAFewOfManyPipelinedRequestsAreAnswered() throws Exception {
        serve(0);
        handler.deferring = true;
        try (Socket client = client()) {
            send(client, MESSAGE + UNKNOWN_PATH_REQUEST.repeat(500));
            handler.waiting.take().respond(202, 0);
            int responses = 0;
            String head;
            do {
                head = head(client);
                responses++;
            } while (!head.isEmpty() && !head.contains("Connection: close"));
            assertThat(head).contains("Connection: close");
            assertThat(responses).isLessThan(20);
            assertThat(statuses(client)).isEmpty();
        }
    }

    /** Its responses would fill the memory, and its connection would last until it has read them. */
    @Test
    void aClientThatNeverReadsIsDisconnected() throws Exception {
        serve(0);
        try (Socket client = new Socket()) {
            client.setReceiveBufferSize(4096);
            client.connect(address);
            NIOConnection connection = (NIOConnection) accepted.take();
            ((SocketChannel) connection.getChannel()).setOption(StandardSocketOptions.SO_SNDBUF, 4096);
            int maxQueuedBytes = 0;
            try {
                for (int i = 1; i < 20_000 && closed.get() == 0; i++) {
                    send(client, UNKNOWN_PATH_REQUEST);
                    long sent = (long) i * UNKNOWN_PATH_REQUEST.length();
                    Await.until("the request to be read", () -> read.get() == sent || closed.get() > 0);
                    maxQueuedBytes = Math.max(
                            maxQueuedBytes, connection.getAsyncWriteQueue().size());
                }
            } catch (IOException e) {
                // ended by now
            }
            Await.until("ended", () -> closed.get() > 0);
            assertThat(maxQueuedBytes).as("bytes of responses in memory").isLessThan(1000);
        }
    }

    /** It starts to send when its idle connection is about to be closed; the last read before that finds ever more. */
    @Test
    void anEndlessSenderDoesNotBlockOtherClients() throws Exception {
        serve(0);
        AtomicLong sent = new AtomicLong();
        try (Socket flood = new Socket();
                Socket other = new Socket()) {
            flood.connect(address);
            NIOConnection connection = (NIOConnection) accepted.take();
            send(flood, MESSAGE);
            assertThat(nextStatus(flood)).isEqualTo("202");
            // A large receive buffer, so that reading never catches up with the sender.
            ((SocketChannel) connection.getChannel()).setOption(StandardSocketOptions.SO_RCVBUF, 1 << 22);
            blockSelector();
            other.connect(address);
            handler.now += 60_000;
            filter.sweep();
            String chunk = "1;" + "x".repeat(limits.maxHead() - 100) + "\r\na\r\n";
            CountDownLatch sending = new CountDownLatch(1);
            Thread sender = new Thread(() -> {
                try {
                    send(flood, MESSAGE_HEAD.replace("Content-Length: 1", "Transfer-Encoding: chunked"));
                    for (int i = 0; i < limits.maxBody(); i++) {
                        send(flood, chunk);
                        sent.addAndGet(chunk.length());
                        sending.countDown();
                    }
                } catch (IOException e) {
                    // ended by now
                }
            });
            sender.setDaemon(true); // it ends with its connection
            sender.start();
            sending.await();
            send(other, UNKNOWN_PATH_REQUEST);
            released.countDown();
            assertThat(nextStatus(other)).isEqualTo("404");
            assertThat(sent.get()).isLessThan(100_000_000);
        }
    }

    // ---- memory ----

    /** Guards against bytes that stay counted: in the end every request would be refused for want of memory. */
    @Test
    void whatConnectionsHoldIsCountedUntilTheyEnd() throws Exception {
        serve(0);
        handler.deferring = true;
        String body = "x".repeat(1000);
        String[] sent = {
            MESSAGE.substring(0, 40),
            MESSAGE_HEAD.replace("Length: 1", "Length: 60000") + body,
            MESSAGE + MESSAGE + UNKNOWN_PATH_REQUEST,
            "nonsense\r\n" + body,
            UNKNOWN_PATH_REQUEST
        };
        for (int round = 0; round < 3; round++) {
            List<Socket> all = new ArrayList<>();
            for (String text : sent) {
                all.add(client());
                send(all.get(all.size() - 1), text);
            }
            long before = read.get();
            Await.until("something to be read", () -> read.get() >= before && filter.heldBytes() > 1000);
            handler.waiting.take().respond(202, 0);
            handler.waiting.take().respond(202, 0);
            if (round == 1) {
                filter.end(() -> {});
            }
            close(all);
            Await.until("nothing to be held", () -> filter.heldBytes() == 0);
        }
    }

    /** Guards against requests that never end and keep others out: those that began first are refused. */
    @Test
    void theOldestPartialRequestsAreRefusedForWantOfMemory() throws Exception {
        serve(MAX_CLIENTS);
        List<Socket> all = new ArrayList<>();
        try {
            String large = MESSAGE_HEAD.replace("Length: 1", "Length: " + limits.maxBody());
            for (int i = 0; i < MAX_CLIENTS; i++) {
                handler.now++;
                all.add(client());
                long before = read.get();
                send(all.get(i), large + "x".repeat(limits.maxBody() - 1));
                if (i < MAX_CLIENTS - 1) {
                    Await.until("it to be read", () -> read.get() - before == large.length() + limits.maxBody() - 1);
                }
            }
            assertThat(nextStatus(all.get(0))).isEqualTo("503");
            send(all.get(MAX_CLIENTS - 1), "x");
            assertThat(nextStatus(all.get(MAX_CLIENTS - 1))).isEqualTo("202");
            assertThat(handler.submissions).hasValue(1);
        } finally {
            close(all);
        }
    }

    // ---- clients that disconnect ----

    private enum Disconnect {
        CLOSES(Socket::close),
        /** Gives up a request by shutting down its output, as the relay gives up a call. */
        SHUTS_DOWN_OUTPUT(Socket::shutdownOutput),
        RESETS(socket -> {
            socket.setSoLinger(true, 0);
            socket.close();
        });

        private interface Step {
            void of(Socket socket) throws IOException;
        }

        private final Step step;

        Disconnect(Step step) {
            this.step = step;
        }
    }

    /**
     * The submission reports that it is void. A client that has only shut down its output may still read and gets its
     * response. A client that has closed looks the same to the relay, so its connection lasts until the response, too.
     */
    @ParameterizedTest
    @EnumSource
    void aClientThatLeavesAfterItsRequestIsReportedAsGone(Disconnect disconnect) throws Exception {
        serve(0);
        handler.deferring = true;
        Socket client = client();
        try (client;
                Socket next = client()) {
            send(client, MESSAGE);
            disconnect.step.of(client);
            Submission submission = handler.waiting.take();
            Await.until("gone", submission::clientGone);
            send(next, MESSAGE);
            Submission other = handler.waiting.take();
            submission.respond(503, 0);
            other.respond(503, 0);
            assertThat(nextStatus(next)).isEqualTo("503");
            if (!client.isClosed()) {
                assertThat(statuses(client)).containsExactly("503");
            }
            Await.until("closed", () -> closed.get() >= 1);
        }
    }

    /** Request and end arrive together: a request that can be answered at once still is. */
    @Test
    void anImmediateResponseIsWrittenAlthoughTheClientShutsDownItsOutput() throws Exception {
        serve(0);
        try (Socket client = client()) {
            blockSelector();
            send(client, UNKNOWN_PATH_REQUEST);
            client.shutdownOutput();
            released.countDown();
            assertThat(statuses(client)).containsExactly("404");
        }
    }

    // ---- responses and their requests ----

    /** After a refusal the late response to the same request is dropped, and the next request is not read. */
    @ParameterizedTest
    @ValueSource(ints = {202, 503, 504})
    void aLateResponseIsNotSentForAnotherRequest(int status) throws Exception {
        serve(0);
        handler.deferring = true;
        try (Socket client = client()) {
            send(client, MESSAGE + MESSAGE);
            Submission first = handler.waiting.take();
            filter.refusePending();
            first.respond(status, 0);
            assertThat(statuses(client)).containsExactly("503");
            assertThat(first.clientGone()).isTrue();
            assertThat(handler.submissions).hasValue(1);
        }
    }

    /** Guards against review case 7 at the end of the process, where a promise that it has not run may be wrong. */
    @Test
    void atTheEndAMessageOfAFailedRelayIsNotRefused() throws Exception {
        serve(0);
        handler.deferring = true;
        try (Socket pending = client();
                Socket partial = client();
                Socket partialHead = client()) {
            send(pending, RESCUED_HEAD + "x");
            send(partial, RESCUED_HEAD);
            send(partialHead, RESCUED_HEAD.substring(0, RESCUED_HEAD.length() - 2));
            handler.waiting.take();
            Await.until("everything to be read", () -> read.get() == 3L * RESCUED_HEAD.length() - 1);
            filter.refusePending();
            for (Socket client : Arrays.asList(pending, partial, partialHead)) {
                assertThat(statuses(client)).containsExactly("504");
            }
        }
    }

    /** Guards against the same for a client that has ended its output; what follows on a connection is judged apart. */
    @ParameterizedTest
    @ValueSource(ints = {429, 503})
    void aRefusalOfAMessageOfAFailedRelayBecomesAFailure(int status) throws Exception {
        serve(0);
        handler.deferring = true;
        try (Socket client = client()) {
            send(client, RESCUED_HEAD + "x" + MESSAGE);
            client.shutdownOutput();
            Submission rescued = handler.waiting.take();
            Await.until("gone", rescued::clientGone);
            rescued.respond(status, 500);
            String head = head(client);
            assertThat(head).startsWith("HTTP/1.1 504").doesNotContain("Retry-After");
            handler.waiting.take().respond(status, 0);
            assertThat(statuses(client)).containsExactly(String.valueOf(status));
        }
    }

    /** Requests that are pending, partly received or may be on their way are refused; an idle connection just ends. */
    @Test
    void atTheEndEveryRequestThatNeedsAResponseIsRefused() throws Exception {
        serve(0);
        try (Socket idle = client();
                Socket pending = client();
                Socket partial = client();
                Socket silent = client()) {
            send(idle, MESSAGE);
            assertThat(nextStatus(idle)).isEqualTo("202");
            handler.deferring = true;
            send(pending, MESSAGE);
            send(partial, MESSAGE_HEAD);
            handler.waiting.take();
            Await.until("everything to be read", () -> read.get() == 2 * MESSAGE.length() + MESSAGE_HEAD.length());
            filter.refusePending();
            wire.close();
            for (Socket client : Arrays.asList(pending, partial, silent)) {
                assertThat(statuses(client)).containsExactly("503");
            }
            assertThat(statuses(idle)).isEmpty();
        }
    }

    /** Without TCP_NODELAY a small write waits for the acknowledgement of the one before, and a reset discards it. */
    @Test
    void responsesAreWrittenWithTcpNoDelay() throws Exception {
        serve(0);
        try (Socket client = new Socket()) {
            client.connect(address);
            SocketChannel channel = (SocketChannel) ((NIOConnection) accepted.take()).getChannel();
            assertThat(channel.getOption(StandardSocketOptions.TCP_NODELAY)).isTrue();
        }
    }
}
