package firstair.relay.store;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * The file format: records, each with a marker, the length of its content, a checksum and the content. The marker lets
 * a reader find the next valid record after a damaged one.
 */
final class Records {
    static final int HEADER = 10;
    private static final short MARK = (short) 0xF1A1;

    /** Receives the decoded records. */
    interface Reader {
        void accepted(StoredMessage taken);

        void attemptStarted(long id, StoredAttempt tried);

        void attemptEnded(long id, int attempt, boolean maybeRan);

        void pendingNotice(long id, PendingNotice owed);

        void completed(long id);

        void clock(StoredTimes.ClockReading mark);
    }

    /** What was found besides valid records: damaged places, and bytes of an incomplete record at the end. */
    record ReadResult(int damaged, int truncatedBytes) {}

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
            out.write(new byte[HEADER]);
            out.writeByte(type.ordinal());
            out.writeLong(id);
            content.write(out);
        } catch (IOException e) {
            throw new UncheckedIOException(e); // in-memory stream: only a string that exceeds the limit of writeUTF
        }
        return withHeader(bytes.toByteArray());
    }

    /** Writes marker, length and checksum into the first {@link #HEADER} bytes of a record, reserved for them. */
    static byte[] withHeader(byte[] all) {
        ByteBuffer.wrap(all)
                .putShort(MARK)
                .putInt(all.length - HEADER)
                .putInt(checksum(all, HEADER, all.length - HEADER));
        return all;
    }

    private static int checksum(byte[] bytes, int offset, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, offset, length);
        return (int) crc.getValue();
    }

    /** Reads all valid records; skips damaged ones and drops an incomplete one at the end. */
    static ReadResult read(byte[] file, Reader reader) {
        int damaged = 0;
        int at = 0;
        int bad = -1; // start of unreadable bytes, or -1
        while (at < file.length) {
            int length = validLength(file, at);
            if (length < 0) {
                bad = bad < 0 ? at : bad;
                at++;
                continue;
            }
            if (bad >= 0) {
                damaged++;
                bad = -1;
            }
            if (!readContent(file, at + HEADER, length, reader)) {
                damaged++; // valid checksum, but unknown content
            }
            at += HEADER + length;
        }
        return new ReadResult(damaged, bad < 0 ? 0 : file.length - bad);
    }

    /** Whether the bytes from an offset on are the beginning of a record whose write was interrupted. */
    static boolean isTruncatedRecord(byte[] file, int at) {
        ByteBuffer rest = ByteBuffer.wrap(file, at, file.length - at);
        if (rest.remaining() < Short.BYTES) {
            return rest.get() == (byte) (MARK >> 8);
        }
        if (rest.getShort() != MARK) {
            return false;
        }
        return rest.remaining() < Integer.BYTES || rest.getInt() > file.length - at - HEADER;
    }

    /** Length of the content of the record at an offset, or -1 if there is no valid record. */
    static int validLength(byte[] file, int at) {
        if (file.length - at < HEADER) {
            return -1;
        }
        ByteBuffer header = ByteBuffer.wrap(file, at, HEADER);
        if (header.getShort() != MARK) {
            return -1;
        }
        int length = header.getInt();
        if (length <= 0 || length > file.length - at - HEADER) {
            return -1;
        }
        return header.getInt() == checksum(file, at + HEADER, length) ? length : -1;
    }

    /** Decodes one record and passes it to the reader; false if its type or content is unknown. */
    private static boolean readContent(byte[] file, int at, int length, Reader reader) {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(file, at, length))) {
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
                case CALLED ->
                    reader.attemptStarted(id, new StoredAttempt(in.readUTF(), in.readLong(), in.readBoolean()));
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
}
