package firstair.relay.faults;

import static firstair.relay.faults.Preload.rule;
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

/** System calls of a relay fail for a moment in the ways that Linux documents; all rules hold (rows C10 to C16). */
class SystemCallTest extends FaultTest {
    private static final int MESSAGES = 12;
    private static final long TIME_MS = 5000;

    private Preload preload;

    @BeforeEach
    void start() throws Exception {
        preload = new Preload(stage.node, folder);
        stage.node.start();
    }

    /** Hands in a dozen messages that must not be repeated, all at once; each is taken on. */
    private List<String> dozen(String type) throws Exception {
        List<String> ids = new ArrayList<>();
        List<Future<Integer>> answers = new ArrayList<>();
        ExecutorService clients = Executors.newFixedThreadPool(MESSAGES);
        for (int i = 0; i < MESSAGES; i++) {
            String id = type + i;
            ids.add(id);
            answers.add(clients.submit(() -> stage.handIn(id, type, TIME_MS)));
        }
        for (Future<Integer> a : answers) {
            assertThat(a.get()).isEqualTo(202);
        }
        clients.shutdown();
        return ids;
    }

    private void allDeliveredOnce(List<String> ids, double byMs) throws Exception {
        for (String id : ids) {
            stage.called(id, 1, byMs);
        }
        assertThat(stage.notices).isEmpty();
        assertThat(stage.calls).hasSize(ids.size());
    }

    /** What did not leave this machine says nothing of the endpoint, and is no attempt of the message's. */
    @ParameterizedTest
    @CsvSource({"socket, 6, 105", "socket, 8, 23", "socket, 8, 24", "connect, 8, 101", "connect, 8, 99"})
    void whatDoesNotLeaveThisMachineSaysNothingOfTheEndpoint(String call, int times, int error) throws Exception {
        preload.rules(rule(call, 0, times, error, call.equals("connect") ? partnerPort() : ""));
        double from = stage.now();
        allDeliveredOnce(dozen("unsafe"), from + 2000);
        assertThat(stage.node.lines()).noneMatch(l -> l.contains("held to be sick"));
    }

    /** One that goes on for a while uses up no attempt: twelve are allowed, and there are far more failures. */
    @Test
    void aLongLocalFailureUsesUpNoAttempt() throws Exception {
        preload.rules(rule("connect", 0, Preload.ALWAYS, Preload.ENETUNREACH, partnerPort()));
        stage.take("m1", "unsafe", 9000);
        stage.until(stage.now() + 500);
        int descriptors = stage.node.descriptors();
        stage.until(stage.now() + 2000);
        assertThat(stage.calls).isEmpty();
        assertThat(stage.node.descriptors()).as("no descriptor is left behind").isLessThan(descriptors + 5);
        preload.rules();
        double over = stage.now();
        stage.called("m1", 1, over + 1000);
        assertThat(stage.node.lines()).noneMatch(l -> l.contains("held to be sick"));
    }

    @ParameterizedTest
    @ValueSource(ints = {Preload.ECONNABORTED, Preload.ENFILE, Preload.EMFILE, Preload.ENOBUFS})
    void anAcceptThatFailsForAMomentKeepsNobodyOut(int error) throws Exception {
        preload.rules(rule("accept", 0, 3, error, ""));
        double from = stage.now();
        allDeliveredOnce(dozen("unsafe"), from + 2000);
    }

    /** The listener needs a socket too, and a start that is refused is a crash. */
    @ParameterizedTest
    @CsvSource({"socket, 10, 23", "socket, 12, 23", "socket, 16, 105", "socket, 24, 24"})
    void aSocketThatCannotBeHadForAMomentEndsNoStart(String call, int times, int error) throws Exception {
        stage.node.kill();
        preload.rules(rule(call, 0, times, error, ""));
        stage.node.start();
        double ready = stage.now();
        stage.take("m1", "unsafe", TIME_MS);
        stage.called("m1", 1, ready + 3000);
    }

    @Test
    void interruptedWaitsAreNotNoticed() throws Exception {
        preload.rules(rule("epoll_wait", 0, 50, Preload.EINTR, ""));
        allDeliveredOnce(dozen("unsafe"), stage.now() + 2000);
    }

    @Test
    void shortReadsAndWritesAreGoneOnWith() throws Exception {
        preload.rules(
                rule("sock_read", 0, Preload.ALWAYS, Preload.SHORT, ""),
                rule("sock_write", 0, Preload.ALWAYS, Preload.SHORT, ""),
                rule("file_write", 0, Preload.ALWAYS, Preload.SHORT, "messages"));
        allDeliveredOnce(dozen("unsafe"), stage.now() + 4000);
        stage.until(stage.now() + 1500); // killed before it has read an answer, it could not know of the delivery
        preload.rules();
        stage.node.kill();
        stage.node.start();
        assertThat(stage.node.line("ready at")).contains("0 messages and 0 notices");
    }

    /** Behind a request's last byte a broken connection shows as any of these, and the request may have run. */
    @ParameterizedTest
    @ValueSource(ints = {Preload.ETIMEDOUT, Preload.EHOSTUNREACH})
    void aBrokenConnectionMayHaveRunWhateverItShowsAs(int error) throws Exception {
        preload.rules(rule("sock_read", 0, 2, error, partnerPort()));
        double from = stage.now();
        stage.take("u", "unsafe", TIME_MS);
        assertThat(stage.notice("u", from + 2000).outcome()).isEqualTo("given_up");
        assertThat(stage.callsOf("u")).hasSize(1);
        stage.take("s", "safe", TIME_MS);
        stage.called("s", 2, from + 4000);
    }

    /** A write that fails before anything of the request has left: it has not run, and goes again. */
    @ParameterizedTest
    @ValueSource(ints = {Preload.EHOSTUNREACH, Preload.ETIMEDOUT, Preload.ENOBUFS})
    void aWriteThatFailsHasNotRun(int error) throws Exception {
        preload.rules(rule("sock_write", 0, 1, error, partnerPort()));
        allDeliveredOnce(dozen("unsafe"), stage.now() + 3000);
    }

    /** The folder takes nothing for a while: what is refused has not been taken, what was taken goes on. */
    @ParameterizedTest
    @ValueSource(ints = {Preload.ENOSPC, Preload.EIO})
    void aFolderThatTakesNothingForAWhileLosesNothing(int error) throws Exception {
        stage.behaviour = r -> r.answer(503);
        double taken = stage.take("before", "unsafe", 9000);
        stage.called("before", 1, taken + 2000);
        preload.rules(rule("file_write", 0, Preload.ALWAYS, error, "messages"));
        assertThat(stage.handIn("meanwhile", "unsafe", TIME_MS)).isEqualTo(503);
        stage.until(stage.now() + 500);
        stage.behaviour = r -> r.answer(200);
        preload.rules();
        stage.called("before", 2, taken + 8000);
        stage.take("after", "unsafe", TIME_MS);
        stage.called("after", 1, stage.now() + 3000);
        assertThat(stage.callsOf("meanwhile")).isEmpty();
        assertThat(stage.notices).isEmpty();
    }
}
