package firstair.cli;

import com.google.gson.GsonBuilder;
import com.google.gson.JsonParser;
import firstair.relay.Config;
import firstair.relay.ConfigException;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Migrates a configuration to the form that states the properties of its deployment; see {@link Migration}. */
@Command(
        name = "migrate",
        mixinStandardHelpOptions = true,
        description = {
            "Reads a configuration of the old shape and writes its counterpart for the new one.",
            "Lists what it wrote and what it could not carry over. docs/migration.md has the steps of a move."
        })
final class MigrateCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "OLD", description = "the configuration to read, JSON; it is never written to")
    private Path oldFile;

    @Option(names = "--out", paramLabel = "FILE", description = "where to write; as a whole or not at all")
    private Path newFile;

    @Option(names = "--force", description = "write over a file that is there, but never over OLD")
    private boolean force;

    @Option(names = "--dry-run", description = "write nothing; print what would be written, and the list")
    private boolean dryRun;

    @Option(
            names = "--reports",
            paramLabel = "HOW",
            description = "how endpoints report load there: answers, probe, none")
    private String reports;

    @Option(names = "--weights", paramLabel = "KIND", description = "what weights hold there: none, rough, nominal")
    private String weights;

    @Option(
            names = "--drain-grace",
            paramLabel = "MS",
            description = "time for the last new call to an endpoint that drains")
    private Double drainGrace;

    @Override
    public Integer call() throws IOException {
        if (newFile == null && !dryRun) {
            throw new ConfigException("--out", "missing; --dry-run writes nothing");
        }
        if (drainGrace != null && !(drainGrace >= 0 && drainGrace < Double.POSITIVE_INFINITY)) {
            throw new ConfigException("--drain-grace", "not a time from 0 on: " + drainGrace);
        }
        Map<String, String> env = new HashMap<>(
                Map.of("ROUTER_STATE", ".", "ROUTER_LISTEN", "127.0.0.1:0", "ROUTER_DISCOVERY", "127.0.0.1:1"));
        env.putAll(System.getenv());
        env.put("ROUTER_CONFIG", oldFile.toString());
        String text = Config.text(env);
        Config.parse(text, env); // reports an invalid file as serve does
        Migration migration = new Migration(
                JsonParser.parseString(text).getAsJsonObject(),
                new Migration.TargetOptions(reports, weights, drainGrace));
        String migrated = new GsonBuilder()
                        .setPrettyPrinting()
                        .disableHtmlEscaping()
                        .serializeNulls()
                        .create()
                        .toJson(migration.migrated())
                + "\n";
        Config.parse(migrated, env);
        PrintWriter out = spec.commandLine().getOut();
        if (dryRun) {
            out.print(migrated);
        } else {
            write(migrated);
        }
        migration.changes().forEach(line -> out.println("# written: " + line));
        migration.notCarriedOver().forEach(line -> out.println("# not carried over: " + line));
        out.flush();
        return 0;
    }

    /** Replaces the file atomically: readers see the previous or the complete new one; a failure leaves no draft. */
    private void write(String text) throws IOException {
        if (Files.exists(newFile)) {
            if (Files.isSameFile(newFile, oldFile)) {
                throw new ConfigException("--out", "is the file that is read: " + newFile);
            }
            if (!force || Files.isDirectory(newFile)) {
                throw new ConfigException(
                        "--out", "is there already" + (force ? ": " : ", without --force: ") + newFile);
            }
        }
        Path draft = newFile.resolveSibling("." + newFile.getFileName() + ".new"); // with default permissions
        try {
            Files.writeString(draft, text);
            Files.move(draft, newFile, StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException e) {
            throw new ConfigException("--out", "cannot be written: " + e);
        } finally {
            Files.deleteIfExists(draft);
        }
    }
}
