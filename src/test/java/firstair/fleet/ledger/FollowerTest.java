package firstair.fleet.ledger;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.fleet.Outbox;
import firstair.fleet.Setup;
import firstair.fleet.talk.Note;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class FollowerTest {
    private record Sent(String to, Note.StateRequest request) {}

    private record Update(long version, String state, boolean linearizable, double requestedAt) {}

    private final Setup setup = new Setup(
            "fleet", "x", "z", List.of("a", "b", "c", "x"), List.of("a", "b", "c"), 500, 3000, 100, 0.01, 0.5);
    private final List<Sent> sent = new ArrayList<>();
    private final List<Update> updates = new ArrayList<>();
    private final Follower follower = new Follower(
            setup,
            new Outbox() {
                @Override
                public void send(String to, Note note) {
                    sent.add(new Sent(to, (Note.StateRequest) note));
                }

                @Override
                public void report(String text) {}
            },
            new Random(1),
            (version, state, linearizable, requestedAt) ->
                    updates.add(new Update(version, new String(state), linearizable, requestedAt)),
            1000,
            300);

    private Sent poll(double now) {
        follower.timer(now);
        return sent.get(sent.size() - 1);
    }

    private void answer(double now, Sent request, long version, boolean linearizable, int chunk, String... chunks) {
        follower.receive(
                now,
                request.to,
                new Note.StateChunk(
                        request.request.nonce(),
                        version,
                        linearizable,
                        chunk,
                        chunks.length,
                        chunks.length == 0 ? new byte[0] : chunks[chunk].getBytes()));
    }

    @Test
    void chunksOutOfOrderDuplicatedAndFromSeveralRequestsAreAssembled() {
        Sent first = poll(0);
        answer(10, first, 4, true, 2, "ab", "cd", "ef");
        answer(11, first, 4, true, 2, "ab", "cd", "ef");
        answer(12, first, 4, true, 0, "ab", "cd", "ef");
        Sent second = poll(300); // timed out with one chunk missing
        assertThat(second.to).isEqualTo(first.to);
        assertThat(updates).isEmpty();
        answer(310, second, 4, true, 1, "ab", "cd", "ef");
        assertThat(updates).containsExactly(new Update(4, "abcdef", true, 300));
        answer(320, second, 4, true, 0, "ab", "cd", "ef"); // confirms nothing new
        assertThat(updates).hasSize(1);
    }

    @Test
    void chunksOfDifferentVersionsAreNotMixed() {
        Sent first = poll(0);
        answer(10, first, 4, true, 0, "ab", "cd");
        Sent second = poll(300);
        answer(310, second, 6, true, 1, "AB", "CD");
        answer(320, first, 4, true, 1, "ab", "cd");
        answer(330, second, 6, true, 0, "AB", "CD");
        assertThat(updates).containsExactly(new Update(4, "abcd", true, 0), new Update(6, "ABCD", true, 300));
        answer(340, first, 4, true, 0, "ab", "cd"); // late: the version never decreases, and nothing is confirmed again
        assertThat(updates).hasSize(2);
        assertThat(follower.version()).isEqualTo(6);
    }

    @Test
    void aConfirmationCountsFromItsRequestAndOnlyIfLinearizable() {
        Sent first = poll(0);
        answer(10, first, 4, true, 0, "ab");
        Sent second = poll(1000);
        answer(1900, second, 4, false, 0);
        assertThat(updates).hasSize(1);
        Sent third = sent.get(sent.size() - 1);
        assertThat(third.to).isNotEqualTo(second.to); // whose answer was not linearizable
        answer(1950, third, 4, true, 0);
        assertThat(updates.get(1)).isEqualTo(new Update(4, "ab", true, 1900));
    }

    @Test
    void unresponsiveVotersAreSkippedAndPollsAreLimited() {
        for (double now = 0; now < 10_000; now += 10) {
            follower.timer(now);
        }
        assertThat(sent).extracting(Sent::to).contains("a", "b", "c");
        assertThat(sent.size()).isBetween(10, 45);
    }

    @Test
    void unrequestedAndInvalidAnswersAreDropped() {
        Sent first = poll(0);
        follower.receive(1, "a", new Note.StateChunk(first.request.nonce() + 1, 4, true, 0, 1, new byte[1]));
        follower.receive(
                1,
                first.to.equals("a") ? "b" : "a",
                new Note.StateChunk(first.request.nonce(), 4, true, 0, 1, new byte[1]));
        for (int[] invalid : new int[][] {{-1, 1}, {1, 1}, {0, -1}, {0, 5000}, {0, 0}}) {
            follower.receive(
                    1,
                    first.to,
                    new Note.StateChunk(first.request.nonce(), 4, true, invalid[0], invalid[1], new byte[1]));
        }
        assertThat(follower.dropped()).isEqualTo(7);
        assertThat(updates).isEmpty();
    }
}
