package firstair.relay.fleet;

import firstair.kit.fleet.FaultyLinks;
import firstair.kit.run.Node;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** Five relays of one fleet, one process each, with a fault-injecting link between each two; the first three vote. */
final class FleetProcesses implements AutoCloseable {
    static final List<String> NAMES = List.of("a", "b", "c", "d", "e");
    static final List<String> VOTERS = List.of("a", "b", "c");
    static final long SEED = 36;

    final FaultyLinks links;
    private final Path folder;
    private final Map<String, Node> nodes = new LinkedHashMap<>();

    /**
     * Prepares the processes without starting them.
     *
     * @param zones        the zone of each relay, in the order of the names
     * @param moreSettings settings of the table {@code fleet} in addition to names and timing
     */
    FleetProcesses(Path folder, String discovery, String list, List<String> zones, String moreSettings)
            throws Exception {
        this.folder = folder;
        links = new FaultyLinks(SEED, FaultyLinks.freeAddresses(NAMES));
        List<String> distinctZones = zones.stream().distinct().toList();
        for (int i = 0; i < NAMES.size(); i++) {
            String name = NAMES.get(i);
            Node node = node(name, discovery, list, i, "");
            node.zones(distinctZones, zones.get(i));
            node.fleet(settings(name, "", moreSettings));
            nodes.put(name, node);
        }
    }

    private Node node(String name, String discovery, String list, int number, String suffix) throws Exception {
        Node node = new Node(Files.createDirectories(folder.resolve(name + suffix)), discovery, list);
        node.relayGroup(name, NAMES.size(), number);
        return node;
    }

    private String settings(String name, String listen, String moreSettings) {
        List<String> peers = new ArrayList<>();
        for (String peer : links.peersOf(name).split(",")) {
            peers.add("'" + peer + "'");
        }
        return "[fleet]\nname = 'f'\npeers = [" + String.join(", ", peers) + "]\nvoters = ['"
                + String.join("', '", VOTERS) + "']\nhello = '100ms'\nquiet = '1s'\ndelay = '300ms'\n" + listen
                + moreSettings;
    }

    /** Prepares a second process with a relay's name but its own folder and address, without starting it. */
    Node duplicate(String name, String listen, String discovery, String list) throws Exception {
        Node node = node(name, discovery, list, NAMES.indexOf(name), "-duplicate");
        node.fleet(settings(name, "listen = '" + listen + "'\n", ""));
        return node;
    }

    Node node(String name) {
        return nodes.get(name);
    }

    /** Starts all five at once and waits until each is ready. */
    void start() throws Exception {
        ExecutorService pool = Executors.newFixedThreadPool(NAMES.size());
        try {
            List<Future<?>> started = new ArrayList<>();
            for (Node node : nodes.values()) {
                started.add(pool.submit(() -> {
                    node.start();
                    return null;
                }));
            }
            for (Future<?> start : started) {
                start.get();
            }
        } finally {
            pool.shutdown();
        }
    }

    @Override
    public void close() throws Exception {
        for (Node node : nodes.values()) {
            node.kill();
        }
        links.close();
    }
}
