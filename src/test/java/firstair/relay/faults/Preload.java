package firstair.relay.faults;

import static org.assertj.core.api.Assertions.assertThat;

import firstair.kit.run.Node;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

/**
 * Failing system calls and a stepped wall clock in a relay's own process, by the library of {@code src/test/native},
 * which is built with gcc when the first test wants it.
 */
public final class Preload {
    // Errors of Linux, by their numbers there.
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
    /** A read or write moves less than it could. */
    static final int SHORT = 0;
    /** As often as it is called. */
    static final int ALWAYS = 1_000_000_000;

    private static Path library;

    private final Path rules;
    private final Path step;

    /** Loads the library into the node's process from its next start on; {@code folder} takes what controls it. */
    public Preload(Node node, Path folder) throws Exception {
        rules = folder.resolve("rules");
        step = folder.resolve("step");
        node.environment("LD_PRELOAD", library().toString());
        node.environment("FAULT_RULES", rules.toString());
        node.environment("WALL_STEP", step.toString());
    }

    private static synchronized Path library() throws Exception {
        if (library == null) {
            Path folder = Path.of("target", "native").toAbsolutePath();
            Files.createDirectories(folder);
            Path made = Files.createTempFile(folder, "faults", ".so"); // tests of other virtual machines make their own
            Process gcc = new ProcessBuilder(
                            "gcc",
                            "-shared",
                            "-fPIC",
                            "-O2",
                            "-Wall",
                            "-o",
                            made.toString(),
                            Path.of("src", "test", "native", "faults.c").toString(),
                            "-ldl",
                            "-lpthread")
                    .redirectErrorStream(true)
                    .start();
            String said = new String(gcc.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertThat(gcc.waitFor()).as(said).isZero();
            library = made;
        }
        return library;
    }

    /** One rule: the calls of a name to a part of an address or path fail, behind {@code skip} that go through. */
    static String rule(String call, int skip, int count, int error, String part) {
        return call + " " + skip + " " + count + " " + error + " " + part;
    }

    /** From now on these rules hold and no others; calls are counted anew. */
    void rules(String... lines) throws IOException {
        replace(rules, String.join("\n", lines) + "\n");
    }

    /** The wall clock is off by so many seconds from now on. */
    public void step(long seconds) throws IOException {
        replace(step, seconds + "\n");
    }

    private static void replace(Path file, String text) throws IOException {
        Path draft = file.resolveSibling(file.getFileName() + ".new");
        Files.writeString(draft, text);
        Files.move(draft, file, StandardCopyOption.ATOMIC_MOVE);
    }
}
