package firstair.relay.faults;

import static firstair.relay.faults.FaultInjector.rule;
import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Operations on the state folder fail, temporarily or permanently (rows D9, D14, D15, C16, C17, R22). */
class FailingStateFolderTest extends FaultTest {
    private static final int STATUS_FAILED = 1;

    private FaultInjector preload;

    @BeforeEach
    void start() throws Exception {
        preload = new FaultInjector(fixture.node, folder);
    }

    /** Accepted messages are still pending, whichever system call of the start fails, once or a few times. */
    @ParameterizedTest
    @CsvSource({
        "mkdir, 1, state",
        "opendir, 1, state",
        "readdir, 1, state",
        "open, 1, messages-",
        "file_read, 1, messages-",
        "open, 1, messages.tmp",
        "file_write, 1, messages.tmp",
        "rename, 1, messages-",
        "unlink, 1, messages-",
        "unlink, 1, messages.tmp",
        "open, 3, messages-",
        "readdir, 3, state",
    })
    void aSystemCallThatFailsTemporarilyDoesNotEndTheStart(String call, int times, String part) throws Exception {
        fixture.node.start();
        // If it were killed before it has stored the outcome of the call, it would rightly give up an unsafe message.
        double submittedAt = fixture.submitAndAnswer("m1", "unsafe", 15_000, r -> r.answer(429, "Retry-After: 3"));
        fixture.node.kill();
        if (call.equals("unlink")) {
            Files.writeString(fixture.node.state().resolve("messages.tmp"), "half a draft");
        }
        fixture.behaviour = r -> r.answer(200);
        fixture.calls.clear();
        preload.rules(rule(call, 0, times, FaultInjector.EIO, part));
        fixture.node.start();
        fixture.awaitCalls("m1", 1, submittedAt + 10_000);
        assertThat(fixture.notices).isEmpty();
        assertThat(fixture.node.logLines()).noneMatch(line -> line.contains("Exception"));
    }

    /**
     * Delivers a message, so that what is stored next belongs to the next message. The connection stays open, so the
     * start of the next call is stored together with its message.
     */
    private void deliver(String id) throws Exception {
        fixture.submitAndAnswer(id, "safe", 5000, r -> r.answer(200));
        fixture.sleepUntil(fixture.now() + 100);
    }

    /** The path of the state folder, or of a file in it, is of the wrong type: one line says what to do. */
    @ParameterizedTest
    @ValueSource(strings = {"state", "state/messages.tmp/x", "state/messages-5.log/x"})
    void anUnusableFolderEndsTheStartWithOneLine(String path) throws Exception {
        Path obstacle = folder.resolve(path);
        Files.createDirectories(obstacle.getParent());
        Files.writeString(obstacle, "not ours");
        fixture.node.launch();
        assertThat(fixture.node.exitStatus()).isEqualTo(STATUS_FAILED);
        List<String> log = fixture.node.completeLog();
        assertThat(log).hasSize(1);
        String unusable = path.replace("/x", "");
        assertThat(log.get(0)).contains(folder.resolve(unusable).toString()).doesNotContain("Exception");
        assertThat(log.get(0)).containsAnyOf("move it away", "name another folder");
    }

    /** A client that was rejected may submit its message elsewhere: no later process may send it. */
    @Test
    void aRejectedMessageIsNotSentByTheNextProcess() throws Exception {
        fixture.node.start();
        deliver("first");
        preload.rules(
                rule("file_write", 0, 1, FaultInjector.SHORT, "messages"),
                rule("file_write", 1, FaultInjector.ALWAYS, FaultInjector.ENOSPC, "messages"));
        assertThat(fixture.submit("m1", "unsafe", 20_000)).isEqualTo(503);
        fixture.node.kill();
        preload.rules();
        fixture.node.start();
        fixture.sleepUntil(fixture.now() + 1500);
        assertThat(fixture.callsOf("m1")).isEmpty();
        assertThat(fixture.notices).isEmpty();
    }

    /** If the incomplete record cannot be removed either, 503 would wrongly promise that the message is not sent. */
    @Test
    void aMessageThatMayRemainInTheFileIsNotRejected() throws Exception {
        fixture.node.start();
        deliver("first");
        preload.rules(
                rule("file_write", 0, 1, FaultInjector.SHORT, "messages"),
                rule("file_write", 1, FaultInjector.ALWAYS, FaultInjector.EIO, "messages"),
                rule("truncate", 0, FaultInjector.ALWAYS, FaultInjector.EIO, "messages"));
        assertThat(fixture.submit("m1", "unsafe", 20_000)).isEqualTo(500);
    }

