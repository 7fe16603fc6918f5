package firstair.relay;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

/**
 * Writes log lines on a thread of its own. Standard error may be a pipe that is not being read, and callers must not
 * block on it. Lines that don't fit into the buffer are dropped and counted, and their number is logged once there is
 * space again.
 */
final class AsyncLogHandler extends Handler {
    private final OutputStream out;
    private final int maxPendingBytes;
    private final ArrayDeque<byte[]> lines = new ArrayDeque<>();
    private final Formatter formatter;
    private int pendingBytes;
    private long dropped;
    private boolean writing;

    /** @param maxPendingBytes size of the buffer for lines that are not written yet */
    AsyncLogHandler(OutputStream out, Formatter formatter, int maxPendingBytes) {
        this.out = out;
        this.formatter = formatter;
        this.maxPendingBytes = maxPendingBytes;
        Thread writer = new Thread(this::write, "log");
        writer.setDaemon(true);
        writer.start();
    }

    @Override
    public void publish(LogRecord record) {
        if (!isLoggable(record)) {
            return;
        }
        byte[] line = formatter.format(record).getBytes(StandardCharsets.UTF_8);
        synchronized (lines) {
            if (pendingBytes + line.length > maxPendingBytes) {
                dropped++;
                return;
            }
            lines.add(line);
            pendingBytes += line.length;
            lines.notifyAll();
        }
    }

    private void write() {
        try {
            while (true) {
                byte[] line = nextLine();
                try {
                    out.write(line);
                    out.flush();
                } catch (IOException e) {
                    synchronized (lines) {
                        dropped++; // the pipe is closed; the relay continues without a log
                    }
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private byte[] nextLine() throws InterruptedException {
        synchronized (lines) {
            writing = false;
            lines.notifyAll();
            while (lines.isEmpty()) {
                lines.wait();
            }
            writing = true;
            byte[] line = lines.poll();
            pendingBytes -= line.length;
            if (dropped > 0 && pendingBytes < maxPendingBytes / 2) {
                byte[] report =
                        (dropped + " lines of the log were lost: nobody read them\n").getBytes(StandardCharsets.UTF_8);
                dropped = 0;
                lines.addFirst(report);
                pendingBytes += report.length;
            }
            return line;
        }
    }

    /** Waits until all lines are written, or until the time is over. */
    void drain(long timeoutMs) {
        long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        synchronized (lines) {
            try {
                for (long remainingMs = timeoutMs;
                        remainingMs > 0 && (writing || !lines.isEmpty());
                        remainingMs = TimeUnit.NANOSECONDS.toMillis(deadlineNs - System.nanoTime())) {
                    lines.wait(remainingMs);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    @Override
    public void flush() {
        // the writer thread flushes after each line
    }

    @Override
    public void close() {
        // lines may be logged until the process exits
    }
}
