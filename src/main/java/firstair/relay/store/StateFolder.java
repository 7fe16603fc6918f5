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
 * The files of a {@link Store} in the folder that lasts: generations, of which the highest counts, and a draft that
 * becomes the next one by its name. A file that is no longer needed and cannot be deleted is emptied, and deleted
 * later.
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
     * Makes the folder if it is not there.
     *
     * @throws UnusableFolderException if something else stands in its place or in that of its files
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

    /** All generations, the oldest first. */
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

    /** The number of a generation, -1 if the file is none. */
    static long generation(Path file) {
        Matcher m = NAME.matcher(file.getFileName().toString());
        return m.matches() ? Long.parseLong(m.group(1)) : -1;
    }

    /** Where a generation stands. */
    Path pathOf(long generation) {
        return folder.resolve("messages-" + generation + ".log");
    }

    private Path tempFile() {
        return folder.resolve(TEMP_NAME);
    }

    /** An empty draft to be written. */
    FileChannel newTempFile() throws IOException {
        return FileChannel.open(
                tempFile(), StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING);
    }

    /** Gives the draft its name; all of it is written by then. */
    void publish(Path named) throws IOException {
        try {
            Files.move(tempFile(), named, StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException e) {
            if (!Files.exists(named) || Files.exists(tempFile())) {
                throw e;
            }
            // It has its name all the same, and the next start would read it: so it counts.
        }
    }

    /** A draft that is not to become a generation. */
    void deleteTempFile() {
        try {
            Files.deleteIfExists(tempFile());
        } catch (IOException e) {
            // the next draft begins by emptying it
        }
    }

    /** A generation that has a successor. */
    void discard(Path old) {
        if (delete(old)) {
            return;
        }
        undeleted.add(old);
        try (FileChannel emptied = FileChannel.open(old, StandardOpenOption.WRITE)) {
            emptied.truncate(0);
        } catch (IOException e) {
            // it takes up room until it can be deleted
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
