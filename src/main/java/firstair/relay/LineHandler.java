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
 * Hands lines of the log to a thread that writes them. Standard error may be a pipe that nobody reads: whoever logs
 * must not wait for it. What finds no room is counted, and told once there is room again.
 */
final class LineHandler extends Handler {
    private final OutputStream out;
    private final int mostBytes;
    private final ArrayDeque<byte[]> lines = new ArrayDeque<>();
    private final Formatter formatter;
    private int bytes;
    private long lost;
    private boolean writing;

    /** @param mostBytes what may wait to be written */
    LineHandler(OutputStream out, Formatter formatter, int mostBytes) {
        this.out = out;
        this.formatter = formatter;
        this.mostBytes = mostBytes;
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
            if (bytes + line.length > mostBytes) {
                lost++;
                return;
            }
            lines.add(line);
            bytes += line.length;
            lines.notifyAll();
        }
    }

    private void write() {
        try {
            while (true) {
                byte[] next = next();
                try {
                    out.write(next);
                    out.flush();
                } catch (IOException e) {
                    synchronized (lines) {
                        lost++; // the pipe is closed; the relay goes on without a log
                    }
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private byte[] next() throws InterruptedException {
        synchronized (lines) {
            writing = false;
            lines.notifyAll();
            while (lines.isEmpty()) {
                lines.wait();
            }
            writing = true;
            byte[] line = lines.poll();
            bytes -= line.length;
            if (lost > 0 && bytes < mostBytes / 2) {
                byte[] told =
                        (lost + " lines of the log were lost: nobody read them\n").getBytes(StandardCharsets.UTF_8);
                lost = 0;
                lines.addFirst(told);
                bytes += told.length;
            }
            return line;
        }
    }

    /** Waits until all is written, but not for long. */
    void drain(long ms) {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
        synchronized (lines) {
            try {
                for (long left = ms;
                        left > 0 && (writing || !lines.isEmpty());
                        left = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime())) {
                    lines.wait(left);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    @Override
    public void flush() {
        // the writer does so after each line
    }

    @Override
    public void close() {
        // lines may come until the process is gone
    }
}
