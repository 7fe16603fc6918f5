package firstair.fleet.ledger;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LedgerTest {

    /** A minute of random faults at the same time, then half a minute without any. */
    private static VoterCluster runWithFaults(long seed, int count) {
        return runWithFaults(new VoterCluster(seed, count), seed, count);
    }

    private static VoterCluster runWithFaults(VoterCluster fleet, long seed, int count) {
        Random random = new Random(seed + 1);
        fleet.lossRate = random.nextDouble() * 0.2;
        fleet.duplicationRate = random.nextDouble() * 0.2;
        fleet.start();
        fleet.run(6000);
        for (int step = 0; step < 120; step++) {
            String voter = fleet.voters.get(random.nextInt(count));
            switch (random.nextInt(9)) {
                case 0 -> {
                    if (fleet.running.containsKey(voter)) {
                        fleet.kill(voter);
                        fleet.later(random.nextInt(8000), () -> fleet.start(voter));
                    }
                }
                case 1 -> fleet.cutOff(voter, random.nextBoolean(), random.nextBoolean());
                case 2, 3 -> fleet.blockedLinks.clear();
                case 4 -> {
                    if (fleet.running.containsKey(voter)) {
                        fleet.pause(voter, random.nextInt(6000));
                    }
                }
                case 5 -> {
                    if (fleet.running.containsKey(voter)) {
                        fleet.running.get(voter).ledger.transferLeadership(fleet.now);
                    }
                }
                default -> {
                    for (String m : fleet.members) {
                        if (fleet.running.containsKey(m)) {
                            fleet.propose(m);
                        }
                    }
                }
            }
            fleet.run(random.nextInt(900));
        }
        fleet.blockedLinks.clear();
        fleet.lossRate = 0;
        fleet.run(30_000);
        return fleet;
    }

    @ParameterizedTest
    @CsvSource({"1,3", "2,3", "3,3", "4,3", "5,3", "6,3", "7,5", "8,5", "9,5", "10,5", "11,5", "12,5"})
    void underRandomFaultsThereIsOneHistoryAndNoAcknowledgedOperationIsLost(long seed, int count) {
        VoterCluster fleet = runWithFaults(seed, count); // fails at the first violated invariant
        String last = fleet.propose("x");
        fleet.run(10_000);
        assertThat(fleet.committed)
                .as("seed %d", seed)
                .containsAll(fleet.acknowledged.keySet())
                .contains(last);
        assertThat(fleet.acknowledged.size()).as("seed %d acknowledged", seed).isGreaterThan(20);
        assertThat(fleet.linearizableReads)
                .as("seed %d linearizable reads", seed)
                .isGreaterThan(20);
        for (VoterCluster.Process p : fleet.running.values()) {
            long version = p.ledger == null ? p.follower.version() : p.ledger.version();
            assertThat(version)
                    .as("seed %d at %s", seed, p.setup.self())
                    .isEqualTo(fleet.running.get("x").follower.version());
        }
        assertThat(fleet.reports).as("seed %d", seed).isEmpty();
    }

    @Test
    void aStoreThatDoesNotForceIsDetectedByTheSameInvariants() {
        int detected = 0;
        for (long seed = 100; seed < 110; seed++) {
            VoterCluster fleet = new VoterCluster(seed, 3);
            fleet.keeperWrapper = kept -> new LedgerStore() {
                @Override
                public void append(byte[] change) throws IOException {
                    kept.append(change);
                }

                @Override
                public void force() {}
            };
            try {
                runWithFaults(fleet, seed, 3);
                detected += fleet.committed.containsAll(fleet.acknowledged.keySet()) ? 0 : 1;
            } catch (AssertionError e) {
                detected++;
            }
        }
        assertThat(detected).isGreaterThan(0);
    }

    @Test
    void theSameSeedGivesTheSameHistory() {
        VoterCluster one = runWithFaults(33, 3);
        VoterCluster other = runWithFaults(33, 3);
        assertThat(other.committed).isEqualTo(one.committed);
        assertThat(other.acknowledged).isEqualTo(one.acknowledged);
        assertThat(other.sent).isEqualTo(one.sent);
    }

    @Test
    void theEngineStartsNoThread() {
        Set<Thread> before = Thread.getAllStackTraces().keySet();
        runWithFaults(34, 3);
        Set<Thread> after = Thread.getAllStackTraces().keySet();
        after.removeAll(before);
        ThreadGroup system = Thread.currentThread().getThreadGroup().getParent(); // the JVM's own threads
        assertThat(after).allMatch(t -> system != null && system.equals(t.getThreadGroup()));
    }

    @Test
    void theMinorityAnswersNotNowAndTheMajorityContinues() {
        VoterCluster fleet = new VoterCluster(40, 3);
        fleet.start();
        fleet.run(6000);
        String isolated = fleet.leader();
        fleet.cutOff(isolated, true, true);
        String lost = fleet.propose(isolated);
        String other = fleet.propose("x");
        fleet.run(9000);
        assertThat(fleet.refused).containsExactly(lost);
        assertThat(fleet.acknowledged).containsKey(other);
        assertThat(fleet.running.get(isolated).ledger.isLeader()).isFalse();
        fleet.blockedLinks.clear();
        fleet.run(5000);
        assertThat(fleet.running.get(isolated).ledger.version())
                .isEqualTo(fleet.running.get(fleet.leader()).ledger.version());
    }

    @ParameterizedTest
    @CsvSource({"1", "2", "3", "4", "5", "6", "7", "8"})
    void aProposalIsAppliedOnceThoughTheLeaderIsKilledDuringIt(long seed) {
        VoterCluster fleet = new VoterCluster(seed, 3);
        fleet.start();
        fleet.run(6000);
        String id = fleet.propose("y");
        fleet.run(fleet.random.nextInt(60));
        String leader = fleet.leader();
        fleet.kill(leader);
        fleet.run(8000);
        assertThat(fleet.committed.stream().filter(id::equals).count())
                .as("seed %d", seed)
                .isEqualTo(1);
        assertThat(fleet.acknowledged).as("seed %d", seed).containsKey(id);
        fleet.start(leader);
        fleet.run(6000);
        assertThat(fleet.running.get(leader).ledger.version())
                .as("seed %d", seed)
                .isEqualTo(fleet.running.get(fleet.leader()).ledger.version());
    }

    @Test
    void leavingTransfersLeadershipFasterThanATimeoutWould() {
        VoterCluster fleet = new VoterCluster(41, 3);
        fleet.start();
        fleet.run(6000);
        String leader = fleet.leader();
        fleet.running.get(leader).ledger.transferLeadership(fleet.now);
        fleet.run(1000);
        assertThat(fleet.leader()).isNotNull().isNotEqualTo(leader);
    }

    @Test
    void aVoterFarBehindReceivesASnapshotInChunks() {
        VoterCluster fleet = new VoterCluster(42, 3);
        fleet.padding = "-".repeat(40); // so that the snapshot has more than one chunk
        fleet.start();
        fleet.run(6000);
        fleet.kill("c");
        for (int i = 0; i < 1500; i++) {
            fleet.propose("x");
            fleet.run(150);
        }
        fleet.start("c");
        fleet.run(8000);
        assertThat(fleet.running.get("c").ledger.version())
                .isGreaterThan(1400)
                .isEqualTo(fleet.running.get("a").ledger.version());
    }
}
