package firstair.relay.store;

import java.io.IOException;
import java.nio.file.FileSystemException;
import java.nio.file.Path;

/** The state folder cannot be used; the message is one line that tells the operator what to do. */
public final class UnusableFolderException extends IOException {
    private static final long serialVersionUID = 1L;

    private UnusableFolderException(String message, Throwable cause) {
        super(message, cause);
    }

    /** The folder's path is something other than a directory. */
    static UnusableFolderException notADirectory(Path folder) {
        return new UnusableFolderException(
                "ROUTER_STATE: " + folder + " is no folder; move it away or name another folder", null);
    }

    /** A directory has the path of one of the relay's files. */
    static UnusableFolderException notAFile(Path file) {
        return new UnusableFolderException(
                "ROUTER_STATE: " + file + " stands where a file of the relay belongs; move it away", null);
    }

    /** Reading still fails after the last retry. */
    static UnusableFolderException unreadable(Path folder, IOException last) {
        return new UnusableFolderException(
                "ROUTER_STATE: " + folder + " cannot be read: " + reason(last)
                        + "; look at its disk and its permissions, or name another folder",
                last);
    }

    /** The cause for an operator, without Java class names. */
    static String reason(IOException e) {
        if (e instanceof FileSystemException failed) {
            String why = failed.getReason() == null ? e.getClass().getSimpleName() : failed.getReason();
            return failed.getFile() + ": " + why.replace("Exception", "");
        }
        return e.getMessage() == null ? "input or output failed" : e.getMessage();
    }
}
