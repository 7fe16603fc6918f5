package firstair.fleet.talk;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/** The codecs of all notes by their codes. A code is never reused: a kind that is removed leaves a gap. */
final class NoteCodecs {
    private static final Map<Integer, RecordCodec<? extends Note>> BY_CODE = new LinkedHashMap<>();
    private static final Map<Class<? extends Note>, Integer> CODES = new LinkedHashMap<>();

    private static final RecordCodec<Note.Rumour> RUMOUR = new RecordCodec<>(
            r -> List.of(r.member(), r.incarnation(), r.refutation(), r.status()),
            v -> new Note.Rumour((String) v[0], (long) v[1], (int) v[2], (Note.Status) v[3]),
            FieldCodec.NAME,
            FieldCodec.NON_NEGATIVE,
            FieldCodec.COUNT,
            FieldCodec.enumeration(Note.Status.class));
    private static final RecordCodec<Note.Count> COUNT = new RecordCodec<>(
            c -> List.of(c.member(), c.incarnation(), c.name(), c.second(), c.total(), c.ageMs()),
            v -> new Note.Count((String) v[0], (long) v[1], (String) v[2], (long) v[3], (long) v[4], (double) v[5]),
            FieldCodec.NAME,
            FieldCodec.NON_NEGATIVE,
            FieldCodec.NAME,
            FieldCodec.SIGNED,
            FieldCodec.NON_NEGATIVE,
            FieldCodec.SPAN);
    private static final RecordCodec<Note.HealthReport> SIGN = new RecordCodec<>(
            s -> List.of(
                    s.reporter(),
                    s.incarnation(),
                    s.subject(),
                    s.observation(),
                    s.calls(),
                    s.ageMs(),
                    s.validMs(),
                    s.successRate()),
            v -> new Note.HealthReport(
                    (String) v[0],
                    (long) v[1],
                    (String) v[2],
                    (Note.Observation) v[3],
                    (int) v[4],
                    (double) v[5],
                    (double) v[6],
                    (double) v[7]),
            FieldCodec.NAME,
            FieldCodec.NON_NEGATIVE,
            FieldCodec.NAME,
            FieldCodec.enumeration(Note.Observation.class),
            FieldCodec.COUNT,
            FieldCodec.SPAN,
            FieldCodec.SPAN,
            FieldCodec.SHARE);

