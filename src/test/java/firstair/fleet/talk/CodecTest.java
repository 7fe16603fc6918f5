package firstair.fleet.talk;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.sun.management.ThreadMXBean;
import firstair.fleet.fault.Fault;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

class CodecTest {
    private final Codec codec = new Codec();

    /** What a later program could write. */
    private interface Later {
        void to(MessageBufferPacker packer) throws IOException;
    }

    private static byte[] head(int parts, int version, Later rest) throws IOException {
        MessageBufferPacker p = MessagePack.newDefaultBufferPacker();
        p.packArrayHeader(parts)
                .packInt(version)
                .packString("f")
                .packString("a")
                .packLong(1)
                .packString("b")
                .packLong(0);
        rest.to(p);
        return p.toByteArray();
    }

    @Property(tries = 2000)
    void whatIsWrittenIsReadAgain(@ForAll long seed, @ForAll @IntRange(max = 20) int notes) {
        Envelope e = Notes.envelope(new Random(seed), notes);
        assertThat(codec.read(codec.write(e))).usingRecursiveComparison().isEqualTo(e);
    }

    @Test
    void everyKindOfNoteIsWrittenAndReadAgain() {
        Random random = new Random(1);
        for (Class<?> kind : Notes.kinds()) {
            for (int i = 0; i < 200; i++) {
                Note n = (Note) Notes.some(kind, random);
                Envelope e = new Envelope("f", 1, "a", 1, "b", 0, List.of(n));
                assertThat(codec.read(codec.write(e)).notes())
                        .as("%s", n)
                        .usingRecursiveComparison()
                        .isEqualTo(List.of(n));
            }
        }
    }

    @Property(tries = 2000)
    void anyBytesAreAnEnvelopeOrAFault(@ForAll byte[] bytes) {
        readable(bytes);
    }

    @Property(tries = 300)
    void spoiltEnvelopesAreEnvelopesOrFaultsAndTakeLittleMemory(@ForAll long seed) {
        Random random = new Random(seed);
        byte[] whole = codec.write(Notes.envelope(random, 1 + random.nextInt(6)));
        for (int i = 0; i < 60; i++) {
            byte[] spoilt = whole.clone();
            for (int flips = 1 + random.nextInt(3); flips > 0; flips--) {
                spoilt[random.nextInt(spoilt.length)] ^= (byte) (1 << random.nextInt(8));
            }
            readable(spoilt);
            byte[] cut = Arrays.copyOf(whole, random.nextInt(whole.length));
            assertThat(readable(cut))
                    .as("seed %d, cut at %d of %d", seed, cut.length, whole.length)
                    .isFalse();
        }
        byte[] longer = Arrays.copyOf(whole, whole.length + 1);
        assertThat(readable(longer)).as("seed %d", seed).isFalse();
    }

    /** Whether it could be read; everything but a fault is an error, and so is much memory. */
    private boolean readable(byte[] bytes) {
        boolean first = read(bytes); // the first time loads classes, which takes memory of its own
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        long before = threads.getCurrentThreadAllocatedBytes();
        boolean second = read(bytes);
        assertThat(threads.getCurrentThreadAllocatedBytes() - before).isLessThan(10_000 + 40L * bytes.length);
        assertThat(second).isEqualTo(first);
        return first;
    }

    private boolean read(byte[] bytes) {
        try {
            codec.read(bytes);
            return true;
        } catch (Fault f) {
            return false;
        }
    }

    @Test
    void toldLengthsAreNotBelieved() throws IOException {
        List<Later> lies = List.of(
                p -> p.packArrayHeader(Integer.MAX_VALUE),
                p -> p.packArrayHeader(1)
                        .packArrayHeader(2)
                        .packInt(17)
                        .packMapHeader(1)
                        .packInt(0)
                        .packBinaryHeader(Integer.MAX_VALUE),
                p -> p.packArrayHeader(1)
                        .packArrayHeader(2)
                        .packInt(13)
                        .packMapHeader(1)
                        .packInt(0)
                        .packArrayHeader(Integer.MAX_VALUE),
                p -> p.packArrayHeader(1).packArrayHeader(2).packInt(5).packMapHeader(Integer.MAX_VALUE),
                p -> p.packArrayHeader(1)
                        .packArrayHeader(2)
                        .packInt(99)
                        .packArrayHeader(2)
                        .packArrayHeader(Integer.MAX_VALUE)
                        .packArrayHeader(Integer.MAX_VALUE),
                p -> p.packArrayHeader(1).packArrayHeader(2).packInt(99).packRawStringHeader(Integer.MAX_VALUE));
        for (Later lie : lies) {
            assertThat(readable(head(7, 1, lie))).isFalse();
        }
        assertThat(readable(head(
                        7,
                        1,
                        p -> { // 100,000 deep, and its end is there
                            p.packArrayHeader(1).packArrayHeader(2).packInt(99);
                            for (int i = 0; i < 100_000; i++) {
                                p.packArrayHeader(1);
                            }
                            p.packNil();
                        })))
                .isTrue();
    }

