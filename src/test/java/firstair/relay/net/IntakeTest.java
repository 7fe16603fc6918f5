package firstair.relay.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class IntakeTest {
    private static final int MOST = 20_000;

    private final List<ByteBuffer> got = new ArrayList<>();
    private long held;
    private long room = Long.MAX_VALUE;
    private final Intake intake = new Intake(MOST, n -> held + n <= room && (held += n) >= 0, new Inbox() {
        @Override
        public void bytes(byte[] bytes) {
            got.add(ByteBuffer.wrap(bytes)); // equal by content, and short where it is printed
        }

        @Override
        public void garbage() {
            throw new AssertionError("told by who owns the connection");
        }
    });

    private static byte[] head(int length) {
        return ByteBuffer.allocate(4).putInt(length).array();
    }

    @Property(tries = 300)
    void framesAreTheSameHoweverBytesAreCut(
            @ForAll @Size(min = 1, max = 6) List<@IntRange(min = 1, max = MOST) Integer> lengths,
            @ForAll @Size(min = 1, max = 5) List<@IntRange(min = 1, max = 9000) Integer> cuts) {
        got.clear(); // one instance serves all tries
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        List<ByteBuffer> frames = new ArrayList<>();
        for (int n : lengths) {
            byte[] frame = new byte[n];
            for (int i = 0; i < n; i++) {
                frame[i] = (byte) (i * 31 + n);
            }
            frames.add(ByteBuffer.wrap(frame));
            all.writeBytes(head(n));
            all.writeBytes(frame);
        }
        ByteBuffer bytes = ByteBuffer.wrap(all.toByteArray());
        for (int i = 0; bytes.hasRemaining(); i++) {
            byte[] piece = new byte[Math.min(bytes.remaining(), cuts.get(i % cuts.size()))];
            bytes.get(piece);
            assertThat(intake.feed(piece)).isTrue();
        }
        assertThat(got).isEqualTo(frames);
        assertThat(held).as("given back").isZero();
    }

    @Example
    void aLengthThatIsNoneEndsIt() {
        for (int bad : new int[] {0, -1, MOST + 1, Integer.MIN_VALUE, Integer.MAX_VALUE}) {
            Intake one = new Intake(MOST, n -> true, null);
            assertThat(one.feed(head(bad))).as("%d", bad).isFalse();
        }
    }

    @Example
    void aLengthAloneCostsLittleAndMoreThanThereIsRoomForEndsIt() {
        intake.feed(head(MOST));
        intake.feed(new byte[1]);
        assertThat(held).isEqualTo(4096);
        room = 10_000;
        assertThat(intake.feed(new byte[9000])).isTrue();
        assertThat(intake.feed(new byte[1001])).isFalse();
        intake.end();
        assertThat(held).isZero();
    }
}
