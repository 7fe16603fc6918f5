package firstair.relay.store;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.zip.CRC32C;

/**
 * Records between delimiters. Consistent Overhead Byte Stuffing (Cheshire and Baker, IEEE/ACM Transactions on
 * Networking 7(2), 1999) removes the delimiter, a zero byte, from checksum and content. So a reader that has lost its
 * place finds the next record, and never takes bytes of a content, which clients choose, for a record.
 */
final class DelimiterFraming implements Framing {
    static final DelimiterFraming INSTANCE = new DelimiterFraming();

    private static final byte DELIMITER = 0;
    private static final int DELIMITERS = 2; // before and after each record: damage next to it does not affect it
    private static final int FULL_BLOCK = 0xFF; // code of a block of 254 bytes that no zero byte follows
    private static final int MAX_BLOCK_BYTES = FULL_BLOCK - 1;

    private DelimiterFraming() {}

    /** Upper bound for the size of a record with a content of this size. */
    static long maxFrameBytes(long contentBytes) {
        long stuffed = contentBytes + Integer.BYTES;
        return DELIMITERS + stuffed + stuffed / MAX_BLOCK_BYTES + 1;
    }

    @Override
    public byte[] frame(byte[] content) {
        byte[] checked = ByteBuffer.allocate(Integer.BYTES + content.length)
                .putInt(checksum(content, 0))
                .put(content)
                .array();
        byte[] framed = new byte[(int) maxFrameBytes(content.length)];
        int end = stuff(checked, framed, 1);
        return Arrays.copyOf(framed, end + 1); // the delimiters are the zeros of the new array
    }

    /** Writes data without zero bytes from an offset on; returns the offset behind it. */
    private static int stuff(byte[] data, byte[] out, int from) {
        int codeAt = from;
        int at = from + 1;
        for (byte b : data) {
            if (b != DELIMITER) {
                out[at++] = b;
            }
            if (b == DELIMITER || at - codeAt == FULL_BLOCK) {
                out[codeAt] = (byte) (at - codeAt);
                codeAt = at++;
            }
        }
        out[codeAt] = (byte) (at - codeAt);
        return at;
    }

    @Override
    public ReadResult read(byte[] file, ContentReader reader) {
        int damaged = 0;
        boolean inDamage = false;
        int from = 0;
        for (int at = 0; at < file.length; at++) {
            if (file[at] != DELIMITER) {
                continue;
            }
            if (at > from) {
                byte[] content = content(file, from, at);
                boolean valid = content != null && reader.read(content);
                damaged += valid || inDamage && content == null ? 0 : 1;
                inDamage = content == null;
            }
            from = at + 1;
        }
        return new ReadResult(damaged, file.length - from);
    }

    /** The content of the record between two delimiters, or null if it is damaged. */
    private static byte[] content(byte[] file, int from, int to) {
        byte[] checked = unstuff(file, from, to);
        if (checked == null || checked.length <= Integer.BYTES) {
            return null;
        }
        boolean valid = ByteBuffer.wrap(checked).getInt() == checksum(checked, Integer.BYTES);
        return valid ? Arrays.copyOfRange(checked, Integer.BYTES, checked.length) : null;
    }

    private static byte[] unstuff(byte[] file, int from, int to) {
        byte[] data = new byte[to - from];
        int length = 0;
        for (int at = from; at < to; ) {
            int code = file[at] & 0xFF;
            int end = at + code;
            if (end > to) {
                return null;
            }
            System.arraycopy(file, at + 1, data, length, code - 1);
            length += code - 1;
            if (code < FULL_BLOCK && end < to) {
                length++; // the zero byte that ended the block
            }
            at = end;
        }
        return Arrays.copyOf(data, length);
    }

    private static int checksum(byte[] bytes, int from) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, from, bytes.length - from);
        return (int) crc.getValue();
    }
}
