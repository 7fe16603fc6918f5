package firstair;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Runs {@code deploy/run.sh} with no program but Java on the path: it derives the heap from the configuration. */
class RunScriptTest {
    @TempDir
    Path folder;

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
            {"name":"n3","a":"*","limits":{"cores":1.0,"memory_mb":144,"sockets":64},"s":{"b":1}} | 48
            {~ "limits": {~  "memory_mb" : 120,~  "sockets": 64~ }~} | 32
            {"limits":{~"memory_mb":96}}~ | 24
            {"limits":{"memory_mb":4096}} | 80
            {"limits":{"sockets":64}} | 80
            {"limits":{"memory_mb":"many"}} | 80
            '' | 80
            """)
    void theHeapFollowsTheConfiguration(String config, int heapMb) throws Exception {
        Path file = Files.writeString(folder.resolve("config.json"), config.replace('~', '\n'));
        assertThat(run(file))
                .startsWith("-XX:+UseSerialGC -Xms" + heapMb + "m -Xmx" + heapMb + "m ")
                .endsWith(" -jar x.jar serve\n");
    }

    @Test
    void aMissingOrUnreadableFileGivesTheDefaultHeap() throws Exception {
        assertThat(run(folder.resolve("none.json"))).contains(" -Xmx80m ");
        assertThat(run(folder)).contains(" -Xmx80m ");
        assertThat(run(null)).contains(" -Xmx80m ");
    }

    @Test
    void theScriptStartsNoOtherProcess() throws Exception {
        String script = Files.readString(Path.of("deploy/run.sh"))
                .replaceAll("(?m)^\\s*#.*$", "")
                .replace("||", "")
                .replace("$((", "");
        assertThat(script).doesNotContain("$(", "`", "|", " &\n");
    }

    /** Returns the arguments that Java gets; it is the only program on the path, so a call of any other fails. */
    private String run(Path config) throws Exception {
        Path bin = Files.createDirectories(folder.resolve("bin"));
        Path java = Files.writeString(bin.resolve("java"), "#!/bin/sh\necho \"$@\"\n");
        Files.setPosixFilePermissions(java, PosixFilePermissions.fromString("rwxr-xr-x"));
        ProcessBuilder shell =
                new ProcessBuilder("/bin/sh", "deploy/run.sh", "-jar", "x.jar", "serve").redirectErrorStream(true);
        shell.environment().put("PATH", bin.toString());
        shell.environment().remove("ROUTER_CONFIG");
        if (config != null) {
            shell.environment().put("ROUTER_CONFIG", config.toString());
        }
        Process process = shell.start();
        String output = new String(process.getInputStream().readAllBytes());
        assertThat(process.waitFor()).as(output).isZero();
        return output;
    }
}
