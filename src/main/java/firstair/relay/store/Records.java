package firstair.relay.store;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.Objects;
import java.util.stream.Stream;

/** The contents of the records in a file; {@link Framing} tells how they follow each other. */
final class Records {
    private static final int MAX_FIXED_BYTES = 64; // of a message: numbers, flags, and the lengths of its strings
    private static final int MAX_BYTES_PER_CHAR = 3; // of writeUTF
    private static final int MAX_TEXT_BYTES = 48 * 1024; // of the longest head of a request, with three bytes for each

    /** Receives the decoded records. */
    interface Reader {
        void accepted(StoredMessage taken);

        void attemptStarted(long id, StoredAttempt tried);

        void attemptEnded(long id, int attempt, boolean maybeRan);

        void pendingNotice(long id, PendingNotice owed);

        void completed(long id);

        void clock(StoredTimes.ClockReading mark);
    }

    private enum Type {
        TAKEN,
        CALLED,
        ENDED,
        OWED,
        OVER,
        CLOCK
    }

    private interface Content {
        void write(DataOutputStream out) throws IOException;
    }

    private Records() {}

    /** Upper bound for the size of {@link #accepted}. */
    static long maxAcceptedBytes(StoredMessage t) {
        long chars = Stream.of(t.requestId(), t.className(), t.key(), t.tenant(), t.booking())
                .filter(Objects::nonNull)
                .mapToLong(String::length)
                .sum();
        return MAX_FIXED_BYTES + MAX_BYTES_PER_CHAR * chars + t.body().length;
    }

    static byte[] accepted(StoredMessage t) {
        return record(Type.TAKEN, t.id(), out -> {
            out.writeUTF(t.requestId());
            out.writeUTF(t.className());
            out.writeInt(t.destination());
            out.writeBoolean(t.key() != null);
            out.writeUTF(t.key() == null ? "" : t.key());
            out.writeLong(t.deadlineAt());
            out.writeBoolean(t.resubmitted());
            out.writeBoolean(t.fromCrashedRelay());
            out.writeInt(t.body().length);
            out.write(t.body());
            if (t.tenant() != null || t.booking() != null) { // without both, the format is that of earlier versions
                out.writeUTF(t.tenant() == null ? "" : t.tenant());
                out.writeUTF(t.booking() == null ? "" : t.booking());
            }
        });
    }

    static byte[] attemptStarted(long id, StoredAttempt t) {
        return record(Type.CALLED, id, out -> {
            out.writeUTF(t.endpoint());
            out.writeLong(t.sentAt());
            out.writeBoolean(t.maybeRan());
            if (t.zone() != null) { // earlier versions did not record it
                out.writeUTF(t.zone());
            }
        });
    }

    static byte[] attemptEnded(long id, int attempt, boolean maybeRan) {
        return record(Type.ENDED, id, out -> {
            out.writeInt(attempt);
            out.writeBoolean(maybeRan);
        });
    }

    static byte[] pendingNotice(long id, PendingNotice o) {
        return record(Type.OWED, id, out -> {
            out.writeBoolean(o.handedBack());
            out.writeDouble(o.retryAfterMs());
        });
    }

    /** The clocks when a file is created; its stored times refer to them. */
    static byte[] clock(StoredTimes.ClockReading mark) {
        return record(Type.CLOCK, 0, out -> {
            out.writeUTF(mark.boot());
            out.writeLong(mark.nowMs());
            out.writeLong(mark.wallMs());
        });
    }

    static byte[] completed(long id) {
        return record(Type.OVER, id, out -> {});
    }

    private static byte[] record(Type type, long id, Content content) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeByte(type.ordinal());
            out.writeLong(id);
            content.write(out);
        } catch (IOException e) {
            throw new UncheckedIOException(e); // in-memory stream: only a string that exceeds the limit of writeUTF
        }
        return bytes.toByteArray();
    }

    /** Decodes the content of one record and passes it to the reader; false if its type or a field is unknown. */
    static boolean read(byte[] content, Reader reader) {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(content))) {
            int number = in.readByte();
            if (number < 0 || number >= Type.values().length) {
                return false;
            }
            Type type = Type.values()[number];
            long id = in.readLong();
            switch (type) {
                case TAKEN -> {
                    String requestId = in.readUTF();
                    String className = in.readUTF();
                    int destination = in.readInt();
                    boolean keyed = in.readBoolean();
                    String key = in.readUTF();
                    long deadlineAt = in.readLong();
                    boolean again = in.readBoolean();
                    boolean fromDead = in.readBoolean();
                    byte[] body = in.readNBytes(in.readInt());
                    String tenant = in.available() > 0 ? in.readUTF() : "";
                    String booking = in.available() > 0 ? in.readUTF() : "";
                    reader.accepted(new StoredMessage(
                            id,
                            requestId,
                            className,
                            destination,
                            keyed ? key : null,
                            deadlineAt,
                            again,
                            fromDead,
                            body,
                            tenant.isEmpty() ? null : tenant,
                            booking.isEmpty() ? null : booking));
                }
                case CALLED -> {
                    String endpoint = in.readUTF();
                    long sentAt = in.readLong();
                    boolean maybeRan = in.readBoolean();
                    String zone = in.available() > 0 ? in.readUTF() : null;
                    reader.attemptStarted(id, new StoredAttempt(endpoint, zone, sentAt, maybeRan));
                }
                case ENDED -> reader.attemptEnded(id, in.readInt(), in.readBoolean());
                case OWED -> reader.pendingNotice(id, new PendingNotice(in.readBoolean(), in.readDouble()));
                case OVER -> reader.completed(id);
                case CLOCK -> reader.clock(new StoredTimes.ClockReading(in.readUTF(), in.readLong(), in.readLong()));
                default -> throw new IllegalStateException(type.name());
            }
            return true;
        } catch (IOException | IllegalArgumentException e) {
            return false; // too short for its type, or with an impossible length
        }
    }

    /**
     * Whether a message whose content has this length is cut off behind these bytes. If they hold all its fields, it
     * is the length that is wrong.
     */
    static boolean isTruncatedMessage(ByteBuffer begin, int length) {
        int end = begin.position() + length;
        try {
            if (begin.get() != Type.TAKEN.ordinal()) {
                return false;
            }
            skip(begin, Long.BYTES);
            skipText(begin); // request id
            skipText(begin); // class
            skip(begin, Integer.BYTES + Byte.BYTES);
            skipText(begin); // key
            skip(begin, Long.BYTES + 2 * Byte.BYTES);
            int bodyBytes = begin.getInt();
            if (bodyBytes < 0 || bodyBytes > end - begin.position()) {
                return false;
            }
            skip(begin, bodyBytes);
            skipText(begin); // tenant
            skipText(begin); // booking
            return false;
        } catch (BufferUnderflowException e) {
            return true;
        }
    }

    /** Skips a string, unless it is longer than any that a client can send. */
    private static void skipText(ByteBuffer bytes) {
        int length = Short.toUnsignedInt(bytes.getShort());
        if (length <= MAX_TEXT_BYTES) {
            skip(bytes, length);
        }
    }

    private static void skip(ByteBuffer bytes, int count) {
        if (count > bytes.remaining()) {
            throw new BufferUnderflowException();
        }
        bytes.position(bytes.position() + count);
    }
}
