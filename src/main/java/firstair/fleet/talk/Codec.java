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
 * incarnation and notes; each note an array of the code of its kind and a map of its fields. Unknown kinds,
 * fields and enum values are skipped, so that newer programs can talk to older ones within one version.
 *
 * <p>Reading any bytes gives an envelope or a {@link Fault}, with memory use proportional to their length.
 */
public final class Codec {
    private static final int ENVELOPE_FIELDS = 7;
    private static final int BUFFER_BYTES = 1500; // size of a datagram
    private static final int LIST_LENGTH_BYTES =
            2; // a list header for up to 10,000 items is so much longer than an empty one
    private static final MessagePack.PackerConfig PACKER_CONFIG =
            new MessagePack.PackerConfig().withBufferSize(BUFFER_BYTES);

    /** Writes a note or an envelope to a packer. */
    private interface PackAction {
        void to(MessagePacker packer) throws IOException;
    }

    /** The list within a note, and a function that copies the note with another list. */
    private record SplittableList<T>(List<T> items, Function<List<T>, Note> with) {}

    /**
     * Encodes an envelope.
     *
     * @throws Fault.Unreadable where one of its values exceeds the bounds that readers check
     */
    public byte[] write(Envelope e) {
        return bytes(to -> write(e, to));
    }

    private static byte[] bytes(PackAction what) {
        try (MessageBufferPacker to = PACKER_CONFIG.newBufferPacker()) {
            what.to(to);
            return to.toByteArray();
        } catch (IOException e) {
            throw new Fault.Unreadable(e.toString()); // a memory buffer throws no IOException
        }
    }

    private static void write(Envelope e, MessagePacker to) throws IOException {
        if (e.notes().size() > Input.MAX_LIST_ITEMS) {
            throw new Fault.Unreadable(e.notes().size() + " notes");
        }
        to.packArrayHeader(ENVELOPE_FIELDS).packInt(e.version());
        FieldCodec.NAME.write(e.fleet(), to);
        FieldCodec.NAME.write(e.from(), to);
        FieldCodec.NON_NEGATIVE.write(e.incarnation(), to);
        FieldCodec.NAME.write(e.to(), to);
        FieldCodec.NON_NEGATIVE.write(e.toIncarnation(), to);
        to.packArrayHeader(e.notes().size());
        for (Note n : e.notes()) {
            write(n, to);
        }
    }

    private static void write(Note n, MessagePacker to) throws IOException {
        int code = NoteCodecs.code(n);
        to.packArrayHeader(2).packInt(code);
        write(NoteCodecs.codec(code), n, to);
    }

    @SuppressWarnings("unchecked") // the codec was looked up by the note's own class
    private static <N extends Note> void write(RecordCodec<N> form, Note n, MessagePacker to) throws IOException {
        form.write((N) n, to);
    }

    /**
     * Decodes an envelope.
     *
     * @throws Fault.OtherVersion where the bytes name another version
     * @throws Fault.Unreadable   where they are not an envelope, or a value in it exceeds its bounds
     */
    public Envelope read(byte[] bytes) {
        Input from = new Input(bytes);
        try {
            int parts = from.readListSize();
            if (parts < 1) {
                throw from.unreadable("an empty list");
            }
            int version = from.readInt();
            if (version != Envelope.VERSION) {
                throw new Fault.OtherVersion(version);
            }
            if (parts < ENVELOPE_FIELDS) {
                throw from.unreadable("a list of " + parts);
            }
            String fleet = from.readName();
            String sender = from.readName();
            long incarnation = FieldCodec.NON_NEGATIVE.read(from);
            String to = from.readName();
            long toIncarnation = FieldCodec.NON_NEGATIVE.read(from);
            List<Note> notes = notes(from);
            for (int i = ENVELOPE_FIELDS; i < parts; i++) {
                from.skip();
            }
            if (from.remaining() > 0) {
                throw from.unreadable("more behind the end");
            }
            return new Envelope(fleet, version, sender, incarnation, to, toIncarnation, notes);
        } catch (IOException | MessagePackException e) {
            throw from.unreadable(e.getClass().getSimpleName());
        }
    }

    private static List<Note> notes(Input from) throws IOException {
        int count = from.readListSize();
        List<Note> notes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int parts = from.readListSize();
            if (parts < 1) {
                throw from.unreadable("a note without a kind");
            }
            RecordCodec<? extends Note> form = NoteCodecs.codec(from.readLong());
            if (form != null && parts < 2) {
                throw from.unreadable("a note without fields");
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
     * Splits an envelope into ones of at most {@code most} bytes, keeping the order of notes. Lists within notes
     * are split where a note does not fit alone; any other note that is too large gets an envelope of its own above it.
     */
    public List<Envelope> split(Envelope whole, int most) {
        int room = most - write(with(whole, List.of())).length - LIST_LENGTH_BYTES;
        List<Envelope> all = new ArrayList<>();
        List<Note> notes = new ArrayList<>();
        int used = 0;
        for (Note note : whole.notes()) {
            for (Note n : pieces(note, room)) {
                int size = size(n);
                if (!notes.isEmpty() && (used + size > room || notes.size() == Input.MAX_LIST_ITEMS)) {
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
            return pieces(n, new SplittableList<>(h.rumours(), some -> new Note.Hello(h.nonce(), some)), room);
        } else if (n instanceof Note.HelloAnswer h) {
            return pieces(n, new SplittableList<>(h.rumours(), some -> new Note.HelloAnswer(h.nonce(), some)), room);
        } else if (n instanceof Note.Counts c) {
            return pieces(n, new SplittableList<>(c.counts(), Note.Counts::new), room);
        } else if (n instanceof Note.HealthReports s) {
            return pieces(n, new SplittableList<>(s.reports(), Note.HealthReports::new), room);
        }
        return List.of(n);
    }

    private static <T> List<Note> pieces(Note whole, SplittableList<T> cut, int room) {
        int empty = size(cut.with.apply(List.of()));
        List<Note> pieces = new ArrayList<>();
        List<T> some = new ArrayList<>();
        int used = empty + LIST_LENGTH_BYTES;
        for (T item : cut.items) {
            int size = size(cut.with.apply(List.of(item))) - empty;
            if (!some.isEmpty() && (used + size > room || some.size() == Input.MAX_LIST_ITEMS)) {
                pieces.add(cut.with.apply(List.copyOf(some)));
                some.clear();
                used = empty + LIST_LENGTH_BYTES;
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
