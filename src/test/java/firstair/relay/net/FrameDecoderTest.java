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

class FrameDecoderTest {
    private static final int MAX_FRAME_BYTES = 20_000;

    private final List<ByteBuffer> received = new ArrayList<>();
    private long reserved;
    private long limit = Long.MAX_VALUE;
    private final FrameDecoder decoder = new FrameDecoder(
            MAX_FRAME_BYTES, bytes -> reserved + bytes <= limit && (reserved += bytes) >= 0, new PeerDataListener() {
                @Override
                public void received(byte[] bytes) {
                    received.add(ByteBuffer.wrap(bytes)); // compares by content and has a short toString
                }

                @Override
                public void malformed() {
                    throw new AssertionError("only the owner of the connection reports malformed data");
                }
            });

    private static byte[] lengthBytes(int length) {
        return ByteBuffer.allocate(4).putInt(length).array();
    }

    @Property(tries = 300)
    void framesDoNotDependOnHowTheBytesAreSplit(
            @ForAll @Size(min = 1, max = 6) List<@IntRange(min = 1, max = MAX_FRAME_BYTES) Integer> lengths,
            @ForAll @Size(min = 1, max = 5) List<@IntRange(min = 1, max = 9000) Integer> pieceSizes) {
        received.clear(); // all tries use the same instance
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        List<ByteBuffer> frames = new ArrayList<>();
        for (int length : lengths) {
            byte[] frame = new byte[length];
            for (int i = 0; i < length; i++) {
                frame[i] = (byte) (i * 31 + length);
            }
            frames.add(ByteBuffer.wrap(frame));
            all.writeBytes(lengthBytes(length));
            all.writeBytes(frame);
        }
        ByteBuffer bytes = ByteBuffer.wrap(all.toByteArray());
        for (int i = 0; bytes.hasRemaining(); i++) {
            byte[] piece = new byte[Math.min(bytes.remaining(), pieceSizes.get(i % pieceSizes.size()))];
            bytes.get(piece);
            assertThat(decoder.feed(piece)).isTrue();
        }
        assertThat(received).isEqualTo(frames);
        assertThat(reserved).as("bytes still reserved").isZero();
    }

    @Example
    void anInvalidLengthIsRejected() {
        for (int invalid : new int[] {0, -1, MAX_FRAME_BYTES + 1, Integer.MIN_VALUE, Integer.MAX_VALUE}) {
            FrameDecoder newDecoder = new FrameDecoder(MAX_FRAME_BYTES, bytes -> true, null);
            assertThat(newDecoder.feed(lengthBytes(invalid))).as("%d", invalid).isFalse();
        }
    }

    @Example
    void anAnnouncedLengthReservesLittleAndExceedingTheLimitIsRejected() {
        decoder.feed(lengthBytes(MAX_FRAME_BYTES));
        decoder.feed(new byte[1]);
        assertThat(reserved).isEqualTo(4096);
        limit = 10_000;
        assertThat(decoder.feed(new byte[9000])).isTrue();
        assertThat(decoder.feed(new byte[1001])).isFalse();
        decoder.reset();
        assertThat(reserved).isZero();
    }
}
