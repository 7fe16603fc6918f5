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
            c -> List.of(c.member(), c.incarnation(), c.what(), c.second(), c.total(), c.ageMs()),
            v -> new Note.Count((String) v[0], (long) v[1], (String) v[2], (long) v[3], (long) v[4], (double) v[5]),
            Field.NAME,
            Field.NATURAL,
            Field.NAME,
            Field.ANY,
            Field.NATURAL,
            Field.SPAN);
    private static final Form<Note.Sign> SIGN = new Form<>(
            s -> List.of(s.by(), s.incarnation(), s.subject(), s.sight(), s.calls(), s.ageMs(), s.holdsMs(), s.reach()),
            v -> new Note.Sign(
                    (String) v[0],
                    (long) v[1],
                    (String) v[2],
                    (Note.Sight) v[3],
                    (int) v[4],
                    (double) v[5],
                    (double) v[6],
                    (double) v[7]),
            Field.NAME,
            Field.NATURAL,
            Field.NAME,
            Field.word(Note.Sight.class),
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
                Note.HelloBack.class,
                n -> List.of(n.nonce(), n.rumours()),
                v -> new Note.HelloBack((long) v[0], listed(v[1])),
                Field.ANY,
                rumours);
        add(
                3,
                Note.AskAbout.class,
                n -> List.of(n.nonce(), n.member()),
                v -> new Note.AskAbout((long) v[0], (String) v[1]),
                Field.ANY,
                Field.NAME);
        add(
                4,
                Note.HeardOf.class,
                n -> List.of(n.nonce(), n.member(), n.incarnation()),
                v -> new Note.HeardOf((long) v[0], (String) v[1], (long) v[2]),
                Field.ANY,
                Field.NAME,
                Field.NATURAL);
        add(5, Note.Leaving.class, n -> List.of(), v -> new Note.Leaving());
        add(
                6,
                Note.StandingAsk.class,
                n -> List.of(n.nonce(), n.of()),
                v -> new Note.StandingAsk((long) v[0], (String) v[1]),
                Field.ANY,
                Field.NAME);
        add(
                7,
                Note.StandingAnswer.class,
                n -> List.of(n.nonce(), n.of(), n.granted()),
                v -> new Note.StandingAnswer((long) v[0], (String) v[1], (boolean) v[2]),
                Field.ANY,
                Field.NAME,
                Field.FLAG);
        add(
                8,
                Note.StandingBack.class,
                n -> List.of(n.nonce(), n.of()),
                v -> new Note.StandingBack((long) v[0], (String) v[1]),
                Field.ANY,
                Field.NAME);
        add(
                9,
                Note.LoanAsk.class,
                n -> List.of(n.nonce(), n.budget(), n.parts()),
                v -> new Note.LoanAsk((long) v[0], (String) v[1], (int) v[2]),
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
        add(11, Note.LoanBack.class, n -> List.of(n.number()), v -> new Note.LoanBack((long) v[0]), Field.ANY);
        add(
                12,
                Note.Gift.class,
                n -> List.of(n.number(), n.budget(), n.repeats()),
                v -> new Note.Gift((long) v[0], (String) v[1], (int) v[2]),
                Field.ANY,
                Field.NAME,
                Field.COUNT);
        add(13, Note.Counts.class, n -> List.of(n.counts()), v -> new Note.Counts(listed(v[0])), Field.list(COUNT));
        add(14, Note.Signs.class, n -> List.of(n.signs()), v -> new Note.Signs(listed(v[0])), Field.list(SIGN));
        add(
                15,
                Note.AgreedAsk.class,
                n -> List.of(n.nonce(), n.version()),
                v -> new Note.AgreedAsk((long) v[0], (long) v[1]),
                Field.ANY,
                Field.NATURAL);
        add(
                16,
                Note.Agreed.class,
                n -> List.of(n.nonce(), n.version(), n.sure(), n.piece(), n.pieces(), n.bytes()),
                v -> new Note.Agreed((long) v[0], (long) v[1], (boolean) v[2], (int) v[3], (int) v[4], (byte[]) v[5]),
                Field.ANY,
                Field.NATURAL,
                Field.FLAG,
                Field.COUNT,
                Field.COUNT,
                Field.BYTES);
        add(17, Note.Engine.class, n -> List.of(n.bytes()), v -> new Note.Engine((byte[]) v[0]), Field.BYTES);
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
                n -> List.of(n.nonce(), n.done(), n.result(), n.againAfterMs()),
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
