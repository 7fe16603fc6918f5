package firstair.relay.faults;

import static firstair.relay.faults.FaultInjector.rule;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** System calls of a relay fail temporarily with errors that Linux documents; all rules hold (rows C10 to C16). */
class SystemCallTest extends FaultTest {
    private static final int MESSAGES = 12;
    private static final long TIMEOUT_MS = 5000;

    private FaultInjector preload;

    @BeforeEach
    void start() throws Exception {
        preload = new FaultInjector(fixture.node, folder);
        fixture.node.start();
    }

    /** Submits {@link #MESSAGES} messages concurrently and checks that each is accepted; returns their ids. */
    private List<String> submitConcurrently(String type) throws Exception {
        List<String> ids = new ArrayList<>();
        List<Future<Integer>> answers = new ArrayList<>();
        ExecutorService clients = Executors.newFixedThreadPool(MESSAGES);
        for (int i = 0; i < MESSAGES; i++) {
            String id = type + i;
            ids.add(id);
            answers.add(clients.submit(() -> fixture.submit(id, type, TIMEOUT_MS)));
        }
        for (Future<Integer> answer : answers) {
            assertThat(answer.get()).isEqualTo(202);
        }
        clients.shutdown();
        return ids;
    }

    private void assertAllDeliveredOnce(List<String> ids, double byMs) throws Exception {
        for (String id : ids) {
            fixture.awaitCalls(id, 1, byMs);
        }
        assertThat(fixture.notices).isEmpty();
        assertThat(fixture.calls).hasSize(ids.size());
    }

    /** A local failure says nothing about the endpoint, and does not count as an attempt of the message. */
    @ParameterizedTest
    @CsvSource({"socket, 6, 105", "socket, 8, 23", "socket, 8, 24", "connect, 8, 101", "connect, 8, 99"})
    void aLocalFailureIsNotAttributedToTheEndpoint(String call, int times, int error) throws Exception {
        preload.rules(rule(call, 0, times, error, call.equals("connect") ? endpointPort() : ""));
        double startedAt = fixture.now();
        assertAllDeliveredOnce(submitConcurrently("unsafe"), startedAt + 2000);
        assertThat(fixture.node.logLines()).noneMatch(line -> line.contains("held to be sick"));
    }

    /** A local failure that lasts uses up no attempt: twelve are allowed, and there are far more failures. */
    @Test
    void aLongLocalFailureUsesUpNoAttempt() throws Exception {
        preload.rules(rule("connect", 0, FaultInjector.ALWAYS, FaultInjector.ENETUNREACH, endpointPort()));
        fixture.submitAccepted("m1", "unsafe", 9000);
        fixture.sleepUntil(fixture.now() + 500);
        int descriptors = fixture.node.descriptors();
        fixture.sleepUntil(fixture.now() + 2000);
        assertThat(fixture.calls).isEmpty();
        assertThat(fixture.node.descriptors()).as("no descriptor leaks").isLessThan(descriptors + 5);
        preload.rules();
        double endedAt = fixture.now();
        fixture.awaitCalls("m1", 1, endedAt + 1000);
        assertThat(fixture.node.logLines()).noneMatch(line -> line.contains("held to be sick"));
    }

    @ParameterizedTest
    @ValueSource(ints = {FaultInjector.ECONNABORTED, FaultInjector.ENFILE, FaultInjector.EMFILE, FaultInjector.ENOBUFS})
    void anAcceptThatFailsTemporarilyRejectsNoClient(int error) throws Exception {
        preload.rules(rule("accept", 0, 3, error, ""));
        double startedAt = fixture.now();
        assertAllDeliveredOnce(submitConcurrently("unsafe"), startedAt + 2000);
    }

