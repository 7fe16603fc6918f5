package firstair.relay.fleet;

import firstair.fleet.fault.Fault;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlTable;

/** A TOML file named by a setting, as plain values: maps, lists, texts, numbers, dates. */
final class TomlFile {
    private static final int MAX_BYTES = 1 << 20;

    private final String setting;
    private final String path;
    private final Map<String, Object> values;

    /**
     * Reads a file.
     *
     * @param setting the setting that names it
     * @throws Fault.BadSetup if the file cannot be read
     */
    TomlFile(String setting, String path) {
        this.setting = setting;
        this.path = path;
        TomlParseResult parsed = parse();
        if (parsed.hasErrors()) {
            throw error(parsed.errors().get(0).toString());
        }
        values = toMap(parsed);
    }

    private TomlParseResult parse() {
        try {
            Path file = Path.of(path);
            if (Files.size(file) > MAX_BYTES) {
                throw error(MAX_BYTES + " bytes at most");
            }
            return Toml.parse(Files.readString(file));
        } catch (IOException | InvalidPathException e) {
            throw new Fault.BadSetup(setting, "cannot be read: " + path + " (" + e + ")");
        }
    }

    /** A top-level value, or null. */
    Object get(String name) {
        return values.get(name);
    }

    /** The {@code [[name]]} tables; having none is an error. */
    List<Map<String, Object>> tables(String name) {
        if (!(values.get(name) instanceof List<?> found) || found.isEmpty()) {
            throw error("no [[" + name + "]]");
        }
        List<Map<String, Object>> tables = new ArrayList<>();
        for (Object element : found) {
            if (!(element instanceof Map<?, ?> table)) {
                throw error(name + " must be [[" + name + "]] tables");
            }
            Map<String, Object> copy = new LinkedHashMap<>();
            table.forEach((k, v) -> copy.put(String.valueOf(k), v));
            tables.add(copy);
        }
        return tables;
    }

    /** An error in the file, to be thrown. */
    Fault.BadSetup error(String why) {
        return new Fault.BadSetup(setting, path + ": " + why);
    }

    private static Map<String, Object> toMap(TomlTable table) {
        Map<String, Object> map = new LinkedHashMap<>();
        table.toMap().forEach((key, value) -> map.put(key, toPlain(value)));
        return map;
    }

    private static Object toPlain(Object value) {
        if (value instanceof TomlArray array) {
            return array.toList().stream().map(TomlFile::toPlain).toList();
        }
        return value instanceof TomlTable table ? toMap(table) : value;
    }
}
