package firstair.fleet.budget;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.fleet.Setup;
import firstair.fleet.talk.Note;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

class BudgetsTest {
    private static final int SEEDS = 200;
    private static final double QUIET_MS = 1000;
    private static final String D7 = "d:7";

    /** Rule sets with one rule broken each. */
    enum BrokenRule {
        VOTER_FORGETS_ITS_START_SILENCE(s -> new LeaseRules(s) {
            @Override
            double startupSilenceMs() {
                return 0;
            }
        }),
        HOLDER_COUNTS_FROM_THE_ANSWER(s -> new LeaseRules(s) {
            @Override
            double termStart(double sentAt, double receivedAt) {
                return receivedAt;
            }
        }),
        RECLAIM_AT_A_MINORITY(s -> new LeaseRules(s) {
            @Override
            int grantsNeeded(boolean own) {
                return own ? super.grantsNeeded(true) : 1;
            }
        }),
        LATE_STANDING_BACK_ENDS_A_NEWER_PROMISE(s -> new LeaseRules(s) {
            @Override
            boolean endsGrant(long releaseNonce, long newestRequest) {
                return true;
            }
        }),
        LENDER_TAKES_BACK_WITHOUT_DRIFT(s -> new LeaseRules(s) {
            @Override
            double lentMs(double termMs) {
                return termMs;
            }
        }),
        BORROWER_TAKES_A_DOUBLED_LOAN(s -> new LeaseRules(s) {
            @Override
            boolean closesRequestOnLoan() {
                return false;
            }
        });

        private final Function<Setup, LeaseRules> rules;

        BrokenRule(Function<Setup, LeaseRules> rules) {
            this.rules = rules;
        }
    }

    /** All faults at changing rates, or late releases alone at their worst. Returns the violation, or null. */
    private static String runWithFaults(long seed, Function<Setup, LeaseRules> rules) {
        return seed % 4 == 3 ? reclaimWithLateReleases(seed, rules) : allFaults(seed, rules);
    }

    /** All members reclaim the lease of a stopped one, by liveness hints that change, while releases arrive late. */
    private static String reclaimWithLateReleases(long seed, Function<Setup, LeaseRules> rules) {
        FleetSimulation fleet = new FleetSimulation(5, 1, QUIET_MS, 0.1, seed, rules); // one late note suffices
        fleet.needs.put(D7, new int[] {900_000, 900_000, 900_000, 900_000, 900_000});
        fleet.kill(fleet.process("r4"));
        fleet.delayedReleases = 0.9;
        fleet.maxDelayMs = 5 * QUIET_MS;
        fleet.reportEvery(
                100,
                p -> fleet.random.nextInt(10) == 0
                        ? Set.copyOf(fleet.setup.members())
                        : Set.of("r0", "r1", "r2", "r3"));
        fleet.run(25 * QUIET_MS);
        return fleet.violation;
    }

    private static String allFaults(long seed, Function<Setup, LeaseRules> rules) {
        FleetSimulation fleet = new FleetSimulation(5, 3, QUIET_MS, 0.1, seed, rules);
        fleet.needs.put(D7, new int[5]);
        fleet.needs.put("tenant:acme", new int[5]);
        fleet.reportEvery(100, p -> randomMembers(fleet, fleet.random.nextDouble())); // often wrong
        changeFaults(fleet);
        fleet.run(25 * QUIET_MS);
        return fleet.violation;
    }

    private static Set<String> randomMembers(FleetSimulation fleet, double share) {
        Set<String> some = new LinkedHashSet<>(fleet.setup.members());
        some.removeIf(m -> fleet.random.nextDouble() >= share);
        return some;
    }

