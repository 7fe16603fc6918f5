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
 * What a source of configuration brings: its values, and everything that is wrong with it. Any bytes end in one or the
 * other, never in an exception.
 *
 * @param values what could be read; to be used only if there are no faults
 */
public record Read(Values values, List<Fault> faults) {
    private static final int MOST_BYTES = 1 << 20;
    private static final int DEEPEST = 64; // brackets within brackets: a parser's stack is not endless

    /** Reads a file in TOML. */
    public static Read toml(String source, byte[] bytes, Schema schema) {
        List<Fault> faults = new ArrayList<>();
        if (bytes.length > MOST_BYTES) {
            faults.add(new Fault(source, 0, 0, "holds " + bytes.length + " bytes, " + MOST_BYTES + " at most"));
            return new Read(Values.NONE, faults);
        }
        String text = decoded(source, bytes, faults);
        if (text == null || deep(source, text, faults)) {
            return new Read(Values.NONE, faults);
        }
        Map<String, Values.Value> set = new LinkedHashMap<>();
        try {
            TomlParseResult parsed = Toml.parse(text);
            for (TomlParseError e : parsed.errors()) {
                faults.add(
                        new Fault(source, e.position().line(), e.position().column(), String.valueOf(e.getMessage())));
            }
            if (!parsed.hasErrors()) {
                walk(source, parsed, "", schema, set, faults);
            }
        } catch (RuntimeException | StackOverflowError | AssertionError e) {
            faults.add(new Fault(source, 0, 0, "cannot be read as TOML: " + e)); // the parser gave up on it
        }
        return new Read(Values.of(set), faults);
    }

    private static String decoded(String source, byte[] bytes, List<Fault> faults) {
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
            faults.add(new Fault(source, line, column, "a byte that is no UTF-8"));
            return null;
        }
    }

    private static boolean deep(String source, String text, List<Fault> faults) {
        int depth = 0;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            depth += c == '[' || c == '{' ? 1 : (c == ']' || c == '}') && depth > 0 ? -1 : 0;
            if (depth > DEEPEST) {
                faults.add(new Fault(source, 0, 0, "more than " + DEEPEST + " brackets within each other"));
                return true;
            }
        }
        return false;
    }

    private static void walk(
            String source,
            TomlTable table,
            String before,
            Schema schema,
            Map<String, Values.Value> set,
            List<Fault> faults) {
        for (String key : table.keySet()) {
            List<String> one = List.of(key);
            String path = before + key;
            Object found = table.get(one);
            TomlPosition at = table.inputPositionOf(one);
            int line = at == null ? 0 : at.line();
            int column = at == null ? 0 : at.column();
            Item item = schema.item(path);
            boolean known = schema.tables().containsKey(path) || item == null && near(schema, path);
            if (found instanceof TomlTable && known) {
                walk(source, (TomlTable) found, path + ".", schema, set, faults);
            } else {
                check(
                        source + (line > 0 ? ":" + line : ""),
                        new Fault(source, line, column, shown(found)),
                        path,
                        item,
                        written(found, item),
                        schema,
                        set,
                        faults);
            }
        }
    }

    private static String shown(Object found) {
        return found instanceof TomlTable ? "a table" : found instanceof TomlArray ? "a list" : String.valueOf(found);
    }

    /** What was found as a text; null where the item is a text and this is something else. */
    private static String written(Object found, Item item) {
        if (item == null || !item.kind().isText() || found instanceof String) {
            return shown(found);
        }
        if (item.kind() == Kind.NAMES && found instanceof TomlArray) {
            List<Object> each = ((TomlArray) found).toList();
            // A comma within a text would make two of it.
            if (each.stream()
                    .allMatch(e -> e instanceof String && !((String) e).contains(",") && !((String) e).isBlank())) {
                return each.stream().map(String::valueOf).collect(Collectors.joining(","));
            }
        }
        return null;
    }

    private static boolean near(Schema schema, String path) {
        return schema.tables().keySet().stream().anyMatch(t -> t.startsWith(path + "."));
    }

    /** Reads single values from flags or variables: path and text, with where each was set. */
    public static Read texts(Map<String, String> texts, Map<String, String> origins, Schema schema) {
        List<Fault> faults = new ArrayList<>();
        Map<String, Values.Value> set = new LinkedHashMap<>();
        texts.forEach((path, text) -> check(
                origins.get(path),
                new Fault(origins.get(path), 0, 0, text),
                path,
                schema.item(path),
                text,
                schema,
                set,
                faults));
        return new Read(Values.of(set), faults);
    }

    /** The variable of the environment that sets an item. */
    public static String variable(String prefix, String path) {
        return prefix + path.replace('.', '_').toUpperCase(Locale.ROOT);
    }

    /** Takes a text for an item, or tells what is wrong with it; {@code found} holds what stood there and where. */
    private static void check(
            String origin,
            Fault found,
            String path,
            Item item,
            String text,
            Schema schema,
            Map<String, Values.Value> set,
            List<Fault> faults) {
        String what;
        if (item == null) {
            String nearest = schema.nearest(path);
            what = path + ": no such name" + (nearest == null ? "" : "; did you mean " + nearest + "?");
        } else {
            Values.Value value = text == null ? null : item.value(text, origin, "");
            if (value != null && value.value() >= item.least() && value.value() <= item.most()) {
                set.put(path, value);
                return;
            }
            String shown = found.what();
            String cut = shown.length() > 60 ? shown.substring(0, 60) + "..." : shown;
            what = path + ": found " + (cut.isEmpty() ? "nothing" : cut) + ", allowed is " + item.allowed();
        }
        faults.add(new Fault(found.source(), found.line(), found.column(), what));
    }
}
