package firstair.relay.faults;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.kit.run.Node;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

/**
 * Injects failing system calls and steps of the wall clock into a relay's process, with a preloaded library. Its source
 * is in {@code src/test/native}; the first test that uses it builds it with gcc.
 */
public final class FaultInjector {
    // Error numbers of Linux.
    static final int EINTR = 4;
    static final int EIO = 5;
    static final int ENFILE = 23;
    static final int EMFILE = 24;
    static final int ENOSPC = 28;
    static final int EADDRNOTAVAIL = 99;
    static final int ENETUNREACH = 101;
    static final int ECONNABORTED = 103;
    static final int ENOBUFS = 105;
    static final int ETIMEDOUT = 110;
    static final int EHOSTUNREACH = 113;
    /** In place of an error number: a read or write transfers fewer bytes than requested. */
    static final int SHORT = 0;
    /** In place of a count: every call. */
    static final int ALWAYS = 1_000_000_000;

    private static Path library;

    private final Path rulesFile;
    private final Path stepFile;

    /**
     * Loads the library into the node's process from its next start on.
     *
     * @param folder for the files that control the library
     */
    public FaultInjector(Node node, Path folder) throws Exception {
        rulesFile = folder.resolve("rules");
        stepFile = folder.resolve("step");
        node.environment("LD_PRELOAD", library().toString());
        node.environment("FAULT_RULES", rulesFile.toString());
        node.environment("WALL_STEP", stepFile.toString());
    }

    private static synchronized Path library() throws Exception {
        if (library == null) {
            Path folder = Path.of("target", "native").toAbsolutePath();
            Files.createDirectories(folder);
            Path built = Files.createTempFile(folder, "faults", ".so"); // one for each virtual machine that runs tests
            Process gcc = new ProcessBuilder(
                            "gcc",
                            "-shared",
                            "-fPIC",
                            "-O2",
                            "-Wall",
                            "-o",
                            built.toString(),
                            Path.of("src", "test", "native", "faults.c").toString(),
                            "-ldl",
                            "-lpthread")
                    .redirectErrorStream(true)
                    .start();
            String output = new String(gcc.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertThat(gcc.waitFor()).as(output).isZero();
            library = built;
        }
        return library;
    }

    /**
     * Formats a rule.
     *
     * @param call  name of the system call, as {@code faults.c} lists them
     * @param skip  number of matching calls that succeed first
     * @param count number of calls after those that fail
     * @param error error number, {@link #SHORT}, or a delay in milliseconds as a negative number
     * @param part  part of the address or path that the call has to contain; empty for all calls
     */
    static String rule(String call, int skip, int count, int error, String part) {
        return call + " " + skip + " " + count + " " + error + " " + part;
    }

    /** Replaces all rules; the counts of calls start again. */
    void rules(String... lines) throws IOException {
        replace(rulesFile, String.join("\n", lines) + "\n");
    }

    /** Sets how many seconds the wall clock is ahead of the true time; negative if it is behind. */
    public void stepWallClock(long seconds) throws IOException {
        replace(stepFile, seconds + "\n");
    }

    private static void replace(Path file, String text) throws IOException {
        Path draft = file.resolveSibling(file.getFileName() + ".new");
        Files.writeString(draft, text);
        Files.move(draft, file, StandardCopyOption.ATOMIC_MOVE);
    }
}
