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

/** After a kill at any step of a call, a recorded attempt may have run, and an attempt without a record has not. */
class HeldMessagesTest {
    @TempDir
    private Path folder;

    @TempDir
    private Path copies;

    private HeldMessages messages;
    private Store store;

    @BeforeEach
    void start() throws IOException {
        store = Store.open(folder, 1_000_000, BootClock.SYSTEM);
        messages = new HeldMessages(store);
        store.accept(new StoredMessage(1, "r1", "unsafe", 7, null, 99_000, false, false, new byte[3], null, null));
    }

    /** The attempts that the next process would read if this one were killed now. */
    private List<StoredAttempt> readAfterKill() throws IOException {
        Path copy = Files.createTempDirectory(copies, "state");
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.copy(file, copy.resolve(file.getFileName()), StandardCopyOption.REPLACE_EXISTING);
            }
        }
        return Store.open(copy, 1_000_000, BootClock.SYSTEM)
                .open()
                .iterator()
                .next()
                .attempts();
    }

    private void end(int attempt, Result result) {
        messages.attemptEnded(new Outcome(1, attempt, "e", result, 5, false, 0, Load.NONE), "z", 50);
    }

    @Test
    void atEachStepOfACallThatIsWritten() throws IOException {
        messages.flush();
        assertThat(readAfterKill()).as("connecting").isEmpty();
        messages.recordCall(1, messages.recordedAttempts(1), "e", "z", 40);
        messages.flush();
        assertThat(readAfterKill()).as("about to be written").containsExactly(new StoredAttempt("e", "z", 40, true));
        end(0, Result.FULL);
        messages.flush();
        assertThat(readAfterKill()).as("refused").containsExactly(new StoredAttempt("e", "z", 40, false));
        assertThat(messages.recordedAttempts(1)).isEqualTo(1);
    }

    @Test
    void aCallWithoutAConnectionIsRecordedWhenItEnds() throws IOException {
        end(0, Result.CONNECT_FAILED);
        messages.flush();
        assertThat(readAfterKill()).containsExactly(new StoredAttempt("e", "z", 50, false));
        assertThat(messages.recordedAttempts(1))
                .as("number of the next attempt")
                .isEqualTo(1);
    }

    @Test
    void aCallOnAStaleConnectionHasNotRunUntilItIsWrittenOnAnother() throws IOException {
        messages.recordCall(1, 0, "e", "z", 40);
        messages.callNotWritten(1, 0);
        messages.flush();
        assertThat(readAfterKill()).as("connecting").containsExactly(new StoredAttempt("e", "z", 40, false));
        messages.recordCall(1, 0, "e", "z", 45);
        messages.flush();
        assertThat(readAfterKill()).as("about to be written").containsExactly(new StoredAttempt("e", "z", 40, true));
        end(0, Result.RESET);
        assertThat(messages.recordedAttempts(1)).isEqualTo(1);
    }

    @Test
    void eventsOfACompletedMessageAreIgnored() throws IOException {
        messages.complete(1);
        end(0, Result.CONNECT_FAILED);
        messages.callNotWritten(1, 0);
        messages.flush();
        assertThat(messages.recordedAttempts(1)).isEqualTo(-1);
    }
}
