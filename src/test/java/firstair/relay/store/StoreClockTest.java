package firstair.relay.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Files whose times are of another clock: of another boot, or the wall clock in earlier versions (row C6). */
class StoreClockTest {
    private static final long DISK = 200_000;
    private static final long WALL = 1_790_000_000_000L;

    @TempDir
    private Path folder;

    private record Clocks(String boot, long nowMs, long wallMs) implements BootClock {}

    private OpenMessage reopened(String boot, long nowMs, long wallMs) throws IOException {
        return Store.open(folder, DISK, new Clocks(boot, nowMs, wallMs))
                .open()
                .iterator()
                .next();
    }

    /** Leaves a file created at 500,000 ms on the clock of boot "one", with a message whose deadline is 520,000 ms. */
    private void writeFile() throws IOException {
        Store s = Store.open(folder, DISK, new Clocks("one", 500_000, WALL));
        s.accept(new StoredMessage(1, "r1", "order", 7, null, 520_000, false, false, new byte[3]));
        s.attemptStarted(1, "e1", "z", 505_000);
        s.flush();
        s.close();
    }

    @Test
    void withinOneBootTheWallClockIsIgnored() throws IOException {
        for (long step : new long[] {0, 3_600_000, -3_600_000}) {
            writeFile();
            OpenMessage o = reopened("one", 506_000, WALL + 6_000 + step);
            assertThat(o.message().deadlineAt()).isEqualTo(520_000);
            assertThat(o.attempts()).containsExactly(new StoredAttempt("e1", "z", 505_000, true));
            Files.delete(folder.resolve("messages-2.log"));
        }
    }

    /** Clients may give up to fifteen digits of milliseconds (row P5). */
    @Test
    void aDeadlineThatIsDecadesAwayIsNoTimeOfTheWall() throws IOException {
        for (long left : new long[] {1_000_000_000_000L, 999_999_999_999_999L}) {
            Store s = Store.open(folder, DISK, new Clocks("one", 500_000, WALL));
            s.accept(new StoredMessage(1, "r1", "order", 7, null, 500_000 + left, false, false, new byte[3]));
            s.flush();
            s.close();
            assertThat(reopened("one", 506_000, WALL + 6_000).message().deadlineAt())
                    .isEqualTo(500_000 + left);
            Files.delete(folder.resolve("messages-2.log"));
        }
    }

    @Test
    void afterARebootCallsCountAsLongAgoAndNoDeadlineIsExtended() throws IOException {
        for (long step : new long[] {0, -3_600_000}) {
            writeFile();
            OpenMessage o = reopened("two", 40_000, WALL + 6_000 + step);
            assertThat(o.message().deadlineAt()).isBetween(40_000 + 14_000L, 40_000 + 20_000L);
            assertThat(o.attempts().get(0).sentAt()).isLessThan(40_000 - 24 * 3_600_000L);
            Files.delete(folder.resolve("messages-2.log"));
        }
        writeFile();
        assertThat(reopened("two", 40_000, WALL + 3_600_000).message().deadlineAt())
                .isLessThan(40_000);
    }

    @Test
    void withoutABootIdEachStartCountsAsAReboot() throws IOException {
        Store s = Store.open(folder, DISK, new Clocks("", 500_000, WALL));
        s.accept(new StoredMessage(1, "r1", "order", 7, null, 520_000, false, false, new byte[3]));
        s.attemptStarted(1, "e1", "z", 505_000);
        s.flush();
        assertThat(reopened("", 506_000, WALL + 6_000).attempts().get(0).sentAt())
                .isLessThan(0);
    }

    @Test
    void aFileOfAnEarlierVersionHoldsUnixTimes() throws IOException {
        Files.write(
                folder.resolve("messages-3.log"),
                LengthFraming.INSTANCE.frame(Records.accepted(
                        new StoredMessage(1, "r1", "order", 7, null, WALL + 20_000, false, false, new byte[3]))));
        Files.write(
                folder.resolve("messages-3.log"),
                LengthFraming.INSTANCE.frame(
                        Records.attemptStarted(1, new StoredAttempt("e1", null, WALL + 5_000, true))),
                java.nio.file.StandardOpenOption.APPEND);
        OpenMessage o = reopened("one", 900_000, WALL + 6_000);
        assertThat(o.message().deadlineAt()).isEqualTo(900_000 + 14_000);
        assertThat(o.attempts().get(0).sentAt()).isLessThan(0);
    }
}
