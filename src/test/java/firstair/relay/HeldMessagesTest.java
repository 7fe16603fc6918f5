package firstair.relay;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.control.Controller.Load;
import firstair.control.Controller.Outcome;
import firstair.control.Controller.Result;
import firstair.relay.store.BootClock;
import firstair.relay.store.Store;
import firstair.relay.store.StoredAttempt;
import firstair.relay.store.StoredMessage;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Killed at any step of a call: what is noted may have run, and what is not surely has not. */
class HeldMessagesTest {
    @TempDir
    private Path folder;

    @TempDir
    private Path copies;

    private HeldMessages kept;
    private Store store;

    @BeforeEach
    void start() throws IOException {
        store = Store.open(folder, 1_000_000, BootClock.SYSTEM);
        kept = new HeldMessages(store);
        store.taken(new StoredMessage(1, "r1", "unsafe", 7, null, 99_000, false, false, new byte[3], null, null));
    }

    /** The tries that a process finds which is started after a kill now. */
    private List<StoredAttempt> found() throws IOException {
        Path copy = Files.createTempDirectory(copies, "state");
        try (Stream<Path> files = Files.list(folder)) {
            for (Path f : files.toList()) {
                Files.copy(f, copy.resolve(f.getFileName()), StandardCopyOption.REPLACE_EXISTING);
            }
        }
        return Store.open(copy, 1_000_000, BootClock.SYSTEM)
                .open()
                .iterator()
                .next()
                .tries();
    }

    private void ends(int attempt, Result how) {
        kept.ended(new Outcome(1, attempt, "e", how, 5, false, 0, Load.NONE), 50);
    }

    @Test
    void atEachStepOfACallThatIsWritten() throws IOException {
        kept.flush();
        assertThat(found()).as("it dials").isEmpty();
        kept.called(1, kept.tries(1), "e", 40);
        kept.flush();
        assertThat(found()).as("about to be written").containsExactly(new StoredAttempt("e", 40, true));
        ends(0, Result.FULL);
        kept.flush();
        assertThat(found()).as("refused").containsExactly(new StoredAttempt("e", 40, false));
        assertThat(kept.tries(1)).isEqualTo(1);
    }

    @Test
    void aCallThatNeverGotAConnectionCountsOnceItHasEnded() throws IOException {
        ends(0, Result.CONNECT_FAILED);
        kept.flush();
        assertThat(found()).containsExactly(new StoredAttempt("e", 50, false));
        assertThat(kept.tries(1)).as("number of the next").isEqualTo(1);
    }

    @Test
    void aCallWhoseConnectionWasDeadHasNotRunUntilItIsWrittenOnAnother() throws IOException {
        kept.called(1, 0, "e", 40);
        kept.unwritten(1, 0);
        kept.flush();
        assertThat(found()).as("it dials").containsExactly(new StoredAttempt("e", 40, false));
        kept.called(1, 0, "e", 45);
        kept.flush();
        assertThat(found()).as("about to be written").containsExactly(new StoredAttempt("e", 40, true));
        ends(0, Result.RESET);
        assertThat(kept.tries(1)).isEqualTo(1);
    }

    @Test
    void whatIsToldOfAMessageThatIsOverIsPassedOver() throws IOException {
        kept.over(1);
        ends(0, Result.CONNECT_FAILED);
        kept.unwritten(1, 0);
        kept.flush();
        assertThat(kept.tries(1)).isEqualTo(-1);
    }
}
