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
class LineHandlerTest {
    private static final Formatter PLAIN = new Formatter() {
        @Override
        public String format(LogRecord record) {
            return record.getMessage() + "\n";
        }
    };

    @Test
    void whoLogsNeverWaitsAndWhatWasLostIsToldLater() {
        CountDownLatch read = new CountDownLatch(1);
        ByteArrayOutputStream got = new ByteArrayOutputStream();
        LineHandler handler = new LineHandler(
                new OutputStream() {
                    @Override
                    public void write(int b) throws IOException {
                        write(new byte[] {(byte) b}, 0, 1);
                    }

                    @Override
                    public void write(byte[] b, int offset, int length) throws IOException {
                        try {
                            read.await();
                        } catch (InterruptedException e) {
                            throw new IOException(e);
                        }
                        synchronized (got) {
                            got.write(b, offset, length);
                        }
                    }
                },
                PLAIN,
                1000);
        for (int i = 0; i < 10_000; i++) {
            handler.publish(new LogRecord(Level.INFO, "line " + i));
        }
        handler.drain(1); // nobody reads: this must not wait for it
        read.countDown();
        Await.until("the rest", () -> {
            synchronized (got) {
                return got.toString(StandardCharsets.UTF_8).contains("lost");
            }
        });
        handler.drain(10_000);
        String[] lines = got.toString(StandardCharsets.UTF_8).split("\n");
        assertThat(lines[0]).isEqualTo("line 0");
        long told = 0;
        for (String l : lines) {
            told += l.contains(" lines of the log were lost") ? Long.parseLong(l.split(" ")[0]) : 1;
        }
        assertThat(told).isEqualTo(10_000);
    }
}