    /** The same if the record is complete in a new file and only the old file cannot be deleted. */
    @Test
    void aMessageStoredInANewFileIsNotRejectedBecauseOfTheOldFile() throws Exception {
        fixture.node.start();
        preload.rules(
                rule("file_write", 0, 1, FaultInjector.ENOSPC, "messages"),
                rule("unlink", 0, FaultInjector.ALWAYS, FaultInjector.EIO, "messages-"));
        int status = fixture.submit("m1", "safe", 20_000);
        double answeredAt = fixture.now();
        fixture.sleepUntil(answeredAt + 300);
        int laterStatus = fixture.submit("m2", "safe", 20_000);
        fixture.node.kill();
        preload.rules();
        fixture.node.start();
        fixture.sleepUntil(fixture.now() + 1500);
        assertThat(fixture.callsOf("m1").isEmpty()).isEqualTo(status != 202);
        assertThat(laterStatus).as("it goes on accepting messages").isEqualTo(202);
        assertThat(fixture.callsOf("m2")).isNotEmpty();
    }

    /** Files that cannot be deleted count towards the limit of disk space as well. */
    @Test
    void filesThatCannotBeDeletedCountTowardsTheDiskLimit() throws Exception {
        fixture.node.diskMb(1);
        fixture.node.start();
        preload.rules(
                rule("unlink", 0, FaultInjector.ALWAYS, FaultInjector.EIO, "messages-"),
                rule("truncate", 0, FaultInjector.ALWAYS, FaultInjector.EIO, "messages-"));
        for (int i = 0; i < 60; i++) {
            fixture.node.submit("b" + i, "safe", 5000, "dest=7", null, new byte[50_000]);
            long bytes = 0;
            try (var files = Files.list(fixture.node.state())) {
                for (Path file : files.toList()) {
                    bytes += (file.toFile().length() + 511) / 512 * 512; // 0 if it was deleted meanwhile
                }
            }
            assertThat(bytes).isLessThanOrEqualTo(1_000_000);
        }
        preload.rules();
        fixture.sleepUntil(fixture.now() + 500);
        assertThat(fixture.submit("last", "safe", 5000))
                .as("accepted again once they can be deleted")
                .isEqualTo(202);
    }

    /** Submits a message and refuses it for longer than it lasts, from when on its end cannot be stored. */
    private double endWhileNothingCanBeStored(int timeoutMs) throws Exception {
        fixture.node.start();
        fixture.behaviour = r -> {
            preload.rules(rule("file_write", 0, FaultInjector.ALWAYS, FaultInjector.ENOSPC, "messages"));
            r.answer(429, "Retry-After: 60");
        };
        double submittedAt = fixture.submitAccepted("m1", "safe", timeoutMs);
        fixture.awaitCalls("m1", 1, submittedAt + 2000);
        return submittedAt;
    }

    /** Guards against a call after a final answer: the next process resumes a message whose end is not stored. */
    @Test
    void anEndThatIsNotStoredIsNotTold() throws Exception {
        endWhileNothingCanBeStored(20_000);
        fixture.sleepUntil(fixture.now() + 1500);
        assertThat(fixture.notices).isEmpty();
        fixture.node.kill();
        preload.rules();
        fixture.behaviour = r -> r.answer(200);
        fixture.node.start();
        fixture.awaitCalls("m1", 2, fixture.now() + 5000);
        assertThat(fixture.notices).isEmpty();
    }

    @Test
    void anEndIsToldAsSoonAsItCanBeStored() throws Exception {
        endWhileNothingCanBeStored(20_000);
        fixture.sleepUntil(fixture.now() + 500);
        assertThat(fixture.notices).isEmpty();
        preload.rules();
        assertThat(fixture.awaitNotice("m1", fixture.now() + 1000).outcome()).isEqualTo("handed_back");
        fixture.node.kill();
        fixture.node.start();
        fixture.sleepUntil(fixture.now() + 1000);
        assertThat(fixture.callsOf("m1")).hasSize(1);
    }

    /** No process calls for a message whose deadline has passed, and its notice is owed 300 ms later. */
    @Test
    void anEndThatCannotBeStoredIsToldAtTheDeadline() throws Exception {
        double deadline = endWhileNothingCanBeStored(3000) + 3000;
        assertThat(fixture.awaitNotice("m1", deadline + 300).atMs()).isGreaterThan(deadline);
    }
}
