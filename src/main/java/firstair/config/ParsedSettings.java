package firstair.config;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * The settings from one source: their values and all errors. Any input gives values or errors, never an exception.
 *
 * @param values the valid values; to be used only if there are no errors
 * @param errors all errors of the source
 */
public record ParsedSettings(Values values, List<ConfigError> errors) {
    private static final int MAX_BYTES = 1 << 20;
    private static final int MAX_BRACKET_DEPTH = 64; // limits the recursion of the parser

    /**
     * Reads a file in TOML.
     *
     * @param source name of the file, for errors and origins
     */
    public static ParsedSettings fromToml(String source, byte[] bytes, Schema schema) {
        List<ConfigError> faults = new ArrayList<>();
        if (bytes.length > MAX_BYTES) {
            faults.add(new ConfigError(source, 0, 0, "holds " + bytes.length + " bytes, " + MAX_BYTES + " at most"));
            return new ParsedSettings(Values.NONE, faults);
        }
        String text = decodeUtf8(source, bytes, faults);
        if (text == null || exceedsBracketDepth(source, text, faults)) {
            return new ParsedSettings(Values.NONE, faults);
        }
        Map<String, Values.Value> set = new LinkedHashMap<>();
        try {
            TomlParseResult parsed = Toml.parse(text);
            for (TomlParseError e : parsed.errors()) {
                faults.add(new ConfigError(
                        source, e.position().line(), e.position().column(), String.valueOf(e.getMessage())));
            }
            if (!parsed.hasErrors()) {
                readTable(source, parsed, "", schema, set, faults);
            }
        } catch (RuntimeException | StackOverflowError | AssertionError e) {
            faults.add(new ConfigError(source, 0, 0, "cannot be read as TOML: " + e)); // failures inside the parser
        }
        return new ParsedSettings(Values.of(set), faults);
    }

    private static String decodeUtf8(String source, byte[] bytes, List<ConfigError> faults) {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        try {
            String text = StandardCharsets.UTF_8
                    .newDecoder()
                    .onMalformedInput(CodingErrorAction.REPORT)
                    .onUnmappableCharacter(CodingErrorAction.REPORT)
                    .decode(in)
                    .toString();
            return text.startsWith("\uFEFF") ? text.substring(1) : text;
        } catch (CharacterCodingException e) {
            int line = 1;
            int column = 1;
            for (int i = 0; i < in.position(); i++) {
                line += bytes[i] == '\n' ? 1 : 0;
                column = bytes[i] == '\n' ? 1 : column + 1;
            }
            faults.add(new ConfigError(source, line, column, "a byte that is no UTF-8"));
            return null;
        }
    }

    private static boolean exceedsBracketDepth(String source, String text, List<ConfigError> faults) {
        int depth = 0;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            depth += c == '[' || c == '{' ? 1 : (c == ']' || c == '}') && depth > 0 ? -1 : 0;
            if (depth > MAX_BRACKET_DEPTH) {
                faults.add(new ConfigError(
                        source, 0, 0, "more than " + MAX_BRACKET_DEPTH + " brackets within each other"));
                return true;
            }
        }
        return false;
    }

    private static void readTable(
            String source,
            TomlTable table,
            String prefix,
            Schema schema,
            Map<String, Values.Value> set,
            List<ConfigError> faults) {
        for (String key : table.keySet()) {
            List<String> keyPath = List.of(key); // a key that contains a dot stays one key
            String path = prefix + key;
            Object found = table.get(keyPath);
            TomlPosition position = table.inputPositionOf(keyPath);
            int line = position == null ? 0 : position.line();
            int column = position == null ? 0 : position.column();
            Setting item = schema.item(path);
            boolean isTable = schema.tables().containsKey(path) || item == null && hasTableBelow(schema, path);
            if (found instanceof TomlTable && isTable) {
                readTable(source, (TomlTable) found, path + ".", schema, set, faults);
            } else {
                readValue(
                        source + (line > 0 ? ":" + line : ""),
                        new ConfigError(source, line, column, describe(found)),
                        path,
                        item,
                        asText(found, item),
                        schema,
                        set,
                        faults);
            }
        }
    }

    private static String describe(Object found) {
        return found instanceof TomlTable ? "a table" : found instanceof TomlArray ? "a list" : String.valueOf(found);
    }

    /** Returns the value that was found as a text, or null if the setting is a text or list and the value is not. */
    private static String asText(Object found, Setting item) {
        if (item == null || !item.kind().isText() || found instanceof String) {
            return describe(found);
        }
        if (item.kind() == Kind.NAMES && found instanceof TomlArray) {
            List<Object> elements = ((TomlArray) found).toList();
            // A comma within an element would split it in two.
            if (elements.stream()
                    .allMatch(e -> e instanceof String && !((String) e).contains(",") && !((String) e).isBlank())) {
                return elements.stream().map(String::valueOf).collect(Collectors.joining(","));
            }
        }
        return null;
    }

    private static boolean hasTableBelow(Schema schema, String path) {
        return schema.tables().keySet().stream().anyMatch(t -> t.startsWith(path + "."));
    }

    /**
     * Reads single values from flags or variables.
     *
     * @param texts   value of each path
     * @param origins where each path was set, for errors
     */
    public static ParsedSettings fromTexts(Map<String, String> texts, Map<String, String> origins, Schema schema) {
        List<ConfigError> faults = new ArrayList<>();
        Map<String, Values.Value> set = new LinkedHashMap<>();
        texts.forEach((path, text) -> readValue(
                origins.get(path),
                new ConfigError(origins.get(path), 0, 0, text),
                path,
                schema.item(path),
                text,
                schema,
                set,
                faults));
        return new ParsedSettings(Values.of(set), faults);
    }

    /** Name of the environment variable that sets an item. */
    public static String environmentVariable(String prefix, String path) {
        return prefix + path.replace('.', '_').toUpperCase(Locale.ROOT);
    }

    /** Adds an item's value, or an error; {@code found} holds the position and the text found there. */
    private static void readValue(
            String origin,
            ConfigError found,
            String path,
            Setting item,
            String text,
            Schema schema,
            Map<String, Values.Value> set,
            List<ConfigError> faults) {
        String what;
        if (item == null) {
            String closest = schema.closestPath(path);
            what = path + ": no such name" + (closest == null ? "" : "; did you mean " + closest + "?");
        } else {
            Values.Value value = text == null ? null : item.value(text, origin, "");
            if (value != null && value.value() >= item.min() && value.value() <= item.max()) {
                set.put(path, value);
                return;
            }
            String foundText = found.what();
            String shortened = foundText.length() > 60 ? foundText.substring(0, 60) + "..." : foundText;
            what = path + ": found " + (shortened.isEmpty() ? "nothing" : shortened) + ", allowed is " + item.allowed();
        }
        faults.add(new ConfigError(found.source(), found.line(), found.column(), what));
    }
}