    /** The listener needs a socket too, and a start that fails counts as a crash. */
    @ParameterizedTest
    @CsvSource({"socket, 10, 23", "socket, 12, 23", "socket, 16, 105", "socket, 24, 24"})
    void aTemporaryLackOfSocketsDoesNotEndTheStart(String call, int times, int error) throws Exception {
        fixture.node.kill();
        preload.rules(rule(call, 0, times, error, ""));
        fixture.node.start();
        double readyAt = fixture.now();
        fixture.submitAccepted("m1", "unsafe", TIMEOUT_MS);
        fixture.awaitCalls("m1", 1, readyAt + 3000);
    }

    @Test
    void interruptedWaitsHaveNoEffect() throws Exception {
        preload.rules(rule("epoll_wait", 0, 50, FaultInjector.EINTR, ""));
        assertAllDeliveredOnce(submitConcurrently("unsafe"), fixture.now() + 2000);
    }

    @Test
    void shortReadsAndWritesAreContinued() throws Exception {
        preload.rules(
                rule("sock_read", 0, FaultInjector.ALWAYS, FaultInjector.SHORT, ""),
                rule("sock_write", 0, FaultInjector.ALWAYS, FaultInjector.SHORT, ""),
                rule("file_write", 0, FaultInjector.ALWAYS, FaultInjector.SHORT, "messages"));
        assertAllDeliveredOnce(submitConcurrently("unsafe"), fixture.now() + 4000);
        fixture.sleepUntil(fixture.now() + 1500); // it has to read the answers before it is killed
        preload.rules();
        fixture.node.kill();
        fixture.node.start();
        assertThat(fixture.node.awaitLine("ready at")).contains("0 messages and 0 notices");
    }

    /** After a request's last byte a broken connection may give any of these errors, and the request may have run. */
    @ParameterizedTest
    @ValueSource(ints = {FaultInjector.ETIMEDOUT, FaultInjector.EHOSTUNREACH})
    void aRequestOnABrokenConnectionMayHaveRunWhateverTheError(int error) throws Exception {
        preload.rules(rule("sock_read", 0, 2, error, endpointPort()));
        double startedAt = fixture.now();
        fixture.submitAccepted("u", "unsafe", TIMEOUT_MS);
        assertThat(fixture.awaitNotice("u", startedAt + 2000).outcome()).isEqualTo("given_up");
        assertThat(fixture.callsOf("u")).hasSize(1);
        fixture.submitAccepted("s", "safe", TIMEOUT_MS);
        fixture.awaitCalls("s", 2, startedAt + 4000);
    }

    /** A write that fails before any byte of the request was sent: it has not run, and is sent again. */
    @ParameterizedTest
    @ValueSource(ints = {FaultInjector.EHOSTUNREACH, FaultInjector.ETIMEDOUT, FaultInjector.ENOBUFS})
    void aRequestWhoseWriteFailedIsSentAgain(int error) throws Exception {
        preload.rules(rule("sock_write", 0, 1, error, endpointPort()));
        assertAllDeliveredOnce(submitConcurrently("unsafe"), fixture.now() + 3000);
    }

    /** Writes to the folder fail for a while: a rejected message never runs, accepted ones are still delivered. */
    @ParameterizedTest
    @ValueSource(ints = {FaultInjector.ENOSPC, FaultInjector.EIO})
    void aFolderThatFailsForAWhileLosesNoMessage(int error) throws Exception {
        fixture.behaviour = r -> r.answer(503);
        double submittedAt = fixture.submitAccepted("before", "unsafe", 9000);
        fixture.awaitCalls("before", 1, submittedAt + 2000);
        preload.rules(rule("file_write", 0, FaultInjector.ALWAYS, error, "messages"));
        assertThat(fixture.submit("meanwhile", "unsafe", TIMEOUT_MS)).isEqualTo(503);
        fixture.sleepUntil(fixture.now() + 500);
        fixture.behaviour = r -> r.answer(200);
        preload.rules();
        fixture.awaitCalls("before", 2, submittedAt + 8000);
        fixture.submitAccepted("after", "unsafe", TIMEOUT_MS);
        fixture.awaitCalls("after", 1, fixture.now() + 3000);
        assertThat(fixture.callsOf("meanwhile")).isEmpty();
        assertThat(fixture.notices).isEmpty();
    }
}
