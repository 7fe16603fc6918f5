package firstair.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What can be set: items by their paths, in the order in which they are told, and what their tables are about. */
public final class Schema {
    private static final int FAR = 4; // letters by which a misspelt name differs at most

    private final Map<String, Item> items = new LinkedHashMap<>();
    private final Map<String, String> tables = new LinkedHashMap<>();

    /** Adds a table; items that follow belong to it. */
    public Schema table(String name, String about) {
        tables.put(name, about);
        return this;
    }

    /** Adds an item to the table added last. */
    public Schema item(
            String name, Kind kind, String usual, double least, double most, boolean atReload, String meaning) {
        List<String> all = new ArrayList<>(tables.keySet());
        String path = all.get(all.size() - 1) + "." + name;
        items.put(path, new Item(path, kind, usual, least, most, atReload, meaning));
        return this;
    }

    /** All items. */
    public List<Item> items() {
        return List.copyOf(items.values());
    }

    /** Tables by name, with what they are about. */
    public Map<String, String> tables() {
        return tables;
    }

    /** The item of a path, or null. */
    public Item item(String path) {
        return items.get(path);
    }

    /** The known path that a misspelt one most likely stands for, or null if none is near. */
    public String nearest(String path) {
        String best = null;
        int least = FAR + 1;
        List<String> names = new ArrayList<>(items.keySet());
        names.addAll(tables.keySet());
        for (String known : names) {
            int far = distance(path, known);
            if (far < least) {
                least = far;
                best = known;
            }
        }
        return best;
    }

    /** Letters to be added, dropped or changed between two words. */
    private static int distance(String a, String b) {
        int[] row = new int[b.length() + 1];
        for (int j = 0; j <= b.length(); j++) {
            row[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int corner = row[0];
            row[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int above = row[j];
                int same = corner + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
                row[j] = Math.min(same, Math.min(above, row[j - 1]) + 1);
                corner = above;
            }
        }
        return row[b.length()];
    }

    /** The page that tells of every item, in Markdown; {@code docs/configuration.md} is made by it. */
    public String reference(String head) {
        StringBuilder page = new StringBuilder(head);
        tables.forEach((table, about) -> {
            page.append("\n## [")
                    .append(table)
                    .append("]\n\n")
                    .append(about)
                    .append(".\n\n")
                    .append("| name | usual | allowed | at SIGHUP | meaning |\n| --- | --- | --- | --- | --- |\n");
            items.values().stream()
                    .filter(i -> i.path().startsWith(table + "."))
                    .forEach(i -> page.append("| `")
                            .append(i.path().substring(table.length() + 1))
                            .append("` | ")
                            .append(i.usual().isEmpty() ? "empty" : '`' + i.usual() + '`')
                            .append(" | ")
                            .append(i.allowed())
                            .append(" | ")
                            .append(i.atReload() ? "taken over" : "waits for the next start")
                            .append(" | ")
                            .append(i.meaning())
                            .append(" |\n"));
        });
        return page.toString();
    }
}
