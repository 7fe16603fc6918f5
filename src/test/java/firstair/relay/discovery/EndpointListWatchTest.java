package firstair.relay.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonParser;
import firstair.control.Controller.ListUpdate;
import firstair.control.Controller.Listing;
import firstair.kit.standin.StandIn;
import firstair.relay.Limits;
import firstair.relay.Loop;
import firstair.relay.http.HttpException;
import firstair.relay.http.HttpParser;
import firstair.relay.http.MessageHead;
import firstair.relay.net.Dialer;
import firstair.relay.net.NetworkTransport;
import firstair.relay.standin.Await;
import firstair.relay.standin.FaultyDialer;
import firstair.relay.standin.LogLines;
import firstair.relay.standin.LoopThread;
import firstair.relay.standin.ShortTimes;
import firstair.relay.standin.StandInPlatform;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class EndpointListWatchTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private record Update(ListUpdate news, EndpointList listed) {}

    private final BlockingQueue<Update> updates = new LinkedBlockingQueue<>();
    private Limits limits;
    private Loop loop;
    private NetworkTransport wire;
    private StandIn server;

    @BeforeEach
    void start() throws IOException {
        limits = ShortTimes.forDiscovery(400);
        wire = new NetworkTransport(limits);
        loop = LoopThread.start(() -> {});
    }

    @AfterEach
    void stop() throws IOException {
        loop.end();
        wire.close();
        if (server != null) {
            server.close();
        }
    }

    private EndpointListWatch watch(long version) {
        return watch(server.address(), version);
    }

    private EndpointListWatch watch(InetSocketAddress at, long version) {
        EndpointListWatch watch = new EndpointListWatch(
                wire,
                limits,
                loop,
                at,
                List.of("one"),
                new Zones(List.of("z")),
                version,
                (news, listed) -> updates.add(new Update(news, listed)));
        loop.post(watch::listen);
        return watch;
    }

    private Update next() throws InterruptedException {
        Update update = updates.poll(10, TimeUnit.SECONDS);
        assertThat(update).as("news").isNotNull();
        return update;
    }

    @Test
    void withoutAListItFetchesOneAndThenWatchesForChanges() throws Exception {
        StandInPlatform platform = new StandInPlatform(StandInPlatform.list(41, true, "s1 7 127.0.0.1:1"));
        server = platform;
        watch(-1);
        assertThat(next().news()).isEqualTo(ListUpdate.COMPLETE);
        assertThat(next().listed().version()).isEqualTo(41); // the watch's first object
        platform.sendChanges(StandInPlatform.list(42, false, "s1 7 127.0.0.1:1 draining"));
        Update change = next();
        assertThat(change.news()).isEqualTo(ListUpdate.CHANGES);
        assertThat(change.listed().entries().get(0).listing()).isEqualTo(Listing.LEAVING);
    }

    /** Each watch that sends a valid list and then an invalid one is reported, but logged only once in all. */
    @Test
    void repeatedInvalidListsDoNotFloodTheLog() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        server = new StandIn(r -> {
            String valid = StandInPlatform.list(41 + calls.incrementAndGet(), true, "s1 7 127.0.0.1:1") + "\n";
            String invalid = "{\"version\":1,\"servers\":\"" + "x".repeat(5000) + "\"}\n";
            r.write((HEAD + Integer.toHexString(valid.length() + invalid.length()) + "\r\n" + valid + invalid + "\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
        });
        try (LogLines lines = new LogLines(EndpointListWatch.class)) {
            EndpointListWatch watch = watch(41);
            for (int i = 0; i < 10; i++) {
                assertThat(next().news()).isEqualTo(ListUpdate.COMPLETE);
                assertThat(next().news()).isEqualTo(ListUpdate.FAILED);
                loop.post(watch::listen);
            }
            assertThat(next().news()).isEqualTo(ListUpdate.COMPLETE);
            assertThat(lines.startingWith("list lost: not a list of endpoints"))
                    .singleElement()
                    .asString()
                    .hasSizeLessThan(400);
            assertThat(lines.startingWith("list found again")).hasSize(1);
        }
    }

    @Test
    void withAListItWatchesForChangesSinceItsVersion() throws Exception {
        BlockingQueue<String> targets = new LinkedBlockingQueue<>();
        server = new StandIn(r -> {
            targets.add(r.method() + " " + r.target());
            r.answer(503);
        });
        watch(12);
        assertThat(targets.poll(10, TimeUnit.SECONDS)).isEqualTo("GET /api/targets?follow=1&since=12");
        assertThat(next().news()).isEqualTo(ListUpdate.FAILED);
    }

    @Test
    void aRejectedAResetAndAnEndedWatchAreReportedOnce() throws Exception {
        server = new StandIn(r -> r.reset());
        watch(1);
        assertThat(next().news()).isEqualTo(ListUpdate.FAILED);
        server.close();
        watch(server.address(), 1);
        assertThat(next().news()).isEqualTo(ListUpdate.FAILED);
        server = new StandIn(r -> r.answer(200));
        watch(1);
        assertThat(next().news()).isEqualTo(ListUpdate.FAILED);
        assertThat(updates.poll(100, TimeUnit.MILLISECONDS)).isNull();
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.getBytes(StandardCharsets.UTF_8).length) + "\r\n" + text + "\r\n";
    }

    private static void write(StandIn.Request r, String text) throws IOException {
        r.write(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Replays one response per call, each in two pieces, without a socket. */
    private static Dialer splitAt(int split, String... responses) {
        Iterator<String> remaining = List.of(responses).iterator();
        return (to, maxBody, request, exchange, closedIdle) -> {
            byte[] all = remaining.next().getBytes(StandardCharsets.UTF_8);
            AtomicBoolean complete = new AtomicBoolean();
            HttpParser parser = new HttpParser(HttpParser.Kind.ANSWER, all.length, maxBody, new HttpParser.Sink() {
                @Override
                public void head(MessageHead head) {
                    exchange.head(head);
                }

                @Override
                public void body(byte[] bytes, int offset, int length) {
                    exchange.body(bytes, offset, length);
                }

                @Override
                public void end() {
                    complete.set(true);
                }
            });
            int at = Math.min(split, all.length);
            try {
                parser.feed(all, 0, at);
                parser.feed(all, at, all.length - at);
            } catch (HttpException e) {
                throw new IllegalStateException(e);
            }
            if (complete.get()) {
                exchange.completed(true, true);
            }
            return FaultyDialer.silentLink();
        };
    }

    @Test
    void fullListsAndChangesAreReadWithAnyIndentationAndSplit() throws Exception {
        Gson indenting = new GsonBuilder().setPrettyPrinting().create();
        String[] lists = new String[3];
        for (int i = 0; i < lists.length; i++) {
            lists[i] = StandInPlatform.list(41 + i, i == 0, "s\u00fc\ud83d\ude00 7 127.0.0.1:1")
                    .replace(",\"full", ",\r\n\"full");
        }
        for (boolean indented : new boolean[] {false, true}) {
            String[] expected = lists.clone();
            for (int i = 0; i < expected.length && indented; i++) {
                expected[i] = indenting.toJson(JsonParser.parseString(expected[i]));
            }
            String get = "HTTP/1.1 200 OK\r\nContent-Length: " + expected[0].getBytes(StandardCharsets.UTF_8).length
                    + "\r\n\r\n" + expected[0];
            String follow = HEAD + chunk("\n") + chunk(expected[1] + expected[2]);
            for (int split = 0; split <= Math.max(get.length(), follow.length()) + 12; split++) {
                EndpointListWatch watch = new EndpointListWatch(
                        splitAt(split, get, follow),
                        limits,
                        loop,
                        InetSocketAddress.createUnresolved("discovery", 1),
                        List.of("one"),
                        new Zones(List.of("z")),
                        -1,
                        (news, listed) -> updates.add(new Update(news, listed)));
                loop.post(watch::listen);
                for (int i = 0; i < expected.length; i++) {
                    Update update = next();
                    assertThat(update.news())
                            .as("split at %d", split)
                            .isEqualTo(i == 0 ? ListUpdate.COMPLETE : ListUpdate.CHANGES);
                    assertThat(update.listed().version())
                            .as("split at %d", split)
                            .isEqualTo(41 + i);
                    assertThat(update.listed().entries().get(0).endpoint()).isEqualTo("s\u00fc\ud83d\ude00");
                }
                loop.post(watch::close);
            }
        }
    }

    /**
     * A host that is cut off from the network sends nothing and its connections stay open: only the missing lines show
     * it. Empty lines inside an object do not count as progress: its content is not known until the rest arrives.
     */
    @ParameterizedTest
    @CsvSource({"'',false", "'{\"version\":43,\"full\":',false", "'{\"version\":43,\"full\":',true"})
    void aSilentWatchIsReplacedAndAnIncompleteObjectIsNotUsed(String incomplete, boolean emptyLines) throws Exception {
        BlockingQueue<String> targets = new LinkedBlockingQueue<>();
        server = new StandIn(r -> {
            targets.add(r.target());
            if (targets.size() > 1) {
                write(r, HEAD + chunk(StandInPlatform.list(44, true, "s1 7 127.0.0.1:1")));
                return;
            }
            write(r, HEAD + chunk("\n" + StandInPlatform.list(42, false, "s1 7 127.0.0.1:1") + incomplete));
            while (emptyLines) { // until the relay closes
                write(r, chunk("\n"));
                pause();
            }
        });
        watch(1);
        assertThat(next().listed().version()).isEqualTo(42);
        if (!incomplete.isEmpty()) { // the rest is overdue; the next call starts next to this one or after its silence
            assertThat(next().news()).isEqualTo(ListUpdate.OVERDUE);
        }
        assertThat(next().listed().version()).isEqualTo(44);
        assertThat(targets).startsWith("/api/targets?follow=1&since=1", "/api/targets?follow=1&since=42");
    }

    private static void pause() throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(50);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    @Test
    void aCallWithoutAResponseIsOverdue() throws Exception {
        server = new StandIn(r -> {});
        watch(1);
        assertThat(next().news()).isEqualTo(ListUpdate.OVERDUE);
    }

    @Test
    void emptyLinesKeepAWatchOpen() throws Exception {
        BlockingQueue<StandIn.Request> requests = new LinkedBlockingQueue<>();
        server = new StandIn(requests::add);
        EndpointListWatch watch = watch(1);
        StandIn.Request r = requests.take();
        r.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        double end = loop.now() + 1200; // three times the silence after which a watch is replaced
        while (loop.now() < end) {
            r.write("1\r\n\n\r\n".getBytes(StandardCharsets.US_ASCII));
            assertThat(updates.poll(50, TimeUnit.MILLISECONDS)).isNull();
        }
        assertThat(watch.current()).isFalse(); // no list has been received yet
    }

    /** Guards against waiting for a list for as long as a watch shows life, where none may be called without one. */
    @Test
    void aWatchWithoutARequiredListIsFollowedByACallForTheFullList() throws Exception {
        BlockingQueue<String> targets = new LinkedBlockingQueue<>();
        AtomicBoolean required = new AtomicBoolean();
        server = new StandIn(r -> {
            targets.add(r.target());
            if (r.target().endsWith("since=41")) {
                Await.until("the list to be required", required::get);
                write(r, HEAD);
                while (true) { // until the relay closes
                    write(r, chunk("\n"));
                    pause();
                }
            } else if (targets.size() == 2) {
                r.answer(503);
            } else {
                r.answer(200, StandInPlatform.list(42, true, "s1 7 127.0.0.1:1").getBytes(StandardCharsets.UTF_8));
            }
        });
        EndpointListWatch watch = watch(41);
        loop.post(() -> {
            watch.requireList();
            required.set(true);
        });
        assertThat(next().news()).isEqualTo(ListUpdate.OVERDUE);
        loop.post(watch::listen);
        assertThat(next().news()).isEqualTo(ListUpdate.FAILED);
        loop.post(watch::listen);
        assertThat(next().news()).isEqualTo(ListUpdate.COMPLETE);
        Await.until("a watch", () -> targets.size() == 4);
        assertThat(targets)
                .containsExactly(
                        "/api/targets?follow=1&since=41",
                        "/api/targets",
                        "/api/targets",
                        "/api/targets?follow=1&since=42");
    }

    @Test
    void anInvalidListEndsTheWatch() throws Exception {
        StandInPlatform platform = new StandInPlatform("nonsense");
        server = platform;
        watch(1);
        assertThat(next().news()).isEqualTo(ListUpdate.FAILED);
    }

    /** The latest list from discovery is used even if its version is lower; the next watch continues from it. */
    @Test
    void aLowerVersionIsAcceptedAndWatchedFrom() throws Exception {
        BlockingQueue<String> targets = new LinkedBlockingQueue<>();
        server = new StandIn(r -> {
            targets.add(r.target());
            write(
                    r,
                    HEAD
                            + chunk(StandInPlatform.list(43, true, "s1 7 127.0.0.1:1")
                                    + StandInPlatform.list(40, false, "s1 7 127.0.0.1:1 draining")));
        });
        watch(41);
        assertThat(next().listed().version()).isEqualTo(43);
        Update lowerVersion = next();
        assertThat(lowerVersion.news()).isEqualTo(ListUpdate.CHANGES);
        assertThat(lowerVersion.listed().entries().get(0).listing()).isEqualTo(Listing.LEAVING);
        assertThat(next().listed().version()).as("after a silence").isEqualTo(43);
        assertThat(targets).startsWith("/api/targets?follow=1&since=41", "/api/targets?follow=1&since=40");
    }
}
