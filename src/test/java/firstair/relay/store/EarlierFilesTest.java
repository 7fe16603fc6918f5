package firstair.relay.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Files that an earlier version has left: relays are upgraded with messages in their folders. */
class EarlierFilesTest {
    private static final long DISK = 200_000;

    /** Written by the build of 75135e2: five messages, of which the last is completed, with attempts and notices. */
    private static final String EARLIER_BUILD =
            "8aEAAAAetHjduQUAAAAAAAAAAAADb25lAAAAAAAHoSAAAAGLz+VoAPGhAAAAL1513GoAAAAAAAAAAAEAAnIxAAVvcm"
                    + "RlcgAAAAcBAAJrMQAAAAAACIuAAAAAAAAEAAHxofGhAAAALZrU4WEAAAAAAAAAAAIAAnIyAAVvcmRlcgAAAAcAAAAA"
                    + "AAAAAAiLgAAAAAAABAAC8aHxoQAAAC+vpzRHAAAAAAAAAAADAAJyMwAFb3JkZXIAAAAHAQACazMAAAAAAAiLgAEAAA"
                    + "AABAAD8aHxoQAAAC1upoUDAAAAAAAAAAAEAAJyNAAFb3JkZXIAAAAHAAAAAAAAAAAIi4AAAQAAAAQABPGh8aEAAAAv"
                    + "K3z7egAAAAAAAAAABQACcjUABW9yZGVyAAAABwEAAms1AAAAAAAIi4AAAAAAAAQABfGh8aEAAAAWUsbohQEAAAAAAA"
                    + "AAAQACZTEAAAAAAAehIAHxoQAAAA4xVfZkAgAAAAAAAAABAAAAAADxoQAAABYK0BKbAQAAAAAAAAABAAJlMgAAAAAA"
                    + "B6EgAfGhAAAAEr/AxW4DAAAAAAAAAAIBQG9AAAAAAADxoQAAABL7877eAwAAAAAAAAAEAAAAAAAAAAAA8aEAAAAJUN"
                    + "u+jAQAAAAAAAAABQ==";

    @TempDir
    private Path folder;

    private static final BootClock SAME_BOOT = new BootClock() {
        @Override
        public String boot() {
            return "one";
        }

        @Override
        public long nowMs() {
            return 510_000;
        }

        @Override
        public long wallMs() {
            return 1_700_000_010_000L;
        }
    };

    private static byte[] earlier(byte[]... contents) {
        ByteArrayOutputStream file = new ByteArrayOutputStream();
        file.writeBytes(LengthFraming.INSTANCE.frame(Records.clock(StoredTimes.ClockReading.of(BootClock.SYSTEM))));
        for (byte[] content : contents) {
            file.writeBytes(LengthFraming.INSTANCE.frame(content));
        }
        return file.toByteArray();
    }

    private static byte[] accepted(long id, byte[] body) {
        return Records.accepted(new StoredMessage(id, "r" + id, "order", 7, "k" + id, 1_000, true, false, body));
    }

    private Store opened(byte[] file) throws IOException {
        Files.write(folder.resolve("messages-3.log"), file);
        return Store.open(folder, DISK, BootClock.SYSTEM);
    }

    private static List<Long> ids(Store store) {
        return store.open().stream().map(o -> o.message().id()).toList();
    }

    /** A folder of the build before the present framing: messages, attempts and notices are kept by two starts. */
    @Test
    void aFileOfAnEarlierBuildIsReadWhole() throws IOException {
        Files.write(folder.resolve("messages-1.log"), Base64.getDecoder().decode(EARLIER_BUILD));
        for (int start = 1; start <= 2; start++) {
            Store store = Store.open(folder, DISK, SAME_BOOT);
            List<OpenMessage> open = List.copyOf(store.open());
            assertThat(ids(store)).containsExactly(1L, 2L, 3L, 4L);
            assertThat(open.get(0).message())
                    .usingRecursiveComparison()
                    .isEqualTo(new StoredMessage(
                            1, "r1", "order", 7, "k1", 560_000, false, false, new byte[] {0, 1, -15, -95}));
            assertThat(open.get(0).attempts())
                    .containsExactly(
                            new StoredAttempt("e1", null, 500_000, false),
                            new StoredAttempt("e2", null, 500_000, true));
            assertThat(open.get(1).pendingNotice()).isEqualTo(new PendingNotice(true, 250));
            assertThat(open.get(2).message().resubmitted()).isTrue();
            assertThat(open.get(2).attempts()).isEmpty();
            assertThat(open.get(3).pendingNotice()).isEqualTo(new PendingNotice(false, 0));
            assertThat(open.get(3).message().fromCrashedRelay()).isTrue();
            store.close();
        }
    }