    private static void changeFaults(FleetSimulation fleet) {
        Random r = fleet.random;
        // Periods without message faults are needed too: otherwise hardly any lease is granted.
        double severity = r.nextDouble() < 0.4 ? 0 : r.nextDouble();
        fleet.lost = 0.3 * severity;
        fleet.duplicated = 0.3 * severity;
        fleet.delayed = 0.2 * severity;
        fleet.delayedReleases = 0.7 * severity;
        fleet.maxDelayMs = r.nextBoolean() ? QUIET_MS : 5 * QUIET_MS;
        fleet.usualDelayMs = r.nextBoolean() ? 5 : 50;
        fleet.needs.values().forEach(n -> n[r.nextInt(5)] = r.nextInt(2) * r.nextInt(Setup.WHOLE));
        List<String> names = fleet.setup.members();
        String any = names.get(r.nextInt(names.size()));
        List<FleetSimulation.Process> running =
                fleet.running.stream().filter(p -> p.name.equals(any)).toList();
        switch (r.nextInt(8)) {
            case 0 -> names.forEach(n -> toggle(fleet.blocked, any + ">" + n));
            case 1 -> names.forEach(n -> toggle(fleet.blocked, n + ">" + any));
            case 2 -> fleet.blocked.clear();
            case 3 -> running.forEach(fleet::kill);
            case 4 -> running.forEach(p -> p.pausedUntil = fleet.time + r.nextDouble() * 3 * QUIET_MS);
            case 5 ->
                running.forEach(p -> {
                    p.budgets.leave(p.clock());
                    fleet.at(fleet.time + QUIET_MS, () -> fleet.kill(p));
                });
            case 6 ->
                running.forEach(p -> {
                    if (running.size() > 1 && p == running.get(0)) {
                        p.budgets.stepDown(p.clock());
                    } else if (running.size() == 1 && !fleet.setup.voters().contains(any)) {
                        fleet.start(any); // two processes of one name, which is ruled out for a voter's name
                    }
                });
            default -> fleet.running.forEach(p -> p.setRate(1 + fleet.setup.drift() * (r.nextInt(3) - 1)));
        }
        for (String n : names) {
            if (fleet.running.stream().noneMatch(p -> p.name.equals(n)) && r.nextBoolean()) {
                fleet.start(n);
            }
        }
        fleet.at(fleet.time + r.nextDouble() * QUIET_MS, () -> changeFaults(fleet));
    }

    private static void toggle(Set<String> blocked, String link) {
        if (!blocked.remove(link)) {
            blocked.add(link);
        }
    }

    @Test
    void allocationsNeverExceedTheWholeUnderAnyFaults() {
        for (long seed = 0; seed < SEEDS; seed++) {
            assertThat(runWithFaults(seed, LeaseRules::new)).as("seed %d", seed).isNull();
        }
    }

    @ParameterizedTest
    @EnumSource
    void theCheckCatchesABrokenRule(BrokenRule brokenRule) {
        long seed = 0;
        while (seed < SEEDS && runWithFaults(seed, brokenRule.rules) == null) {
            seed++;
        }
        assertThat(seed).as("seeds run until it is caught").isLessThan(SEEDS);
    }

