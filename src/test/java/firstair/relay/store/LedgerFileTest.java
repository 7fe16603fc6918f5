package firstair.relay.store;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import firstair.fleet.Outbox;
import firstair.fleet.Setup;
import firstair.fleet.fault.Fault;
import firstair.fleet.ledger.AgreedContracts;
import firstair.fleet.ledger.InMemoryLedgerStore;
import firstair.fleet.ledger.Ledger;
import firstair.fleet.ledger.LedgerState;
import firstair.fleet.ledger.LedgerStateMachines;
import firstair.fleet.ledger.LedgerStore;
import firstair.fleet.ledger.Outcome;
import firstair.fleet.talk.Note;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class LedgerFileTest {
    private static final List<String> VOTERS = List.of("a", "b", "c");
    private static final long MAX_BYTES = 200_000;
    private static final Logger LOG = Logger.getLogger(LedgerFile.class.getName());

    @TempDir
    private Path folder;

    private final Map<String, Ledger> ledgers = new LinkedHashMap<>();
    private final Deque<Runnable> wire = new ArrayDeque<>();
    private double now;

    @BeforeAll
    static void silenceTruncationLog() {
        LOG.setLevel(Level.WARNING);
    }

    @AfterAll
    static void restoreLogLevel() {
        LOG.setLevel(null);
    }

    private LedgerFile open(boolean first) {
        return LedgerFile.open(folder, "fleet", "a", VOTERS, first, MAX_BYTES);
    }

    private void voter(String name, LedgerState memory, LedgerStore keeper) {
        Setup setup = new Setup("fleet", name, "z", VOTERS, VOTERS, 500, 3000, 100, 0.01, 0.5);
        ledgers.put(
                name,
                new Ledger(
                        setup,
                        1,
                        memory,
                        keeper,
                        new LedgerStateMachines(
                                new TreeMap<>(Map.of(LedgerStateMachines.CONTRACTS, new AgreedContracts(0)))),
                        new Outbox() {
                            @Override
                            public void send(String to, Note note) {
                                wire.add(() -> ledgers.get(to).receive(now, name, note));
                            }

                            @Override
                            public void report(String text) {
                                throw new AssertionError(text);
                            }
                        },
                        new Random(name.charAt(0)),
                        (v, s, sure, at) -> {}));
    }

    private void run(double ms) {
        for (double end = now + ms; now < end; now += 20) {
            ledgers.values().forEach(l -> l.timer(now));
            while (!wire.isEmpty()) {
                wire.poll().run();
            }
        }
    }

    /** Three voters; voter a stores its ledger in the file. */
    private LedgerFile fleet(LedgerFile file, LedgerStore keeper) {
        voter("a", file.memory(), keeper);
        for (String other : List.of("b", "c")) {
            LedgerState memory = LedgerState.initial("fleet", other, VOTERS);
            voter(other, memory, new InMemoryLedgerStore(memory));
        }
        ledgers.values().forEach(l -> l.start(now));
        run(6000);
        return file;
    }

    private LedgerFile fleet() {
        LedgerFile file = open(true);
        return fleet(file, file);
    }

    /** Proposes versions and waits for agreement, ten at a time. */
    private void agree(int from, int count) {
        for (int i = from; i < from + count; i += 10) {
            List<Outcome> came = new ArrayList<>();
            for (int n = i; n < i + 10; n++) {
                ledgers.get("b")
                        .propose(now, AgreedContracts.put(n, n, List.of("{\"tenant\":\"some-name\"}")), came::add);
            }
            run(20);
            assertThat(came).as("put %d", i).hasSize(10).allMatch(Outcome.Committed.class::isInstance);
        }
    }

    @Test
    void theFileStaysBoundedOverTenThousandOperationsAndIsReadAgain() throws IOException {
        LedgerFile file = fleet();
        long highest = 0;
        for (int i = 0; i < 10_000; i += 100) {
            agree(i, 100);
            highest = Math.max(highest, Files.size(folder.resolve("ledger.log")));
        }
        assertThat(highest).isLessThan(2 * MAX_BYTES);
        run(2000);
        long last = file.memory().last();
        file.close();
        LedgerFile back = open(false);
        assertThat(back.memory().last()).isEqualTo(last).isGreaterThan(10_000);
        assertThat(back.memory().term()).isEqualTo(file.memory().term());
        try (Stream<Path> left = Files.list(folder)) {
            assertThat(left.map(p -> p.getFileName().toString()))
                    .containsExactlyInAnyOrder("ledger.log", "ledger.lock");
        }
        voter("a", back.memory(), back);
        ledgers.get("a").start(now);
        run(8000);
        assertThat(ledgers.get("a").version()).isEqualTo(ledgers.get("b").version());
        back.close();
    }

    @Test
    void truncatedAtAnyByteItKeepsAllThatWasForcedBefore() throws IOException {
        TreeMap<Long, List<byte[]>> forced = new TreeMap<>(); // the memory at each size of the file
        LedgerFile file = open(true);
        forced.put(file.size(), file.memory().changes());
        fleet(file, new LedgerStore() {
            @Override
            public void append(byte[] change) throws IOException {
                file.append(change);
            }

            @Override
            public void force() throws IOException {
                file.force();
                forced.put(file.size(), file.memory().changes());
            }
        });
        agree(0, 10);
        file.close();
        byte[] all = Files.readAllBytes(folder.resolve("ledger.log"));
        assertThat(forced.lastKey()).isEqualTo(all.length);
        for (int cut = forced.firstKey().intValue(); cut <= all.length; cut++) {
            Files.write(folder.resolve("ledger.log"), Arrays.copyOf(all, cut));
            LedgerFile back = open(false);
            Map.Entry<Long, List<byte[]>> before = forced.floorEntry((long) cut);
            if (before.getKey() == cut) {
                assertThat(text(back.memory().changes())).as("cut at %d", cut).isEqualTo(text(before.getValue()));
            } else {
                LedgerState least = LedgerState.of(before.getValue());
                assertThat(back.memory().term()).as("cut at %d", cut).isGreaterThanOrEqualTo(least.term());
                assertThat(back.memory().last()).as("cut at %d", cut).isGreaterThanOrEqualTo(least.last());
            }
            back.close();
        }
    }

    /** Names and ids of clients reach the ledger as UTF-8, in which no byte sequence has the form of a record. */
    @Test
    void aTruncatedChangeWithTheTextOfARecordDoesNotPreventTheStart() throws IOException {
        LedgerFile file = fleet();
        agree(0, 1);
        byte[] before = Files.readAllBytes(folder.resolve("ledger.log"));
        String record = new String(before, StandardCharsets.ISO_8859_1); // as a header field with any bytes is read
        file.append(record.getBytes(StandardCharsets.UTF_8));
        file.force();
        file.close();
        byte[] all = Files.readAllBytes(folder.resolve("ledger.log"));
        for (int cut = before.length; cut < all.length; cut++) {
            Files.write(folder.resolve("ledger.log"), Arrays.copyOf(all, cut));
            open(false).close();
            assertThat(Files.size(folder.resolve("ledger.log")))
                    .as("cut at %d", cut)
                    .isEqualTo(before.length);
        }
    }

    private static List<String> text(List<byte[]> changes) {
        return changes.stream().map(Arrays::toString).toList();
    }

    @Test
    void aCorruptByteInTheMiddlePreventsTheStart() throws IOException {
        LedgerFile file = fleet();
        agree(0, 10);
        file.close();
        byte[] all = Files.readAllBytes(folder.resolve("ledger.log"));
        for (int at = 0; at < all.length * 2 / 3; at++) {
            byte[] corrupt = all.clone();
            corrupt[at] ^= 0x10;
            Files.write(folder.resolve("ledger.log"), corrupt);
            assertThatThrownBy(() -> open(false)).as("byte %d", at).isInstanceOf(Fault.TornLedger.class);
        }
        byte[] corrupt = all.clone();
        corrupt[all.length - 1] ^= 1; // full length: corrupt, not truncated
        Files.write(folder.resolve("ledger.log"), corrupt);
        assertThatThrownBy(() -> open(false)).isInstanceOf(Fault.TornLedger.class);
    }

    @Test
    void anEmptyFolderIsAcceptedOnlyForADeclaredFirstStart() throws IOException {
        assertThatThrownBy(() -> open(false)).isInstanceOf(Fault.LedgerLost.class);
        open(true).close();
        LedgerFile held = open(false);
        assertThatThrownBy(() -> open(false))
                .isInstanceOf(Fault.LedgerUnwritten.class)
                .hasMessageContaining("another");
        held.close();
        Files.write(folder.resolve("ledger.log"), new byte[0]); // truncated, not deleted
        assertThatThrownBy(() -> open(true)).isInstanceOf(Fault.TornLedger.class);
    }

    @Test
    void afterAFailedWriteAllLaterOnesFail() throws IOException {
        LedgerFile file = open(true);
        file.close(); // the next write fails
        assertThatThrownBy(() -> file.append(new byte[1])).isInstanceOf(IOException.class);
        assertThatThrownBy(file::force).isInstanceOf(IOException.class);
        Path blocked = folder.resolve("ledger.log").resolve("below-a-file");
        assertThatThrownBy(() -> LedgerFile.open(blocked, "fleet", "a", VOTERS, true, MAX_BYTES))
                .isInstanceOf(Fault.LedgerUnwritten.class);
    }
}
