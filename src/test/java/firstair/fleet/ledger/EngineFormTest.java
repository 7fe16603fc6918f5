package firstair.fleet.ledger;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.fleet.fault.Fault;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.message.RaftMessage;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class EngineFormTest {
    private static final Voter A = new Voter("a");

    private static List<RaftMessage> all() {
        var m = EngineForm.MODEL;
        LogEntry entry = m.createLogEntryBuilder()
                .setIndex(4)
                .setTerm(2)
                .setOperation(new byte[] {1, 2})
                .build();
        LogEntry next = m.createLogEntryBuilder()
                .setIndex(5)
                .setTerm(3)
                .setOperation(new byte[0])
                .build();
        SnapshotChunk chunk = m.createSnapshotChunkBuilder()
                .setIndex(9)
                .setTerm(3)
                .setSnapshotChunkIndex(1)
                .setSnapshotChunkCount(2)
                .setOperation(new byte[] {7})
                .setGroupMembersView(EngineForm.members(0, List.of("a", "b"), List.of("a")))
                .build();
        return List.of(
                m.createAppendEntriesRequestBuilder()
                        .setGroupId("g")
                        .setSender(A)
                        .setTerm(3)
                        .setPreviousLogTerm(1)
                        .setPreviousLogIndex(3)
                        .setCommitIndex(2)
                        .setLogEntries(List.of(entry, next))
                        .setQuerySequenceNumber(8)
                        .setFlowControlSequenceNumber(9)
                        .build(),
                m.createAppendEntriesSuccessResponseBuilder()
                        .setGroupId("g")
                        .setSender(A)
                        .setTerm(3)
                        .setLastLogIndex(5)
                        .setQuerySequenceNumber(8)
                        .setFlowControlSequenceNumber(9)
                        .build(),
                m.createAppendEntriesFailureResponseBuilder()
                        .setGroupId("g")
                        .setSender(A)
                        .setTerm(3)
                        .setExpectedNextIndex(5)
                        .setQuerySequenceNumber(8)
                        .setFlowControlSequenceNumber(9)
                        .build(),
                m.createInstallSnapshotRequestBuilder()
                        .setGroupId("g")
                        .setSender(A)
                        .setTerm(3)
                        .setSenderLeader(true)
                        .setSnapshotTerm(3)
                        .setSnapshotIndex(9)
                        .setTotalSnapshotChunkCount(2)
                        .setSnapshotChunk(chunk)
                        .setSnapshottedMembers(Set.of(A))
                        .setQuerySequenceNumber(8)
                        .setFlowControlSequenceNumber(9)
                        .setGroupMembersView(EngineForm.members(0, List.of("a"), List.of("a")))
                        .build(),
                m.createInstallSnapshotRequestBuilder()
                        .setGroupId("g")
                        .setSender(A)
                        .setTerm(3)
                        .setSenderLeader(false)
                        .setSnapshotTerm(3)
                        .setSnapshotIndex(9)
                        .setTotalSnapshotChunkCount(2)
                        .setSnapshottedMembers(Set.of())
                        .setQuerySequenceNumber(8)
                        .setFlowControlSequenceNumber(9)
                        .build(),
                m.createInstallSnapshotResponseBuilder()
                        .setGroupId("g")
                        .setSender(A)
                        .setTerm(3)
                        .setSnapshotIndex(9)
                        .setRequestedSnapshotChunkIndex(1)
                        .setQuerySequenceNumber(8)
                        .setFlowControlSequenceNumber(9)
                        .build(),
                m.createPreVoteRequestBuilder()
                        .setGroupId("g")
                        .setSender(A)
                        .setTerm(3)
                        .setLastLogTerm(2)
                        .setLastLogIndex(5)
                        .build(),
                m.createPreVoteResponseBuilder()
                        .setGroupId("g")
                        .setSender(A)
                        .setTerm(3)
                        .setGranted(true)
                        .build(),
                m.createVoteRequestBuilder()
                        .setGroupId("g")
                        .setSender(A)
                        .setTerm(3)
                        .setLastLogTerm(2)
                        .setLastLogIndex(5)
                        .setSticky(true)
                        .build(),
                m.createVoteResponseBuilder()
                        .setGroupId("g")
                        .setSender(A)
                        .setTerm(3)
                        .setGranted(false)
                        .build(),
                m.createTriggerLeaderElectionRequestBuilder()
                        .setGroupId("g")
                        .setSender(A)
                        .setTerm(3)
                        .setLastLogTerm(2)
                        .setLastLogIndex(5)
                        .build());
    }

    @Test
    void everyMessageComesBackAsItWas() {
        for (RaftMessage message : all()) {
            RaftMessage back = EngineForm.message(EngineForm.bytes(message));
            // Operations are arrays, which print as addresses: told apart by their bytes, all else by its text.
            assertThat(text(back)).isEqualTo(text(message));
            assertThat(EngineForm.bytes(back)).isEqualTo(EngineForm.bytes(message));
        }
    }

    private static String text(RaftMessage message) {
        return message.toString().replaceAll("\\[B@[0-9a-f]+", "bytes");
    }

    @Test
    void cutOrBentBytesEndInAMessageOrAFault() {
        Random random = new Random(5);
        for (RaftMessage message : all()) {
            byte[] whole = EngineForm.bytes(message);
            for (int i = 0; i < 2000; i++) {
                byte[] bent = java.util.Arrays.copyOf(whole, i < whole.length ? i : whole.length);
                if (i >= whole.length) {
                    bent[random.nextInt(bent.length)] = (byte) random.nextInt();
                }
                read(bent);
            }
        }
    }

    @Property
    void anyBytesEndInAMessageOrAFault(@ForAll byte[] bytes) {
        read(bytes);
    }

    private static void read(byte[] bytes) {
        try {
            assertThat(EngineForm.message(bytes)).isNotNull();
        } catch (Fault.Unreadable e) {
            assertThat(e.code()).isEqualTo("F102");
        }
    }
}
