package firstair.fleet.talk;

import firstair.fleet.fault.Fault;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;

/**
 * Writes and reads {@link Envelope}s as MessagePack: an array of version, fleet, sender, its incarnation, receiver, its
 * incarnation and notes; each note an array of the code of its kind and a map of its fields. Kinds, fields and words
 * that only later programs know are passed over, so that these can talk to earlier ones within one version.
 *
 * <p>Any bytes end in an envelope or in a {@link Fault}, and take memory in proportion to their own number only.
 */
public final class Codec {
    private static final int PARTS = 7;
    private static final int ROOM = 1500; // a datagram
    private static final int COUNTED = 2; // a list of up to 10,000 says its length in so many bytes more than an empty
    private static final MessagePack.PackerConfig PACKING = new MessagePack.PackerConfig().withBufferSize(ROOM);

    /** Where a note or an envelope is written. */
    private interface Writing {
        void to(MessagePacker packer) throws IOException;
    }

    /** The list within a note, and how to make the same note with another list. */
    private record Cut<T>(List<T> items, Function<List<T>, Note> with) {}

    /**
     * The bytes of an envelope.
     *
     * @throws Fault.Unreadable where one of its values passes the bounds that readers check
     */
    public byte[] write(Envelope e) {
        return bytes(to -> write(e, to));
    }

    private static byte[] bytes(Writing what) {
        try (MessageBufferPacker to = PACKING.newBufferPacker()) {
            what.to(to);
            return to.toByteArray();
        } catch (IOException e) {
            throw new Fault.Unreadable(e.toString()); // memory does not fail so
        }
    }

    private static void write(Envelope e, MessagePacker to) throws IOException {
        if (e.notes().size() > Input.MOST_ITEMS) {
            throw new Fault.Unreadable(e.notes().size() + " notes");
        }
        to.packArrayHeader(PARTS).packInt(e.version());
        Field.NAME.write(e.fleet(), to);
        Field.NAME.write(e.from(), to);
        Field.NATURAL.write(e.incarnation(), to);
        Field.NAME.write(e.to(), to);
        Field.NATURAL.write(e.toIncarnation(), to);
        to.packArrayHeader(e.notes().size());
        for (Note n : e.notes()) {
            write(n, to);
        }
    }

    private static void write(Note n, MessagePacker to) throws IOException {
        int code = Forms.code(n);
        to.packArrayHeader(2).packInt(code);
        write(Forms.form(code), n, to);
    }

    @SuppressWarnings("unchecked") // the form was found by the note's own class
    private static <N extends Note> void write(Form<N> form, Note n, MessagePacker to) throws IOException {
        form.write((N) n, to);
    }

    /**
     * The envelope that some bytes are.
     *
     * @throws Fault.OtherVersion where they name another version
     * @throws Fault.Unreadable   where they are no envelope, or something in it passes its bounds
     */
    public Envelope read(byte[] bytes) {
        Input from = new Input(bytes);
        try {
            int parts = from.items();
            if (parts < 1) {
                throw from.bad("an empty list");
            }
            int version = from.small();
            if (version != Envelope.VERSION) {
                throw new Fault.OtherVersion(version);
            }
            if (parts < PARTS) {
                throw from.bad("a list of " + parts);
            }
            String fleet = from.name();
            String sender = from.name();
            long incarnation = Field.NATURAL.read(from);
            String to = from.name();
            long toIncarnation = Field.NATURAL.read(from);
            List<Note> notes = notes(from);
            for (int i = PARTS; i < parts; i++) {
                from.skip();
            }
            if (from.left() > 0) {
                throw from.bad("more behind the end");
            }
            return new Envelope(fleet, version, sender, incarnation, to, toIncarnation, notes);
        } catch (IOException | MessagePackException e) {
            throw from.bad(e.getClass().getSimpleName());
        }
    }

    private static List<Note> notes(Input from) throws IOException {
        int count = from.items();
        List<Note> notes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int parts = from.items();
            if (parts < 1) {
                throw from.bad("a note without a kind");
            }
            Form<? extends Note> form = Forms.form(from.whole());
            if (form != null && parts < 2) {
                throw from.bad("a note without fields");
            }
            if (form != null) {
                Note n = form.read(from);
                if (n != null) {
                    notes.add(n);
                }
            }
            for (int rest = form == null ? 1 : 2; rest < parts; rest++) {
                from.skip();
            }
        }
        return List.copyOf(notes);
    }

    /**
     * The same notes in the same order in envelopes of at most {@code most} bytes each. Lists within notes are cut up
     * where a note does not fit alone; any other note that is too large goes alone, in an envelope larger than that.
     */
    public List<Envelope> split(Envelope whole, int most) {
        int room = most - write(with(whole, List.of())).length - COUNTED;
        List<Envelope> all = new ArrayList<>();
        List<Note> notes = new ArrayList<>();
        int used = 0;
        for (Note note : whole.notes()) {
            for (Note n : pieces(note, room)) {
                int size = size(n);
                if (!notes.isEmpty() && (used + size > room || notes.size() == Input.MOST_ITEMS)) {
                    all.add(with(whole, notes));
                    notes = new ArrayList<>();
                    used = 0;
                }
                notes.add(n);
                used += size;
            }
        }
        if (!notes.isEmpty() || all.isEmpty()) {
            all.add(with(whole, notes));
        }
        return all;
    }

    private static Envelope with(Envelope e, List<Note> notes) {
        return new Envelope(
                e.fleet(), e.version(), e.from(), e.incarnation(), e.to(), e.toIncarnation(), List.copyOf(notes));
    }

    private static int size(Note n) {
        return bytes(to -> write(n, to)).length;
    }

    private static List<Note> pieces(Note n, int room) {
        if (n instanceof Note.Hello h) {
            return pieces(n, new Cut<>(h.rumours(), some -> new Note.Hello(h.nonce(), some)), room);
        } else if (n instanceof Note.HelloAnswer h) {
            return pieces(n, new Cut<>(h.rumours(), some -> new Note.HelloAnswer(h.nonce(), some)), room);
        } else if (n instanceof Note.Counts c) {
            return pieces(n, new Cut<>(c.counts(), Note.Counts::new), room);
        } else if (n instanceof Note.HealthReports s) {
            return pieces(n, new Cut<>(s.reports(), Note.HealthReports::new), room);
        }
        return List.of(n);
    }

    private static <T> List<Note> pieces(Note whole, Cut<T> cut, int room) {
        int empty = size(cut.with.apply(List.of()));
        List<Note> pieces = new ArrayList<>();
        List<T> some = new ArrayList<>();
        int used = empty + COUNTED;
        for (T item : cut.items) {
            int size = size(cut.with.apply(List.of(item))) - empty;
            if (!some.isEmpty() && (used + size > room || some.size() == Input.MOST_ITEMS)) {
                pieces.add(cut.with.apply(List.copyOf(some)));
                some.clear();
                used = empty + COUNTED;
            }
            some.add(item);
            used += size;
        }
        if (pieces.isEmpty()) {
            return List.of(whole);
        }
        pieces.add(cut.with.apply(List.copyOf(some)));
        return pieces;
    }
}