    @Test
    void everythingPendingIsReadAndKeptByTheNextStarts() throws IOException {
        byte[] file = earlier(
                accepted(1, new byte[] {0, 1, 2}),
                accepted(2, new byte[0]),
                Records.attemptStarted(1, new StoredAttempt("e1", null, 5, true)),
                Records.completed(2),
                accepted(3, new byte[9]),
                Records.pendingNotice(3, new PendingNotice(true, 7)));
        Store first = opened(file);
        first.close();
        for (Store store : List.of(first, Store.open(folder, DISK, BootClock.SYSTEM))) {
            assertThat(ids(store)).containsExactly(1L, 3L);
            OpenMessage one = store.open().iterator().next();
            assertThat(one.message().body()).containsExactly(0, 1, 2);
            assertThat(one.message().key()).isEqualTo("k1");
            assertThat(one.attempts()).containsExactly(new StoredAttempt("e1", null, 5, true));
            assertThat(List.copyOf(store.open()).get(1).pendingNotice()).isEqualTo(new PendingNotice(true, 7));
        }
    }

    /** Guards against lost and forged messages where an earlier version was killed during its last write. */
    @Test
    void aTornMessageWhoseBodyHoldsRecordsIsDropped() throws IOException {
        byte[] whole = earlier(accepted(1, new byte[5]));
        byte[] body = Arrays.copyOf(earlier(Records.completed(1), accepted(99, new byte[5])), 300);
        byte[] all = earlier(accepted(1, new byte[5]), accepted(2, body));
        assertDroppedWhereverItIsCut(whole, all);
    }

    /** The same with a tenant and a booking behind the body, as in a fleet. */
    @Test
    void aTornMessageOfATenantIsDropped() throws IOException {
        byte[] whole = earlier(accepted(1, new byte[5]));
        byte[] body = earlier(Records.completed(1), accepted(99, new byte[5]));
        byte[] all = earlier(
                accepted(1, new byte[5]),
                Records.accepted(
                        new StoredMessage(2, "r2", "order", 7, "k2", 1_000, false, false, body, "tenant", "booking")));
        assertDroppedWhereverItIsCut(whole, all);
    }

    private void assertDroppedWhereverItIsCut(byte[] whole, byte[] all) throws IOException {
        for (int cut = whole.length; cut < all.length; cut++) {
            Path copy = Files.createDirectories(folder.resolve("cut" + cut));
            Files.write(copy.resolve("messages-3.log"), Arrays.copyOf(all, cut));
            assertThat(ids(Store.open(copy, DISK, BootClock.SYSTEM)))
                    .as("cut at %d", cut)
                    .containsExactly(1L);
        }
    }

    @Test
    void recordsBehindADamagedOneAreKept() throws IOException {
        byte[] file = earlier(accepted(1, new byte[5]), accepted(2, new byte[5]), accepted(3, new byte[5]));
        int second = earlier(accepted(1, new byte[5])).length;
        for (int at = second; at < second + 30; at++) {
            byte[] damaged = file.clone();
            damaged[at] ^= 64;
            assertThat(ids(opened(damaged))).as("damaged at %d", at).containsExactly(1L, 3L);
            Files.list(folder).forEach(f -> f.toFile().delete());
        }
    }

    /** An earlier version could write more than half of the space; then a new file does not fit beside its own. */
    @Test
    void aFileTooLargeForANewOneIsContinued() throws IOException {
        byte[][] contents = new byte[13][];
        for (int id = 0; id < contents.length; id++) {
            contents[id] = accepted(id, new byte[10_000]);
        }
        byte[] whole = earlier(contents);
        Store first = opened(Arrays.copyOf(whole, whole.length - 3)); // killed during the write of the last one
        first.complete(0);
        first.attemptStarted(1, "e1", "z", 5);
        assertThat(first.flush()).isTrue();
        first.close();

        Store second = Store.open(folder, DISK, BootClock.SYSTEM);
        assertThat(ids(second)).containsExactly(1L, 2L, 3L, 4L, 5L, 6L, 7L, 8L, 9L, 10L, 11L);
        assertThat(second.open().iterator().next().attempts()).containsExactly(new StoredAttempt("e1", "z", 5, true));
        for (long id = 1; id < 11; id++) {
            second.complete(id);
            assertThat(second.flush()).isTrue();
        }
        assertThat(ids(Store.open(folder, DISK, BootClock.SYSTEM))).containsExactly(11L);
    }
}