    @Test
    void theSameSeedGivesTheSameHistory() {
        List<Long> sent = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            FleetSimulation fleet = new FleetSimulation(5, 3, QUIET_MS, 0.1, 3, LeaseRules::new);
            fleet.needs.put(D7, new int[] {500_000, 0, 0, 0, 0});
            fleet.reportEvery(100, p -> randomMembers(fleet, fleet.random.nextDouble()));
            changeFaults(fleet);
            fleet.run(10 * QUIET_MS);
            sent.add(fleet.sent);
        }
        assertThat(sent.get(0)).isEqualTo(sent.get(1)).isGreaterThan(100);
    }

    private static FleetSimulation withoutFaults(int relays, int voters) {
        FleetSimulation fleet = new FleetSimulation(relays, voters, QUIET_MS, 0.01, 7, LeaseRules::new);
        fleet.running.forEach(p -> p.setRate(1 + 0.01 * (fleet.random.nextInt(3) - 1)));
        return fleet;
    }

    /** The first {@code hot} relays need {@code hotParts} each, the others {@code otherParts}. */
    private static int[] skewed(int relays, int hot, int hotParts, int otherParts) {
        return IntStream.range(0, relays)
                .map(i -> i < hot ? hotParts : otherParts)
                .toArray();
    }

    @ParameterizedTest
    @CsvSource({"5, 3, 1, 500000, 125000", "60, 5, 10, 50000, 5000", "60, 5, 1, 300000, 9000"})
    void skewedDemandIsServedAsByASingleRelay(int relays, int voters, int hot, int hotParts, int otherParts) {
        FleetSimulation fleet = withoutFaults(relays, voters);
        fleet.needs.put(D7, skewed(relays, hot, hotParts, otherParts));
        fleet.reportEvery(100, p -> Set.copyOf(fleet.setup.members()));
        fleet.run(4 * QUIET_MS); // one of them is the startup silence of the voters
        double least = 1;
        for (int i = 0; i < 100; i++) {
            fleet.run(QUIET_MS / 10);
            least = Math.min(least, fleet.served(D7));
        }
        assertThat(fleet.violation).isNull();
        assertThat(least)
                .as("at every check for ten terms: loans do not oscillate")
                .isGreaterThan(0.9);
    }

    @Test
    void allocationsFollowDemandWithin3Terms() {
        FleetSimulation fleet = withoutFaults(5, 3);
        fleet.needs.put(D7, new int[] {500_000, 100_000, 100_000, 100_000, 100_000});
        fleet.reportEvery(100, p -> Set.copyOf(fleet.setup.members()));
        fleet.run(4 * QUIET_MS);
        fleet.needs.put(D7, new int[] {100_000, 100_000, 100_000, 100_000, 500_000});
        fleet.run(3 * QUIET_MS);
        assertThat(fleet.served(D7)).isGreaterThan(0.9);
        assertThat(fleet.violation).isNull();
    }

    @Test
    void aMinorityThatIsCutOffFallsToItsGuaranteedPartsBeforeTheMajorityReclaimsTheRest() {
        FleetSimulation fleet = withoutFaults(5, 3);
        fleet.needs.put(D7, new int[] {400_000, 400_000, 400_000, 400_000, 400_000});
        Set<String> few = Set.of("r3", "r4");
        List<String> many = List.of("r0", "r1", "r2");
        boolean[] isCut = new boolean[1];
        fleet.reportEvery(
                50, p -> !isCut[0] ? Set.copyOf(fleet.setup.members()) : few.contains(p.name) ? few : Set.copyOf(many));
        fleet.run(4 * QUIET_MS);
        assertThat(fleet.running).allMatch(p -> p.parts(D7) == fleet.setup.equalParts());
        isCut[0] = true;
        few.forEach(f -> many.forEach(m -> fleet.blocked.addAll(List.of(f + ">" + m, m + ">" + f))));
        fleet.run(0.7 * QUIET_MS); // leases were last requested at most a fifth of a term before the cut
        assertThat(fleet.running).allMatch(p -> p.parts(D7) == fleet.setup.equalParts());
        fleet.run(4 * QUIET_MS);
        assertThat(few).allMatch(f -> fleet.process(f).parts(D7) == fleet.setup.guaranteedParts());
        assertThat(many.stream().mapToInt(m -> fleet.process(m).parts(D7)).sum())
                .isEqualTo(Setup.WHOLE - 2 * fleet.setup.guaranteedParts());
        assertThat(few)
                .allMatch(f -> fleet.process(f).reports.size() == 1
                        && fleet.process(f).reports.get(0).startsWith("F201"));
        fleet.blocked.clear();
        isCut[0] = false;
        fleet.run(3 * QUIET_MS);
        assertThat(fleet.running).allMatch(p -> p.parts(D7) == fleet.setup.equalParts());
        assertThat(few)
                .allMatch(f -> fleet.process(f).reports.size() == 2
                        && fleet.process(f).reports.get(1).contains("again"));
        assertThat(fleet.violation).isNull();
    }

    @Test
    void anIsolatedRelayKeepsItsGuaranteedParts() {
        FleetSimulation fleet = withoutFaults(5, 3);
        fleet.needs.put(D7, new int[] {900_000, 0, 0, 0, 900_000});
        fleet.reportEvery(50, p -> randomMembers(fleet, 0.5));
        fleet.run(3 * QUIET_MS);
        // Isolates every relay.
        fleet.setup.members().forEach(m -> fleet.setup.members().forEach(n -> fleet.blocked.add(m + ">" + n)));
        fleet.run(3 * QUIET_MS);
        assertThat(fleet.running).allMatch(p -> p.parts(D7) == fleet.setup.guaranteedParts());
    }

    @Test
    void allocationsExpireWhileAProcessIsPaused() {
        FleetSimulation fleet = withoutFaults(5, 3);
        fleet.needs.put(D7, new int[] {500_000, 0, 0, 0, 0});
        fleet.reportEvery(100, p -> Set.copyOf(fleet.setup.members()));
        fleet.run(3 * QUIET_MS);
        Allocation before =
                fleet.process("r0").budgets.allocation(fleet.process("r0").clock(), D7);
        assertThat(before.parts()).isGreaterThan(400_000);
        assertThat(before.until() - fleet.process("r0").clock()).isBetween(0.0, QUIET_MS);
        double later = fleet.process("r0").clock() + QUIET_MS;
        assertThat(fleet.process("r0").budgets.allocation(later, D7).parts()).isEqualTo(fleet.setup.guaranteedParts());
    }

    @Test
    void aProcessThatLeavesReleasesItsLeaseAtOnceAndItsSuccessorHoldsItWithoutWaiting() {
        FleetSimulation fleet = withoutFaults(5, 3);
        fleet.needs.put(D7, new int[5]);
        fleet.run(3 * QUIET_MS);
        FleetSimulation.Process old = fleet.process("r4");
        old.budgets.leave(old.clock());
        assertThat(old.parts(D7)).isEqualTo(fleet.setup.guaranteedParts());
        fleet.run(QUIET_MS / 10);
        fleet.kill(old);
        FleetSimulation.Process next = fleet.start("r4");
        fleet.run(QUIET_MS / 10);
        assertThat(next.parts(D7)).isEqualTo(fleet.setup.equalParts());
    }

    @Test
    void aProcessThatHasSteppedDownRequestsAndGrantsNothing() {
        FleetSimulation fleet = withoutFaults(3, 3);
        fleet.needs.put(D7, new int[3]);
        fleet.run(3 * QUIET_MS);
        FleetSimulation.Process old = fleet.process("r0");
        old.budgets.stepDown(old.clock());
        fleet.run(QUIET_MS);
        long dropped = old.budgets.dropped();
        old.budgets.onNote(old.clock(), "r1", 99, new Note.LeaseRequest(1, "r1"));
        assertThat(old.budgets.dropped()).isEqualTo(dropped + 1);
        assertThat(old.parts(D7)).isEqualTo(fleet.setup.guaranteedParts());
        assertThat(old.budgets.timer(old.clock())).isEqualTo(Double.POSITIVE_INFINITY);
    }

    @Test
    void unrequestedNotesAreDroppedWithoutEffectAndALateLoanIsReported() {
        FleetSimulation fleet = withoutFaults(5, 3);
        fleet.needs.put(D7, new int[5]);
        fleet.run(3 * QUIET_MS);
        FleetSimulation.Process p = fleet.process("r3");
        List<Note> invalid = new ArrayList<>(List.of(
                new Note.Loan(5, 5, D7, 90_000, 500),
                new Note.Loan(5, 5, D7, -1, Double.NaN),
                new Note.LoanRequest(1, "", 5),
                new Note.LoanRequest(1, D7, -5),
                new Note.RetryTransfer(5, "r:7", 5),
                new Note.LeaseAnswer(5, "r3", true),
                new Note.LeaseRequest(5, "r1"),
                new Note.LeaseRelease(5, "r3"),
                new Note.LoanReturn(5),
                new Note.Leaving(),
                new Note.LoanRequest(1, null, 5),
                new Note.LeaseRequest(1, null),
                new Note.LeaseRelease(1, null),
                new Note.Loan(5, 5, null, 5, 5),
                new Note.RetryTransfer(5, null, 5),
                new Note.LeaseAnswer(5, null, true)));
        invalid.forEach(n -> p.budgets.onNote(p.clock(), "r1", 50, n));
        p.budgets.onNote(p.clock(), "stranger", 50, new Note.LoanRequest(1, D7, 100));
        p.budgets.onNote(p.clock(), "r1", 49, new Note.LoanRequest(1, D7, 100)); // of an earlier process
        assertThat(p.budgets.dropped()).isEqualTo(invalid.size() + 2);
        assertThat(p.parts(D7)).isEqualTo(fleet.setup.equalParts());
        assertThat(p.reports).hasSize(1).allMatch(r -> r.startsWith("F202"));
    }

    @Test
    void retriesNeverExceedWhatFirstAttemptsEarnedAndMoveToWhereTheyAreNeeded() {
        for (long seed = 0; seed < SEEDS / 10; seed++) {
            FleetSimulation fleet = new FleetSimulation(5, 3, QUIET_MS, 0.1, seed, LeaseRules::new);
            fleet.lost = 0.1;
            fleet.duplicated = 0.5;
            fleet.delayed = 0.1;
            fleet.maxDelayMs = 5 * QUIET_MS;
            long firstAttempts = 0;
            long retries = 0;
            for (int i = 0; i < 2000; i++) {
                fleet.run(10);
                FleetSimulation.Process p = fleet.running.get(fleet.random.nextInt(5));
                if (p.name.equals("r0")) { // only retries here, and its process restarts again and again
                    retries += p.budgets.spendRetry("7") ? 1 : 0;
                    if (fleet.random.nextInt(20) == 0) {
                        fleet.kill(p);
                        fleet.start("r0");
                    }
                } else {
                    p.budgets.onFirstAttempt("7");
                    firstAttempts++;
                }
                assertThat((double) retries)
                        .as("seed %d", seed)
                        .isLessThanOrEqualTo(firstAttempts * FleetSimulation.RATIO);
            }
            assertThat(retries).as("seed %d", seed).isGreaterThan(100);
        }
    }

    @Test
    void notesPerRelayGrowNeitherWithSatisfiedNeedsNorWithTheFleet() {
        long[] sent = new long[2];
        for (int i = 0; i < 2; i++) {
            FleetSimulation fleet = withoutFaults(i == 0 ? 5 : 60, 3);
            fleet.needs.put(D7, skewed(fleet.setup.members().size(), 0, 0, Setup.WHOLE / 100));
            fleet.reportEvery(100, p -> Set.copyOf(fleet.setup.members()));
            fleet.run(10 * QUIET_MS);
            sent[i] = fleet.sent / fleet.setup.members().size();
        }
        // Three voters are sent five requests per term, and each request is answered.
        assertThat(sent[0]).isLessThan(10 * 5 * 3 * 2 + 60);
        assertThat(sent[1]).isLessThan(10 * 5 * 3 * 2 + 60);
    }
}
