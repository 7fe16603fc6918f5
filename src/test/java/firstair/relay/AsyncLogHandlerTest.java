package firstair.relay;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.relay.standin.Await;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Formatter;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class AsyncLogHandlerTest {
    private static final Formatter MESSAGE_ONLY = new Formatter() {
        @Override
        public String format(LogRecord record) {
            return record.getMessage() + "\n";
        }
    };

    @Test
    void loggingNeverBlocksAndDroppedLinesAreReported() {
        CountDownLatch readable = new CountDownLatch(1);
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        AsyncLogHandler handler = new AsyncLogHandler(
                new OutputStream() {
                    @Override
                    public void write(int b) throws IOException {
                        write(new byte[] {(byte) b}, 0, 1);
                    }

                    @Override
                    public void write(byte[] b, int offset, int length) throws IOException {
                        try {
                            readable.await();
                        } catch (InterruptedException e) {
                            throw new IOException(e);
                        }
                        synchronized (written) {
                            written.write(b, offset, length);
                        }
                    }
                },
                MESSAGE_ONLY,
                1000);
        for (int i = 0; i < 10_000; i++) {
            handler.publish(new LogRecord(Level.INFO, "line " + i));
        }
        handler.drain(1); // the output is blocked, and this must not wait for it
        readable.countDown();
        Await.until("the report of dropped lines", () -> {
            synchronized (written) {
                return written.toString(StandardCharsets.UTF_8).contains("lost");
            }
        });
        handler.drain(10_000);
        String[] lines = written.toString(StandardCharsets.UTF_8).split("\n");
        assertThat(lines[0]).isEqualTo("line 0");
        long counted = 0;
        for (String line : lines) {
            counted += line.contains(" lines of the log were lost") ? Long.parseLong(line.split(" ")[0]) : 1;
        }
        assertThat(counted).isEqualTo(10_000);
    }
}
