package firstair.fleet.ledger;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import firstair.fleet.Outbox;
import firstair.fleet.Setup;
import firstair.fleet.fault.Fault;
import firstair.fleet.talk.Note;
import io.microraft.model.message.AppendEntriesSuccessResponse;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.VoteResponse;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Three voters; the test delivers their notes one by one. */
class LedgerStepsTest {
    private static final List<String> VOTERS = List.of("a", "b", "c");
    private static final Random LOSE_ALL_UNFORCED = new Random(0) {
        private static final long serialVersionUID = 1L;

        @Override
        public int nextInt(int bound) {
            return 0;
        }
    };

    private record Sent(String from, String to, Note note) {
        RaftMessage message() {
            return note instanceof Note.ConsensusMessage e ? RaftCodec.decode(e.bytes()) : null;
        }
    }

    private final Map<String, Ledger> ledgers = new LinkedHashMap<>();
    private final List<Sent> wire = new ArrayList<>();
    private final List<String> reports = new ArrayList<>();
    private boolean storeFails;
    private double now;

    private Ledger ledger(String name, LedgerState memory, LedgerStore keeper) {
        Setup setup =
                new Setup("fleet", name, "z", List.of("a", "b", "c", "x", "y"), VOTERS, 500, 3000, 100, 0.01, 0.5);
        Outbox outbox = new Outbox() {
            @Override
            public void send(String to, Note note) {
                wire.add(new Sent(name, to, note));
            }

            @Override
            public void report(String text) {
                reports.add(text);
            }
        };
        ReplicatedStateMachine echo = new ReplicatedStateMachine() {
            @Override
            public byte[] apply(long index, byte[] operation) {
                if (operation.length == 0) {
                    throw new Fault.UnknownEntry("empty");
                }
                return operation;
            }

            @Override
            public byte[] snapshot() {
                return new byte[0];
            }

            @Override
            public void restore(byte[] state) {}
        };
        return new Ledger(
                setup,
                1,
                memory,
                keeper,
                new LedgerStateMachines(new TreeMap<>(Map.of(7, echo))),
                outbox,
                new Random(name.charAt(0)),
                (version, state, linearizable, requestedAt) -> {});
    }

    private static LedgerState created(String name) {
        return LedgerState.initial("fleet", name, VOTERS);
    }

    /** Delivers the matching notes on the wire and those sent in response; returns those sent to other members. */
    private List<Sent> deliver(Predicate<Sent> which) {
        List<Sent> toMembers = new ArrayList<>();
        for (boolean more = true; more; ) {
            more = false;
            for (Sent s : List.copyOf(wire)) {
                if (which.test(s)) {
                    wire.remove(s);
                    more = true;
                    if (ledgers.containsKey(s.to)) {
                        ledgers.get(s.to).receive(now, s.from, s.note);
                    } else {
                        toMembers.add(s);
                    }
                }
            }
        }
        return toMembers;
    }

    private String leader() {
        return VOTERS.stream()
                .filter(v -> ledgers.get(v).isLeader())
                .findFirst()
                .orElse(null);
    }

    @BeforeEach
    void elect() {
        for (String v : VOTERS) {
            LedgerState memory = created(v);
            InMemoryLedgerStore kept = new InMemoryLedgerStore(memory);
            ledgers.put(v, ledger(v, memory, new LedgerStore() {
                @Override
                public void append(byte[] change) throws IOException {
                    if (storeFails) {
                        throw new IOException("no space left");
                    }
                    kept.append(change);
                }

                @Override
                public void force() {
                    kept.force();
                }
            }));
        }
        ledgers.values().forEach(voter -> voter.start(now));
        while (leader() == null) {
            now += 50;
            ledgers.values().forEach(voter -> voter.timer(now));
            deliver(s -> true);
        }
    }

    @Test
    void aReadIsNotConfirmedByRequestsSentBeforeIt() {
        String leader = leader();
        ledgers.get(leader).receive(now, "x", new Note.StateRequest(1, 0));
        deliver(s -> s.from.equals(leader) && ledgers.containsKey(s.to)); // the others have responded
        ledgers.get(leader).receive(now, "y", new Note.StateRequest(2, 0)); // while their responses are in flight
        List<Sent> answers = new ArrayList<>();
        for (Sent s : List.copyOf(wire)) {
            if (s.to.equals(leader)) {
                wire.remove(s);
                ledgers.get(leader).receive(now, s.from, s.note);
            }
        }
        wire.stream().filter(s -> s.note instanceof Note.StateChunk).forEach(answers::add);
        assertThat(answers).extracting(Sent::to).containsExactly("x");
        assertThat(deliver(s -> true)).extracting(Sent::to).contains("x", "y");
    }

    @Test
    void responsesOfAnEarlierTermAreDropped() {
        String leader = leader();
        Ledger ledger = ledgers.get(leader);
        String other = leader.equals("a") ? "b" : "a";
        AppendEntriesSuccessResponse late = RaftCodec.MODEL
                .createAppendEntriesSuccessResponseBuilder()
                .setGroupId("fleet")
                .setSender(new Voter(other))
                .setTerm(ledger.term() - 1)
                .setLastLogIndex(99)
                .setQuerySequenceNumber(0)
                .setFlowControlSequenceNumber(0)
                .build();
        long before = ledger.dropped();
        ledger.receive(now, other, new Note.ConsensusMessage(RaftCodec.encode(late)));
        assertThat(ledger.dropped()).isEqualTo(before + 1);
        assertThat(wire).isEmpty();
    }

