package firstair.relay.clients;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.relay.Limits;
import firstair.relay.net.Wire;
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

/** Clients that send, stop and leave while their connections are ended: each step is forced by a gate. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ClosingTest {
    private static final int FEW = 4; // connections of clients at most; beyond half of them there is a crowd
    private static final String ASK = "GET /other HTTP/1.1\r\n\r\n";
    private static final String HEAD = "POST /api HTTP/1.1\r\nRequest-Id: m\r\nRequest-Class: safe\r\n"
            + "Request-Timeout-Ms: 9000\r\nX-Addressing: dest=7\r\nContent-Length: 1\r\n\r\n";
    private static final String WHOLE = HEAD + "x";

    /** Takes what comes, at once or when the test says so. */
    private static final class Taking implements RequestHandler {
        final BlockingQueue<Submission> waiting = new LinkedBlockingQueue<>();
        final AtomicInteger taken = new AtomicInteger();
        volatile boolean holding;
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
        public void handIn(Submission message) {
            taken.incrementAndGet();
            if (holding) {
                waiting.add(message);
            } else {
                message.answer(202, 0);
            }
        }
    }

    private final Taking desk = new Taking();
    private final BlockingQueue<Connection<?>> accepted = new LinkedBlockingQueue<>();
    private final AtomicLong read = new AtomicLong();
    private final AtomicInteger closed = new AtomicInteger();
    private final CountDownLatch held = new CountDownLatch(1);
    private final CountDownLatch released = new CountDownLatch(1);
    private volatile boolean holding;
    private Limits limits;
    private Wire wire;
    private ClientFilter filter;
    private Connection<?> listener;
    private InetSocketAddress address;

    private void serve(int clients) throws IOException {
        // Half of the heap is for clients, each with a message of full size.
        limits = Limits.of(0, 0, clients > 0 ? 2L * clients * 80 * 1024 : 64_000_000, 0, 0, 0);
        wire = new Wire(limits);
        filter = new ClientFilter(limits, desk);
        listener =
                wire.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), new Holding(), filter::stays);
        address = (InetSocketAddress) listener.getLocalAddress();
    }

    /** Passes all on, and can be held up between the accepting of a connection and what is done with it. */
    private final class Holding extends BaseFilter {
        @Override
        public NextAction handleAccept(FilterChainContext ctx) {
            if (holding) {
                await();
            }
            NextAction next = filter.handleAccept(ctx);
            accepted.add(ctx.getConnection());
            return next;
        }

        @Override
        public NextAction handleRead(FilterChainContext ctx) throws IOException {
            read.addAndGet(Wire.size(ctx));
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

    /** The selector's thread stands here until it is released. */
    private void await() {
        held.countDown();
        try {
            released.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** From now on nothing is read, until it is released. */
    private void hold() throws InterruptedException {
        Wire.between(listener, this::await);
        held.await();
    }

    private Socket client() throws IOException, InterruptedException {
        Socket s = new Socket();
        s.connect(address);
        accepted.take();
        return s;
    }

    private static void send(Socket s, String text) throws IOException {
        s.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** The status of the next answer, or "end". */
    private static String answer(Socket s) throws IOException {
        String head = head(s);
        return head.isEmpty() ? "end" : head.substring(9, 12);
    }

    private static String head(Socket s) throws IOException {
        s.setSoTimeout(10_000);
        InputStream in = s.getInputStream();
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

    /** The statuses of all answers until the end, or a reset. */
    private static List<String> answers(Socket s) throws IOException {
        List<String> all = new ArrayList<>();
        try {
            for (String one = answer(s); !one.equals("end"); one = answer(s)) {
                all.add(one);
            }
        } catch (IOException e) {
            assertThat(e).hasMessageContaining("reset");
        }
        return all;
    }

    // ---- each end of a connection, against each part of a request ----

    private enum End {
        TOLD_TO_END((f, d) -> f.drain()),
        IDLE((f, d) -> {
            d.now += 60_000;
            f.sweep();
        }),
        GONE((f, d) -> f.end(() -> {})),
        GONE_AFTER_DRAIN((f, d) -> {
            f.drain();
            f.end(() -> {});
        });

        private final BiConsumer<ClientFilter, Taking> step;

        End(BiConsumer<ClientFilter, Taking> step) {
            this.step = step;
        }
    }

    private enum Before {
        JUST_CONNECTED,
        SILENT,
        SERVED
    }

    private static final int[] PARTS = {0, 1, 20, HEAD.length() - 3, HEAD.length(), WHOLE.length()};

    /**
     * A part of a request waits unread when its connection is ended, the rest crosses the end. One final answer comes,
     * and 202 only where the message was taken; with none nothing was taken, and that only on a connection that has
     * been served before and was ended between two requests.
     */
    @ParameterizedTest
    @EnumSource
    void aRequestThatCrossesAnEndHasOneAnswerOrIsNotRead(End end) throws Exception {
        for (Before before : Before.values()) {
            for (int part : PARTS) {
                crossing(end, before, part, false);
                crossing(end, before, part, true);
            }
        }
    }

    /** @param after whether the rest comes surely behind the end, or at the same moment */
    private void crossing(End end, Before before, int part, boolean after) throws Exception {
        ClosingTest one = new ClosingTest();
        one.serve(0);
        try (Socket s = one.client()) {
            if (before == Before.SERVED) {
                send(s, WHOLE);
                assertThat(answer(s)).isEqualTo("202");
            } else if (before == Before.SILENT) {
                one.desk.now += 2 * one.limits.firstMs();
            }
            one.hold();
            one.desk.taken.set(0);
            send(s, WHOLE.substring(0, part));
            end.step.accept(one.filter, one.desk);
            CountDownLatch done = new CountDownLatch(1);
            Wire.between(one.listener, done::countDown);
            one.released.countDown();
            if (after) {
                done.await();
            }
            try {
                for (int i = part; i < WHOLE.length(); i++) { // one byte at a time
                    send(s, WHOLE.substring(i, i + 1));
                }
            } catch (IOException e) {
                // ended by now
            }
            String what = end + ", " + before + ", " + part + " bytes" + (after ? ", then the rest" : "");
            List<String> answers = one.untilTheEnd(s);
            if (part == WHOLE.length()) {
                assertThat(answers).as(what).containsExactly("202");
            } else if (answers.isEmpty()) {
                assertThat(before).as(what).isEqualTo(Before.SERVED);
                assertThat(part).as(what).isZero();
            }
            assertThat(answers).as(what).hasSizeLessThanOrEqualTo(1).isSubsetOf("202", "503", "408");
            assertThat(one.desk.taken.get()).as(what).isEqualTo(answers.contains("202") ? 1 : 0);
        } finally {
            one.stop();
        }
    }

    /** One answer, or the end; where it stays open behind its answer it is told to end then. */
    private List<String> untilTheEnd(Socket s) throws IOException {
        List<String> all = new ArrayList<>();
        try {
            String head = head(s);
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
        all.addAll(answers(s));
        return all;
    }

    // ---- room for another one ----

    /** Fills all places, and holds one client more up between its coming and the making of room for it. */
    private List<Socket> full(Before before) throws Exception {
        serve(FEW);
        List<Socket> all = new ArrayList<>();
        for (int i = 0; i < FEW; i++) {
            all.add(client());
            desk.now++;
            if (i == 0 && before == Before.SERVED) {
                send(all.get(0), WHOLE);
                assertThat(answer(all.get(0))).isEqualTo("202");
            }
        }
        if (before == Before.SILENT) {
            desk.now += 2 * limits.firstMs();
        }
        desk.taken.set(0);
        holding = true;
        Socket more = new Socket();
        more.connect(address);
        all.add(more);
        held.await();
        return all;
    }

    private static void close(List<Socket> all) throws IOException {
        for (Socket s : all) {
            s.close();
        }
    }

    /** Whoever would be closed to make room has just sent its request: it has not been read, and is answered. */
    @ParameterizedTest
    @EnumSource
    void aRequestThatCrossesTheMakingOfRoomIsAnswered(Before before) throws Exception {
        List<Socket> all = full(before);
        try {
            for (Socket s : all) {
                send(s, WHOLE);
            }
            released.countDown();
            for (Socket s : all) {
                assertThat(answers(s)).containsExactly("202");
            }
            assertThat(desk.taken).hasValue(FEW + 1);
        } finally {
            close(all);
        }
    }

    /** All places are taken by clients whose requests have come and are not answered yet. */
    @Test
    void noRoomIsMadeAtTheExpenseOfARequestThatIsOwedAnAnswer() throws Exception {
        List<Socket> all = full(Before.SILENT);
        try {
            desk.holding = true;
            for (Socket s : all.subList(0, FEW)) {
                send(s, WHOLE);
            }
            released.countDown();
            assertThat(answer(all.get(FEW))).isEqualTo("503");
            for (int i = 0; i < FEW; i++) {
                Submission h = desk.waiting.take();
                assertThat(h.gone()).isFalse();
                h.answer(202, 0);
            }
            for (Socket s : all.subList(0, FEW)) {
                assertThat(answers(s)).containsExactly("202");
            }
        } finally {
            close(all);
        }
    }

    /** Where nothing or a part of a request has come, room is made with an answer; only who was served just ends. */
    @ParameterizedTest
    @CsvSource({"JUST_CONNECTED, 0, 503", "SILENT, 0, 503", "SILENT, 20, 503", "SERVED, 0, end"})
    void whoMakesRoomIsTold(Before before, int part, String told) throws Exception {
        List<Socket> all = full(before);
        try {
            for (Socket s : all.subList(0, FEW)) {
                send(s, WHOLE.substring(0, part));
            }
            released.countDown();
            assertThat(answer(all.get(0))).isEqualTo(told);
            assertThat(answers(all.get(0))).isEmpty();
            send(all.get(FEW), WHOLE);
            assertThat(answer(all.get(FEW))).isEqualTo("202");
        } finally {
            close(all);
        }
    }

    /** It has been refused, and what it sends on is not read yet when its place is needed: its answer is not reset. */
    @Test
    void whoWasRefusedAndMakesRoomSeesItsAnswerAndAnEnd() throws Exception {
        serve(FEW);
        List<Socket> all = new ArrayList<>();
        try {
            for (int i = 0; i < FEW; i++) {
                all.add(client());
            }
            Socket refused = all.get(1);
            send(refused, "nonsense\r\n");
            Await.until("refused", () -> read.get() > 0);
            holding = true;
            Socket more = new Socket();
            more.connect(address);
            all.add(more);
            held.await();
            send(refused, "and on");
            released.countDown();
            send(more, ASK);
            assertThat(answer(more)).isEqualTo("404"); // the place is free by now
            assertThat(answer(refused)).isEqualTo("400");
            assertThat(refused.getInputStream().read()).isEqualTo(-1);
        } finally {
            close(all);
        }
    }

    // ---- floods ----

    /** It is read on while its request waits, far beyond what is kept of it: what is owed is answered all the same. */
    @Test
    void whoSendsOnAndOnGetsTheAnswerThatIsOwed() throws Exception {
        serve(0);
        desk.holding = true;
        try (Socket s = client()) {
            String all = WHOLE + ASK.repeat(5 * limits.maxHead() / ASK.length());
            send(s, all);
            Await.until("all read", () -> read.get() >= all.length() || closed.get() > 0);
            Submission h = desk.waiting.take();
            assertThat(h.gone()).isFalse();
            h.answer(202, 0);
            assertThat(answers(s)).containsExactly("202");
        }
    }

    /** Hundreds of small requests behind one that waits: while they are answered in one go, all others would wait. */
    @Test
    void whoSendsManyRequestsAtOnceIsAnsweredForAFewAndTold() throws Exception {
        serve(0);
        desk.holding = true;
        try (Socket s = client()) {
            send(s, WHOLE + ASK.repeat(500));
            desk.waiting.take().answer(202, 0);
            int answers = 0;
            String head;
            do {
                head = head(s);
                answers++;
            } while (!head.isEmpty() && !head.contains("Connection: close"));
            assertThat(head).contains("Connection: close");
            assertThat(answers).isLessThan(20);
            assertThat(answers(s)).isEmpty();
        }
    }

    /** Its answers would fill the memory, and its connection stay until it has read them. */
    @Test
    void whoAsksAndNeverReadsIsEnded() throws Exception {
        serve(0);
        try (Socket s = new Socket()) {
            s.setReceiveBufferSize(4096);
            s.connect(address);
            NIOConnection c = (NIOConnection) accepted.take();
            ((SocketChannel) c.getChannel()).setOption(StandardSocketOptions.SO_SNDBUF, 4096);
            int most = 0;
            try {
                for (int i = 1; i < 20_000 && closed.get() == 0; i++) {
                    send(s, ASK);
                    long sent = (long) i * ASK.length();
                    Await.until("read", () -> read.get() == sent || closed.get() > 0);
                    most = Math.max(most, c.getAsyncWriteQueue().size());
                }
            } catch (IOException e) {
                // ended by now
            }
            Await.until("ended", () -> closed.get() > 0);
            assertThat(most).as("bytes of answers in memory").isLessThan(1000);
        }
    }

    /** Its connection is idle and about to be closed when it begins, and a last look finds ever more of it. */
    @Test
    void whoSendsForEverWhileItIsLookedAtHoldsUpNobody() throws Exception {
        serve(0);
        AtomicLong sent = new AtomicLong();
        try (Socket flood = new Socket();
                Socket other = new Socket()) {
            flood.connect(address);
            NIOConnection one = (NIOConnection) accepted.take();
            send(flood, WHOLE);
            assertThat(answer(flood)).isEqualTo("202");
            // Much of it waits in the system at any moment, so that reading alone never catches up with it.
            ((SocketChannel) one.getChannel()).setOption(StandardSocketOptions.SO_RCVBUF, 1 << 22);
            hold();
            other.connect(address);
            desk.now += 60_000;
            filter.sweep();
            String chunk = "1;" + "x".repeat(limits.maxHead() - 100) + "\r\na\r\n";
            CountDownLatch begun = new CountDownLatch(1);
            Thread sending = new Thread(() -> {
                try {
                    send(flood, HEAD.replace("Content-Length: 1", "Transfer-Encoding: chunked"));
                    for (int i = 0; i < limits.maxBody(); i++) {
                        send(flood, chunk);
                        sent.addAndGet(chunk.length());
                        begun.countDown();
                    }
                } catch (IOException e) {
                    // ended by now
                }
            });
            sending.setDaemon(true); // it ends with its connection
            sending.start();
            begun.await();
            send(other, ASK);
            released.countDown();
            assertThat(answer(other)).isEqualTo("404");
            assertThat(sent.get()).isLessThan(100_000_000);
        }
    }

    // ---- leaving ----

    private enum Leaving {
        CLOSES(Socket::close),
        /** As a relay gives up a call by ending its sending, a client does a request. */
        ENDS_ITS_SENDING(Socket::shutdownOutput),
        RESETS(s -> {
            s.setSoLinger(true, 0);
            s.close();
        });

        private interface Step {
            void of(Socket s) throws IOException;
        }

        private final Step step;

        Leaving(Step step) {
            this.step = step;
        }
    }

    /**
     * What it asked for can be seen to be void. Who has only ended its sending may listen still, and is told so; of
     * one that has closed nothing else can be seen, so that it has its place until then.
     */
    @ParameterizedTest
    @EnumSource
    void whoLeavesBehindARequestIsSeenToHaveGone(Leaving leaving) throws Exception {
        serve(0);
        desk.holding = true;
        Socket s = client();
        try (s;
                Socket next = client()) {
            send(s, WHOLE);
            leaving.step.of(s);
            Submission h = desk.waiting.take();
            Await.until("gone", h::gone);
            send(next, WHOLE);
            Submission other = desk.waiting.take();
            h.answer(503, 0);
            other.answer(503, 0);
            assertThat(answer(next)).isEqualTo("503");
            if (!s.isClosed()) {
                assertThat(answers(s)).containsExactly("503");
            }
            Await.until("closed", () -> closed.get() >= 1);
        }
    }

    /** Request and end come in one piece: what can be answered at once still is. */
    @Test
    void anAnswerThatNeedsNobodyIsWrittenAlthoughTheClientEndsItsSending() throws Exception {
        serve(0);
        try (Socket s = client()) {
            hold();
            send(s, ASK);
            s.shutdownOutput();
            released.countDown();
            assertThat(answers(s)).containsExactly("404");
        }
    }

    // ---- answers and their requests ----

    /** Refused in its turn, its request's late answer is not heard, and no second request is taken from it. */
    @ParameterizedTest
    @ValueSource(ints = {202, 503, 504})
    void aLateAnswerIsNoOtherRequestsAnswer(int status) throws Exception {
        serve(0);
        desk.holding = true;
        try (Socket s = client()) {
            send(s, WHOLE + WHOLE);
            Submission first = desk.waiting.take();
            filter.refuse();
            first.answer(status, 0);
            assertThat(answers(s)).containsExactly("503");
            assertThat(first.gone()).isTrue();
            assertThat(desk.taken).hasValue(1);
        }
    }

    /** The last moment: what waits for an answer, has begun or may be on its way is refused, who rests just ends. */
    @Test
    void atTheVeryEndWhateverIsOwedAnAnswerHasOne() throws Exception {
        serve(0);
        try (Socket rests = client();
                Socket waits = client();
                Socket half = client();
                Socket silent = client()) {
            send(rests, WHOLE);
            assertThat(answer(rests)).isEqualTo("202");
            desk.holding = true;
            send(waits, WHOLE);
            send(half, HEAD);
            desk.waiting.take();
            Await.until("all read", () -> read.get() == 2 * WHOLE.length() + HEAD.length());
            filter.refuse();
            wire.close();
            for (Socket s : Arrays.asList(waits, half, silent)) {
                assertThat(answers(s)).containsExactly("503");
            }
            assertThat(answers(rests)).isEmpty();
        }
    }

    /** Small writes would wait for the other side's word on those before, and go with a reset. */
    @Test
    void answersDoNotWaitInTheSystem() throws Exception {
        serve(0);
        try (Socket s = new Socket()) {
            s.connect(address);
            SocketChannel channel = (SocketChannel) ((NIOConnection) accepted.take()).getChannel();
            assertThat(channel.getOption(StandardSocketOptions.TCP_NODELAY)).isTrue();
        }
    }
}