    static {
        FieldCodec<List<Note.Rumour>> rumours = FieldCodec.list(RUMOUR);
        add(
                1,
                Note.Hello.class,
                n -> List.of(n.nonce(), n.rumours()),
                v -> new Note.Hello((long) v[0], asList(v[1])),
                FieldCodec.SIGNED,
                rumours);
        add(
                2,
                Note.HelloAnswer.class,
                n -> List.of(n.nonce(), n.rumours()),
                v -> new Note.HelloAnswer((long) v[0], asList(v[1])),
                FieldCodec.SIGNED,
                rumours);
        add(
                3,
                Note.ProbeRequest.class,
                n -> List.of(n.nonce(), n.member()),
                v -> new Note.ProbeRequest((long) v[0], (String) v[1]),
                FieldCodec.SIGNED,
                FieldCodec.NAME);
        add(
                4,
                Note.ProbeAnswer.class,
                n -> List.of(n.nonce(), n.member(), n.incarnation()),
                v -> new Note.ProbeAnswer((long) v[0], (String) v[1], (long) v[2]),
                FieldCodec.SIGNED,
                FieldCodec.NAME,
                FieldCodec.NON_NEGATIVE);
        add(5, Note.Leaving.class, n -> List.of(), v -> new Note.Leaving());
        add(
                6,
                Note.LeaseRequest.class,
                n -> List.of(n.nonce(), n.of()),
                v -> new Note.LeaseRequest((long) v[0], (String) v[1]),
                FieldCodec.SIGNED,
                FieldCodec.NAME);
        add(
                7,
                Note.LeaseAnswer.class,
                n -> List.of(n.nonce(), n.of(), n.granted()),
                v -> new Note.LeaseAnswer((long) v[0], (String) v[1], (boolean) v[2]),
                FieldCodec.SIGNED,
                FieldCodec.NAME,
                FieldCodec.FLAG);
        add(
                8,
                Note.LeaseRelease.class,
                n -> List.of(n.nonce(), n.of()),
                v -> new Note.LeaseRelease((long) v[0], (String) v[1]),
                FieldCodec.SIGNED,
                FieldCodec.NAME);
        add(
                9,
                Note.LoanRequest.class,
                n -> List.of(n.nonce(), n.budget(), n.parts()),
                v -> new Note.LoanRequest((long) v[0], (String) v[1], (int) v[2]),
                FieldCodec.SIGNED,
                FieldCodec.NAME,
                FieldCodec.COUNT);
        add(
                10,
                Note.Loan.class,
                n -> List.of(n.nonce(), n.number(), n.budget(), n.parts(), n.termMs()),
                v -> new Note.Loan((long) v[0], (long) v[1], (String) v[2], (int) v[3], (double) v[4]),
                FieldCodec.SIGNED,
                FieldCodec.SIGNED,
                FieldCodec.NAME,
                FieldCodec.COUNT,
                FieldCodec.SPAN);
        add(
                11,
                Note.LoanReturn.class,
                n -> List.of(n.number()),
                v -> new Note.LoanReturn((long) v[0]),
                FieldCodec.SIGNED);
        add(
                12,
                Note.RetryTransfer.class,
                n -> List.of(n.number(), n.budget(), n.retries()),
                v -> new Note.RetryTransfer((long) v[0], (String) v[1], (int) v[2]),
                FieldCodec.SIGNED,
                FieldCodec.NAME,
                FieldCodec.COUNT);
        add(
                13,
                Note.Counts.class,
                n -> List.of(n.counts()),
                v -> new Note.Counts(asList(v[0])),
                FieldCodec.list(COUNT));
        add(
                14,
                Note.HealthReports.class,
                n -> List.of(n.reports()),
                v -> new Note.HealthReports(asList(v[0])),
                FieldCodec.list(SIGN));
        add(
                15,
                Note.StateRequest.class,
                n -> List.of(n.nonce(), n.version()),
                v -> new Note.StateRequest((long) v[0], (long) v[1]),
                FieldCodec.SIGNED,
                FieldCodec.NON_NEGATIVE);
        add(
                16,
                Note.StateChunk.class,
                n -> List.of(n.nonce(), n.version(), n.linearizable(), n.chunk(), n.chunks(), n.bytes()),
                v -> new Note.StateChunk(
                        (long) v[0], (long) v[1], (boolean) v[2], (int) v[3], (int) v[4], (byte[]) v[5]),
                FieldCodec.SIGNED,
                FieldCodec.NON_NEGATIVE,
                FieldCodec.FLAG,
                FieldCodec.COUNT,
                FieldCodec.COUNT,
                FieldCodec.BYTES);
        add(
                17,
                Note.ConsensusMessage.class,
                n -> List.of(n.bytes()),
                v -> new Note.ConsensusMessage((byte[]) v[0]),
                FieldCodec.BYTES);
        add(
                18,
                Note.Propose.class,
                n -> List.of(n.nonce(), n.operation()),
                v -> new Note.Propose((long) v[0], (byte[]) v[1]),
                FieldCodec.SIGNED,
                FieldCodec.BYTES);
        add(
                19,
                Note.Proposed.class,
                n -> List.of(n.nonce(), n.done(), n.result(), n.retryAfterMs()),
                v -> new Note.Proposed((long) v[0], (boolean) v[1], (byte[]) v[2], (double) v[3]),
                FieldCodec.SIGNED,
                FieldCodec.FLAG,
                FieldCodec.BYTES,
                FieldCodec.SPAN);
    }

    private NoteCodecs() {}

    private static <N extends Note> void add(
            int code,
            Class<N> kind,
            Function<N, List<Object>> take,
            Function<Object[], N> make,
            FieldCodec<?>... fields) {
        BY_CODE.put(code, new RecordCodec<>(take, make, fields));
        CODES.put(kind, code);
    }

    @SuppressWarnings("unchecked") // the list codec of this field has checked its items
    private static <T> List<T> asList(Object value) {
        return (List<T>) value;
    }

    /** The code of a note's kind. */
    static int code(Note note) {
        return CODES.get(note.getClass());
    }

    /** The codec of a kind, or null if only later versions define it. */
    static RecordCodec<? extends Note> codec(long code) {
        return code < 0 || code > Integer.MAX_VALUE ? null : BY_CODE.get((int) code);
    }
}
