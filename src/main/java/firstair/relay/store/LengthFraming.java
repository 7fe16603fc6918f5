package firstair.relay.store;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.zip.CRC32C;

/**
 * Records with a marker, the length of the content, a checksum and the content: the framing of {@link LedgerFile}, and
 * of {@link Store}'s files by earlier versions. A content may hold bytes in the form of a record, so a reader that has
 * lost its place in a file of messages may take them for one. {@link DelimiterFraming} cannot.
 */
final class LengthFraming implements Framing {
    static final LengthFraming INSTANCE = new LengthFraming();
    static final int HEADER = 10;

    private static final short MARK = (short) 0xF1A1;

    private LengthFraming() {}

    static boolean startsWithMark(byte[] file) {
        return file.length >= Short.BYTES && ByteBuffer.wrap(file).getShort() == MARK;
    }

    @Override
    public byte[] frame(byte[] content) {
        return ByteBuffer.allocate(HEADER + content.length)
                .putShort(MARK)
                .putInt(content.length)
                .putInt(checksum(content, 0, content.length))
                .put(content)
                .array();
    }

    private static int checksum(byte[] bytes, int offset, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, offset, length);
        return (int) crc.getValue();
    }

    @Override
    public ReadResult read(byte[] file, ContentReader reader) {
        int damaged = 0;
        int at = 0;
        int bad = -1; // start of unreadable bytes, or -1
        while (at < file.length) {
            int length = validLength(file, at);
            if (length < 0) {
                if (bad < 0 && isTruncatedMessage(file, at)) {
                    return new ReadResult(damaged, file.length - at);
                }
                bad = bad < 0 ? at : bad;
                at++;
                continue;
            }
            if (bad >= 0) {
                damaged++;
                bad = -1;
            }
            if (!reader.read(Arrays.copyOfRange(file, at + HEADER, at + HEADER + length))) {
                damaged++; // valid checksum, but unknown content
            }
            at += HEADER + length;
        }
        return new ReadResult(damaged, bad < 0 ? 0 : file.length - bad);
    }

    /**
     * Whether a message that was cut off at the end of the file begins behind the last valid record. What follows is
     * its content, and no place to look for records.
     */
    private static boolean isTruncatedMessage(byte[] file, int at) {
        if (file.length - at < HEADER || !isTruncatedRecord(file, at)) {
            return false;
        }
        int length = ByteBuffer.wrap(file, at + Short.BYTES, Integer.BYTES).getInt();
        return Records.isTruncatedMessage(ByteBuffer.wrap(file, at + HEADER, file.length - at - HEADER), length);
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
}
