package firstair;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;

/**
 * SIGHUP from the first moment of a process on. One that comes while the relay is still starting is kept until it
 * serves: the configuration may have been read just before it was changed, and nobody signals twice. Where the process
 * was started with SIGHUP ignored, changes of the files stand in for it. The deployment starts it so: before the virtual
 * machine has taken the signal over, some tenths of a second, its default would end the process.
 */
final class Hangups {
    private static final int LOOK_MS = 50; // a notice that is due as the platform moves has 300 ms

    private Runnable reload;
    private boolean missed;

    /** A signal has come; on its own thread. */
    void signal() {
        Runnable now;
        synchronized (this) {
            now = reload;
            missed |= now == null;
        }
        if (now != null) {
            now.run();
        }
    }

    /** From now on a signal has something to act on; one that came before acts on a thread of its own. */
    synchronized void serving(Runnable task) {
        reload = task;
        if (missed) {
            new Thread(task, "hangup").start();
        }
    }

    /** Looks at files for as long as the process lives, and takes each change of one for a signal. */
    void watch(List<Path> files) {
        Logger.getLogger(Hangups.class.getName())
                .fine("SIGHUP is ignored here: the configuration is looked at for changes instead");
        List<String> first = states(files);
        Thread t = new Thread(() -> look(files, first), "files");
        t.setDaemon(true);
        t.start();
    }

    private void look(List<Path> files, List<String> first) {
        List<String> before = first;
        try {
            while (true) {
                TimeUnit.MILLISECONDS.sleep(LOOK_MS);
                List<String> now = states(files);
                if (!now.equals(before)) {
                    before = now;
                    signal();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static List<String> states(List<Path> files) {
        return files.stream().map(Hangups::state).toList();
    }

    /** Differs once the file has been written or another one has taken its place. */
    private static String state(Path file) {
        try {
            BasicFileAttributes a = Files.readAttributes(file, BasicFileAttributes.class);
            return a.fileKey() + " " + a.lastModifiedTime() + " " + a.size();
        } catch (IOException e) {
            return "none";
        }
    }
}
