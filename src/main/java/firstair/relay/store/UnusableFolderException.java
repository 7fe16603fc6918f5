package firstair.relay.store;

import java.io.IOException;
import java.nio.file.FileSystemException;
import java.nio.file.Path;

/** The folder that lasts cannot be used; the message is one line for an operator, with what to do. */
public final class UnusableFolderException extends IOException {
    private static final long serialVersionUID = 1L;

    private UnusableFolderException(String message, Throwable cause) {
        super(message, cause);
    }

    /** Something else stands where the folder belongs. */
    static UnusableFolderException notADirectory(Path folder) {
        return new UnusableFolderException(
                "ROUTER_STATE: " + folder + " is no folder; move it away or name another folder", null);
    }

    /** Something else stands where a file of the relay belongs. */
    static UnusableFolderException notAFile(Path file) {
        return new UnusableFolderException(
                "ROUTER_STATE: " + file + " stands where a file of the relay belongs; move it away", null);
    }

    /** It goes on failing. */
    static UnusableFolderException unreadable(Path folder, IOException last) {
        return new UnusableFolderException(
                "ROUTER_STATE: " + folder + " cannot be read: " + reason(last)
                        + "; look at its disk and its permissions, or name another folder",
                last);
    }

    /** What went wrong, without the names of Java's classes. */
    static String reason(IOException e) {
        if (e instanceof FileSystemException failed) {
            String why = failed.getReason() == null ? e.getClass().getSimpleName() : failed.getReason();
            return failed.getFile() + ": " + why.replace("Exception", "");
        }
        return e.getMessage() == null ? "input or output failed" : e.getMessage();
    }
}
