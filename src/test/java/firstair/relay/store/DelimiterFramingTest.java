package firstair.relay.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class DelimiterFramingTest {
    private static final DelimiterFraming FRAMING = DelimiterFraming.INSTANCE;

    private static List<byte[]> read(byte[] file) {
        List<byte[]> found = new ArrayList<>();
        FRAMING.read(file, content -> found.add(content));
        return found;
    }

    /** Contents of each size, with few and many zero bytes: blocks of 254 bytes end at every place. */
    @Test
    void contentsAreReadAsTheyWereWritten() {
        Random random = new Random(1);
        ByteArrayOutputStream file = new ByteArrayOutputStream();
        List<byte[]> contents = new ArrayList<>();
        for (int size = 1; size <= 1100; size++) {
            for (int zeroEvery : new int[] {1, 2, 250, Integer.MAX_VALUE}) {
                byte[] content = new byte[size];
                for (int i = 0; i < size; i++) {
                    content[i] = (byte) (random.nextInt(zeroEvery) == 0 ? 0 : 1 + random.nextInt(255));
                }
                contents.add(content);
                byte[] framed = FRAMING.frame(content);
                assertThat((long) framed.length).isLessThanOrEqualTo(DelimiterFraming.maxFrameBytes(size));
                file.writeBytes(framed);
            }
        }
        assertThat(read(file.toByteArray()))
                .usingElementComparator(Arrays::compare)
                .containsExactlyElementsOf(contents);
    }

    /** A content may be a whole file: none of its bytes is taken for a record, wherever the write was cut. */
    @Test
    void aContentOfRecordsIsNeverReadAsRecords() {
        byte[] inner = FRAMING.frame("inner".getBytes());
        byte[] file = FRAMING.frame(FRAMING.frame(inner));
        for (int cut = 0; cut < file.length; cut++) {
            assertThat(read(Arrays.copyOf(file, cut))).as("cut at %d", cut).isEmpty();
        }
    }

    @Test
    void damageAndTheIncompleteEndAreCounted() {
        byte[] one = FRAMING.frame(new byte[] {1, 2, 3});
        ByteArrayOutputStream file = new ByteArrayOutputStream();
        file.writeBytes(one);
        byte[] damaged = one.clone();
        damaged[one.length - 2] ^= 4;
        file.writeBytes(damaged);
        file.writeBytes(one);
        file.write(one, 0, one.length - 1);
        List<byte[]> found = new ArrayList<>();
        Framing.ReadResult result = FRAMING.read(file.toByteArray(), content -> found.add(content));
        assertThat(found).hasSize(2);
        assertThat(result).isEqualTo(new Framing.ReadResult(1, one.length - 2));
    }
}
