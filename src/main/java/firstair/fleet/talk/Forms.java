package firstair.fleet.talk;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/** The forms of all notes and their codes. A code stays with its kind for ever; a kind that ends leaves a gap. */
final class Forms {
    private static final Map<Integer, Form<? extends Note>> BY_CODE = new LinkedHashMap<>();
    private static final Map<Class<? extends Note>, Integer> CODES = new LinkedHashMap<>();

    private static final Form<Note.Rumour> RUMOUR = new Form<>(
            r -> List.of(r.member(), r.incarnation(), r.refutation(), r.status()),
            v -> new Note.Rumour((String) v[0], (long) v[1], (int) v[2], (Note.Status) v[3]),
            Field.NAME,
            Field.NATURAL,
            Field.COUNT,
            Field.word(Note.Status.class));
    private static final Form<Note.Count> COUNT = new Form<>(
            c -> List.of(c.member(), c.incarnation(), c.name(), c.second(), c.total(), c.ageMs()),
            v -> new Note.Count((String) v[0], (long) v[1], (String) v[2], (long) v[3], (long) v[4], (double) v[5]),
            Field.NAME,
            Field.NATURAL,
            Field.NAME,
            Field.ANY,
            Field.NATURAL,
            Field.SPAN);
    private static final Form<Note.HealthReport> SIGN = new Form<>(
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
            Field.NAME,
            Field.NATURAL,
            Field.NAME,
            Field.word(Note.Observation.class),
            Field.COUNT,
            Field.SPAN,
            Field.SPAN,
            Field.SHARE);

    static {
        Field<List<Note.Rumour>> rumours = Field.list(RUMOUR);
        add(
                1,
                Note.Hello.class,
                n -> List.of(n.nonce(), n.rumours()),
                v -> new Note.Hello((long) v[0], listed(v[1])),
                Field.ANY,
                rumours);
        add(
                2,
                Note.HelloAnswer.class,
                n -> List.of(n.nonce(), n.rumours()),
                v -> new Note.HelloAnswer((long) v[0], listed(v[1])),
                Field.ANY,
                rumours);
        add(
                3,
                Note.ProbeRequest.class,
                n -> List.of(n.nonce(), n.member()),
                v -> new Note.ProbeRequest((long) v[0], (String) v[1]),
                Field.ANY,
                Field.NAME);
        add(
                4,
                Note.ProbeAnswer.class,
                n -> List.of(n.nonce(), n.member(), n.incarnation()),
                v -> new Note.ProbeAnswer((long) v[0], (String) v[1], (long) v[2]),
                Field.ANY,
                Field.NAME,
                Field.NATURAL);
        add(5, Note.Leaving.class, n -> List.of(), v -> new Note.Leaving());
        add(
                6,
                Note.LeaseRequest.class,
                n -> List.of(n.nonce(), n.of()),
                v -> new Note.LeaseRequest((long) v[0], (String) v[1]),
                Field.ANY,
                Field.NAME);
        add(
                7,
                Note.LeaseAnswer.class,
                n -> List.of(n.nonce(), n.of(), n.granted()),
                v -> new Note.LeaseAnswer((long) v[0], (String) v[1], (boolean) v[2]),
                Field.ANY,
                Field.NAME,
                Field.FLAG);
        add(
                8,
                Note.LeaseRelease.class,
                n -> List.of(n.nonce(), n.of()),
                v -> new Note.LeaseRelease((long) v[0], (String) v[1]),
                Field.ANY,
                Field.NAME);
        add(
                9,
                Note.LoanRequest.class,
                n -> List.of(n.nonce(), n.budget(), n.parts()),
                v -> new Note.LoanRequest((long) v[0], (String) v[1], (int) v[2]),
                Field.ANY,
                Field.NAME,
                Field.COUNT);
        add(
                10,
                Note.Loan.class,
                n -> List.of(n.nonce(), n.number(), n.budget(), n.parts(), n.termMs()),
                v -> new Note.Loan((long) v[0], (long) v[1], (String) v[2], (int) v[3], (double) v[4]),
                Field.ANY,
                Field.ANY,
                Field.NAME,
                Field.COUNT,
                Field.SPAN);
        add(11, Note.LoanReturn.class, n -> List.of(n.number()), v -> new Note.LoanReturn((long) v[0]), Field.ANY);
        add(
                12,
                Note.RetryTransfer.class,
                n -> List.of(n.number(), n.budget(), n.retries()),
                v -> new Note.RetryTransfer((long) v[0], (String) v[1], (int) v[2]),
                Field.ANY,
                Field.NAME,
                Field.COUNT);
        add(13, Note.Counts.class, n -> List.of(n.counts()), v -> new Note.Counts(listed(v[0])), Field.list(COUNT));
        add(
                14,
                Note.HealthReports.class,
                n -> List.of(n.reports()),
                v -> new Note.HealthReports(listed(v[0])),
                Field.list(SIGN));
        add(
                15,
                Note.StateRequest.class,
                n -> List.of(n.nonce(), n.version()),
                v -> new Note.StateRequest((long) v[0], (long) v[1]),
                Field.ANY,
                Field.NATURAL);
        add(
                16,
                Note.StateChunk.class,
                n -> List.of(n.nonce(), n.version(), n.linearizable(), n.chunk(), n.chunks(), n.bytes()),
                v -> new Note.StateChunk(
                        (long) v[0], (long) v[1], (boolean) v[2], (int) v[3], (int) v[4], (byte[]) v[5]),
                Field.ANY,
                Field.NATURAL,
                Field.FLAG,
                Field.COUNT,
                Field.COUNT,
                Field.BYTES);
        add(
                17,
                Note.ConsensusMessage.class,
                n -> List.of(n.bytes()),
                v -> new Note.ConsensusMessage((byte[]) v[0]),
                Field.BYTES);
        add(
                18,
                Note.Propose.class,
                n -> List.of(n.nonce(), n.operation()),
                v -> new Note.Propose((long) v[0], (byte[]) v[1]),
                Field.ANY,
                Field.BYTES);
        add(
                19,
                Note.Proposed.class,
                n -> List.of(n.nonce(), n.done(), n.result(), n.retryAfterMs()),
                v -> new Note.Proposed((long) v[0], (boolean) v[1], (byte[]) v[2], (double) v[3]),
                Field.ANY,
                Field.FLAG,
                Field.BYTES,
                Field.SPAN);
    }

    private Forms() {}

    private static <N extends Note> void add(
            int code, Class<N> kind, Function<N, List<Object>> take, Function<Object[], N> make, Field<?>... fields) {
        BY_CODE.put(code, new Form<>(take, make, fields));
        CODES.put(kind, code);
    }

    @SuppressWarnings("unchecked") // the field in its place has read a list of them
    private static <T> List<T> listed(Object value) {
        return (List<T>) value;
    }

    /** The code of a note's kind. */
    static int code(Note note) {
        return CODES.get(note.getClass());
    }

    /** The form of a kind, or null if only later versions know it. */
    static Form<? extends Note> form(long code) {
        return code < 0 || code > Integer.MAX_VALUE ? null : BY_CODE.get((int) code);
    }
}