    @Test
    void aVoterWhoseStoreFailsSendsNothingMore() {
        String leader = leader();
        storeFails = true;
        ledgers.get(leader).receive(now, "x", new Note.Propose(5, new Proposal("x", 1, 1, new byte[] {7, 1}).encode()));
        assertThat(ledgers.get(leader).fault()).isInstanceOf(Fault.LedgerUnwritten.class);
        assertThat(ledgers.get(leader).isLeader()).isFalse();
        assertThat(reports).singleElement().asString().startsWith("F502").contains("no space left");
        assertThat(wire).noneMatch(s -> s.note instanceof Note.ConsensusMessage);
        assertThat(wire)
                .extracting(Sent::note)
                .filteredOn(Note.Proposed.class::isInstance)
                .allMatch(n -> !((Note.Proposed) n).done());
    }

    @Test
    void anUnknownKindIsRejectedAndAnUnknownOperationStopsTheVoter() {
        String leader = leader();
        ledgers.get(leader).receive(now, "x", new Note.Propose(5, new Proposal("x", 1, 1, new byte[] {9, 1}).encode()));
        Note.Proposed refused = (Note.Proposed) deliver(s -> true).get(0).note;
        assertThat(((Outcome.Refused) Outcome.decode(refused.result())).code()).isEqualTo("F503");
        assertThat(ledgers.get(leader).fault()).isNull();
        ledgers.get(leader).receive(now, "x", new Note.Propose(6, new Proposal("x", 1, 2, new byte[] {7}).encode()));
        deliver(s -> true);
        assertThat(ledgers.get(leader).fault()).isInstanceOf(Fault.UnknownEntry.class);
    }

    @Test
    void unknownSendersOtherFleetsAndUnreadableBytesChangeNothing() {
        Ledger ledger = ledgers.get(leader());
        RaftMessage foreign = RaftCodec.MODEL
                .createVoteRequestBuilder()
                .setGroupId("other")
                .setSender(new Voter("a"))
                .setTerm(99)
                .setLastLogTerm(9)
                .setLastLogIndex(9)
                .setSticky(false)
                .build();
        int term = ledger.term();
        assertThatThrownBy(() -> ledger.receive(now, "a", new Note.ConsensusMessage(RaftCodec.encode(foreign))))
                .isInstanceOf(Fault.OtherFleet.class);
        assertThatThrownBy(() -> ledger.receive(now, "b", new Note.ConsensusMessage(new byte[] {1, 2, 3})))
                .isInstanceOf(Fault.Unreadable.class);
        assertThatThrownBy(() -> ledger.receive(now, "mallory", new Note.StateRequest(1, 0)))
                .isInstanceOf(Fault.Stranger.class);
        assertThatThrownBy(() -> ledger.receive(
                        now, "x", new Note.Propose(1, new Proposal("mallory", 1, 1, new byte[] {7}).encode())))
                .isInstanceOf(Fault.Stranger.class);
        assertThat(ledger.term()).isEqualTo(term);
    }

    /** The candidates that get a vote of term 9 from a voter that is killed and restarted between their requests. */
    private List<String> votes(boolean durable) {
        List<String> granted = new ArrayList<>();
        LedgerState memory = created("a");
        for (String candidate : List.of("b", "c")) {
            InMemoryLedgerStore kept = new InMemoryLedgerStore(memory);
            wire.clear();
            Ledger voter = ledger("a", memory, new LedgerStore() {
                @Override
                public void append(byte[] change) {
                    kept.append(change);
                }

                @Override
                public void force() {
                    if (durable) {
                        kept.force();
                    }
                }
            });
            voter.start(now);
            RaftMessage voteRequest = RaftCodec.MODEL
                    .createVoteRequestBuilder()
                    .setGroupId("fleet")
                    .setSender(new Voter(candidate))
                    .setTerm(9)
                    .setLastLogTerm(0)
                    .setLastLogIndex(0)
                    .setSticky(false)
                    .build();
            voter.receive(now, candidate, new Note.ConsensusMessage(RaftCodec.encode(voteRequest)));
            for (Sent s : wire) {
                if (s.message() instanceof VoteResponse v && v.isGranted()) {
                    granted.add(s.to);
                }
            }
            memory = kept.afterKill(LOSE_ALL_UNFORCED);
        }
        return granted;
    }

    @Test
    void aVoterKilledRightAfterItsVoteDoesNotVoteAgain() {
        assertThat(votes(true)).containsExactly("b");
    }

    @Test
    void aStoreThatLosesTheVoteIsDetectedByTheSameSequence() {
        assertThat(votes(false)).containsExactly("b", "c"); // two leaders in one term: why votes are forced
    }

    @Test
    void aLedgerOfAnotherVoterOrOtherVotersIsRejected() {
        LedgerState others = created("b");
        assertThatThrownBy(() -> ledger("a", others, new InMemoryLedgerStore(others)))
                .isInstanceOf(Fault.BadSetup.class);
        LedgerState withOtherVoters = LedgerState.initial("fleet", "a", List.of("a", "b", "d"));
        assertThatThrownBy(() -> ledger("a", withOtherVoters, new InMemoryLedgerStore(withOtherVoters)))
                .isInstanceOf(Fault.BadSetup.class);
    }
}
