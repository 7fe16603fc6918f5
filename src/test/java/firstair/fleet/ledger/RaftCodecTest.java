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

class RaftCodecTest {
    private static final Voter VOTER = new Voter("a");

    private static List<RaftMessage> messages() {
        var m = RaftCodec.MODEL;
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
                .setGroupMembersView(RaftCodec.members(0, List.of("a", "b"), List.of("a")))
                .build();
        return List.of(
                m.createAppendEntriesRequestBuilder()
                        .setGroupId("g")
                        .setSender(VOTER)
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
                        .setSender(VOTER)
                        .setTerm(3)
                        .setLastLogIndex(5)
                        .setQuerySequenceNumber(8)
                        .setFlowControlSequenceNumber(9)
                        .build(),
                m.createAppendEntriesFailureResponseBuilder()
                        .setGroupId("g")
                        .setSender(VOTER)
                        .setTerm(3)
                        .setExpectedNextIndex(5)
                        .setQuerySequenceNumber(8)
                        .setFlowControlSequenceNumber(9)
                        .build(),
                m.createInstallSnapshotRequestBuilder()
                        .setGroupId("g")
                        .setSender(VOTER)
                        .setTerm(3)
                        .setSenderLeader(true)
                        .setSnapshotTerm(3)
                        .setSnapshotIndex(9)
                        .setTotalSnapshotChunkCount(2)
                        .setSnapshotChunk(chunk)
                        .setSnapshottedMembers(Set.of(VOTER))
                        .setQuerySequenceNumber(8)
                        .setFlowControlSequenceNumber(9)
                        .setGroupMembersView(RaftCodec.members(0, List.of("a"), List.of("a")))
                        .build(),
                m.createInstallSnapshotRequestBuilder()
                        .setGroupId("g")
                        .setSender(VOTER)
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
                        .setSender(VOTER)
                        .setTerm(3)
                        .setSnapshotIndex(9)
                        .setRequestedSnapshotChunkIndex(1)
                        .setQuerySequenceNumber(8)
                        .setFlowControlSequenceNumber(9)
                        .build(),
                m.createPreVoteRequestBuilder()
                        .setGroupId("g")
                        .setSender(VOTER)
                        .setTerm(3)
                        .setLastLogTerm(2)
                        .setLastLogIndex(5)
                        .build(),
                m.createPreVoteResponseBuilder()
                        .setGroupId("g")
                        .setSender(VOTER)
                        .setTerm(3)
                        .setGranted(true)
                        .build(),
                m.createVoteRequestBuilder()
                        .setGroupId("g")
                        .setSender(VOTER)
                        .setTerm(3)
                        .setLastLogTerm(2)
                        .setLastLogIndex(5)
                        .setSticky(true)
                        .build(),
                m.createVoteResponseBuilder()
                        .setGroupId("g")
                        .setSender(VOTER)
                        .setTerm(3)
                        .setGranted(false)
                        .build(),
                m.createTriggerLeaderElectionRequestBuilder()
                        .setGroupId("g")
                        .setSender(VOTER)
                        .setTerm(3)
                        .setLastLogTerm(2)
                        .setLastLogIndex(5)
                        .build());
    }

    @Test
    void everyMessageSurvivesARoundTrip() {
        for (RaftMessage message : messages()) {
            RaftMessage decoded = RaftCodec.decode(RaftCodec.encode(message));
            // Operations are arrays, which print as addresses: they are compared by their bytes, the rest by its text.
            assertThat(text(decoded)).isEqualTo(text(message));
            assertThat(RaftCodec.encode(decoded)).isEqualTo(RaftCodec.encode(message));
        }
    }

    private static String text(RaftMessage message) {
        return message.toString().replaceAll("\\[B@[0-9a-f]+", "bytes");
    }

    @Test
    void truncatedOrCorruptedBytesYieldAMessageOrAFault() {
        Random random = new Random(5);
        for (RaftMessage message : messages()) {
            byte[] encoded = RaftCodec.encode(message);
            for (int i = 0; i < 2000; i++) {
                byte[] corrupted = java.util.Arrays.copyOf(encoded, i < encoded.length ? i : encoded.length);
                if (i >= encoded.length) {
                    corrupted[random.nextInt(corrupted.length)] = (byte) random.nextInt();
                }
                decode(corrupted);
            }
        }
    }

    @Property
    void arbitraryBytesYieldAMessageOrAFault(@ForAll byte[] bytes) {
        decode(bytes);
    }

    private static void decode(byte[] bytes) {
        try {
            assertThat(RaftCodec.decode(bytes)).isNotNull();
        } catch (Fault.Unreadable e) {
            assertThat(e.code()).isEqualTo("F102");
        }
    }
}
