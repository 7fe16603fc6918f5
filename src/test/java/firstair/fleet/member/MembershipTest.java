package firstair.fleet.member;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.fleet.Outbox;
import firstair.fleet.Setup;
import firstair.fleet.fault.Fault;
import firstair.fleet.talk.Note;
import firstair.fleet.talk.Note.Rumour;
import firstair.fleet.talk.Note.Status;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class MembershipTest {
    /** Rounds of hellos in which all agree after everything is mended. */
    private static final int ROUNDS = 4;

    /** Planted: what is held against us is not refuted. */
    private static final class Silent extends Membership {
        Silent(Setup setup, long incarnation, Random random, Outbox out) {
            super(setup, incarnation, random, out);
        }

        @Override
        void refute(int heard) {}
    }

    /** Planted: never in doubt about itself. */
    private static final class Sure extends Membership {
        Sure(Setup setup, long incarnation, Random random, Outbox out) {
            super(setup, incarnation, random, out);
        }

        @Override
        boolean doubts() {
            return false;
        }

        @Override
        boolean isolated(double since) {
            return false;
        }
    }

    /** Some minutes of everything that can go wrong, then a mended network for the told number of rounds. */
    static Net storm(int members, long seed, int troubles, Net.Making making) {
        Net net = new Net(members, seed, making);
        net.lost = 0.2;
        net.doubled = 0.1;
        net.run(60_000);
        Random random = new Random(seed * 31);
        for (int i = 0; i < troubles; i++) {
            String some = net.names.get(random.nextInt(members));
            switch (random.nextInt(7)) {
                case 0 -> net.pause(some, 3000 + random.nextInt(60_000));
                case 1 -> net.split(List.of(some));
                case 2 -> net.names.forEach(x -> net.cut(x, some)); // it can speak and hears nobody
                case 3 -> net.names.forEach(x -> net.cut(some, x));
                case 4 -> net.split(net.names.subList(0, 1 + random.nextInt(members - 1)));
                case 5 -> {
                    net.kill(some);
                    net.start(some);
                }
                default -> {
                    for (int links = members * members / 8; links > 0; links--) {
                        net.cut(net.names.get(random.nextInt(members)), net.names.get(random.nextInt(members)));
                    }
                }
            }
            net.run(10_000 + random.nextInt(50_000));
            net.heal();
            net.run(random.nextInt(40_000));
        }
        net.run(60_000); // the last pause is over
        net.run(ROUNDS * members * Net.HELLO);
        return net;
    }

    @ParameterizedTest
    @CsvSource({"5, 30, 40", "60, 3, 8"})
    void nobodyWhoCanBeReachedIsGoneAndAllAgreeOnceEverythingIsMended(int members, int seeds, int troubles) {
        for (long seed = 1; seed <= seeds; seed++) {
            Net net = storm(members, seed, troubles, Membership::new);
            assertThat(net.wrong).as("seed %d", seed).isEmpty();
            assertThat(net.agreed(Status.SUSPECT)).as("seed %d", seed).isTrue();
            net.lost = 0; // with a fifth of all notes lost somebody is always under suspicion
            net.run(net.of("relay-0").members.suspicionMs());
            assertThat(net.agreed(Status.ALIVE)).as("seed %d", seed).isTrue();
        }
    }

    @Test
    void theSameSeedGivesTheSameHistory() {
        Net one = storm(5, 7, 20, Membership::new);
        Net two = storm(5, 7, 20, Membership::new);
        assertThat(one.reports).isNotEmpty().isEqualTo(two.reports);
        assertThat(one.sentTo).isEqualTo(two.sentTo);
    }

    @Test
    void withoutRefutationOrDoubtAboutOneselfTheSameChecksFail() {
        assertThat(storm(5, 1, 40, Silent::new).wrong).isNotEmpty();
        assertThat(storm(5, 1, 40, Sure::new).wrong).isNotEmpty();
    }

    @ParameterizedTest
    @ValueSource(ints = {5, 60})
    void aStoppedOrLonelyProcessDeclaresNobodyGone(int members) {
        Net net = new Net(members, 3, Membership::new);
        net.run(2 * members * Net.HELLO);
        Membership us = net.of("relay-0").members;
        assertThat(us.doubtful()).isFalse();
        net.pause("relay-0", 120_000);
        net.run(120_001);
        assertThat(us.doubtful()).isTrue();
        assertThat(net.of("relay-1").members.status("relay-0")).isNotEqualTo(Status.ALIVE);
        net.run(20_000);
        assertThat(us.doubtful()).isFalse();
        net.split(List.of("relay-0"));
        net.run(600_000);
        assertThat(us.doubtful()).isTrue();
        assertThat(us.heardWithin(net.now, 60_000)).isZero();
        assertThat(net.reports).noneMatch(r -> r.startsWith("relay-0:") && r.endsWith("gone"));
        assertThat(net.reports).contains("relay-1: relay relay-0 is gone");
        net.heal();
        net.run(ROUNDS * members * Net.HELLO);
        assertThat(net.agreed(Status.ALIVE)).isTrue();
        assertThat(net.wrong).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(ints = {5, 60})
    void halfOfTheFleetOnEachSideFindsTogetherAgain(int members) {
        Net net = new Net(members, 4, Membership::new);
        net.run(2 * members * Net.HELLO);
        net.split(net.names.subList(0, members / 3));
        net.run(10 * members * Net.HELLO);
        String far = net.names.get(members - 1);
        assertThat(net.of(far).members.status("relay-0")).isEqualTo(Status.GONE);
        net.heal();
        net.run(ROUNDS * members * Net.HELLO);
        assertThat(net.agreed(Status.ALIVE)).isTrue();
        assertThat(net.wrong).isEmpty();
    }

    @Test
    void oneThatNeverReturnsIsGoneEverywhereAndCostsAHelloInSomeRounds() {
        Net net = new Net(20, 5, Membership::new);
        net.lost = 0.1;
        net.run(40_000);
        net.kill("relay-7");
        net.run(net.of("relay-0").members.suspicionMs() * 2 + 20_000);
        assertThat(net.processes)
                .filteredOn(p -> p.up)
                .allMatch(p -> p.members.status("relay-7") == Status.GONE
                        && !p.members.alive().contains("relay-7"));
        net.sentTo.clear();
        net.run(60 * 20 * Net.HELLO);
        assertThat(net.sentTo.get("relay-7")).isBetween(19 * 15, 19 * 25); // one in three of its 60 rounds
    }

    @Test
    void ofTwoProcessesWithOneNameTheOlderStepsBack() {
        Net net = new Net(5, 6, Membership::new);
        net.run(20_000);
        Net.Process old = net.of("relay-2");
        Net.Process young = net.start("relay-2");
        net.run(10_000);
        assertThat(old.members.stopReason()).isInstanceOf(Fault.NameTaken.class);
        assertThat(old.members.alive()).isEmpty();
        assertThat(young.members.stopReason()).isNull();
        int sent = old.sent;
        net.run(60_000);
        assertThat(old.sent).isEqualTo(sent);
        assertThat(net.agreed(Status.ALIVE)).isTrue();
        assertThat(net.reports).filteredOn(r -> r.contains("F105")).hasSize(1);
        assertThat(net.reports).noneMatch(r -> r.endsWith("gone"));
    }

    @Test
    void whoLeavesIsHeldToBeThereByNobody() {
        Net net = new Net(20, 8, Membership::new);
        net.run(40_000);
        net.of("relay-3").members.leave();
        int sent = net.of("relay-3").sent;
        net.kill("relay-3");
        net.run(8000);
        assertThat(net.processes)
                .filteredOn(p -> p.up)
                .noneMatch(p -> p.members.alive().contains("relay-3"));
        net.start("relay-3");
        net.run(20_000);
        assertThat(net.agreed(Status.ALIVE)).isTrue();
        assertThat(sent).isLessThan(200);
    }

    /** One member alone, told what we like. */
    private static final class Alone implements Outbox {
        private final List<Note> sent = new ArrayList<>();
        private final List<String> all = List.of("a", "b", "c", "d", "e");
        private final Membership us = new Membership(
                new Setup("f", "a", "z", all, all.subList(0, 3), 1000, 8000, 200, 0.01, 0.5), 50, new Random(1), this);

        private void told(double now, String member, long incarnation, int refutation, Status status) {
            us.receive(now, "b", 9, new Note.Hello(1, List.of(new Rumour(member, incarnation, refutation, status))));
        }

        private Rumour ofUs() {
            return ((Note.HelloAnswer) sent.get(sent.size() - 1)).rumours().get(0);
        }

        @Override
        public void send(String to, Note note) {
            sent.add(note);
        }

        @Override
        public void report(String text) {}
    }

    @Test
    void rumoursOfAnEarlierProcessDoNotHarmTheNewOne() {
        Alone a = new Alone();
        a.told(0, "c", 7, 3, Status.GONE);
        assertThat(a.us.status("c")).isEqualTo(Status.GONE);
        a.told(1, "c", 8, 0, Status.ALIVE);
        a.told(2, "c", 7, 99, Status.GONE);
        a.us.receive(3, "c", 7, new Note.Leaving());
        assertThat(a.us.status("c")).isEqualTo(Status.ALIVE);
        assertThat(a.us.incarnation("c")).isEqualTo(8);
        a.told(4, "c", 8, 1, Status.SUSPECT);
        a.told(5, "c", 8, 0, Status.GONE);
        assertThat(a.us.status("c")).isEqualTo(Status.SUSPECT);
        a.told(6, "c", 8, 2, Status.ALIVE);
        assertThat(a.us.alive()).containsExactly("b", "c");
        a.told(7, "stranger", 8, 2, Status.ALIVE);
        assertThat(a.us.status("stranger")).isEqualTo(Status.GONE);
    }

    @Test
    void whatIsHeldAgainstUsIsRefutedAndALaterProcessOfOurNameSilencesUs() {
        Alone a = new Alone();
        a.told(0, "a", 50, 4, Status.GONE);
        assertThat(a.ofUs()).isEqualTo(new Rumour("a", 50, 5, Status.ALIVE));
        a.told(1, "a", 50, 4, Status.GONE);
        a.told(2, "a", 49, 70, Status.GONE);
        a.told(3, "a", 50, Integer.MAX_VALUE, Status.GONE);
        assertThat(a.ofUs().refutation()).isEqualTo(5);
        int sent = a.sent.size();
        a.told(4, "a", 51, 0, Status.ALIVE);
        assertThat(a.us.stopReason()).isInstanceOf(Fault.NameTaken.class);
        assertThat(a.us.timer(5)).isInfinite();
        a.us.leave();
        assertThat(a.sent).hasSize(sent);
    }

    @Test
    void bytesOfEachRelayStayFlatFromFiveToThreeHundred() {
        List<Double> last = new ArrayList<>();
        for (int members : new int[] {5, 60, 300}) {
            Net net = new Net(members, 9, Membership::new);
            net.lost = 0.02;
            net.checked = false;
            List<Double> minutes = new ArrayList<>();
            for (int minute = 0; minute < 5; minute++) {
                long before = net.processes.stream().mapToLong(p -> p.bytes).sum();
                net.run(60 * Net.HELLO);
                minutes.add((net.processes.stream().mapToLong(p -> p.bytes).sum() - before) / 60.0 / members);
            }
            assertThat(minutes).as("bytes a hello, all begin at once").allMatch(b -> b < 700);
            last.add(minutes.get(4));
        }
        assertThat(last).as("bytes a hello: %s", last).allMatch(b -> b < 1.5 * last.get(0));
    }
}
