package firstair;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.List;
import java.util.logging.Logger;

/**
 * SIGHUP from the first moment of a process on. One that comes while the relay is still starting is kept until it
 * serves: the configuration may have been read just before it was changed, and nobody signals twice. Where the process
 * was started with SIGHUP ignored, changes of the files stand in for it. The deployment starts it so: until the virtual
 * machine has taken the signal over, some tenths of a second, its default would end the process.
 */
final class Hangups {
    private List<Path> files = List.of(); // that are looked at
    private List<String> before = List.of();
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

    /** From now on {@link #look} takes each change of a file for a signal. */
    void watch(List<Path> changing) {
        Logger.getLogger(Hangups.class.getName())
                .fine("SIGHUP is ignored here: the configuration is looked at for changes instead");
        before = states(changing);
        files = changing;
    }

    /** Looks whether a file has changed; to be called several times a second, on one thread. */
    void look() {
        List<String> now = states(files);
        if (!now.equals(before)) {
            before = now;
            new Thread(this::signal, "hangup").start(); // to read it may take a second
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
