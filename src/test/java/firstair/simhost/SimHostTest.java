package firstair.simhost;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** The simulator's protocol: framing, lists in event order, instances, and errors for malformed input. */
class SimHostTest {
    private static final String SETTINGS = "rngSeed=5\taz=0\tclasses.count=1\tclasses.0.aim=2000.0"
            + "\tclasses.0.deadline=10000.0\tclasses.0.semantics=retryable\tfamilyInfo.maxCalls=4\tunknown.key=1";
    private static final String LIST = "snapshot_rows\tsetId=0\telements=1\n"
            + "entry\theft=1\tstatus=active\tfamilyType=0\tendpoint=10.0.0.1:8000\tdestination=7\tlocality=0\n";
    private static final String START = "batch\tmoment=1.0\n" + LIST + "start\twho=3\t" + SETTINGS + "\n"
            + "membership\twho=3\thow=disk\trev=1\tsetId=0\ncommit\n";
    private static final String REQUEST = "request\twho=3\tticket=11\ttype=0\tdropDead=9000.0\ttoDest=7\tbitmap=0\n";

    private static String host(String input) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new SimHost(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), out).run();
        return out.toString(StandardCharsets.UTF_8);
    }

    private static String batch(double at, String events) {
        return "batch\tmoment=" + at + "\n" + events + "commit\n";
    }

    @Test
    void anEmptyBatchIsAcknowledged() throws IOException {
        assertThat(host(batch(1, ""))).isEqualTo("ack\n");
        assertThat(host("")).isEmpty();
    }

    @Test
    void aMessageIsSentAndEndsWithItsOutcome() throws IOException {
        String output = host(START
                + batch(5, REQUEST)
                + batch(
                        30,
                        "settled\twho=3\tticket=11\tn=0\tendpoint=10.0.0.1:8000\tstatus=0\tcostTime=25.0"
                                + "\tcomplete=1\tserverStats=x0:0.5,x1:4\n"));
        assertThat(output).contains("call_out\twho=3\tticket=11\tendpoint=10.0.0.1:8000\tgiveUpAfter=");
        assertThat(output.split("ack\n", -1)).hasSize(4);
    }

    @Test
    void aListIdIsResolvedInEventOrder() throws IOException {
        String other = LIST.replace("10.0.0.1", "10.0.0.2");
        String output = host(batch(
                        1,
                        "start\twho=3\t" + SETTINGS + "\n" + LIST + "membership\twho=3\thow=disk\trev=1\tsetId=0\n"
                                + other)
                + batch(5, REQUEST));
        assertThat(output).contains("endpoint=10.0.0.1:8000").doesNotContain("10.0.0.2");
    }

    @Test
    void anInstanceRestartedWithinABatchHasNoMessages() throws IOException {
        String output = host(START + batch(5, REQUEST + "exit\twho=3\nstart\twho=3\t" + SETTINGS + "\n"));
        assertThat(output).doesNotContain("call_out");
    }

    @Test
    void instancesAreIndependent() throws IOException {
        String output = host(
                START + batch(2, "start\twho=4\t" + SETTINGS + "\n") + batch(5, REQUEST.replace("who=3", "who=4")));
        assertThat(output).as("instance 4 has no list").doesNotContain("call_out");
    }

    @Test
    void anEventForAnEndedMessageIsIgnored() throws IOException {
        String withdrawn = "timed_out_client\twho=3\tticket=11\n";
        assertThat(host(START + batch(5, REQUEST) + batch(6, withdrawn) + batch(7, withdrawn)))
                .endsWith("ack\nack\n");
    }

    @Test
    void hundredsOfInstancesInOneBatchActIndependently() throws IOException {
        StringBuilder start = new StringBuilder(LIST);
        StringBuilder requests = new StringBuilder();
        for (int relay = 0; relay < 300; relay++) {
            start.append("start\twho=")
                    .append(relay)
                    .append('\t')
                    .append(SETTINGS)
                    .append("\nmembership\twho=")
                    .append(relay)
                    .append("\thow=disk\trev=1\tsetId=0\n");
            requests.append(REQUEST.replace("who=3", "who=" + relay).replace("ticket=11", "ticket=" + (1000 + relay)));
        }
        String output = host(batch(1, start.toString()) + batch(5, requests.toString()));
        assertThat(output.lines()
                        .filter(line -> line.startsWith("call_out"))
                        .distinct()
                        .count())
                .isEqualTo(300);
        assertThat(output).contains("call_out\twho=299\tticket=1299\t");
    }

    @Test
    void closingIdleConnectionsIsReported() throws IOException {
        String settled =
                "settled\twho=3\tticket=11\tn=0\tendpoint=10.0.0.1:8000\tstatus=%d\tcostTime=5.0\tcomplete=%d\n";
        String start = START.replace("rngSeed=5", "rngSeed=5\tgroupSize=200\tlimits.connIdle=10000.0");
        String output = host(start
                + batch(5, REQUEST)
                + batch(30, String.format(settled, 14, 0))
                + batch(400, "")
                + batch(600, "ring\twho=3\tmark=0\n")
                + batch(700, String.format(settled.replace("n=0", "n=1"), 0, 1)));
        assertThat(output).contains("close_idle\twho=3\tendpoint=10.0.0.1:8000");
    }

    @Test
    void malformedInputIsRejectedWithLineAndField() {
        assertRejected(batch(1, "hello\twho=3\n"), "line 2", "unknown message hello");
        assertRejected("nonsense\n", "line 1", "batch expected");
        assertRejected(batch(1, "ring\tmark=1\n"), "line 2", "who", "missing");
        assertRejected(batch(1, "ring\twho=9\tmark=1\n"), "line 2", "who", "not started");
        assertRejected(
                START + batch(5, REQUEST.replace("dropDead=9000.0", "dropDead=soon")), "dropDead", "not a number");
        assertRejected(START + batch(5, REQUEST.replace("dropDead=9000.0", "dropDead=NaN")), "dropDead", "finite");
        assertRejected(START + batch(5, REQUEST.replace("\tdropDead=9000.0", "")), "dropDead", "missing");
        assertRejected(START + batch(5, REQUEST.replace("type=0", "type=4")), "type", "no such class");
        assertRejected(START + batch(5, "timed_out_client\twho=3\tticket=99\n"), "ticket", "unknown: 99");
        assertRejected(START + batch(5, "membership\twho=3\thow=diff\trev=2\tsetId=8\n"), "setId", "unknown: 8");
        assertRejected(START + batch(5, "ring\twho=3\tmark\n"), "not name=value");
        assertRejected("batch\tmoment=1.0\n", "the input ends inside a batch");
    }

    private static void assertRejected(String input, String... parts) {
        assertThatThrownBy(() -> host(input)).isInstanceOf(WireException.class).hasMessageContainingAll(parts);
    }
}
