package firstair.relay.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonParser;
import firstair.control.Controller.Listing;
import firstair.control.Controller.News;
import firstair.kit.standin.StandIn;
import firstair.relay.Limits;
import firstair.relay.Loop;
import firstair.relay.http.Head;
import firstair.relay.http.HttpException;
import firstair.relay.http.HttpParser;
import firstair.relay.net.Dialer;
import firstair.relay.net.Wire;
import firstair.relay.standin.FaultyDialer;
import firstair.relay.standin.LogLines;
import firstair.relay.standin.LoopThread;
import firstair.relay.standin.Platform;
import firstair.relay.standin.ShortTimes;
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
class WatchTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private record Told(News news, EndpointList listed) {}

    private final BlockingQueue<Told> told = new LinkedBlockingQueue<>();
    private Limits limits;
    private Loop loop;
    private Wire wire;
    private StandIn server;

    @BeforeEach
    void start() throws IOException {
        limits = ShortTimes.ofList(400);
        wire = new Wire(limits);
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

    private Watch watch(long version) {
        return watch(server.address(), version);
    }

    private Watch watch(InetSocketAddress at, long version) {
        Watch w = new Watch(
                wire,
                limits,
                loop,
                at,
                List.of("one"),
                new Zones(List.of("z")),
                version,
                (news, listed) -> told.add(new Told(news, listed)));
        loop.post(w::listen);
        return w;
    }

    private Told next() throws InterruptedException {
        Told t = told.poll(10, TimeUnit.SECONDS);
        assertThat(t).as("news").isNotNull();
        return t;
    }

    @Test
    void withoutAListItFetchesOneAndThenWatches() throws Exception {
        Platform p = new Platform(Platform.list(41, true, "s1 7 127.0.0.1:1"));
        server = p;
        watch(-1);
        assertThat(next().news()).isEqualTo(News.COMPLETE);
        assertThat(next().listed().version()).isEqualTo(41); // the watch's first object
        p.tell(Platform.list(42, false, "s1 7 127.0.0.1:1 draining"));
        Told change = next();
        assertThat(change.news()).isEqualTo(News.CHANGES);
        assertThat(change.listed().entries().get(0).listing()).isEqualTo(Listing.LEAVING);
    }

    /** Each watch that begins well and goes wrong is news, and all together are one line of the log. */
    @Test
    void aDiscoveryThatGoesOnToSpoilItsListsDoesNotFillTheLog() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        server = new StandIn(r -> {
            String whole = Platform.list(41 + calls.incrementAndGet(), true, "s1 7 127.0.0.1:1") + "\n";
            String spoilt = "{\"version\":1,\"servers\":\"" + "x".repeat(5000) + "\"}\n";
            r.write((HEAD + Integer.toHexString(whole.length() + spoilt.length()) + "\r\n" + whole + spoilt + "\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
        });
        try (LogLines lines = new LogLines(Watch.class)) {
            Watch w = watch(41);
            for (int i = 0; i < 10; i++) {
                assertThat(next().news()).isEqualTo(News.COMPLETE);
                assertThat(next().news()).isEqualTo(News.FAILED);
                loop.post(w::listen);
            }
            assertThat(next().news()).isEqualTo(News.COMPLETE);
            assertThat(lines.beginning("list lost: not a list of endpoints"))
                    .singleElement()
                    .asString()
                    .hasSizeLessThan(400);
            assertThat(lines.beginning("list found again")).hasSize(1);
        }
    }

    @Test
    void withAListItWatchesFromItsVersion() throws Exception {
        BlockingQueue<String> targets = new LinkedBlockingQueue<>();
        server = new StandIn(r -> {
            targets.add(r.method() + " " + r.target());
            r.answer(503);
        });
        watch(12);
        assertThat(targets.poll(10, TimeUnit.SECONDS)).isEqualTo("GET /api/targets?follow=1&since=12");
        assertThat(next().news()).isEqualTo(News.FAILED);
    }

    @Test
    void aRefusedAResetAndAnEndedWatchAreNewsOnce() throws Exception {
        server = new StandIn(r -> r.reset());
        watch(1);
        assertThat(next().news()).isEqualTo(News.FAILED);
        server.close();
        watch(server.address(), 1);
        assertThat(next().news()).isEqualTo(News.FAILED);
        server = new StandIn(r -> r.answer(200));
        watch(1);
        assertThat(next().news()).isEqualTo(News.FAILED);
        assertThat(told.poll(100, TimeUnit.MILLISECONDS)).isNull();
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.getBytes(StandardCharsets.UTF_8).length) + "\r\n" + text + "\r\n";
    }

    private static void write(StandIn.Request r, String text) throws IOException {
        r.write(text.getBytes(StandardCharsets.UTF_8));
    }

    /** What discovery answers, call by call, each in two pieces; no socket takes part. */
    private static Dialer cutAt(int cut, String... answers) {
        Iterator<String> each = List.of(answers).iterator();
        return (to, maxBody, request, exchange, closedIdle) -> {
            byte[] all = each.next().getBytes(StandardCharsets.UTF_8);
            AtomicBoolean whole = new AtomicBoolean();
            HttpParser parser = new HttpParser(HttpParser.Kind.ANSWER, all.length, maxBody, new HttpParser.Sink() {
                @Override
                public void head(Head head) {
                    exchange.head(head);
                }

                @Override
                public void body(byte[] bytes, int offset, int length) {
                    exchange.body(bytes, offset, length);
                }

                @Override
                public void end() {
                    whole.set(true);
                }
            });
            int at = Math.min(cut, all.length);
            try {
                parser.feed(all, 0, at);
                parser.feed(all, at, all.length - at);
            } catch (HttpException e) {
                throw new IllegalStateException(e);
            }
            if (whole.get()) {
                exchange.done(true, true);
            }
            return FaultyDialer.deaf();
        };
    }

    @Test
    void bothFormsAreReadHoweverTheyAreIndentedAndWhereverTheyAreCut() throws Exception {
        Gson indenting = new GsonBuilder().setPrettyPrinting().create();
        String[] lists = new String[3];
        for (int i = 0; i < lists.length; i++) {
            lists[i] = Platform.list(41 + i, i == 0, "s\u00fc\ud83d\ude00 7 127.0.0.1:1")
                    .replace(",\"full", ",\r\n\"full");
        }
        for (boolean indented : new boolean[] {false, true}) {
            String[] l = lists.clone();
            for (int i = 0; i < l.length && indented; i++) {
                l[i] = indenting.toJson(JsonParser.parseString(l[i]));
            }
            String get = "HTTP/1.1 200 OK\r\nContent-Length: " + l[0].getBytes(StandardCharsets.UTF_8).length
                    + "\r\n\r\n" + l[0];
            String watch = HEAD + chunk("\n") + chunk(l[1] + l[2]);
            for (int cut = 0; cut <= Math.max(get.length(), watch.length()) + 12; cut++) {
                Watch w = new Watch(
                        cutAt(cut, get, watch),
                        limits,
                        loop,
                        InetSocketAddress.createUnresolved("discovery", 1),
                        List.of("one"),
                        new Zones(List.of("z")),
                        -1,
                        (news, listed) -> told.add(new Told(news, listed)));
                loop.post(w::listen);
                for (int i = 0; i < l.length; i++) {
                    Told t = next();
                    assertThat(t.news()).as("cut at %d", cut).isEqualTo(i == 0 ? News.COMPLETE : News.CHANGES);
                    assertThat(t.listed().version()).as("cut at %d", cut).isEqualTo(41 + i);
                    assertThat(t.listed().entries().get(0).endpoint()).isEqualTo("s\u00fc\ud83d\ude00");
                }
                loop.post(w::leave);
            }
        }
    }

    /**
     * A machine that is cut off says nothing and its connections stay open: only the missing lines show it. Amid an
     * object empty lines show no life either: nobody is told what it holds until the rest comes.
     */
    @ParameterizedTest
    @CsvSource({"'',false", "'{\"version\":43,\"full\":',false", "'{\"version\":43,\"full\":',true"})
    void aWatchThatFallsSilentIsOpenedAnewAndHalfAnObjectIsNotUsed(String half, boolean lines) throws Exception {
        BlockingQueue<String> targets = new LinkedBlockingQueue<>();
        server = new StandIn(r -> {
            targets.add(r.target());
            if (targets.size() > 1) {
                write(r, HEAD + chunk(Platform.list(44, true, "s1 7 127.0.0.1:1")));
                return;
            }
            write(r, HEAD + chunk("\n" + Platform.list(42, false, "s1 7 127.0.0.1:1") + half));
            while (lines) { // until the relay closes
                write(r, chunk("\n"));
                pause();
            }
        });
        watch(1);
        assertThat(next().listed().version()).isEqualTo(42);
        if (!half.isEmpty()) { // the rest is owed, and the next call goes beside this one or after its silence
            assertThat(next().news()).isEqualTo(News.OVERDUE);
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
    void aCallThatIsNeverAnsweredIsDead() throws Exception {
        server = new StandIn(r -> {});
        watch(1);
        assertThat(next().news()).isEqualTo(News.OVERDUE);
    }

    @Test
    void emptyLinesKeepAWatchAlive() throws Exception {
        BlockingQueue<StandIn.Request> requests = new LinkedBlockingQueue<>();
        server = new StandIn(requests::add);
        Watch w = watch(1);
        StandIn.Request r = requests.take();
        r.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        double end = loop.now() + 1200; // three times the silence that is taken for death
        while (loop.now() < end) {
            r.write("1\r\n\n\r\n".getBytes(StandardCharsets.US_ASCII));
            assertThat(told.poll(50, TimeUnit.MILLISECONDS)).isNull();
        }
        assertThat(w.current()).isFalse(); // nothing was told yet
    }

    @Test
    void aLineThatIsNotAListEndsTheWatch() throws Exception {
        Platform p = new Platform("nonsense");
        server = p;
        watch(1);
        assertThat(next().news()).isEqualTo(News.FAILED);
    }

    /** What discovery tells counts from then on, also where its versions have gone back; it is watched from there. */
    @Test
    void aVersionThatGoesBackIsBelievedAndWatchedFrom() throws Exception {
        BlockingQueue<String> targets = new LinkedBlockingQueue<>();
        server = new StandIn(r -> {
            targets.add(r.target());
            write(
                    r,
                    HEAD
                            + chunk(Platform.list(43, true, "s1 7 127.0.0.1:1")
                                    + Platform.list(40, false, "s1 7 127.0.0.1:1 draining")));
        });
        watch(41);
        assertThat(next().listed().version()).isEqualTo(43);
        Told back = next();
        assertThat(back.news()).isEqualTo(News.CHANGES);
        assertThat(back.listed().entries().get(0).listing()).isEqualTo(Listing.LEAVING);
        assertThat(next().listed().version()).as("after a silence").isEqualTo(43);
        assertThat(targets).startsWith("/api/targets?follow=1&since=41", "/api/targets?follow=1&since=40");
    }
}
