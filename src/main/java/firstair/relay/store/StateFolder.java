package firstair.relay.store;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * The files of a {@link Store} in the state folder: numbered generations, of which the highest is current, and a
 * temporary file that is renamed to become the next one. A file that is obsolete but cannot be deleted is truncated,
 * and deleted later.
 */
final class StateFolder {
    private static final Pattern NAME = Pattern.compile("messages-(\\d{1,18})\\.log");
    private static final String TEMP_NAME = "messages.tmp";

    private final Path folder;
    private final List<Path> undeleted = new ArrayList<>();

    StateFolder(Path folder) {
        this.folder = folder;
    }

    /**
     * Creates the folder if it does not exist.
     *
     * @throws UnusableFolderException if the folder's path is not a directory, or the path of a file is one
     */
    void prepare() throws IOException {
        if (Files.exists(folder) && !Files.isDirectory(folder)) {
            throw UnusableFolderException.notADirectory(folder);
        }
        if (!Files.isDirectory(folder)) {
            Files.createDirectories(folder);
        }
        if (Files.isDirectory(tempFile())) {
            throw UnusableFolderException.notAFile(tempFile());
        }
    }

    /** All generations, oldest first. */
    List<Path> generations() throws IOException {
        List<Path> found;
        try (Stream<Path> all = Files.list(folder)) {
            found = all.filter(p -> generation(p) >= 0)
                    .sorted(Comparator.comparingLong(StateFolder::generation))
                    .toList();
        } catch (UncheckedIOException e) {
            throw e.getCause();
        }
        for (Path p : found) {
            if (Files.isDirectory(p)) {
                throw UnusableFolderException.notAFile(p);
            }
        }
        return found;
    }

    /** The number of a generation, -1 if the file is not a generation. */
    static long generation(Path file) {
        Matcher m = NAME.matcher(file.getFileName().toString());
        return m.matches() ? Long.parseLong(m.group(1)) : -1;
    }

    /** Path of the file of a generation. */
    Path pathOf(long generation) {
        return folder.resolve("messages-" + generation + ".log");
    }

    private Path tempFile() {
        return folder.resolve(TEMP_NAME);
    }

    /** Opens an empty temporary file for writing. */
    FileChannel newTempFile() throws IOException {
        return FileChannel.open(
                tempFile(), StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING);
    }

    /** Opens a generation to append behind its first {@code bytes} bytes; the rest is cut off. */
    FileChannel openToAppend(Path generation, long bytes) throws IOException {
        FileChannel file = FileChannel.open(generation, StandardOpenOption.WRITE);
        try {
            return file.truncate(bytes).position(bytes);
        } catch (IOException e) {
            file.close();
            throw e;
        }
    }

    /** Renames the completely written temporary file to its final name. */
    void publish(Path named) throws IOException {
        try {
            Files.move(tempFile(), named, StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException e) {
            if (!Files.exists(named) || Files.exists(tempFile())) {
                throw e;
            }
            // The rename took effect despite the error, and the next start would read the file: it is current.
        }
    }

    /** Deletes a temporary file that is not to become a generation. */
    void deleteTempFile() {
        try {
            Files.deleteIfExists(tempFile());
        } catch (IOException e) {
            // the next newTempFile() truncates it
        }
    }

    /** Deletes a generation that has been replaced, or truncates it if it cannot be deleted. */
    void discard(Path old) {
        if (delete(old)) {
            return;
        }
        undeleted.add(old);
        try (FileChannel emptied = FileChannel.open(old, StandardOpenOption.WRITE)) {
            emptied.truncate(0);
        } catch (IOException e) {
            // it uses disk space until it can be deleted
        }
    }

    private static boolean delete(Path old) {
        try {
            Files.deleteIfExists(old);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Bytes of files that could not be deleted; tries to delete them again. */
    long undeletedBytes() {
        undeleted.removeIf(StateFolder::delete);
        return undeleted.stream().mapToLong(p -> p.toFile().length()).sum();
    }
}
