package firstair.relay.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class StoreTest {
    private static final long DISK = 200_000;

    @TempDir
    private Path folder;

    private static StoredMessage message(long id, int bytes) {
        return new StoredMessage(
                id, "r" + id, "order", 7, id % 2 == 0 ? null : "key" + id, 1_000 + id, false, true, new byte[bytes]);
    }

    private Store reopened() throws IOException {
        return Store.open(folder, DISK, BootClock.SYSTEM);
    }

    private List<Path> files() throws IOException {
        try (Stream<Path> all = Files.list(folder)) {
            return all.toList();
        }
    }

    private long onDisk() throws IOException {
        long sum = 0;
        for (Path p : files()) {
            sum += (Files.size(p) + 511) / 512 * 512;
        }
        return sum;
    }

    private static OpenMessage only(Store store) {
        assertThat(store.open()).hasSize(1);
        return store.open().iterator().next();
    }

    @Test
    void whatWasFlushedIsThereAfterARestart() throws IOException {
        Store s = reopened();
        s.accept(message(3, 5));
        int first = s.attemptStarted(3, "e1", "z", 11);
        s.attemptEnded(3, first, false);
        s.attemptStarted(3, "e2", "z", 12);
        assertThat(s.flush()).isTrue();

        OpenMessage o = only(reopened());
        assertThat(o.message()).usingRecursiveComparison().isEqualTo(message(3, 5));
        assertThat(o.attempts())
                .containsExactly(new StoredAttempt("e1", "z", 11, false), new StoredAttempt("e2", "z", 12, true));
        assertThat(o.pendingNotice()).isNull();
    }

    @Test
    void completedMessagesAreRemovedAndIdsContinue() throws IOException {
        Store s = reopened();
        s.accept(message(1, 5));
        s.accept(message(2, 5));
        s.complete(1);
        s.flush();
        Store again = reopened();
        assertThat(only(again).message().id()).isEqualTo(2);
        assertThat(again.lastId()).isEqualTo(2);
    }

    @Test
    void aPendingNoticeKeepsNoBody() throws IOException {
        Store s = reopened();
        s.accept(message(1, 5_000));
        s.setPendingNotice(1, new PendingNotice(true, 250));
        s.flush();
        OpenMessage o = only(reopened());
        assertThat(o.pendingNotice()).isEqualTo(new PendingNotice(true, 250));
        assertThat(o.message().body()).isEmpty();
    }

    /** A process killed during a write leaves an incomplete record; the records before it must be kept. */
    @Test
    void aTornLastRecordIsDroppedWhereverItWasCut() throws IOException {
        Store s = reopened();
        s.accept(message(1, 40));
        s.flush();
        byte[] before = Files.readAllBytes(files().get(0));
        s.accept(message(2, 40));
        s.flush();
        Path file = files().get(0);
        byte[] all = Files.readAllBytes(file);
        for (int cut = before.length; cut < all.length; cut++) {
            Files.write(file, java.util.Arrays.copyOf(all, cut));
            assertThat(only(reopened()).message().id()).as("cut at %d", cut).isEqualTo(1);
            Files.delete(files().get(0));
        }
    }

    /** Guards against lost and forged messages: a body may hold any bytes, also those of a relay's own file. */
    @Test
    void aTornMessageWhoseBodyHoldsRecordsIsDroppedWhereverItWasCut() throws IOException {
        byte[] body = fileThatEndsMessageOne(Store.open(folder.resolve("other"), DISK, BootClock.SYSTEM));
        Path own = folder.resolve("own");
        Store s = Store.open(own, DISK, BootClock.SYSTEM);
        s.accept(message(1, 40));
        s.flush();
        Path file = currentFile(own);
        int end = (int) Files.size(file);
        s.accept(new StoredMessage(2, "r2", "order", 7, null, 1_002, false, false, body));
        s.flush();
        byte[] all = Files.readAllBytes(file);
        for (int cut = end; cut < all.length; cut++) {
            Path copy = folder.resolve("cut" + cut);
            Files.createDirectories(copy);
            Files.write(copy.resolve(file.getFileName()), java.util.Arrays.copyOf(all, cut));
            assertThat(Store.open(copy, DISK, BootClock.SYSTEM).open())
                    .as("cut at %d", cut)
                    .extracting(o -> o.message().id())
                    .containsExactly(1L);
        }
    }

    private byte[] fileThatEndsMessageOne(Store s) throws IOException {
        s.accept(message(1, 5));
        s.complete(1);
        s.accept(message(99, 5));
        s.flush();
        s.close();
        byte[] file = Files.readAllBytes(currentFile(folder.resolve("other")));
        byte[] padded = new byte[file.length + 200]; // so that cuts behind the records are tried as well
        System.arraycopy(file, 0, padded, 0, file.length);
        return padded;
    }

    private static Path currentFile(Path of) throws IOException {
        try (Stream<Path> all = Files.list(of)) {
            return all.toList().get(0);
        }
    }

    @Test
    void aDamagedRecordIsReportedAndTheOthersAreKept() throws IOException {
        Store s = reopened();
        s.accept(message(1, 40));
        s.flush();
        Path file = files().get(0);
        int end = (int) Files.size(file);
        s.accept(message(2, 40));
        s.accept(message(4, 40));
        s.flush();
        byte[] all = Files.readAllBytes(file);
        all[end + 30] ^= 2;
        Files.write(file, all);

        StringBuilder log = new StringBuilder();
        Handler handler = new Handler() {
            @Override
            public void publish(LogRecord r) {
                log.append(r.getMessage());
            }

            @Override
            public void flush() {}

            @Override
            public void close() {}
        };
        Logger logger = Logger.getLogger(Store.class.getName());
        logger.addHandler(handler);
        try {
            assertThat(reopened().open()).extracting(o -> o.message().id()).containsExactly(1L, 4L);
        } finally {
            logger.removeHandler(handler);
        }
        assertThat(log).contains("1 damaged places");
    }

    @Test
    void aValidRecordOfUnknownTypeIsSkipped() throws IOException {
        Store s = reopened();
        s.accept(message(1, 40));
        s.flush();
        byte[] odd = Records.completed(9);
        odd[0] = 99;
        Files.write(files().get(0), DelimiterFraming.INSTANCE.frame(odd), java.nio.file.StandardOpenOption.APPEND);
        assertThat(only(reopened()).message().id()).isEqualTo(1);
    }

    /** A record with a valid checksum but impossible values must not keep the relay from starting. */
    @Test
    void aValidRecordWithImpossibleValuesIsSkipped() throws IOException {
        Store s = reopened();
        s.accept(message(1, 40));
        s.attemptStarted(1, "e1", "z", 11);
        s.flush();
        byte[] taken = Records.accepted(message(2, 0));
        java.nio.ByteBuffer.wrap(taken).putInt(taken.length - Integer.BYTES, -1); // length of the body
        byte[] ended = Records.attemptEnded(1, -1, false);
        Path file = files().get(0);
        for (byte[] odd : List.of(taken, ended)) {
            Files.write(file, DelimiterFraming.INSTANCE.frame(odd), java.nio.file.StandardOpenOption.APPEND);
        }
        OpenMessage o = only(reopened());
        assertThat(o.message().id()).isEqualTo(1);
        assertThat(o.attempts()).containsExactly(new StoredAttempt("e1", "z", 11, true));
    }

    /** Bytes overwritten, removed or inserted at random: each message whose records are intact is still read. */
    @Test
    void whateverIsSpoiltWhatIsWholeIsKept() throws IOException {
        for (long seed = 1; seed <= 200; seed++) {
            java.util.Random random = new java.util.Random(seed);
            Path folderOfSeed = folder.resolve("s" + seed);
            Store s = Store.open(folderOfSeed, DISK, BootClock.SYSTEM);
            Path file;
            try (Stream<Path> all = Files.list(folderOfSeed)) {
                file = all.toList().get(0);
            }
            long[] ends = new long[20];
            for (int id = 0; id < ends.length; id++) {
                s.accept(message(id, random.nextInt(100)));
                s.attemptStarted(id, "e" + id, "z", 10 + id);
                s.flush();
                ends[id] = Files.size(file);
            }
            s.close();
            byte[] all = Files.readAllBytes(file);
            int from = random.nextInt(all.length);
            int to = Math.min(all.length, from + 1 + random.nextInt(60));
            byte[] put = new byte[random.nextInt(3) == 0 ? random.nextInt(80) : to - from];
            random.nextBytes(put);
            var out = new java.io.ByteArrayOutputStream();
            out.write(all, 0, from);
            out.writeBytes(put);
            out.write(all, to, all.length - to);
            Files.write(file, out.toByteArray());
            List<Long> found = Store.open(folderOfSeed, DISK, BootClock.SYSTEM).open().stream()
                    .filter(o -> o.attempts().size() == 1)
                    .map(o -> o.message().id())
                    .toList();
            for (int id = 0; id < ends.length; id++) {
                long begin = id == 0 ? 0 : ends[id - 1];
                if (ends[id] <= from || begin >= to) {
                    assertThat(found)
                            .as("seed %d, bytes %d to %d", seed, from, to)
                            .contains((long) id);
                }
            }
        }
    }

    /** The number of calls of a message is not limited: the size of their records must be counted. */
    @Test
    void messagesWithVeryManyCallsStayWithinTheDiskLimit() throws IOException {
        Store s = reopened();
        int taken = 0;
        while (s.fits(Store.spaceFor(message(taken, 100))) && taken < 40) {
            s.accept(message(taken, 100));
            for (int i = 0; i < 200; i++) {
                s.attemptStarted(taken, "endpoint-with-a-name", "z", 1);
            }
            s.flush();
            taken++;
        }
        assertThat(taken).isLessThan(20);
        assertThat(onDisk()).isLessThanOrEqualTo(DISK / 2);
    }

    /** Guards against a limit that counted each message's ids and key as 512 bytes, whatever their length. */
    @Test
    void messagesWithLongIdsStayWithinTheDiskLimit() throws IOException {
        Store s = reopened();
        for (int id = 0; id < 100; id++) {
            String text = "\u00e9".repeat(4_000) + id;
            StoredMessage message = new StoredMessage(id, text, "order", 7, text, 1_000, false, false, new byte[0]);
            if (s.fits(Store.spaceFor(message))) {
                s.accept(message);
            }
            assertThat(s.flush()).isTrue();
            assertThat(onDisk()).isLessThanOrEqualTo(DISK / 2);
        }
        assertThat(s.open()).isNotEmpty();
        assertThat(reopened().open()).hasSameSizeAs(s.open());
    }

    @Test
    void oldAndNewFileTogetherStayWithinTheDiskLimit() throws IOException {
        Store s = reopened();
        for (int i = 0; i < 3_000; i++) {
            s.accept(message(i, 300));
            s.attemptStarted(i, "endpoint-with-a-name", "z", 1);
            s.flush();
            if (i >= 20) {
                s.complete(i - 20);
            }
            assertThat(onDisk()).isLessThanOrEqualTo(DISK / 2); // a successor of the same size must fit beside it
        }
        assertThat(files()).hasSize(1);
        s.flush();
        assertThat(reopened().open()).hasSize(20);
    }

    @Test
    void aFullStoreRejectsMessagesUntilOthersComplete() throws IOException {
        Store s = reopened();
        int taken = 0;
        while (s.fits(Store.spaceFor(message(taken, 1_000)))) {
            s.accept(message(taken, 1_000));
            for (int attempt = 0; attempt < 6; attempt++) {
                s.attemptStarted(taken, "endpoint-with-a-name", "z", 1);
                s.attemptEnded(taken, attempt, true);
            }
            assertThat(s.flush()).isTrue();
            taken++;
        }
        assertThat(taken).isBetween(30, 200);
        assertThat(onDisk()).isLessThanOrEqualTo(DISK / 2);
        s.complete(0);
        s.flush();
        assertThat(s.fits(Store.spaceFor(message(taken, 1_000)))).isTrue();
    }

    @Test
    void writesToAnUnwritableFolderFailAndAreRetried() throws IOException {
        Store s = reopened();
        Files.delete(files().get(0));
        Files.delete(folder);
        s.accept(message(1, 30_000));
        s.accept(message(2, 30_000));
        s.accept(message(3, 30_000));
        s.accept(message(4, 30_000)); // exceeds the limit of the open file: a new one must be created
        assertThat(s.flush()).isFalse();
        assertThat(s.fits(1)).isFalse();
        s.complete(2);
        s.complete(3);
        s.complete(4);
        Files.createDirectories(folder);
        assertThat(s.flush()).isTrue();
        assertThat(s.fits(1)).isTrue();
        assertThat(only(reopened()).message().id()).isEqualTo(1);
    }

    @Test
    void anIncompleteTemporaryFileIsIgnored() throws IOException {
        Store s = reopened();
        s.accept(message(1, 5));
        s.flush();
        Files.write(folder.resolve("messages.tmp"), new byte[100]);
        assertThat(only(reopened()).message().id()).isEqualTo(1);
        assertThat(files()).hasSize(1);
    }

    @Test
    void whereTwoFilesStandTheNewerOneHolds() throws IOException {
        Store s = reopened();
        s.accept(message(1, 5));
        s.flush();
        byte[] old = Files.readAllBytes(files().get(0));
        s.complete(1);
        s.accept(message(2, 5));
        s.close();
        Files.write(
                folder.resolve("messages-0.log"), old); // killed between renaming the new file and deleting the old one
        assertThat(only(reopened()).message().id()).isEqualTo(2);
    }

    /** Guards against a store that could not be written again, as a new file did not fit beside a large one. */
    @Test
    void aFileTooLargeForANewOneIsContinuedUntilMessagesHaveEnded() throws IOException {
        Store before = Store.open(folder, 4 * DISK, BootClock.SYSTEM);
        for (int id = 0; id < 13; id++) {
            before.accept(message(id, 10_000));
        }
        before.flush();
        before.close();
        assertThat(onDisk()).isGreaterThan(DISK / 2);

        Store s = reopened();
        assertThat(s.fits(1)).isFalse();
        s.attemptStarted(0, "e1", "z", 11);
        s.setPendingNotice(1, new PendingNotice(true, 250));
        assertThat(s.flush()).isTrue();
        Store next = reopened();
        assertThat(next.open()).hasSize(13);
        assertThat(List.copyOf(next.open()).get(0).attempts()).containsExactly(new StoredAttempt("e1", "z", 11, true));
        assertThat(List.copyOf(next.open()).get(1).pendingNotice()).isNotNull();

        for (int id = 0; id < 13; id++) {
            assertThat(onDisk()).as("before the end of %d", id).isLessThanOrEqualTo(DISK);
            next.complete(id);
            assertThat(next.flush()).isTrue();
        }
        assertThat(onDisk()).isLessThanOrEqualTo(DISK / 2);
        assertThat(next.fits(Store.spaceFor(message(20, 1_000)))).isTrue();
        assertThat(reopened().open()).isEmpty();
    }

    /** What a torn write has left in a file that is continued must not become part of the next record. */
    @Test
    void aFileThatIsContinuedBeginsBehindItsLastCompleteRecord() throws IOException {
        Store before = Store.open(folder, 4 * DISK, BootClock.SYSTEM);
        for (int id = 0; id < 13; id++) {
            before.accept(message(id, 10_000));
            before.flush();
        }
        before.close();
        Path file = files().get(0);
        byte[] all = Files.readAllBytes(file);
        Files.write(file, java.util.Arrays.copyOf(all, all.length - 1));

        Store s = reopened();
        assertThat(s.open()).hasSize(12);
        s.complete(0);
        assertThat(s.flush()).isTrue();
        assertThat(reopened().open()).extracting(o -> o.message().id()).doesNotContain(0L, 12L);
    }

    @Test
    void aLoweredLimitIsKeptAgainOnceTheOpenMessagesFit() throws IOException {
        Store before = Store.open(folder, 4 * DISK, BootClock.SYSTEM);
        for (int id = 0; id < 30; id++) {
            before.accept(message(id, 10_000));
        }
        before.flush();
        for (int id = 1; id < 30; id++) {
            before.complete(id);
        }
        before.close();
        assertThat(only(reopened()).message().id()).isZero();
        assertThat(onDisk()).isLessThanOrEqualTo(DISK / 2);
    }
}
