package firstair.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The settings that exist: items by path, in the order of the reference page, and descriptions of their tables. */
public final class Schema {
    private static final int MAX_EDIT_DISTANCE = 4; // between a misspelt path and the one suggested for it

    private final Map<String, Setting> items = new LinkedHashMap<>();
    private final Map<String, String> tables = new LinkedHashMap<>();

    /** Adds a table; items that are added next belong to it. */
    public Schema table(String name, String description) {
        tables.put(name, description);
        return this;
    }

    /** Adds an item to the table added last; see {@link Setting} for the parameters. */
    public Schema item(
            String name, Kind kind, String usual, double min, double max, boolean atReload, String description) {
        List<String> tableNames = new ArrayList<>(tables.keySet());
        String path = tableNames.get(tableNames.size() - 1) + "." + name;
        items.put(path, new Setting(path, kind, usual, min, max, atReload, description));
        return this;
    }

    /** All items, in the order in which they were added. */
    public List<Setting> items() {
        return List.copyOf(items.values());
    }

    /** Descriptions of the tables, by name. */
    public Map<String, String> tables() {
        return tables;
    }

    /** Returns the item of a path, or null if there is none. */
    public Setting item(String path) {
        return items.get(path);
    }

    /** Returns the item or table with the smallest edit distance to a misspelt path, or null if none is close. */
    public String closestPath(String path) {
        String closest = null;
        int smallest = MAX_EDIT_DISTANCE + 1;
        List<String> paths = new ArrayList<>(items.keySet());
        paths.addAll(tables.keySet());
        for (String known : paths) {
            int distance = editDistance(path, known);
            if (distance < smallest) {
                smallest = distance;
                closest = known;
            }
        }
        return closest;
    }

    /** Levenshtein distance of two texts. */
    private static int editDistance(String a, String b) {
        int[] row = new int[b.length() + 1];
        for (int j = 0; j <= b.length(); j++) {
            row[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int diagonal = row[0];
            row[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int above = row[j];
                int substituted = diagonal + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
                row[j] = Math.min(substituted, Math.min(above, row[j - 1]) + 1);
                diagonal = above;
            }
        }
        return row[b.length()];
    }

    /**
     * Renders the reference page of all items in Markdown, from which {@code docs/configuration.md} is generated.
     *
     * @param introduction text that the page begins with
     */
    public String referencePage(String introduction) {
        StringBuilder page = new StringBuilder(introduction);
        tables.forEach((table, description) -> {
            page.append("\n## [")
                    .append(table)
                    .append("]\n\n")
                    .append(description)
                    .append(".\n\n")
                    .append("| name | usual | allowed | at SIGHUP | meaning |\n| --- | --- | --- | --- | --- |\n");
            items.values().stream()
                    .filter(item -> item.path().startsWith(table + "."))
                    .forEach(item -> page.append("| `")
                            .append(item.path().substring(table.length() + 1))
                            .append("` | ")
                            .append(item.defaultText().isEmpty() ? "empty" : '`' + item.defaultText() + '`')
                            .append(" | ")
                            .append(item.allowed())
                            .append(" | ")
                            .append(item.appliedAtReload() ? "taken over" : "waits for the next start")
                            .append(" | ")
                            .append(item.description())
                            .append(" |\n"));
        });
        return page.toString();
    }
}
