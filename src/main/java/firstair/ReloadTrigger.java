package firstair;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.List;
import java.util.logging.Logger;

/**
 * Triggers a reload of the configuration on SIGHUP, from the start of the process on. A signal that arrives while the
 * relay is still starting takes effect once it serves: the configuration may have been read just before it was changed,
 * and the sender does not repeat the signal. In a process that was started with SIGHUP ignored, the configuration files
 * are polled for changes instead. The deployment starts relays that way: for some tenths of a second, until the virtual
 * machine has installed its handler, the signal's default action would terminate the process.
 */
final class ReloadTrigger {
    private List<Path> polledFiles = List.of();
    private List<String> lastStates = List.of();
    private Runnable reload;
    private boolean signalledBeforeServing;

    /** Handles a signal; runs the reload on the calling thread. */
    void signal() {
        Runnable task;
        synchronized (this) {
            task = reload;
            signalledBeforeServing |= task == null;
        }
        if (task != null) {
            task.run();
        }
    }

    /** Sets the task that reloads the configuration; an earlier signal runs it at once, on a new thread. */
    synchronized void startServing(Runnable task) {
        reload = task;
        if (signalledBeforeServing) {
            new Thread(task, "hangup").start();
        }
    }

    /** Makes {@link #poll} handle each change of one of these files as a signal. */
    void startPolling(List<Path> files) {
        Logger.getLogger(ReloadTrigger.class.getName())
                .fine("SIGHUP is ignored by this process; polling the configuration files for changes instead");
        lastStates = states(files);
        polledFiles = files;
    }

    /** Checks whether a polled file has changed; to be called several times a second, on one thread. */
    void poll() {
        List<String> states = states(polledFiles);
        if (!states.equals(lastStates)) {
            lastStates = states;
            new Thread(this::signal, "hangup").start(); // reading the configuration may take a second
        }
    }

    private static List<String> states(List<Path> files) {
        return files.stream().map(ReloadTrigger::state).toList();
    }

    /** A text that changes when the file is written or replaced. */
    private static String state(Path file) {
        try {
            BasicFileAttributes attributes = Files.readAttributes(file, BasicFileAttributes.class);
            return attributes.fileKey() + " " + attributes.lastModifiedTime() + " " + attributes.size();
        } catch (IOException e) {
            return "none";
        }
    }
}