    @Test
    void whatOnlyLaterProgramsKnowIsPassedOver() throws IOException {
        byte[] later = head(9, 1, p -> {
            p.packArrayHeader(4);
            p.packArrayHeader(3)
                    .packInt(77)
                    .packMapHeader(1)
                    .packString("x")
                    .packDouble(1)
                    .packNil(); // a kind
            p.packArrayHeader(2)
                    .packInt(4)
                    .packMapHeader(4)
                    .packInt(9)
                    .packMapHeader(0) // a field
                    .packInt(2)
                    .packLong(5)
                    .packInt(0)
                    .packLong(6)
                    .packInt(1)
                    .packString("c");
            p.packArrayHeader(2)
                    .packInt(1)
                    .packMapHeader(2)
                    .packInt(0)
                    .packLong(7)
                    .packInt(1)
                    .packArrayHeader(2);
            for (int status = 9; status >= 1; status -= 8) { // a word
                p.packMapHeader(4)
                        .packInt(0)
                        .packString("m")
                        .packInt(1)
                        .packLong(3)
                        .packInt(2)
                        .packInt(0)
                        .packInt(3)
                        .packInt(status);
            }
            p.packArrayHeader(3)
                    .packInt(11)
                    .packMapHeader(1)
                    .packInt(0)
                    .packLong(8)
                    .packString("more");
            p.packArrayHeader(1).packNil().packBoolean(true); // parts behind the notes
        });
        assertThat(codec.read(later).notes())
                .containsExactly(
                        new Note.ProbeAnswer(6, "c", 5),
                        new Note.Hello(7, List.of(new Note.Rumour("m", 3, 0, Note.Status.SUSPECT))),
                        new Note.LoanReturn(8));
        assertThatThrownBy(() -> codec.read(head(3, 2, p -> {}))).isInstanceOf(Fault.OtherVersion.class);
    }

    @Test
    void numbersAndNamesOutsideTheirBoundsAreNeitherWrittenNorRead() throws IOException {
        List<Note> wrong = new ArrayList<>();
        for (double ms : new double[] {Double.NaN, Double.POSITIVE_INFINITY, -1, Field.DAY + 1}) {
            wrong.add(new Note.Loan(1, 2, "b", 3, ms));
        }
        wrong.add(new Note.Loan(1, 2, "b", -3, 4));
        wrong.add(new Note.ProbeRequest(1, ""));
        wrong.add(new Note.ProbeRequest(1, "x".repeat(129)));
        wrong.add(new Note.ProbeAnswer(1, "x", -1));
        wrong.add(new Note.Counts(Collections.nCopies(10_001, new Note.Count("a", 1, "b", 1, 1, 1))));
        for (Note n : wrong) {
            assertThatThrownBy(() -> codec.write(new Envelope("f", 1, "a", 1, "b", 0, List.of(n))))
                    .as("%s", n)
                    .isInstanceOf(Fault.Unreadable.class);
        }
        for (double ms : new double[] {Double.NaN, Double.NEGATIVE_INFINITY, -0.5, Field.DAY + 0.5}) {
            byte[] bytes = head(7, 1, p -> p.packArrayHeader(1)
                    .packArrayHeader(2)
                    .packInt(10)
                    .packMapHeader(5)
                    .packInt(0)
                    .packLong(1)
                    .packInt(1)
                    .packLong(2)
                    .packInt(2)
                    .packString("b")
                    .packInt(3)
                    .packInt(3)
                    .packInt(4)
                    .packDouble(ms));
            assertThatThrownBy(() -> codec.read(bytes)).as("%s", ms).isInstanceOf(Fault.Unreadable.class);
        }
    }

    @Property(tries = 300)
    void splittingKeepsEveryNoteAndEveryItemInOrder(@ForAll long seed) {
        Random random = new Random(seed);
        int most = 800 + random.nextInt(600); // the largest item fits
        Envelope whole = Notes.envelope(random, random.nextInt(80));
        List<Envelope> parts = codec.split(whole, most);
        List<Object> items = new ArrayList<>();
        for (Envelope part : parts) {
            assertThat(codec.write(part).length).as("seed %d", seed).isLessThanOrEqualTo(most);
            items.addAll(items(part));
        }
        assertThat(items).as("seed %d", seed).usingRecursiveComparison().isEqualTo(items(whole));
    }

    private static List<Object> items(Envelope e) {
        List<Object> all = new ArrayList<>();
        for (Note n : e.notes()) {
            if (n instanceof Note.Counts c) {
                all.addAll(c.counts());
            } else if (n instanceof Note.HealthReports s) {
                all.addAll(s.reports());
            } else if (n instanceof Note.Hello h) {
                all.addAll(h.rumours());
            } else if (n instanceof Note.HelloAnswer h) {
                all.addAll(h.rumours());
            } else {
                all.add(n);
            }
        }
        return all;
    }

    @Test
    void aLargePieceGoesAloneAndLongListsFillTheirEnvelopes() {
        List<Note.Count> counts = IntStream.range(0, 1000)
                .mapToObj(i -> new Note.Count("relay-" + i, 1_700_000_000_000L, "d:7", i, i, 10))
                .toList();
        Envelope whole = new Envelope(
                "f",
                1,
                "a",
                1,
                "b",
                0,
                List.of(
                        new Note.LoanReturn(1),
                        new Note.ConsensusMessage(new byte[5000]),
                        new Note.LoanReturn(2),
                        new Note.Counts(counts)));
        List<Envelope> parts = codec.split(whole, 1400);
        assertThat(parts.get(1).notes()).singleElement().isInstanceOf(Note.ConsensusMessage.class);
        assertThat(codec.write(parts.get(1)).length).isGreaterThan(5000);
        int all = codec.write(whole).length - 5000;
        assertThat(parts.size()).isLessThanOrEqualTo(all / 1300 + 4);
        assertThat(codec.split(new Envelope("f", 1, "a", 1, "b", 0, List.of()), 1400))
                .hasSize(1);
    }
}
