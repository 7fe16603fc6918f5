package firstair.fleet.ledger;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import firstair.fleet.fault.Fault;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

class LedgerStateMachinesTest {
    private static final double RETENTION_MS = 10_000;
    private AgreedContracts contracts = new AgreedContracts(RETENTION_MS);
    private LedgerStateMachines agreements =
            new LedgerStateMachines(new TreeMap<>(Map.of(LedgerStateMachines.CONTRACTS, contracts)));
    private long index;

    private Outcome apply(String by, long incarnation, long number, byte[] operation) {
        return Outcome.decode(agreements.apply(++index, new Proposal(by, incarnation, number, operation).encode()));
    }

    private static byte[] put(long follows, long atMs) {
        return AgreedContracts.put(follows, atMs, List.of("{\"tenant\":\"t" + follows + "\"}"));
    }

    private AgreedContracts.Put put(Outcome outcome) {
        return AgreedContracts.result(((Outcome.Committed) outcome).result());
    }

    @Test
    void aDuplicateProposalIsAppliedOnceAndReturnsTheFirstResult() {
        Outcome first = apply("a", 1, 1, put(0, 5));
        long version = agreements.version();
        Outcome again = apply("a", 1, 1, put(0, 5));
        assertThat(put(again)).isEqualTo(put(first)).isEqualTo(new AgreedContracts.Put(true, 1));
        assertThat(contracts.versions()).hasSize(1);
        assertThat(agreements.version()).isEqualTo(version);
    }

    @Test
    void aDuplicateProposalInALargeFleetIsAppliedOnce() {
        Outcome first = apply("r0", 1, 1, put(0, 5));
        for (int n = 1; n < 1500; n++) {
            apply("r" + n, 1, 1, put(n, 5));
        }
        long version = agreements.version();
        assertThat(put(apply("r0", 1, 1, put(0, 5)))).isEqualTo(put(first));
        assertThat(agreements.version()).isEqualTo(version);
    }

    @Test
    void aProposalOlderThanTheKeptResultsIsRejectedNotAppliedAgain() {
        for (int n = 1; n <= LedgerStateMachines.MAX_RESULTS_PER_MEMBER + 1; n++) {
            apply("a", 1, n, put(n - 1, n));
        }
        assertThat(apply("a", 1, 1, put(LedgerStateMachines.MAX_RESULTS_PER_MEMBER + 1, 99)))
                .isInstanceOf(Outcome.Refused.class);
        apply("a", 2, 1, put(LedgerStateMachines.MAX_RESULTS_PER_MEMBER + 1, 99)); // the next process of the member
        assertThat(apply("a", 1, 99, put(LedgerStateMachines.MAX_RESULTS_PER_MEMBER + 2, 99)))
                .isInstanceOf(Outcome.Refused.class);
        assertThat(contracts.versions().get(contracts.versions().size() - 1).number())
                .isEqualTo(LedgerStateMachines.MAX_RESULTS_PER_MEMBER + 2);
    }

    @Test
    void ofTwoUpdatesToTheSameVersionOneIsRejected() {
        apply("a", 1, 1, put(0, 5));
        assertThat(put(apply("b", 1, 1, put(1, 6)))).isEqualTo(new AgreedContracts.Put(true, 2));
        assertThat(put(apply("a", 1, 2, put(1, 7)))).isEqualTo(new AgreedContracts.Put(false, 2));
    }

    @Test
    void supersededVersionsAreRetainedAndTimestampsAreMonotonic() {
        for (int n = 0; n < 20; n++) {
            apply("a", 1, n + 1, put(n, 100_000 + n));
        }
        assertThat(contracts.versions()).hasSize(20);
        apply("a", 1, 21, put(20, 3)); // proposed by a clock that was set back
        assertThat(contracts.versions().get(20).atMs()).isEqualTo(100_019);
        apply("a", 1, 22, put(21, 200_000));
        assertThat(contracts.versions()).hasSize(AgreedContracts.MIN_VERSIONS);
        for (int n = 22; n < 200; n++) {
            apply("a", 1, n + 1, put(n, 200_000));
        }
        assertThat(contracts.versions()).hasSize(AgreedContracts.MAX_VERSIONS);
    }

    @Test
    void aSnapshotRestoresStateAndKeptResults() {
        apply("a", 1, 1, put(0, 5));
        apply("b", 3, 1, put(1, 6));
        byte[] snapshot = agreements.snapshot();
        contracts = new AgreedContracts(RETENTION_MS);
        agreements = new LedgerStateMachines(new TreeMap<>(Map.of(LedgerStateMachines.CONTRACTS, contracts)));
        agreements.restore(snapshot);
        assertThat(agreements.snapshot()).isEqualTo(snapshot);
        assertThat(agreements.version()).isEqualTo(2);
        assertThat(put(apply("b", 3, 1, put(1, 6)))).isEqualTo(new AgreedContracts.Put(true, 2));
        assertThat(AgreedContracts.read(
                        LedgerStateMachines.parts(agreements.state()).get(LedgerStateMachines.CONTRACTS)))
                .isEqualTo(contracts.versions())
                .hasSize(2);
    }

    @Test
    void aRejectedOperationChangesNothingAndAnUnknownKindThrows() {
        byte[] before = contracts.snapshot();
        Outcome refused = apply("a", 1, 1, new byte[] {LedgerStateMachines.CONTRACTS, 1});
        assertThat(((Outcome.Refused) refused).code()).isEqualTo("F102");
        assertThat(contracts.snapshot()).isEqualTo(before);
        assertThatThrownBy(() -> apply("a", 1, 2, new byte[] {99})).isInstanceOf(Fault.UnknownEntry.class);
        assertThatThrownBy(() -> agreements.restore(new byte[] {1, 2})).isInstanceOf(Fault.Unreadable.class);
    }

    @Test
    void keptResultsAreBoundedByTheNumberOfMembers() {
        for (int n = 0; n < 2000; n++) {
            apply("m" + n, 1, 1, put(0, 5));
        }
        int many = agreements.snapshot().length;
        for (int n = 2000; n < 4000; n++) {
            apply("m" + n, 1, 1, put(0, 5));
        }
        assertThat(agreements.snapshot().length).isLessThan(many + 2000);
    }
}
